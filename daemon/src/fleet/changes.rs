//! What a read, a watch or a peer brought of the directory, taken into what this VM believes.

use std::collections::{BTreeMap, HashSet};
use std::sync::atomic::Ordering;

use foldlock_base::prelude::*;
use foldlock_request::board::Listed;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::{Change, Quarantined};
use foldlock_request::fingerprint::Fingerprint;

use crate::fleet::process::Process;
use crate::fleet::register::Order;
use crate::log;

/// Changes of the listings that are logged one by one in a second. More than that come with a start, or of
/// many that start at once: then each batch is one line. At 195 VMs that started together a line for each
/// peer and upstream at each VM made 157,000 lines within a second.
pub const SINGLE_LINES: u32 = 8;

/// What is new in one listing.
#[derive(Debug, Default)]
pub struct News {
    lines: Vec<(Event, String)>,
}

impl News {
    fn add(&mut self, event: Event, what: String) {
        self.lines.push((event, what));
    }

    /// Logs the changes that a listing of this revision brought; the names of many are in the dump.
    pub fn log<D: Dialect>(self, process: &Process<D>, revision: u64, from: &str) {
        let now = process.now();
        let admitted = |_: &(Event, String)| process.listing_lines.admit(now).is_some();
        if self.lines.iter().all(admitted) {
            self.lines.into_iter().for_each(|(event, what)| log::event(&process.log, event, what));
            return;
        }
        let mut counts: BTreeMap<u16, (usize, &str)> = BTreeMap::new();
        for (event, _) in &self.lines {
            counts.entry(event.number()).or_insert((0, event.text())).0 += 1;
        }
        let counts: Vec<String> = counts
            .iter()
            .map(|(number, (count, text))| format!("{count} x {number} {text}"))
            .collect();
        let age = process.fresh.age(process.moment()).map_or(0, |age| age.as_millis());
        let what = format!("revision {revision} from {from}, {age} ms old: {}", counts.join(" "));
        log::event(&process.log, Event::ListingTaken, what);
    }
}

/// After a whole read, what is not in it has ended.
pub fn end_unlisted<D: Dialect>(
    process: &Process<D>,
    changes: &[Change],
    revision: u64,
    lapsed: bool,
    news: &mut News,
) {
    let listed: HashSet<&id::Upstream> = changes
        .iter()
        .filter_map(|change| match change {
            Change::Upstream(listed) => Some(&listed.id),
            _ => None,
        })
        .collect();
    let known: Vec<id::Upstream> =
        process.board.lock().unwrap().ids().filter(|id| !listed.contains(id)).cloned().collect();
    known.iter().for_each(|id| listing_ended(process, id, revision, lapsed, news));
    let is_own = |change: &Change| matches!(change, Change::Member(member) if member.vm == process.member.vm);
    // What a peer tells leaves out the VM that it tells.
    if process.watching.load(Ordering::Relaxed) && !changes.iter().any(is_own) {
        list_again(process);
    }
    release_unlisted(process, changes, news);
}

fn release_unlisted<D: Dialect>(process: &Process<D>, changes: &[Change], news: &mut News) {
    let listed: HashSet<Fingerprint> = changes
        .iter()
        .filter_map(|change| match change {
            Change::Quarantined(entry) => Some(entry.fingerprint),
            _ => None,
        })
        .collect();
    let known: Vec<Fingerprint> =
        process.board.lock().unwrap().held().map(|entry| entry.fingerprint).collect();
    let gone = known.into_iter().filter(|fingerprint| !listed.contains(fingerprint));
    gone.for_each(|fingerprint| released(process, fingerprint, news));
}

