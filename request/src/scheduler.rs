//! The scheduler: one VM that places the requests of all, one after the other, by what all tell it.
//!
//! What two VMs place without having heard of each other lies on the same engines; one that places
//! for all has no such moment. It keeps nothing that lasts: another VM takes over with what it is
//! told, and a VM that hears no scheduler places its own requests by what it knows.

mod backlog;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use foldlock_version::routes::{Service, Table};

use crate::budget::{Budget, Charge, Parameters};
use crate::cluster::{Cluster, Holder};
use crate::fingerprint::Fingerprint;
use crate::placement::{
    self, DEMAND_WINDOW, Placement, Rejection, Requirements, requires_isolation,
};
use crate::pressure::Pressure;
use crate::tag::Tag;

use backlog::Backlog;

/// How long a request waits without a word of its VM, which asks again several times in this time:
/// its caller has left, or its VM has ended or asks elsewhere.
const ASK_LASTS: Duration = Duration::from_millis(600);

/// How long a placement that was given is kept for a VM that asks again since it did not hear of it.
const PLACED_LASTS: Duration = Duration::from_millis(600);

/// A request that waits or was placed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// The VM that has it.
    pub holder: Holder,
    /// The start of that VM's process.
    pub incarnation: u64,
    /// The number that the VM gave it.
    pub number: u64,
}

/// The answer to a VM.
#[derive(Debug, Clone)]
pub enum Answer {
    /// There is a placement, given by the message with this number.
    Placed(Box<Placement>, u64),
    /// It waits for one.
    Waits,
    /// There is none, and waiting brings none.
    Rejected(Rejection),
}

#[derive(Debug)]
struct Waiter {
    key: Key,
    service: Tag,
    requirements: Requirements,
    heard: Instant,
}

/// A request that gets a placement, and what that is to the budget.
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

/// A long prompt that was asked for.
#[derive(Debug)]
struct Asked {
    at: Instant,
    service: Tag,
    read_ms: f64,
}

/// The scheduler.
#[derive(Debug, Default)]
pub struct Scheduler {
    waiters: Vec<Waiter>,
    placed: HashMap<Key, Placed>,
    asked: VecDeque<Asked>,
    grants: HashMap<Holder, u64>,
    pressure: Pressure,
    backlog: Backlog,
    /// The fleet's retry budget, as far as this VM schedules it.
    pub budget: Budget,
}

impl Scheduler {
    /// A scheduler that nothing has asked yet.
    pub fn new(parameters: Parameters) -> Scheduler {
        Scheduler { budget: Budget::new(parameters), ..Scheduler::default() }
    }

