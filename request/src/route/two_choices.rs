//! The less loaded of two engines at random.

use rand::Rng;
use rand::seq::index;

use super::{Candidate, Requirements, Route};

/// What tells the load.
#[derive(Debug, Clone, Copy)]
pub enum LoadSource {
    /// The engine's report, which lags: a baseline.
    Report,
    /// The work that all VMs announce.
    Fleet,
}

/// The route.
#[derive(Debug)]
pub struct TwoChoices {
    /// What tells the load.
    pub source: LoadSource,
}

impl TwoChoices {
    fn load(&self, candidate: &Candidate) -> f64 {
        match self.source {
            LoadSource::Report => candidate
                .report
                .as_ref()
                .map_or(0.0, |r| r.prefill.0 as f64 + f64::from(r.requests)),
            LoadSource::Fleet => {
                let load = candidate.fleet;
                load.queued().0 as f64 + f64::from(load.requests)
            }
        }
    }
}

impl Route for TwoChoices {
    fn score<R: Rng>(
        &mut self,
        _requirements: &Requirements,
        candidates: &[Candidate],
        rng: &mut R,
    ) -> Vec<Option<f64>> {
        let mut scores = vec![None; candidates.len()];
        for i in index::sample(rng, candidates.len(), candidates.len().min(2)) {
            scores[i] = Some(self.load(&candidates[i]));
        }
        scores
    }
}
