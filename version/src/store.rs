//! What foldlock asks of the platform's key-value service.

use std::fmt;
use std::future::Future;
use std::time::Duration;

/// A value with its revision. Revisions of a key only grow; 0 stands for an absent key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The value.
    pub value: Vec<u8>,
    /// The revision, 1 or more.
    pub revision: u64,
}

/// Why a call to the store brought nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// No answer, or none that makes sense. A write may have taken effect.
    Unavailable(String),
    /// The store refused the call for its rate; it had no effect.
    RateLimited,
    /// The key is at another revision; the write had no effect.
    Conflict,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Unavailable(why) => write!(f, "the key-value service gave no answer: {why}"),
            Failure::RateLimited => write!(f, "the key-value service is at its rate limit"),
            Failure::Conflict => write!(f, "another write came first"),
        }
    }
}

impl std::error::Error for Failure {}

/// The key-value service: compare-and-swap, leases and watches.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, Failure>> + Send;

    /// Writes a key that is at revision `expected` (0: absent) and gives the new revision.
    fn swap(
        &self,
        key: &str,
        expected: u64,
        value: Vec<u8>,
    ) -> impl Future<Output = Result<u64, Failure>> + Send;

    /// Deletes a key that is at revision `expected`.
    fn delete(&self, key: &str, expected: u64) -> impl Future<Output = Result<(), Failure>> + Send;

    /// Waits until the key is past revision `after`, for at most `wait`; none where it is not.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Entry>, Failure>> + Send;
}
