//! Applies changes of the directory, received by a read, a watch or from a peer, to the state of
//! this VM.

use std::collections::{BTreeMap, HashSet};
use std::sync::atomic::Ordering;
use std::time::Duration;

use foldlock_base::prelude::*;
use foldlock_request::cluster::{Hall, Halls, Listed};
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::Change;
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::quarantine_entry;
use foldlock_request::revision::Revision;
use foldlock_request::step;

use crate::fleet::members;
use crate::fleet::peers::Scheduler;
use crate::fleet::process::Process;
use crate::fleet::write_queue::Write;
use crate::log;

/// The log lines for one set of changes.
#[derive(Debug, Default)]
pub struct ChangeLog {
    lines: Vec<(Event, String)>,
}

impl ChangeLog {
    fn add(&mut self, event: Event, what: String) {
        self.lines.push((event, what));
    }

    /// Logs the changes received with this revision. If there are more lines than the throttle
    /// admits, logs one line with their counts; the dump has the names.
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
        let age = match process.freshness.age(process.moment()) {
            Some(age) => format!("{} ms old", age.as_millis()),
            None => "not confirmed yet".to_owned(),
        };
        let what = format!("revision {revision} from {from}, {age}: {}", counts.join(" "));
        log::event(&process.log, Event::ListingsChanged, what);
    }
}

/// How reliable entries of the directory, and missing ones, are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Provenance {
    /// The directory is up to date.
    Current,
    /// The directory was unavailable a short time ago: the entry of a running upstream may only
    /// have expired.
    AfterOutage,
    /// The directory was restored from an older copy: its entries are older than what is recorded
    /// here, and missing entries may have been written since the copy.
    AfterRestore,
}

impl Provenance {
    /// Whether an upstream whose entry is gone may still be running.
    fn may_be_running(self) -> bool {
        self != Provenance::Current
    }
}

