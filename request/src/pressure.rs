//! Counts short prompts that recently found no engine on which they are in time.
//!
//! When the mix of prompts changes, many short prompts may arrive while long ones are read on all
//! but a few engines. The queued long prompts would take each engine as soon as it is free.
//! Therefore as many engines are kept from them as the recent short prompts need.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Share of its objective beyond which a short prompt's predicted time to the first event counts as
/// pressure: beyond it, one in three is late.
const PRESSURE_SHARE: f64 = 0.85;

/// How long a short prompt counts: the time in which an engine that is kept free becomes available.
const PRESSURE_WINDOW: Duration = Duration::from_millis(250);

/// The number of short prompts that one engine reads in that time, besides its decode steps.
const PROMPTS_PER_ENGINE: usize = 4;

/// The short prompts that recently found no engine on which they are in time.
#[derive(Debug, Default)]
pub struct Pressure {
    recent: VecDeque<Instant>,
}

impl Pressure {
    /// Records a short prompt that was placed, if its predicted time to the first event, as a share
    /// of its objective, counts as pressure.
    pub fn on_placed(&mut self, share: f64, now: Instant) {
        if share > PRESSURE_SHARE {
            self.recent.push_back(now);
        }
    }

    /// Records a short prompt that was queued.
    pub fn on_queued(&mut self, now: Instant) {
        self.recent.push_back(now);
    }

    /// Drops prompts that are older than the window.
    pub fn expire(&mut self, now: Instant) {
        let is_expired = |at: &Instant| now.saturating_duration_since(*at) > PRESSURE_WINDOW;
        while self.recent.front().is_some_and(is_expired) {
            self.recent.pop_front();
        }
    }

    /// The number of engines to keep free for short prompts.
    pub fn engines(&self) -> usize {
        self.recent.len().div_ceil(PROMPTS_PER_ENGINE)
    }
}
