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
use crate::held::Quarantined;
use crate::revision::Revision;

/// Maximum number of changes announced at once. A change takes some 100 bytes, and all of them
/// share a datagram with the rest of a VM's state. A VM that misses a step reads all listings.
const MOST_CHANGES: usize = 200;

/// One change of the listings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// An upstream was listed.
    Upstream(Listed),
    /// An upstream was removed, as of this revision.
    UpstreamGone(id::Upstream, Revision),
    /// A VM was listed.
    Member(Member),
    /// A VM has withdrawn.
    MemberGone(id::Vm),
    /// A data hall was drained or undrained.
    Hall(Hall),
    /// A request was quarantined.
    Held(Quarantined),
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
        let is_of_era = self.from.era == at.era && self.to.era == at.era;
        is_of_era && self.from <= at && (at < self.to || self.from == self.to && at == self.to)
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
const ROUNDS: u32 = 2;

/// A step that is being announced.
#[derive(Debug)]
struct Told {
    step: Step,
    /// Heartbeats that are still to announce the step.
    rounds: u32,
}

/// The recent steps that a VM which watches the directory announces.
#[derive(Debug, Default)]
pub struct Steps {
    steps: VecDeque<Told>,
}

impl Steps {
    /// Adds a step, and drops the oldest ones if there are too many changes for a datagram.
    pub fn note(&mut self, step: Step) {
        self.steps.push_back(Told { step, rounds: ROUNDS });
        while self.changes() > MOST_CHANGES {
            self.steps.pop_front();
        }
    }

    /// Drops all steps, after a full sync: the changes since the previous revision are not
    /// available.
    pub fn clear(&mut self) {
        self.steps.clear();
    }

    /// The steps for the next heartbeat, without those that another VM announces, whose listings
    /// are at revision `known`. Counts the heartbeat against each returned step.
    pub fn told(&mut self, known: Revision) -> Vec<Step> {
        let is_told = |step: &Step| step.to <= known && step.from < step.to;
        self.steps.retain(|told| told.rounds > 0 && !is_told(&told.step));
        let tell = |told: &mut Told| {
            told.rounds -= 1;
            told.step.clone()
        };
        self.steps.iter_mut().map(tell).collect()
    }

    /// The total number of changes; a step without changes counts as one.
    fn changes(&self) -> usize {
        self.steps.iter().map(|told| told.step.changes.len().max(1)).sum()
    }
}
