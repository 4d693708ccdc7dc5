//! Merges the directory's listings from peers on a VM that does not watch the directory itself.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use foldlock_base::prelude::*;
use foldlock_request::cluster::Listed;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::{Change, Listing};
use foldlock_request::step::{self, Step};

use crate::fleet::changes::{self, ChangeLog, Provenance};
use crate::fleet::process::Process;
use crate::fleet::watch;

/// Merges the whole listing of a peer, unless this VM watches the directory.
///
/// The revisions of two VMs do not order their listings: a watch may return a revision without all
/// of its changes. So a listing removed on this VM is not restored from a peer's, and an upstream
/// or VM that is leaving stays so.
pub fn merge_listing<D: Dialect>(process: &Arc<Process<D>>, listing: Listing) {
    let own_revision = process.revision();
    if process.watching.load(Ordering::Relaxed) || listing.revision < own_revision {
        return;
    }
    let is_newer = listing.revision > own_revision;
    let revision = listing.revision;
    // The peer may have only the listings of the restored copy.
    let restored = watch::detect_restore(process, revision, "a peer");
    let provenance = if restored { Provenance::AfterOutage } else { Provenance::Current };
    process.advance_revision(revision);
    let upstreams: Vec<Listed> = {
        let cluster = process.cluster.lock().unwrap();
        listing.upstreams.into_iter().filter(|listed| cluster.accepts(listed)).collect()
    };
    let members = listing.members.into_iter().map(Change::Member);
    let upstreams = upstreams.into_iter().map(Change::Upstream);
    let quarantined = listing.quarantined.into_iter().map(Change::Quarantined);
    let changes: Vec<Change> = upstreams.chain(members).chain(quarantined).collect();
    let mut change_log = ChangeLog::default();
    changes::merge_halls(process, &listing.halls, &mut change_log);
    if is_newer {
        changes::remove_unlisted(process, &changes, revision, provenance, &mut change_log);
    }
    changes
        .into_iter()
        .for_each(|change| changes::apply(process, change, Provenance::Current, &mut change_log));
    let now = process.now();
    let mut cluster = process.cluster.lock().unwrap();
    listing.unlisted.iter().for_each(|id| cluster.unlist(id, now));
    drop(cluster);
    change_log.log(process, revision, "a peer");
    if own_revision.is_none() {
        // Other starting VMs may wait for listings, and VMs that were listed just now have not
        // received a heartbeat of this one.
        process.announce_to_all();
    }
}

/// Merges one step of the listings from a peer, if it continues from the own revision. A listing
/// removed on this VM only returns with a later revision, as in [`merge_listing`]. A standby
/// watcher, which watches less often, merges it as well: it would otherwise ignore a VM that has
/// just started.
pub fn merge_step<D: Dialect>(process: &Arc<Process<D>>, step: Step, from: &id::Vm) {
    if !step.follows(process.revision()) {
        return;
    }
    let mut change_log = ChangeLog::default();
    for change in step.changes {
        let provenance = match change {
            step::Change::UpstreamUnlisted(..) => Provenance::AfterOutage,
            _ => Provenance::Current,
        };
        if let Some(change) = filter_stale(process, change) {
            changes::apply(process, change, provenance, &mut change_log);
        }
    }
    process.advance_revision(step.to);
    change_log.log(process, step.to, from.as_str());
}

/// Returns a change that a peer announced, unless this VM has a newer one.
fn filter_stale<D: Dialect>(process: &Process<D>, change: step::Change) -> Option<Change> {
    let cluster = process.cluster.lock().unwrap();
    Some(match change {
        step::Change::Upstream(listed) => {
            cluster.accepts(&listed).then_some(Change::Upstream(listed))?
        }
        step::Change::UpstreamRemoved(id, revision)
        | step::Change::UpstreamUnlisted(id, revision) => {
            let is_newer =
                cluster.get(&id).is_some_and(|current| current.listed.revision > revision);
            (!is_newer).then_some(Change::UpstreamRemoved(id, revision))?
        }
        step::Change::Member(member) => Change::Member(member),
        step::Change::MemberWithdrawn(vm) => Change::MemberWithdrawn(vm),
        step::Change::Hall(hall) => Change::Hall(hall),
        step::Change::Quarantined(entry) => Change::Quarantined(entry),
        step::Change::Released(fingerprint) => Change::Released(fingerprint),
    })
}
