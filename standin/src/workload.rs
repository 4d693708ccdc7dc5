//! Workloads: seeded arrivals of requests by kind, with prompt lengths, shared prefixes and bursts.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::answer::TOKEN_LEN;
use crate::engine;

/// A workload, in the format of its file.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Its name.
    pub name: String,
    /// The kinds of request.
    pub kinds: Vec<Kind>,
    /// Periodic bursts of the request rate.
    #[serde(default)]
    pub burst: Option<Burst>,
}

/// A kind of request.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name, as in the settings.
    pub kind: String,
    /// Weight of this kind among all requests.
    pub share: f64,
    /// Minimum and maximum of the prompt tokens, distributed log-uniformly.
    pub tokens: (u64, u64),
    /// Minimum and maximum of the answer tokens.
    pub answer: (u64, u64),
    /// Length of the prefix that prompts share, in tokens.
    #[serde(default)]
    pub prefix_tokens: u64,
    /// Number of different shared prefixes.
    #[serde(default)]
    pub prefixes: u64,
    /// Request timeout at engine speed 1, in milliseconds.
    pub timeout_ms: u64,
}

/// Periodic bursts.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Period in seconds.
    pub every_s: f64,
    /// Duration of each burst in seconds.
    pub for_s: f64,
    /// Factor of the rate during a burst.
    pub factor: f64,
}

/// A request of the workload.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time from the start of the run.
    pub at: Duration,
    /// Index into the workload's kinds.
    pub kind: usize,
    /// Index of the organisation that sends it.
    pub organisation: usize,
    /// Prompt tokens.
    pub tokens: u64,
    /// Answer tokens.
    pub answer: u64,
    /// Index of the shared prefix, if any.
    pub prefix: Option<u64>,
    /// Seed of the part of the prompt that is not shared.
    pub seed: u64,
    /// The request timeout.
    pub timeout: Duration,
}

/// Parameters from which arrivals are generated.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Seed of the random draws.
    pub seed: u64,
    /// Requests per second outside of bursts.
    pub rate: f64,
    /// Duration of the run.
    pub length: Duration,
    /// Number of organisations that send requests.
    pub organisations: usize,
    /// Speed factor of the engines; timeouts are divided by it.
    pub speed: f64,
}

impl Workload {
    /// Parses a workload from JSON with comments.
    pub fn parse(text: &str) -> Result<Workload, String> {
        let value = jsonc_parser::parse_to_serde_value(text, &Default::default())
            .map_err(|e| e.to_string())?
            .ok_or("the file is empty")?;
        serde_json::from_value(value).map_err(|e| e.to_string())
    }

    /// The workload without the kinds whose prompts can have `tokens` tokens or more.
    pub fn with_prompts_below(&self, tokens: u64) -> Workload {
        let kinds = self.kinds.iter().filter(|k| k.tokens.1 < tokens).cloned().collect();
        Workload { kinds, ..self.clone() }
    }

    /// Share of requests of the kinds whose prompts are always shorter than `tokens` tokens.
    pub fn share_below(&self, tokens: u64) -> f64 {
        let total: f64 = self.kinds.iter().map(|k| k.share).sum();
        let below = self.kinds.iter().filter(|k| k.tokens.1 < tokens).map(|k| k.share);
        below.sum::<f64>() / total
    }

    /// Mean engine time of a request at speed 1 in seconds, estimated by sampling.
    pub fn mean_engine_seconds(&self, engine: &engine::Settings) -> f64 {
        const SAMPLES: usize = 4_000;
        let mut rng = StdRng::seed_from_u64(1);
        let sample = |rng: &mut StdRng| {
            let kind = self.sample_kind(rng);
            let tokens = log_uniform(rng, self.kinds[kind].tokens) as f64;
            let answer = self.kinds[kind].answer;
            let passes = tokens / engine.step_tokens as f64;
            let prefill = tokens * engine.token_ms
                + passes * engine.step_ms
                + tokens * tokens / 2.0 * engine.context_ms;
            let batch = 8.0;
            let answer = (answer.0 + answer.1) as f64 / 2.0;
            (prefill + answer * (engine.token_ms + engine.step_ms / batch)) / 1e3
        };
        (0..SAMPLES).map(|_| sample(&mut rng)).sum::<f64>() / SAMPLES as f64
    }

    fn sample_kind(&self, rng: &mut StdRng) -> usize {
        let indexes: Vec<usize> = (0..self.kinds.len()).collect();
        *indexes.choose_weighted(rng, |i| self.kinds[*i].share).expect("kinds have shares")
    }

    /// The open-loop arrivals: a Poisson process whose rate is higher during bursts.
    pub fn arrivals(&self, plan: Plan) -> Vec<Arrival> {
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let mut at = 0.0;
        let mut arrivals = Vec::new();
        loop {
            let rate = plan.rate * self.burst.map_or(1.0, |b| b.rate_factor(at));
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            if at >= plan.length.as_secs_f64() {
                return arrivals;
            }
            let kind = self.sample_kind(&mut rng);
            arrivals.push(self.kinds[kind].arrival(&mut rng, kind, at, plan));
        }
    }
}

impl Burst {
    fn rate_factor(&self, seconds: f64) -> f64 {
        if seconds % self.every_s < self.for_s { self.factor } else { 1.0 }
    }
}

impl Kind {
    fn arrival(&self, rng: &mut StdRng, kind: usize, at: f64, plan: Plan) -> Arrival {
        let tokens = log_uniform(rng, self.tokens);
        let timeout = self.timeout_ms as f64 / plan.speed;
        Arrival {
            at: Duration::from_secs_f64(at),
            kind,
            organisation: rng.random_range(0..plan.organisations),
            tokens,
            answer: rng.random_range(self.answer.0..=self.answer.1),
            prefix: (self.prefixes > 0).then(|| rng.random_range(0..self.prefixes)),
            seed: rng.random(),
            timeout: Duration::from_secs_f64(timeout / 1e3),
        }
    }
}

fn log_uniform(rng: &mut StdRng, (low, high): (u64, u64)) -> u64 {
    if low >= high {
        return low;
    }
    let (low, high) = ((low as f64).ln(), (high as f64).ln());
    rng.random_range(low..high).exp() as u64
}

impl Arrival {
    /// The prompt's text.
    pub fn prompt(&self, workload: &Workload) -> String {
        let kind = &workload.kinds[self.kind];
        let bytes = self.tokens as usize * TOKEN_LEN;
        let mut text = String::with_capacity(bytes);
        if let Some(prefix) = self.prefix {
            let shared = (kind.prefix_tokens as usize * TOKEN_LEN).min(bytes);
            let seed = prefix.wrapping_add((self.kind as u64) << 32);
            push_random_text(&mut StdRng::seed_from_u64(seed), &mut text, shared);
        }
        push_random_text(&mut StdRng::seed_from_u64(self.seed), &mut text, bytes);
        text
    }
}

/// Appends random words of one token each until the text has `bytes` bytes.
fn push_random_text(rng: &mut StdRng, text: &mut String, bytes: usize) {
    while text.len() < bytes {
        let word: u32 = rng.random();
        for shift in [0, 8, 16] {
            text.push(char::from(b'a' + ((word >> shift) % 26) as u8));
        }
        text.push(' ');
    }
    text.truncate(bytes);
}
