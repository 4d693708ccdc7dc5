//! Binds the addresses of a VM.
//!
//! The process that had them before may still hold them: a killed process keeps its sockets until the system has torn it
//! down, which takes a while on a busy machine. A VM that ended at once would depend on how often and how soon it
//! is started again.

use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use slog::Logger;
use tokio::net::{TcpListener, UdpSocket};

use crate::log;

/// Time for which an address that is in use is tried again.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Listens on an address.
pub async fn tcp(address: SocketAddr, log: &Logger) -> Result<TcpListener> {
    retry(address, log, || TcpListener::bind(address)).await
}

/// Receives datagrams at an address.
pub async fn udp(address: SocketAddr, log: &Logger) -> Result<UdpSocket> {
    retry(address, log, || UdpSocket::bind(address)).await
}

async fn retry<S, F>(address: SocketAddr, log: &Logger, bind: impl Fn() -> F) -> Result<S>
where
    F: Future<Output = Result<S>>,
{
    let began = Instant::now();
    let mut is_logged = false;
    loop {
        match bind().await {
            Ok(socket) => return Ok(socket),
            Err(e) if e.kind() == ErrorKind::AddrInUse && began.elapsed() < TIMEOUT => {
                if !std::mem::replace(&mut is_logged, true) {
                    log::event(log, Event::AddressInUse, address);
                }
            }
            Err(e) => return Err(Error::new(e.kind(), format!("cannot bind {address}: {e}"))),
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
