//! How often an upstream may be sent work that takes only so many requests a second from all VMs.
//!
//! The VM that schedules keeps a log of what is sent to each upstream: what it grants itself, and what other VMs say
//! that they sent. One log serves both sources of a bound: an upstream that is cold, and one that names a rate limit.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;

use crate::board::Holder;

/// The time over which a cold upstream's requests are counted: a second, and what the way of one may differ
/// from that of the next.
const COLD_WINDOW: Duration = Duration::from_millis(1_100);

/// The share of a second's requests that a named rate allows at once: bursts stay short, and a scheduler that looks
/// every few milliseconds still uses the whole rate.
const BURST_SHARE: f64 = 0.25;

/// The time over which a named rate holds on average, seconds: two schedulers that each grant a burst before they hear
/// of the other's make up for it within this time.
const SUSTAINED_S: f64 = 4.0;

/// The lowest rate that is sent, requests a second. An upstream that gets nothing cannot say that its limit has
/// ended.
const LEAST_RATE: f64 = 0.1;

/// The longest window of a bound.
const LONGEST_WINDOW: Duration = Duration::from_secs(10);

/// Entries that a log holds at most: the burst of the highest rate that limits anything.
const MOST_ENTRIES: usize = 4_096;

/// At most so many requests in any window of this length.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// The requests.
    pub count: usize,
    /// The window.
    pub window: Duration,
}

impl Bound {
    /// What a cold upstream bears of one VM, where so many may send to it without hearing of each other.
    pub fn cold(per_s: f64, placers: usize) -> Bound {
        let share = (per_s / placers.max(1) as f64).max(1.0);
        Bound { count: share as usize, window: COLD_WINDOW }
    }

    /// What a named rate allows: short bursts, and the rate over a time in which all schedulers hear of each other.
    pub fn named(rate: Rate) -> [Bound; 2] {
        let per_s = rate.as_f64().max(LEAST_RATE);
        let over = |requests: f64| {
            let count = requests.ceil();
            Bound { count: count as usize, window: Duration::from_secs_f64(count / per_s) }
        };
        [over((per_s * BURST_SHARE).floor().max(1.0)), over(per_s * SUSTAINED_S)]
    }
}

#[derive(Debug, Clone)]
struct Entry {
    at: Instant,
    /// The VM and the number that it gave the message; none once the VM may give the number again.
    message: Option<(Holder, u64)>,
}

/// What was sent to an upstream of late.
#[derive(Debug, Clone, Default)]
pub struct Pace {
    entries: VecDeque<Entry>,
    /// Whether the upstream names a rate limit, whose windows may be long.
    is_limited: bool,
}

impl Pace {
    /// The upstream names a rate limit, or no longer does.
    pub fn set_limited(&mut self, is_limited: bool) {
        self.is_limited = is_limited;
    }

    /// Records a message, unless it is known.
    pub fn record(&mut self, holder: &Holder, number: u64, at: Instant) {
        if self.is_limited && self.knows(holder, number) {
            return;
        }
        let place = self.entries.partition_point(|entry| entry.at <= at);
        self.entries.insert(place, Entry { at, message: Some((holder.clone(), number)) });
        self.forget(at);
    }

    fn knows(&self, holder: &Holder, number: u64) -> bool {
        let is_same = |entry: &Entry| {
            entry.message.as_ref().is_some_and(|(of, known)| *known == number && of == holder)
        };
        self.entries.iter().rev().any(is_same)
    }

    /// Forgets what no window reaches any more.
    fn forget(&mut self, now: Instant) {
        let lasts = if self.is_limited { LONGEST_WINDOW } else { COLD_WINDOW };
        let is_old = |entry: &Entry| now.saturating_duration_since(entry.at) > lasts;
        let is_over = |entries: &VecDeque<Entry>| {
            entries.len() > MOST_ENTRIES || entries.front().is_some_and(is_old)
        };
        while is_over(&self.entries) {
            self.entries.pop_front();
        }
    }

    /// A VM has started anew and gives its numbers again; what it sent still counts.
    pub fn renumber(&mut self, holder: &Holder) {
        for entry in &mut self.entries {
            entry.message.take_if(|(of, _)| of == holder);
        }
    }

    /// What was sent within a window.
    pub fn sent_within(&self, window: Duration, now: Instant) -> usize {
        let recent = |entry: &&Entry| now.saturating_duration_since(entry.at) <= window;
        self.entries.iter().rev().take_while(recent).count()
    }

    /// What was sent in the window of cold upstreams.
    pub fn begun(&self, now: Instant) -> usize {
        self.sent_within(COLD_WINDOW, now)
    }

    /// Whether a bound allows one more.
    pub fn allows(&self, bound: Bound, now: Instant) -> bool {
        self.sent_within(bound.window, now) < bound.count
    }
}