/// Takes one change.
pub fn apply<D: Dialect>(process: &Process<D>, change: Change, lapsed: bool, news: &mut News) {
    match change {
        Change::Settings(settings) => process.take_settings(*settings, "the directory"),
        Change::Upstream(listed) => upstream_listed(process, listed, news),
        Change::UpstreamGone(id, revision) => {
            listing_ended(process, &id, revision, lapsed, news);
        }
        Change::UpstreamUnreadable(id, revision, why) => {
            unreadable(process, id.as_str(), revision, &why);
            listing_ended(process, &id, revision, false, news);
        }
        Change::Member(member) => {
            let what = format!("{} at {}", member.vm, member.address);
            if process.peers.listed(process, member) {
                news.add(Event::MemberUp, what);
            }
        }
        Change::MemberGone(vm) if vm == process.member.vm => list_again(process),
        Change::MemberGone(vm) => process.peers.withdrawn(process, &vm),
        Change::Quarantined(entry) => quarantined(process, entry, news),
        Change::Released(fingerprint) => released(process, fingerprint, news),
        Change::Unreadable { key, revision, why } => unreadable(process, &key, revision, &why),
        Change::SettingsUnreadable(why) => log::event(&process.log, Event::VersionRefused, why),
    }
}

/// This VM's own entry is gone though it runs: a withdrawal of the start before it may be carried out
/// seconds after it was asked for. Unlisted, no peer hears it, and what it has under way counts nowhere.
fn list_again<D: Dialect>(process: &Process<D>) {
    if process.listed.load(Ordering::Relaxed) && !process.stopping.is_cancelled() {
        process.register.order(Order::Announce);
    }
}

fn upstream_listed<D: Dialect>(process: &Process<D>, listed: Listed, news: &mut News) {
    let leaving = listed.leaving;
    let what = format!("{} of {} at {}", listed.id, listed.service, listed.address);
    let id = listed.id.clone();
    let mut board = process.board.lock().unwrap();
    let before = board.tag_of(&id);
    let known = board.get(&id).is_some();
    let changed = board.list(listed);
    let restarted = known && board.tag_of(&id) != before;
    drop(board);
    process.unreadable.forget(id.as_str());
    if !changed {
        return;
    }
    if restarted {
        process.pool.forget(&id);
        news.add(Event::UpstreamRestarted, format!("{id}, by its entry"));
    }
    let event = if leaving { Event::UpstreamLeaving } else { Event::UpstreamListed };
    news.add(event, what);
    if leaving {
        process.pool.forget(&id);
    }
    process.room.notify_one();
}

fn quarantined<D: Dialect>(process: &Process<D>, entry: Quarantined, news: &mut News) {
    let what = format!("{entry:?}");
    let wall_ms = process.clock.wall_millis();
    if process.board.lock().unwrap().list_held(entry, process.now(), wall_ms) {
        news.add(Event::Quarantined, what);
        process.room.notify_one();
    }
}

fn released<D: Dialect>(process: &Process<D>, fingerprint: Fingerprint, news: &mut News) {
    if process.board.lock().unwrap().unlist_held(fingerprint, process.now()) {
        news.add(Event::Released, fingerprint.to_string());
    }
}

/// An entry names nothing to use; logged once for each version of it.
fn unreadable<D: Dialect>(process: &Process<D>, key: &str, revision: u64, why: &str) {
    if process.unreadable.note(key, revision, why) {
        process.metrics.unreadable.inc();
        log::event(&process.log, Event::EntryUnreadable, format!("{key} at {revision}: {why}"));
    }
}

fn listing_ended<D: Dialect>(
    process: &Process<D>,
    id: &id::Upstream,
    revision: u64,
    lapsed: bool,
    news: &mut News,
) {
    if lapsed {
        process.board.lock().unwrap().unlist(id, process.now());
        return;
    }
    if process.board.lock().unwrap().remove(id, revision) {
        ended(process, id, "its listing ended", news);
    }
}

/// An upstream is gone.
pub fn ended<D: Dialect>(process: &Process<D>, id: &id::Upstream, why: &str, news: &mut News) {
    process.pool.forget(id);
    news.add(Event::UpstreamGone, format!("{id}: {why}"));
}
