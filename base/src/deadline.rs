//! The deadline of a request, passed on from the caller to the engine.

use std::time::{Duration, Instant};

use crate::clock::Clock;

/// The time by which the response to a request must be complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Instant);

impl Deadline {
    /// The deadline `timeout` from now.
    pub fn after<C: Clock>(clock: &C, timeout: Duration) -> Deadline {
        Deadline(clock.now() + timeout)
    }

    /// The remaining time, zero once the deadline has passed.
    pub fn remaining<C: Clock>(&self, clock: &C) -> Duration {
        self.0.saturating_duration_since(clock.now())
    }

    /// Whether the deadline has passed.
    pub fn has_passed<C: Clock>(&self, clock: &C) -> bool {
        self.remaining(clock).is_zero()
    }

    /// The deadline as an instant, for the runtime's timers.
    pub fn instant(&self) -> Instant {
        self.0
    }
}
