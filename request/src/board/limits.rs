//! The rate limits of upstreams, and what was sent to those that have one.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use serde::{Deserialize, Serialize};

use super::{Board, Holder, Upstream};
use crate::pace::Bound;
use crate::rate_limit::{self, Heard, Known, Limit, Told};
use crate::tag::Tag;

/// How long a message to a limited upstream is told: some heartbeats of a large fleet, of which one arrives.
const SENT_TOLD: Duration = Duration::from_secs(1);

/// Messages to limited upstreams that are told at most.
const MOST_SENT: usize = 64;

/// Limits that are told at most.
const MOST_LIMITS: usize = 256;

/// A message to a limited upstream, as peers are told of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sent {
    /// The upstream.
    pub upstream: Tag,
    /// The number that its VM gave the message.
    pub number: u64,
    /// How long ago it was sent, milliseconds.
    pub age_ms: u32,
}

/// Messages of this VM to limited upstreams.
#[derive(Debug, Default)]
pub(super) struct OwnSent {
    sent: VecDeque<(Instant, Tag, u64)>,
}

impl OwnSent {
    fn add(&mut self, upstream: Tag, number: u64, now: Instant) {
        if self.sent.len() == MOST_SENT {
            self.sent.pop_front();
        }
        self.sent.push_back((now, upstream, number));
    }

    fn forget(&mut self, now: Instant) {
        let is_old =
            |(at, ..): &(Instant, Tag, u64)| now.saturating_duration_since(*at) > SENT_TOLD;
        while self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
    }
}

impl Board {
    /// This VM had an answer to what it sent at that time, by which an instance of an upstream has this limit or
    /// none. Names the upstream, if that is news.
    pub fn state_limit(
        &mut self,
        instance: Tag,
        rate: Option<Rate>,
        sent: Instant,
        own: &id::Vm,
        now: Instant,
    ) -> Option<id::Upstream> {
        let id = self.tags.get(&instance)?;
        let upstream = self.upstreams.get_mut(id)?;
        let was_limited = upstream.is_limited();
        let is_news = rate_limit::state(&mut upstream.rate_limit, rate, sent, own, now);
        let is_limited = upstream.is_limited();
        let id = id.clone();
        self.count_limited(&id, was_limited, is_limited);
        is_news.then_some(id)
    }

    /// Takes a limit that a peer told of. Says what became of it, and names the upstream; nothing where that is not
    /// known here.
    pub fn hear_limit(
        &mut self,
        told: Told,
        from: &id::Vm,
        now: Instant,
    ) -> Option<(Heard, id::Upstream)> {
        let id = self.tags.get(&told.upstream)?;
        let upstream = self.upstreams.get_mut(id)?;
        let was_limited = upstream.is_limited();
        let heard = rate_limit::hear(&mut upstream.rate_limit, told.limit, from, now);
        let is_limited = upstream.is_limited();
        let id = id.clone();
        self.count_limited(&id, was_limited, is_limited);
        Some((heard, id))
    }

    fn count_limited(&mut self, id: &id::Upstream, was_limited: bool, is_limited: bool) {
        if was_limited == is_limited {
            return;
        }
        self.flights.set_limited(id, is_limited);
        match is_limited {
            true => self.limited += 1,
            false => self.limited -= 1,
        }
    }

    /// The limits that peers are told of.
    pub fn told_limits(&self, now: Instant) -> Vec<Told> {
        let told = |u: &Upstream| {
            let known = u.rate_limit.as_ref().filter(|known| known.is_told(now))?;
            Some(Told { upstream: u.tag, limit: known.limit })
        };
        self.upstreams.values().filter_map(told).take(MOST_LIMITS).collect()
    }

    /// What is known of the limit of an upstream.
    pub fn limit_of(&self, id: &id::Upstream) -> Option<&Known> {
        self.upstreams.get(id)?.rate_limit.as_ref()
    }

