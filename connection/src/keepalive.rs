//! TCP keep-alive on connections between VMs and to upstreams.
//!
//! A partition may leave a connection open without a reset. Without probes, an idle connection in a pool, or a stream
//! between two events, would not end.

use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time after which the first probe is sent, and the interval between probes.
pub(crate) const INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which the connection is closed: links may lose one packet in three.
pub(crate) const PROBES: u32 = 3;

/// Enables keep-alive probes. `TCP_USER_TIMEOUT` is not set: it would also close connections to upstreams that are alive
/// but read slowly.
pub fn enable(stream: &TcpStream) -> std::io::Result<()> {
    let probes =
        TcpKeepalive::new().with_time(INTERVAL).with_interval(INTERVAL).with_retries(PROBES);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}