/// The change as announced to peers; none if it is announced in another way or is not reliable.
pub fn announced(change: &Change, provenance: Provenance) -> Option<step::Change> {
    Some(match change {
        Change::Upstream(listed) => step::Change::Upstream(listed.clone()),
        // Its removal is announced once it has not registered again in time, by any VM that watches then.
        Change::UpstreamRemoved(id, revision) if provenance.may_be_running() => {
            step::Change::UpstreamUnlisted(id.clone(), *revision)
        }
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

/// Removes the upstreams, and releases the quarantined requests, that a full sync does not list.
/// Registers this VM again if its own entry is missing.
pub fn remove_unlisted<D: Dialect>(
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
    let unlisted: Vec<id::Upstream> =
        process.cluster.lock().unwrap().ids().filter(|id| !listed.contains(id)).cloned().collect();
    unlisted.iter().for_each(|id| unlist_upstream(process, id, revision, provenance, change_log));
    if provenance == Provenance::AfterRestore {
        requarantine_missing(process, changes);
        return;
    }
    let is_own = |change: &Change| matches!(change, Change::Member(member) if member.vm == process.member.vm);
    // Listings received from a peer do not include this VM, so only a sync with the directory
    // counts.
    if process.watching.load(Ordering::Relaxed) && !changes.iter().any(is_own) {
        register_again(process);
    }
    release_unlisted(process, changes, change_log);
}

/// Marks the halls that a full sync of the directory does not list as undrained. After a restore
/// entries may be missing until the operator writes them again, so nothing is undrained then.
pub fn undrain_unlisted<D: Dialect>(
    process: &Process<D>,
    changes: &[Change],
    revision: Revision,
    provenance: Provenance,
    change_log: &mut ChangeLog,
) {
    if provenance == Provenance::AfterRestore {
        return;
    }
    let drained: Vec<&str> = changes
        .iter()
        .filter_map(|change| match change {
            Change::Hall(hall) if hall.drained => Some(hall.name.as_str()),
            _ => None,
        })
        .collect();
    let undrained = process.cluster.lock().unwrap().sync_halls(&drained, revision);
    for name in undrained {
        on_hall_change(process, &Hall { name, drained: false, revision }, change_log);
    }
}

/// Merges the halls that a peer announced.
pub fn merge_halls<D: Dialect>(process: &Process<D>, halls: &Halls, change_log: &mut ChangeLog) {
    let changed = process.cluster.lock().unwrap().merge_halls(halls);
    changed.iter().for_each(|hall| on_hall_change(process, hall, change_log));
}

fn update_hall<D: Dialect>(process: &Process<D>, hall: Hall, change_log: &mut ChangeLog) {
    if process.cluster.lock().unwrap().update_hall(hall.clone()) {
        on_hall_change(process, &hall, change_log);
    }
}

fn on_hall_change<D: Dialect>(process: &Process<D>, hall: &Hall, change_log: &mut ChangeLog) {
    let event = if hall.drained { Event::HallDrained } else { Event::HallUndrained };
    change_log.add(event, format!("{}, by revision {}", hall.name, hall.revision));
    let drained = process.cluster.lock().unwrap().halls().drained().count();
    process.metrics.drained_halls.set(drained as i64);
    process.cluster_changed.notify_one();
}

/// Writes the quarantine entries again that the restored directory lacks. Each VM does so for its
/// own entries, the ones it wrote after a solo crash.
fn requarantine_missing<D: Dialect>(process: &Process<D>, changes: &[Change]) {
    let is_listed = |entry: &quarantine_entry::Entry| {
        changes
            .iter()
            .any(|change| matches!(change, Change::Quarantined(listed) if listed == entry))
    };
    let cluster = process.cluster.lock().unwrap();
    let own =
        cluster.quarantined().filter(|entry| entry.vm == process.member.vm && !is_listed(entry));
    own.for_each(|entry| process.directory_writes.push(Write::Quarantine(entry.clone())));
}

fn is_released<D: Dialect>(process: &Process<D>, entry: &quarantine_entry::Entry) -> bool {
    process.cluster.lock().unwrap().is_released(entry.fingerprint)
}

/// Removes an entry again that the restored directory lists and that was released after the copy.
/// Only the scheduler does so.
fn remove_restored<D: Dialect>(process: &Process<D>, entry: &quarantine_entry::Entry) {
    if process.peers.scheduler(false, process.now()) == Some(Scheduler::Own) {
        process.directory_writes.push(Write::RemoveRestored(entry.fingerprint));
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
    let quarantined: Vec<Fingerprint> =
        process.cluster.lock().unwrap().quarantined().map(|entry| entry.fingerprint).collect();
    let unlisted = quarantined.into_iter().filter(|fingerprint| !listed.contains(fingerprint));
    unlisted.for_each(|fingerprint| release(process, fingerprint, change_log));
}

/// Applies one change.
pub fn apply<D: Dialect>(
    process: &Process<D>,
    change: Change,
    provenance: Provenance,
    change_log: &mut ChangeLog,
) {
    match change {
        Change::Settings(settings) => process.apply_settings(*settings, "the directory"),
        Change::Upstream(listed) => list_upstream(process, listed, provenance, change_log),
        Change::UpstreamRemoved(id, revision) => {
            unlist_upstream(process, &id, revision, provenance, change_log);
        }
        Change::UpstreamUnreadable(id, revision, why) => {
            on_unreadable(process, id.as_str(), revision, &why);
            unlist_upstream(process, &id, revision, Provenance::Current, change_log);
        }
        Change::Member(member) => {
            let what = format!("{} at {}", member.vm, member.address);
            if members::on_listed(process, member) {
                change_log.add(Event::PeerUp, what);
            }
        }
        Change::MemberWithdrawn(vm) if vm == process.member.vm => {
            if process.stopping.is_cancelled() {
                process.withdrawals.on_withdrawn();
            }
            register_again(process);
        }
        Change::MemberWithdrawn(vm) => {
            members::on_withdrawn(process, &vm);
        }
        Change::Hall(hall) => update_hall(process, hall, change_log),
        Change::Quarantined(entry)
            if provenance == Provenance::AfterRestore && is_released(process, &entry) =>
        {
            remove_restored(process, &entry);
        }
        Change::Quarantined(entry) => list_quarantined(process, entry, change_log),
        Change::Released(fingerprint) => release(process, fingerprint, change_log),
        Change::Unreadable { key, revision, why } => on_unreadable(process, &key, revision, &why),
        Change::SettingsUnreadable(why) => log::event(&process.log, Event::VersionRefused, why),
    }
}

/// Registers this VM again. Its own entry may be gone although it runs, since the withdrawal of its
/// previous incarnation may be applied seconds after it was requested. While it is not listed,
/// peers ignore its heartbeats, and its in-flight attempts count nowhere.
fn register_again<D: Dialect>(process: &Process<D>) {
    if process.registered.load(Ordering::Relaxed) && !process.stopping.is_cancelled() {
        process.directory_writes.push(Write::Register);
    }
}

fn list_upstream<D: Dialect>(
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
    let previous_tag = cluster.tag_of(&id);
    let was_listed = cluster.get(&id).is_some();
    let changed = match provenance {
        Provenance::Current | Provenance::AfterOutage => cluster.list(listed),
        Provenance::AfterRestore => cluster.list_restored(listed),
    };
    cluster.set_cold(&id, cold, process.now());
    let restarted = was_listed && cluster.tag_of(&id) != previous_tag;
    drop(cluster);
    process.unreadable.remove(id.as_str());
    if !changed {
        return;
    }
    if restarted {
        process.close_idle(&id);
        change_log
            .add(Event::UpstreamRestarted, format!("{id}, new incarnation in its directory entry"));
    }
    let event = if leaving { Event::UpstreamLeaving } else { Event::UpstreamListed };
    change_log.add(event, what);
    if leaving {
        process.close_idle(&id);
    }
    process.cluster_changed.notify_one();
}

fn list_quarantined<D: Dialect>(
    process: &Process<D>,
    entry: quarantine_entry::Entry,
    change_log: &mut ChangeLog,
) {
    let what = format!("{entry:?}");
    let wall_ms = process.clock.wall_millis();
    if process.cluster.lock().unwrap().list_quarantined(entry, process.now(), wall_ms) {
        change_log.add(Event::Quarantined, what);
        process.cluster_changed.notify_one();
    }
}

fn release<D: Dialect>(process: &Process<D>, fingerprint: Fingerprint, change_log: &mut ChangeLog) {
    if process.cluster.lock().unwrap().unlist_quarantined(fingerprint, process.now()) {
        change_log.add(Event::Cleared, fingerprint.to_string());
    }
}

/// Logs an entry that cannot be decoded, once for each version of it.
fn on_unreadable<D: Dialect>(process: &Process<D>, key: &str, revision: Revision, why: &str) {
    if process.unreadable.insert(key, revision, why) {
        process.metrics.unreadable_entries.inc();
        log::event(&process.log, Event::EntryUnreadable, format!("{key} at {revision}: {why}"));
    }
}

fn unlist_upstream<D: Dialect>(
    process: &Process<D>,
    id: &id::Upstream,
    revision: Revision,
    provenance: Provenance,
    change_log: &mut ChangeLog,
) {
    if provenance.may_be_running() {
        process.cluster.lock().unwrap().unlist(id, process.now());
        return;
    }
    if process.cluster.lock().unwrap().remove(id, revision) {
        on_upstream_removed(process, id, "no longer listed in the directory", change_log);
    }
}

/// Closes the connections of a removed upstream and logs the removal.
pub fn on_upstream_removed<D: Dialect>(
    process: &Process<D>,
    id: &id::Upstream,
    why: &str,
    change_log: &mut ChangeLog,
) {
    process.close_idle(id);
    change_log.add(Event::UpstreamGone, format!("{id}: {why}"));
}
