//! Admission and placement by forecasts, for services with an engine model.
//!
//! Other services, and all services with another policy, queue as in [`super`].

use std::time::{Duration, Instant};

use foldlock_version::routes::{Engine, Service};

use super::admission::{decide, decide_new};
use super::forecast::{Error, Kind};
use super::outlook::{Candidate, Wait};
use super::{Key, QueuedRequest, Reply, Scheduler};
use crate::cluster::Cluster;
use crate::placement::{self, Placement, Rejection, Requirements};
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

/// A queued request, and its place in the order of the queue.
struct Waiting {
    key: Key,
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
        let waiting = self.waiting(tag, engine, now);
        let queued: Vec<Candidate> = waiting.iter().map(|waiting| waiting.candidate).collect();
        let Some(outlook) = self.outlooks.get(&tag) else { return Ok(None) };
        let candidate = outlook.candidate(engine, requirements, returned, now);
        let engines = speed(cluster, service, now);
        let forecast = outlook.wait(engine, engines, &queued, &candidate, now);
        if !returned && decide_new(&candidate.request, forecast.wait).is_err() {
            return Err(self.overloaded(service, requirements, &candidate, forecast, now));
        }
        Ok(Some(Forecast { at: now, wait: forecast.wait }))
    }

    /// Records a placement that was granted.
    pub(super) fn on_granted(
        &mut self,
        engine: &Engine,
        tag: Tag,
        queued: &QueuedRequest,
        placement: &Placement,
        now: Instant,
    ) {
        let outlook = self.outlooks.entry(tag).or_default();
        let candidate = outlook.candidate(engine, &queued.requirements, queued.returned, now);
        outlook.record_grant(&candidate, placement.predicted_ms, now);
        let Some(Forecast { at, wait }) = queued.forecast else { return };
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
        self.reject_hopeless(cluster, service, engine, now, replies);
        let waiting = self.waiting(tag, engine, now);
        let is_short = |waiting: &Waiting| !waiting.candidate.is_long();
        let first_short = waiting.iter().position(is_short).unwrap_or(0);
        let before_short: Vec<&Key> = waiting[..first_short].iter().map(|w| &w.key).collect();
        if !before_short.is_empty() {
            let of = |queued: &QueuedRequest| before_short.contains(&&queued.key);
            self.place_long(cluster, service, tag, now, replies, of);
        }
        for Waiting { key, .. } in waiting.iter().filter(|waiting| is_short(waiting)) {
            let Some(index) = self.queue.iter().position(|queued| queued.key == *key) else {
                continue;
            };
            let requirements = &self.queue[index].requirements;
            match placement::place(cluster, service, requirements, now) {
                Ok(placement) => {
                    let reply = self.grant_queued(cluster, service, index, placement, now);
                    replies.push((key.clone(), reply));
                }
                // The next ones would find no room either, unless this one excludes some upstreams.
                Err(_) if requirements.excluded.is_empty() => break,
                Err(_) => {}
            }
        }
        self.place_long(cluster, service, tag, now, replies, |_| true);
        let are_short_queued = self.queue.iter().any(|q| q.service == tag && !q.is_long(service));
        if let Some(outlook) = self.outlooks.get_mut(&tag) {
            outlook.end_round(are_short_queued, now);
        }
    }

    /// Rejects queued requests that cannot be served within their callers' time any more.
    fn reject_hopeless(
        &mut self,
        cluster: &Cluster,
        service: &Service,
        engine: &Engine,
        now: Instant,
        replies: &mut Vec<(Key, Reply)>,
    ) {
        let tag = Tag::of(&service.name);
        let engines = speed(cluster, service, now);
        let waiting = self.waiting(tag, engine, now);
        let mut kept: Vec<Candidate> = Vec::with_capacity(waiting.len());
        for Waiting { key, candidate } in waiting {
            let Some(outlook) = self.outlooks.get(&tag) else { return };
            let forecast = outlook.wait(engine, engines, &kept, &candidate, now);
            let is_served = candidate.item.returned
                || candidate.item.in_time
                || decide(&candidate.request, forecast.wait).is_ok();
            if is_served {
                kept.push(candidate);
                continue;
            }
            let Some(index) = self.queue.iter().position(|queued| queued.key == key) else {
                continue;
            };
            let queued = self.queue.remove(index);
            let rejection =
                self.overloaded(service, &queued.requirements, &candidate, forecast, now);
            replies.push((key, Reply::Rejected(rejection)));
        }
    }

    /// The rejection of a request that cannot be served within its time, with a promised time to return if there is
    /// one.
    fn overloaded(
        &mut self,
        service: &Service,
        requirements: &Requirements,
        candidate: &Candidate,
        forecast: Wait,
        now: Instant,
    ) -> Rejection {
        let remaining = candidate.remaining(requirements.caller.time_limit);
        let capacity = promise::capacity(service, requirements);
        let promised = self.promises.promise(
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

    /// The queued requests of a service in the order in which they are placed.
    fn waiting(&self, tag: Tag, engine: &Engine, now: Instant) -> Vec<Waiting> {
        let Some(outlook) = self.outlooks.get(&tag) else { return Vec::new() };
        let queued: Vec<&QueuedRequest> =
            self.queue.iter().filter(|queued| queued.service == tag).collect();
        let candidate = |queued: &&QueuedRequest| {
            outlook.candidate(engine, &queued.requirements, queued.returned, now)
        };
        let candidates: Vec<Candidate> = queued.iter().map(candidate).collect();
        let items: Vec<_> = candidates.iter().map(|candidate| candidate.item).collect();
        let order = outlook.discipline.order(&items, self.policy.fair_shares);
        let waiting =
            |index: usize| Waiting { key: queued[index].key.clone(), candidate: candidates[index] };
        order.into_iter().map(waiting).collect()
    }
}

/// The open engines of a service, weighted by speed.
pub(super) fn speed(cluster: &Cluster, service: &Service, now: Instant) -> f64 {
    cluster.open(&service.name).map(|upstream| 1.0 / upstream.slowdown(now)).sum()
}
