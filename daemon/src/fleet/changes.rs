//! What a read, a watch or a peer brought of the directory, taken into what this VM believes.

use std::collections::{BTreeMap, HashSet};
use std::sync::atomic::Ordering;
use std::time::Duration;

use foldlock_base::prelude::*;
use foldlock_request::cluster::{Hall, Halls, Listed};
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::{Change, QuarantineEntry};
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::revision::Revision;
use foldlock_request::step;

use crate::fleet::members;
use crate::fleet::peers::Scheduler;
use crate::fleet::process::Process;
use crate::fleet::register::Order;
use crate::log;

/// The log lines of the changes in one listing.
#[derive(Debug, Default)]
pub struct ChangeLog {
    lines: Vec<(Event, String)>,
}

impl ChangeLog {
    fn add(&mut self, event: Event, what: String) {
        self.lines.push((event, what));
    }

    /// Logs the changes that a listing of this revision brought; the names of many are in the dump.
    pub fn log<D: Dialect>(self, process: &Process<D>, revision: Revision, from: &str) {
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
        let age = match process.fresh.age(process.moment()) {
            Some(age) => format!("{} ms old", age.as_millis()),
            None => "not confirmed yet".to_owned(),
        };
        let what = format!("revision {revision} from {from}, {age}: {}", counts.join(" "));
        log::event(&process.log, Event::ListingTaken, what);
    }
}

/// How far what the directory lists can be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Provenance {
    /// It is current.
    Sound,
    /// It was away of late: a listing that has ended may only have lapsed.
    Lapsed,
    /// It has come back from a copy of itself: what it lists is older than what is known, and what it does
    /// not list may only be missing there.
    Copy,
}

impl Provenance {
    /// Whether an upstream whose listing has ended may still live.
    fn may_live(self) -> bool {
        self != Provenance::Sound
    }
}

/// A change as peers are told of it; none where it is told in another way, or may not hold.
pub fn told(change: &Change, provenance: Provenance) -> Option<step::Change> {
    Some(match change {
        Change::Upstream(listed) => step::Change::Upstream(listed.clone()),
        // It may live; once it is taken for gone, that is told.
        Change::UpstreamRemoved(..) if provenance.may_live() => return None,
        Change::UpstreamRemoved(id, revision) | Change::UpstreamUnreadable(id, revision, _) => {
            step::Change::UpstreamRemoved(id.clone(), *revision)
        }
        Change::Member(member) => step::Change::Member(member.clone()),
        Change::MemberWithdrawn(vm) => step::Change::MemberWithdrawn(vm.clone()),
        Change::Hall(hall) => step::Change::Hall(hall.clone()),
        Change::Quarantined(entry) => step::Change::Quarantined(entry.clone()),
        Change::Released(fingerprint) => step::Change::Released(*fingerprint),
        Change::Settings(_) | Change::SettingsUnreadable(_) | Change::Unreadable { .. } => {
            return None;
        }
    })
}

/// After a whole read, what is not in it has ended.
pub fn end_unlisted<D: Dialect>(
    process: &Process<D>,
    changes: &[Change],
    revision: Revision,
    provenance: Provenance,
    change_log: &mut ChangeLog,
) {
    let listed: HashSet<&id::Upstream> = changes
        .iter()
        .filter_map(|change| match change {
            Change::Upstream(listed) => Some(&listed.id),
            _ => None,
        })
        .collect();
    let known: Vec<id::Upstream> =
        process.cluster.lock().unwrap().ids().filter(|id| !listed.contains(id)).cloned().collect();
    known.iter().for_each(|id| listing_ended(process, id, revision, provenance, change_log));
    if provenance == Provenance::Copy {
        hold_again(process, changes);
        return;
    }
    let is_own = |change: &Change| matches!(change, Change::Member(member) if member.vm == process.member.vm);
    // What a peer tells leaves out the VM that it tells.
    if process.watching.load(Ordering::Relaxed) && !changes.iter().any(is_own) {
        list_again(process);
    }
    release_unlisted(process, changes, change_log);
}

