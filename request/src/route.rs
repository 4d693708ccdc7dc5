//! Choice of an upstream for a request: the trait of a routing policy, the policies that the
//! settings can name, and the data that they compare.

pub mod least_outstanding;
pub mod length_aware;
pub mod round_robin;
pub mod two_choices;

use foldlock_base::id;
use foldlock_base::size::Tokens;
use foldlock_connection::wire::{Load, Reported};
use foldlock_version::policy::{self, Class};
use rand::Rng;

use crate::decision::{Cause, Snapshot};
use crate::speed::{Model, Work};

/// What a request needs of an engine.
#[derive(Debug, Clone, Copy)]
pub struct Requirements {
    /// Number of prompt tokens.
    pub prompt: Tokens,
    /// Engine memory for the prompt and the generated tokens.
    pub memory: Tokens,
    /// Length class of the prompt.
    pub class: Class,
}

/// Maximum seconds of work queued at an engine to which a short prompt is sent.
const MAX_SHORT_QUEUE_S: f64 = 0.25;

/// Maximum work queued at an engine to which a long prompt is sent, as a ratio of the time of the
/// prompt itself.
const MAX_LONG_QUEUE_RATIO: f64 = 0.25;

/// An engine that can serve the request, with this VM's data on it.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The engine's id.
    pub engine: id::Upstream,
    /// Load from requests of this VM.
    pub own: Load,
    /// Load from requests of all VMs, as last announced.
    pub fleet: Load,
    /// Load in the engine's newest report.
    pub report: Option<Reported>,
    /// Prompt tokens that are probably in the engine's cache.
    pub cached: Tokens,
    /// Memory capacity, in tokens.
    pub memory: Tokens,
    /// Speed model fitted to the engine's past requests.
    pub speed: Model,
    /// Longest time in seconds by which a request of this VM there exceeds its predicted time to
    /// the first token.
    pub overdue_s: f64,
    /// Rank in the order in which long prompts prefer the engines of the model.
    pub long_rank: u32,
}

impl Candidate {
    /// The work until the first token of the request on this engine.
    pub fn work(&self, requirements: &Requirements) -> Work {
        let uncached = requirements.prompt - self.cached;
        let queued = self.fleet.ahead(requirements.class);
        let shared_with_long = !requirements.class.is_long() && self.fleet.has_long_prefill();
        let long = u32::from(shared_with_long);
        Work::new(queued.0 as f64, uncached.0 as f64, self.cached.0 as f64, long)
    }

    /// Predicted time to the first token on this engine, in seconds.
    pub fn predict(&self, requirements: &Requirements) -> f64 {
        self.speed.predict(self.work(requirements)) + self.overdue_s
    }

    /// Whether the request fits into the free memory, as far as announced.
    pub fn fits(&self, requirements: &Requirements) -> bool {
        self.fleet.memory + requirements.memory <= self.memory
    }

    /// Why the request must not be sent to this engine now, even if it has the best score; `None`
    /// if it may be. A request that is queued in foldlock and not at an engine can still go to
    /// another engine, and is served in fair order.
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

    /// The engine's state for the decision record.
    pub fn snapshot(&self, requirements: &Requirements, score: f64) -> Snapshot {
        Snapshot {
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

/// A routing policy.
pub trait Route {
    /// Scores the candidates; the lowest is best, `None` excludes a candidate for now.
    fn score<R: Rng>(
        &mut self,
        requirements: &Requirements,
        candidates: &[Candidate],
        rng: &mut R,
    ) -> Vec<Option<f64>>;
}

/// A chosen candidate and the candidates that were compared.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Index of the chosen candidate.
    pub index: usize,
    /// The best few candidates, best first.
    pub compared: Vec<Snapshot>,
}

/// Maximum number of candidates in a decision record.
const MAX_COMPARED: usize = 4;

/// The routing policies that the settings can name, with their state.
#[derive(Debug, Default)]
pub struct Routes {
    round_robin: round_robin::RoundRobin,
}

impl Routes {
    /// Chooses a candidate by the policy named in the settings.
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

/// Returns the candidate with the lowest score, of equal ones the first. Callers shuffle the
/// candidates, so that ties are broken at random.
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
