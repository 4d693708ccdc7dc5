//! What a caller asks for, decoded from the headers of its request.

use std::time::Duration;

use foldlock_base::prelude::*;

/// The terms of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// The caller's id of this request; empty where it sent none.
    pub request: String,
    /// The key, where one was sent.
    pub key: Option<String>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// The last event that the caller has of a stream that broke off.
    pub last_event: Option<u64>,
    /// The prompt's size.
    pub prompt: Tokens,
    /// The most tokens that the answer may have.
    pub most: Tokens,
    /// The tokens that the caller guesses the answer to have; right in the median, often far off.
    pub expected: Option<Tokens>,
}

/// What an upstream said of an attempt by its status and headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It ran the request, and the answer is its own.
    Ran,
    /// It did not run the request and never will.
    NotRun,
    /// It did not run the request, and it is another instance than the one asked for.
    Elsewhere,
    /// The answer cannot be this request's.
    Foreign,
}

/// What is told to an upstream beside the caller's own headers.
#[derive(Debug, Clone)]
pub struct Handover<'a> {
    /// The time that is left.
    pub left: Duration,
    /// The instance that is meant.
    pub instance: &'a str,
    /// The organisation, where the request has a key.
    pub organisation: Option<&'a str>,
    /// The last event that was delivered, where a stream goes on.
    pub last_event: Option<u64>,
    /// The upstreams that help to read the prompt.
    pub helpers: &'a [Helper],
}

/// An upstream that helps to read a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// Where it listens, `IP:port`.
    pub address: String,
    /// The ticket for the memory that it has set aside, where it has any.
    pub ticket: Option<String>,
}
