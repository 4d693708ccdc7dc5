//! Counts short prompts that recently found no engine on which they are in time.
//!
//! When the mix of prompts changes, many short prompts may arrive while long ones are read on all
//! but a few engines. The queued long prompts would take each engine as soon as it is free.
//! Therefore as many engines are kept from them as the recent short prompts need.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Share of its objective beyond which a short prompt's predicted time to the first event counts as
/// pressure: beyond it, one in three is late.
const PRESSES: f64 = 0.85;

/// How long a short prompt counts: the time in which an engine that is kept free becomes available.
const LASTS: Duration = Duration::from_millis(250);

/// The number of short prompts that one engine reads in that time, besides its decode steps.
const AN_ENGINE: usize = 4;

/// The short prompts that recently found no engine on which they are in time.
#[derive(Debug, Default)]
pub struct Pressure {
    since: VecDeque<Instant>,
}

impl Pressure {
    /// Records a short prompt that was placed, if its predicted time to the first event, as a share
    /// of its objective, counts as pressure.
    pub fn placed(&mut self, part: f64, now: Instant) {
        if part > PRESSES {
            self.since.push_back(now);
        }
    }

    /// Records a short prompt that was queued.
    pub fn waits(&mut self, now: Instant) {
        self.since.push_back(now);
    }

    /// Drops prompts that are older than the window.
    pub fn forget(&mut self, now: Instant) {
        let over = |at: &Instant| now.saturating_duration_since(*at) > LASTS;
        while self.since.front().is_some_and(over) {
            self.since.pop_front();
        }
    }

    /// The number of engines to keep free for short prompts.
    pub fn engines(&self) -> usize {
        self.since.len().div_ceil(AN_ENGINE)
    }
}
