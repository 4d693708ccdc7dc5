//! Answers that their callers have not read to the end.
//!
//! A caller that reads slowly must hold up neither the upstream, whose memory its request takes, nor other callers. So
//! what an upstream sends is read on into memory: each answer up to a share, and where all together take more
//! than the VM has for them, the one that takes most is given up.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use foldlock_base::prelude::*;
use serde_json::json;
use tokio::sync::Notify;

/// The part of a VM's memory that such answers may take: connections, settings and the cluster state take the rest.
const MEMORY_SHARE: f64 = 0.25;

/// Answers that may each take their share before one has to be given up.
const MIN_FULL_BUFFERS: usize = 64;

/// The least share of an answer, bytes: what comes in one read.
const MIN_FULL_BYTES: usize = 64 << 10;

/// Such answers that a dump names, those that take most.
const MAX_DUMPED: usize = 10;

/// The answers of a VM that are under way.
#[derive(Debug)]
pub struct Buffers {
    /// Bytes that all may take.
    max_bytes: usize,
    /// Bytes from which on an upstream waits for the caller.
    full_bytes: usize,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    next: u64,
    bytes: usize,
    buffers: BTreeMap<u64, Buffer>,
}

#[derive(Debug)]
struct Buffer {
    request: id::Request,
    parts: VecDeque<Bytes>,
    bytes: usize,
    state: State,
    reader: Option<Waker>,
    /// Told when something was read, and when nobody will read any more.
    changed: Arc<Notify>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// More may come.
    Open,
    /// All of it is here.
    Complete,
    /// It breaks off after what is here.
    Truncated,
    /// It took too much.
    Aborted,
}

/// An answer that was given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Aborted {
    /// The request that it answers.
    pub request: id::Request,
    /// What its caller had not read, bytes.
    pub bytes: usize,
}

/// Why nothing more can be added to an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closed {
    /// The caller went away.
    Disconnected,
    /// It was given up.
    Aborted,
}

/// Whether a part was added.
enum Push {
    /// It was, and these had to be given up.
    Added(Vec<Aborted>),
    /// There is no room before the caller has read more.
    Full,
}

impl Buffers {
    /// No answers yet, on a VM with so many bytes of memory.
    pub fn new(memory: usize) -> Arc<Buffers> {
        let max_bytes = (memory as f64 * MEMORY_SHARE) as usize;
        let full_bytes = (max_bytes / MIN_FULL_BUFFERS).max(MIN_FULL_BYTES);
        Arc::new(Buffers { max_bytes, full_bytes, inner: Mutex::default() })
    }

    /// Begins the answer to a request.
    pub fn open(self: &Arc<Buffers>, request: &id::Request) -> (Writer, Reader) {
        let changed = Arc::new(Notify::new());
        let buffer = Buffer {
            request: request.clone(),
            parts: VecDeque::new(),
            bytes: 0,
            state: State::Open,
            reader: None,
            changed: changed.clone(),
        };
        let mut inner = self.inner.lock().unwrap();
        let number = inner.next;
        inner.next += 1;
        inner.buffers.insert(number, buffer);
        let reader = Reader { buffers: self.clone(), number, length: None };
        (Writer { buffers: self.clone(), number, changed }, reader)
    }

    /// A whole answer, and those that had to be given up for it.
    pub fn complete(
        self: &Arc<Buffers>,
        request: &id::Request,
        bytes: Bytes,
    ) -> (Reader, Vec<Aborted>) {
        let (writer, mut reader) = self.open(request);
        reader.length = Some(bytes.len() as u64);
        let aborted = match self.add(writer.number, &bytes) {
            Ok(Push::Added(aborted)) => aborted,
            Ok(Push::Full) | Err(_) => Vec::new(),
        };
        writer.end();
        (reader, aborted)
    }

    /// What all of them take, bytes.
    pub fn bytes(&self) -> usize {
        self.inner.lock().unwrap().bytes
    }