    /// A VM asks for a placement, for the first time or again.
    pub fn ask(
        &mut self,
        cluster: &mut Cluster,
        table: &Table,
        key: Key,
        service: Tag,
        mut requirements: Requirements,
        now: Instant,
    ) -> Answer {
        if let Some(placed) = self.placed.get(&key) {
            return Answer::Placed(Box::new(placed.placement.clone()), placed.grant);
        }
        if let Some(waiter) = self.waiters.iter_mut().find(|waiter| waiter.key == key) {
            waiter.heard = now;
            // A rest that was asked for meanwhile, or is over.
            waiter.requirements.avoid = requirements.avoid;
            return Answer::Waits;
        }
        let Some(found) = find(table, service) else { return Answer::Rejected(Rejection::Closed) };
        if let Err(held @ Rejection::Quarantined { .. }) =
            requires_isolation(cluster, requirements.fingerprint, now)
        {
            return Answer::Rejected(held);
        }
        if cluster.is_drained(&found.name) {
            return Answer::Rejected(Rejection::Drained);
        }
        if let Err(exhausted) = self.budget.check(service, requirements.charge, now) {
            return Answer::Rejected(Rejection::OverBudget(exhausted));
        }
        let read_ms = found.engine.as_ref().and_then(|engine| requirements.long_read_ms(engine));
        if found
            .engine
            .as_ref()
            .is_some_and(|e| placement::is_too_long(cluster, found, e, &requirements))
        {
            return Answer::Rejected(Rejection::TooLarge);
        }
        let limited_rate = cluster.limited_rate(&found.name);
        if let Some(read_ms) = read_ms {
            self.asked.push_back(Asked { at: now, service, read_ms });
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
                    self.pressure.placed(placement.predicted_ms / objective_ms, now);
                    let charged = Charged { key, service, charge: requirements.charge };
                    return self.give(cluster, charged, placement, now);
                }
                Err(Rejection::Full) => self.pressure.waits(now),
                Err(rejection) => return Answer::Rejected(rejection),
            }
        }
        if let Some(rate) = limited_rate {
            let ahead = self.waiting_for(service);
            if let Err(limited) =
                self.backlog.check(service, rate, &requirements, ahead, false, now)
            {
                return Answer::Rejected(limited);
            }
        }
        requirements.charge = self.budget.queue(service, requirements.charge);
        self.waiters.push(Waiter { key, service, requirements, heard: now });
        Answer::Waits
    }

    /// A VM asks no more for this placement.
    pub fn cancel(&mut self, cluster: &mut Cluster, key: &Key, now: Instant) {
        self.waiters.retain(|waiter| waiter.key != *key);
        if self.placed.remove(key).is_some() {
            cluster.take_back(&key.holder, key.number, now);
        }
    }

    /// Whether anything waits.
    pub fn is_idle(&self) -> bool {
        self.waiters.is_empty()
    }

    /// The requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    fn waiting_for(&self, service: Tag) -> usize {
        self.waiters.iter().filter(|waiter| waiter.service == service).count()
    }

    /// Places what waits and has a placement now.
    pub fn look(
        &mut self,
        cluster: &mut Cluster,
        table: &Table,
        now: Instant,
    ) -> Vec<(Key, Answer)> {
        self.forget(cluster, now);
        let mut answers = Vec::new();
        let mut services: Vec<Tag> = self.waiters.iter().map(|waiter| waiter.service).collect();
        services.sort_unstable();
        services.dedup();
        self.turn_away(cluster, now, &mut answers);
        for tag in services {
            let Some(service) = find(table, tag) else { continue };
            if cluster.is_drained(&service.name) {
                self.turn_away_all(tag, &mut answers);
                continue;
            }
            self.place_short(cluster, service, tag, now, &mut answers);
            self.place_long(cluster, service, tag, now, &mut answers);
            if cluster.limited_count() > 0 {
                self.place_whole(cluster, service, tag, now, &mut answers);
                self.turn_away_late(cluster, service, tag, now, &mut answers);
            }
        }
        answers
    }

    /// Places long prompts on single rate-limited upstreams.
    fn place_whole(
        &mut self,
        cluster: &mut Cluster,
        service: &Service,
        tag: Tag,
        now: Instant,
        answers: &mut Vec<(Key, Answer)>,
    ) {
        for key in self.due(tag, |waiter| waiter.is_long(service)) {
            let Some(waiter) = self.waiters.iter().find(|waiter| waiter.key == key) else {
                continue;
            };
            if let Ok(placement) =
                placement::place_whole(cluster, service, &waiter.requirements, now)
            {
                let charged = waiter.charged();
                let answer = self.give(cluster, charged, placement, now);
                answers.push((key, answer));
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
        answers: &mut Vec<(Key, Answer)>,
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
                    answers.push((key, Answer::Rejected(limited)));
                }
            }
        }
    }

    /// Queued requests of a service, by due time.
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

    /// Tells those that wait and are kept from all upstreams by now.
    fn turn_away(&mut self, cluster: &Cluster, now: Instant, answers: &mut Vec<(Key, Answer)>) {
        self.waiters.retain(|waiter| {
            match requires_isolation(cluster, waiter.requirements.fingerprint, now) {
                Err(held @ Rejection::Quarantined { .. }) => {
                    answers.push((waiter.key.clone(), Answer::Rejected(held)));
                    false
                }
                _ => true,
            }
        });
    }

    /// Tells those that wait for a service whose halls have all been drained.
    fn turn_away_all(&mut self, service: Tag, answers: &mut Vec<(Key, Answer)>) {
        self.waiters.retain(|waiter| {
            if waiter.service == service {
                answers.push((waiter.key.clone(), Answer::Rejected(Rejection::Drained)));
            }
            waiter.service != service
        });
    }

    /// Short requests, the one that is due first before the others.
    fn place_short(
        &mut self,
        cluster: &mut Cluster,
        service: &Service,
        tag: Tag,
        now: Instant,
        answers: &mut Vec<(Key, Answer)>,
    ) {
        for key in self.due(tag, |waiter| !waiter.is_long(service)) {
            let Some(waiter) = self.waiters.iter().find(|waiter| waiter.key == key) else {
                continue;
            };
            if let Ok(placement) = placement::place(cluster, service, &waiter.requirements, now) {
                let charged = waiter.charged();
                let answer = self.give(cluster, charged, placement, now);
                answers.push((key, answer));
            }
        }
    }

    /// Long prompts, by their line.
    fn place_long(
        &mut self,
        cluster: &mut Cluster,
        service: &Service,
        tag: Tag,
        now: Instant,
        answers: &mut Vec<(Key, Answer)>,
    ) {
        let Some(engine) = &service.engine else { return };
        let waiters = self.waiters.iter().enumerate();
        let turns: Vec<placement::Turn<'_>> = waiters
            .filter(|(_, waiter)| waiter.service == tag && waiter.is_long(service))
            .filter(|(_, waiter)| {
                requires_isolation(cluster, waiter.requirements.fingerprint, now).is_ok()
            })
            .map(|(index, waiter)| placement::Turn { requirements: &waiter.requirements, index })
            .collect();
        if turns.is_empty() {
            return;
        }
        let line = placement::Line {
            turns: &turns,
            demand: self.demand(tag),
            offset: 0,
            kept: self.pressure.engines(),
        };
        let placed = placement::line(cluster, service, engine, line, now);
        let placed: Vec<(Charged, Fingerprint, Placement)> = placed
            .into_iter()
            .map(|(index, placement)| (&self.waiters[index], placement))
            .map(|(waiter, placement)| {
                (waiter.charged(), waiter.requirements.fingerprint, placement)
            })
            .collect();
        for (charged, fingerprint, mut placement) in placed {
            // Of two copies in one line the first runs alone, and the other waits for it.
            let Ok(isolated) = requires_isolation(cluster, fingerprint, now) else { continue };
            placement.flight.isolated = isolated.then_some(fingerprint);
            let key = charged.key.clone();
            let answer = self.give(cluster, charged, placement, now);
            answers.push((key, answer));
        }
    }

    /// The engines that the long prompts of late keep busy in the mean.
    fn demand(&self, service: Tag) -> f64 {
        let of = self.asked.iter().filter(|asked| asked.service == service);
        of.map(|asked| asked.read_ms).sum::<f64>() / (DEMAND_WINDOW.as_secs_f64() * 1e3)
    }

    /// Gives a placement, unless the budget has no token left for it.
    fn give(
        &mut self,
        cluster: &mut Cluster,
        charged: Charged,
        placement: Placement,
        now: Instant,
    ) -> Answer {
        let Charged { key, service, charge } = charged;
        self.waiters.retain(|waiter| waiter.key != key);
        if let Err(exhausted) = self.budget.charge(service, charge, now) {
            return Answer::Rejected(Rejection::OverBudget(exhausted));
        }
        let grant = self.grants.entry(key.holder.clone()).or_default();
        *grant += 1;
        let grant = *grant;
        cluster.grant(&key.holder, key.number, placement.flight.clone(), grant, now);
        self.placed.insert(key, Placed { placement: placement.clone(), grant, at: now });
        Answer::Placed(Box::new(placement), grant)
    }

    /// Forgets what is asked for no more.
    fn forget(&mut self, cluster: &mut Cluster, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.waiters
            .retain(|waiter| waiter.key.holder == Holder::Own || age(waiter.heard) < ASK_LASTS);
        self.placed.retain(|_, placed| age(placed.at) < PLACED_LASTS);
        self.pressure.forget(now);
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
            .is_some_and(|engine| self.requirements.long_read_ms(engine).is_some())
    }
}

fn find(table: &Table, service: Tag) -> Option<&Service> {
    table.services().find(|found| Tag::of(&found.name) == service).map(AsRef::as_ref)
}
