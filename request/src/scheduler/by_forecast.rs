//! Admission and placement by forecasts, for services with an engine model.
//!
//! Other services, and all services with another policy, queue as in [`super`].

use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_version::routes::{Engine, Service};

use super::admission::{decide, decide_new};
use super::forecast::{Kind, MAX_WAIT};
use super::order::{Basis, Reason};
use super::outlook::{Ahead, Arriving, Candidate, Outlook, Wait};
use super::record::{Forecast, Outcome, Record, Return};
use super::{Key, Promises, QueuedRequest, Reply, Scheduler};
use crate::caller::Caller;
use crate::cluster::Cluster;
use crate::placement::{self, Rejection, Requirements, requires_isolation};
use crate::promise;
use crate::tag::Tag;

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
        if redeemed {
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
        let Some(outlook) = self.outlooks.get_mut(&tag) else { return Ok(None) };
        let engines = outlook.engines(now, || speed(cluster, service, now));
        let candidate = outlook.candidate(engine, requirements, returned, now);
        let mut ahead = Ahead::default();
        let mut rank = 0;
        for queued in self.queue.iter().filter(|queued| queued.service == tag) {
            if let Some((prefill_ms, in_time)) =
                outlook.ahead_of(&candidate, engine, &queued.requirements, now)
            {
                ahead.add(prefill_ms, in_time);
                rank += 1;
            }
        }
        let shared = outlook.shared(engine, engines, now);
        let arriving = outlook.arriving(&candidate, now);
        let wait = outlook.wait(engine, &shared, &ahead, &arriving, &candidate, now);
        let forecast = forecast(outlook, &candidate, wait, now);
        if !returned && decide_new(&candidate.request, wait.wait).is_err() {
            let outcome = Outcome::RejectedNew;
            let record = record(key, &candidate, rank, Some(forecast), outcome, now);
            let promises = &mut self.promises;
            let (rejection, record) =
                overloaded(promises, service, requirements, &candidate, wait, record);
            self.log.add(record);
            return Err(rejection);
        }
        self.log.add(record(key, &candidate, rank, Some(forecast), Outcome::Queued, now));
        Ok(Some(forecast))
    }

    /// Updates the load by a placement that was granted.
    pub(super) fn on_granted(
        &mut self,
        tag: Tag,
        candidate: &Candidate,
        predicted_ms: f64,
        now: Instant,
    ) {
        self.outlooks.entry(tag).or_default().record_grant(candidate, predicted_ms, now);
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
        for (rank, waiting) in waiting.iter().enumerate() {
            self.queue[waiting.index].rank = rank;
        }
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
        let are_long_queued = waiting.iter().any(|waiting| !is_short(waiting));
        if let Some(outlook) = self.outlooks.get_mut(&tag) {
            outlook.end_round(are_short_queued, are_long_queued, now);
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
            let wait = outlook.wait(engine, &shared, &ahead, &arriving, candidate, now);
            // A caller that has returned is rejected only if even an immediate start would be too late.
            let earliest = if candidate.item.returned { Duration::ZERO } else { wait.earliest };
            if candidate.item.in_time || decide(&candidate.request, earliest).is_ok() {
                ahead.add(candidate.prefill_ms, candidate.item.in_time);
                continue;
            }
            let QueuedRequest { key, requirements, rank, .. } = &self.queue[*index];
            let decisive = Wait { wait: earliest, ..wait };
            let forecast = forecast(outlook, candidate, decisive, now);
            let outcome = Outcome::RejectedQueued;
            let record = record(key, candidate, *rank, Some(forecast), outcome, now);
            let promises = &mut self.promises;
            let (rejection, record) =
                overloaded(promises, service, requirements, candidate, wait, record);
            replies.push((key.clone(), Reply::Rejected(rejection)));
            self.log.add(record);
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

impl QueuedRequest {
    /// The record of its grant, if it was queued by a forecast.
    pub(super) fn granted(
        &self,
        candidate: &Candidate,
        basis: Basis,
        now: Instant,
    ) -> Option<Record> {
        let outcome = Outcome::Granted(basis);
        self.forecast?;
        Some(record(&self.key, candidate, self.rank, self.forecast, outcome, now))
    }

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

/// The rejection of a request that cannot be served within its time, with a promised time to return if there is one.
/// Adds the time to the record of the decision.
fn overloaded(
    promises: &mut Promises,
    service: &Service,
    requirements: &Requirements,
    candidate: &Candidate,
    forecast: Wait,
    mut record: Record,
) -> (Rejection, Record) {
    let remaining = candidate.remaining(requirements.caller.time_limit);
    // Whoever returns later than its last possible start is rejected again. Its patience begins anew with its return.
    let left_to_start = remaining.saturating_sub(candidate.request.service_time);
    // A third of this is accepted.
    let limited = remaining.min(left_to_start.saturating_mul(3));
    let capacity = promise::capacity(service, requirements);
    let promised = promises.promise(
        requirements.fingerprint,
        capacity,
        forecast.wait.saturating_sub(remaining) + limited,
        limited,
        forecast.returns_per_s,
        record.at,
    );
    // All times before a third of the remaining time are promised to others. That of a caller without a time limit has
    // no end.
    let after = promised.unwrap_or(forecast.wait.max((remaining / 3).min(MAX_WAIT)));
    record.returns = Some(Return { after, promised: promised.is_some() });
    let rejection = Rejection::Overloaded {
        after_ms: after.as_millis() as u64,
        wait_ms: forecast.wait.as_millis() as u64,
        promised: promised.is_some(),
    };
    (rejection, record)
}

/// The open engines of a service, weighted by speed.
pub(super) fn speed(cluster: &Cluster, service: &Service, now: Instant) -> f64 {
    cluster.open(&service.name).map(|upstream| 1.0 / upstream.slowdown(now)).sum()
}
