//! The interface to the platform's key-value service.

use std::fmt;
use std::future::Future;
use std::time::Duration;

/// A value and its revision. Revisions of a key only increase; 0 stands for an absent key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The value.
    pub value: Vec<u8>,
    /// The revision, 1 or more.
    pub revision: u64,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// No response, or an invalid one. A write may have taken effect.
    Unavailable(String),
    /// The store rejected the call because of its rate limit; the call had no effect.
    RateLimited,
    /// The key is at another revision; the write had no effect.
    Conflict,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Unavailable(why) => write!(f, "the key-value service is unavailable: {why}"),
            Failure::RateLimited => {
                write!(f, "the key-value service rejected the call: rate limit exceeded")
            }
            Failure::Conflict => write!(f, "the key was changed by another write"),
        }
    }
}

impl std::error::Error for Failure {}

/// A key-value store with compare-and-swap and watches.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, Failure>> + Send;

    /// Writes a key if it is at revision `expected` (0: absent), and returns the new revision.
    fn swap(
        &self,
        key: &str,
        expected: u64,
        value: Vec<u8>,
    ) -> impl Future<Output = Result<u64, Failure>> + Send;

    /// Deletes a key if it is at revision `expected`.
    fn delete(&self, key: &str, expected: u64) -> impl Future<Output = Result<(), Failure>> + Send;

    /// Waits for at most `wait` until the key has a revision above `after`; returns none if it has
    /// not by then.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Entry>, Failure>> + Send;
}
