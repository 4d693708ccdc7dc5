//! Notices: what an upstream states about itself in the headers of a response.

use std::fmt;
use std::time::Duration;

use foldlock_base::prelude::*;

/// What an upstream states about itself. It applies to the incarnation of the upstream that sent
/// the response, and to no later one.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Notice {
    /// It is about to shut down and accepts no new work from any VM.
    pub leaving: bool,
    /// Time from the response for which it accepts no requests from the VM that receives the
    /// response.
    pub backoff: Option<Duration>,
    /// Its rate limit for the whole fleet.
    pub rate_limit: RateLimit,
}

/// What a response states about its upstream's rate limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum RateLimit {
    /// The response says nothing about the upstream that the request was sent to.
    #[default]
    Unknown,
    /// No rate limit.
    Unlimited,
    /// A rate limit.
    Limited(Rate),
    /// A malformed rate limit.
    Unreadable,
}

impl Notice {
    /// Whether it requires no action of the VMs.
    pub fn is_empty(self) -> bool {
        let is_limited = matches!(self.rate_limit, RateLimit::Limited(_) | RateLimit::Unreadable);
        !self.leaving && self.backoff.is_none() && !is_limited
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let leaves = self.leaving.then(|| "leaves".to_owned());
        let backoff =
            self.backoff.map(|time| format!("asks for a backoff of {} ms", time.as_millis()));
        let limit = match self.rate_limit {
            RateLimit::Unknown | RateLimit::Unlimited => None,
            RateLimit::Limited(rate) => Some(format!("limits requests from all VMs to {rate}")),
            RateLimit::Unreadable => Some("states a malformed rate limit".to_owned()),
        };
        let parts: Vec<String> = [leaves, backoff, limit].into_iter().flatten().collect();
        if parts.is_empty() {
            return f.write_str("states nothing about itself");
        }
        f.write_str(&parts.join(" and "))
    }
}

/// A response with its upstream's notice. The notice is empty if there was no response.
#[derive(Debug, Clone, PartialEq)]
pub struct Annotated<T> {
    /// The notice.
    pub notice: Notice,
    /// The decoded response.
    pub value: T,
}

impl<T> Annotated<T> {
    /// A response without a notice, or a failure without a response.
    pub fn without_notice(value: T) -> Annotated<T> {
        Annotated { notice: Notice::default(), value }
    }
}
