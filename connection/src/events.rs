//! Events of an engine's stream, and the checks that each one passes before a caller sees it.

use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::fmt;

/// The longest event, bytes. A stream with a longer one is broken.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// One event as an engine sends it: `data: {"r":…,"i":…,"t":…}` and an empty line.
#[derive(Debug, Serialize, Deserialize)]
pub struct Raw<'a> {
    /// The request that the event belongs to.
    #[serde(borrow)]
    pub r: Cow<'a, str>,
    /// The index of the token, contiguous from 0.
    pub i: u64,
    /// The token's text; absent in the last event.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub t: Option<Cow<'a, str>>,
    /// Why the answer ends, in the last event, whose index is the count of tokens.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub end: Option<Cow<'a, str>>,
}

/// A checked event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A token.
    Token {
        /// Its index.
        index: u64,
        /// Its text.
        text: String,
    },
    /// The end of the answer.
    End {
        /// Why it ends: `stop` or `length`.
        reason: String,
    },
}

/// Why a stream cannot be trusted any further.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// An event of another request.
    WrongRequest(String),
    /// An index ahead of the next one: something is missing.
    Gap {
        /// The index that should have come.
        expected: u64,
        /// The index that came.
        got: u64,
    },
    /// Not an event.
    Malformed(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::WrongRequest(other) => write!(f, "an event of request {other} came"),
            Fault::Gap { expected, got } => write!(f, "index {got} came in place of {expected}"),
            Fault::Malformed(why) => write!(f, "not an event: {why}"),
        }
    }
}

/// Cuts a byte stream into events and checks request and index of each.
#[derive(Debug)]
pub struct Checker {
    request: String,
    next: u64,
    buffer: BytesMut,
    duplicates: u64,
}

impl Checker {
    /// A checker of the answer to `request`, whose next token has index `next`.
    pub fn new(request: &str, next: u64) -> Checker {
        Checker { request: request.to_owned(), next, buffer: BytesMut::new(), duplicates: 0 }
    }

    /// The index of the next token.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Events that came twice and were dropped.
    pub fn duplicates(&self) -> u64 {
        self.duplicates
    }

    /// Takes bytes and hands each event that they complete to `sink`.
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
        (None, None) => Err(Fault::Malformed("neither token nor end".to_owned())),
    }
}
