//! Addresses for listeners that restart on the same address, or whose address must not get another owner.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

use socket2::{Domain, Socket, Type};

/// The first port to allocate.
const FIRST_PORT: u16 = 10_000;

/// Number of ports to allocate from. They end below the ephemeral range (32,768 and up): the system
/// may use a port of that range for an outgoing connection while no process listens on it.
const PORTS: u16 = 22_000;

/// Base of the loopback addresses of test processes: 127.64.0.0/10, which has one for each process id.
const NETWORK: u32 = u32::from_be_bytes([127, 64, 0, 0]);

/// Number of addresses in that network, the largest `pid_max` of Linux.
const ADDRESSES: u32 = 1 << 22;

static ALLOCATED: AtomicU16 = AtomicU16::new(0);

/// The loopback address of this process. No other process that allocates here listens on it, so that
/// requests for a stopped listener do not reach a listener of another test.
fn ip() -> IpAddr {
    Ipv4Addr::from(NETWORK + std::process::id() % ADDRESSES).into()
}

/// A loopback address that is free for TCP and UDP. A port is reused only after all others.
pub fn free() -> SocketAddr {
    loop {
        let port = FIRST_PORT + ALLOCATED.fetch_add(1, Ordering::Relaxed) % PORTS;
        let address = SocketAddr::from((ip(), port));
        if is_free(address, Type::STREAM) && is_free(address, Type::DGRAM) {
            return address;
        }
    }
}

/// Whether a socket can be bound to an address. The socket does not listen: a process that another thread starts meanwhile
/// has a copy of it until its program begins, and a listener could not be bound as long as that one listens.
fn is_free(address: SocketAddr, kind: Type) -> bool {
    let socket = Socket::new(Domain::IPV4, kind, None).expect("a free descriptor");
    socket.set_reuse_address(true).expect("a socket takes the option");
    socket.bind(&address.into()).is_ok()
}
