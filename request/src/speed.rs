//! Learns the speed of an engine: least squares with exponential forgetting on the time to the
//! first token, regularised by a prior while there are few samples.

use serde::Serialize;

/// The quantities on which the time to the first token depends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Work {
    /// Prompt tokens that are computed before the first token: those queued ahead and those of the
    /// prompt itself.
    pub tokens: f64,
    /// Token pairs of the prompt itself: the part that grows with the square of the length.
    pub pairs: f64,
    /// 1 if the engine serves long prompts at the same time, otherwise 0.
    pub long: f64,
}

impl Work {
    /// The work of a prompt with `uncached` tokens after `cached` ones, behind `queued` tokens of
    /// other prompts.
    pub fn new(queued: f64, uncached: f64, cached: f64, long: u32) -> Work {
        let pairs = uncached * (cached + uncached / 2.0);
        Work { tokens: queued + uncached, pairs, long: f64::from(long.min(1)) }
    }

    /// The factors, scaled so that their sums have a similar size.
    fn factors(self) -> Vector {
        [1.0, self.tokens / TOKENS_UNIT, self.pairs / PAIRS_UNIT, self.long]
    }
}

const FACTORS: usize = 4;
const TOKENS_UNIT: f64 = 1_000.0;
const PAIRS_UNIT: f64 = 1e9;

type Vector = [f64; FACTORS];

/// Weight of a sample relative to the next one.
const DECAY: f64 = 0.98;

/// The seconds per factor without samples: 2 ms, 20 µs per token, 0.05 ns per pair, nothing for
/// concurrent long prompts. Faster than real engines, so that an engine with few samples is tried.
const PRIOR: Vector = [0.002, 0.020, 0.050, 0.0];

/// The number of samples of one unit that the prior counts as.
const PRIOR_WEIGHT: f64 = 0.2;

/// The largest ratio of a sample to its prediction, so that one stall of an engine does not distort
/// the model.
const MAX_SAMPLE_RATIO: f64 = 20.0;

/// The model of one engine.
#[derive(Debug, Clone, Serialize)]
pub struct Model {
    weights: Vector,
    /// Decayed sums of the factors' products.
    #[serde(skip)]
    products: [Vector; FACTORS],
    /// Decayed sums of the factors times the seconds.
    #[serde(skip)]
    seconds: Vector,
    samples: u64,
}

impl Default for Model {
    fn default() -> Self {
        Model {
            weights: PRIOR,
            products: [[0.0; FACTORS]; FACTORS],
            seconds: [0.0; FACTORS],
            samples: 0,
        }
    }
}

impl Model {
    /// The predicted seconds to the first token.
    pub fn predict(&self, work: Work) -> f64 {
        dot(&self.weights, &work.factors())
    }

    /// Seconds per prompt token, without the part that grows with the square.
    pub fn seconds_per_token(&self) -> f64 {
        self.weights[1] / TOKENS_UNIT
    }

    /// The number of samples that the model has learnt from.
    pub fn samples(&self) -> u64 {
        self.samples
    }

    /// Halves the weight of all samples, so that an engine that was not used for a while, perhaps
    /// because it was slow, is tried again.
    pub fn decay(&mut self) {
        for row in &mut self.products {
            *row = row.map(|cell| cell / 2.0);
        }
        self.seconds = self.seconds.map(|cell| cell / 2.0);
        self.solve();
    }

    /// Adds the time to the first token of one request.
    pub fn learn(&mut self, work: Work, seconds: f64) {
        let x = work.factors();
        let seconds = seconds.min(self.predict(work).max(PRIOR[0]) * MAX_SAMPLE_RATIO);
        for i in 0..FACTORS {
            for j in 0..FACTORS {
                self.products[i][j] = self.products[i][j] * DECAY + x[i] * x[j];
            }
            self.seconds[i] = self.seconds[i] * DECAY + x[i] * seconds;
        }
        self.samples += 1;
        self.solve();
    }

    /// Solves for weights that are not negative: factors with a negative weight are excluded.
    fn solve(&mut self) {
        let mut used = [true; FACTORS];
        loop {
            let weights = self.solve_for(&used);
            match (0..FACTORS).find(|i| used[*i] && weights[*i] < 0.0) {
                Some(negative) => used[negative] = false,
                None => {
                    self.weights = weights;
                    return;
                }
            }
        }
    }

    /// Solves with the prior as a ridge term, which keeps the system well-conditioned; excluded
    /// factors get weight 0.
    fn solve_for(&self, used: &[bool; FACTORS]) -> Vector {
        let mut a = self.products;
        let mut b = self.seconds;
        for i in 0..FACTORS {
            a[i][i] += PRIOR_WEIGHT;
            b[i] += PRIOR_WEIGHT * PRIOR[i];
            if !used[i] {
                a[i] = [0.0; FACTORS];
                for row in &mut a {
                    row[i] = 0.0;
                }
                a[i][i] = 1.0;
                b[i] = 0.0;
            }
        }
        eliminate(a, b)
    }
}

/// Solves a positive definite system by elimination, which needs no pivoting.
fn eliminate(mut a: [Vector; FACTORS], mut b: Vector) -> Vector {
    for i in 0..FACTORS {
        for k in i + 1..FACTORS {
            let factor = a[k][i] / a[i][i];
            let above = a[i];
            for (cell, above) in a[k].iter_mut().zip(above).skip(i) {
                *cell -= factor * above;
            }
            b[k] -= factor * b[i];
        }
    }
    let mut x = [0.0; FACTORS];
    for i in (0..FACTORS).rev() {
        let known: f64 = (i + 1..FACTORS).map(|j| a[i][j] * x[j]).sum();
        x[i] = (b[i] - known) / a[i][i];
    }
    x
}

fn dot(a: &Vector, b: &Vector) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}
