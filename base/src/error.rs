//! The closed list of error kinds, with the HTTP status of each.
//!
//! A test checks that docs/ERRORS.md has the same table.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a request ran at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It did not run and will not run.
    No,
    /// It ran, at least in part.
    Yes,
    /// It was sent, and it is not known whether it ran.
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
        /// The kind of an error. The list is closed: each error response has one of these.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Kind { $($(#[$doc])* $name,)* }

        impl Kind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Kind] = &[$(Kind::$name,)*];

            /// The name in responses, logs and metrics.
            pub fn as_str(self) -> &'static str {
                match self { $(Kind::$name => $text,)* }
            }

            /// The HTTP status of the response.
            pub fn status(self) -> u16 {
                match self { $(Kind::$name => $status,)* }
            }

            /// The values of `ran` that a response of this kind can have.
            pub fn ran(self) -> &'static str {
                match self { $(Kind::$name => $ran,)* }
            }
        }
    };
}

kinds! {
    /// The request is malformed.
    BadRequest = "bad_request", 400, "no";
    /// The key is missing, or belongs to no organisation.
    Unauthorized = "unauthorized", 401, "no";
    /// The path does not exist.
    NotFound = "not_found", 404, "no";
    /// The model is not in the settings.
    UnknownModel = "unknown_model", 404, "no";
    /// The path does not support the method.
    MethodNotAllowed = "method_not_allowed", 405, "no";
    /// Headers or body were not received in time.
    RequestTimeout = "request_timeout", 408, "no";
    /// The body exceeds the maximum size in the settings.
    TooLarge = "too_large", 413, "no";
    /// The prompt exceeds the memory of every group of engines.
    PromptTooLong = "prompt_too_long", 413, "no";
    /// The `Idempotency-Key` is already claimed.
    AlreadyClaimed = "already_claimed", 409, "no, yes, unknown";
    /// The stream of the cursor no longer exists, or the cursor is not authentic.
    StreamGone = "stream_gone", 410, "yes";
    /// A limit of the organisation or kind is exhausted.
    Limited = "limited", 429, "no";
    /// The predicted completion is later than the deadline.
    Overloaded = "overloaded", 503, "no";
    /// No upstream can accept the request.
    NoUpstream = "no_upstream", 503, "no";
    /// Upstreams crashed while they ran the request, which is kept from all upstreams for a time.
    Quarantined = "quarantined", 503, "no";
    /// This VM is shutting down.
    Draining = "draining", 503, "no";
    /// The key-value service, which the request needs, is unavailable.
    StoreUnavailable = "store_unavailable", 503, "no";
    /// The connection to the upstream broke, or its response is invalid.
    UpstreamFailed = "upstream_failed", 502, "no, unknown";
    /// The deadline passed.
    DeadlineExceeded = "deadline_exceeded", 504, "no, unknown";
    /// An internal error of foldlock.
    Internal = "internal", 500, "no, unknown";
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A final error response.
///
/// Other packages can construct an error with `ran: no` only by [`Error::unsent`], which requires
/// the proof that the request was not sent, and by [`Error::claimed`], which states the earlier
/// request's value.
#[derive(Debug, Clone)]
pub struct Error {
    kind: Kind,
    ran: Ran,
    message: String,
    retry_after: Option<Duration>,
}

/// Proof that a request has not been sent. Each request has one, which sending consumes.
#[derive(Debug)]
pub struct Unsent(());

/// Replaces [`Unsent`] once the request has been sent.
#[derive(Debug)]
pub struct Sent(());

/// Proof that a request did not run although it was to be sent: there was no connection, or the
/// upstream states that it did not run it.
#[derive(Debug)]
pub struct Refusal(());

impl Refusal {
    /// The header in which an upstream states whether it ran a request that failed.
    pub const HEADER: &'static str = "x-ran";

    /// Nothing was sent, because there was no connection.
    pub fn not_connected() -> Refusal {
        Refusal(())
    }

    /// The upstream stated in its platform's protocol, decoded by the adapter, that the request did
    /// not run.
    pub fn stated() -> Refusal {
        Refusal(())
    }

    /// The refusal in an upstream's response: only with an error status and `x-ran: no`.
    pub fn from_response(status: u16, ran: Option<&str>) -> Option<Refusal> {
        (status >= 400 && ran == Some("no")).then_some(Refusal(()))
    }
}

impl Unsent {
    /// The proof for a request that was just received.
    pub fn arrived() -> Unsent {
        Unsent(())
    }

    /// Marks the request as sent: from now on it may have run.
    pub fn send(self) -> Sent {
        Sent(())
    }
}

impl Sent {
    /// Restores the proof that the request did not run, given the refusal.
    pub fn refused(self, _proof: Refusal) -> Unsent {
        Unsent(())
    }
}

/// Whether any attempt of a request may have run.
#[derive(Debug)]
pub enum Proof {
    /// No attempt was sent, or each was refused.
    NotRun(Unsent),
    /// An attempt was sent and may have run.
    MayHaveRun(Sent),
}

/// An attempt in flight, and whether earlier attempts may have run.
#[derive(Debug)]
pub struct Attempt {
    sent: Sent,
    first: bool,
}

impl Proof {
    /// Marks an attempt as sent.
    pub fn send(self) -> Attempt {
        match self {
            Proof::NotRun(unsent) => Attempt { sent: unsent.send(), first: true },
            Proof::MayHaveRun(sent) => Attempt { sent, first: false },
        }
    }

    /// The error response. `began` states whether tokens were received.
    pub fn error(self, kind: Kind, message: impl Into<String>, began: bool) -> Error {
        match self {
            Proof::NotRun(unsent) => Error::unsent(kind, message, unsent),
            Proof::MayHaveRun(sent) => Error::sent(kind, message, sent, began),
        }
    }
}

impl Attempt {
    /// The attempt did not run. Earlier attempts may still have run.
    pub fn refused(self, proof: Refusal) -> Proof {
        if self.first {
            Proof::NotRun(self.sent.refused(proof))
        } else {
            Proof::MayHaveRun(self.sent)
        }
    }

    /// The attempt may have run.
    pub fn unknown(self) -> Proof {
        Proof::MayHaveRun(self.sent)
    }
}

impl Error {
    /// The error of a request that was not sent: `ran: no`.
    pub fn unsent(kind: Kind, message: impl Into<String>, _proof: Unsent) -> Error {
        Error { kind, ran: Ran::No, message: message.into(), retry_after: None }
    }

    /// The error of a request that was sent: `ran: yes` if its response began, otherwise unknown.
    pub fn sent(kind: Kind, message: impl Into<String>, _sent: Sent, began: bool) -> Error {
        let ran = if began { Ran::Yes } else { Ran::Unknown };
        Error { kind, ran, message: message.into(), retry_after: None }
    }

    /// The error of a request whose idempotency key is already claimed; `ran` is that of the claim.
    pub fn claimed(message: impl Into<String>, ran: Ran) -> Error {
        Error { kind: Kind::AlreadyClaimed, ran, message: message.into(), retry_after: None }
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(mut self, after: Duration) -> Error {
        self.retry_after = Some(after);
        self
    }

    /// The kind of the error.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Whether the request ran.
    pub fn ran(&self) -> Ran {
        self.ran
    }

    /// The time after which the caller may retry, if known.
    pub fn retry(&self) -> Option<Duration> {
        self.retry_after
    }

    /// The error message.
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
