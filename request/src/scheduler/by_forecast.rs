//! Admission and placement by forecasts, for services with an engine model.
//!
//! Other services, and all services with another policy, queue as in [`super`].

use std::time::Instant;

use foldlock_version::routes::{Engine, Service, Table};

use super::admission::{decide, decide_new};
use super::forecast::{Error, Kind};
use super::order::Reason;
use super::outlook::{Candidate, Outlook, Wait};
use super::record::{Forecast, KeptChange, Outcome, Record, Return, Taken};
use super::{Key, QueuedRequest, Reply, Scheduler, find};
use crate::caller::Caller;
use crate::cluster::Cluster;
use crate::placement::{self, Placement, Rejection, Requirements, requires_isolation};
use crate::promise;
use crate::tag::Tag;

/// Maximum number of forecast errors that are kept until they are collected.
const MAX_ERRORS: usize = 1_024;

/// A queued request, and its place in the order of the queue.
struct Waiting {
    key: Key,
    /// Its index in the queue.
    index: usize,
    candidate: Candidate,
}

impl Scheduler {
    /// The engine model of a service whose requests are admitted by forecasts.
    pub(super) fn forecast_engine<'a>(&self, service: &'a Service) -> Option<&'a Engine> {
        service.engine.as_ref().filter(|_| self.policy.is_forecast())
    }

    /// Records the arrival of a request. Returns whether it goes before new ones: its caller has returned at a promised
    /// time, or is reading its response already.
    pub(super) fn on_arrival(
        &mut self,
        engine: &Engine,
        key: &Key,
        tag: Tag,
        requirements: &Requirements,
        now: Instant,
    ) -> bool {
        let Requirements { fingerprint, arrived, .. } = *requirements;
        let redeemed = self.promises.redeem(fingerprint, arrived, now).is_some();
        let returned = redeemed || requirements.caller.resumes;
        let outlook = self.outlooks.entry(tag).or_default();
        let candidate = outlook.candidate(engine, requirements, returned, now);
        outlook.record_arrival(&candidate, now);
        if returned {
            self.log.add(record(key, &candidate, 0, None, Outcome::Redeemed, now));
        }
        returned
    }

    /// Decides whether a new request is queued. A caller that has returned at a promised time always is.
    pub(super) fn admit(
        &mut self,
        cluster: &Cluster,
        service: &Service,
        key: &Key,
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
        let wait = outlook.wait(engine, engines, &queued, &candidate, now);
        let forecast = forecast(outlook, &candidate, wait, now);
        let rank = queued.iter().filter(|other| precedes(other, &candidate)).count();
        let outcome = if !returned && decide_new(&candidate.request, wait.wait).is_err() {
            Outcome::RejectedNew
        } else {
            Outcome::Queued
        };
        let record = record(key, &candidate, rank, Some(forecast), outcome, now);
        if outcome == Outcome::RejectedNew {
            return Err(self.overloaded(service, requirements, &candidate, wait, record));
        }
        self.log.add(record);
        Ok(Some(forecast))
    }

    /// Records a placement that was granted. Returns its record, if the request was queued by a forecast.
    pub(super) fn on_granted(
        &mut self,
        engine: &Engine,
        tag: Tag,
        queued: &QueuedRequest,
        placement: &Placement,
        now: Instant,
    ) -> Option<Record> {
        let outlook = self.outlooks.entry(tag).or_default();
        let candidate = outlook.candidate(engine, &queued.requirements, queued.returned, now);
        let basis = outlook.record_grant(&candidate, placement.predicted_ms, now);
        let Forecast { at, wait, .. } = queued.forecast?;
        if self.forecast_errors.len() < MAX_ERRORS {
            let kind = if candidate.is_long() { Kind::Long } else { Kind::Short };
            let actual = now.saturating_duration_since(at);
            self.forecast_errors.push(Error { kind, forecast: wait, actual });
        }
        let outcome = Outcome::Granted(basis);
        Some(record(&queued.key, &candidate, queued.rank, queued.forecast, outcome, now))
    }

    /// Removes and returns the decisions since the last call. There are none unless requests are admitted by forecasts.
    pub fn take_decisions(&mut self) -> Taken {
        self.log.take()
    }

    /// Decisions since the process started, by outcome and kind of request.
    pub fn decision_counts(&self) -> impl Iterator<Item = (Outcome, Kind, u64)> {
        self.log.counts()
    }

    /// The engines that are kept free for short prompts, as last recorded.
    pub fn kept_engines(&self) -> usize {
        self.log.kept_engines()
    }

    /// Records the engines that are kept free of long prompts, where their number has changed.
    pub(super) fn record_kept(&mut self, cluster: &Cluster, table: &Table, now: Instant) {
        if !self.policy.is_forecast() {
            return self.log.clear_kept();
        }
        for (tag, outlook) in &self.outlooks {
            if !self.log.is_kept_due(*tag, now) {
                continue;
            }
            let service = find(table, *tag);
            let Some((service, engine)) = service.and_then(|s| Some((s, s.engine.as_ref()?)))
            else {
                self.log.remove_kept(*tag);
                continue;
            };
            let (all, long) = (speed(cluster, service, now), self.demand(*tag));
            let change = KeptChange {
                service: service.name.clone(),
                previous: 0,
                engines: outlook.kept_for_short(engine, all, long, now),
                short: outlook.short_demand(engine, now),
                long,
                all,
            };
            self.log.set_kept(*tag, change, now);
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
        for (rank, waiting) in waiting.iter().enumerate() {
            self.queue[waiting.index].rank = rank;
        }
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
            let is_shared = requires_isolation(cluster, requirements.fingerprint, now) == Ok(false);
            match placement::place(cluster, service, requirements, now) {
                Ok(placement) => {
                    let reply = self.grant_queued(cluster, service, index, placement, now);
                    replies.push((key.clone(), reply));
                }
                // The next ones would find no room either, unless this one excludes some upstreams or
                // must run isolated: it may wait for an idle engine or for the end of its first copy.
                Err(_) if requirements.excluded.is_empty() && is_shared => break,
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
        for Waiting { key, candidate, .. } in waiting {
            let Some(outlook) = self.outlooks.get(&tag) else { return };
            let wait = outlook.wait(engine, engines, &kept, &candidate, now);
            let is_served = candidate.item.returned
                || candidate.item.in_time
                || decide(&candidate.request, wait.wait).is_ok();
            if is_served {
                kept.push(candidate);
                continue;
            }
            let Some(index) = self.queue.iter().position(|queued| queued.key == key) else {
                continue;
            };
            let forecast = forecast(outlook, &candidate, wait, now);
            let queued = self.queue.remove(index);
            let outcome = Outcome::RejectedQueued;
            let record = record(&key, &candidate, kept.len(), Some(forecast), outcome, now);
            let rejection =
                self.overloaded(service, &queued.requirements, &candidate, wait, record);
            replies.push((key, Reply::Rejected(rejection)));
        }
    }

    /// The rejection of a request that cannot be served within its time, with a promised time to return if there is
    /// one. Adds it to the record of the decision.
    fn overloaded(
        &mut self,
        service: &Service,
        requirements: &Requirements,
        candidate: &Candidate,
        forecast: Wait,
        mut record: Record,
    ) -> Rejection {
        let remaining = candidate.remaining(requirements.caller.time_limit);
        let capacity = promise::capacity(service, requirements);
        let promised = self.promises.promise(
            requirements.fingerprint,
            capacity,
            forecast.wait,
            remaining,
            forecast.returns_per_s,
            record.at,
        );
        // All times before a third of the remaining time are promised to others.
        let after = promised.unwrap_or(forecast.wait.max(remaining / 3));
        record.returns = Some(Return { after, promised: promised.is_some() });
        self.log.add(record);
        Rejection::Overloaded {
            after_ms: after.as_millis() as u64,
            wait_ms: forecast.wait.as_millis() as u64,
            promised: promised.is_some(),
        }
    }

    /// The queued requests of a service in the order in which they are placed.
    fn waiting(&self, tag: Tag, engine: &Engine, now: Instant) -> Vec<Waiting> {
        let Some(outlook) = self.outlooks.get(&tag) else { return Vec::new() };
        let queued = self.queue.iter().enumerate();
        let queued: Vec<(usize, &QueuedRequest)> =
            queued.filter(|(_, queued)| queued.service == tag).collect();
        let candidate = |(_, queued): &(usize, &QueuedRequest)| {
            outlook.candidate(engine, &queued.requirements, queued.returned, now)
        };
        let candidates: Vec<Candidate> = queued.iter().map(candidate).collect();
        let items: Vec<_> = candidates.iter().map(|candidate| candidate.item).collect();
        let order = outlook.discipline.order(&items, self.policy.fair_shares);
        let waiting = |index: usize| Waiting {
            key: queued[index].1.key.clone(),
            index: queued[index].0,
            candidate: candidates[index],
        };
        order.into_iter().map(waiting).collect()
    }
}

impl QueuedRequest {
    /// The reason of its grant, for its VM; none for a VM of the previous release, which cannot decode it. A VM of this
    /// release states the caller while requests are admitted by forecasts.
    pub(super) fn reason(&self, record: &Record) -> Option<Reason> {
        let (Outcome::Granted(basis), Some(forecast)) = (record.outcome, record.forecast) else {
            return None;
        };
        let is_understood = self.requirements.caller != Caller::default();
        is_understood.then_some(Reason { wait_ms: forecast.wait.as_millis() as u32, basis })
    }
}

fn forecast(outlook: &Outlook, candidate: &Candidate, wait: Wait, now: Instant) -> Forecast {
    let Wait { wait, rate, .. } = wait;
    Forecast { at: now, wait, rate, measured: outlook.measured(candidate, now) }
}

fn record(
    key: &Key,
    candidate: &Candidate,
    rank: usize,
    forecast: Option<Forecast>,
    outcome: Outcome,
    now: Instant,
) -> Record {
    Record {
        key: key.clone(),
        at: now,
        kind: if candidate.is_long() { Kind::Long } else { Kind::Short },
        rank,
        waited: candidate.request.waited,
        forecast,
        in_time: candidate.item.in_time,
        returns: None,
        outcome,
    }
}

/// Whether a queued request goes before another one, without shares and ageing.
fn precedes(queued: &Candidate, new: &Candidate) -> bool {
    let rank = |candidate: &Candidate| {
        let item = &candidate.item;
        (item.priority, !item.returned, !item.in_time, item.deadline, item.arrived)
    };
    rank(queued) <= rank(new)
}

/// The open engines of a service, weighted by speed.
pub(super) fn speed(cluster: &Cluster, service: &Service, now: Instant) -> f64 {
    cluster.open(&service.name).map(|upstream| 1.0 / upstream.slowdown(now)).sum()
}
