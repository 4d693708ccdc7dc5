//! The rate limit that an upstream states in its responses, replicated to all VMs.
//!
//! Responses arrive out of order and at different VMs. If a request was sent after the current limit was learned, its
//! response supersedes that limit with a higher version. Between concurrent responses the lower rate wins. Merging is
//! commutative and idempotent, so all VMs converge.

use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::sliding_window::{Bound, SlidingWindow};
use crate::tag::Tag;

/// Rate from which a limit is treated as none, requests per second.
const UNBOUNDED: f64 = 10_000.0;

/// How long a limit is announced after an upstream stated it, or after a peer announced an older one.
const ANNOUNCE_WINDOW: Duration = Duration::from_secs(3);

/// Resolution of waits beyond those at the mean rate. Callers are told when to retry, and are spread from then on.
const WAIT_STEP: Duration = Duration::from_millis(250);

/// A rate limit, or the absence of one.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Higher for each limit that is causally later.
    pub version: u32,
    /// Requests per second over the whole fleet; none if unlimited.
    pub rate: Option<Rate>,
}

impl Limit {
    /// Returns whether this limit replaces the other one.
    pub fn supersedes(self, other: Limit) -> bool {
        let rate = |limit: Limit| limit.rate.map_or(f64::INFINITY, Rate::as_f64);
        self.version > other.version || self.version == other.version && rate(self) < rate(other)
    }
}

/// The limit of an upstream incarnation, as announced between VMs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The incarnation of the upstream.
    pub upstream: Tag,
    /// The limit.
    pub limit: Limit,
}

/// A VM's replica of the limit of one upstream incarnation.
#[derive(Debug, Clone, PartialEq)]
pub struct State {
    /// The limit.
    pub limit: Limit,
    /// When this VM adopted the limit.
    pub learned: Instant,
    /// Start of the current uninterrupted period with a limit.
    pub limited_since: Instant,
    /// The VM from which the limit was received; this one if it was in a response.
    pub source: id::Vm,
    /// When the upstream last stated the limit, or a peer last announced an older one.
    refreshed: Instant,
}

impl State {
    fn new(limit: Limit, source: id::Vm, now: Instant) -> State {
        State { limit, learned: now, limited_since: now, source, refreshed: now }
    }

    /// Returns whether the limit is included in heartbeats.
    pub fn is_announced(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.refreshed) < ANNOUNCE_WINDOW
    }

    fn replace(&mut self, limit: Limit, source: id::Vm, now: Instant) {
        let limited_since = if self.limit.rate.is_some() { self.limited_since } else { now };
        *self = State { limited_since, ..State::new(limit, source, now) };
    }
}

/// Applies the response of the upstream to a request sent at `sent`. Returns whether the limit has changed.
pub fn observe(
    current: &mut Option<State>,
    rate: Option<Rate>,
    sent: Instant,
    own: &id::Vm,
    now: Instant,
) -> bool {
    let rate = rate.filter(|rate| rate.as_f64() < UNBOUNDED);
    let Some(current) = current else {
        *current = rate.map(|_| State::new(Limit { version: 1, rate }, own.clone(), now));
        return rate.is_some();
    };
    if current.limit.rate == rate {
        if rate.is_some() {
            current.refreshed = now;
        }
        return false;
    }
    let is_later = sent >= current.learned;
    let version = current.limit.version + u32::from(is_later);
    let limit = Limit { version, rate };
    let has_changed = limit.supersedes(current.limit);
    if has_changed {
        current.replace(limit, own.clone(), now);
    }
    has_changed
}

/// The result of merging an announced limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Merge {
    /// The limit was adopted.
    Adopted,
    /// The announced limit is the current one.
    Same,
    /// The announced limit is older than the current one.
    Stale,
}

/// Merges a limit announced by a peer.
pub fn merge(current: &mut Option<State>, limit: Limit, from: &id::Vm, now: Instant) -> Merge {
    let Some(current) = current else {
        *current = Some(State::new(limit, from.clone(), now));
        return Merge::Adopted;
    };
    if current.limit == limit {
        return Merge::Same;
    }
    if limit.supersedes(current.limit) {
        current.replace(limit, from.clone(), now);
        return Merge::Adopted;
    }
    current.refreshed = now;
    Merge::Stale
}

/// When the upstreams of a service, all of them limited, accept further requests.
#[derive(Debug, Default)]
pub struct Capacity<'a> {
    upstreams: Vec<(&'a State, [Bound; 2], Option<&'a SlidingWindow>)>,
}

impl<'a> Capacity<'a> {
    /// Adds an upstream with its recent requests. Ignored if it has no limit.
    pub fn add(&mut self, state: &'a State, recent: Option<&'a SlidingWindow>) {
        let bounds = state.limit.rate.map(Bound::rate_limit);
        self.upstreams.extend(bounds.map(|bounds| (state, bounds, recent)));
    }

    /// The mean time between two requests.
    pub fn interval(&self) -> Duration {
        let per_s = |burst: &Bound| burst.count as f64 / burst.window.as_secs_f64();
        let all = self.upstreams.iter().map(|(_, [burst, _], _)| per_s(burst)).sum::<f64>();
        Duration::try_from_secs_f64(1.0 / all).unwrap_or(Duration::MAX)
    }

    /// The shortest time from the start of a burst at an upstream to the next one.
    pub fn burst_interval(&self) -> Duration {
        let windows = self.upstreams.iter().map(|(_, [burst, _], _)| burst.window);
        windows.min().unwrap_or_default()
    }

    /// The number of further requests that are allowed within this time.
    pub fn allowed_within(&self, time: Duration, now: Instant) -> usize {
        let none = SlidingWindow::default();
        let allowed = self.upstreams.iter().map(|(state, bounds, recent)| {
            // The burst starts out spent.
            let start = now.max(state.limited_since + bounds[0].window);
            let time = time.checked_sub(start - now);
            time.map_or(0, |time| recent.unwrap_or(&none).allowed_by_both(*bounds, time, start))
        });
        allowed.sum()
    }

    /// The time until a request behind `ahead` others is allowed, at most about `max`.
    pub fn wait(&self, ahead: usize, max: Duration, now: Instant) -> Duration {
        let mut wait = self.interval().saturating_mul(u32::try_from(ahead + 1).unwrap_or(u32::MAX));
        while wait < max && self.allowed_within(wait, now) <= ahead {
            wait += WAIT_STEP;
        }
        wait
    }
}
