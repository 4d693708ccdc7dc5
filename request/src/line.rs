//! The queue of long prompts and the order in which they are placed.
//!
//! The first prompt takes the engines that it needs, and the next ones are planned after it, so
//! that no two of them are read on the same engine at once.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// A queued long prompt.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiting {
    /// When the prompt arrived.
    pub arrived: Instant,
    /// Prefill time on one engine, milliseconds.
    pub read_ms: f64,
    /// Latency target for the first event, from arrival.
    pub objective: Duration,
    /// Time from arrival after which the prompt is no longer placed.
    pub limit: Duration,
    /// Its index among the queued prompts.
    pub index: usize,
}

impl Waiting {
    /// Orders by arrival; shorter prompts first among those that arrived together.
    fn compare_arrival(&self, other: &Waiting) -> Ordering {
        let arrived = self.arrived.cmp(&other.arrived);
        arrived.then(self.read_ms.total_cmp(&other.read_ms))
    }

    /// Orders by the deadline of the first event, then by arrival.
    fn compare_pressing(&self, other: &Waiting) -> Ordering {
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
    pub most: f64,
    /// Mean time until the engines are free, milliseconds.
    pub busy_ms: f64,
}

/// A prompt goes first when less than this is left until its queue timeout, milliseconds: the
/// longest usual wait for engines that are busy with prefills.
const LAST_CALL_MS: f64 = 500.0;

/// Sorts the queue: first the prompts that are about to time out, then those whose first event can
/// be in time, earliest deadline first, then the rest by arrival.
///
/// Where not all can be in time, the longest are deprioritized (Moore and Hodgson's rule): each of
/// them delays several others.
pub fn order(line: Vec<Waiting>, capacity: Capacity, now: Instant) -> Vec<Waiting> {
    let (mut last, mut rest): (Vec<Waiting>, Vec<Waiting>) =
        line.into_iter().partition(|w| w.left_ms(w.limit, now) <= LAST_CALL_MS);
    last.sort_by(Waiting::compare_arrival);
    rest.sort_by(Waiting::compare_pressing);
    let late = put_back(&rest, capacity, now);
    let mut order = last;
    let (timely, mut put_back): (Vec<_>, Vec<_>) =
        rest.into_iter().enumerate().partition(|(index, _)| !late.contains(index));
    order.extend(timely.into_iter().map(|(_, w)| w));
    put_back.sort_by(|(_, a), (_, b)| a.compare_arrival(b));
    order.extend(put_back.into_iter().map(|(_, w)| w));
    order
}

/// A prompt that can be in time, ordered by its prefill time.
#[derive(PartialEq)]
struct Longest {
    read_ms: f64,
    index: usize,
}

impl Eq for Longest {}

impl PartialOrd for Longest {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Longest {
    fn cmp(&self, other: &Self) -> Ordering {
        self.read_ms.total_cmp(&other.read_ms).then(self.index.cmp(&other.index))
    }
}

/// The prompts, of a queue sorted by deadline, that cannot be in time or prevent others from being
/// in time.
fn put_back(line: &[Waiting], capacity: Capacity, now: Instant) -> Vec<usize> {
    let engines = capacity.engines.max(1.0);
    let most = capacity.most.clamp(1.0, engines);
    let mut late = Vec::new();
    let mut timely = BinaryHeap::new();
    let mut sum_ms = capacity.busy_ms;
    for (index, waiting) in line.iter().enumerate() {
        sum_ms += waiting.read_ms / engines;
        timely.push(Longest { read_ms: waiting.read_ms, index });
        let alone = waiting.read_ms / most - waiting.read_ms / engines;
        if sum_ms + alone > waiting.left_ms(waiting.objective, now)
            && let Some(longest) = timely.pop()
        {
            sum_ms -= longest.read_ms / engines;
            late.push(longest.index);
        }
    }
    late
}
