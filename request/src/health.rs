//! The health of an upstream as this VM observes it: after a failure it gets no requests for a
//! while.

use std::time::{Duration, Instant};

/// How long an upstream gets no requests after its first failure.
const FIRST_PENALTY: Duration = Duration::from_millis(250);

/// The maximum of that time after repeated failures.
const MAX_PENALTY: Duration = Duration::from_secs(8);

/// An upstream's health.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failures: u32,
    until: Option<Instant>,
    probing: bool,
}

impl Health {
    /// Whether a request may be sent to it. After a penalty, one request at a time may probe it.
    pub fn is_usable(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| now >= until && !self.probing)
    }

    /// Records that a request was sent to the upstream.
    pub fn on_sent(&mut self) {
        self.probing = self.until.is_some();
    }

    /// Records a successful request.
    pub fn on_success(&mut self) {
        *self = Health::default();
    }

    /// Records a failure. The penalty doubles with each failure in a row.
    pub fn on_failure(&mut self, now: Instant) {
        let penalty = FIRST_PENALTY * 2u32.saturating_pow(self.failures.min(16));
        self.failures += 1;
        self.until = Some(now + penalty.min(MAX_PENALTY));
        self.probing = false;
    }

    /// Records a request whose end says nothing about the upstream's health.
    pub fn on_inconclusive(&mut self) {
        self.probing = false;
    }
}
