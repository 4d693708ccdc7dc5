//! One VM's part of a limit, by organisation or kind: requests at a time, requests a second and
//! prompt tokens a second.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foldlock_base::clock::Clock;
use foldlock_base::size::Tokens;
use foldlock_connection::wire::{Demand, Quota};
use foldlock_version::policy::Policy;

use crate::quota;

/// A second's worth may be used at once.
const BURST_S: f64 = 1.0;

/// Over how long demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);

/// Fewer requests a second than this are no demand.
const MIN_DEMAND_PER_S: f32 = 0.01;

/// When to come back after a refusal for concurrency: there is no way to know when one ends.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Why a request is over a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Exceeded {
    /// The limit's name, as in the settings.
    pub limit: &'static str,
    /// When there is room again.
    pub retry_after: Duration,
}

/// The state of a limit at one VM.
pub struct Limit<C> {
    clock: C,
    state: Mutex<State>,
}

struct State {
    running: u32,
    requests: Bucket,
    tokens: Bucket,
    /// Requests at a time, at the highest of late; falls with time.
    peak_concurrency: f32,
    requests_per_s: f32,
    tokens_per_s: f32,
    demand_at: Instant,
    quota: Option<(Quota, Instant)>,
}

/// A token bucket. It may go below zero once, so that one large prompt fits any limit.
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

    /// How long until it is above zero; zero where it is.
    fn time_until(&self, rate: f64, need: f64) -> Duration {
        if self.left >= need {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(((need - self.left) / rate.max(1e-6)).min(3600.0))
    }
}

/// A request that counts against a limit until this is dropped.
pub struct Permit<C: Clock> {
    limit: Arc<Limit<C>>,
}

impl<C: Clock> Drop for Permit<C> {
    fn drop(&mut self) {
        self.limit.state.lock().unwrap().running -= 1;
    }
}

impl<C: Clock> Limit<C> {
    /// An unused limit.
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

    /// Takes a new quota from the limit's home.
    pub fn set_quota(&self, quota: Quota) {
        let now = self.clock.now();
        self.state.lock().unwrap().quota = Some((quota, now));
    }

    /// The demand, for the limit's home. None once there was none for a while.
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

    /// Lets a request in, or says which limit it is over.
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
