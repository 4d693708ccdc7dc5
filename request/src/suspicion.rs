//! A decaying failure score for each upstream, by which upstreams that failed recently are avoided.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Half-life of the weight of a failure: short compared to the seconds for which an unhealthy upstream usually stays
/// so, long compared to the time between two requests to it.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight from which an upstream is avoided while there are others.
const AVOID_WEIGHT: f64 = 1.5;

/// Upper bound on the sum of the weights. With it an upstream is used again at most about 5 s after its last failure.
const MAX_WEIGHT: f64 = 6.0;

/// The kinds of failure of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// It cannot be reached, or stopped sending.
    #[serde(rename = "Silent")]
    Unresponsive,
    /// It broke off, or sent an invalid response.
    #[serde(rename = "Broken")]
    Malformed,
    /// It had no capacity.
    #[serde(rename = "Full")]
    Overloaded,
    /// It responded with an internal error.
    #[serde(rename = "Own")]
    ServerError,
}

/// How an attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// With a complete response.
    Answered,
    /// With a failure.
    Failed(Failure),
}

impl Failure {
    fn weight(self) -> f64 {
        match self {
            Failure::Unresponsive => 3.0,
            Failure::Malformed => 1.0,
            Failure::Overloaded => 0.7,
            Failure::ServerError => 0.4,
        }
    }
}

/// The decaying sum of the weights of failures.
#[derive(Debug, Clone, Default)]
pub struct Suspicion {
    weight: f64,
    /// Weight of the failures in which it was not silent.
    failed: f64,
    at: Option<Instant>,
    /// When it was last unresponsive.
    silent: Option<Instant>,
}

impl Suspicion {
    /// Returns the weight at this time.
    pub fn weight(&self, now: Instant) -> f64 {
        self.weight * self.decay(now)
    }

    fn decay(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return 1.0 };
        let halves = now.saturating_duration_since(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        0.5_f64.powf(halves)
    }

    /// Adds a failure.
    pub fn record_failure(&mut self, failure: Failure, now: Instant) {
        self.decay_until(now);
        self.weight = (self.weight + failure.weight()).min(MAX_WEIGHT);
        if failure == Failure::Unresponsive {
            self.silent = Some(now);
        } else {
            self.failed = (self.failed + failure.weight()).min(MAX_WEIGHT);
        }
    }

    /// Halves the weight after a complete response.
    pub fn record_success(&mut self, now: Instant) {
        self.decay_until(now);
        self.weight *= 0.5;
        self.failed *= 0.5;
    }

    fn decay_until(&mut self, now: Instant) {
        let decay = self.decay(now);
        self.weight *= decay;
        self.failed *= decay;
        self.at = Some(now);
    }

    /// Returns whether other upstreams are preferred to this one.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.weight(now) >= AVOID_WEIGHT
    }

    /// Returns since when it is avoided for its silence alone, if it is: other failures would not suffice.
    pub fn silent_since(&self, now: Instant) -> Option<Instant> {
        let is_silence = self.is_avoided(now) && self.failed * self.decay(now) < AVOID_WEIGHT;
        self.silent.filter(|_| is_silence)
    }
}
