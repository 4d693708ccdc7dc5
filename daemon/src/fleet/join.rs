//! How a VM that starts finds its peers: it looks who is listed, and where that is a large fleet, it learns the
//! settings and the listings from those that watch the directory.
//!
//! All that is listed grows with the fleet, and so does the number of VMs that start at once: were each to read
//! all of it at the directory, the calls would grow with the square.

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

/// The pauses between looks that show nobody, not even this VM, which has listed itself: they were answered
/// from before. A fleet that starts for the first time shows itself so.
const LOOK_PAUSES: [Duration; 4] = [
    Duration::from_millis(60),
    Duration::from_millis(600),
    Duration::from_millis(1_200),
    Duration::from_millis(2_400),
];

/// The pause after a look that failed; it doubles with each failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The longest such pause: a directory that is back is to be noticed soon, and a look costs it little.
const MOST_RETRY: Duration = Duration::from_millis(400);

/// How long one of the first VMs in the order waits for others that live: some trips between halls.
const FIRST_WAIT: Duration = Duration::from_millis(150);

/// How long the others wait for these: they read the directory and answer within a beat.
const PEER_WAIT: Duration = Duration::from_millis(500);

/// How long a VM waits for the first of those whose names are like its own: they look at all that are listed, and
/// hear the first of these, before they can tell.
const NEAR_PEER_WAIT: Duration = Duration::from_millis(1_500);

/// The time that each VM before this one adds: where none of the first ones live, this many calls a second are
/// made of it.
const WAIT_PER_VM: Duration = Duration::from_millis(4);

/// How often a VM that waits for its peers looks whether they were heard.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Looks who is listed, and waits until peers are heard that know the rest, if there are many. What is still
/// not known then, is read from the directory.
///
/// First it looks at those alone whose names are like its own. Were each VM of a large fleet that starts to
/// look at all, what they read together would grow with the square of the fleet, and come too late for any of
/// them: so only the first few of those that are alike do.
pub async fn find_peers<D: Dialect, R: Directory>(process: &Arc<Process<D>>, directory: &R) {
    for pause in LOOK_PAUSES {
        let found = look(process, directory, alike(process.member.vm.as_str())).await;
        if process.peers.is_large() && is_told(process, NEAR_PEER_WAIT).await {
            return;
        }
        if found && look(process, directory, "").await {
            break;
        }
        tokio::time::sleep(pause).await;
    }
    wait(process).await;
}

/// What the names of VMs begin with that are numbered along with this one.
pub fn alike(vm: &str) -> &str {
    vm.char_indices().next_back().map_or("", |(last, _)| &vm[..last])
}

/// Looks at VMs that are listed, until the directory answers. Answers whether there are any.
async fn look<D: Dialect, R: Directory>(process: &Process<D>, directory: &R, prefix: &str) -> bool {
    let mut pause = RETRY_INTERVAL;
    let mut failures = 0;
    while !process.stopping.is_cancelled() {
        process.metrics.called(Call::Look);
        match directory.members(prefix).await {
            Ok(changes) => {
                if failures > 0 {
                    let what = format!("after {failures} failed looks at who is listed");
                    log::event(&process.log, Event::DirectoryUp, what);
                }
                let found = !changes.changes.is_empty();
                list(process, changes.changes);
                return found;
            }
            Err(fault) => {
                if failures == 0 {
                    let what = format!("who is listed: {fault}");
                    log::event(&process.log, Event::DirectoryDown, what);
                }
                process.metrics.directory_failures.inc();
                failures += 1;
            }
        }
        // Those that failed together do not come back together.
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
        pause = (pause * 2).min(MOST_RETRY);
    }
    false
}

fn list<D: Dialect>(process: &Process<D>, changes: Vec<Change>) {
    let mut change_log = ChangeLog::default();
    let members = changes.into_iter().filter(|change| matches!(change, Change::Member(_)));
    members.for_each(|member| changes::apply(process, member, Provenance::Sound, &mut change_log));
    change_log.log(process, process.at(), "a look at who is listed");
}

/// How long the VM at this place in the order waits until it reads the directory.
pub fn patience(position: usize) -> Duration {
    if position < WATCHERS { FIRST_WAIT } else { PEER_WAIT + WAIT_PER_VM * position as u32 }
}

/// Waits until a peer is heard that knows the rest, each VM a little longer than the one before it in the order.
async fn wait<D: Dialect>(process: &Process<D>) {
    let position = process.peers.position_listed();
    if !process.peers.is_large() {
        return;
    }
    let patience = patience(position);
    if !comes_about(patience, || process.peers.any_has_settings(process.now())).await {
        let what = format!("place {position}, {} ms: reading the directory", patience.as_millis());
        log::event(&process.log, Event::PeersUnheard, what);
    }
}

/// Whether a VM that is not among the first of those that it knows hears from them in time.
async fn is_told<D: Dialect>(process: &Process<D>, patience: Duration) -> bool {
    let position = process.peers.position_listed();
    let patience = patience + WAIT_PER_VM * position as u32;
    position >= WATCHERS
        && comes_about(patience, || process.peers.any_has_settings(process.now())).await
}

/// Waits for this long at most until it is so, and answers whether it is. Looks are counted and not the clock: a VM
/// that stood still finds what it was told meanwhile only once it goes on.
pub async fn comes_about(patience: Duration, is_so: impl Fn() -> bool) -> bool {
    let looks = patience.as_millis() / POLL_INTERVAL.as_millis();
    for _ in 0..looks {
        if is_so() {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    is_so()
}
