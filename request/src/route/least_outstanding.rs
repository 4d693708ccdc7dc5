//! Chooses the engine with the fewest outstanding requests of this VM. A baseline.

use rand::Rng;

use super::{Candidate, Requirements, Route};

/// The policy, without state.
#[derive(Debug)]
pub struct LeastOutstanding;

impl Route for LeastOutstanding {
    fn score<R: Rng>(
        &mut self,
        _requirements: &Requirements,
        candidates: &[Candidate],
        _rng: &mut R,
    ) -> Vec<Option<f64>> {
        candidates.iter().map(|c| Some(f64::from(c.own.requests))).collect()
    }
}
