//! The clock, passed in as an interface so that decisions can be tested at any time.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Tells the time. Decisions take the time from here; only waiting goes through the runtime.
pub trait Clock: Clone + Send + Sync + 'static {
    /// A time that never goes back, for durations and deadlines.
    fn now(&self) -> Instant;
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

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that stands still until it is moved, for tests.
#[derive(Debug, Clone)]
pub struct Manual {
    start: Instant,
    passed: Arc<Mutex<Duration>>,
}

impl Default for Manual {
    fn default() -> Self {
        Manual { start: Instant::now(), passed: Arc::default() }
    }
}

impl Manual {
    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        *self.passed.lock().unwrap() += by;
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        self.start + *self.passed.lock().unwrap()
    }

    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + *self.passed.lock().unwrap()
    }
}
