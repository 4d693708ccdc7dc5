//! The clock, passed in as an interface so that decisions can be tested at any time.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};

/// A moment that counts the time for which the machine was suspended, for the age of what is believed of
/// others: they went on meanwhile. An [`Instant`] stands still then, as the runtime's timers do, so the
/// two are different types and an age cannot be taken from a timer's moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Moment(Duration);

impl Moment {
    /// The time from `earlier` to this; zero where that is later.
    pub fn since(self, earlier: Moment) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The moment that lies `by` before this; none before the machine was started.
    pub fn before(self, by: Duration) -> Option<Moment> {
        self.0.checked_sub(by).map(Moment)
    }

    /// The moment that lies `by` after this.
    pub fn after(self, by: Duration) -> Moment {
        Moment(self.0 + by)
    }
}

/// Tells the time. Decisions take the time from here; only waiting goes through the runtime.
pub trait Clock: Clone + Send + Sync + 'static {
    /// A time that never goes back, for waiting and for the time that this process spent.
    fn now(&self) -> Instant;
    /// The same with the time for which the machine was suspended, for the age of what is believed.
    fn moment(&self) -> Moment;
    /// The time of day, for logs and records only: it may jump.
    fn wall(&self) -> SystemTime;
    /// The time of day in milliseconds since 1970.
    fn wall_millis(&self) -> u64 {
        self.wall().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
    }
}

/// The clock of the machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn moment(&self) -> Moment {
        // Fails for clocks that a kernel lacks only; this one is as old as the machines' oldest.
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
        Moment(time.expect("Linux has this clock"))
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that stands still until it is moved, for tests.
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
    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock().unwrap() += by;
    }

    /// The machine is suspended for so long.
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

/// Notices that the machine was suspended.
#[derive(Debug)]
pub struct Suspensions {
    last: Mutex<(Instant, Moment)>,
}

/// A difference between the two clocks up to which they are taken to have run alike: they are read one
/// after the other, and the process may be put aside in between.
const MIN_SUSPENSION: Duration = Duration::from_millis(100);

impl Suspensions {
    /// Awake now.
    pub fn new<C: Clock>(clock: &C) -> Suspensions {
        Suspensions { last: Mutex::new((clock.now(), clock.moment())) }
    }

    /// For how long the machine was suspended since this was last asked, if it was.
    pub fn detect<C: Clock>(&self, clock: &C) -> Option<Duration> {
        let mut last = self.last.lock().unwrap();
        let (now, moment) = (clock.now(), clock.moment());
        let elapsed = now.saturating_duration_since(last.0);
        let suspended = moment.since(last.1).saturating_sub(elapsed);
        if suspended < MIN_SUSPENSION && elapsed < MIN_SUSPENSION {
            // Short suspensions add up until they show.
            return None;
        }
        *last = (now, moment);
        (suspended >= MIN_SUSPENSION).then_some(suspended)
    }
}

/// A duration in milliseconds.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
