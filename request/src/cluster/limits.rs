//! Rate limits of upstreams, and the requests that count against them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use serde::{Deserialize, Serialize};

use super::{Cluster, Holder, Upstream};
use crate::rate_limit::{self, Capacity, Entry, Limit, Merge, State};
use crate::sliding_window::Bound;
use crate::tag::Tag;

/// How long a dispatch is included in heartbeats: several of them, since some are lost.
const ANNOUNCE_WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of dispatches in a heartbeat.
const MAX_DISPATCHES: usize = 64;

/// Maximum number of limits in a heartbeat.
const MAX_LIMITS: usize = 256;

/// A message sent to a rate-limited upstream, as announced to schedulers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The upstream.
    pub upstream: Tag,
    /// Number of the message, unique within the sender's process.
    pub number: u64,
    /// Age, milliseconds.
    pub age_ms: u32,
}

/// Recent messages of this VM to rate-limited upstreams.
#[derive(Debug, Default)]
pub(super) struct OwnDispatches {
    sent: VecDeque<(Instant, Tag, u64)>,
}

impl OwnDispatches {
    fn add(&mut self, upstream: Tag, number: u64, now: Instant) {
        if self.sent.len() == MAX_DISPATCHES {
            self.sent.pop_front();
        }
        self.sent.push_back((now, upstream, number));
    }

    fn expire(&mut self, now: Instant) {
        let is_old =
            |(at, ..): &(Instant, Tag, u64)| now.saturating_duration_since(*at) > ANNOUNCE_WINDOW;
        while self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
    }
}

impl Cluster {
    /// Applies the limit stated in a response to a request that this VM sent at `sent`. Returns the upstream if its
    /// limit has changed.
    pub fn observe_limit(
        &mut self,
        incarnation: Tag,
        rate: Option<Rate>,
        sent: Instant,
        own: &id::Vm,
        now: Instant,
    ) -> Option<id::Upstream> {
        let id = self.tags.get(&incarnation)?;
        let upstream = self.upstreams.get_mut(id)?;
        let was_limited = upstream.is_limited();
        let has_changed = rate_limit::observe(&mut upstream.rate_limit, rate, sent, own, now);
        let is_limited = upstream.is_limited();
        let id = id.clone();
        self.count_limited(&id, was_limited, is_limited);
        has_changed.then_some(id)
    }

    /// Merges a limit announced by a peer. Returns none for an unknown upstream.
    pub fn merge_limit(
        &mut self,
        announced: Entry,
        from: &id::Vm,
        now: Instant,
    ) -> Option<(Merge, id::Upstream)> {
        let id = self.tags.get(&announced.upstream)?;
        let upstream = self.upstreams.get_mut(id)?;
        let was_limited = upstream.is_limited();
        let merge = rate_limit::merge(&mut upstream.rate_limit, announced.limit, from, now);
        let is_limited = upstream.is_limited();
        let id = id.clone();
        self.count_limited(&id, was_limited, is_limited);
        Some((merge, id))
    }

    fn count_limited(&mut self, id: &id::Upstream, was_limited: bool, is_limited: bool) {
        if was_limited == is_limited {
            return;
        }
        self.flights.set_limited(id, is_limited);
        match is_limited {
            true => self.limited_count += 1,
            false => self.limited_count -= 1,
        }
    }

    /// Limits to include in heartbeats.
    pub fn announced_limits(&self, now: Instant) -> Vec<Entry> {
        let announced = |u: &Upstream| {
            let state = u.rate_limit.as_ref().filter(|state| state.is_announced(now))?;
            Some(Entry { upstream: u.tag, limit: state.limit })
        };
        self.upstreams.values().filter_map(announced).take(MAX_LIMITS).collect()
    }

    /// The limit of an upstream, if it ever stated one.
    pub fn limit_of(&self, id: &id::Upstream) -> Option<&State> {
        self.upstreams.get(id)?.rate_limit.as_ref()
    }

    /// Whether a placement that the scheduler granted under this limit may be used: not if this VM has a later limit.
    pub fn may_send(&self, id: &id::Upstream, granted: Option<Limit>) -> bool {
        let Some(state) = self.limit_of(id) else { return true };
        match granted {
            Some(granted) => !state.limit.supersedes(granted),
            None => state.limit.rate.is_none(),
        }
    }

