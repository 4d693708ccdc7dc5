//! Chooses the engines in turn, regardless of their load. A baseline.

use rand::Rng;

use super::{Candidate, Requirements, Route};

/// The policy, with the number of choices so far.
#[derive(Debug, Default)]
pub struct RoundRobin {
    calls: u64,
}

impl Route for RoundRobin {
    fn score<R: Rng>(
        &mut self,
        _requirements: &Requirements,
        candidates: &[Candidate],
        _rng: &mut R,
    ) -> Vec<Option<f64>> {
        self.calls += 1;
        let count = candidates.len() as u64;
        let mut order: Vec<usize> = (0..candidates.len()).collect();
        order.sort_by(|a, b| candidates[*a].engine.cmp(&candidates[*b].engine));
        let mut scores = vec![None; candidates.len()];
        for (position, index) in order.into_iter().enumerate() {
            let distance = (position as u64 + count - self.calls % count.max(1)) % count.max(1);
            scores[index] = Some(distance as f64);
        }
        scores
    }
}
