//! The ring buffer of request records that a process keeps, and the live feed of decisions.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

use foldlock_base::id;
use serde::{Deserialize, Serialize};
use tokio::sync::broadcast;

use crate::decision::{Record, Subject, TimedDecision};

/// Maximum number of records.
pub const CAPACITY: usize = 4096;

/// Number of decisions by which a slow subscriber may lag before it misses some.
const FEED: usize = 1024;

/// An entry of the feed: a decision with its request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Line {
    /// The request.
    pub request: id::Request,
    /// The organisation.
    pub organisation: id::Organisation,
    /// The decision.
    #[serde(flatten)]
    pub decision: TimedDecision,
}

type Shared = Arc<Mutex<Record>>;

#[derive(Default)]
struct Kept {
    order: VecDeque<id::Request>,
    records: HashMap<id::Request, Shared>,
}

/// A ring buffer of request records.
pub struct Ring {
    kept: Mutex<Kept>,
    feed: broadcast::Sender<Line>,
    capacity: usize,
}

impl Default for Ring {
    fn default() -> Self {
        Ring::new(CAPACITY)
    }
}

/// A handle for adding decisions to a record.
#[derive(Clone)]
pub struct Entry {
    record: Shared,
    feed: broadcast::Sender<Line>,
}

impl Ring {
    /// A buffer for up to `capacity` records.
    pub fn new(capacity: usize) -> Ring {
        Ring { kept: Mutex::default(), feed: broadcast::channel(FEED).0, capacity }
    }

    /// Adds a record for a new request; drops the oldest one if the buffer is full.
    pub fn begin(&self, subject: Subject) -> Entry {
        let request = subject.request.clone();
        let record = Arc::new(Mutex::new(Record { subject, decisions: Vec::with_capacity(4) }));
        let mut kept = self.kept.lock().unwrap();
        if kept.order.len() >= self.capacity
            && let Some(oldest) = kept.order.pop_front()
        {
            kept.records.remove(&oldest);
        }
        kept.order.push_back(request.clone());
        kept.records.insert(request, record.clone());
        Entry { record, feed: self.feed.clone() }
    }

    /// The record of a request, if it is still in the buffer.
    pub fn get(&self, request: &id::Request) -> Option<Record> {
        let record = self.kept.lock().unwrap().records.get(request).cloned()?;
        let record = record.lock().unwrap().clone();
        Some(record)
    }

    /// Up to `most` records, newest first.
    pub fn newest(&self, most: usize) -> Vec<Record> {
        let kept = self.kept.lock().unwrap();
        let newest = kept.order.iter().rev().take(most);
        newest.filter_map(|r| kept.records.get(r)).map(|r| r.lock().unwrap().clone()).collect()
    }

    /// Subscribes to the decisions from now on.
    pub fn watch(&self) -> broadcast::Receiver<Line> {
        self.feed.subscribe()
    }
}

impl Entry {
    /// Adds a decision to the record and the feed.
    pub fn add(&self, decision: TimedDecision) {
        let mut record = self.record.lock().unwrap();
        if self.feed.receiver_count() > 0 {
            let event = Line {
                request: record.subject.request.clone(),
                organisation: record.subject.organisation.clone(),
                decision: decision.clone(),
            };
            let _ = self.feed.send(event);
        }
        record.decisions.push(decision);
    }
}
