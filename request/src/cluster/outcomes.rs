//! How attempts of late have ended, as VMs tell each other.

use std::time::{Duration, Instant};

use foldlock_base::id;
use serde::{Deserialize, Serialize};

use super::Cluster;
use crate::suspicion::Outcome;
use crate::tag::Tag;

/// How long the end of an attempt is told: some beats, of which one arrives.
const OUTCOME_TOLD: Duration = Duration::from_millis(700);

/// Ends that are told at most; more of them in that time say the same again.
const MOST_OUTCOMES: usize = 64;

/// The end of an attempt, as peers are told of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    number: u64,
    upstream: Tag,
    outcome: Outcome,
}

impl Cluster {
    /// An attempt of this VM at an upstream has ended in this way.
    pub fn note(&mut self, id: &id::Upstream, outcome: Outcome, now: Instant) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        upstream.note(outcome, now);
        self.next += 1;
        let ended = Ended { number: self.next, upstream: upstream.tag, outcome };
        if self.outcomes.len() == MOST_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((now, ended));
    }

    /// The ends of late, as peers are told of them.
    pub fn told_outcomes(&mut self, now: Instant) -> Vec<Ended> {
        let old = |at: &Instant| now.saturating_duration_since(*at) > OUTCOME_TOLD;
        while self.outcomes.front().is_some_and(|(at, _)| old(at)) {
            self.outcomes.pop_front();
        }
        self.outcomes.iter().map(|(_, ended)| *ended).collect()
    }

    /// Takes the ends that a peer told of, those that were heard before left out.
    pub fn hear_outcomes(&mut self, vm: &id::Vm, told: &[Ended], now: Instant) {
        let through = self.heard_outcomes.get(vm).copied().unwrap_or(0);
        for ended in told.iter().filter(|ended| ended.number > through) {
            let upstream = self.tags.get(&ended.upstream).and_then(|id| self.upstreams.get_mut(id));
            if let Some(upstream) = upstream {
                upstream.note(ended.outcome, now);
            }
        }
        if let Some(last) = told.last() {
            self.heard_outcomes.insert(vm.clone(), through.max(last.number));
        }
    }
}
