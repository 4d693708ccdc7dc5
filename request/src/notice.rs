//! What an upstream says of itself in an answer, beside the answer.

use std::fmt;
use std::time::Duration;

use foldlock_base::prelude::*;

/// What an upstream says of itself. It concerns the start of its program that gave the answer, and no
/// later one.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Notice {
    /// It is about to leave and wants no new work of anybody.
    pub leaving: bool,
    /// For how long it wants nothing from the VM that it answers, counted from the answer.
    pub rest: Option<Duration>,
    /// Its rate limit for the whole fleet.
    pub rate_limit: RateLimit,
}

/// What an answer says of its upstream's rate limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum RateLimit {
    /// The answer says nothing about the upstream that was asked.
    #[default]
    Unknown,
    /// No limit.
    Unlimited,
    /// A limit.
    Limited(Rate),
    /// A malformed limit.
    Unreadable,
}

impl Notice {
    /// Whether it asks VMs to change nothing.
    pub fn is_empty(self) -> bool {
        let is_limited = matches!(self.rate_limit, RateLimit::Limited(_) | RateLimit::Unreadable);
        !self.leaving && self.rest.is_none() && !is_limited
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let leaves = self.leaving.then(|| "leaves".to_owned());
        let rest = self.rest.map(|rest| format!("asks for {} ms of rest", rest.as_millis()));
        let limit = match self.rate_limit {
            RateLimit::Unknown | RateLimit::Unlimited => None,
            RateLimit::Limited(rate) => Some(format!("takes {rate} from all VMs")),
            RateLimit::Unreadable => Some("names a rate limit that cannot be read".to_owned()),
        };
        let said: Vec<String> = [leaves, rest, limit].into_iter().flatten().collect();
        if said.is_empty() {
            return f.write_str("says nothing of itself");
        }
        f.write_str(&said.join(" and "))
    }
}

/// An answer with what its upstream says of itself; nothing where there was no answer.
#[derive(Debug, Clone, PartialEq)]
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
