//! A planned stop: not ready, no parts, but callers are served until the balancer has noticed and
//! each request has ended.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use std::time::Duration;

use foldlock_base::event::Event;
use tokio::sync::Notify;

use crate::log;
use crate::process::Process;

/// How long a caller has to read the rest of an answer from a process that stops.
const SLOWEST_READER: Duration = Duration::from_secs(30);

/// The state of a stop.
#[derive(Default)]
pub struct Drain {
    stopping: AtomicBool,
    closed: AtomicBool,
    requests: AtomicUsize,
    connections: AtomicUsize,
    ended: Notify,
    close: Notify,
}

/// Counts a request until dropped.
pub struct Busy {
    process: Arc<Process>,
}

impl Drop for Busy {
    fn drop(&mut self) {
        let drain = &self.process.drain;
        drain.requests.fetch_sub(1, Ordering::AcqRel);
        drain.ended.notify_waiters();
    }
}

/// Counts a caller's connection until dropped.
pub struct Connected {
    process: Arc<Process>,
}

impl Drop for Connected {
    fn drop(&mut self) {
        let drain = &self.process.drain;
        drain.connections.fetch_sub(1, Ordering::AcqRel);
        drain.ended.notify_waiters();
    }
}

impl Drain {
    /// Whether the process is to stop.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Whether new requests are refused.
    pub fn closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// Requests that are being served.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    async fn wait_for(&self, condition: impl Fn(&Drain) -> bool) {
        loop {
            let ended = self.ended.notified();
            if condition(self) {
                return;
            }
            ended.await;
        }
    }

    /// Waits until no new connections are to be taken.
    pub async fn wait_closed(&self) {
        loop {
            let close = self.close.notified();
            if self.closed() {
                return;
            }
            close.await;
        }
    }
}

/// Counts a request that is being served.
pub fn busy(process: &Arc<Process>) -> Busy {
    process.drain.requests.fetch_add(1, Ordering::AcqRel);
    Busy { process: process.clone() }
}

/// Counts a caller's connection.
pub fn connected(process: &Arc<Process>) -> Connected {
    process.drain.connections.fetch_add(1, Ordering::AcqRel);
    Connected { process: process.clone() }
}

/// Stops: first callers are served on while peers and the balancer learn of it, then what has
/// begun is finished.
pub async fn stop(process: &Arc<Process>) {
    log::event(&process.log, Event::Stopping, format!("{} requests", process.drain.requests()));
    process.drain.stopping.store(true, Ordering::Release);
    process.members.leave();
    process.peers.exchange_now();
    tokio::time::sleep(process.config.drain).await;
    process.drain.closed.store(true, Ordering::Release);
    process.drain.close.notify_waiters();
    process.drain.wait_for(|d| d.requests() == 0).await;
    // What has been answered may still be on its way to a caller who reads slowly.
    let written = process.drain.wait_for(|d| d.connections.load(Ordering::Acquire) == 0);
    let _ = tokio::time::timeout(SLOWEST_READER, written).await;
    process.claims.flush().await;
    log::event(&process.log, Event::Stopped, "each request has ended");
}
