//! Detects that the machine was suspended and discards state that became stale meanwhile, as the
//! monotonic clock does not advance during a suspension.
//!
//! The age of settings and keys and the deadlines of callers include the suspension. State timed by
//! the monotonic clock is discarded on resume and obtained again: the liveness of peers, the watch
//! of the directory, and idle connections.

use std::sync::Arc;
use std::time::Duration;

use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;

use crate::fleet::process::Process;
use crate::log;

/// How often the clocks are compared, besides at the arrival of each request.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Checks for suspensions until the process stops.
pub async fn run<D: Dialect>(process: Arc<Process<D>>) {
    while !process.stopping.is_cancelled() {
        tokio::time::sleep(CHECK_INTERVAL).await;
        check(&process);
    }
}

/// Discards stale state if the machine was suspended since the last check.
pub fn check<D: Dialect>(process: &Process<D>) {
    let Some(slept) = process.suspensions.detect(&process.clock) else { return };
    process.peers.reset_liveness();
    process.pool.clear();
    process.call_pool.clear();
    process.scheduler.lock().unwrap().budget.clear();
    process.after_suspension.notify_one();
    process.announce_to_all();
    let what = format!("for {} ms", slept.as_millis());
    log::event(&process.log, Event::Suspended, what);
}
