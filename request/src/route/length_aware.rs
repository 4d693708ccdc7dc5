//! The least predicted time to the first token plus the delay put on others, among the engines
//! that are open to the request; where none is, it waits in foldlock.
//!
//! Long prompts prefer engines in one order that all VMs compute alike, so that few engines have
//! long prompts at a time, and short prompts, whose prediction grows on such engines, find others.

use rand::Rng;

use super::{Ask, Candidate, Route};

/// The share of its own time that a long prompt gives up for each place further down the order.
const RANK_COST: f64 = 0.25;

/// The share of its own time that a prompt puts on each request that an engine answers already.
const OTHERS_COST: f64 = 0.02;

/// The route.
#[derive(Debug)]
pub struct LengthAware;

impl LengthAware {
    fn of(ask: &Ask, candidate: &Candidate) -> f64 {
        let predicted = candidate.predict(ask);
        let mut alone = candidate.work(ask);
        alone.tokens -= candidate.fleet.ahead(ask.class).0 as f64;
        let own = candidate.speed.predict(alone);
        let mut score = predicted + own * OTHERS_COST * f64::from(candidate.fleet.requests);
        if ask.class.is_long() {
            score += own * RANK_COST * f64::from(candidate.long_rank);
        }
        score * 1e3
    }
}

impl Route for LengthAware {
    fn score<R: Rng>(
        &mut self,
        ask: &Ask,
        candidates: &[Candidate],
        _rng: &mut R,
    ) -> Vec<Option<f64>> {
        let open = |c: &Candidate| c.closed(ask).is_none();
        candidates.iter().map(|c| open(c).then(|| LengthAware::of(ask, c))).collect()
    }
}
