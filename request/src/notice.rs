//! What an upstream says of itself in an answer, beside the answer.

use std::fmt;
use std::time::Duration;

/// What an upstream says of itself. It concerns the start of its program that gave the answer, and no
/// later one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// It is about to leave and wants no new work of anybody.
    pub leaving: bool,
    /// For how long it wants nothing from the VM that it answers, counted from the answer.
    pub rest: Option<Duration>,
}

impl Notice {
    /// Whether it says nothing.
    pub fn is_empty(self) -> bool {
        self == Notice::default()
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rest = self.rest.map(|rest| format!("asks for {} ms of rest", rest.as_millis()));
        match (self.leaving, rest) {
            (true, Some(rest)) => write!(f, "leaves and {rest}"),
            (true, None) => f.write_str("leaves"),
            (false, Some(rest)) => f.write_str(&rest),
            (false, None) => f.write_str("says nothing of itself"),
        }
    }
}

/// An answer with what its upstream says of itself; nothing where there was no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Noted<T> {
    /// What it says.
    pub notice: Notice,
    /// The answer, decoded.
    pub answer: T,
}

impl<T> Noted<T> {
    /// An answer by which the upstream says nothing of itself, or none.
    pub fn plain(answer: T) -> Noted<T> {
        Noted { notice: Notice::default(), answer }
    }
}
