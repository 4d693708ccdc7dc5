//! Sliding-window rate limiter for the requests of the whole fleet to one upstream.
//!
//! The scheduler logs the requests that it grants and those that other VMs announce. The same log serves both sources
//! of a bound: upstreams that are cold, and upstreams that name a rate limit.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;

use crate::cluster::Holder;

/// The time over which a cold upstream's requests are counted: a second, and what the way of one may differ
/// from that of the next.
const COLD_WINDOW: Duration = Duration::from_millis(1_100);

/// Length of a burst at a named rate, seconds: longer than the scheduler's polling interval, so that the rate can be
/// used up.
const BURST_S: f64 = 0.25;

/// Window of the average at a named rate, seconds. It outlasts the delay with which two concurrent schedulers learn of
/// each other's grants, so that they make up for the excess.
const SUSTAINED_S: f64 = 4.0;

/// Lowest rate, requests a second: the end of a limit is only visible in answers.
const MIN_RATE: f64 = 0.1;

/// Longest window of any bound.
const MAX_WINDOW: Duration = Duration::from_secs(10);

/// Capacity of a log: a burst at the highest rate that is enforced.
const MAX_ENTRIES: usize = 4_096;

/// At most so many requests in any window of this length.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// The requests.
    pub count: usize,
    /// The window.
    pub window: Duration,
}

impl Bound {
    /// Share of what a cold upstream bears, for one of several VMs that place requests independently.
    pub fn cold(per_s: f64, schedulers: usize) -> Bound {
        let share = (per_s / schedulers.max(1) as f64).max(1.0);
        Bound { count: share as usize, window: COLD_WINDOW }
    }

    /// Bounds of a burst and of the average at a named rate.
    pub fn named(rate: Rate) -> [Bound; 2] {
        let per_s = rate.as_f64().max(MIN_RATE);
        let over = |requests: f64| {
            let count = requests.ceil();
            Bound { count: count as usize, window: Duration::from_secs_f64(count / per_s) }
        };
        [over((per_s * BURST_S).floor().max(1.0)), over(per_s * SUSTAINED_S)]
    }
}

#[derive(Debug, Clone)]
struct Entry {
    at: Instant,
    /// Sender and number of the message; none after the sender has restarted, since numbers repeat.
    message: Option<(Holder, u64)>,
}

/// Log of recent requests to an upstream.
#[derive(Debug, Clone, Default)]
pub struct SlidingWindow {
    entries: VecDeque<Entry>,
    /// Whether the upstream has a rate limit, whose windows are longer.
    is_limited: bool,
}

impl SlidingWindow {
    /// Sets whether the upstream has a rate limit.
    pub fn set_limited(&mut self, is_limited: bool) {
        self.is_limited = is_limited;
    }

    /// Records a request, unless it is logged already.
    pub fn record(&mut self, holder: &Holder, number: u64, at: Instant) {
        if self.is_limited && self.contains(holder, number) {
            return;
        }
        let index = self.entries.partition_point(|entry| entry.at <= at);
        self.entries.insert(index, Entry { at, message: Some((holder.clone(), number)) });
        self.evict(at);
    }

    fn contains(&self, holder: &Holder, number: u64) -> bool {
        let is_same = |entry: &Entry| {
            entry.message.as_ref().is_some_and(|(of, logged)| *logged == number && of == holder)
        };
        self.entries.iter().rev().any(is_same)
    }

    /// Drops entries older than any window.
    fn evict(&mut self, now: Instant) {
        let window = if self.is_limited { MAX_WINDOW } else { COLD_WINDOW };
        let is_old = |entry: &Entry| now.saturating_duration_since(entry.at) > window;
        let is_over = |entries: &VecDeque<Entry>| {
            entries.len() > MAX_ENTRIES || entries.front().is_some_and(is_old)
        };
        while is_over(&self.entries) {
            self.entries.pop_front();
        }
    }

    /// Keeps the entries of a VM that has restarted, but no longer matches them by number.
    pub fn forget_numbers(&mut self, holder: &Holder) {
        for entry in &mut self.entries {
            entry.message.take_if(|(of, _)| of == holder);
        }
    }

    /// Requests within a window.
    pub fn count_within(&self, window: Duration, now: Instant) -> usize {
        let recent = |entry: &&Entry| now.saturating_duration_since(entry.at) <= window;
        self.entries.iter().rev().take_while(recent).count()
    }

    /// Requests within the window for cold upstreams.
    pub fn cold_count(&self, now: Instant) -> usize {
        self.count_within(COLD_WINDOW, now)
    }

    /// Whether a bound allows one more request.
    pub fn allows(&self, bound: Bound, now: Instant) -> bool {
        self.count_within(bound.window, now) < bound.count
    }
}
