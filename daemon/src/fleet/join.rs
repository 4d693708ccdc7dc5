//! How a starting VM finds its peers: it reads which VMs are listed and, if the fleet is large,
//! gets the settings and listings from the VMs that watch the directory.
//!
//! The listings grow with the fleet, and so does the number of VMs that start at once. If each VM
//! read all listings from the directory, the load would grow with the square of the fleet size.

use std::sync::Arc;
use std::time::Duration;

use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::{Change, Directory};

use crate::fleet::changes::{self, ChangeLog, Provenance};
use crate::fleet::metrics::Call;
use crate::fleet::peers::WATCHERS;
use crate::fleet::process::Process;
use crate::log;

/// Delays between reads that return no VM, not even this one, although it has registered: such a
/// read returned an older state. That is usual when a fleet starts for the first time.
const READ_INTERVALS: [Duration; 4] = [
    Duration::from_millis(60),
    Duration::from_millis(600),
    Duration::from_millis(1_200),
    Duration::from_millis(2_400),
];

/// Delay before the first retry of a failed read; it doubles with each failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum delay between retries: a recovered directory has to be noticed soon, and these reads are
/// cheap for it.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which one of the first VMs in the order waits for peers that are up: a few round trips
/// between halls.
const WATCHER_TIMEOUT: Duration = Duration::from_millis(150);

/// Time for which the other VMs wait for the first ones, which read the directory and respond
/// within a heartbeat.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which the other VMs wait further while the first ones are up, but have no settings yet: as
/// long as one read of the directory may take. An own read would not end earlier, and a directory
/// that responds slowly would get one from each VM of the fleet.
const READ_TIME: Duration = Duration::from_millis(1_000);

/// Time for which a VM waits for the first VMs with the same name prefix. These read all listed
/// VMs, and receive heartbeats from the first VMs of the fleet, before they can respond.
const NEIGHBOUR_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Added for each VM before this one in the order: if none of the first VMs is up, this bounds the
/// rate of calls to the directory.
const TIMEOUT_PER_VM: Duration = Duration::from_millis(4);

/// Interval at which a waiting VM checks whether a peer is up.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Reads which VMs are listed and, if there are many, waits until a peer is up that has settings
/// and listings. What is still missing after that is read from the directory.
///
/// The first read is limited to VMs with the same name prefix. If each VM of a large fleet that
/// starts read all entries, the total would grow with the square of the fleet size, and the
/// responses would come too late for all of them. So only the first few VMs of each prefix do.
pub async fn find_peers<D: Dialect, R: Directory>(process: &Arc<Process<D>>, directory: &R) {
    for pause in READ_INTERVALS {
        let found = read_members(process, directory, name_prefix(process.member.vm.as_str())).await;
        if process.peers.is_large() && learns_from_peers(process, NEIGHBOUR_TIMEOUT).await {
            return;
        }
        if found && read_members(process, directory, "").await {
            break;
        }
        tokio::time::sleep(pause).await;
    }
    wait_for_peers(process).await;
}

/// The name without its last character, which VMs that are numbered together share.
pub fn name_prefix(vm: &str) -> &str {
    vm.char_indices().next_back().map_or("", |(last, _)| &vm[..last])
}

/// Reads the listed VMs whose names begin with the prefix, with retries until the directory
/// responds. Returns whether there are any.
async fn read_members<D: Dialect, R: Directory>(
    process: &Process<D>,
    directory: &R,
    prefix: &str,
) -> bool {
    let mut pause = RETRY_INTERVAL;
    let mut failures = 0;
    while !process.stopping.is_cancelled() {
        process.metrics.count_directory_call(Call::Look);
        match directory.members(prefix).await {
            Ok(changes) => {
                if failures > 0 {
                    let what = format!("after {failures} failed reads of the listed VMs");
                    log::event(&process.log, Event::DirectoryUp, what);
                }
                let found = !changes.changes.is_empty();
                list_members(process, changes.changes);
                return found;
            }
            Err(fault) => {
                if failures == 0 {
                    let what = format!("read of the listed VMs failed: {fault}");
                    log::event(&process.log, Event::DirectoryDown, what);
                }
                process.metrics.directory_failures.inc();
                failures += 1;
            }
        }
        // Jitter, so that VMs whose reads failed together do not retry together.
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
        pause = (pause * 2).min(MAX_RETRY_INTERVAL);
    }
    false
}

fn list_members<D: Dialect>(process: &Process<D>, changes: Vec<Change>) {
    let mut change_log = ChangeLog::default();
    let members = changes.into_iter().filter(|change| matches!(change, Change::Member(_)));
    members
        .for_each(|member| changes::apply(process, member, Provenance::Current, &mut change_log));
    change_log.log(process, process.revision(), "a look at who is listed");
}

/// How long the VM at this position in the order waits for peers before it reads the directory.
pub fn peer_timeout(position: usize) -> Duration {
    if position < WATCHERS {
        WATCHER_TIMEOUT
    } else {
        PEER_TIMEOUT + TIMEOUT_PER_VM * position as u32
    }
}

/// Waits until a peer is up that has settings and listings; each VM waits a little longer than the
/// one before it in the order.
async fn wait_for_peers<D: Dialect>(process: &Process<D>) {
    let position = process.peers.position_listed();
    if !process.peers.is_large() {
        return;
    }
    let mut timeout = peer_timeout(position);
    let has_settings = || process.peers.any_has_settings(process.now());
    let mut found = poll_until(timeout, has_settings).await;
    if !found && process.peers.position(process.now()) >= WATCHERS {
        timeout += READ_TIME;
        found = poll_until(READ_TIME, has_settings).await;
    }
    if !found {
        let what = format!(
            "no peer up within {} ms, position {position} in the order: reading the directory",
            timeout.as_millis()
        );
        log::event(&process.log, Event::NoPeerSettings, what);
    }
}

/// Whether this VM is not one of the first listed VMs, and a peer with settings and listings is up
/// before the timeout.
async fn learns_from_peers<D: Dialect>(process: &Process<D>, timeout: Duration) -> bool {
    let position = process.peers.position_listed();
    let timeout = timeout + TIMEOUT_PER_VM * position as u32;
    position >= WATCHERS
        && poll_until(timeout, || process.peers.any_has_settings(process.now())).await
}

/// Polls until the condition holds, at most for about this time, and returns whether it holds.
/// Polls are counted instead of using the clock: a VM that was stalled processes the messages
/// received meanwhile only after it resumes, when a timeout by the clock would already have
/// passed.
pub async fn poll_until(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let polls = timeout.as_millis() / POLL_INTERVAL.as_millis();
    for _ in 0..polls {
        if condition() {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    condition()
}
