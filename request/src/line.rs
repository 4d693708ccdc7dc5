//! The line of long prompts that wait for engines: the order in which they take their turn.
//!
//! The prompt whose turn it is takes the engines that it needs, and the next ones plan behind it, so
//! that no two of them are read on one another.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// A long prompt that waits.
#[derive(Debug, Clone, PartialEq)]
pub struct Waiting {
    /// When it arrived.
    pub arrived: Instant,
    /// Milliseconds of reading on one engine.
    pub read_ms: f64,
    /// The time from its arrival within which its first event is in time.
    pub objective: Duration,
    /// The time from its arrival after which it is of no use to be placed.
    pub limit: Duration,
    /// Its index among those that wait.
    pub index: usize,
}

impl Waiting {
    /// The one that arrived first, and of those that arrived together the shorter one, first.
    fn compare_arrival(&self, other: &Waiting) -> Ordering {
        let arrived = self.arrived.cmp(&other.arrived);
        arrived.then(self.read_ms.total_cmp(&other.read_ms))
    }

    /// The one whose first event is due first, first.
    fn compare_pressing(&self, other: &Waiting) -> Ordering {
        let due = (self.arrived + self.objective).cmp(&(other.arrived + other.objective));
        due.then_with(|| self.compare_arrival(other))
    }

    /// Milliseconds from `now` until the moment `after` its arrival; negative once that is past.
    pub fn left_ms(&self, after: Duration, now: Instant) -> f64 {
        after.as_secs_f64() * 1e3 - now.saturating_duration_since(self.arrived).as_secs_f64() * 1e3
    }
}

/// What the line may use.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// The engines that read long prompts.
    pub engines: f64,
    /// The most of them that read one prompt.
    pub most: f64,
    /// Milliseconds until they are free, in the mean.
    pub busy_ms: f64,
}

/// From so long before the last moment at which it can be served on, a prompt goes first,
/// milliseconds: the longest usual wait for engines that are reading.
const LAST_CALL_MS: f64 = 500.0;

/// Orders a line: prompts about to run out of time, then those whose first event can be in time,
/// the most pressing first, then the rest by their arrival.
///
/// Where not all can be in time, the longest are put back (Moore and Hodgson's rule): each of them
/// keeps several others waiting.
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

/// A prompt among those in time, ordered by its reading.
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

/// Which of the prompts, sorted by the time they have, cannot be in time or keep others from it.
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
