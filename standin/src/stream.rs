//! The output of one request, written by the engine and read by HTTP responses.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::engine::Request;
use crate::fault::Fault;

/// The output of a stream so far.
#[derive(Debug, Default)]
pub struct Output {
    /// The generated tokens.
    pub tokens: Vec<String>,
    /// The finish reason, once generation is complete.
    pub end: Option<&'static str>,
    /// The prefix state after the prompt, once the prompt is computed.
    pub state: Option<u64>,
    /// Whether the request was aborted.
    pub aborted: bool,
}

/// The stream of one request.
#[derive(Debug)]
pub struct Stream {
    /// The stream's id.
    pub id: String,
    /// The request's id.
    pub request: String,
    /// The index of the first token.
    pub first_index: u64,
    /// Number of prompt tokens found in the prefix cache.
    pub cached: u64,
    /// The fault to inject.
    pub fault: Option<Fault>,
    output: Mutex<Output>,
    readers: Mutex<Readers>,
    changed: Notify,
}

#[derive(Debug)]
struct Readers {
    count: u32,
    last_left_at: Instant,
}

impl Stream {
    /// Creates an empty stream without a reader.
    pub fn new(id: String, request: &Request, cached: u64, fault: Option<Fault>) -> Stream {
        Stream {
            id,
            request: request.id.clone(),
            first_index: request.first_index,
            cached,
            fault,
            output: Mutex::default(),
            readers: Mutex::new(Readers { count: 0, last_left_at: Instant::now() }),
            changed: Notify::new(),
        }
    }

    /// Reads the output.
    pub fn read<R>(&self, f: impl FnOnce(&Output) -> R) -> R {
        f(&self.output.lock().unwrap())
    }

    /// Resolves at the next change of the output. Call it before reading, or a change is missed.
    pub fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }

    /// Registers a reader.
    pub fn add_reader(&self) {
        self.readers.lock().unwrap().count += 1;
    }

    /// Unregisters a reader.
    pub fn remove_reader(&self) {
        let mut readers = self.readers.lock().unwrap();
        readers.count -= 1;
        readers.last_left_at = Instant::now();
    }

    /// Whether the stream has had no reader for longer than `linger`.
    pub fn is_abandoned(&self, linger: Duration) -> bool {
        let readers = self.readers.lock().unwrap();
        readers.count == 0 && readers.last_left_at.elapsed() > linger
    }

    /// Changes the output and notifies the readers.
    pub fn update(&self, f: impl FnOnce(&mut Output)) {
        f(&mut self.output.lock().unwrap());
        self.changed.notify_waiters();
    }
}
