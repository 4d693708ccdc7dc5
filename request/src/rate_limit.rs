//! The rate limit that an upstream names in its answers, as VMs know it and tell each other.
//!
//! Answers overtake each other, and each VM gets its own. A limit that was learnt from an answer whose request was sent
//! after the known one was heard takes its place, by a higher version. Of two answers of which neither is known to be
//! the later one the stricter holds. So all VMs come to the same limit, in whatever order they hear.

use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::tag::Tag;

/// The lowest rate that limits nothing, requests a second: no upstream is sent as much.
const UNBOUNDED: f64 = 10_000.0;

/// How long a limit is told after it was heard of an upstream, or after a peer was seen to know less.
const TOLD: Duration = Duration::from_secs(3);

/// A rate limit, or that there is none any more.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Rises with each limit that is known to be later than the one before.
    pub version: u32,
    /// Requests a second from all VMs together; none where there is no limit.
    pub rate: Option<Rate>,
}

impl Limit {
    /// Whether this limit holds where the other was known.
    pub fn supersedes(self, other: Limit) -> bool {
        let rate = |limit: Limit| limit.rate.map_or(f64::INFINITY, Rate::as_f64);
        self.version > other.version || self.version == other.version && rate(self) < rate(other)
    }
}

/// The limit of an upstream, as VMs tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// The instance of the upstream.
    pub upstream: Tag,
    /// The limit.
    pub limit: Limit,
}

/// What a VM knows of the limit of one upstream instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Known {
    /// The limit.
    pub limit: Limit,
    /// When this VM learnt it.
    pub heard: Instant,
    /// Since when this VM knows of any limit without a break.
    pub since: Instant,
    /// The VM that it was told by, or this one.
    pub by: id::Vm,
    /// When it was last heard of the upstream itself, or had to be told again.
    fresh: Instant,
}

impl Known {
    fn new(limit: Limit, by: id::Vm, now: Instant) -> Known {
        Known { limit, heard: now, since: now, by, fresh: now }
    }

    /// Whether peers are told of it.
    pub fn is_told(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.fresh) < TOLD
    }

    fn replace(&mut self, limit: Limit, by: id::Vm, now: Instant) {
        let since = if self.limit.rate.is_some() { self.since } else { now };
        *self = Known { since, ..Known::new(limit, by, now) };
    }
}

/// Takes what the upstream said itself, in an answer to a request that was sent at that time. Returns whether it
/// changed what is known.
pub fn state(
    known: &mut Option<Known>,
    rate: Option<Rate>,
    sent: Instant,
    own: &id::Vm,
    now: Instant,
) -> bool {
    let rate = rate.filter(|rate| rate.as_f64() < UNBOUNDED);
    let Some(known) = known else {
        *known = rate.map(|_| Known::new(Limit { version: 1, rate }, own.clone(), now));
        return rate.is_some();
    };
    if known.limit.rate == rate {
        if rate.is_some() {
            known.fresh = now;
        }
        return false;
    }
    let is_later = sent >= known.heard;
    let version = known.limit.version + u32::from(is_later);
    let limit = Limit { version, rate };
    let is_news = limit.supersedes(known.limit);
    if is_news {
        known.replace(limit, own.clone(), now);
    }
    is_news
}

/// What became of a limit that a peer told of.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Heard {
    /// It is news.
    News,
    /// It is known.
    Same,
    /// The peer knows less.
    Behind,
}

/// Takes what a peer told.
pub fn hear(known: &mut Option<Known>, limit: Limit, from: &id::Vm, now: Instant) -> Heard {
    let Some(known) = known else {
        *known = Some(Known::new(limit, from.clone(), now));
        return Heard::News;
    };
    if known.limit == limit {
        return Heard::Same;
    }
    if limit.supersedes(known.limit) {
        known.replace(limit, from.clone(), now);
        return Heard::News;
    }
    known.fresh = now;
    Heard::Behind
}
