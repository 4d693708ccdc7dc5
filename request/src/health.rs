//! How an upstream does by this VM's own experience: failures keep it out for a while, requests
//! overdue make it look as slow as it is.

use std::time::{Duration, Instant};

/// How long the first failure keeps an upstream out.
const FIRST_PENALTY: Duration = Duration::from_millis(250);

/// How long repeated failures keep it out at most.
const MAX_PENALTY: Duration = Duration::from_secs(8);

/// An upstream's health.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failures: u32,
    until: Option<Instant>,
    probing: bool,
}

impl Health {
    /// Whether it may be given a request. After a penalty one request may try it.
    pub fn usable(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until && !self.probing)
    }

    /// A request was sent to it.
    pub fn sent(&mut self) {
        self.probing = self.until.is_some();
    }

    /// It did what it was asked.
    pub fn succeeded(&mut self) {
        *self = Health::default();
    }

    /// It failed: out for a time that doubles with each failure in a row.
    pub fn failed(&mut self, now: Instant) {
        let penalty = FIRST_PENALTY * 2u32.saturating_pow(self.failures.min(16));
        self.failures += 1;
        self.until = Some(now + penalty.min(MAX_PENALTY));
        self.probing = false;
    }

    /// A request ended in a way that says nothing of the upstream.
    pub fn undecided(&mut self) {
        self.probing = false;
    }
}
