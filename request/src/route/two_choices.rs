//! Power of two choices: chooses the less loaded of two random engines.

use rand::Rng;
use rand::seq::index;

use super::{Candidate, Requirements, Route};

/// Which load is compared.
#[derive(Debug, Clone, Copy)]
pub enum LoadSource {
    /// The load in the engine's report, which lags behind. A baseline.
    Report,
    /// The load that all VMs announce.
    Fleet,
}

/// The policy.
#[derive(Debug)]
pub struct TwoChoices {
    /// Which load is compared.
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
