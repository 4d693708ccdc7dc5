//! A planned stop: not ready, no parts, but callers are served until the balancer has noticed and
//! each request has ended.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use foldlock_base::event::Event;
use tokio::sync::Notify;

use crate::log;
use crate::process::Process;

/// The state of a stop.
#[derive(Default)]
pub struct Drain {
    stopping: AtomicBool,
    closed: AtomicBool,
    requests: AtomicUsize,
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

/// Stops: first callers are served on while peers and the balancer learn of it, then what has
/// begun is finished.
pub async fn stop(process: &Arc<Process>) {
    log::event(&process.log, Event::Stopping, format!("{} requests", process.drain.requests()));
    process.drain.stopping.store(true, Ordering::Release);
    process.members.leave();
    process.peers.kick();
    tokio::time::sleep(process.config.drain).await;
    process.drain.closed.store(true, Ordering::Release);
    process.drain.close.notify_waiters();
    loop {
        let ended = process.drain.ended.notified();
        if process.drain.requests() == 0 {
            break;
        }
        ended.await;
    }
    process.claims.flush().await;
    log::event(&process.log, Event::Stopped, "each request has ended");
}
