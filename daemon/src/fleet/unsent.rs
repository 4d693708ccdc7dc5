//! Request bodies that are held for upstreams, and responses that are collected whole, with a bound on their total size.
//!
//! Answers load where upstreams read bodies or send responses slowly or not at all, or callers send bodies slowly: each
//! body is limited, but their number is not, and a process that exceeds the VM's memory is killed with all its requests.
//! If all bodies together exceed the bound of the VM, the largest is dropped. Its request is aborted, unless it is a
//! request body that an upstream has read completely: then that attempt continues, but the request cannot be retried.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use foldlock_base::prelude::*;
use serde_json::json;
use tokio::sync::Notify;

/// Share of the VM's memory for bodies. It equals that of unread responses; connections, settings and the cluster state
/// need the remaining half.
const MEMORY_SHARE: f64 = 0.25;

/// Maximum number of bodies in a dump, the largest ones.
const MAX_DUMPED: usize = 10;

/// Message of the errors of aborted requests.
pub const OUT_OF_MEMORY: &str =
    "bodies of requests and responses use too much memory of this VM, and this was the largest";

/// The bodies of all requests of a VM, and the responses that it collects.
#[derive(Debug)]
pub struct Bodies {
    /// Bound on the total size, bytes.
    max_bytes: usize,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    next: u64,
    bytes: usize,
    entries: BTreeMap<u64, Entry>,
}

#[derive(Debug)]
struct Entry {
    request: id::Request,
    part: Part,
    /// Bytes received so far; 0 after the body was dropped.
    bytes: usize,
    /// The complete body; empty before it was received and after it was dropped.
    content: Bytes,
    /// The open attempts that may send it.
    loans: Vec<Arc<Reading>>,
    /// Whether it is being received, or was received and not dropped.
    is_held: bool,
    /// Notified when the body is dropped.
    changed: Arc<Notify>,
}

/// How far the upstream of one attempt has read the body.
#[derive(Debug, Default)]
struct Reading {
    /// Whether a part may have been sent.
    is_sent: AtomicBool,
    /// Whether the connection has dropped the body since.
    is_read: AtomicBool,
    /// Whether the body had been read when it was dropped to free memory.
    was_read: AtomicBool,
}

impl Reading {
    fn is_sent(&self) -> bool {
        self.is_sent.load(Ordering::Acquire)
    }

    fn is_read(&self) -> bool {
        self.is_sent() && self.is_read.load(Ordering::Acquire)
    }

    /// Records that the body is dropped to free memory. Returns whether the attempt needs it no longer.
    fn release(&self) -> bool {
        let is_read = self.is_read();
        self.was_read.store(is_read, Ordering::Release);
        is_read
    }
}

/// The content as the connection of one attempt holds it.
struct Sending {
    content: Bytes,
    reading: Arc<Reading>,
}

impl AsRef<[u8]> for Sending {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

impl Drop for Sending {
    fn drop(&mut self) {
        self.reading.is_read.store(true, Ordering::Release);
    }
}

/// What a body is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// The body of a request.
    Request,
    /// The body of a response.
    Response,
}

/// Effect of a drop on the request of the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// It continues without retries.
    Continued,
    /// It is aborted.
    Aborted,
}

/// A body that was dropped to free memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dropped {
    /// The request of the body.
    pub request: id::Request,
    /// What the body is.
    pub part: Part,
    /// Bytes of the body that were held.
    pub bytes: usize,
    /// Bytes of all other bodies.
    pub others: usize,
    /// Effect on the request.
    pub effect: Effect,
}

impl Bodies {
    /// Creates the table of a VM with this much memory, bytes.
    pub fn new(memory: usize) -> Arc<Bodies> {
        let max_bytes = (memory as f64 * MEMORY_SHARE) as usize;
        Arc::new(Bodies { max_bytes, inner: Mutex::default() })
    }

