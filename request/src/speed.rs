//! The speed of an engine, learnt from what it did: recursive least squares with forgetting on the
//! time to the first token.

use serde::Serialize;

/// What the time to the first token depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Work {
    /// Prompt tokens that are computed before the first token: those queued ahead and the own.
    pub tokens: f64,
    /// Token pairs of the own prompt: the part that grows with the square of the length.
    pub pairs: f64,
    /// Long prompts that share the engine.
    pub long: f64,
}

impl Work {
    /// The work of `uncached` tokens behind `cached` ones and `queued` of others.
    pub fn new(queued: f64, uncached: f64, cached: f64, long: u32) -> Work {
        let pairs = uncached * (cached + uncached / 2.0);
        Work { tokens: queued + uncached, pairs, long: f64::from(long.min(1)) }
    }

    /// The factors in units that keep the sums of similar size.
    fn factors(self) -> [f64; N] {
        [1.0, self.tokens / TOKENS_UNIT, self.pairs / PAIRS_UNIT, self.long]
    }
}

const N: usize = 4;
const TOKENS_UNIT: f64 = 1_000.0;
const PAIRS_UNIT: f64 = 1e9;

/// How much a sample counts after the next one.
const FORGETTING: f64 = 0.98;

/// The seconds of each factor before anything is learnt: 10 ms, 50 µs a token, 0.3 ns a pair.
const PRIOR: [f64; N] = [0.010, 0.050, 0.300, 0.020];

/// How unsure the prior is.
const VARIANCE: f64 = 1.0;

/// The bound on the variance, so that a long silence on one factor does not blow it up.
const MAX_VARIANCE: f64 = 100.0;

/// A sample may be this many times its prediction at most, so that one freeze does not undo the
/// model.
const CLIP: f64 = 10.0;

/// The learnt model.
#[derive(Debug, Clone, Serialize)]
pub struct Model {
    weights: [f64; N],
    #[serde(skip)]
    covariance: [[f64; N]; N],
    samples: u64,
}

impl Default for Model {
    fn default() -> Self {
        let mut covariance = [[0.0; N]; N];
        for (i, row) in covariance.iter_mut().enumerate() {
            row[i] = VARIANCE;
        }
        Model { weights: PRIOR, covariance, samples: 0 }
    }
}

impl Model {
    /// The predicted seconds to the first token.
    pub fn predict(&self, work: Work) -> f64 {
        dot(&self.weights, &work.factors()).max(0.0)
    }

    /// Seconds a prompt token, without the part that grows with the square.
    pub fn seconds_per_token(&self) -> f64 {
        self.weights[1] / TOKENS_UNIT
    }

    /// Samples learnt from.
    pub fn samples(&self) -> u64 {
        self.samples
    }

    /// Learns from one request.
    pub fn learn(&mut self, work: Work, seconds: f64) {
        let x = work.factors();
        let predicted = dot(&self.weights, &x);
        let seconds = seconds.min(predicted.max(PRIOR[0]) * CLIP);
        let px = self.covariance.map(|row| dot(&row, &x));
        let denominator = FORGETTING + dot(&x, &px);
        let gain = px.map(|v| v / denominator);
        let error = seconds - predicted;
        for (weight, gain) in self.weights.iter_mut().zip(gain) {
            *weight = (*weight + gain * error).max(0.0);
        }
        for (row, gain) in self.covariance.iter_mut().zip(gain) {
            for (cell, p) in row.iter_mut().zip(px) {
                let next = (*cell - gain * p) / FORGETTING;
                *cell = next.clamp(-MAX_VARIANCE, MAX_VARIANCE);
            }
        }
        self.samples += 1;
    }
}

fn dot(a: &[f64; N], b: &[f64; N]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}
