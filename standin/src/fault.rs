//! Faults that a test asks of a stand-in.

use serde::{Deserialize, Serialize};

/// What goes wrong with a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Nothing more comes; the connection stays open.
    Freeze,
    /// The connection is cut.
    Cut,
    /// An event of another request comes.
    Cross,
    /// The event comes twice.
    Double,
    /// The event is left out.
    Skip,
    /// The event changes places with the next one.
    Reorder,
    /// The request is refused, truthfully.
    Refuse,
    /// The request runs and the connection is cut in place of the answer.
    LoseAnswer,
}

/// A fault of the next streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// What goes wrong.
    pub kind: Kind,
    /// At which token, counted from the stream's first.
    #[serde(default)]
    pub at: u64,
    /// For how many streams.
    #[serde(default = "one")]
    pub count: u32,
}

fn one() -> u32 {
    1
}
