//! Memory that engines set aside on request, so that a prompt can be held by several of them.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use foldlock_base::prelude::*;

use crate::notice::Noted;

/// What a reservation is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The engine.
    pub upstream: id::Upstream,
    /// Where it listens, `IP:port`.
    pub address: String,
    /// The name of the ticket; never used for another attempt.
    pub ticket: String,
    /// The memory.
    pub tokens: Tokens,
}

/// Why there is no memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The engine has not that much left.
    Taken,
    /// The engine did not answer: it may have set the memory aside, or may yet.
    Unknown(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Taken => write!(f, "its memory is taken"),
            Fault::Unknown(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for Fault {}

/// Engines that set memory aside. An adapter implements this.
pub trait Memory: Clone + Send + Sync + 'static {
    /// Sets memory aside for `hold`, or renews what is set aside under the same ticket.
    fn reserve(
        &self,
        reservation: &Reservation,
        hold: Duration,
    ) -> impl Future<Output = Noted<Result<(), Fault>>> + Send;

    /// Gives it back. Giving back what is not set aside is no fault.
    fn release(
        &self,
        reservation: &Reservation,
    ) -> impl Future<Output = Noted<Result<(), Fault>>> + Send;
}
