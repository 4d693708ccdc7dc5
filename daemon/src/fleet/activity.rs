//! When the upstreams of a request last sent something, for the log lines about responses that were given up during a silence.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;

/// The activity of one attempt.
#[derive(Debug, Clone, Default)]
pub struct Activity(Arc<Mutex<Option<Instant>>>);

impl Activity {
    /// Records that the request was sent, or that the upstream sent something.
    pub fn record(&self, now: Instant) {
        *self.0.lock().unwrap() = Some(now);
    }

    /// Whether the request was sent.
    pub fn is_sent(&self) -> bool {
        self.0.lock().unwrap().is_some()
    }

    /// Time since the upstream last sent something, or since the request was sent; none if it was not.
    pub fn silence(&self, now: Instant) -> Option<Duration> {
        self.0.lock().unwrap().map(|at| now.saturating_duration_since(at))
    }
}

/// The activity of all attempts of a request.
#[derive(Debug, Default)]
pub struct Log(Mutex<Vec<(id::Upstream, Activity)>>);

impl Log {
    /// Begins an attempt.
    pub fn begin(&self, upstream: id::Upstream) -> Activity {
        let activity = Activity::default();
        self.0.lock().unwrap().push((upstream, activity.clone()));
        activity
    }

    /// Time since any upstream last sent something; none if the request was not sent.
    pub fn silence(&self, now: Instant) -> Option<Duration> {
        self.shortest(now, |_| true)
    }

    /// Time since this upstream last sent something; none if the request was not sent to it.
    pub fn silence_of(&self, upstream: &id::Upstream, now: Instant) -> Option<Duration> {
        self.shortest(now, |id| id == upstream)
    }

    fn shortest(&self, now: Instant, includes: impl Fn(&id::Upstream) -> bool) -> Option<Duration> {
        let attempts = self.0.lock().unwrap();
        let included = attempts.iter().filter(|(upstream, _)| includes(upstream));
        included.filter_map(|(_, activity)| activity.silence(now)).min()
    }
}
