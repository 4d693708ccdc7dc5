//! The scheduler: one VM that places the requests of all VMs, one after the other, from the state
//! that they announce.
//!
//! Two VMs that place requests concurrently, before either has announced its own, choose the same
//! engines. A single scheduler has no such race. It keeps no durable state: another VM takes over
//! from what the VMs announce, and a VM that reaches no scheduler places its own requests from its
//! local state.

mod backlog;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use foldlock_version::routes::{Service, Table};

use crate::budget::{Budget, Charge, Figures};
use crate::cluster::{Cluster, Holder};
use crate::fingerprint::Fingerprint;
use crate::placement::{self, DEMAND_WINDOW, Placement, Rejection, Requirements, runs_alone};
use crate::pressure::Pressure;
use crate::tag::Tag;

use backlog::Backlog;

/// Time after which a queued request is dropped if its VM has not repeated the grant request. A VM
/// repeats it several times within this time, so the caller has left, or the VM has stopped or asks
/// another scheduler.
const ASK_LASTS: Duration = Duration::from_millis(600);

/// How long a grant is kept for a VM that repeats its request because the reply was lost.
const PLACED_LASTS: Duration = Duration::from_millis(600);

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
struct Waiter {
    key: Key,
    service: Tag,
    requirements: Requirements,
    heard: Instant,
}

/// A request that gets a placement, with its charge to the retry budget.
struct Charged {
    key: Key,
    service: Tag,
    charge: Charge,
}

#[derive(Debug)]
struct Placed {
    placement: Placement,
    grant: u64,
    at: Instant,
}

/// A long prompt for which a placement was requested.
#[derive(Debug)]
struct Asked {
    at: Instant,
    service: Tag,
    prefill_ms: f64,
}

/// Places the requests of all VMs.
#[derive(Debug, Default)]
pub struct Scheduler {
    waiters: Vec<Waiter>,
    placed: HashMap<Key, Placed>,
    asked: VecDeque<Asked>,
    grants: HashMap<Holder, u64>,
    pressure: Pressure,
    backlog: Backlog,
    /// The fleet's retry budget, for requests that this VM schedules.
    pub budget: Budget,
}

impl Scheduler {
    /// Creates a scheduler without requests.
    pub fn new(figures: Figures) -> Scheduler {
        Scheduler { budget: Budget::new(figures), ..Scheduler::default() }
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
        if let Some(placed) = self.placed.get(&key) {
            return Reply::Granted(Box::new(placed.placement.clone()), placed.grant);
        }
        if let Some(waiter) = self.waiters.iter_mut().find(|waiter| waiter.key == key) {
            waiter.heard = now;
            // An upstream may have asked for a backoff meanwhile, or its backoff may have ended.
            waiter.requirements.excluded = requirements.excluded;
            return Reply::Queued;
        }
        let Some(found) = find(table, service) else {
            return Reply::Rejected(Rejection::NoUpstream);
        };
        if let Err(held @ Rejection::Quarantined { .. }) =
            runs_alone(cluster, requirements.fingerprint, now)
        {
            return Reply::Rejected(held);
        }
        if cluster.is_drained(&found.name) {
            return Reply::Rejected(Rejection::Drained);
        }
        if let Err(exhausted) = self.budget.check(service, requirements.charge, now) {
            return Reply::Rejected(Rejection::OverBudget(exhausted));
        }
        let prefill_ms =
            found.engine.as_ref().and_then(|engine| requirements.long_prefill_ms(engine));
        if found
            .engine
            .as_ref()
            .is_some_and(|e| placement::is_too_long(cluster, found, e, &requirements))
        {
            return Reply::Rejected(Rejection::TooLarge);
        }
        let limited_rate = cluster.limited_rate(&found.name);
        if let Some(prefill_ms) = prefill_ms {
            self.asked.push_back(Asked { at: now, service, prefill_ms });
        } else {
            // Queued requests go first.
            let must_queue = limited_rate.is_some() && self.waiting_for(service) > 0;
            let placed = if must_queue {
                Err(Rejection::Full)
            } else {
                placement::place(cluster, found, &requirements, now)
            };
            match placed {
                Ok(placement) => {
                    let objective_ms = requirements.objective.as_secs_f64() * 1e3;
                    self.pressure.on_placed(placement.predicted_ms / objective_ms, now);
                    let charged = Charged { key, service, charge: requirements.charge };
                    return self.give(cluster, charged, placement, now);
                }
                Err(Rejection::Full) => self.pressure.on_queued(now),
                Err(rejection) => return Reply::Rejected(rejection),
            }
        }
        if let Some(rate) = limited_rate {
            let ahead = self.waiting_for(service);
            if let Err(limited) =
                self.backlog.check(service, rate, &requirements, ahead, false, now)
            {
                return Reply::Rejected(limited);
            }
        }
        requirements.charge = self.budget.queue(service, requirements.charge);
        self.waiters.push(Waiter { key, service, requirements, heard: now });
        Reply::Queued
    }

