//! Following the directory: settings, upstreams and VMs.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use foldlock_base::clock::Moment;
use foldlock_base::prelude::*;
use foldlock_request::board::Listed;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::{
    Change, Changes, Directory, Fault, Listing, Quarantined, Settings,
};
use foldlock_request::fingerprint::Fingerprint;

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
    process.at.fetch_max(listing.at, Ordering::Relaxed);
    let upstreams: Vec<Listed> = {
        let board = process.board.lock().unwrap();
        listing.upstreams.into_iter().filter(|listed| board.accepts(listed)).collect()
    };
    let members = listing.members.into_iter().map(Change::Member);
    let upstreams = upstreams.into_iter().map(Change::Upstream);
    let held = listing.held.into_iter().map(Change::Quarantined);
    let changes = upstreams.chain(members).chain(held).collect();
    let changes = Changes { at: listing.at, changes };
    if newer {
        end_unlisted(process, &changes, false);
    }
    changes.changes.into_iter().for_each(|change| apply(process, change, false));
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
    if contact.at.is_none() {
        end_unlisted(process, &changes, lapsed);
    }
    let changed = !changes.changes.is_empty();
    contact.at = Some(changes.at);
    process.at.fetch_max(changes.at, Ordering::Relaxed);
    changes.changes.into_iter().for_each(|change| apply(process, change, lapsed));
    let at = process.at.load(Ordering::Relaxed);
    let gone = process.board.lock().unwrap().expire(RELIST, at, now);
    gone.iter().for_each(|id| ended(process, id, "not listed again"));
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

/// After a whole read, what is not in it has ended.
fn end_unlisted<D: Dialect>(process: &Arc<Process<D>>, changes: &Changes, lapsed: bool) {
    let listed: HashSet<&id::Upstream> = changes
        .changes
        .iter()
        .filter_map(|change| match change {
            Change::Upstream(listed) => Some(&listed.id),
            _ => None,
        })
        .collect();
    let known: Vec<id::Upstream> =
        process.board.lock().unwrap().ids().filter(|id| !listed.contains(id)).cloned().collect();
    known.iter().for_each(|id| listing_ended(process, id, changes.at, lapsed));
    release_unlisted(process, changes);
}

fn release_unlisted<D: Dialect>(process: &Arc<Process<D>>, changes: &Changes) {
    let listed: HashSet<Fingerprint> = changes
        .changes
        .iter()
        .filter_map(|change| match change {
            Change::Quarantined(entry) => Some(entry.fingerprint),
            _ => None,
        })
        .collect();
    let known: Vec<Fingerprint> =
        process.board.lock().unwrap().held().map(|entry| entry.fingerprint).collect();
    let gone = known.into_iter().filter(|fingerprint| !listed.contains(fingerprint));
    gone.for_each(|fingerprint| released(process, fingerprint));
}

fn apply<D: Dialect>(process: &Arc<Process<D>>, change: Change, lapsed: bool) {
    match change {
        Change::Settings(settings) => settings_read(process, *settings),
        Change::Upstream(listed) => upstream_listed(process, listed),
        Change::UpstreamGone(id, revision) => listing_ended(process, &id, revision, lapsed),
        Change::UpstreamUnreadable(id, revision, why) => {
            unreadable(process, id.as_str(), revision, &why);
            listing_ended(process, &id, revision, false);
        }
        Change::Member(member) => process.peers.listed(process, member),
        Change::MemberGone(vm) => process.peers.withdrawn(process, &vm),
        Change::Quarantined(entry) => quarantined(process, entry),
        Change::Released(fingerprint) => released(process, fingerprint),
        Change::Unreadable { key, revision, why } => unreadable(process, &key, revision, &why),
        Change::SettingsUnreadable(why) => log::event(&process.log, Event::VersionRefused, why),
    }
}

fn settings_read<D: Dialect>(process: &Arc<Process<D>>, settings: Settings) {
    process.take_settings(settings, "the directory");
}

fn upstream_listed<D: Dialect>(process: &Arc<Process<D>>, listed: Listed) {
    let leaving = listed.leaving;
    let what = format!("{} of {} at {}", listed.id, listed.service, listed.address);
    let id = listed.id.clone();
    let mut board = process.board.lock().unwrap();
    let before = board.tag_of(&id);
    let known = board.get(&id).is_some();
    let news = board.list(listed);
    let restarted = known && board.tag_of(&id) != before;
    drop(board);
    process.unreadable.forget(id.as_str());
    if !news {
        return;
    }
    if restarted {
        process.pool.forget(&id);
        log::event(&process.log, Event::UpstreamRestarted, format!("{id}, by its entry"));
    }
    let event = if leaving { Event::UpstreamLeaving } else { Event::UpstreamListed };
    log::event(&process.log, event, what);
    if leaving {
        process.pool.forget(&id);
    }
    process.room.notify_one();
}

fn quarantined<D: Dialect>(process: &Arc<Process<D>>, entry: Quarantined) {
    let what = format!("{entry:?}");
    let wall_ms = process.clock.wall_millis();
    if process.board.lock().unwrap().list_held(entry, process.now(), wall_ms) {
        log::event(&process.log, Event::Quarantined, what);
        process.room.notify_one();
    }
}

fn released<D: Dialect>(process: &Arc<Process<D>>, fingerprint: Fingerprint) {
    if process.board.lock().unwrap().unlist_held(fingerprint, process.now()) {
        log::event(&process.log, Event::Released, fingerprint);
    }
}

/// An entry names nothing to use; logged once for each version of it.
fn unreadable<D: Dialect>(process: &Arc<Process<D>>, key: &str, revision: u64, why: &str) {
    if process.unreadable.note(key, revision, why) {
        process.metrics.unreadable.inc();
        log::event(&process.log, Event::EntryUnreadable, format!("{key} at {revision}: {why}"));
    }
}

fn listing_ended<D: Dialect>(
    process: &Arc<Process<D>>,
    id: &id::Upstream,
    revision: u64,
    lapsed: bool,
) {
    if lapsed {
        process.board.lock().unwrap().unlist(id, process.now());
        return;
    }
    if process.board.lock().unwrap().remove(id, revision) {
        ended(process, id, "its listing ended");
    }
}

fn ended<D: Dialect>(process: &Arc<Process<D>>, id: &id::Upstream, why: &str) {
    process.pool.forget(id);
    log::event(&process.log, Event::UpstreamGone, format!("{id}: {why}"));
}

/// Lists this VM, again and again until the directory has taken it.
pub async fn announce<D: Dialect, R: Directory>(process: Arc<Process<D>>, directory: R) {
    let mut pause = RETRY;
    while let Err(fault) = directory.announce(&process.member).await {
        log::event(&process.log, Event::DirectoryDown, format!("not listed yet: {fault}"));
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MOST_RETRY * 4);
    }
}
