//! Following the directory: settings, upstreams and VMs.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use foldlock_base::clock::Moment;
use foldlock_base::prelude::*;
use foldlock_request::board::Listed;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::{Change, Changes, Directory, Fault, Listing};

use crate::fleet::changes::{self, News};
use crate::fleet::process::Process;
use crate::log;

/// How long one watch waits for a change. It bounds the age of the settings: each answer confirms
/// them, and keys that were taken away must end within seconds. Each answer is also priced.
const WATCH: Duration = Duration::from_millis(1_000);

/// The pause between two watches, in which changes gather: it bounds the calls while many things
/// change, and adds to the time in which a change is heard.
const GATHER: Duration = Duration::from_millis(100);

/// The pause after a call that failed; it doubles with each failure.
const RETRY: Duration = Duration::from_millis(100);

/// The longest such pause: a directory that is back is to be noticed well within its bounds.
const MOST_RETRY: Duration = Duration::from_millis(400);

/// How long after the directory's return an upstream whose listing lapsed may take to list itself
/// again; from then on it is gone.
const RELIST: Duration = Duration::from_secs(2);

/// How long a trouble of the directory may lie back for an ended listing to be put down to it.
const RECENT: Duration = Duration::from_secs(3);

/// VMs that watch the directory in a large fleet; the others hear from them. Three, so that two
/// may fail at once without a gap.
const WATCHERS: usize = 3;

/// The fleet up to which all VMs watch: there the calls cost less than a gap would.
const ALL_WATCH: usize = 10;

/// How much longer than the VM before it in the order a VM relies on what it was told, once no peer
/// says any more that the directory answers it: so the first few of them ask, and the others hear
/// from these.
const TURN: Duration = Duration::from_millis(15);

/// The longest such time. With the time after which a peer's word counts no more, and a call, it has
/// to be well under the time within which an upstream that leaves gets no more work, 2 s and more.
const MOST_TURN: Duration = Duration::from_millis(300);

/// The longest pause after a failed call of a VM that need not watch: those that watch tell it as
/// soon as the directory is back.
const MOST_RETRY_TOLD: Duration = Duration::from_millis(2_000);

/// How often a VM that relies on its peers looks whether it still may.
const TOLD_LOOK: Duration = Duration::from_millis(150);

/// What is known of the directory itself.
struct Contact {
    at: Option<u64>,
    failures: u32,
    trouble: Option<Instant>,
}

/// Follows the directory until the process stops.
pub async fn run<D: Dialect, R: Directory>(process: Arc<Process<D>>, directory: R) {
    let mut contact = Contact { at: None, failures: 0, trouble: None };
    loop {
        if !is_watcher(&process) && is_told(&process).await {
            process.watching.store(false, Ordering::Relaxed);
            contact = Contact { failures: 0, ..contact };
            // What peers tell goes on where the last watch ended, or beyond.
            contact.at = Some(process.at.load(Ordering::Relaxed));
            tokio::time::sleep(TOLD_LOOK).await;
            continue;
        }
        let asked = process.moment();
        let answer = match contact.at {
            Some(at) => tokio::select! {
                answer = directory.watch(at, WATCH) => answer,
                // What it told before may have ended in that time.
                () = process.woke.notified() => {
                    contact.at = None;
                    continue;
                }
            },
            None => directory.read().await,
        };
        process.metrics.directory_calls.inc();
        match answer {
            Ok(changes) => {
                heard(&process, &mut contact, changes, asked);
                tokio::time::sleep(GATHER).await;
            }
            Err(Fault::Compacted) => {
                log::event(&process.log, Event::DirectoryCompacted, "reading all anew");
                contact.at = None;
            }
            Err(Fault::Unavailable(why)) => failed(&process, &mut contact, &why).await,
        }
    }
}

/// Whether this VM is one of those that watch: the first that are heard, in the order in which they
/// place.
fn is_watcher<D: Dialect>(process: &Process<D>) -> bool {
    process.peers.listed_count() <= ALL_WATCH || process.peers.position(process.now()) < WATCHERS
}

