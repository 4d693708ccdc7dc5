//! Admission and placement by forecasts, for services with an engine model.
//!
//! Other services, and all services with another policy, queue as in [`super`].

use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_version::routes::{Engine, Service};

use super::admission::{decide, decide_new};
use super::forecast::{Error, Kind};
use super::outlook::{Ahead, Arriving, Candidate, Wait};
use super::{Key, Promises, QueuedRequest, Reply, Scheduler};
use crate::cluster::Cluster;
use crate::placement::{self, Rejection, Requirements, requires_isolation};
use crate::promise;
use crate::tag::Tag;

/// Maximum number of forecast errors that are kept until they are collected.
const MAX_ERRORS: usize = 1_024;

/// The forecast with which a request was queued.
#[derive(Debug, Clone, Copy)]
pub(super) struct Forecast {
    at: Instant,
    wait: Duration,
}

/// A queued request, by its index in the queue.
struct Waiting {
    index: usize,
    candidate: Candidate,
}

impl Scheduler {
    /// The engine model of a service whose requests are admitted by forecasts.
    pub(super) fn forecast_engine<'a>(&self, service: &'a Service) -> Option<&'a Engine> {
        service.engine.as_ref().filter(|_| self.policy.is_forecast())
    }

    /// Records the arrival of a request. Returns whether its caller has returned at a promised time.
    pub(super) fn on_arrival(
        &mut self,
        engine: &Engine,
        tag: Tag,
        requirements: &Requirements,
        now: Instant,
    ) -> bool {
        let Requirements { fingerprint, arrived, .. } = *requirements;
        let returned = self.promises.has_returned(fingerprint, arrived, now);
        let outlook = self.outlooks.entry(tag).or_default();
        let candidate = outlook.candidate(engine, requirements, returned, now);
        outlook.record_arrival(&candidate, now);
        returned
    }

    /// Decides whether a new request is queued. A caller that has returned at a promised time always is.
    pub(super) fn admit(
        &mut self,
        cluster: &Cluster,
        service: &Service,
        requirements: &Requirements,
        returned: bool,
        now: Instant,
    ) -> Result<Option<Forecast>, Rejection> {
        let Some(engine) = self.forecast_engine(service) else { return Ok(None) };
        let tag = Tag::of(&service.name);
        let Some(outlook) = self.outlooks.get_mut(&tag) else { return Ok(None) };
        let engines = outlook.engines(now, || speed(cluster, service, now));
        let candidate = outlook.candidate(engine, requirements, returned, now);
        let mut ahead = Ahead::default();
        for queued in self.queue.iter().filter(|queued| queued.service == tag) {
            if let Some((prefill_ms, in_time)) =
                outlook.ahead_of(&candidate, engine, &queued.requirements, now)
            {
                ahead.add(prefill_ms, in_time);
            }
        }
        let shared = outlook.shared(engine, engines, now);
        let arriving = outlook.arriving(&candidate, now);
        let forecast = outlook.wait(engine, &shared, &ahead, &arriving, &candidate, now);
        if !returned && decide_new(&candidate.request, forecast.wait).is_err() {
            let promises = &mut self.promises;
            return Err(overloaded(promises, service, requirements, &candidate, forecast, now));
        }
        Ok(Some(Forecast { at: now, wait: forecast.wait }))
    }

    /// Records a placement that was granted to a request.
    pub(super) fn on_granted(
        &mut self,
        tag: Tag,
        candidate: &Candidate,
        forecast: Option<Forecast>,
        predicted_ms: f64,
        now: Instant,
    ) {
        self.outlooks.entry(tag).or_default().record_grant(candidate, predicted_ms, now);
        let Some(Forecast { at, wait }) = forecast else { return };
        if self.forecast_errors.len() < MAX_ERRORS {
            let kind = if candidate.is_long() { Kind::Long } else { Kind::Short };
            let actual = now.saturating_duration_since(at);
            self.forecast_errors.push(Error { kind, forecast: wait, actual });
        }
    }

    /// Removes and returns the errors of the forecasts of requests that were granted since the last call.
    pub fn take_forecast_errors(&mut self) -> Vec<Error> {
        std::mem::take(&mut self.forecast_errors)
    }

    /// Grants placements to the queued requests of a service in order, and rejects those that can no longer be served.
    pub(super) fn place_in_order(
        &mut self,
        cluster: &mut Cluster,
        service: &Service,
        engine: &Engine,
        now: Instant,
        replies: &mut Vec<(Key, Reply)>,
    ) {
        let tag = Tag::of(&service.name);
        let mut waiting = self.waiting(tag, engine, now);
        let hopeless = self.reject_hopeless(cluster, service, engine, &waiting, now, replies);
        self.remove(hopeless, &mut waiting);
        let is_short = |waiting: &Waiting| !waiting.candidate.is_long();
        let first_short = waiting.iter().position(is_short).unwrap_or(0);
        let are_all_first = !waiting[first_short..].iter().any(|waiting| !is_short(waiting));
        if first_short > 0 {
            let mut before_short = vec![false; self.queue.len()];
            waiting[..first_short].iter().for_each(|waiting| before_short[waiting.index] = true);
            let may = |index: usize| before_short[index];
            let placed = self.place_long(cluster, service, tag, now, replies, may);
            self.remove(placed, &mut waiting);
        }
        let placed = self.place_short_in_order(cluster, service, &waiting, now, replies);
        self.remove(placed, &mut waiting);
        if first_short == 0 || !are_all_first {
            let placed = self.place_long(cluster, service, tag, now, replies, |_| true);
            self.remove(placed, &mut waiting);
        }
        let are_short_queued = waiting.iter().any(is_short);
        if let Some(outlook) = self.outlooks.get_mut(&tag) {
            outlook.end_round(are_short_queued, now);
        }
    }

    /// Grants placements to short requests in order, and returns their indices. They stay in the queue.
    fn place_short_in_order(
        &mut self,
        cluster: &mut Cluster,
        service: &Service,
        waiting: &[Waiting],
        now: Instant,
        replies: &mut Vec<(Key, Reply)>,
    ) -> Vec<usize> {
        let mut placed = Vec::new();
        // Requests that need as much memory as one that found no room would find none either.
        let mut max_memory = Tokens(u64::MAX);
        for Waiting { index, candidate } in waiting.iter().filter(|w| !w.candidate.is_long()) {
            let requirements = &self.queue[*index].requirements;
            if requirements.memory >= max_memory {
                continue;
            }
            match placement::place(cluster, service, requirements, now) {
                Ok(placement) => {
                    let reply = self.grant_queued(cluster, *index, candidate, placement, now);
                    replies.push((self.queue[*index].key.clone(), reply));
                    placed.push(*index);
                }
                // Others may find room: it excludes some upstreams, or waits for a copy of itself to end.
                Err(_)
                    if !requirements.excluded.is_empty()
                        || requires_isolation(cluster, requirements.fingerprint, now)
                            != Ok(false) => {}
                Err(Rejection::Full) => max_memory = requirements.memory,
                Err(_) => break,
            }
        }
        placed
    }

    /// Removes requests from the queue, and from those that wait.
    fn remove(&mut self, mut indices: Vec<usize>, waiting: &mut Vec<Waiting>) {
        indices.sort_unstable();
        waiting.retain_mut(|waiting| match indices.binary_search(&waiting.index) {
            Ok(_) => false,
            Err(before) => {
                waiting.index -= before;
                true
            }
        });
        self.remove_indices(&indices);
    }

    /// Rejects queued requests that cannot be served within their callers' time any more, and returns their indices.
    /// They stay in the queue.
    fn reject_hopeless(
        &mut self,
        cluster: &Cluster,
        service: &Service,
        engine: &Engine,
        waiting: &[Waiting],
        now: Instant,
        replies: &mut Vec<(Key, Reply)>,
    ) -> Vec<usize> {
        let Some(outlook) = self.outlooks.get_mut(&Tag::of(&service.name)) else {
            return Vec::new();
        };
        let engines = outlook.engines(now, || speed(cluster, service, now));
        let shared = outlook.shared(engine, engines, now);
        let arrivals = outlook.long_arrivals(now);
        let (mut long, short): (Vec<&Waiting>, Vec<&Waiting>) =
            waiting.iter().partition(|waiting| waiting.candidate.is_long());
        // Long prompts are forecast in the order in which they are expected to be read.
        let prefill_ms = |waiting: &Waiting| waiting.candidate.prefill_ms.unwrap_or_default();
        long.sort_by(|a, b| {
            let priority = |waiting: &Waiting| waiting.candidate.item.priority;
            priority(a).cmp(&priority(b)).then(prefill_ms(a).total_cmp(&prefill_ms(b)))
        });
        let mut hopeless = Vec::new();
        let mut ahead = Ahead::default();
        for Waiting { index, candidate } in short.into_iter().chain(long) {
            let arriving = candidate.prefill_ms.map_or_else(Arriving::default, |prefill_ms| {
                arrivals.before(candidate.item.priority, prefill_ms)
            });
            let forecast = outlook.wait(engine, &shared, &ahead, &arriving, candidate, now);
            // A caller that has returned is rejected only if even an immediate start would be too late.
            let wait = if candidate.item.returned { Duration::ZERO } else { forecast.wait };
            if candidate.item.in_time || decide(&candidate.request, wait).is_ok() {
                ahead.add(candidate.prefill_ms, candidate.item.in_time);
                continue;
            }
            let QueuedRequest { key, requirements, .. } = &self.queue[*index];
            let promises = &mut self.promises;
            let rejection = overloaded(promises, service, requirements, candidate, forecast, now);
            replies.push((key.clone(), Reply::Rejected(rejection)));
            hopeless.push(*index);
        }
        hopeless
    }

    /// The queued requests of a service in the order in which they are placed.
    fn waiting(&self, tag: Tag, engine: &Engine, now: Instant) -> Vec<Waiting> {
        let Some(outlook) = self.outlooks.get(&tag) else { return Vec::new() };
        let queued = self.queue.iter().enumerate().filter(|(_, queued)| queued.service == tag);
        let (indices, candidates): (Vec<usize>, Vec<Candidate>) = queued
            .map(|(index, QueuedRequest { requirements, returned, .. })| {
                (index, outlook.candidate(engine, requirements, *returned, now))
            })
            .unzip();
        let items: Vec<_> = candidates.iter().map(|candidate| candidate.item).collect();
        let order = outlook.discipline.order(&items, self.policy.fair_shares);
        let waiting =
            |place: usize| Waiting { index: indices[place], candidate: candidates[place] };
        order.into_iter().map(waiting).collect()
    }
}

/// The rejection of a request that cannot be served within its time, with a promised time to return if there is one.
fn overloaded(
    promises: &mut Promises,
    service: &Service,
    requirements: &Requirements,
    candidate: &Candidate,
    forecast: Wait,
    now: Instant,
) -> Rejection {
    let remaining = candidate.remaining(requirements.caller.time_limit);
    let capacity = promise::capacity(service, requirements);
    let promised = promises.promise(
        requirements.fingerprint,
        capacity,
        forecast.wait,
        remaining,
        forecast.returns_per_s,
        now,
    );
    Rejection::Overloaded {
        // All times before a third of the remaining time are promised to others.
        after_ms: promised.unwrap_or(forecast.wait.max(remaining / 3)).as_millis() as u64,
        wait_ms: forecast.wait.as_millis() as u64,
        promised: promised.is_some(),
    }
}

/// The open engines of a service, weighted by speed.
pub(super) fn speed(cluster: &Cluster, service: &Service, now: Instant) -> f64 {
    cluster.open(&service.name).map(|upstream| 1.0 / upstream.slowdown(now)).sum()
}