    /// Removes a request that no longer needs a placement, and releases its grant.
    pub fn cancel(&mut self, cluster: &mut Cluster, key: &Key, now: Instant) {
        self.waiters.retain(|waiter| waiter.key != *key);
        if self.placed.remove(key).is_some() {
            cluster.take_back(&key.holder, key.number, now);
        }
    }

    /// Whether the queue is empty.
    pub fn is_idle(&self) -> bool {
        self.waiters.is_empty()
    }

    /// The number of queued requests.
    pub fn queue_len(&self) -> usize {
        self.waiters.len()
    }

    fn waiting_for(&self, service: Tag) -> usize {
        self.waiters.iter().filter(|waiter| waiter.service == service).count()
    }

    /// Grants placements to queued requests where possible, and rejects those that can no longer be
    /// served.
    pub fn place_queued(
        &mut self,
        cluster: &mut Cluster,
        table: &Table,
        now: Instant,
    ) -> Vec<(Key, Reply)> {
        self.forget(cluster, now);
        let mut replies = Vec::new();
        let mut services: Vec<Tag> = self.waiters.iter().map(|waiter| waiter.service).collect();
        services.sort_unstable();
        services.dedup();
        self.turn_away(cluster, now, &mut replies);
        for tag in services {
            let Some(service) = find(table, tag) else { continue };
            if cluster.is_drained(&service.name) {
                self.turn_away_all(tag, &mut replies);
                continue;
            }
            self.place_short(cluster, service, tag, now, &mut replies);
            self.place_long(cluster, service, tag, now, &mut replies);
            if cluster.limited_count() > 0 {
                self.place_whole(cluster, service, tag, now, &mut replies);
                self.turn_away_late(cluster, service, tag, now, &mut replies);
            }
        }
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
        for key in self.due(tag, |waiter| waiter.is_long(service)) {
            let Some(waiter) = self.waiters.iter().find(|waiter| waiter.key == key) else {
                continue;
            };
            if let Ok(placement) =
                placement::place_whole(cluster, service, &waiter.requirements, now)
            {
                let charged = waiter.charged();
                let reply = self.give(cluster, charged, placement, now);
                replies.push((key, reply));
            }
        }
    }

    /// Rejects queued requests that would wait too long, where all upstreams are rate-limited.
    fn turn_away_late(
        &mut self,
        cluster: &Cluster,
        service: &Service,
        tag: Tag,
        now: Instant,
        replies: &mut Vec<(Key, Reply)>,
    ) {
        let Some(rate) = cluster.limited_rate(&service.name) else { return };
        let mut ahead = 0;
        for key in self.due(tag, |_| true) {
            let Some(waiter) = self.waiters.iter().find(|waiter| waiter.key == key) else {
                continue;
            };
            match self.backlog.check(tag, rate, &waiter.requirements, ahead, true, now) {
                Ok(()) => ahead += 1,
                Err(limited) => {
                    self.waiters.retain(|waiter| waiter.key != key);
                    replies.push((key, Reply::Rejected(limited)));
                }
            }
        }
    }

    /// Queued requests of a service, earliest deadline first.
    fn due(&self, service: Tag, of: impl Fn(&Waiter) -> bool) -> Vec<Key> {
        let waiters = self.waiters.iter().filter(|waiter| waiter.service == service && of(waiter));
        let mut due: Vec<(Instant, &Key)> = waiters
            .map(|waiter| {
                (waiter.requirements.arrived + waiter.requirements.objective, &waiter.key)
            })
            .collect();
        due.sort();
        due.into_iter().map(|(_, key)| key.clone()).collect()
    }

    /// Rejects queued requests that have been quarantined meanwhile.
    fn turn_away(&mut self, cluster: &Cluster, now: Instant, replies: &mut Vec<(Key, Reply)>) {
        self.waiters.retain(|waiter| {
            match runs_alone(cluster, waiter.requirements.fingerprint, now) {
                Err(held @ Rejection::Quarantined { .. }) => {
                    replies.push((waiter.key.clone(), Reply::Rejected(held)));
                    false
                }
                _ => true,
            }
        });
    }

