//! Ports for processes that listen on a given address and restart on the same one.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// The first port to allocate.
const FIRST_PORT: u16 = 10_000;

/// Number of ports to allocate from. They end below the ephemeral range (32,768 and up): the system
/// may use a port of that range for an outgoing connection while no process listens on it.
const PORTS: u16 = 22_000;

/// Distance between the first ports of test processes with consecutive process ids.
const PROCESS_STRIDE: u32 = 499;

static ALLOCATED: AtomicU16 = AtomicU16::new(0);

/// A loopback address that is free for TCP and UDP. A port is reused only after all others.
pub fn free() -> SocketAddr {
    let first = (std::process::id().wrapping_mul(PROCESS_STRIDE) % u32::from(PORTS)) as u16;
    loop {
        let allocated = ALLOCATED.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (first + allocated % PORTS) % PORTS;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
