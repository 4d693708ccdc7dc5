//! The VM that schedules the requests of another.

use std::fmt;
use std::net::SocketAddr;

use foldlock_base::prelude::*;

/// The VM that schedules a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Scheduler {
    /// This VM.
    Own,
    /// A peer.
    Peer(id::Vm, SocketAddr),
}

impl fmt::Display for Scheduler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scheduler::Own => f.write_str("this VM"),
            Scheduler::Peer(vm, address) => write!(f, "{vm} at {address}"),
        }
    }
}

impl Scheduler {
    /// Its address, if it is a peer.
    pub fn address(&self) -> Option<SocketAddr> {
        match self {
            Scheduler::Own => None,
            Scheduler::Peer(_, address) => Some(*address),
        }
    }
}
