//! A machine that was suspended: what this VM believed is as old as the sleep was long, though its steady
//! clock stood still.
//!
//! The age of settings and keys and the time that callers have left count the sleep by themselves. What
//! is kept by the steady clock is dropped on waking and learnt anew: who is heard, what the directory said,
//! and connections that have rested.

use std::sync::Arc;
use std::time::Duration;

use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;

use crate::fleet::process::Process;
use crate::log;

/// How often the clocks are compared beside each arrival of a request.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Looks for suspensions until the process stops.
pub async fn run<D: Dialect>(process: Arc<Process<D>>) {
    while !process.stopping.is_cancelled() {
        tokio::time::sleep(CHECK_INTERVAL).await;
        check(&process);
    }
}

/// Drops what is too old after a suspension, if there was one since the last look.
pub fn check<D: Dialect>(process: &Process<D>) {
    let Some(slept) = process.sleep.noticed(&process.clock) else { return };
    process.peers.reset_liveness();
    process.pool.clear();
    process.scheduler.lock().unwrap().budget.clear();
    process.woke.notify_one();
    process.tell_all();
    let what = format!("for {} ms", slept.as_millis());
    log::event(&process.log, Event::Suspended, what);
}
