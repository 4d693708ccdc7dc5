//! Enforces this VM's share of the limits of an organisation or a kind of request: concurrent
//! requests, requests per second and prompt tokens per second.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foldlock_base::clock::Clock;
use foldlock_base::size::Tokens;
use foldlock_connection::wire::{Demand, Quota};
use foldlock_version::policy::Policy;

use crate::quota;

/// Burst size of the rate limits, in seconds of the rate.
const BURST_S: f64 = 1.0;

/// Time constant over which demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Below this rate of requests per second, a limit has no demand.
const MIN_DEMAND_PER_S: f32 = 0.01;

/// Retry-after time of a rejection for concurrency. It is fixed, since it is not possible to
/// predict when a running request ends.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The limit that rejects a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Exceeded {
    /// The limit's name, as in the settings.
    pub limit: &'static str,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

/// The state of an organisation's or kind's limits at this VM.
pub struct Limit<C> {
    clock: C,
    state: Mutex<State>,
}

struct State {
    running: u32,
    requests: Bucket,
    tokens: Bucket,
    /// Recent maximum of concurrent requests, which decays over time.
    peak_concurrency: f32,
    requests_per_s: f32,
    tokens_per_s: f32,
    demand_at: Instant,
    quota: Option<(Quota, Instant)>,
}

/// A token bucket. Its balance may go negative, so that a prompt larger than the burst is still
/// admitted; nothing more is admitted until the balance is positive again.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    left: f64,
    at: Instant,
}

impl Bucket {
    fn full(at: Instant) -> Bucket {
        Bucket { left: f64::INFINITY, at }
    }

    fn refill(&mut self, rate: f64, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.left = (self.left + rate * passed).min((rate * BURST_S).max(1.0));
        self.at = now;
    }

    /// Time until the balance reaches `need`, at most an hour; zero if it does already.
    fn time_until(&self, rate: f64, need: f64) -> Duration {
        if self.left >= need {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(((need - self.left) / rate.max(1e-6)).min(3600.0))
    }
}

/// Counts a request against the concurrency limit until dropped.
pub struct Permit<C: Clock> {
    limit: Arc<Limit<C>>,
}

impl<C: Clock> Drop for Permit<C> {
    fn drop(&mut self) {
        self.limit.state.lock().unwrap().running -= 1;
    }
}

impl<C: Clock> Limit<C> {
    /// Creates a limit without requests or quota.
    pub fn new(clock: C) -> Limit<C> {
        let now = clock.now();
        let state = State {
            running: 0,
            requests: Bucket::full(now),
            tokens: Bucket::full(now),
            peak_concurrency: 0.0,
            requests_per_s: 0.0,
            tokens_per_s: 0.0,
            demand_at: now,
            quota: None,
        };
        Limit { clock, state: Mutex::new(state) }
    }

    /// Sets the quota granted by the limit's home.
    pub fn set_quota(&self, quota: Quota) {
        let now = self.clock.now();
        self.state.lock().unwrap().quota = Some((quota, now));
    }

    /// The current demand, to be sent to the limit's home; `None` if there was none recently.
    pub fn demand(&self) -> Option<Demand> {
        let mut state = self.state.lock().unwrap();
        state.decay(self.clock.now());
        let demand = Demand {
            concurrency: state.running.max(state.peak_concurrency.round() as u32),
            requests_per_s: state.requests_per_s,
            prompt_tokens_per_s: state.tokens_per_s,
        };
        (demand.concurrency > 0 || demand.requests_per_s > MIN_DEMAND_PER_S).then_some(demand)
    }

    /// Admits a request, or returns the limit that it exceeds.
    pub fn admit(
        self: &Arc<Self>,
        policy: &Policy,
        vms: usize,
        prompt: Tokens,
    ) -> Result<Permit<C>, Exceeded> {
        let now = self.clock.now();
        let mut state = self.state.lock().unwrap();
        state.decay(now);
        state.record_demand(prompt);
        let quota = state.quota(policy, vms, now);
        state.check(policy, quota, prompt, now)?;
        state.running += 1;
        Ok(Permit { limit: self.clone() })
    }
}

impl State {
    fn decay(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.demand_at).as_secs_f32();
        let factor = (-passed / DEMAND_WINDOW.as_secs_f32()).exp();
        self.requests_per_s *= factor;
        self.tokens_per_s *= factor;
        self.peak_concurrency *= factor;
        self.demand_at = now;
    }

    fn record_demand(&mut self, prompt: Tokens) {
        let window = DEMAND_WINDOW.as_secs_f32();
        self.requests_per_s += 1.0 / window;
        self.tokens_per_s += prompt.0 as f32 / window;
        self.peak_concurrency = self.peak_concurrency.max((self.running + 1) as f32);
    }

    fn quota(&self, policy: &Policy, vms: usize, now: Instant) -> Quota {
        match self.quota {
            Some((quota, at)) if now < at + quota::LEASE => quota,
            _ => quota::equal_share(quota::Limits { concurrency: policy.concurrency }, vms),
        }
    }

    fn check(
        &mut self,
        policy: &Policy,
        quota: Quota,
        prompt: Tokens,
        now: Instant,
    ) -> Result<(), Exceeded> {
        if policy.concurrency > 0 && self.running >= quota.concurrency {
            return Err(Exceeded { limit: "concurrency", retry_after: CONCURRENCY_RETRY_AFTER });
        }
        let requests = f64::from(policy.requests_per_s) * f64::from(quota.requests);
        let tokens = policy.prompt_tokens_per_s as f64 * f64::from(quota.prompt_tokens);
        self.requests.refill(requests, now);
        self.tokens.refill(tokens, now);
        let limited = policy.requests_per_s > 0;
        let wait = self.requests.time_until(requests, 1.0);
        if limited && !wait.is_zero() {
            return Err(Exceeded { limit: "requests_per_s", retry_after: wait });
        }
        let limited_tokens = policy.prompt_tokens_per_s > 0;
        let wait = self.tokens.time_until(tokens, f64::MIN_POSITIVE);
        if limited_tokens && !wait.is_zero() {
            return Err(Exceeded { limit: "prompt_tokens_per_s", retry_after: wait });
        }
        if limited {
            self.requests.left -= 1.0;
        }
        if limited_tokens {
            self.tokens.left -= prompt.0 as f64;
        }
        Ok(())
    }
}
