//! The queue of long prompts and the order in which they are placed.
//!
//! The first prompt takes the engines that it needs, and the next ones are planned after it, so
//! that no two of them are read on the same engine at once.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// A queued long prompt.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// When the prompt arrived.
    pub arrived: Instant,
    /// Prefill time on one engine, milliseconds.
    pub prefill_ms: f64,
    /// Latency target for the first event, from arrival.
    pub objective: Duration,
    /// Time from arrival after which the prompt is no longer placed.
    pub queue_timeout: Duration,
    /// Prompts of lower classes go first.
    pub class: u32,
    /// Its index among the queued prompts.
    pub index: usize,
}

impl Entry {
    /// Orders by arrival; shorter prompts first among those that arrived together.
    fn compare_arrival(&self, other: &Entry) -> Ordering {
        let arrived = self.arrived.cmp(&other.arrived);
        arrived.then(self.prefill_ms.total_cmp(&other.prefill_ms))
    }

    /// Orders by the deadline of the first event, then by arrival.
    fn compare_deadline(&self, other: &Entry) -> Ordering {
        let due = (self.arrived + self.objective).cmp(&(other.arrived + other.objective));
        due.then_with(|| self.compare_arrival(other))
    }

    /// Milliseconds from `now` until the time `after` the arrival; negative once that has passed.
    pub fn left_ms(&self, after: Duration, now: Instant) -> f64 {
        after.as_secs_f64() * 1e3 - now.saturating_duration_since(self.arrived).as_secs_f64() * 1e3
    }
}

/// The engines that are available to the queue.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// The number of engines that read long prompts, weighted by speed.
    pub engines: f64,
    /// The maximum number of engines that read one prompt.
    pub max_per_prompt: f64,
    /// Mean time until the engines are free, milliseconds.
    pub busy_ms: f64,
}

/// A prompt goes first when less than this is left until its queue timeout, milliseconds: the
/// longest usual wait for engines that are busy with prefills.
const URGENT_WINDOW_MS: f64 = 500.0;

/// Sorts the queue by class, and each class as [`order_class`] does, behind the lower classes.
pub fn order(mut queue: Vec<Entry>, mut capacity: Capacity, now: Instant) -> Vec<Entry> {
    queue.sort_by_key(|entry| entry.class);
    let mut order = Vec::with_capacity(queue.len());
    for of_class in queue.chunk_by(|a, b| a.class == b.class) {
        let prefill_ms: f64 = of_class.iter().map(|entry| entry.prefill_ms).sum();
        order.extend(order_class(of_class.to_vec(), capacity, now));
        capacity.busy_ms += prefill_ms / capacity.engines.max(1.0);
    }
    order
}

/// Sorts a class: first the prompts that are about to time out, then those whose first event can
/// be in time, earliest deadline first, then the rest by arrival.
///
/// Where not all can be in time, the longest are deprioritized (Moore and Hodgson's rule): each of
/// them delays several others.
fn order_class(queue: Vec<Entry>, capacity: Capacity, now: Instant) -> Vec<Entry> {
    let (mut urgent, mut rest): (Vec<Entry>, Vec<Entry>) =
        queue.into_iter().partition(|w| w.left_ms(w.queue_timeout, now) <= URGENT_WINDOW_MS);
    urgent.sort_by(Entry::compare_arrival);
    rest.sort_by(Entry::compare_deadline);
    let late = deprioritized(&rest, capacity, now);
    let mut order = urgent;
    let (timely, mut deprioritized): (Vec<_>, Vec<_>) =
        rest.into_iter().enumerate().partition(|(index, _)| !late.contains(index));
    order.extend(timely.into_iter().map(|(_, w)| w));
    deprioritized.sort_by(|(_, a), (_, b)| a.compare_arrival(b));
    order.extend(deprioritized.into_iter().map(|(_, w)| w));
    order
}

/// A prompt that can be in time, ordered by its prefill time.
#[derive(PartialEq)]
struct ByPrefillTime {
    prefill_ms: f64,
    index: usize,
}

impl Eq for ByPrefillTime {}

impl PartialOrd for ByPrefillTime {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ByPrefillTime {
    fn cmp(&self, other: &Self) -> Ordering {
        self.prefill_ms.total_cmp(&other.prefill_ms).then(self.index.cmp(&other.index))
    }
}

/// The prompts, of a queue sorted by deadline, that cannot be in time or prevent others from being
/// in time.
fn deprioritized(queue: &[Entry], capacity: Capacity, now: Instant) -> Vec<usize> {
    let engines = capacity.engines.max(1.0);
    let max_per_prompt = capacity.max_per_prompt.clamp(1.0, engines);
    let mut late = Vec::new();
    let mut timely = BinaryHeap::new();
    let mut sum_ms = capacity.busy_ms;
    for (index, entry) in queue.iter().enumerate() {
        sum_ms += entry.prefill_ms / engines;
        timely.push(ByPrefillTime { prefill_ms: entry.prefill_ms, index });
        let extra_ms = entry.prefill_ms / max_per_prompt - entry.prefill_ms / engines;
        if sum_ms + extra_ms > entry.left_ms(entry.objective, now)
            && let Some(longest) = timely.pop()
        {
            sum_ms -= longest.prefill_ms / engines;
            late.push(longest.index);
        }
    }
    late
}