    /// Records a message that was sent to an upstream without a grant, such as a reservation order.
    pub fn record_unscheduled(&mut self, id: &id::Upstream, now: Instant) {
        if !self.upstreams.get(id).is_some_and(Upstream::is_limited) {
            return;
        }
        let number = self.next_number();
        self.flights.record_dispatch(id, &Holder::Own, number, now);
        self.record_own_dispatch(id, number, now);
    }

    /// Records a message for announcement to schedulers. Flights alone miss requests that end between two heartbeats.
    pub(super) fn record_own_dispatch(&mut self, id: &id::Upstream, number: u64, now: Instant) {
        let Some(upstream) = self.upstreams.get(id).filter(|u| u.is_limited()) else { return };
        let tag = upstream.tag;
        self.own_dispatches.add(tag, number, now);
    }

    /// Dispatches to include in heartbeats.
    pub fn announced_dispatches(&mut self, now: Instant) -> Vec<Dispatch> {
        self.own_dispatches.expire(now);
        let announcement = |(at, upstream, number): &(Instant, Tag, u64)| Dispatch {
            upstream: *upstream,
            number: *number,
            age_ms: now.saturating_duration_since(*at).as_millis() as u32,
        };
        self.own_dispatches.sent.iter().map(announcement).collect()
    }

    /// Counts the dispatches that a peer has announced.
    pub fn merge_dispatches(&mut self, vm: &id::Vm, announced: &[Dispatch], now: Instant) {
        let holder = Holder::Peer(vm.clone());
        for sent in announced {
            let Some(id) = self.tags.get(&sent.upstream) else { continue };
            let age = Duration::from_millis(u64::from(sent.age_ms));
            let at = now.checked_sub(age).unwrap_or(now);
            self.flights.record_dispatch(id, &holder, sent.number, at);
        }
    }

    /// Whether both the rate limit and the bound for cold upstreams allow one more request.
    pub fn allows_request(&self, upstream: &Upstream, cold: Option<Bound>, now: Instant) -> bool {
        let dispatches = self.flights.dispatches(&upstream.listed.id);
        let allows =
            |bound: Bound| dispatches.is_none_or(|dispatches| dispatches.allows(bound, now));
        let cold = cold.filter(|_| upstream.is_cold(now));
        cold.is_none_or(allows) && stated_bounds(upstream, now).all(allows)
    }

    /// Requests sent to an upstream within a window, as far as recorded here.
    pub fn sent_within(&self, id: &id::Upstream, window: Duration, now: Instant) -> usize {
        self.flights.dispatches(id).map_or(0, |dispatches| dispatches.count_within(window, now))
    }

    /// Sum of the rates of a service's open upstreams; none if one of them is unlimited.
    pub fn limited_rate(&self, service: &str) -> Option<Rate> {
        let mut rate = None;
        for upstream in self.open(service) {
            let limit = upstream.rate_limit.as_ref()?.limit.rate?;
            rate = Rate::per_second(rate.map_or(0.0, Rate::as_f64) + limit.as_f64());
        }
        rate
    }

    /// The capacity of a service's open upstreams; none if one of them is unlimited.
    pub fn limited_capacity<'a>(&'a self, service: &'a str) -> Option<Capacity<'a>> {
        self.limited_rate(service)?;
        let mut capacity = Capacity::default();
        for upstream in self.open(service) {
            let state = upstream.rate_limit.as_ref()?;
            capacity.add(state, self.flights.dispatches(&upstream.listed.id));
        }
        Some(capacity)
    }

    /// Number of upstreams with a rate limit.
    pub fn limited_count(&self) -> usize {
        self.limited_count
    }
}

/// Bounds of a stated rate. The burst starts out spent, since earlier requests may not have been counted here.
fn stated_bounds(upstream: &Upstream, now: Instant) -> impl Iterator<Item = Bound> {
    let state = upstream.rate_limit.as_ref();
    let stated =
        state.and_then(|state| Some((state.limited_since, Bound::rate_limit(state.limit.rate?))));
    let bounds = stated.map(|(since, [burst, sustained])| {
        let is_new = now.saturating_duration_since(since) < burst.window;
        let count = if is_new { 0 } else { burst.count };
        [Bound { count, ..burst }, sustained]
    });
    bounds.into_iter().flatten()
}
