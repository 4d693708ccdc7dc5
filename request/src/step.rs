//! Incremental changes between two revisions of the directory's listings, as VMs announce them to
//! each other.
//!
//! A VM whose listings are at the start of a step applies the step instead of reading all listings,
//! so the traffic for a change grows with the change and not with the size of the fleet.

use std::collections::VecDeque;

use foldlock_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::cluster::{Hall, Listed};
use crate::directory::Member;
use crate::fingerprint::Fingerprint;
use crate::quarantine_entry;
use crate::revision::Revision;

/// Maximum number of changes announced at once. A change takes some 100 bytes, and all of them
/// share a datagram with the rest of a VM's state. A VM that misses a step reads all listings.
const MAX_CHANGES: usize = 200;

/// One change of the listings. A VM of a release that does not have a variant cannot decode the
/// message, and reads all listings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// An upstream was listed.
    Upstream(Listed),
    /// An upstream was removed, as of this revision.
    #[serde(rename = "UpstreamGone")]
    UpstreamRemoved(id::Upstream, Revision),
    /// The entry of an upstream is gone after an outage of the directory, as of this revision. The
    /// upstream may still run and register again.
    UpstreamUnlisted(id::Upstream, Revision),
    /// A VM was listed.
    Member(Member),
    /// A VM has withdrawn.
    #[serde(rename = "MemberGone")]
    MemberWithdrawn(id::Vm),
    /// A data hall was drained or undrained.
    Hall(Hall),
    /// A request was quarantined.
    #[serde(rename = "Held")]
    Quarantined(quarantine_entry::Entry),
    /// A request was released from quarantine.
    Released(Fingerprint),
}

/// The changes between two revisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The revision before the changes.
    pub from: Revision,
    /// The revision after the changes.
    pub to: Revision,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

impl Step {
    /// Whether a VM with the listings at revision `at` can apply this step. `from` and `to` may be
    /// equal: an upstream that does not renew its listing in time is removed without a change in
    /// the directory.
    pub fn follows(&self, at: Revision) -> bool {
        let is_same_era = self.from.era == at.era && self.to.era == at.era;
        is_same_era && self.from <= at && (at < self.to || self.from == self.to && at == self.to)
    }
}

/// Encodes steps for a message. Fields are encoded by name, since some are skipped.
pub fn encode(steps: &[Step]) -> Vec<u8> {
    rmp_serde::to_vec_named(steps).expect("plain data")
}

/// Decodes the steps of a message.
pub fn decode(bytes: &[u8]) -> Result<Vec<Step>, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}

/// Number of heartbeats that announce each step, since datagrams may be lost.
const HEARTBEATS_PER_STEP: u32 = 2;

/// A step that is being announced.
#[derive(Debug)]
struct Announcement {
    step: Step,
    /// Heartbeats that are still to announce the step.
    heartbeats_left: u32,
}

/// The recent steps that a VM which watches the directory announces.
#[derive(Debug, Default)]
pub struct Steps {
    steps: VecDeque<Announcement>,
}

impl Steps {
    /// Adds a step, and drops the oldest ones if there are too many changes for a datagram.
    pub fn push(&mut self, step: Step) {
        self.steps.push_back(Announcement { step, heartbeats_left: HEARTBEATS_PER_STEP });
        while self.change_count() > MAX_CHANGES {
            self.steps.pop_front();
        }
    }

    /// Drops all steps, after a full sync: the changes since the previous revision are not
    /// available.
    pub fn clear(&mut self) {
        self.steps.clear();
    }

    /// The steps for the next heartbeat, without those that another VM announces, whose listings
    /// are at `peer_revision`. Counts the heartbeat against each returned step.
    pub fn announced(&mut self, peer_revision: Revision) -> Vec<Step> {
        let is_announced = |step: &Step| step.to <= peer_revision && step.from < step.to;
        self.steps.retain(|pending| pending.heartbeats_left > 0 && !is_announced(&pending.step));
        let announce = |pending: &mut Announcement| {
            pending.heartbeats_left -= 1;
            pending.step.clone()
        };
        self.steps.iter_mut().map(announce).collect()
    }

    /// The total number of changes; a step without changes counts as one.
    fn change_count(&self) -> usize {
        self.steps.iter().map(|pending| pending.step.changes.len().max(1)).sum()
    }
}
