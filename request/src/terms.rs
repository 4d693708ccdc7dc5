//! The parameters of a request, decoded from the caller's headers, and the headers exchanged with
//! upstreams.

use std::time::Duration;

use foldlock_base::prelude::*;

use crate::part::Part;

/// The parameters of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Terms {
    /// The caller's id of this request; empty if it sent none.
    pub request_id: String,
    /// The API key, if the caller sent one.
    pub api_key: Option<String>,
    /// The time for which the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The last event that the caller received of an interrupted stream.
    pub last_event: Option<u64>,
    /// The number of prompt tokens.
    pub prompt: Tokens,
    /// The maximum number of tokens in the answer.
    pub max_answer: Tokens,
    /// The caller's estimate of the number of tokens in the answer: right in the median, often far
    /// off.
    pub expected_answer: Option<Tokens>,
    /// The parts of the prompt that it shares with others, in their order. The request's own part, the last, is not
    /// among them.
    pub parts: Vec<Part>,
}

/// What the status and headers of a response state about an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream ran the request, and the response is its own.
    Ran,
    /// The upstream did not run the request and will not run it.
    NotRun,
    /// The upstream did not run the request, since it is another instance than the one that the
    /// request is for.
    WrongInstance,
    /// The response does not belong to this request.
    Mismatched,
}

/// What an upstream is sent in addition to the caller's own headers.
#[derive(Debug, Clone)]
pub struct Headers<'a> {
    /// The time until the deadline.
    pub remaining: Duration,
    /// The instance that the request is for.
    pub instance: &'a str,
    /// The organisation, if the request has a key.
    pub organisation: Option<&'a str>,
    /// The last event that was delivered, if a stream is resumed.
    pub last_event: Option<u64>,
    /// The upstreams that prefill parts of the prompt.
    pub helpers: &'a [Helper],
}

/// An upstream that prefills a part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// Its address, `IP:port`.
    pub address: String,
    /// The id of the memory reservation there, if it has one.
    pub reservation_id: Option<String>,
}
