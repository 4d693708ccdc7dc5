//! Grants of placements: those to queued requests without a forecast, to long prompts, and the record of each in the
//! cluster state.

use std::time::Instant;

use foldlock_version::routes::{Engine, Service};

use super::queue::QueuedRequest;
use super::{Key, Reply, Scheduler, by_forecast, outlook};
use crate::budget::Charge;
use crate::caller::Priority;
use crate::cluster::Cluster;
use crate::placement::{self, DEMAND_WINDOW, Kept, Placement, Rejection, requires_isolation};
use crate::tag::Tag;

/// A request that gets a placement, with its charge to the retry budget.
pub(super) struct ChargedRequest {
    pub(super) key: Key,
    pub(super) service: Tag,
    pub(super) charge: Charge,
}

#[derive(Debug)]
pub(super) struct Grant {
    pub(super) placement: Placement,
    pub(super) number: u64,
    pub(super) at: Instant,
}

impl Scheduler {
    /// Places short requests, earliest deadline first.
    pub(super) fn place_short(
        &mut self,
        cluster: &mut Cluster,
        service: &Service,
        tag: Tag,
        now: Instant,
        replies: &mut Vec<(Key, Reply)>,
    ) {
        for key in self.keys_by_deadline(tag, |queued| !queued.is_long(service)) {
            let Some(queued) = self.queue.iter().find(|queued| queued.key == key) else {
                continue;
            };
            if let Ok(placement) = placement::place(cluster, service, &queued.requirements, now) {
                let charged = queued.charged();
                self.queue.retain(|queued| queued.key != key);
                let reply = self.grant(cluster, charged, placement, now);
                replies.push((key, reply));
            }
        }
    }

    /// Places long prompts in the order of the long queue, those that `may` be placed now by their indices. Returns the
    /// indices of those that were granted a placement or rejected. They stay in the queue.
    pub(super) fn place_long(
        &mut self,
        cluster: &mut Cluster,
        service: &Service,
        tag: Tag,
        now: Instant,
        replies: &mut Vec<(Key, Reply)>,
        may: impl Fn(usize) -> bool,
    ) -> Vec<usize> {
        let Some(engine) = &service.engine else { return Vec::new() };
        let demand = self.demand(tag);
        let kept = self.kept_for_short(cluster, service, engine, demand, now);
        let queued = self.queue.iter().enumerate();
        let prompts: Vec<placement::LongPrompt<'_>> = queued
            .filter(|(index, queued)| {
                queued.service == tag && queued.is_long(service) && may(*index)
            })
            .filter(|(_, queued)| {
                requires_isolation(cluster, queued.requirements.fingerprint, now).is_ok()
            })
            .map(|(index, queued)| placement::LongPrompt {
                requirements: &queued.requirements,
                index,
                class: self.long_class(queued),
            })
            .collect();
        if prompts.is_empty() {
            return Vec::new();
        }
        let queue = placement::LongQueue {
            prompts: &prompts,
            demand,
            offset: 0,
            kept,
            deadline: self.policy.deadline(),
        };
        let mut placed = placement::place_long(cluster, service, engine, queue, now);
        placed.retain_mut(|(index, placement)| {
            let QueuedRequest { key, requirements, .. } = &self.queue[*index];
            // Of two copies in the queue, the first runs isolated and the other stays queued.
            let Ok(isolated) = requires_isolation(cluster, requirements.fingerprint, now) else {
                return false;
            };
            placement.flight.isolated = isolated.then_some(requirements.fingerprint);
            let key = key.clone();
            let candidate = self.forecast_engine(service).and_then(|engine| {
                let outlook = self.outlooks.get(&tag)?;
                let QueuedRequest { requirements, returned, .. } = &self.queue[*index];
                Some(outlook.candidate(engine, requirements, *returned, now))
            });
            let reply = match candidate {
                Some(candidate) => {
                    let placement = placement.clone();
                    self.grant_queued(cluster, *index, &candidate, placement, now)
                }
                None => self.grant(cluster, self.queue[*index].charged(), placement.clone(), now),
            };
            replies.push((key, reply));
            true
        });
        placed.into_iter().map(|(index, _)| index).collect()
    }

