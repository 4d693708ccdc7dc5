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
const PART: f64 = 0.25;

/// Answers that may each take their share before one has to be given up.
const SHARES: usize = 64;

/// The least share of an answer, bytes: what comes in one read.
const LEAST_SHARE: usize = 64 << 10;

/// Such answers that a dump names, those that take most.
const NAMED: usize = 10;

/// The answers of a VM that are under way.
#[derive(Debug)]
pub struct Unread {
    /// Bytes that all may take.
    most: usize,
    /// Bytes from which on an upstream waits for the caller.
    share: usize,
    all: Mutex<All>,
}

#[derive(Debug, Default)]
struct All {
    next: u64,
    bytes: usize,
    answers: BTreeMap<u64, Answer>,
}

#[derive(Debug)]
struct Answer {
    request: id::Request,
    parts: VecDeque<Bytes>,
    bytes: usize,
    state: State,
    reader: Option<Waker>,
    /// Told when something was read, and when nobody will read any more.
    moved: Arc<Notify>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// More may come.
    Open,
    /// All of it is here.
    Whole,
    /// It breaks off after what is here.
    Broken,
    /// It took too much.
    GivenUp,
}

/// An answer that was given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GivenUp {
    /// The request that it answers.
    pub request: id::Request,
    /// What its caller had not read, bytes.
    pub bytes: usize,
}

/// Why nothing more can be added to an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closed {
    /// The caller went away.
    Gone,
    /// It was given up.
    GivenUp,
}

/// Whether a part was added.
enum Added {
    /// It was, and these had to be given up.
    Yes(Vec<GivenUp>),
    /// There is no room before the caller has read more.
    Full,
}

impl Unread {
    /// No answers yet, on a VM with so many bytes of memory.
    pub fn new(memory: usize) -> Arc<Unread> {
        let most = (memory as f64 * PART) as usize;
        let share = (most / SHARES).max(LEAST_SHARE);
        Arc::new(Unread { most, share, all: Mutex::default() })
    }

    /// Begins the answer to a request.
    pub fn begin(self: &Arc<Unread>, request: &id::Request) -> (Writer, Reader) {
        let moved = Arc::new(Notify::new());
        let answer = Answer {
            request: request.clone(),
            parts: VecDeque::new(),
            bytes: 0,
            state: State::Open,
            reader: None,
            moved: moved.clone(),
        };
        let mut all = self.all.lock().unwrap();
        let number = all.next;
        all.next += 1;
        all.answers.insert(number, answer);
        let reader = Reader { unread: self.clone(), number, length: None };
        (Writer { unread: self.clone(), number, moved }, reader)
    }

    /// A whole answer, and those that had to be given up for it.
    pub fn whole(
        self: &Arc<Unread>,
        request: &id::Request,
        bytes: Bytes,
    ) -> (Reader, Vec<GivenUp>) {
        let (writer, mut reader) = self.begin(request);
        reader.length = Some(bytes.len() as u64);
        let given_up = match self.add(writer.number, &bytes) {
            Ok(Added::Yes(given_up)) => given_up,
            Ok(Added::Full) | Err(_) => Vec::new(),
        };
        writer.end();
        (reader, given_up)
    }

    /// What all of them take, bytes.
    pub fn bytes(&self) -> usize {
        self.all.lock().unwrap().bytes
    }

