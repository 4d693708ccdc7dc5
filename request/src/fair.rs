//! Weighted fair queues: the order in which queued requests get engines.
//!
//! Start-time fair queueing: each request is given the virtual time at which it would finish if
//! each organisation had a share of one server by its weight. The request with the lowest finish
//! time is next.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};

use foldlock_base::id;
use tokio::sync::Notify;

/// A request's position in the queue: its virtual finish time, then its arrival number.
type Position = (u64, u64);

/// Units of virtual time per token at weight 1.
const UNITS_PER_TOKEN: u64 = 1_000;

#[derive(Default)]
struct State {
    virtual_now: u64,
    arrivals: u64,
    finishes: HashMap<id::Organisation, u64>,
    queued: BTreeMap<Position, Queued>,
    /// Prompt tokens of all queued requests.
    tokens: u64,
}

struct Queued {
    wake: Arc<Notify>,
    start: u64,
    tokens: u64,
}

/// A weighted fair queue.
#[derive(Default)]
pub struct Queue {
    state: Mutex<State>,
}

/// A queued request, removed from the queue when dropped.
pub struct Entry {
    queue: Arc<Queue>,
    position: Position,
    wake: Arc<Notify>,
}

impl Queue {
    /// Adds a request with this many prompt tokens to the queue.
    pub fn enqueue(
        self: &Arc<Queue>,
        organisation: &id::Organisation,
        weight: u32,
        tokens: u64,
    ) -> Entry {
        let mut state = self.state.lock().unwrap();
        let start = state
            .finishes
            .get(organisation)
            .map_or(state.virtual_now, |f| (*f).max(state.virtual_now));
        let finish = start + tokens.max(1) * UNITS_PER_TOKEN / u64::from(weight.max(1));
        state.finishes.insert(organisation.clone(), finish);
        state.arrivals += 1;
        state.tokens += tokens;
        let position = (finish, state.arrivals);
        let wake = Arc::new(Notify::new());
        state.queued.insert(position, Queued { wake: wake.clone(), start, tokens });
        Entry { queue: self.clone(), position, wake }
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.state.lock().unwrap().queued.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Prompt tokens of all queued requests.
    pub fn tokens(&self) -> u64 {
        self.state.lock().unwrap().tokens
    }
}

impl Entry {
    /// Whether this request is the next one in the queue.
    pub fn is_next(&self) -> bool {
        let state = self.queue.state.lock().unwrap();
        state.queued.first_key_value().is_some_and(|(position, _)| *position == self.position)
    }

    /// Waits until this request is the next one. A request that arrives afterwards may still be
    /// placed before it.
    pub async fn wait_until_next(&self) {
        while !self.is_next() {
            self.wake.notified().await;
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let mut state = self.queue.state.lock().unwrap();
        if let Some(left) = state.queued.remove(&self.position) {
            state.virtual_now = state.virtual_now.max(left.start);
            state.tokens -= left.tokens;
        }
        if state.queued.is_empty() {
            state.finishes.clear();
        }
        if let Some((_, next)) = state.queued.first_key_value() {
            next.wake.notify_one();
        }
    }
}
