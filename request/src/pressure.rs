//! Short prompts that found no engine on which they are in time, of late.
//!
//! At a turn of the mix many short prompts come where long ones read on all engines but a few. What
//! waits in the line would take each engine as it is free; so as many are kept from the line as the
//! short prompts of the last moment need.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The part of its objective from which on a short prompt's predicted first event presses: beyond it
/// one in three is late.
const PRESSES: f64 = 0.85;

/// How long a short prompt presses: the time in which an engine that is kept for it gets free.
const LASTS: Duration = Duration::from_millis(250);

/// The short prompts that one engine reads meanwhile, beside the steps of those who write.
const AN_ENGINE: usize = 4;

/// The short prompts that press.
#[derive(Debug, Default)]
pub struct Pressure {
    since: VecDeque<Instant>,
}

impl Pressure {
    /// A short prompt was placed whose first event is predicted after that part of its objective.
    pub fn placed(&mut self, part: f64, now: Instant) {
        if part > PRESSES {
            self.since.push_back(now);
        }
    }

    /// A short prompt found no placement.
    pub fn waits(&mut self, now: Instant) {
        self.since.push_back(now);
    }

    /// Forgets what presses no more.
    pub fn forget(&mut self, now: Instant) {
        let over = |at: &Instant| now.saturating_duration_since(*at) > LASTS;
        while self.since.front().is_some_and(over) {
            self.since.pop_front();
        }
    }

    /// The engines to be kept from long prompts.
    pub fn engines(&self) -> usize {
        self.since.len().div_ceil(AN_ENGINE)
    }
}
