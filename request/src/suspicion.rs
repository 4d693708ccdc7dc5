//! How far an upstream is to be avoided because of what it did of late.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// The time in which the weight of a failure halves. Short against the seconds for which a sick
/// upstream usually stays so, long against the time between two requests to it.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// From this weight on an upstream is avoided while there are others.
const AVOID_WEIGHT: f64 = 1.5;

/// The most weight that failures add up to: an upstream is tried again about 5 s after its last
/// failure.
const MAX_WEIGHT: f64 = 6.0;

/// How bad a failure was.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// It cannot be reached, or fell silent.
    #[serde(rename = "Silent")]
    Unresponsive,
    /// It broke off or sent what is no answer.
    #[serde(rename = "Broken")]
    Malformed,
    /// It had no room.
    #[serde(rename = "Full")]
    Overloaded,
    /// It answered with a failure of its own.
    #[serde(rename = "Own")]
    ServerError,
}

/// How an attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// With a whole answer.
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

/// Failures with a weight that fades.
#[derive(Debug, Clone, Default)]
pub struct Suspicion {
    weight: f64,
    at: Option<Instant>,
}

impl Suspicion {
    /// The weight now.
    pub fn weight(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let halves = now.saturating_duration_since(at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.weight * 0.5_f64.powf(halves)
    }

    /// Notes a failure.
    pub fn record_failure(&mut self, failure: Failure, now: Instant) {
        self.weight = (self.weight(now) + failure.weight()).min(MAX_WEIGHT);
        self.at = Some(now);
    }

    /// Notes a whole answer.
    pub fn record_success(&mut self, now: Instant) {
        self.weight = self.weight(now) * 0.5;
        self.at = Some(now);
    }

    /// Whether others are to be preferred.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.weight(now) >= AVOID_WEIGHT
    }
}
