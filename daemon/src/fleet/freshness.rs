//! How fresh the settings are: the latest moment at which they are known to have been the newest.
//!
//! The moment is that at which the confirming question was asked, never the one at which the answer was
//! read: a process that stood still in between finds its settings old, whatever lay in its sockets. It
//! counts the time for which the machine was suspended, so that no key is trusted on waking that was
//! taken away meanwhile.

use std::sync::Mutex;
use std::time::Duration;

use foldlock_base::clock::Moment;

/// Taken off the greatest age, for the time from the check to the caller's or upstream's clock.
const MARGIN: Duration = Duration::from_millis(300);

/// The part of the greatest age up to which a VM takes new connections: beyond it the platform no
/// longer counts on it.
const READY_SHARE: f64 = 0.6;

/// The freshness of the settings.
#[derive(Debug)]
pub struct Freshness {
    max_age: Option<Duration>,
    confirmed: Mutex<Option<Moment>>,
}

impl Freshness {
    /// Settings that may be this old.
    pub fn new(max_age: Option<Duration>) -> Freshness {
        Freshness { max_age, confirmed: Mutex::new(None) }
    }

    /// The settings in force were the newest at this moment.
    pub fn confirm(&self, at: Moment) {
        let mut confirmed = self.confirmed.lock().unwrap();
        *confirmed = confirmed.map_or(Some(at), |current| Some(current.max(at)));
    }

    /// The age of the settings; none before they were ever confirmed.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        let confirmed = *self.confirmed.lock().unwrap();
        confirmed.map(|at| now.since(at))
    }

    /// Whether keys may still be taken for valid.
    pub fn is_fresh(&self, now: Moment) -> bool {
        let Some(max_age) = self.max_age else { return true };
        self.age(now).is_some_and(|age| age + MARGIN < max_age)
    }

    /// Whether new connections are welcome.
    pub fn accepts_connections(&self, now: Moment) -> bool {
        let Some(max_age) = self.max_age else { return true };
        self.age(now).is_some_and(|age| age < max_age.mul_f64(READY_SHARE))
    }
}