    /// What they take and which take most, for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let all = self.all.lock().unwrap();
        let mut answers: Vec<&Answer> = all.answers.values().filter(|a| a.bytes > 0).collect();
        answers.sort_by_key(|answer| std::cmp::Reverse(answer.bytes));
        let named = answers.iter().take(NAMED);
        let named: Vec<_> =
            named.map(|a| json!({"request": a.request, "bytes": a.bytes})).collect();
        json!({"bytes": all.bytes, "most": self.most, "answers": answers.len(), "largest": named})
    }

    fn add(&self, number: u64, bytes: &Bytes) -> Result<Added, Closed> {
        let mut all = self.all.lock().unwrap();
        let answer = all.answers.get_mut(&number).ok_or(Closed::Gone)?;
        if answer.state == State::GivenUp {
            return Err(Closed::GivenUp);
        }
        if answer.bytes >= self.share {
            return Ok(Added::Full);
        }
        answer.bytes += bytes.len();
        answer.parts.push_back(bytes.clone());
        answer.wake();
        all.bytes += bytes.len();
        Ok(Added::Yes(all.give_up(self.most)))
    }

    fn closed(&self, number: u64) -> Option<Closed> {
        match self.all.lock().unwrap().answers.get(&number) {
            None => Some(Closed::Gone),
            Some(answer) => (answer.state == State::GivenUp).then_some(Closed::GivenUp),
        }
    }

    fn end(&self, number: u64, state: State) {
        let mut all = self.all.lock().unwrap();
        let open = all.answers.get_mut(&number).filter(|answer| answer.state == State::Open);
        if let Some(answer) = open {
            answer.state = state;
            answer.wake();
        }
    }
}

impl All {
    /// Gives up the largest until all take no more than `most` bytes.
    fn give_up(&mut self, most: usize) -> Vec<GivenUp> {
        let mut given_up = Vec::new();
        while self.bytes > most
            && let Some(largest) = self.answers.values_mut().max_by_key(|answer| answer.bytes)
        {
            let bytes = std::mem::take(&mut largest.bytes);
            largest.parts = VecDeque::new();
            largest.state = State::GivenUp;
            largest.wake();
            largest.moved.notify_one();
            given_up.push(GivenUp { request: largest.request.clone(), bytes });
            self.bytes -= bytes;
        }
        given_up
    }
}

impl Answer {
    fn wake(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

/// The stream to the caller ends without its end: hyper closes the connection, so that the answer
/// cannot be taken for complete.
#[derive(Debug)]
pub struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was broken off")
    }
}

impl std::error::Error for Cut {}

/// Where an answer is written.
#[derive(Debug)]
pub struct Writer {
    unread: Arc<Unread>,
    number: u64,
    moved: Arc<Notify>,
}

impl Writer {
    /// Adds bytes, once there is room for them. Answers which answers had to be given up.
    pub async fn push(&self, bytes: Bytes) -> Result<Vec<GivenUp>, Closed> {
        loop {
            match self.unread.add(self.number, &bytes)? {
                Added::Yes(given_up) => return Ok(given_up),
                Added::Full => self.moved.notified().await,
            }
        }
    }

    /// Waits until nobody will read any more.
    pub async fn closed(&self) -> Closed {
        loop {
            if let Some(closed) = self.unread.closed(self.number) {
                return closed;
            }
            self.moved.notified().await;
        }
    }

    /// The answer is whole. One that is dropped without this breaks off where it is.
    pub fn end(self) {
        self.unread.end(self.number, State::Whole);
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.unread.end(self.number, State::Broken);
    }
}

/// Where an answer is read.
#[derive(Debug)]
pub struct Reader {
    unread: Arc<Unread>,
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
    pub fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
        let mut all = self.unread.all.lock().unwrap();
        let Some(answer) = all.answers.get_mut(&self.number) else { return Poll::Ready(None) };
        if let Some(part) = answer.parts.pop_front() {
            answer.bytes -= part.len();
            answer.moved.notify_one();
            all.bytes -= part.len();
            return Poll::Ready(Some(Ok(part)));
        }
        match answer.state {
            State::Open => {
                answer.reader = Some(context.waker().clone());
                Poll::Pending
            }
            State::Whole => Poll::Ready(None),
            State::Broken | State::GivenUp => Poll::Ready(Some(Err(Cut))),
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let mut all = self.unread.all.lock().unwrap();
        if let Some(answer) = all.answers.remove(&self.number) {
            all.bytes -= answer.bytes;
            answer.moved.notify_one();
        }
    }
}
