//! The closed list of error kinds and the table from a kind to its answer.
//!
//! The table in docs/ERRORS.md is checked against this one by a test.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a request ran at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It did not run and will not.
    No,
    /// It ran, at least in part.
    Yes,
    /// It was sent, and what became of it is not known.
    Unknown,
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        })
    }
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal, $ran:literal;)*) => {
        /// What went wrong. The list is closed: each answer that is not a success has one of these.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Kind { $($(#[$doc])* $name,)* }

        impl Kind {
            /// Each kind, in the order of the table.
            pub const ALL: &'static [Kind] = &[$(Kind::$name,)*];

            /// The name in answers, logs and metrics.
            pub fn as_str(self) -> &'static str {
                match self { $(Kind::$name => $text,)* }
            }

            /// The HTTP status of the answer.
            pub fn status(self) -> u16 {
                match self { $(Kind::$name => $status,)* }
            }

            /// The values of `ran` that an answer of this kind can have.
            pub fn ran(self) -> &'static str {
                match self { $(Kind::$name => $ran,)* }
            }
        }
    };
}

kinds! {
    /// The request cannot be understood.
    BadRequest = "bad_request", 400, "no";
    /// No key, or one that no organisation has.
    Unauthorized = "unauthorized", 401, "no";
    /// No such path.
    NotFound = "not_found", 404, "no";
    /// The model is not in the settings.
    UnknownModel = "unknown_model", 404, "no";
    /// The path takes another method.
    MethodNotAllowed = "method_not_allowed", 405, "no";
    /// Headers or body came too slowly.
    RequestTimeout = "request_timeout", 408, "no";
    /// The body is larger than the settings allow.
    TooLarge = "too_large", 413, "no";
    /// The prompt is longer than any group of engines can hold.
    PromptTooLong = "prompt_too_long", 413, "no";
    /// The `Idempotency-Key` was used before.
    AlreadyClaimed = "already_claimed", 409, "no, yes, unknown";
    /// The stream of the cursor is gone, or the cursor is not genuine.
    StreamGone = "stream_gone", 410, "yes";
    /// A limit of the organisation or kind is used up.
    Limited = "limited", 429, "no";
    /// The predicted end lies beyond the deadline.
    Overloaded = "overloaded", 503, "no";
    /// No upstream can take the request.
    NoUpstream = "no_upstream", 503, "no";
    /// Upstreams ended under the request, and it is kept from all of them for a while.
    Quarantined = "quarantined", 503, "no";
    /// This VM is stopping.
    Draining = "draining", 503, "no";
    /// What the request needs from the key-value service cannot be had.
    StoreUnavailable = "store_unavailable", 503, "no";
    /// The upstream broke off, or answered what makes no sense.
    UpstreamFailed = "upstream_failed", 502, "no, unknown";
    /// The deadline passed.
    DeadlineExceeded = "deadline_exceeded", 504, "no, unknown";
    /// A fault of foldlock itself.
    Internal = "internal", 500, "no, unknown";
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A final answer that is not a success.
///
/// Outside this package `ran: no` comes about only by [`Error::unsent`], which takes the proof
/// that the request was never sent.
#[derive(Debug, Clone)]
pub struct Error {
    kind: Kind,
    ran: Ran,
    message: String,
    retry_after: Option<Duration>,
}

/// The proof that a request has not been sent. There is one for each request; sending consumes it.
#[derive(Debug)]
pub struct Unsent(());

/// What is left of [`Unsent`] once the request is on its way.
#[derive(Debug)]
pub struct Sent(());

/// The proof that a request did not run though it was on its way: there was no connection, or the
/// upstream itself says so.
#[derive(Debug)]
pub struct Refusal(());

impl Refusal {
    /// The header by which an upstream says whether it ran a request that it did not answer.
    pub const HEADER: &'static str = "x-ran";

    /// Nothing was sent, since there was no connection.
    pub fn not_connected() -> Refusal {
        Refusal(())
    }

    /// The upstream said in its platform's words, which the adapter decoded, that it did not run it.
    pub fn stated() -> Refusal {
        Refusal(())
    }

    /// Reads an upstream's answer: a refusal only where it has an error status and says so.
    pub fn from_response(status: u16, ran: Option<&str>) -> Option<Refusal> {
        (status >= 400 && ran == Some("no")).then_some(Refusal(()))
    }
}

impl Unsent {
    /// The proof for a request that has just arrived.
    pub fn arrived() -> Unsent {
        Unsent(())
    }

    /// Marks the request as sent: from here on it may have run.
    pub fn send(self) -> Sent {
        Sent(())
    }
}

impl Sent {
    /// Takes back the sending, on the upstream's own word.
    pub fn refused(self, _proof: Refusal) -> Unsent {
        Unsent(())
    }
}

/// What is known of a request over all its attempts.
#[derive(Debug)]
pub enum Proof {
    /// No attempt has been sent, or each was proved not to have run.
    NotRun(Unsent),
    /// An attempt was sent and may have run.
    MayHaveRun(Sent),
}

/// An attempt on its way, with what was known before it.
#[derive(Debug)]
pub struct Attempt {
    sent: Sent,
    first: bool,
}

impl Proof {
    /// Sends an attempt.
    pub fn send(self) -> Attempt {
        match self {
            Proof::NotRun(unsent) => Attempt { sent: unsent.send(), first: true },
            Proof::MayHaveRun(sent) => Attempt { sent, first: false },
        }
    }

    /// The answer that follows. `began` says that tokens were seen.
    pub fn error(self, kind: Kind, message: impl Into<String>, began: bool) -> Error {
        match self {
            Proof::NotRun(unsent) => Error::unsent(kind, message, unsent),
            Proof::MayHaveRun(sent) => Error::sent(kind, message, sent, began),
        }
    }
}

impl Attempt {
    /// The attempt was proved not to have run; what former ones did is as it was.
    pub fn refused(self, proof: Refusal) -> Proof {
        if self.first {
            Proof::NotRun(self.sent.refused(proof))
        } else {
            Proof::MayHaveRun(self.sent)
        }
    }

    /// Nothing is known of the attempt.
    pub fn unknown(self) -> Proof {
        Proof::MayHaveRun(self.sent)
    }
}

impl Error {
    /// The answer for a request that was not sent: `ran: no`.
    pub fn unsent(kind: Kind, message: impl Into<String>, _proof: Unsent) -> Error {
        Error { kind, ran: Ran::No, message: message.into(), retry_after: None }
    }

    /// The answer for a request that was sent, with what is known of it.
    pub fn sent(kind: Kind, message: impl Into<String>, _sent: Sent, began: bool) -> Error {
        let ran = if began { Ran::Yes } else { Ran::Unknown };
        Error { kind, ran, message: message.into(), retry_after: None }
    }

    /// The answer for a request whose claim another attempt holds.
    pub fn claimed(message: impl Into<String>, ran: Ran) -> Error {
        Error { kind: Kind::AlreadyClaimed, ran, message: message.into(), retry_after: None }
    }

    /// Adds when the caller should come back.
    pub fn retry_after(mut self, after: Duration) -> Error {
        self.retry_after = Some(after);
        self
    }

    /// What went wrong.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Whether the request ran.
    pub fn ran(&self) -> Ran {
        self.ran
    }

    /// When the caller should come back, if that is known.
    pub fn retry(&self) -> Option<Duration> {
        self.retry_after
    }

    /// The explanation for people.
    pub fn message(&self) -> &str {
        &self.message
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} (ran: {})", self.kind, self.message, self.ran)
    }
}

impl std::error::Error for Error {}
