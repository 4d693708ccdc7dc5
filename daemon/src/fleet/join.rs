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

use crate::fleet::changes::{self, News, Word};
use crate::fleet::metrics::Call;
use crate::fleet::peers::WATCHERS;
use crate::fleet::process::Process;
use crate::log;

/// The pauses between looks that show nobody, not even this VM, which has listed itself: they were answered
/// from before. A fleet that starts for the first time shows itself so.
const PAUSES: [Duration; 4] = [
    Duration::from_millis(60),
    Duration::from_millis(600),
    Duration::from_millis(1_200),
    Duration::from_millis(2_400),
];

/// How long one of the first VMs in the order waits for others that live: some trips between halls.
const FIRST: Duration = Duration::from_millis(150);

/// How long the others wait for these: they read the directory and answer within a beat.
const HEARD: Duration = Duration::from_millis(500);

/// The time that each VM before this one adds: where none of the first ones live, this many calls a second are
/// made of it.
const TURN: Duration = Duration::from_millis(4);

/// How often a VM that waits for its peers looks whether they were heard.
const LOOK: Duration = Duration::from_millis(10);

/// Looks who is listed, and waits until peers are heard that know the rest, if there are many. What is still
/// not known then, is read from the directory.
pub async fn find_peers<D: Dialect, R: Directory>(process: &Arc<Process<D>>, directory: &R) {
    for pause in PAUSES {
        process.metrics.called(Call::Look);
        match directory.members().await {
            Ok(changes) if !changes.changes.is_empty() => {
                list(process, changes.changes);
                break;
            }
            Ok(_) => tokio::time::sleep(pause).await,
            Err(fault) => {
                log::event(&process.log, Event::DirectoryDown, format!("who is listed: {fault}"));
                return;
            }
        }
    }
    wait(process).await;
}

fn list<D: Dialect>(process: &Process<D>, changes: Vec<Change>) {
    let mut news = News::default();
    let members = changes.into_iter().filter(|change| matches!(change, Change::Member(_)));
    members.for_each(|member| changes::apply(process, member, Word::Sound, &mut news));
    news.log(process, process.at(), "a look at who is listed");
}

/// How long the VM at this place in the order waits until it reads the directory.
pub fn patience(position: usize) -> Duration {
    if position < WATCHERS { FIRST } else { HEARD + TURN * position as u32 }
}

/// Waits until a peer is heard that knows the rest, each VM a little longer than the one before it in the order.
async fn wait<D: Dialect>(process: &Process<D>) {
    let position = process.peers.position_listed();
    if !process.peers.is_large() {
        return;
    }
    let patience = patience(position);
    if !comes_about(patience, || process.peers.knows(process.now())).await {
        let what = format!("place {position}, {} ms: reading the directory", patience.as_millis());
        log::event(&process.log, Event::PeersUnheard, what);
    }
}

/// Waits for this long at most until it is so, and answers whether it is. Looks are counted and not the clock: a VM
/// that stood still finds what it was told meanwhile only once it goes on.
pub async fn comes_about(patience: Duration, is_so: impl Fn() -> bool) -> bool {
    let looks = patience.as_millis() / LOOK.as_millis();
    for _ in 0..looks {
        if is_so() {
            return true;
        }
        tokio::time::sleep(LOOK).await;
    }
    is_so()
}
