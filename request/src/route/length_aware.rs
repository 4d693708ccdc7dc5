//! Chooses the engine with the lowest predicted time to the first token plus the delay caused to
//! other requests, among the engines to which the request may be sent. If there is none, the
//! request stays queued in foldlock.
//!
//! Long prompts prefer engines in an order that is the same at all VMs. So only few engines have
//! long prompts at a time, and short prompts, whose predicted time is higher on these, use the
//! others.

use rand::Rng;

use super::{Candidate, Requirements, Route};

/// Cost of each rank further down the order for a long prompt, as a share of the prompt's own time
/// to the first token.
const RANK_COST_RATIO: f64 = 0.25;

/// Delay that a prompt causes to each request in progress on the engine, as a share of the prompt's
/// own time to the first token.
const IN_FLIGHT_COST_RATIO: f64 = 0.02;

/// Maximum random addition to a score: a share of it, and milliseconds. Engines whose scores differ
/// by less are chosen at random, so that VMs with the same data do not all choose the same engine,
/// and an engine with a slightly higher prediction is still used.
const SCORE_NOISE: (f64, f64) = (0.05, 2.0);

/// The policy, without state.
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
