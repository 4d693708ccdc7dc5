//! Sliding-window rate limiter for the requests of the whole fleet to one upstream.
//!
//! The scheduler logs the requests that it grants and those that other VMs announce. One log serves both kinds of
//! bounds: those of cold upstreams, and those of upstreams that state a rate limit.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;

use crate::cluster::Holder;

/// Window of the bound for cold upstreams: one second, and an allowance for differences in network delay between
/// requests.
const COLD_WINDOW: Duration = Duration::from_millis(1_100);

/// Length of a burst at a stated rate, seconds: longer than the scheduler's polling interval, so that the whole rate
/// can be used.
const BURST_S: f64 = 0.25;

/// Window of the average at a stated rate, seconds. It is longer than the delay with which two concurrent schedulers
/// learn of each other's grants, so that they compensate for the excess.
const SUSTAINED_S: f64 = 4.0;

/// Lowest rate, requests per second. Some requests have to be sent, because only responses show that a limit has ended.
const MIN_RATE: f64 = 0.1;

/// Higher rates are no limit: counts of requests at this rate stay within their type.
const MAX_RATE: f64 = u32::MAX as f64;

/// Upper bound on the window of any bound.
const MAX_WINDOW: Duration = Duration::from_secs(10);

/// Maximum number of bursts by which a forecast looks back from its end: 2 to 4 s, most objectives are shorter.
const MAX_BURSTS: u32 = 16;

/// Capacity of a log, enough for a burst at the highest rate that is enforced.
const MAX_ENTRIES: usize = 4_096;

/// At most `count` requests in any window of this length.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// The requests.
    pub count: usize,
    /// The window.
    pub window: Duration,
}

impl Bound {
    /// Returns the bound for a cold upstream that tolerates `per_s` requests per second, divided by the number of VMs
    /// that place requests independently.
    pub fn cold(per_s: f64, schedulers: usize) -> Bound {
        let share = (per_s / schedulers.max(1) as f64).max(1.0);
        Bound { count: share as usize, window: COLD_WINDOW }
    }

    /// Returns the bounds of a burst and of the average at a stated rate.
    pub fn rate_limit(rate: Rate) -> [Bound; 2] {
        let per_s = rate.as_f64().clamp(MIN_RATE, MAX_RATE);
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
    /// Sender and number of the message; none after the sender has restarted, since its numbers start again.
    message: Option<(Holder, u64)>,
}

/// Log of recent requests to an upstream.
#[derive(Debug, Clone, Default)]
pub struct SlidingWindow {
    entries: VecDeque<Entry>,
    /// Whether the upstream has a rate limit, whose windows are longer than `COLD_WINDOW`.
    is_limited: bool,
}

impl SlidingWindow {
    /// Sets whether the upstream has a rate limit.
    pub fn set_limited(&mut self, is_limited: bool) {
        self.is_limited = is_limited;
    }

    /// Records a request. On an upstream with a rate limit, a message that is logged already is skipped.
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

    /// Removes entries older than the longest window in use, and the oldest ones above the capacity.
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

    /// Keeps the entries of a VM that has restarted, but removes their numbers, which the VM will use again.
    pub fn forget_numbers(&mut self, holder: &Holder) {
        for entry in &mut self.entries {
            entry.message.take_if(|(of, _)| of == holder);
        }
    }

    /// Returns the number of requests within a window.
    pub fn count_within(&self, window: Duration, now: Instant) -> usize {
        let recent = |entry: &&Entry| now.saturating_duration_since(entry.at) <= window;
        self.entries.iter().rev().take_while(recent).count()
    }

    /// Returns the number of requests within the window for cold upstreams.
    pub fn cold_count(&self, now: Instant) -> usize {
        self.count_within(COLD_WINDOW, now)
    }

    /// Returns how many further requests a bound allows within this time.
    fn allowed_within(&self, bound: Bound, time: Duration, now: Instant) -> usize {
        let whole = (time.as_secs_f64() / bound.window.as_secs_f64()) as u32;
        let until = now + time.saturating_sub(bound.window.saturating_mul(whole));
        let is_old = |entry: &Entry| until.saturating_duration_since(entry.at) > bound.window;
        let recent = self.entries.len() - self.entries.partition_point(is_old);
        let in_whole = bound.count.saturating_mul(whole as usize);
        in_whole.saturating_add(bound.count.saturating_sub(recent))
    }

    /// Returns how many further requests are allowed within this time by the bounds of a burst and of the average. The
    /// average may allow many requests at once after it has allowed none for a while, which then follow in bursts.
    pub fn allowed_by_both(
        &self,
        [burst, average]: [Bound; 2],
        time: Duration,
        now: Instant,
    ) -> usize {
        let before_bursts = (0..MAX_BURSTS).map_while(|bursts| {
            let earlier = time.checked_sub(burst.window * bursts)?;
            let in_bursts = burst.count.saturating_mul(bursts as usize);
            Some(self.allowed_within(average, earlier, now).saturating_add(in_bursts))
        });
        before_bursts.fold(self.allowed_within(burst, time, now), usize::min)
    }

    /// Returns whether a bound allows one more request.
    pub fn allows(&self, bound: Bound, now: Instant) -> bool {
        self.count_within(bound.window, now) < bound.count
    }
}
