//! Runs the tasks that a VM cannot work without, and starts them again after a panic.
//!
//! Without this, a VM whose task has ended would still report that it is ready, and no longer follow the directory or its
//! peers. A panic while a lock is held makes each later use of that lock panic as well: the process ends then, and the
//! platform starts it again.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;

use crate::fleet::process::Process;
use crate::log;

/// Delay before a task that panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Interval between checks of the shared state, which requests may leave poisoned as well.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Starts a task, and starts it again after each panic.
pub fn spawn<D: Dialect, T>(
    process: &Arc<Process<D>>,
    name: &'static str,
    task: impl Fn(Arc<Process<D>>) -> T + Send + 'static,
) where
    T: Future<Output = ()> + Send + 'static,
{
    let process = process.clone();
    tokio::spawn(async move {
        while let Err(ended) = tokio::spawn(task(process.clone())).await {
            if !ended.is_panic() || fail_if_poisoned(&process) {
                return;
            }
            process.metrics.restarted_tasks.inc();
            log::event(&process.log, Event::TaskRestarted, name);
            tokio::time::sleep(RESTART_DELAY).await;
        }
    });
}

/// Starts a task with an argument besides the process, such as a listener.
pub fn spawn_with<D: Dialect, A, T>(
    process: &Arc<Process<D>>,
    argument: A,
    name: &'static str,
    task: impl Fn(Arc<Process<D>>, A) -> T + Send + 'static,
) where
    A: Clone + Send + 'static,
    T: Future<Output = ()> + Send + 'static,
{
    spawn(process, name, move |process| task(process, argument.clone()));
}

/// Checks the shared state until the process fails.
pub async fn run<D: Dialect>(process: Arc<Process<D>>) {
    while !fail_if_poisoned(&process) {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Ends the process if a panic has poisoned the state that all requests share. Returns whether it has.
fn fail_if_poisoned<D: Dialect>(process: &Process<D>) -> bool {
    let is_poisoned = process.is_poisoned();
    if is_poisoned && !process.failed.is_cancelled() {
        log::event(&process.log, Event::Poisoned, "a task panicked while it held a lock");
        process.failed.cancel();
    }
    is_poisoned
}
