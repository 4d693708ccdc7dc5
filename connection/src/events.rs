//! Events of an engine's stream, and the checks on each event before it is passed to the caller.

use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::fmt;

/// Maximum size of an event. A stream with a longer one is treated as failed.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// An event as an engine sends it: `data: {"r":…,"i":…,"t":…}` and an empty line.
#[derive(Debug, Serialize, Deserialize)]
pub struct Raw<'a> {
    /// Id of the request that the event belongs to.
    #[serde(borrow)]
    pub r: Cow<'a, str>,
    /// Index of the token; indexes are contiguous from 0.
    pub i: u64,
    /// Text of the token; absent in the last event.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub t: Option<Cow<'a, str>>,
    /// Finish reason, in the last event only; the index of that event is the number of tokens.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub end: Option<Cow<'a, str>>,
}

/// An event that passed the checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A generated token.
    Token {
        /// Index of the token.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// End of the answer.
    End {
        /// Finish reason: `stop` or `length`.
        reason: String,
    },
}

/// Why the rest of a stream must not be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// An event belongs to another request, whose id this is.
    WrongRequest(String),
    /// An index is not the expected one: events are missing, or the end came at the wrong index.
    Gap {
        /// Index that was expected.
        expected: u64,
        /// Index that was received.
        got: u64,
    },
    /// The bytes are not a valid event.
    Malformed(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::WrongRequest(other) => write!(f, "received an event of request {other}"),
            Fault::Gap { expected, got } => {
                write!(f, "received event index {got}, expected {expected}")
            }
            Fault::Malformed(why) => write!(f, "malformed event: {why}"),
        }
    }
}

/// Splits a byte stream into events and checks the request id and index of each.
#[derive(Debug)]
pub struct Checker {
    request: String,
    next: u64,
    buffer: BytesMut,
    duplicates: u64,
}

impl Checker {
    /// Creates a checker for a stream of `request` whose next token has index `next`.
    pub fn new(request: &str, next: u64) -> Checker {
        Checker { request: request.to_owned(), next, buffer: BytesMut::new(), duplicates: 0 }
    }

    /// Index of the next token.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Number of duplicate events, which were dropped.
    pub fn duplicates(&self) -> u64 {
        self.duplicates
    }

    /// Appends received bytes and passes each event that is now complete to `sink`.
    pub fn push(&mut self, bytes: Bytes, mut sink: impl FnMut(Event)) -> Result<(), Fault> {
        self.buffer.extend_from_slice(&bytes);
        while let Some(end) = find_end(&self.buffer) {
            let event = {
                let line = std::str::from_utf8(&self.buffer[..end])
                    .map_err(|_| Fault::Malformed("not UTF-8".to_owned()))?;
                check(line, &self.request, self.next)?
            };
            self.buffer.advance(end + SEPARATOR.len());
            match event {
                Checked::New(event) => {
                    if matches!(event, Event::Token { .. }) {
                        self.next += 1;
                    }
                    sink(event);
                }
                Checked::Duplicate => self.duplicates += 1,
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(Fault::Malformed(format!("longer than {MAX_EVENT_BYTES} bytes")));
        }
        Ok(())
    }
}

const SEPARATOR: &[u8] = b"\n\n";

fn find_end(buffer: &[u8]) -> Option<usize> {
    buffer.windows(SEPARATOR.len()).position(|w| w == SEPARATOR)
}

enum Checked {
    New(Event),
    Duplicate,
}

fn check(line: &str, request: &str, next: u64) -> Result<Checked, Fault> {
    let data = line
        .strip_prefix("data: ")
        .ok_or_else(|| Fault::Malformed(line.chars().take(40).collect()))?;
    let raw: Raw<'_> = serde_json::from_str(data).map_err(|e| Fault::Malformed(e.to_string()))?;
    if raw.r != request {
        return Err(Fault::WrongRequest(raw.r.into_owned()));
    }
    if raw.i > next {
        return Err(Fault::Gap { expected: next, got: raw.i });
    }
    match (raw.t, raw.end) {
        (_, Some(reason)) if raw.i == next => {
            Ok(Checked::New(Event::End { reason: reason.into_owned() }))
        }
        (_, Some(_)) => Err(Fault::Gap { expected: next, got: raw.i }),
        (Some(_), None) if raw.i < next => Ok(Checked::Duplicate),
        (Some(text), None) => {
            Ok(Checked::New(Event::Token { index: raw.i, text: text.into_owned() }))
        }
        (None, None) => Err(Fault::Malformed("neither a token nor an end".to_owned())),
    }
}
