//! Outcomes of recent attempts, exchanged between VMs.

use std::time::{Duration, Instant};

use foldlock_base::id;
use serde::{Deserialize, Serialize};

use super::Cluster;
use crate::suspicion::Outcome;
use crate::tag::Tag;

/// How long an outcome is announced: several heartbeats, so that one of them arrives.
const OUTCOME_TOLD: Duration = Duration::from_millis(700);

/// Most outcomes that are announced. More within the announcement window add no information.
const MOST_OUTCOMES: usize = 64;

/// The outcome of an attempt, as announced to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    number: u64,
    upstream: Tag,
    outcome: Outcome,
}

impl Cluster {
    /// Records the outcome of an attempt of this VM at an upstream.
    pub fn note(&mut self, id: &id::Upstream, outcome: Outcome, now: Instant) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        upstream.record_outcome(outcome, now);
        self.next += 1;
        let ended = Ended { number: self.next, upstream: upstream.tag, outcome };
        if self.outcomes.len() == MOST_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((now, ended));
    }

    /// The recent outcomes, as announced to peers.
    pub fn told_outcomes(&mut self, now: Instant) -> Vec<Ended> {
        let old = |at: &Instant| now.saturating_duration_since(*at) > OUTCOME_TOLD;
        while self.outcomes.front().is_some_and(|(at, _)| old(at)) {
            self.outcomes.pop_front();
        }
        self.outcomes.iter().map(|(_, ended)| *ended).collect()
    }

    /// Merges the outcomes that a peer announced, each of them once.
    pub fn hear_outcomes(&mut self, vm: &id::Vm, told: &[Ended], now: Instant) {
        let through = self.heard_outcomes.get(vm).copied().unwrap_or(0);
        for ended in told.iter().filter(|ended| ended.number > through) {
            let upstream = self.tags.get(&ended.upstream).and_then(|id| self.upstreams.get_mut(id));
            if let Some(upstream) = upstream {
                upstream.record_outcome(ended.outcome, now);
            }
        }
        if let Some(last) = told.last() {
            self.heard_outcomes.insert(vm.clone(), through.max(last.number));
        }
    }
}
