//! Outcomes of recent attempts, exchanged between VMs.

use std::time::{Duration, Instant};

use foldlock_base::id;
use serde::{Deserialize, Serialize};

use super::Cluster;
use crate::suspicion::Outcome;
use crate::tag::Tag;

/// How long an outcome is announced: several heartbeats, so that one of them arrives.
const OUTCOME_ANNOUNCE_WINDOW: Duration = Duration::from_millis(700);

/// Maximum number of outcomes that are announced. More within the announcement window add no information.
const MAX_OUTCOMES: usize = 64;

/// The outcome of an attempt, as announced to peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Completion {
    number: u64,
    upstream: Tag,
    outcome: Outcome,
}

impl Cluster {
    /// Records the outcome of an attempt of this VM at an upstream.
    pub fn record_outcome(&mut self, id: &id::Upstream, outcome: Outcome, now: Instant) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        upstream.record_outcome(outcome, now);
        self.last_number += 1;
        let attempt = Completion { number: self.last_number, upstream: upstream.tag, outcome };
        if self.outcomes.len() == MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((now, attempt));
    }

    /// The recent outcomes, as announced to peers.
    pub fn announced_outcomes(&mut self, now: Instant) -> Vec<Completion> {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) > OUTCOME_ANNOUNCE_WINDOW;
        while self.outcomes.front().is_some_and(|(at, _)| is_old(at)) {
            self.outcomes.pop_front();
        }
        self.outcomes.iter().map(|(_, attempt)| *attempt).collect()
    }

    /// Merges the outcomes that a peer announced, each of them once.
    pub fn merge_outcomes(&mut self, vm: &id::Vm, announced: &[Completion], now: Instant) {
        let last_merged = self.merged_outcomes.get(vm).copied().unwrap_or(0);
        for attempt in announced.iter().filter(|attempt| attempt.number > last_merged) {
            let upstream =
                self.tags.get(&attempt.upstream).and_then(|id| self.upstreams.get_mut(id));
            if let Some(upstream) = upstream {
                upstream.record_outcome(attempt.outcome, now);
            }
        }
        if let Some(last) = announced.last() {
            self.merged_outcomes.insert(vm.clone(), last_merged.max(last.number));
        }
    }
}
