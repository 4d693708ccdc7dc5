//! Room for short prompts: how many engines to keep free of long prompts.
//!
//! Answers load patterns A and B (`docs/design/overload.md`): where short and long prompts together exceed the
//! capacity, parts of long prompts are read on the engines of short ones, and most of these are late. An engine that
//! is reading a long part is lost to short prompts for up to two seconds, so engines have to be kept before short
//! prompts are late. See `docs/design/room-for-short.md`.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_version::routes::Engine;

use super::forecast;

/// Length of one count of arrivals. Shorter ones would only take more memory.
const BUCKET: Duration = Duration::from_millis(100);

/// Time over which arrivals are counted for the engines that are kept at the moment: long enough to count tens of
/// prompts, and shorter than the seconds in which the mix of prompts changes.
pub const CURRENT: Duration = Duration::from_secs(1);

/// Time over which the mean demand is measured. Bursts last for seconds, so after the next few seconds the mean over a
/// longer time is a better forecast than the demand of the last second.
pub const MEAN_WINDOW: Duration = Duration::from_secs(30);

/// Share of the engines that are never kept from long prompts. Long prompts with the same priority would otherwise
/// wait for the end of any burst of short ones.
pub const MIN_LONG_SHARE: f64 = 1.0 / 8.0;

/// Arrivals within `BUCKET` of `start`.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: Instant,
    prompts: u32,
    tokens: u64,
}

/// The short prompts of a service that arrived within the mean window.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    buckets: VecDeque<Bucket>,
}

impl Demand {
    /// Records a short prompt.
    pub fn record(&mut self, prompt: Tokens, now: Instant) {
        let is_old = |bucket: &Bucket| age(bucket.start, now) > MEAN_WINDOW;
        while self.buckets.front().is_some_and(is_old) {
            self.buckets.pop_front();
        }
        match self.buckets.back_mut() {
            Some(last) if age(last.start, now) < BUCKET => {
                last.prompts += 1;
                last.tokens = last.tokens.saturating_add(prompt.0);
            }
            _ => self.buckets.push_back(Bucket { start: now, prompts: 1, tokens: prompt.0 }),
        }
    }

    /// The engines that short prompts occupy if they arrive as they did within the `window`, at the engines' stated
    /// speed.
    pub fn engines(&self, engine: &Engine, window: Duration, now: Instant) -> f64 {
        let (prompts, tokens) = self.recent(window, now);
        if prompts == 0 {
            return 0.0;
        }
        let mean = Tokens(tokens / u64::from(prompts));
        let per_engine = forecast::short_model_rate(engine, f64::from(engine.slots), mean);
        f64::from(prompts) / window.as_secs_f64() / per_engine
    }

    /// The mean length of the short prompts within the `window`; none without prompts.
    pub fn mean_prompt(&self, window: Duration, now: Instant) -> Option<Tokens> {
        let (prompts, tokens) = self.recent(window, now);
        tokens.checked_div(u64::from(prompts)).map(Tokens)
    }

    /// The prompts within the `window`, and their tokens.
    fn recent(&self, window: Duration, now: Instant) -> (u32, u64) {
        let recent =
            self.buckets.iter().rev().take_while(|bucket| age(bucket.start, now) <= window);
        recent.fold((0, 0), |(prompts, tokens), bucket| {
            (prompts + bucket.prompts, tokens.saturating_add(bucket.tokens))
        })
    }
}

/// The engines to keep free of long prompts. `short` and `long` are the engines that these kinds of prompts need, of
/// `all`. None are kept while both fit.
pub fn kept(short: f64, long: f64, all: f64) -> usize {
    if short + long <= all {
        return 0;
    }
    short.ceil().min(all * (1.0 - MIN_LONG_SHARE)).max(0.0) as usize
}

/// The engines that are left for long prompts.
pub fn left_for_long(short: f64, all: f64) -> f64 {
    (all - short).max(all * MIN_LONG_SHARE)
}

fn age(at: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(at)
}
