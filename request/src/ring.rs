//! The bounded ring of records that a process keeps, and the live feed of decisions.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

use foldlock_base::id;
use serde::{Deserialize, Serialize};
use tokio::sync::broadcast;

use crate::decision::{Record, Step, Subject};

/// Records that are kept.
pub const CAPACITY: usize = 4096;

/// Decisions that a slow watcher may lag behind before it misses some.
const FEED: usize = 1024;

/// A decision as a watcher sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Line {
    /// The request.
    pub request: id::Request,
    /// The organisation.
    pub organisation: id::Organisation,
    /// The decision.
    #[serde(flatten)]
    pub step: Step,
}

type Shared = Arc<Mutex<Record>>;

#[derive(Default)]
struct Kept {
    order: VecDeque<id::Request>,
    records: HashMap<id::Request, Shared>,
}

/// The ring.
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

/// The place of one request in the ring.
#[derive(Clone)]
pub struct Entry {
    record: Shared,
    feed: broadcast::Sender<Line>,
}

impl Ring {
    /// A ring that keeps `capacity` records.
    pub fn new(capacity: usize) -> Ring {
        Ring { kept: Mutex::default(), feed: broadcast::channel(FEED).0, capacity }
    }

    /// Begins a record; the oldest one makes room.
    pub fn begin(&self, subject: Subject) -> Entry {
        let request = subject.request.clone();
        let record = Arc::new(Mutex::new(Record { subject, steps: Vec::with_capacity(4) }));
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

    /// The record of a request, if it is still kept.
    pub fn get(&self, request: &id::Request) -> Option<Record> {
        let record = self.kept.lock().unwrap().records.get(request).cloned()?;
        let record = record.lock().unwrap().clone();
        Some(record)
    }

    /// The newest records, newest first.
    pub fn newest(&self, most: usize) -> Vec<Record> {
        let kept = self.kept.lock().unwrap();
        let newest = kept.order.iter().rev().take(most);
        newest.filter_map(|r| kept.records.get(r)).map(|r| r.lock().unwrap().clone()).collect()
    }

    /// The decisions from now on.
    pub fn watch(&self) -> broadcast::Receiver<Line> {
        self.feed.subscribe()
    }
}

impl Entry {
    /// Adds a decision.
    pub fn add(&self, step: Step) {
        let mut record = self.record.lock().unwrap();
        if self.feed.receiver_count() > 0 {
            let line = Line {
                request: record.subject.request.clone(),
                organisation: record.subject.organisation.clone(),
                step: step.clone(),
            };
            let _ = self.feed.send(line);
        }
        record.steps.push(step);
    }
}
