//! How an upstream is chosen: a small trait, the routes that the settings name, and what they see.

pub mod least_outstanding;
pub mod length_aware;
pub mod round_robin;
pub mod two_choices;

use foldlock_base::id;
use foldlock_base::size::Tokens;
use foldlock_connection::wire::{Load, Reported};
use foldlock_version::policy::{self, Class};
use rand::Rng;

use crate::decision::{Cause, Seen};
use crate::speed::{Model, Work};

/// What is asked of an engine.
#[derive(Debug, Clone, Copy)]
pub struct Requirements {
    /// The prompt's tokens.
    pub prompt: Tokens,
    /// Memory for prompt and answer.
    pub memory: Tokens,
    /// The prompt's class of length.
    pub class: Class,
}

/// Seconds of short prompts that may be queued at an engine.
const MAX_SHORT_QUEUE_S: f64 = 0.25;

/// What may be queued at an engine before a long prompt, as a part of its own time.
const MAX_LONG_QUEUE_RATIO: f64 = 0.25;

/// An engine that can serve the request, as this VM knows it.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The engine.
    pub engine: id::Upstream,
    /// This VM's own work on it.
    pub own: Load,
    /// The work of all VMs on it, as far as known.
    pub fleet: Load,
    /// Its load by its newest report.
    pub report: Option<Reported>,
    /// Prompt tokens that are likely in its cache.
    pub cached: Tokens,
    /// The tokens that its memory holds.
    pub memory: Tokens,
    /// Its speed as learnt.
    pub speed: Model,
    /// Seconds by which this VM's oldest request there is late.
    pub overdue_s: f64,
    /// Its place among the engines of the model in the order in which long prompts take them.
    pub long_rank: u32,
}

impl Candidate {
    /// The work until the first token of a request on it.
    pub fn work(&self, requirements: &Requirements) -> Work {
        let uncached = requirements.prompt - self.cached;
        let queued = self.fleet.ahead(requirements.class);
        let shared_with_long = !requirements.class.is_long() && self.fleet.has_long_prefill();
        let long = u32::from(shared_with_long);
        Work::new(queued.0 as f64, uncached.0 as f64, self.cached.0 as f64, long)
    }

    /// The predicted seconds to the first token of a request on it.
    pub fn predict(&self, requirements: &Requirements) -> f64 {
        self.speed.predict(self.work(requirements)) + self.overdue_s
    }

    /// Whether the memory has room by what is known.
    pub fn fits(&self, requirements: &Requirements) -> bool {
        self.fleet.memory + requirements.memory <= self.memory
    }

    /// Why it is not to be given the request now, though it may be the best. What waits in
    /// foldlock rather than at an engine can still go elsewhere, and in fair order.
    pub fn blocked_by(&self, requirements: &Requirements) -> Option<Cause> {
        if !self.fits(requirements) {
            return Some(Cause::Memory);
        }
        let queued = self.fleet.ahead(requirements.class).0 as f64 * self.speed.seconds_per_token();
        let own = requirements.prompt.0 as f64 * self.speed.seconds_per_token();
        let max_queued = if requirements.class.is_long() {
            own * MAX_LONG_QUEUE_RATIO
        } else {
            MAX_SHORT_QUEUE_S
        };
        (queued > max_queued).then_some(Cause::Engines)
    }

    /// What a record says of it.
    pub fn snapshot(&self, requirements: &Requirements, score: f64) -> Seen {
        Seen {
            upstream: self.engine.clone(),
            predicted_ms: self.predict(requirements) * 1e3,
            score,
            requests: self.fleet.requests,
            long: self.fleet.long,
            queued: self.fleet.queued(),
            cached: self.cached,
        }
    }
}

/// A way to choose.
pub trait Route {
    /// The score of each candidate, lowest best; none for one that is not to be used now.
    fn score<R: Rng>(
        &mut self,
        requirements: &Requirements,
        candidates: &[Candidate],
        rng: &mut R,
    ) -> Vec<Option<f64>>;
}

/// A choice with what was compared.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The index of the candidate.
    pub index: usize,
    /// The candidates, best first; a few of them.
    pub compared: Vec<Seen>,
}

/// How many candidates a record names.
const MAX_COMPARED: usize = 4;

/// Each route that the settings can name, with its state.
#[derive(Debug, Default)]
pub struct Routes {
    round_robin: round_robin::RoundRobin,
}

impl Routes {
    /// Chooses by the route that the settings name.
    pub fn choose<R: Rng>(
        &mut self,
        route: policy::Route,
        requirements: &Requirements,
        candidates: &[Candidate],
        rng: &mut R,
    ) -> Option<Choice> {
        let scores = match route {
            policy::Route::RoundRobin => self.round_robin.score(requirements, candidates, rng),
            policy::Route::LeastOutstanding => {
                least_outstanding::LeastOutstanding.score(requirements, candidates, rng)
            }
            policy::Route::TwoChoices => {
                two_choices::TwoChoices { source: two_choices::LoadSource::Report }.score(
                    requirements,
                    candidates,
                    rng,
                )
            }
            policy::Route::Shared => {
                two_choices::TwoChoices { source: two_choices::LoadSource::Fleet }.score(
                    requirements,
                    candidates,
                    rng,
                )
            }
            policy::Route::LengthAware => {
                length_aware::LengthAware.score(requirements, candidates, rng)
            }
        };
        best(requirements, candidates, &scores)
    }
}

/// The candidate with the lowest score. Equal scores go to the earlier one: callers shuffle.
pub fn best(
    requirements: &Requirements,
    candidates: &[Candidate],
    scores: &[Option<f64>],
) -> Option<Choice> {
    let mut ranked: Vec<(usize, f64)> =
        scores.iter().enumerate().filter_map(|(i, s)| s.map(|s| (i, s))).collect();
    ranked.sort_by(|a, b| a.1.total_cmp(&b.1));
    let (index, _) = *ranked.first()?;
    let compared = ranked
        .iter()
        .take(MAX_COMPARED)
        .map(|(i, s)| candidates[*i].snapshot(requirements, *s))
        .collect();
    Some(Choice { index, compared })
}