    /// Begins to receive a body of this length; none if the length is not declared.
    pub fn receive(
        self: &Arc<Bodies>,
        request: &id::Request,
        part: Part,
        length: Option<usize>,
    ) -> Receiver {
        let changed = Arc::new(Notify::new());
        let entry = Entry {
            request: request.clone(),
            part,
            bytes: 0,
            content: Bytes::new(),
            loans: Vec::new(),
            is_held: true,
            changed: changed.clone(),
        };
        let mut inner = self.inner.lock().unwrap();
        let number = inner.next;
        inner.next += 1;
        inner.entries.insert(number, entry);
        let body = Body { bodies: self.clone(), number, changed };
        Receiver { body, buffer: Vec::new(), length: length.unwrap_or(usize::MAX) }
    }

    /// Returns the total size of all bodies, bytes.
    pub fn bytes(&self) -> usize {
        self.inner.lock().unwrap().bytes
    }

    /// Returns the total size and the largest bodies, for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let inner = self.inner.lock().unwrap();
        let mut entries: Vec<&Entry> = inner.entries.values().filter(|e| e.bytes > 0).collect();
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.bytes));
        let largest = entries.iter().take(MAX_DUMPED);
        let largest: Vec<_> =
            largest.map(|e| json!({"request": e.request, "bytes": e.bytes})).collect();
        json!({"bytes": inner.bytes, "most": self.max_bytes, "bodies": entries.len(), "largest": largest})
    }
}

impl Inner {
    /// Drops the largest bodies until the total size is at most `max_bytes`; of equal ones the newest, whose request has
    /// progressed the least.
    fn drop_largest(&mut self, max_bytes: usize) -> Vec<Dropped> {
        let mut dropped = Vec::new();
        while self.bytes > max_bytes
            && let Some(largest) = self.entries.values_mut().max_by_key(|entry| entry.bytes)
        {
            let bytes = std::mem::take(&mut largest.bytes);
            self.bytes -= bytes;
            // The connection drops its reference when the last byte is in the buffer of the socket.
            let read = largest.loans.iter().filter(|reading| reading.release()).count();
            let effect = if read > 0 { Effect::Continued } else { Effect::Aborted };
            largest.is_held = false;
            largest.content = Bytes::new();
            largest.changed.notify_waiters();
            let (request, part) = (largest.request.clone(), largest.part);
            dropped.push(Dropped { request, part, bytes, others: self.bytes, effect });
        }
        dropped
    }
}

/// Receives a body.
#[derive(Debug)]
pub struct Receiver {
    body: Body,
    buffer: Vec<u8>,
    /// Declared length, or the maximum.
    length: usize,
}

impl Receiver {
    /// Adds received bytes, unless the body was dropped. Returns the bodies that were dropped to free memory.
    ///
    /// The bytes are copied, as a part of a connection's read buffer would keep all of it in memory.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Dropped> {
        let bodies = &self.body.bodies;
        let mut inner = bodies.inner.lock().unwrap();
        let Some(entry) = inner.entries.get_mut(&self.body.number) else { return Vec::new() };
        if !entry.is_held {
            return Vec::new();
        }
        entry.bytes += bytes.len();
        inner.bytes += bytes.len();
        let dropped = inner.drop_largest(bodies.max_bytes);
        drop(inner);
        if self.body.is_held() {
            self.reserve(bytes.len());
            self.buffer.extend_from_slice(bytes);
        } else {
            self.buffer = Vec::new();
        }
        dropped
    }

    /// Doubles the capacity if it is exceeded, but not beyond the declared length.
    fn reserve(&mut self, additional: usize) {
        let required = self.buffer.len() + additional;
        if required > self.buffer.capacity() {
            let capacity = (self.buffer.capacity() * 2).min(self.length).max(required);
            self.buffer.reserve_exact(capacity - self.buffer.len());
        }
    }

    /// Waits until the body is dropped.
    pub async fn dropped(&self) {
        self.body.dropped().await;
    }

    /// Ends the receipt of the body.
    pub fn finish(mut self) -> Body {
        self.buffer.shrink_to_fit();
        let mut inner = self.body.bodies.inner.lock().unwrap();
        let entry = inner.entries.get_mut(&self.body.number);
        if let Some(entry) = entry.filter(|entry| entry.is_held) {
            entry.content = Bytes::from(self.buffer);
        }
        drop(inner);
        self.body
    }
}

