//! The scheduler: one VM that places the requests of all VMs, one after the other, from the state
//! that they announce.
//!
//! Two VMs that place requests concurrently, before either has announced its own, choose the same
//! engines. A single scheduler has no such race. It keeps no durable state: another VM takes over
//! from what the VMs announce, and a VM that reaches no scheduler places its own requests from its
//! local state.

pub mod admission;
mod backlog;
mod by_forecast;
pub mod forecast;
mod grants;
pub mod order;
mod outlook;
pub mod overview;
mod policy;
mod promises;
mod queue;
pub mod record;
mod reports;
pub mod reserve;
pub mod shares;
mod throughput;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use foldlock_version::routes::{Service, Table};

use crate::budget::{Budget, Parameters};
use crate::cluster::{Cluster, Holder};
use crate::placement::{
    self, DEMAND_WINDOW, Placement, Rejection, Requirements, requires_isolation,
};
use crate::pressure::Pressure;
use crate::tag::Tag;

use backlog::Backlog;
use grants::{ChargedRequest, Grant};
use outlook::Outlook;
pub use policy::{Admission, Policy};
pub use promises::{Counts, MAX_PROMISES, Promise, Promises};
use queue::QueuedRequest;
use record::Log;

/// Time after which a queued request is dropped if its VM has not repeated the grant request. A VM
/// repeats it several times within this time, so the caller has left, or the VM has stopped or asks
/// another scheduler.
const QUEUED_REQUEST_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a grant is kept for a VM that repeats its request because the reply was lost.
const GRANT_RETENTION: Duration = Duration::from_millis(600);

/// Identifies a request that is queued or was granted a placement.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// The VM that received the request.
    pub holder: Holder,
    /// The incarnation of that VM.
    pub incarnation: u64,
    /// The number that the VM assigned to the request.
    pub number: u64,
}

/// The reply to a grant request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// A placement, with the number of the grant.
    Granted(Box<Placement>, u64),
    /// The request is queued.
    Queued,
    /// There is no placement, and queueing would not help.
    Rejected(Rejection),
}

/// A long prompt for which a placement was requested.
#[derive(Debug)]
struct LongArrival {
    at: Instant,
    service: Tag,
    prefill_ms: f64,
}

/// Places the requests of all VMs.
#[derive(Debug, Default)]
pub struct Scheduler {
    queue: Vec<QueuedRequest>,
    grants: HashMap<Key, Grant>,
    long_arrivals: VecDeque<LongArrival>,
    grant_numbers: HashMap<Holder, u64>,
    pressure: Pressure,
    backlog: Backlog,
    policy: Policy,
    /// The load of the services whose requests are admitted by forecasts.
    outlooks: HashMap<Tag, Outlook>,
    forecast_errors: Vec<forecast::Error>,
    log: Log,
    /// The fleet's retry budget, for requests that this VM schedules.
    pub budget: Budget,
    /// The promised return times of rejected callers.
    pub promises: Promises,
}

impl Scheduler {
    /// Creates a scheduler without requests.
    pub fn new(parameters: Parameters, policy: Policy) -> Scheduler {
        Scheduler { budget: Budget::new(parameters), policy, ..Scheduler::default() }
    }

