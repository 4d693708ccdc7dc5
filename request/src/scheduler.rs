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
pub mod order;
mod outlook;
pub mod overview;
mod policy;
mod promises;
pub mod record;
mod reports;
pub mod reserve;
pub mod shares;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use foldlock_version::routes::{Engine, Service, Table};

use crate::budget::{Budget, Charge, Parameters};
use crate::caller::Priority;
use crate::cluster::{Cluster, Holder};
use crate::placement::{
    self, DEMAND_WINDOW, Kept, Placement, Rejection, Requirements, requires_isolation,
};
use crate::pressure::Pressure;
use crate::tag::Tag;

use backlog::Backlog;
use outlook::Outlook;
pub use policy::{Admission, Policy};
pub use promises::{Counts, MAX_PROMISES, Promise, Promises};
use record::{Forecast, Log};

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

#[derive(Debug)]
struct QueuedRequest {
    key: Key,
    service: Tag,
    requirements: Requirements,
    last_requested: Instant,
    /// Whether its caller has returned at a promised time.
    returned: bool,
    /// The forecast with which it was queued.
    forecast: Option<Forecast>,
    /// The number of requests before it in the last round of placement.
    rank: usize,
}

/// A request that gets a placement, with its charge to the retry budget.
struct ChargedRequest {
    key: Key,
    service: Tag,
    charge: Charge,
}

#[derive(Debug)]
struct Grant {
    placement: Placement,
    number: u64,
    at: Instant,
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

    /// Whether a new short request has to be queued, as others of its service are: short ones, or more urgent ones.
    fn is_preceded(&self, tag: Tag, service: &Service, priority: Priority) -> bool {
        let precedes = |queued: &QueuedRequest| {
            queued.requirements.caller.priority < priority || !queued.is_long(service)
        };
        self.queue.iter().any(|queued| queued.service == tag && precedes(queued))
    }

    fn queued_for(&self, service: Tag) -> usize {
        self.queue.iter().filter(|queued| queued.service == service).count()
    }

    /// The number of queued requests of a service with an earlier deadline, or the same.
    fn queued_before(&self, service: Tag, requirements: &Requirements) -> usize {
        let deadline = |of: &Requirements| of.arrived + of.objective;
        let queued = self.queue.iter().filter(|queued| queued.service == service);
        queued.filter(|queued| deadline(&queued.requirements) <= deadline(requirements)).count()
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

    /// Places long prompts on single rate-limited upstreams.
    fn place_whole(
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

    /// Rejects queued requests that would wait too long, where all upstreams are rate-limited.
    fn reject_late(
        &mut self,
        cluster: &Cluster,
        service: &Service,
        tag: Tag,
        now: Instant,
        replies: &mut Vec<(Key, Reply)>,
    ) {
        let Some(capacity) = cluster.limited_capacity(&service.name) else { return };
        let mut ahead = 0;
        for key in self.keys_by_deadline(tag, |_| true) {
            let Some(queued) = self.queue.iter().find(|queued| queued.key == key) else {
                continue;
            };
            match self.backlog.check(tag, &capacity, &queued.requirements, ahead, true, now) {
                Ok(()) => ahead += 1,
                Err(limited) => {
                    self.queue.retain(|queued| queued.key != key);
                    replies.push((key, Reply::Rejected(limited)));
                }
            }
        }
    }

    /// Queued requests of a service, earliest deadline first.
    fn keys_by_deadline(&self, service: Tag, of: impl Fn(&QueuedRequest) -> bool) -> Vec<Key> {
        let queued = self.queue.iter().filter(|queued| queued.service == service && of(queued));
        let mut by_deadline: Vec<(Instant, &Key)> = queued
            .map(|queued| {
                (queued.requirements.arrived + queued.requirements.objective, &queued.key)
            })
            .collect();
        by_deadline.sort();
        by_deadline.into_iter().map(|(_, key)| key.clone()).collect()
    }

    /// Rejects queued requests that have been quarantined meanwhile.
    fn reject_quarantined(
        &mut self,
        cluster: &Cluster,
        now: Instant,
        replies: &mut Vec<(Key, Reply)>,
    ) {
        self.queue.retain(|queued| {
            match requires_isolation(cluster, queued.requirements.fingerprint, now) {
                Err(quarantined @ Rejection::Quarantined { .. }) => {
                    replies.push((queued.key.clone(), Reply::Rejected(quarantined)));
                    false
                }
                _ => true,
            }
        });
    }

    /// Rejects the queued requests of a service whose data halls have all been drained, or that the settings no longer
    /// contain.
    fn reject_all(&mut self, service: Tag, reason: Rejection, replies: &mut Vec<(Key, Reply)>) {
        self.queue.retain(|queued| {
            if queued.service == service {
                replies.push((queued.key.clone(), Reply::Rejected(reason)));
            }
            queued.service != service
        });
    }

    /// Places short requests, earliest deadline first.
    fn place_short(
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
    fn place_long(
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

    /// The class of a queued long prompt, lower ones first: by priority, and in each those whose callers have returned
    /// at promised times first.
    fn long_class(&self, queued: &QueuedRequest) -> u32 {
        if !self.policy.is_forecast() {
            return 0;
        }
        let Priority { organisation, route } = queued.requirements.caller.priority;
        (u32::from(organisation) << 8 | u32::from(route)) * 2 + u32::from(!queued.returned)
    }

    /// The engines that long prompts leave to short ones.
    fn kept_for_short(
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

    /// Grants a placement to a queued request, which stays in the queue.
    fn grant_queued(
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

    /// Removes requests from the queue by their indices, which are in ascending order.
    fn remove_indices(&mut self, indices: &[usize]) {
        let mut indices = indices.iter().copied().peekable();
        let mut index = 0;
        self.queue.retain(|_| {
            index += 1;
            indices.next_if_eq(&(index - 1)).is_none()
        });
    }

    /// The mean number of engines that recent long prompts keep busy.
    fn demand(&self, service: Tag) -> f64 {
        let of_service = self.long_arrivals.iter().filter(|arrival| arrival.service == service);
        of_service.map(|arrival| arrival.prefill_ms).sum::<f64>()
            / (DEMAND_WINDOW.as_secs_f64() * 1e3)
    }

    /// Grants a placement, unless the retry budget has no token left for it.
    fn grant(
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

impl QueuedRequest {
    fn new(
        key: Key,
        service: Tag,
        requirements: Requirements,
        returned: bool,
        now: Instant,
    ) -> QueuedRequest {
        QueuedRequest {
            key,
            service,
            requirements,
            last_requested: now,
            returned,
            forecast: None,
            rank: 0,
        }
    }

    fn charged(&self) -> ChargedRequest {
        ChargedRequest {
            key: self.key.clone(),
            service: self.service,
            charge: self.requirements.charge,
        }
    }

    fn is_long(&self, service: &Service) -> bool {
        service
            .engine
            .as_ref()
            .is_some_and(|engine| self.requirements.long_prefill_ms(engine).is_some())
    }
}

fn find(table: &Table, service: Tag) -> Option<&Service> {
    table.services().find(|found| Tag::of(&found.name) == service).map(AsRef::as_ref)
}
