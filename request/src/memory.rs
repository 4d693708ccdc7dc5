//! Reservations of engine memory, by which several engines can share one prompt.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use foldlock_base::prelude::*;

use crate::notice::Annotated;
use crate::transport::Transport;

/// A reservation of memory at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The engine.
    pub upstream: id::Upstream,
    /// Its address, `IP:port`.
    pub address: String,
    /// The reservation id, unique for each attempt.
    pub reservation_id: String,
    /// The amount of memory.
    pub tokens: Tokens,
}

/// Why a reservation failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The engine has not enough free memory.
    Insufficient,
    /// The engine did not respond: the memory may be reserved, now or later.
    Unconfirmed(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Insufficient => write!(f, "the engine has not enough free memory"),
            Failure::Unconfirmed(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for Failure {}

/// Reserves and releases engine memory. The platform adapter implements it.
pub trait Memory: Clone + Send + Sync + 'static {
    /// Reserves memory for `duration`, or extends the reservation with the same id.
    fn reserve<T: Transport>(
        &self,
        transport: &T,
        reservation: &Reservation,
        duration: Duration,
    ) -> impl Future<Output = Annotated<Result<(), Failure>>> + Send;

    /// Releases a reservation. Releasing one that does not exist is not an error.
    fn release<T: Transport>(
        &self,
        transport: &T,
        reservation: &Reservation,
    ) -> impl Future<Output = Annotated<Result<(), Failure>>> + Send;
}