    /// Whether a message may be sent that a scheduler granted by this knowledge of the limit. Else it knew less than
    /// this VM does.
    pub fn may_send(&self, id: &id::Upstream, granted: Option<Limit>) -> bool {
        let Some(known) = self.limit_of(id) else { return true };
        match granted {
            Some(granted) => !known.limit.supersedes(granted),
            None => known.limit.rate.is_none(),
        }
    }

    /// Records a message of this VM that no grant covers.
    pub fn note_ungranted(&mut self, id: &id::Upstream, now: Instant) {
        if !self.upstreams.get(id).is_some_and(Upstream::is_limited) {
            return;
        }
        let number = self.number();
        self.flights.note_sent(id, &Holder::Own, number, now);
        self.note_own_sent(id, number, now);
    }

    /// A message of this VM goes to an upstream. The VMs that schedule are told if it is limited: an answer may
    /// take less time than they take to hear of the attempt.
    pub(super) fn note_own_sent(&mut self, id: &id::Upstream, number: u64, now: Instant) {
        let Some(upstream) = self.upstreams.get(id).filter(|u| u.is_limited()) else { return };
        let tag = upstream.tag;
        self.own_sent.add(tag, number, now);
    }

    /// The messages of this VM to limited upstreams, as peers are told of them.
    pub fn told_sent(&mut self, now: Instant) -> Vec<Sent> {
        self.own_sent.forget(now);
        let told = |(at, upstream, number): &(Instant, Tag, u64)| Sent {
            upstream: *upstream,
            number: *number,
            age_ms: now.saturating_duration_since(*at).as_millis() as u32,
        };
        self.own_sent.sent.iter().map(told).collect()
    }

    /// Takes the messages that a peer told of.
    pub fn hear_sent(&mut self, vm: &id::Vm, told: &[Sent], now: Instant) {
        let holder = Holder::Peer(vm.clone());
        for sent in told {
            let Some(id) = self.tags.get(&sent.upstream) else { continue };
            let age = Duration::from_millis(u64::from(sent.age_ms));
            let at = now.checked_sub(age).unwrap_or(now);
            self.flights.note_sent(id, &holder, sent.number, at);
        }
    }

    /// Whether an upstream takes one more request now, by the limit that it names and by what it bears while it is
    /// cold.
    pub fn takes_more(&self, upstream: &Upstream, cold: Option<Bound>, now: Instant) -> bool {
        let pace = self.flights.pace(&upstream.listed.id);
        let allows = |bound: Bound| pace.is_none_or(|pace| pace.allows(bound, now));
        let cold = cold.filter(|_| upstream.is_cold(now));
        cold.is_none_or(allows) && named_bounds(upstream, now).all(allows)
    }

    /// The requests that an upstream was sent within this time, as far as is known here.
    pub fn sent_within(&self, id: &id::Upstream, window: Duration, now: Instant) -> usize {
        self.flights.pace(id).map_or(0, |pace| pace.sent_within(window, now))
    }

    /// The rates of a service's open upstreams together, if all of them are limited.
    pub fn limited_rate(&self, service: &str) -> Option<Rate> {
        let mut rate = None;
        for upstream in self.open(service) {
            let limit = upstream.rate_limit.as_ref()?.limit.rate?;
            rate = Rate::per_second(rate.map_or(0.0, Rate::as_f64) + limit.as_f64());
        }
        rate
    }

    /// The upstreams that name a limit.
    pub fn limited_count(&self) -> usize {
        self.limited
    }
}

/// The bounds of the limit that an upstream names. They begin spent: what was sent before is not known here.
fn named_bounds(upstream: &Upstream, now: Instant) -> impl Iterator<Item = Bound> {
    let known = upstream.rate_limit.as_ref();
    let named = known.and_then(|known| Some((known.since, Bound::named(known.limit.rate?))));
    let bounds = named.map(|(since, [burst, sustained])| {
        let is_new = now.saturating_duration_since(since) < burst.window;
        let count = if is_new { 0 } else { burst.count };
        [Bound { count, ..burst }, sustained]
    });
    bounds.into_iter().flatten()
}
