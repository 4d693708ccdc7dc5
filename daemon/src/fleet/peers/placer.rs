//! Who places a request.

use std::fmt;
use std::net::SocketAddr;

use foldlock_base::prelude::*;

/// The VM that places a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placer {
    /// This one.
    Own,
    /// A peer.
    Peer(id::Vm, SocketAddr),
}

impl fmt::Display for Placer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Placer::Own => f.write_str("this one"),
            Placer::Peer(vm, address) => write!(f, "{vm} at {address}"),
        }
    }
}

impl Placer {
    /// Where it listens, if it is a peer.
    pub fn address(&self) -> Option<SocketAddr> {
        match self {
            Placer::Own => None,
            Placer::Peer(_, address) => Some(*address),
        }
    }
}
