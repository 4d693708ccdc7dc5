//! The one deadline of a request, carried from the caller to the engine.

use std::time::{Duration, Instant};

use crate::clock::Clock;

/// The time by which a request has its final answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Instant);

impl Deadline {
    /// The deadline `timeout` from now.
    pub fn after<C: Clock>(clock: &C, timeout: Duration) -> Deadline {
        Deadline(clock.now() + timeout)
    }

    /// The time left, zero once it has passed.
    pub fn remaining<C: Clock>(&self, clock: &C) -> Duration {
        self.0.saturating_duration_since(clock.now())
    }

    /// Whether it has passed.
    pub fn has_passed<C: Clock>(&self, clock: &C) -> bool {
        self.remaining(clock).is_zero()
    }

    /// The point in time, for the runtime's timers.
    pub fn instant(&self) -> Instant {
        self.0
    }
}
