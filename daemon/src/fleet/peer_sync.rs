//! What peers tell of the directory's listings, where the directory itself is not heard.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use foldlock_base::prelude::*;
use foldlock_request::cluster::Listed;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::{Change, Listing};
use foldlock_request::step::{self, Step};

use crate::fleet::changes::{self, ChangeLog, Provenance};
use crate::fleet::follow;
use crate::fleet::process::Process;

/// Takes the listings that a peer knows, where the directory itself is not heard.
///
/// The revisions of two VMs do not order what they know: a watch may name a revision whose changes
/// it did not bring. So nothing that ended here comes back by a peer's word, and what is leaving
/// stays so.
pub fn merge_listing<D: Dialect>(process: &Arc<Process<D>>, listing: Listing) {
    let own_revision = process.at();
    if process.watching.load(Ordering::Relaxed) || listing.revision < own_revision {
        return;
    }
    let is_newer = listing.revision > own_revision;
    let revision = listing.revision;
    // The peer may know the copy alone.
    let restored = follow::note_era(process, revision, "a peer");
    let provenance = if restored { Provenance::Lapsed } else { Provenance::Sound };
    process.known_to(revision);
    let upstreams: Vec<Listed> = {
        let cluster = process.cluster.lock().unwrap();
        listing.upstreams.into_iter().filter(|listed| cluster.accepts(listed)).collect()
    };
    let members = listing.members.into_iter().map(Change::Member);
    let upstreams = upstreams.into_iter().map(Change::Upstream);
    let quarantined = listing.quarantined.into_iter().map(Change::Quarantined);
    let changes: Vec<Change> = upstreams.chain(members).chain(quarantined).collect();
    let mut change_log = ChangeLog::default();
    changes::halls_told(process, &listing.halls, &mut change_log);
    if is_newer {
        changes::end_unlisted(process, &changes, revision, provenance, &mut change_log);
    }
    changes
        .into_iter()
        .for_each(|change| changes::apply(process, change, Provenance::Sound, &mut change_log));
    change_log.log(process, revision, "a peer");
}

/// Takes a step of the listings that a peer saw, if it follows on what is known here. What ended here comes
/// back by a later revision alone, as with [`listing`]. A VM that stands by, and watches less often, takes it as
/// well: it would else not hear a VM that has just started.
pub fn merge_step<D: Dialect>(process: &Arc<Process<D>>, step: Step, from: &id::Vm) {
    if !step.follows(process.at()) {
        return;
    }
    let mut change_log = ChangeLog::default();
    for change in step.changes {
        if let Some(change) = filter_stale(process, change) {
            changes::apply(process, change, Provenance::Sound, &mut change_log);
        }
    }
    process.known_to(step.to);
    change_log.log(process, step.to, from.as_str());
}

/// A change that a peer told, unless something newer is known here.
fn filter_stale<D: Dialect>(process: &Process<D>, change: step::Change) -> Option<Change> {
    let cluster = process.cluster.lock().unwrap();
    Some(match change {
        step::Change::Upstream(listed) => {
            cluster.accepts(&listed).then_some(Change::Upstream(listed))?
        }
        step::Change::UpstreamRemoved(id, revision) => {
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
