//! Graceful shutdown: the VM reports not ready at once, finishes its requests and closes
//! connections as they become idle.

use std::sync::Arc;
use std::time::Duration;

use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::Directory;

use crate::fleet::process::Process;
use crate::fleet::withdraw;
use crate::log;

/// Reserved at the end of the stop time, so that the process exits before it is killed.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Reserved before that to write the final responses.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Time after the signal for which new connections are still accepted. The platform checks
/// readiness once a second and routes connections here until two checks have gone unanswered.
const ACCEPT_WINDOW: Duration = Duration::from_millis(2_500);

/// Stops the process.
pub async fn run<D: Dialect, R: Directory>(process: &Arc<Process<D>>, directory: &R) {
    let began = process.now();
    log::event(&process.log, Event::Stopping, "reporting not ready");
    // The first signal counts; later ones do not change the time.
    let _ = process.stop_requested.set(began);
    process.stopping.cancel();
    withdraw::leave(process, directory).await;
    tokio::time::sleep(ACCEPT_WINDOW.saturating_sub(process.now() - began)).await;
    process.tasks.close();
    let deadline = began + process.config.fleet.stop_timeout().saturating_sub(EXIT_MARGIN);
    let flush_deadline = deadline - FLUSH_TIME;
    if tokio::time::timeout_at(flush_deadline.into(), process.tasks.wait()).await.is_err() {
        process.aborting.cancel();
    }
    let ended = tokio::time::timeout_at(deadline.into(), process.tasks.wait()).await;
    let left = process.tasks.len();
    let what = if ended.is_ok() {
        "all requests ended".to_owned()
    } else {
        format!("{left} connections or tasks left")
    };
    log::event(&process.log, Event::Stopped, what);
}
