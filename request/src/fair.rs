//! Weighted fair queues: who is next where requests wait for engines.
//!
//! Start-time fair queueing: each request gets the virtual time at which it would finish if each
//! organisation had its weight's share of one server; the lowest goes first.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};

use foldlock_base::id;
use tokio::sync::Notify;

/// The place of a request: its virtual finish, then its arrival.
type Place = (u64, u64);

/// Virtual units a token at weight 1.
const UNIT: u64 = 1_000;

#[derive(Default)]
struct State {
    now: u64,
    arrivals: u64,
    finishes: HashMap<id::Organisation, u64>,
    waiting: BTreeMap<Place, Waiting>,
    /// Tokens of all who wait.
    tokens: u64,
}

struct Waiting {
    turn: Arc<Notify>,
    start: u64,
    tokens: u64,
}

/// A queue.
#[derive(Default)]
pub struct Queue {
    state: Mutex<State>,
}

/// A place in a queue, left when dropped.
pub struct Ticket {
    queue: Arc<Queue>,
    place: Place,
    turn: Arc<Notify>,
}

impl Queue {
    /// Takes a place for a request of so many tokens.
    pub fn enter(
        self: &Arc<Queue>,
        organisation: &id::Organisation,
        weight: u32,
        tokens: u64,
    ) -> Ticket {
        let mut state = self.state.lock().unwrap();
        let start = state.finishes.get(organisation).map_or(state.now, |f| (*f).max(state.now));
        let finish = start + tokens.max(1) * UNIT / u64::from(weight.max(1));
        state.finishes.insert(organisation.clone(), finish);
        state.arrivals += 1;
        state.tokens += tokens;
        let place = (finish, state.arrivals);
        let turn = Arc::new(Notify::new());
        state.waiting.insert(place, Waiting { turn: turn.clone(), start, tokens });
        Ticket { queue: self.clone(), place, turn }
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.state.lock().unwrap().waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Tokens of all who wait.
    pub fn tokens(&self) -> u64 {
        self.state.lock().unwrap().tokens
    }
}

impl Ticket {
    /// Whether this request is next.
    pub fn is_next(&self) -> bool {
        let state = self.queue.state.lock().unwrap();
        state.waiting.first_key_value().is_some_and(|(place, _)| *place == self.place)
    }

    /// Waits until this request is next. Another one may still overtake it afterwards.
    pub async fn next(&self) {
        while !self.is_next() {
            self.turn.notified().await;
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.queue.state.lock().unwrap();
        if let Some(left) = state.waiting.remove(&self.place) {
            state.now = state.now.max(left.start);
            state.tokens -= left.tokens;
        }
        if state.waiting.is_empty() {
            state.finishes.clear();
        }
        if let Some((_, next)) = state.waiting.first_key_value() {
            next.turn.notify_one();
        }
    }
}
