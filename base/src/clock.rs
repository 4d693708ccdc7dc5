//! The clock, passed in as a trait so that tests can set the time.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// A point in time on a clock that includes suspensions of the machine, for the age of state received
/// from other machines, which keep running meanwhile. An [`Instant`], like the runtime's timers, does
/// not advance during a suspension. The types differ so that an age cannot be computed from an instant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Moment(Duration);

impl Moment {
    /// The time from `earlier` to this moment; zero if `earlier` is later.
    pub fn since(self, earlier: Moment) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The moment `by` before this one; `None` if that is before the boot of the machine.
    pub fn before(self, by: Duration) -> Option<Moment> {
        self.0.checked_sub(by).map(Moment)
    }

    /// The moment `by` after this one.
    pub fn after(self, by: Duration) -> Moment {
        Moment(self.0 + by)
    }
}

/// The source of time for decisions. Only timers use the runtime's clock.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Monotonic time without suspensions, for time-outs and durations within this process.
    fn now(&self) -> Instant;
    /// Monotonic time with suspensions, for the age of state received from other machines.
    fn moment(&self) -> Moment;
    /// Wall-clock time, for logs and records only: it may jump.
    fn wall(&self) -> SystemTime;
    /// Wall-clock time in milliseconds since the Unix epoch.
    fn wall_millis(&self) -> u64 {
        self.wall().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
    }
}

/// The system clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn moment(&self) -> Moment {
        // Fails only if the kernel lacks the clock; all supported kernels have CLOCK_BOOTTIME.
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
        Moment(time.expect("Linux has CLOCK_BOOTTIME"))
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock for tests that advances only on request.
#[derive(Debug, Clone)]
pub struct Manual {
    start: Instant,
    elapsed: Arc<Mutex<Duration>>,
    suspended: Arc<Mutex<Duration>>,
}

impl Default for Manual {
    fn default() -> Self {
        Manual { start: Instant::now(), elapsed: Arc::default(), suspended: Arc::default() }
    }
}

impl Manual {
    /// Advances the clock.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock().unwrap() += by;
    }

    /// Simulates a suspension of the machine.
    pub fn suspend(&self, by: Duration) {
        *self.suspended.lock().unwrap() += by;
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start + *self.elapsed.lock().unwrap()
    }

    fn moment(&self) -> Moment {
        Moment(*self.elapsed.lock().unwrap() + *self.suspended.lock().unwrap())
    }

    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + *self.elapsed.lock().unwrap() + *self.suspended.lock().unwrap()
    }
}

/// Detects suspensions of the machine.
#[derive(Debug)]
pub struct Suspensions {
    last: Mutex<(Instant, Moment)>,
}

/// Minimum difference between the two clocks that counts as a suspension. The clocks are read one after
/// the other, and the process may be preempted in between.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

impl Suspensions {
    /// Starts at the current time.
    pub fn new<C: Clock>(clock: &C) -> Suspensions {
        Suspensions { last: Mutex::new((clock.now(), clock.moment())) }
    }

    /// How long the machine was suspended since the last check, or `None` if it was not.
    pub fn detect<C: Clock>(&self, clock: &C) -> Option<Duration> {
        let mut last = self.last.lock().unwrap();
        let (now, moment) = (clock.now(), clock.moment());
        let elapsed = now.saturating_duration_since(last.0);
        let suspended = moment.since(last.1).saturating_sub(elapsed);
        if suspended < MIN_SUSPENSION && elapsed < MIN_SUSPENSION {
            // Keeps the last reading, so that short suspensions add up until they reach the minimum.
            return None;
        }
        *last = (now, moment);
        (suspended >= MIN_SUSPENSION).then_some(suspended)
    }
}

/// The longest duration of [`from_millis`]: sums of many stay within the range of a duration, and of the clock.
pub const MAX_COMPUTED: Duration = Duration::from_secs(u32::MAX as u64);

/// A duration of so many milliseconds, computed from figures that others state. Without a value that a duration can have, it
/// is zero if that is negative, and [`MAX_COMPUTED`] otherwise.
pub fn from_millis(ms: f64) -> Duration {
    if ms < 0.0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(ms / 1e3).map_or(MAX_COMPUTED, |d| d.min(MAX_COMPUTED))
}

/// Converts a duration to milliseconds.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