/// Whether peers tell what the directory says: one of them was heard just now that it answers, or is
/// heard soon.
async fn is_told<D: Dialect>(process: &Process<D>) -> bool {
    if process.at.load(Ordering::Relaxed) == 0 {
        return false;
    }
    if process.peers.watched(process.now()) {
        return true;
    }
    let turn = TURN * process.peers.position_listed() as u32;
    tokio::time::sleep(turn.min(MOST_TURN)).await;
    process.peers.watched(process.now())
}

/// Takes the listings that a peer knows, where the directory itself is not heard.
///
/// The revisions of two VMs do not order what they know: a watch may name a revision whose changes
/// it did not bring. So nothing that ended here comes back by a peer's word, and what is leaving
/// stays so.
pub fn told<D: Dialect>(process: &Arc<Process<D>>, listing: Listing) {
    let at = process.at.load(Ordering::Relaxed);
    if process.watching.load(Ordering::Relaxed) || listing.at < at {
        return;
    }
    let newer = listing.at > at;
    let revision = listing.at;
    process.at.fetch_max(revision, Ordering::Relaxed);
    let upstreams: Vec<Listed> = {
        let board = process.board.lock().unwrap();
        listing.upstreams.into_iter().filter(|listed| board.accepts(listed)).collect()
    };
    let members = listing.members.into_iter().map(Change::Member);
    let upstreams = upstreams.into_iter().map(Change::Upstream);
    let held = listing.held.into_iter().map(Change::Quarantined);
    let changes: Vec<Change> = upstreams.chain(members).chain(held).collect();
    let mut news = News::default();
    if newer {
        changes::end_unlisted(process, &changes, revision, false, &mut news);
    }
    changes.into_iter().for_each(|change| changes::apply(process, change, false, &mut news));
    news.log(process, revision, "a peer");
}

fn heard<D: Dialect>(
    process: &Arc<Process<D>>,
    contact: &mut Contact,
    changes: Changes,
    asked: Moment,
) {
    let now = process.now();
    process.watching.store(true, Ordering::Relaxed);
    if contact.failures > 0 {
        let what = format!("after {} failed calls", contact.failures);
        log::event(&process.log, Event::DirectoryUp, what);
        contact.failures = 0;
        contact.trouble = Some(now);
    }
    let lapsed = contact.trouble.is_some_and(|at| now.saturating_duration_since(at) < RECENT);
    let mut news = News::default();
    let Changes { at, changes } = changes;
    if contact.at.is_none() {
        changes::end_unlisted(process, &changes, at, lapsed, &mut news);
    }
    let changed = !changes.is_empty();
    contact.at = Some(at);
    process.at.fetch_max(at, Ordering::Relaxed);
    changes.into_iter().for_each(|change| changes::apply(process, change, lapsed, &mut news));
    let gone = process.board.lock().unwrap().expire(RELIST, at, now);
    gone.iter().for_each(|id| changes::ended(process, id, "not listed again", &mut news));
    news.log(process, at, "the directory");
    process.fresh.confirm(asked);
    if changed {
        process.tell_all();
    }
}

async fn failed<D: Dialect>(process: &Arc<Process<D>>, contact: &mut Contact, why: &str) {
    if contact.failures == 0 {
        log::event(&process.log, Event::DirectoryDown, why);
    }
    process.watching.store(false, Ordering::Relaxed);
    // What a watch would have told may have lapsed and come back meanwhile: read anew.
    contact.at = None;
    contact.failures += 1;
    contact.trouble = Some(process.now());
    process.metrics.directory_failures.inc();
    let pause = RETRY * 2_u32.saturating_pow(contact.failures.min(8) - 1);
    if is_watcher(process) {
        tokio::time::sleep(pause.min(MOST_RETRY)).await;
        return;
    }
    let until = process.now() + pause.min(MOST_RETRY_TOLD);
    while process.now() < until && !process.peers.watched(process.now()) {
        tokio::time::sleep(TOLD_LOOK.min(until - process.now())).await;
    }
}

/// Lists this VM, again and again until the directory has taken it.
pub async fn announce<D: Dialect, R: Directory>(process: Arc<Process<D>>, directory: R) {
    let mut pause = RETRY;
    while let Err(fault) = directory.announce(&process.member).await {
        log::event(&process.log, Event::DirectoryDown, format!("not listed yet: {fault}"));
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MOST_RETRY * 4);
    }
    process.listed.store(true, Ordering::Relaxed);
}
