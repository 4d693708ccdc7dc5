//! Steps of the directory's listings: what changed from one revision to another, as VMs tell each other.
//!
//! A VM that knows the listings of a step's start takes the step in place of all that is listed: what is told
//! of a change grows with the change, not with the fleet.

use std::collections::VecDeque;

use foldlock_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::cluster::{Hall, Listed};
use crate::directory::Member;
use crate::fingerprint::Fingerprint;
use crate::quarantine_entry::QuarantineEntry;
use crate::revision::Revision;

/// Changes that are told at once at most, some 100 bytes each: a datagram holds them beside a VM's other
/// state. Whoever misses a step reads all that is listed.
const MOST_CHANGES: usize = 200;

/// One change of the listings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// An upstream is listed.
    Upstream(Listed),
    /// An upstream is gone, as known at this revision.
    UpstreamGone(id::Upstream, Revision),
    /// A VM is listed.
    Member(Member),
    /// A VM has withdrawn.
    MemberGone(id::Vm),
    /// A data hall is drained, or taken back.
    Hall(Hall),
    /// A request is held.
    Held(QuarantineEntry),
    /// A request is let go.
    Released(Fingerprint),
}

/// What changed between two revisions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// The revision up to which the listings were known before.
    pub from: Revision,
    /// The revision up to which they are known with it.
    pub to: Revision,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

impl Step {
    /// Whether a VM that knows the listings up to `at` knows those up to its end by it. A step may end where it
    /// begins: an upstream that was not listed again is gone without a change in the directory.
    pub fn follows(&self, at: Revision) -> bool {
        let is_of_era = self.from.era == at.era && self.to.era == at.era;
        is_of_era && self.from <= at && (at < self.to || self.from == self.to && at == self.to)
    }
}

/// Steps as they go with a message. Fields go by name, since some are left out.
pub fn encode(steps: &[Step]) -> Vec<u8> {
    rmp_serde::to_vec_named(steps).expect("plain data")
}

/// Reads steps that came with a message.
pub fn decode(bytes: &[u8]) -> Result<Vec<Step>, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}

/// Rounds in which each step is told: the datagrams of one may be lost.
const ROUNDS: u32 = 2;

/// A step that is told.
#[derive(Debug)]
struct Told {
    step: Step,
    /// Rounds that are left.
    rounds: u32,
}

/// The steps of late, as a VM that watches the directory tells them.
#[derive(Debug, Default)]
pub struct Steps {
    steps: VecDeque<Told>,
}

impl Steps {
    /// Notes a step.
    pub fn note(&mut self, step: Step) {
        self.steps.push_back(Told { step, rounds: ROUNDS });
        while self.changes() > MOST_CHANGES {
            self.steps.pop_front();
        }
    }

    /// The listings were read anew: what changed since before is not known.
    pub fn clear(&mut self) {
        self.steps.clear();
    }

    /// The steps that are told in this round, those left out that another VM tells, which knows the listings
    /// up to `known`.
    pub fn told(&mut self, known: Revision) -> Vec<Step> {
        let is_told = |step: &Step| step.to <= known && step.from < step.to;
        self.steps.retain(|told| told.rounds > 0 && !is_told(&told.step));
        let tell = |told: &mut Told| {
            told.rounds -= 1;
            told.step.clone()
        };
        self.steps.iter_mut().map(tell).collect()
    }

    /// Changes, a step without any counted as one.
    fn changes(&self) -> usize {
        self.steps.iter().map(|told| told.step.changes.len().max(1)).sum()
    }
}
