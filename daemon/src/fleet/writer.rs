//! Writes to the directory in the background: registers this VM again if its entry was removed,
//! and lists quarantined requests, so that all VMs, also those started later, have them and an
//! operator can see and release them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::{self, Directory};
use foldlock_request::quarantine_entry;

use crate::fleet::metrics::Call;
use crate::fleet::peers::Scheduler;
use crate::fleet::process::Process;
use crate::fleet::write_queue::Write;
use crate::log;

/// Maximum number of quarantine entries in the directory. At 300 bytes each they take some 300 KB
/// in one listing.
const MAX_ENTRIES: usize = 1_024;

/// Delay before the first retry of a failed call; it doubles with each failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum delay between retries.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(1_600);

/// Interval between scans for expired entries.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);

/// Time for which an entry is kept after its quarantine ended: it records how often the request had
/// to be quarantined.
const RETENTION: Duration = Duration::from_secs(3_600);

/// Executes queued writes and, while this VM is the scheduler, removes expired entries, until the
/// process stops.
pub async fn run<D: Dialect, R: Directory>(process: Arc<Process<D>>, directory: R) {
    let mut writes = process.directory_writes.receiver().await;
    while !process.stopping.is_cancelled() {
        tokio::select! {
            write = writes.recv() => match write {
                Some(write) => execute(&process, &directory, &write).await,
                None => return,
            },
            () = tokio::time::sleep(SWEEP_INTERVAL) => sweep(&process),
            () = process.stopping.cancelled() => return,
        }
    }
}

async fn execute<D: Dialect, R: Directory>(process: &Process<D>, directory: &R, write: &Write) {
    let mut pause = RETRY_INTERVAL;
    while !process.stopping.is_cancelled() && !is_obsolete(process, write) {
        process.metrics.count_directory_call(Call::Write);
        match attempt(process, directory, write).await {
            Ok(()) => return,
            Err(fault) => {
                process.metrics.directory_failures.inc();
                log::event(&process.log, Event::WriteFailed, format!("{write:?}: {fault}"));
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_RETRY_INTERVAL);
    }
}

async fn attempt<D: Dialect, R: Directory>(
    process: &Process<D>,
    directory: &R,
    write: &Write,
) -> Result<(), directory::Failure> {
    match write {
        Write::Quarantine(entry) => directory.quarantine(entry).await,
        Write::Release(fingerprint) | Write::RemoveRestored(fingerprint) => {
            directory.release(*fingerprint).await
        }
        Write::Register => directory.register(&process.member).await,
    }
}

/// Whether a write is no longer needed.
fn is_obsolete<D: Dialect>(process: &Process<D>, write: &Write) -> bool {
    let cluster = process.cluster.lock().unwrap();
    match write {
        Write::Quarantine(entry) => {
            let count = cluster.quarantined().count();
            let is_listed =
                cluster.quarantined().any(|listed| listed.fingerprint == entry.fingerprint);
            entry.until_ms <= process.clock.wall_millis() || count >= MAX_ENTRIES && !is_listed
        }
        Write::Release(fingerprint) => {
            !cluster.quarantined().any(|listed| listed.fingerprint == *fingerprint)
        }
        Write::RemoveRestored(fingerprint) => !cluster.is_released(*fingerprint),
        Write::Register => false,
    }
}

fn sweep<D: Dialect>(process: &Process<D>) {
    let is_scheduler = process.peers.scheduler(false, process.now()) == Some(Scheduler::Own);
    if !is_scheduler || !process.watching.load(Ordering::Relaxed) {
        return;
    }
    let now_ms = process.clock.wall_millis();
    let retention_ms = RETENTION.as_millis() as u64;
    let cluster = process.cluster.lock().unwrap();
    let is_expired =
        |entry: &&quarantine_entry::Entry| entry.until_ms.saturating_add(retention_ms) <= now_ms;
    let expired = cluster.quarantined().filter(is_expired);
    expired.for_each(|entry| process.directory_writes.push(Write::Release(entry.fingerprint)));
}
