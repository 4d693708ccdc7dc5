//! The freshness of the settings: the latest moment at which they were confirmed to be the newest.
//!
//! The moment is when the confirming request was sent, never when its response was read: the
//! settings of a process that was stopped in between are stale, whatever its sockets had buffered.
//! It includes time for which the machine was suspended, so that a key revoked meanwhile is not
//! accepted on resume.

use std::sync::Mutex;
use std::time::Duration;

use foldlock_base::clock::Moment;

/// Subtracted from the maximum age, for the time between the check and its effect at the caller or
/// upstream.
const MARGIN: Duration = Duration::from_millis(300);

/// The share of the maximum age up to which a VM accepts new connections: beyond it the platform no
/// longer relies on the VM.
const READY_SHARE: f64 = 0.6;

/// The freshness of the settings.
#[derive(Debug)]
pub struct Freshness {
    max_age: Option<Duration>,
    confirmed: Mutex<Option<Moment>>,
}

impl Freshness {
    /// Creates the freshness of settings with this maximum age; none if they never become stale.
    pub fn new(max_age: Option<Duration>) -> Freshness {
        Freshness { max_age, confirmed: Mutex::new(None) }
    }

    /// Records that the settings in force were the newest at this moment.
    pub fn confirm(&self, at: Moment) {
        let mut confirmed = self.confirmed.lock().unwrap();
        *confirmed = confirmed.map_or(Some(at), |current| Some(current.max(at)));
    }

    /// The time since the settings were last confirmed; none if they never were.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        let confirmed = *self.confirmed.lock().unwrap();
        confirmed.map(|at| now.since(at))
    }

    /// Whether the settings are fresh enough to accept keys.
    pub fn is_fresh(&self, now: Moment) -> bool {
        let Some(max_age) = self.max_age else { return true };
        self.age(now).is_some_and(|age| age + MARGIN < max_age)
    }

    /// Whether the settings are fresh enough to accept new connections.
    pub fn accepts_connections(&self, now: Moment) -> bool {
        let Some(max_age) = self.max_age else { return true };
        self.age(now).is_some_and(|age| age < max_age.mul_f64(READY_SHARE))
    }
}
