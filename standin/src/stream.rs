//! The answer to one request, as an engine writes it and readers read it.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::engine::Ask;
use crate::fault::Fault;

/// What a stream's readers see.
#[derive(Debug, Default)]
pub struct Output {
    /// The tokens so far.
    pub tokens: Vec<String>,
    /// Why it ended, once it has.
    pub end: Option<&'static str>,
    /// The prefix state after the prompt, once it is computed.
    pub state: Option<u64>,
    /// Whether it was broken off.
    pub dead: bool,
}

/// A stream: the answer to one request.
#[derive(Debug)]
pub struct Stream {
    /// Its id.
    pub id: String,
    /// The request.
    pub request: String,
    /// The index of its first token.
    pub first_index: u64,
    /// Prompt tokens that were cached.
    pub cached: u64,
    /// What goes wrong with it.
    pub fault: Option<Fault>,
    output: Mutex<Output>,
    readers: Mutex<Readers>,
    changed: Notify,
}

#[derive(Debug)]
struct Readers {
    count: u32,
    left_at: Instant,
}

impl Stream {
    /// An empty stream without a reader.
    pub fn new(id: String, ask: &Ask, cached: u64, fault: Option<Fault>) -> Stream {
        Stream {
            id,
            request: ask.request.clone(),
            first_index: ask.first_index,
            cached,
            fault,
            output: Mutex::default(),
            readers: Mutex::new(Readers { count: 0, left_at: Instant::now() }),
            changed: Notify::new(),
        }
    }

    /// Looks at the output.
    pub fn look<R>(&self, f: impl FnOnce(&Output) -> R) -> R {
        f(&self.output.lock().unwrap())
    }

    /// Waits for more output. Take the waiter before looking.
    pub fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }

    /// Counts a reader in.
    pub fn attach(&self) {
        self.readers.lock().unwrap().count += 1;
    }

    /// Counts a reader out.
    pub fn detach(&self) {
        let mut readers = self.readers.lock().unwrap();
        readers.count -= 1;
        readers.left_at = Instant::now();
    }

    /// Whether it has had no reader for this long.
    pub fn abandoned(&self, linger: Duration) -> bool {
        let readers = self.readers.lock().unwrap();
        readers.count == 0 && readers.left_at.elapsed() > linger
    }

    /// Changes the output and wakes the readers.
    pub fn write(&self, f: impl FnOnce(&mut Output)) {
        f(&mut self.output.lock().unwrap());
        self.changed.notify_waiters();
    }
}
