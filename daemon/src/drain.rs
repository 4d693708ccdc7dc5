//! Graceful shutdown. The VM reports that it is not ready and gives up its shards, but serves new
//! requests until the load balancer has noticed, and then finishes each request.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use std::time::Duration;

use foldlock_base::event::Event;
use tokio::sync::Notify;

use crate::log;
use crate::process::Process;

/// Maximum time for callers to read the rest of their responses once each request has ended.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// State of the shutdown.
#[derive(Default)]
pub struct Drain {
    stopping: AtomicBool,
    closed: AtomicBool,
    requests: AtomicUsize,
    connections: AtomicUsize,
    count_changed: Notify,
    close_requested: Notify,
}

/// Counts a request as in progress until dropped.
pub struct RequestGuard {
    process: Arc<Process>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let drain = &self.process.drain;
        drain.requests.fetch_sub(1, Ordering::AcqRel);
        drain.count_changed.notify_waiters();
    }
}

/// Counts a caller's connection as open until dropped.
pub struct ConnectionGuard {
    process: Arc<Process>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let drain = &self.process.drain;
        drain.connections.fetch_sub(1, Ordering::AcqRel);
        drain.count_changed.notify_waiters();
    }
}

impl Drain {
    /// Whether the shutdown has begun.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Whether new requests are rejected.
    pub fn closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Number of requests in progress.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    async fn wait_until(&self, condition: impl Fn(&Drain) -> bool) {
        loop {
            let changed = self.count_changed.notified();
            if condition(self) {
                return;
            }
            changed.await;
        }
    }

    /// Waits until new connections are no longer accepted.
    pub async fn wait_closed(&self) {
        loop {
            let requested = self.close_requested.notified();
            if self.closed() {
                return;
            }
            requested.await;
        }
    }
}

/// Counts a request as in progress.
pub fn track_request(process: &Arc<Process>) -> RequestGuard {
    process.drain.requests.fetch_add(1, Ordering::AcqRel);
    RequestGuard { process: process.clone() }
}

/// Counts a caller's connection as open.
pub fn track_connection(process: &Arc<Process>) -> ConnectionGuard {
    process.drain.connections.fetch_add(1, Ordering::AcqRel);
    ConnectionGuard { process: process.clone() }
}

/// Shuts the process down. New requests are served for the configured time, until peers and the load
/// balancer have noticed; then the requests in progress are finished.
pub async fn stop(process: &Arc<Process>) {
    log::event(
        &process.log,
        Event::Stopping,
        format!("{} requests in progress", process.drain.requests()),
    );
    process.drain.stopping.store(true, Ordering::Release);
    process.members.leave();
    process.peers.exchange_now();
    tokio::time::sleep(process.config.drain).await;
    process.drain.closed.store(true, Ordering::Release);
    process.drain.close_requested.notify_waiters();
    process.drain.wait_until(|d| d.requests() == 0).await;
    // A slow caller may not have received the end of its response yet.
    let disconnected = process.drain.wait_until(|d| d.connections.load(Ordering::Acquire) == 0);
    let _ = tokio::time::timeout(CONNECTION_TIMEOUT, disconnected).await;
    process.claims.flush().await;
    log::event(&process.log, Event::Stopped, "no requests in progress");
}