    /// Changes the policy; queued requests keep their places.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
        if !policy.is_forecast() {
            self.outlooks.clear();
        }
    }

    /// Handles a grant request of a VM, the first one or a repeated one.
    pub fn request(
        &mut self,
        cluster: &mut Cluster,
        table: &Table,
        key: Key,
        service: Tag,
        mut requirements: Requirements,
        now: Instant,
    ) -> Reply {
        if let Some(grant) = self.grants.get(&key) {
            return Reply::Granted(Box::new(grant.placement.clone()), grant.number);
        }
        if let Some(queued) = self.queue.iter_mut().find(|queued| queued.key == key) {
            queued.last_requested = now;
            // An upstream may have asked for a backoff meanwhile, or its backoff may have ended.
            queued.requirements.excluded = requirements.excluded;
            return Reply::Queued;
        }
        let Some(found) = find(table, service) else {
            return Reply::Rejected(Rejection::NoUpstream);
        };
        if let Err(quarantined @ Rejection::Quarantined { .. }) =
            requires_isolation(cluster, requirements.fingerprint, now)
        {
            return Reply::Rejected(quarantined);
        }
        if cluster.is_drained(&found.name) {
            return Reply::Rejected(Rejection::Drained);
        }
        if let Err(exhausted) = self.budget.check(service, requirements.charge, now) {
            return Reply::Rejected(Rejection::OverBudget(exhausted));
        }
        let prefill_ms =
            found.engine.as_ref().and_then(|engine| requirements.long_prefill_ms(engine));
        let deadline = self.policy.deadline();
        if found.engine.as_ref().is_some_and(|e| {
            placement::is_too_long(cluster, found, e, &requirements, deadline, now)
        }) {
            return Reply::Rejected(Rejection::TooLarge);
        }
        let limited_rate = cluster.limited_rate(&found.name);
        let by_forecast = self.forecast_engine(found);
        let returned = by_forecast
            .is_some_and(|engine| self.on_arrival(engine, &key, service, &requirements, now));
        if let Some(prefill_ms) = prefill_ms {
            self.long_arrivals.push_back(LongArrival { at: now, service, prefill_ms });
        } else {
            // Queued requests go first.
            let priority = requirements.caller.priority;
            let must_queue = limited_rate.is_some() && self.queued_for(service) > 0
                || by_forecast.is_some() && self.is_preceded(service, found, priority);
            let placed = if must_queue {
                Err(Rejection::Full)
            } else {
                placement::place(cluster, found, &requirements, now)
            };
            match placed {
                Ok(placement) => {
                    let objective_ms = requirements.objective.as_secs_f64() * 1e3;
                    let predicted_ms = placement.predicted_ms;
                    self.pressure.on_placed(predicted_ms / objective_ms, now);
                    let charged = ChargedRequest { key, service, charge: requirements.charge };
                    let reply = self.grant(cluster, charged, placement, now);
                    if let (Some(engine), Reply::Granted(..)) = (by_forecast, &reply) {
                        let outlook = self.outlooks.entry(service).or_default();
                        let candidate = outlook.candidate(engine, &requirements, returned, now);
                        self.on_granted(service, &candidate, predicted_ms, now);
                    }
                    return reply;
                }
                Err(Rejection::Full) => self.pressure.on_queued(now),
                Err(rejection) => return Reply::Rejected(rejection),
            }
        }
        if let Some(capacity) = cluster.limited_capacity(&found.name) {
            let ahead = self.queued_before(service, &requirements);
            if let Err(limited) =
                self.backlog.check(service, &capacity, &requirements, ahead, false, now)
            {
                return Reply::Rejected(limited);
            }
        }
        let forecast = match self.admit(cluster, found, &key, &requirements, returned, now) {
            Ok(forecast) => forecast,
            Err(overloaded) => return Reply::Rejected(overloaded),
        };
        requirements.charge = self.budget.queue(service, requirements.charge);
        let queued = QueuedRequest::new(key, service, requirements, returned, now);
        self.queue.push(QueuedRequest { forecast, ..queued });
        Reply::Queued
    }

    /// Removes a request that no longer needs a placement, and releases its grant.
    pub fn cancel(&mut self, cluster: &mut Cluster, key: &Key, now: Instant) {
        self.queue.retain(|queued| queued.key != *key);
        if self.grants.remove(key).is_some() {
            cluster.release_grant(&key.holder, key.number, now);
        }
    }

    /// Whether the queue is empty.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty()
    }

    /// The number of queued requests.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Grants placements to queued requests where possible, and rejects those that can no longer be
    /// served.
    pub fn place_queued(
        &mut self,
        cluster: &mut Cluster,
        table: &Table,
        now: Instant,
    ) -> Vec<(Key, Reply)> {
        self.expire(cluster, now);
        self.expire_outlooks(table);
        let mut replies = Vec::new();
        let mut services: Vec<Tag> = self.queue.iter().map(|queued| queued.service).collect();
        services.sort_unstable();
        services.dedup();
        // Their callers may have left since the last round.
        for (_, outlook) in self.outlooks.iter_mut().filter(|(tag, _)| !services.contains(tag)) {
            outlook.end_round(false, false, now);
        }
        self.reject_quarantined(cluster, now, &mut replies);
        for tag in services {
            let Some(service) = find(table, tag) else {
                if self.policy.is_forecast() {
                    self.reject_all(tag, Rejection::NoUpstream, &mut replies);
                }
                continue;
            };
            if cluster.is_drained(&service.name) {
                self.reject_all(tag, Rejection::Drained, &mut replies);
                continue;
            }
            if let Some(engine) = self.forecast_engine(service) {
                self.place_in_order(cluster, service, engine, now, &mut replies);
            } else {
                self.place_short(cluster, service, tag, now, &mut replies);
                let mut placed =
                    self.place_long(cluster, service, tag, now, &mut replies, |_| true);
                placed.sort_unstable();
                self.remove_indices(&placed);
            }
            if cluster.limited_count() > 0 {
                self.place_whole(cluster, service, tag, now, &mut replies);
                self.reject_late(cluster, service, tag, now, &mut replies);
            }
        }
        self.record_kept(cluster, table, now);
        replies
    }

    /// Drops queued requests that were not repeated in time, expired grants and outdated demand.
    fn expire(&mut self, cluster: &mut Cluster, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.queue.retain(|queued| {
            queued.key.holder == Holder::Own || age(queued.last_requested) < QUEUED_REQUEST_TIMEOUT
        });
        self.grants.retain(|_, grant| age(grant.at) < GRANT_RETENTION);
        self.pressure.expire(now);
        while self.long_arrivals.front().is_some_and(|arrival| age(arrival.at) > DEMAND_WINDOW) {
            self.long_arrivals.pop_front();
        }
        cluster.expire_grants(now);
    }
}

impl Scheduler {
    /// The number of services whose load is kept.
    pub fn outlook_count(&self) -> usize {
        self.outlooks.len()
    }

    /// Drops the load of services that the settings no longer contain. Their number is compared first, as the names of
    /// all services are hashed otherwise; it thus never exceeds that of the services.
    fn expire_outlooks(&mut self, table: &Table) {
        if self.outlooks.len() > table.services().count() {
            self.outlooks.retain(|tag, _| find(table, *tag).is_some());
        }
    }
}

fn find(table: &Table, service: Tag) -> Option<&Service> {
    table.services().find(|found| Tag::of(&found.name) == service).map(AsRef::as_ref)
}