    /// What they take and which take most, for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let inner = self.inner.lock().unwrap();
        let mut buffers: Vec<&Buffer> = inner.buffers.values().filter(|b| b.bytes > 0).collect();
        buffers.sort_by_key(|buffer| std::cmp::Reverse(buffer.bytes));
        let largest = buffers.iter().take(MAX_DUMPED);
        let largest: Vec<_> =
            largest.map(|b| json!({"request": b.request, "bytes": b.bytes})).collect();
        json!({"bytes": inner.bytes, "most": self.max_bytes, "answers": buffers.len(), "largest": largest})
    }

    fn add(&self, number: u64, bytes: &Bytes) -> Result<Push, Closed> {
        let mut inner = self.inner.lock().unwrap();
        let buffer = inner.buffers.get_mut(&number).ok_or(Closed::Disconnected)?;
        if buffer.state == State::Aborted {
            return Err(Closed::Aborted);
        }
        if buffer.bytes >= self.full_bytes {
            return Ok(Push::Full);
        }
        buffer.bytes += bytes.len();
        buffer.parts.push_back(bytes.clone());
        buffer.wake_reader();
        inner.bytes += bytes.len();
        Ok(Push::Added(inner.abort_largest(self.max_bytes)))
    }

    fn closed(&self, number: u64) -> Option<Closed> {
        match self.inner.lock().unwrap().buffers.get(&number) {
            None => Some(Closed::Disconnected),
            Some(buffer) => (buffer.state == State::Aborted).then_some(Closed::Aborted),
        }
    }

    fn finish(&self, number: u64, state: State) {
        let mut inner = self.inner.lock().unwrap();
        let open = inner.buffers.get_mut(&number).filter(|buffer| buffer.state == State::Open);
        if let Some(buffer) = open {
            buffer.state = state;
            buffer.wake_reader();
        }
    }
}

impl Inner {
    /// Gives up the largest until all take no more than `most` bytes.
    fn abort_largest(&mut self, max_bytes: usize) -> Vec<Aborted> {
        let mut aborted = Vec::new();
        while self.bytes > max_bytes
            && let Some(largest) = self.buffers.values_mut().max_by_key(|buffer| buffer.bytes)
        {
            let bytes = std::mem::take(&mut largest.bytes);
            largest.parts = VecDeque::new();
            largest.state = State::Aborted;
            largest.wake_reader();
            largest.changed.notify_one();
            aborted.push(Aborted { request: largest.request.clone(), bytes });
            self.bytes -= bytes;
        }
        aborted
    }
}

impl Buffer {
    fn wake_reader(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

/// The stream to the caller ends without its end: hyper closes the connection, so that the answer
/// cannot be taken for complete.
#[derive(Debug)]
pub struct Truncated;

impl fmt::Display for Truncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was broken off")
    }
}

impl std::error::Error for Truncated {}

/// Where an answer is written.
#[derive(Debug)]
pub struct Writer {
    buffers: Arc<Buffers>,
    number: u64,
    changed: Arc<Notify>,
}

impl Writer {
    /// Adds bytes, once there is room for them. Answers which answers had to be given up.
    pub async fn push(&self, bytes: Bytes) -> Result<Vec<Aborted>, Closed> {
        loop {
            match self.buffers.add(self.number, &bytes)? {
                Push::Added(aborted) => return Ok(aborted),
                Push::Full => self.changed.notified().await,
            }
        }
    }

    /// Waits until nobody will read any more.
    pub async fn closed(&self) -> Closed {
        loop {
            if let Some(closed) = self.buffers.closed(self.number) {
                return closed;
            }
            self.changed.notified().await;
        }
    }

    /// The answer is whole. One that is dropped without this breaks off where it is.
    pub fn end(self) {
        self.buffers.finish(self.number, State::Complete);
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.buffers.finish(self.number, State::Truncated);
    }
}

/// Where an answer is read.
#[derive(Debug)]
pub struct Reader {
    buffers: Arc<Buffers>,
    number: u64,
    /// Its length, where it is known, bytes.
    length: Option<u64>,
}

impl Reader {
    /// Its length, where it was known from the beginning, bytes.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// The next bytes; none at the end.
    pub fn poll_next(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Truncated>>> {
        let mut inner = self.buffers.inner.lock().unwrap();
        let Some(buffer) = inner.buffers.get_mut(&self.number) else { return Poll::Ready(None) };
        if let Some(part) = buffer.parts.pop_front() {
            buffer.bytes -= part.len();
            buffer.changed.notify_one();
            inner.bytes -= part.len();
            return Poll::Ready(Some(Ok(part)));
        }
        match buffer.state {
            State::Open => {
                buffer.reader = Some(context.waker().clone());
                Poll::Pending
            }
            State::Complete => Poll::Ready(None),
            State::Truncated | State::Aborted => Poll::Ready(Some(Err(Truncated))),
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut inner = self.buffers.inner.lock().unwrap();
        if let Some(buffer) = inner.buffers.remove(&self.number) {
            inner.bytes -= buffer.bytes;
            buffer.changed.notify_one();
        }
    }
}
