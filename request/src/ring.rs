//! The ring buffer of request records that a process keeps, and the live feed of decisions.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

use foldlock_base::id;
use serde::{Deserialize, Serialize};
use tokio::sync::broadcast;

use crate::decision::{self, Record, Subject};

/// Maximum number of records.
pub const CAPACITY: usize = 4096;

/// Number of decisions by which a slow subscriber may lag before it misses some.
const FEED_CAPACITY: usize = 1024;

/// An entry of the feed: a decision with its request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Item {
    /// The request.
    pub request: id::Request,
    /// The organisation.
    pub organisation: id::Organisation,
    /// The decision.
    #[serde(flatten)]
    pub decision: decision::Entry,
}

type SharedRecord = Arc<Mutex<Record>>;

#[derive(Default)]
struct Records {
    order: VecDeque<id::Request>,
    by_request: HashMap<id::Request, SharedRecord>,
}

/// A ring buffer of request records.
pub struct Ring {
    records: Mutex<Records>,
    feed: broadcast::Sender<Item>,
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
    record: SharedRecord,
    feed: broadcast::Sender<Item>,
}

impl Ring {
    /// A buffer for up to `capacity` records.
    pub fn new(capacity: usize) -> Ring {
        Ring { records: Mutex::default(), feed: broadcast::channel(FEED_CAPACITY).0, capacity }
    }

    /// Adds a record for a new request; drops the oldest one if the buffer is full.
    pub fn begin(&self, subject: Subject) -> Entry {
        let request = subject.request.clone();
        let record = Arc::new(Mutex::new(Record { subject, decisions: Vec::with_capacity(4) }));
        let mut records = self.records.lock().unwrap();
        if records.order.len() >= self.capacity
            && let Some(oldest) = records.order.pop_front()
        {
            records.by_request.remove(&oldest);
        }
        records.order.push_back(request.clone());
        records.by_request.insert(request, record.clone());
        Entry { record, feed: self.feed.clone() }
    }

    /// The record of a request, if it is still in the buffer.
    pub fn get(&self, request: &id::Request) -> Option<Record> {
        let record = self.records.lock().unwrap().by_request.get(request).cloned()?;
        let record = record.lock().unwrap().clone();
        Some(record)
    }

    /// Up to `max` records, newest first.
    pub fn newest(&self, max: usize) -> Vec<Record> {
        let records = self.records.lock().unwrap();
        let newest = records.order.iter().rev().take(max);
        newest
            .filter_map(|r| records.by_request.get(r))
            .map(|r| r.lock().unwrap().clone())
            .collect()
    }

    /// Subscribes to the decisions from now on.
    pub fn subscribe(&self) -> broadcast::Receiver<Item> {
        self.feed.subscribe()
    }
}

impl Entry {
    /// Adds a decision to the record and the feed.
    pub fn add(&self, decision: decision::Entry) {
        let mut record = self.record.lock().unwrap();
        if self.feed.receiver_count() > 0 {
            let event = Item {
                request: record.subject.request.clone(),
                organisation: record.subject.organisation.clone(),
                decision: decision.clone(),
            };
            let _ = self.feed.send(event);
        }
        record.decisions.push(decision);
    }
}
