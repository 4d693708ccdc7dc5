//! The maximum of a number over a sliding window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The maximum over a window. Keeps only the values that may become the maximum, in descending order.
#[derive(Debug, Default)]
pub(super) struct Peak {
    values: VecDeque<(usize, Instant)>,
}

impl Peak {
    /// Records the current value, and drops values older than the window.
    pub(super) fn record(&mut self, value: usize, window: Duration, now: Instant) {
        while self.values.back().is_some_and(|(last, _)| *last <= value) {
            self.values.pop_back();
        }
        self.values.push_back((value, now));
        while self.values.front().is_some_and(|(_, at)| now.saturating_duration_since(*at) > window)
        {
            self.values.pop_front();
        }
    }

    /// Returns the maximum, 0 before the first value.
    pub(super) fn max(&self) -> usize {
        self.values.front().map_or(0, |(value, _)| *value)
    }
}