/// After a whole read of the directory, a hall that is not in it is drained no more. A copy lacks what its
/// operator writes again.
pub fn take_back_unlisted<D: Dialect>(
    process: &Process<D>,
    changes: &[Change],
    revision: Revision,
    provenance: Provenance,
    change_log: &mut ChangeLog,
) {
    if provenance == Provenance::Copy {
        return;
    }
    let drained: Vec<&str> = changes
        .iter()
        .filter_map(|change| match change {
            Change::Hall(hall) if hall.drained => Some(hall.name.as_str()),
            _ => None,
        })
        .collect();
    let taken_back = process.cluster.lock().unwrap().sync_halls(&drained, revision);
    for name in taken_back {
        hall_changed(process, &Hall { name, drained: false, revision }, change_log);
    }
}

/// Takes what a peer knows of halls.
pub fn halls_told<D: Dialect>(process: &Process<D>, halls: &Halls, change_log: &mut ChangeLog) {
    let changed = process.cluster.lock().unwrap().merge_halls(halls);
    changed.iter().for_each(|hall| hall_changed(process, hall, change_log));
}

fn hall_noted<D: Dialect>(process: &Process<D>, hall: Hall, change_log: &mut ChangeLog) {
    if process.cluster.lock().unwrap().update_hall(hall.clone()) {
        hall_changed(process, &hall, change_log);
    }
}

fn hall_changed<D: Dialect>(process: &Process<D>, hall: &Hall, change_log: &mut ChangeLog) {
    let event = if hall.drained { Event::HallDrained } else { Event::HallTakenBack };
    change_log.add(event, format!("{}, by revision {}", hall.name, hall.revision));
    let drained = process.cluster.lock().unwrap().halls().drained().count();
    process.metrics.drained_halls.set(drained as i64);
    process.room.notify_one();
}

/// A copy of the directory lacks requests that were held since it was made: the VM that had the proof writes
/// them again.
fn hold_again<D: Dialect>(process: &Process<D>, changes: &[Change]) {
    let is_listed = |entry: &QuarantineEntry| {
        changes
            .iter()
            .any(|change| matches!(change, Change::Quarantined(listed) if listed == entry))
    };
    let cluster = process.cluster.lock().unwrap();
    let own =
        cluster.quarantined().filter(|entry| entry.vm == process.member.vm && !is_listed(entry));
    own.for_each(|entry| process.register.order(Order::Hold(entry.clone())));
}

fn is_released<D: Dialect>(process: &Process<D>, entry: &QuarantineEntry) -> bool {
    process.cluster.lock().unwrap().is_released(entry.fingerprint)
}

/// A copy of the directory lists a request that was let go since it was made: one VM removes it again.
fn release_again<D: Dialect>(process: &Process<D>, entry: &QuarantineEntry) {
    if process.peers.scheduler(false, process.now()) == Some(Scheduler::Own) {
        process.register.order(Order::Remove(entry.fingerprint));
    }
}

fn release_unlisted<D: Dialect>(
    process: &Process<D>,
    changes: &[Change],
    change_log: &mut ChangeLog,
) {
    let listed: HashSet<Fingerprint> = changes
        .iter()
        .filter_map(|change| match change {
            Change::Quarantined(entry) => Some(entry.fingerprint),
            _ => None,
        })
        .collect();
    let known: Vec<Fingerprint> =
        process.cluster.lock().unwrap().quarantined().map(|entry| entry.fingerprint).collect();
    let gone = known.into_iter().filter(|fingerprint| !listed.contains(fingerprint));
    gone.for_each(|fingerprint| released(process, fingerprint, change_log));
}

