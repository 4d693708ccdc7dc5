//! Buffers for response bytes that callers have not read yet, with a bound on their total size.
//!
//! A slow caller must not delay the upstream, whose memory its request occupies, nor other callers. So responses are
//! read into memory: each one until its buffer is full. If all buffers together exceed the bound of the VM, the
//! response with the largest buffer is aborted.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use foldlock_base::prelude::*;
use serde_json::json;
use tokio::sync::Notify;

/// Share of the VM's memory for these buffers. Connections, settings and the cluster state need the rest.
const MEMORY_SHARE: f64 = 0.25;

/// Number of full buffers that fit into the bound, unless this share of it is less than [`MIN_FULL_BYTES`].
const MIN_FULL_BUFFERS: usize = 64;

/// Minimum size from which a buffer counts as full, bytes: the size of one read.
const MIN_FULL_BYTES: usize = 64 << 10;

/// Maximum number of buffers in a dump, the largest ones.
const MAX_DUMPED: usize = 10;

/// The buffers of all responses of a VM.
#[derive(Debug)]
pub struct Buffers {
    /// Bound on the total size, bytes.
    max_bytes: usize,
    /// Size from which a buffer is full and its upstream waits for the caller, bytes.
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
    /// Notified when bytes were read, and when the response is aborted or its reader is dropped.
    changed: Arc<Notify>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// More bytes may be added.
    Open,
    /// The response is complete.
    Complete,
    /// The response was truncated after the buffered bytes.
    Truncated,
    /// The response was aborted to free memory.
    Aborted,
}

/// A response that was aborted to free memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Aborted {
    /// The request of the response.
    pub request: id::Request,
    /// Bytes that its caller had not read.
    pub bytes: usize,
}

/// Why no more bytes can be added to a buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closed {
    /// The caller disconnected.
    Disconnected,
    /// The response was aborted to free memory.
    Aborted,
}

/// The result of adding bytes to a buffer.
enum Push {
    /// They were added, and these responses were aborted to free memory.
    Added(Vec<Aborted>),
    /// The buffer is full until its caller reads more.
    Full,
}

impl Buffers {
    /// Creates the buffers of a VM with this much memory, bytes.
    pub fn new(memory: usize) -> Arc<Buffers> {
        let max_bytes = (memory as f64 * MEMORY_SHARE) as usize;
        let full_bytes = (max_bytes / MIN_FULL_BUFFERS).max(MIN_FULL_BYTES);
        Arc::new(Buffers { max_bytes, full_bytes, inner: Mutex::default() })
    }

    /// Opens the buffer for the response to a request.
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

    /// Buffers a complete response. Returns the responses that were aborted to free memory for it.
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

    /// Returns the total size of all buffers, bytes.
    pub fn bytes(&self) -> usize {
        self.inner.lock().unwrap().bytes
    }

    /// Returns the total size and the largest buffers, for a dump.
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
    /// Aborts the responses with the largest buffers until the total size is at most `max_bytes`.
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

/// The response to the caller is truncated: hyper closes the connection without the last chunk, so that the response
/// cannot be taken for complete.
#[derive(Debug)]
pub struct Truncated;

impl fmt::Display for Truncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response truncated")
    }
}

impl std::error::Error for Truncated {}

/// The writing end of a buffer.
#[derive(Debug)]
pub struct Writer {
    buffers: Arc<Buffers>,
    number: u64,
    changed: Arc<Notify>,
}

impl Writer {
    /// Adds bytes, waiting while the buffer is full. Returns the responses that were aborted to free memory.
    pub async fn push(&self, bytes: Bytes) -> Result<Vec<Aborted>, Closed> {
        loop {
            match self.buffers.add(self.number, &bytes)? {
                Push::Added(aborted) => return Ok(aborted),
                Push::Full => self.changed.notified().await,
            }
        }
    }

    /// Waits until the caller disconnects or the response is aborted.
    pub async fn closed(&self) -> Closed {
        loop {
            if let Some(closed) = self.buffers.closed(self.number) {
                return closed;
            }
            self.changed.notified().await;
        }
    }

    /// Marks the response as complete. A writer that is dropped without this call truncates it.
    pub fn end(self) {
        self.buffers.finish(self.number, State::Complete);
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.buffers.finish(self.number, State::Truncated);
    }
}

/// The reading end of a buffer.
#[derive(Debug)]
pub struct Reader {
    buffers: Arc<Buffers>,
    number: u64,
    /// Length of the response, bytes; none if it was not known from the beginning.
    length: Option<u64>,
}

impl Reader {
    /// Returns the length of the response, bytes; none if it was not known from the beginning.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns the next bytes; none at the end.
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
