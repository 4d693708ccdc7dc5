//! Faults that tests inject into a stand-in.

use serde::{Deserialize, Serialize};

/// The kind of a fault in a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// No more events are sent, and the connection stays open.
    Freeze,
    /// No more events are sent for this many milliseconds; then the stream goes on.
    Stall(u64),
    /// The request runs, and the response begins only after this many milliseconds.
    DelayResponse(u64),
    /// The connection is closed.
    #[serde(rename = "cut")]
    Disconnect,
    /// An event of another request is sent.
    #[serde(rename = "cross")]
    WrongRequest,
    /// The event is sent twice.
    #[serde(rename = "double")]
    Duplicate,
    /// The event is left out.
    Skip,
    /// The event is swapped with the next one.
    Reorder,
    /// The request is refused and does not run.
    Refuse,
    /// The request runs, and the connection is closed instead of a response.
    #[serde(rename = "lose_answer")]
    LoseResponse,
}

/// A fault to inject into the next streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The kind of the fault.
    pub kind: Kind,
    /// Index of the affected token, counted from the stream's first.
    #[serde(default)]
    pub at: u64,
    /// Number of streams to affect.
    #[serde(default = "one")]
    pub count: u32,
}

fn one() -> u32 {
    1
}
