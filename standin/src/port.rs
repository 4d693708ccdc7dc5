//! Ports for processes that are told where to listen, and start there again after their end.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// The first port that is given out.
const FIRST: u16 = 10_000;

/// How many there are: they end below the range from which the system takes the ports of outgoing
/// connections (32,768 and up). A port from there may be taken while nobody listens on it.
const COUNT: u16 = 22_000;

/// Ports between those that two test processes begin with.
const APART: u32 = 499;

static GIVEN: AtomicU16 = AtomicU16::new(0);

/// A loopback address that is free for TCP and UDP and not given out again soon.
pub fn free() -> SocketAddr {
    let first = (std::process::id().wrapping_mul(APART) % u32::from(COUNT)) as u16;
    loop {
        let given = GIVEN.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + (first + given % COUNT) % COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
