//! A planned stop: not ready at once, requests are finished, connections are closed as they rest.

use std::sync::Arc;
use std::time::Duration;

use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::Directory;

use crate::fleet::process::Process;
use crate::fleet::withdraw;
use crate::log;

/// Kept from the time to stop in, so that the process has ended by itself before it is killed.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Kept from the same time before that, for the last answers to be written.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// How long after the signal new connections are still accepted: the platform asks once a second
/// and sends connections until two of its questions went unanswered.
const ACCEPT_WINDOW: Duration = Duration::from_millis(2_500);

/// Stops the process.
pub async fn run<D: Dialect, R: Directory>(process: &Arc<Process<D>>, directory: &R) {
    let began = process.now();
    log::event(&process.log, Event::Stopping, "not ready from now on");
    // The first signal counts.
    let _ = process.stopped.set(began);
    process.stopping.cancel();
    withdraw::leave(process, directory).await;
    tokio::time::sleep(ACCEPT_WINDOW.saturating_sub(process.now() - began)).await;
    process.tasks.close();
    let deadline = began + process.config.fleet.stop().saturating_sub(EXIT_MARGIN);
    let flush_deadline = deadline - FLUSH_TIME;
    if tokio::time::timeout_at(flush_deadline.into(), process.tasks.wait()).await.is_err() {
        process.ending.cancel();
    }
    let ended = tokio::time::timeout_at(deadline.into(), process.tasks.wait()).await;
    let left = process.tasks.len();
    let what = if ended.is_ok() { "all requests ended".to_owned() } else { format!("{left} left") };
    log::event(&process.log, Event::Stopped, what);
}