    /// Places long prompts on single rate-limited upstreams.
    pub(super) fn place_whole(
        &mut self,
        cluster: &mut Cluster,
        service: &Service,
        tag: Tag,
        now: Instant,
        replies: &mut Vec<(Key, Reply)>,
    ) {
        for key in self.keys_by_deadline(tag, |queued| queued.is_long(service)) {
            let Some(queued) = self.queue.iter().find(|queued| queued.key == key) else {
                continue;
            };
            if let Ok(placement) =
                placement::place_whole(cluster, service, &queued.requirements, now)
            {
                let charged = queued.charged();
                self.queue.retain(|queued| queued.key != key);
                let reply = self.grant(cluster, charged, placement, now);
                replies.push((key, reply));
            }
        }
    }

    /// The class of a queued long prompt, lower ones first: by priority, and in each those whose callers have returned
    /// at promised times first.
    pub(super) fn long_class(&self, queued: &QueuedRequest) -> u32 {
        if !self.policy.is_forecast() {
            return 0;
        }
        let Priority { organisation, route } = queued.requirements.caller.priority;
        (u32::from(organisation) << 8 | u32::from(route)) * 2 + u32::from(!queued.returned)
    }

    /// The engines that long prompts leave to short ones.
    pub(super) fn kept_for_short(
        &mut self,
        cluster: &Cluster,
        service: &Service,
        engine: &Engine,
        demand: f64,
        now: Instant,
    ) -> Kept {
        let outlook = self.outlooks.get_mut(&Tag::of(&service.name));
        let Some(outlook) = outlook.filter(|_| self.policy.is_forecast()) else {
            return Kept { engines: self.pressure.engines(), crowded: false };
        };
        let engines = outlook.engines(now, || by_forecast::speed(cluster, service, now));
        match outlook.kept_for_short(engine, engines, demand, now) {
            0 => Kept { engines: self.pressure.engines(), crowded: false },
            engines => Kept { engines, crowded: true },
        }
    }

    /// The mean number of engines that recent long prompts keep busy.
    pub(super) fn demand(&self, service: Tag) -> f64 {
        let of_service = self.long_arrivals.iter().filter(|arrival| arrival.service == service);
        of_service.map(|arrival| arrival.prefill_ms).sum::<f64>()
            / (DEMAND_WINDOW.as_secs_f64() * 1e3)
    }

    /// Grants a placement to a queued request, which stays in the queue.
    pub(super) fn grant_queued(
        &mut self,
        cluster: &mut Cluster,
        index: usize,
        candidate: &outlook::Candidate,
        mut placement: Placement,
        now: Instant,
    ) -> Reply {
        let queued = &self.queue[index];
        let (charged, service) = (queued.charged(), queued.service);
        let predicted_ms = placement.predicted_ms;
        let basis = self.outlooks.entry(service).or_default().basis(candidate);
        let record = queued.granted(candidate, basis, now);
        placement.reason = record.as_ref().and_then(|record| queued.reason(record));
        let reply = self.grant(cluster, charged, placement, now);
        // The retry budget may deny the grant.
        if let Reply::Granted(..) = reply {
            self.on_granted(service, candidate, predicted_ms, now);
            if let Some(record) = record {
                self.record_grant(record);
            }
        }
        reply
    }

    /// Grants a placement, unless the retry budget has no token left for it.
    pub(super) fn grant(
        &mut self,
        cluster: &mut Cluster,
        charged: ChargedRequest,
        placement: Placement,
        now: Instant,
    ) -> Reply {
        let ChargedRequest { key, service, charge } = charged;
        if let Err(exhausted) = self.budget.charge(service, charge, now) {
            return Reply::Rejected(Rejection::OverBudget(exhausted));
        }
        let number = self.grant_numbers.entry(key.holder.clone()).or_default();
        *number += 1;
        let number = *number;
        cluster.grant(&key.holder, key.number, placement.flight.clone(), number, now);
        if self.policy.is_forecast() {
            let flight = &placement.flight;
            cluster.expect_first_event(&key.holder, key.number, placement.predicted_ms, now);
            if !flight.helpers.is_empty() {
                let helpers = flight.helpers.iter().map(|helper| &helper.upstream);
                cluster.rely_on(std::iter::once(&flight.upstream).chain(helpers), now);
            }
        }
        self.grants.insert(key, Grant { placement: placement.clone(), number, at: now });
        Reply::Granted(Box::new(placement), number)
    }
}