/// Takes one change.
pub fn apply<D: Dialect>(
    process: &Process<D>,
    change: Change,
    provenance: Provenance,
    change_log: &mut ChangeLog,
) {
    match change {
        Change::Settings(settings) => process.take_settings(*settings, "the directory"),
        Change::Upstream(listed) => upstream_listed(process, listed, provenance, change_log),
        Change::UpstreamRemoved(id, revision) => {
            listing_ended(process, &id, revision, provenance, change_log);
        }
        Change::UpstreamUnreadable(id, revision, why) => {
            unreadable(process, id.as_str(), revision, &why);
            listing_ended(process, &id, revision, Provenance::Sound, change_log);
        }
        Change::Member(member) => {
            let what = format!("{} at {}", member.vm, member.address);
            if members::listed(process, member) {
                change_log.add(Event::MemberUp, what);
            }
        }
        Change::MemberWithdrawn(vm) if vm == process.member.vm => {
            if process.stopping.is_cancelled() {
                process.withdrawals.withdrawn();
            }
            list_again(process);
        }
        Change::MemberWithdrawn(vm) => {
            members::withdrawn(process, &vm);
        }
        Change::Hall(hall) => hall_noted(process, hall, change_log),
        Change::Quarantined(entry)
            if provenance == Provenance::Copy && is_released(process, &entry) =>
        {
            release_again(process, &entry);
        }
        Change::Quarantined(entry) => quarantined(process, entry, change_log),
        Change::Released(fingerprint) => released(process, fingerprint, change_log),
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

fn upstream_listed<D: Dialect>(
    process: &Process<D>,
    listed: Listed,
    provenance: Provenance,
    change_log: &mut ChangeLog,
) {
    let leaving = listed.leaving;
    let cold = Duration::from_millis(u64::from(listed.cold_ms));
    let what = format!("{} of {} at {}", listed.id, listed.service, listed.address);
    let id = listed.id.clone();
    let mut cluster = process.cluster.lock().unwrap();
    let before = cluster.tag_of(&id);
    let known = cluster.get(&id).is_some();
    let changed = match provenance {
        Provenance::Sound | Provenance::Lapsed => cluster.list(listed),
        Provenance::Copy => cluster.list_restored(listed),
    };
    cluster.set_cold(&id, cold, process.now());
    let restarted = known && cluster.tag_of(&id) != before;
    drop(cluster);
    process.unreadable.forget(id.as_str());
    if !changed {
        return;
    }
    if restarted {
        process.pool.remove(&id);
        change_log.add(Event::UpstreamRestarted, format!("{id}, by its entry"));
    }
    let event = if leaving { Event::UpstreamLeaving } else { Event::UpstreamListed };
    change_log.add(event, what);
    if leaving {
        process.pool.remove(&id);
    }
    process.room.notify_one();
}

fn quarantined<D: Dialect>(
    process: &Process<D>,
    entry: QuarantineEntry,
    change_log: &mut ChangeLog,
) {
    let what = format!("{entry:?}");
    let wall_ms = process.clock.wall_millis();
    if process.cluster.lock().unwrap().list_quarantined(entry, process.now(), wall_ms) {
        change_log.add(Event::Quarantined, what);
        process.room.notify_one();
    }
}

fn released<D: Dialect>(
    process: &Process<D>,
    fingerprint: Fingerprint,
    change_log: &mut ChangeLog,
) {
    if process.cluster.lock().unwrap().unlist_quarantined(fingerprint, process.now()) {
        change_log.add(Event::Released, fingerprint.to_string());
    }
}

/// An entry names nothing to use; logged once for each version of it.
fn unreadable<D: Dialect>(process: &Process<D>, key: &str, revision: Revision, why: &str) {
    if process.unreadable.note(key, revision, why) {
        process.metrics.unreadable.inc();
        log::event(&process.log, Event::EntryUnreadable, format!("{key} at {revision}: {why}"));
    }
}

fn listing_ended<D: Dialect>(
    process: &Process<D>,
    id: &id::Upstream,
    revision: Revision,
    provenance: Provenance,
    change_log: &mut ChangeLog,
) {
    if provenance.may_live() {
        process.cluster.lock().unwrap().unlist(id, process.now());
        return;
    }
    if process.cluster.lock().unwrap().remove(id, revision) {
        ended(process, id, "its listing ended", change_log);
    }
}

/// An upstream is gone.
pub fn ended<D: Dialect>(
    process: &Process<D>,
    id: &id::Upstream,
    why: &str,
    change_log: &mut ChangeLog,
) {
    process.pool.remove(id);
    change_log.add(Event::UpstreamGone, format!("{id}: {why}"));
}
