//! The least predicted time to the first token plus the delay put on others, among the engines
//! that are open to the request; where none is, it waits in foldlock.
//!
//! Long prompts prefer engines in one order that all VMs compute alike, so that few engines have
//! long prompts at a time, and short prompts, whose prediction grows on such engines, find others.

use rand::Rng;

use super::{Candidate, Requirements, Route};

/// The share of its own time that a long prompt gives up for each place further down the order.
const RANK_COST_RATIO: f64 = 0.25;

/// The share of its own time that a prompt puts on each request that an engine answers already.
const IN_FLIGHT_COST_RATIO: f64 = 0.02;

/// Scores that differ by less than this part and these milliseconds are equal, so that VMs that
/// see the same do not choose the same, and an engine that seems a little slower is still used.
const SCORE_NOISE: (f64, f64) = (0.05, 2.0);

/// The route.
#[derive(Debug)]
pub struct LengthAware;

impl LengthAware {
    fn score_ms(requirements: &Requirements, candidate: &Candidate) -> f64 {
        let predicted = candidate.predict(requirements);
        let mut own_work = candidate.work(requirements);
        own_work.tokens -= candidate.fleet.ahead(requirements.class).0 as f64;
        let own = candidate.speed.predict(own_work);
        let mut score =
            predicted + own * IN_FLIGHT_COST_RATIO * f64::from(candidate.fleet.requests);
        if requirements.class.is_long() {
            score += own * RANK_COST_RATIO * f64::from(candidate.long_rank);
        }
        score * 1e3
    }
}

impl Route for LengthAware {
    fn score<R: Rng>(
        &mut self,
        requirements: &Requirements,
        candidates: &[Candidate],
        rng: &mut R,
    ) -> Vec<Option<f64>> {
        let mut score = |c: &Candidate| {
            let (ratio, millis) = SCORE_NOISE;
            let random: f64 = rng.random();
            LengthAware::score_ms(requirements, c) * (1.0 + ratio * random) + millis * random
        };
        let eligible = |c: &&Candidate| c.blocked_by(requirements).is_none();
        candidates.iter().map(|c| Some(c).filter(eligible).map(&mut score)).collect()
    }
}
