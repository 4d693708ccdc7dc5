//! Steps of the directory's listings: what changed from one revision to another, as VMs tell each other.
//!
//! A VM that knows the listings of a step's start takes the step in place of all that is listed: what is told
//! of a change grows with the change, not with the fleet.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::board::{Hall, Listed};
use crate::directory::Member;
use crate::fingerprint::Fingerprint;
use crate::held::Quarantined;
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
    Held(Quarantined),
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
    /// Whether a VM that knows the listings up to `at` knows those up to its end by it.
    pub fn follows(&self, at: Revision) -> bool {
        self.from.era == at.era && self.to.era == at.era && self.from <= at && at < self.to
    }
}

/// Steps as they go with a message; none are an empty text.
pub fn encode(steps: &[Step]) -> String {
    if steps.is_empty() {
        return String::new();
    }
    serde_json::to_string(steps).expect("plain data")
}

/// Reads steps that came with a message.
pub fn decode(text: &str) -> Result<Vec<Step>, serde_json::Error> {
    if text.is_empty() { Ok(Vec::new()) } else { serde_json::from_str(text) }
}

/// The steps of late, as a VM that watches the directory tells them.
#[derive(Debug, Default)]
pub struct Steps {
    steps: VecDeque<(Instant, Step)>,
}

impl Steps {
    /// Notes a step.
    pub fn note(&mut self, step: Step, now: Instant) {
        self.steps.push_back((now, step));
        while self.changes() > MOST_CHANGES {
            self.steps.pop_front();
        }
    }

    /// The listings were read anew: what changed since before is not known.
    pub fn clear(&mut self) {
        self.steps.clear();
    }

    /// The steps that were noted within `time`, as peers are told of them.
    pub fn told(&mut self, time: Duration, now: Instant) -> Vec<Step> {
        let old = |at: &Instant| now.saturating_duration_since(*at) > time;
        while self.steps.front().is_some_and(|(at, _)| old(at)) {
            self.steps.pop_front();
        }
        self.steps.iter().map(|(_, step)| step.clone()).collect()
    }

    /// Changes, a step without any counted as one.
    fn changes(&self) -> usize {
        self.steps.iter().map(|(_, step)| step.changes.len().max(1)).sum()
    }
}