    /// Rejects the queued requests of a service whose data halls have all been drained.
    fn turn_away_all(&mut self, service: Tag, replies: &mut Vec<(Key, Reply)>) {
        self.waiters.retain(|waiter| {
            if waiter.service == service {
                replies.push((waiter.key.clone(), Reply::Rejected(Rejection::Drained)));
            }
            waiter.service != service
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
        for key in self.due(tag, |waiter| !waiter.is_long(service)) {
            let Some(waiter) = self.waiters.iter().find(|waiter| waiter.key == key) else {
                continue;
            };
            if let Ok(placement) = placement::place(cluster, service, &waiter.requirements, now) {
                let charged = waiter.charged();
                let reply = self.give(cluster, charged, placement, now);
                replies.push((key, reply));
            }
        }
    }

    /// Places long prompts in the order of the long queue.
    fn place_long(
        &mut self,
        cluster: &mut Cluster,
        service: &Service,
        tag: Tag,
        now: Instant,
        replies: &mut Vec<(Key, Reply)>,
    ) {
        let Some(engine) = &service.engine else { return };
        let waiters = self.waiters.iter().enumerate();
        let prompts: Vec<placement::LongPrompt<'_>> = waiters
            .filter(|(_, waiter)| waiter.service == tag && waiter.is_long(service))
            .filter(|(_, waiter)| runs_alone(cluster, waiter.requirements.fingerprint, now).is_ok())
            .map(|(index, waiter)| placement::LongPrompt {
                requirements: &waiter.requirements,
                index,
            })
            .collect();
        if prompts.is_empty() {
            return;
        }
        let queue = placement::LongQueue {
            prompts: &prompts,
            demand: self.demand(tag),
            offset: 0,
            short_only: self.pressure.engines(),
        };
        let placed = placement::place_long(cluster, service, engine, queue, now);
        let placed: Vec<(Charged, Fingerprint, Placement)> = placed
            .into_iter()
            .map(|(index, placement)| (&self.waiters[index], placement))
            .map(|(waiter, placement)| {
                (waiter.charged(), waiter.requirements.fingerprint, placement)
            })
            .collect();
        for (charged, fingerprint, mut placement) in placed {
            // Of two copies in the queue, the first runs isolated and the other stays queued.
            let Ok(alone) = runs_alone(cluster, fingerprint, now) else { continue };
            placement.flight.alone = alone.then_some(fingerprint);
            let key = charged.key.clone();
            let reply = self.give(cluster, charged, placement, now);
            replies.push((key, reply));
        }
    }

    /// The mean number of engines that recent long prompts keep busy.
    fn demand(&self, service: Tag) -> f64 {
        let of = self.asked.iter().filter(|asked| asked.service == service);
        of.map(|asked| asked.prefill_ms).sum::<f64>() / (DEMAND_WINDOW.as_secs_f64() * 1e3)
    }

    /// Grants a placement, unless the retry budget has no token left for it.
    fn give(
        &mut self,
        cluster: &mut Cluster,
        charged: Charged,
        placement: Placement,
        now: Instant,
    ) -> Reply {
        let Charged { key, service, charge } = charged;
        self.waiters.retain(|waiter| waiter.key != key);
        if let Err(exhausted) = self.budget.charge(service, charge, now) {
            return Reply::Rejected(Rejection::OverBudget(exhausted));
        }
        let grant = self.grants.entry(key.holder.clone()).or_default();
        *grant += 1;
        let grant = *grant;
        cluster.grant(&key.holder, key.number, placement.flight.clone(), grant, now);
        self.placed.insert(key, Placed { placement: placement.clone(), grant, at: now });
        Reply::Granted(Box::new(placement), grant)
    }

    /// Drops queued requests that were not repeated in time, expired grants and outdated demand.
    fn forget(&mut self, cluster: &mut Cluster, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.waiters
            .retain(|waiter| waiter.key.holder == Holder::Own || age(waiter.heard) < ASK_LASTS);
        self.placed.retain(|_, placed| age(placed.at) < PLACED_LASTS);
        self.pressure.expire(now);
        while self.asked.front().is_some_and(|asked| age(asked.at) > DEMAND_WINDOW) {
            self.asked.pop_front();
        }
        cluster.forget_grants(now);
    }
}

impl Waiter {
    fn charged(&self) -> Charged {
        Charged { key: self.key.clone(), service: self.service, charge: self.requirements.charge }
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