/// The body of a request, held until this is dropped.
#[derive(Debug)]
pub struct Body {
    bodies: Arc<Bodies>,
    number: u64,
    changed: Arc<Notify>,
}

impl Body {
    fn entry<T>(&self, read: impl FnOnce(&mut Entry) -> T) -> T {
        let mut inner = self.bodies.inner.lock().unwrap();
        read(inner.entries.get_mut(&self.number).expect("it is in the table until it is dropped"))
    }

    /// The bytes; none if they were dropped.
    pub fn bytes(&self) -> Option<Bytes> {
        self.entry(|entry| entry.is_held.then(|| entry.content.clone()))
    }

    /// Begins an attempt, which has sent nothing yet.
    pub fn begin_attempt(&self) -> Loan {
        let reading = Arc::new(Reading::default());
        self.entry(|entry| entry.loans.push(reading.clone()));
        let (bodies, changed) = (self.bodies.clone(), self.changed.clone());
        Loan { bodies, number: self.number, changed, reading }
    }

    /// Whether the body can still be sent.
    pub fn is_held(&self) -> bool {
        self.entry(|entry| entry.is_held)
    }

    /// Waits until the body is dropped.
    pub async fn dropped(&self) {
        wait(&self.changed, || !self.is_held()).await;
    }
}

/// Waits for a condition that holds after the body was dropped at the latest.
async fn wait(changed: &Notify, is_met: impl Fn() -> bool) {
    loop {
        let changed = changed.notified();
        tokio::pin!(changed);
        // Several attempts may wait. A notification only reaches those that wait by then.
        changed.as_mut().enable();
        if is_met() {
            return;
        }
        changed.await;
    }
}

/// The body as one attempt may send it, until this is dropped.
#[derive(Debug)]
pub struct Loan {
    bodies: Arc<Bodies>,
    number: u64,
    changed: Arc<Notify>,
    reading: Arc<Reading>,
}

impl Loan {
    /// The bytes, of which the attempt may send a part from now on; none if they were dropped.
    pub fn send(&self) -> Option<Bytes> {
        let mut inner = self.bodies.inner.lock().unwrap();
        let entry = inner.entries.get_mut(&self.number).filter(|entry| entry.is_held)?;
        self.reading.is_sent.store(true, Ordering::Release);
        let (content, reading) = (entry.content.clone(), self.reading.clone());
        Some(Bytes::from_owner(Sending { content, reading }))
    }

    /// Whether the attempt may have sent a part of the body.
    pub fn is_sent(&self) -> bool {
        self.reading.is_sent()
    }

    /// Whether the connection may hold a part of the body that the upstream has not read.
    pub fn is_unread(&self) -> bool {
        self.reading.is_sent() && !self.reading.is_read()
    }

    /// Waits until the attempt is aborted since the body was dropped before its upstream had read it.
    pub async fn aborted(&self) {
        wait(&self.changed, || {
            let inner = self.bodies.inner.lock().unwrap();
            let is_held = inner.entries.get(&self.number).is_some_and(|entry| entry.is_held);
            !is_held && !self.reading.was_read.load(Ordering::Acquire)
        })
        .await;
    }
}

impl Drop for Loan {
    fn drop(&mut self) {
        let mut inner = self.bodies.inner.lock().unwrap();
        if let Some(entry) = inner.entries.get_mut(&self.number) {
            entry.loans.retain(|reading| !Arc::ptr_eq(reading, &self.reading));
        }
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        let mut inner = self.bodies.inner.lock().unwrap();
        if let Some(entry) = inner.entries.remove(&self.number) {
            inner.bytes -= entry.bytes;
        }
    }
}
