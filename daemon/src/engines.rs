//! This VM's state of the engines: its own load on each, models of their speed and caches, and the
//! states announced by their homes.

mod flight;

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foldlock_base::clock::Clock;
use foldlock_base::hash;
use foldlock_base::prelude::*;
use foldlock_connection::engine::HttpEngine;
use foldlock_connection::http::Client;
use foldlock_connection::wire::{Load, State};
use foldlock_request::affinity::Table;
use foldlock_request::decision::{Cause, Snapshot};
use foldlock_request::health::Health;
use foldlock_request::route::{Candidate, Requirements, Routes};
use foldlock_request::speed::Model;
use foldlock_version::policy::{Class, Policy};
use foldlock_version::schema;
use foldlock_version::tree::Tree;
use serde::Serialize;
use tokio::sync::Notify;

pub use flight::Flight;

/// How long a state announced by a home is valid.
const HOME_STATE_TTL: Duration = Duration::from_secs(2);

/// How long an engine counts as leaving after the last indication that it is.
pub const LEAVING_TTL: Duration = Duration::from_secs(10);

/// After this time without a new sample, the weight of an engine's speed samples is halved.
const DECAY_INTERVAL: Duration = Duration::from_secs(5);

/// How long a VM announces that an engine is leaving after its own last indication of it.
/// Indications received from peers are not announced again, so that they expire once their cause is
/// gone.
const LEAVING_ANNOUNCE_WINDOW: Duration = Duration::from_secs(2);

/// Parameters of the choice of an engine for a request.
pub struct EngineQuery<'a> {
    /// The requested model.
    pub model: &'a id::Model,
    /// Prompt, memory and length class.
    pub requirements: Requirements,
    /// Hashes of the prompt's leading blocks.
    pub blocks: &'a [u64],
    /// The settings that apply to the request.
    pub policy: &'a Policy,
    /// Engines on which earlier attempts failed.
    pub avoid: &'a [id::Upstream],
    /// Engines with an open attempt of the request: they are chosen if there are no others, as the connection of that
    /// attempt may hang.
    pub open: &'a [id::Upstream],
}

/// Result of choosing an engine.
pub enum Chosen<C: Clock> {
    /// The chosen engine; the request counts as its load from now on.
    Engine(Box<Flight<C>>),
    /// No engine may take the request now.
    Wait {
        /// Why the best engine may not take it.
        cause: Cause,
        /// Predicted time to the first token on the best engine, in seconds.
        predicted: f64,
    },
    /// No engine serves the model.
    None,
}

/// An engine, with what this VM has recorded of it.
struct Local {
    entry: schema::Engine,
    client: HttpEngine,
    own: Load,
    flights: HashMap<u64, Pending>,
    speed: Model,
    speed_updated_at: Instant,
    health: Health,
    affinity: Table,
    home: Option<(State, Instant)>,
    /// When this VM itself last had an indication that the engine is leaving.
    leaving_at: Option<Instant>,
}

/// A request on an engine that has not produced its first token yet.
struct Pending {
    sent: Instant,
    predicted: f64,
    class: Class,
}

#[derive(Default)]
struct Inner {
    engines: BTreeMap<id::Upstream, Local>,
    bytes_per_token: HashMap<id::Model, u32>,
    routes: Routes,
    next_slot: u64,
}

/// The engines that this VM can use.
pub struct Engines<C> {
    clock: C,
    client: Client,
    inner: Mutex<Inner>,
    changed: Notify,
}

/// An engine's state in a dump.
#[derive(Debug, Serialize)]
pub struct Dump {
    own: Load,
    fleet: Load,
    leaving: bool,
    usable: bool,
    home_age_ms: Option<u64>,
    speed: Model,
}

impl<C: Clock> Engines<C> {
    /// Creates an empty set of engines.
    pub fn new(clock: C, client: Client) -> Engines<C> {
        Engines { clock, client, inner: Mutex::default(), changed: Notify::new() }
    }

    /// Applies the engines of a settings version. Engines that stay at the same address keep their
    /// state.
    pub fn apply(&self, tree: &Tree) {
        let mut inner = self.inner.lock().unwrap();
        let fleet = &tree.fleet;
        inner.bytes_per_token =
            fleet.models.iter().map(|(id, m)| (id.clone(), m.bytes_per_token)).collect();
        inner.engines.retain(|id, local| {
            fleet.engines.get(id).is_some_and(|e| e.address == local.entry.address)
        });
        for (id, entry) in &fleet.engines {
            match inner.engines.get_mut(id) {
                Some(local) => local.entry = entry.clone(),
                None => {
                    let local = self.local(entry);
                    inner.engines.insert(id.clone(), local);
                }
            }
        }
        drop(inner);
        self.changed.notify_waiters();
    }

    fn local(&self, entry: &schema::Engine) -> Local {
        Local {
            entry: entry.clone(),
            client: HttpEngine::new(self.client.clone(), &entry.address),
            own: Load::default(),
            flights: HashMap::new(),
            speed: Model::default(),
            speed_updated_at: self.clock.now(),
            health: Health::default(),
            affinity: Table::default(),
            home: None,
            leaving_at: None,
        }
    }

    /// Notifies when a choice may have a different result. Call it before choosing, so that no
    /// change is missed.
    pub fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }

    /// The client of an engine.
    pub fn client(&self, engine: &id::Upstream) -> Option<HttpEngine> {
        self.inner.lock().unwrap().engines.get(engine).map(|l| l.client.clone())
    }

    /// The largest memory of an engine of the model, and the total memory of its engines.
    pub fn memory(&self, model: &id::Model) -> (Tokens, Tokens) {
        let inner = self.inner.lock().unwrap();
        let serving = inner.engines.values().filter(|l| l.entry.models.contains(model));
        let sizes: Vec<Tokens> = serving.map(|l| Tokens(l.entry.memory_tokens)).collect();
        (sizes.iter().copied().max().unwrap_or_default(), sizes.into_iter().sum())
    }

    /// This VM's own load on each engine that has any.
    pub fn loads(&self) -> BTreeMap<id::Upstream, Load> {
        let inner = self.inner.lock().unwrap();
        let busy = inner.engines.iter().filter(|(_, l)| l.own != Load::default());
        busy.map(|(id, l)| (id.clone(), l.own)).collect()
    }

    /// Merges the states of engines announced by their home.
    pub fn merge_states(&self, states: &[State]) {
        let now = self.clock.now();
        let mut inner = self.inner.lock().unwrap();
        for state in states {
            let Some(local) = inner.engines.get_mut(&state.engine) else { continue };
            local.home = Some((state.clone(), now));
        }
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Records an indication that an engine is leaving. Returns whether it did not count as leaving
    /// before.
    pub fn mark_leaving(&self, engine: &id::Upstream) -> bool {
        let now = self.clock.now();
        let mut inner = self.inner.lock().unwrap();
        let Some(local) = inner.engines.get_mut(engine) else { return false };
        let is_new = !local.is_leaving(now);
        local.leaving_at = Some(now);
        is_new
    }

    /// The engines that this VM announces as leaving, from recent indications of its own.
    pub fn announced_leaving(&self) -> Vec<id::Upstream> {
        let now = self.clock.now();
        let inner = self.inner.lock().unwrap();
        let is_recent =
            |l: &Local| l.leaving_at.is_some_and(|at| now < at + LEAVING_ANNOUNCE_WINDOW);
        let leaving = inner.engines.iter().filter(|(_, l)| is_recent(l));
        leaving.map(|(id, _)| id.clone()).collect()
    }

    /// Records that an engine sends nothing, which is evidence of a failure.
    pub fn on_silence(&self, engine: &id::Upstream) {
        let now = self.clock.now();
        self.update(engine, |local| local.health.on_failure(now));
    }

    /// Records that an engine sends events again.
    pub fn on_events(&self, engine: &id::Upstream) {
        self.update(engine, |local| local.health.on_success());
    }

    /// Records that another engine went on with the answer of a silent one, whose prefix cache may be lost.
    pub fn on_superseded(&self, engine: &id::Upstream) {
        self.update(engine, |local| local.affinity.clear());
    }

    /// Chooses an engine and counts the request as load on it.
    pub fn choose(self: &Arc<Self>, query: &EngineQuery<'_>) -> Chosen<C> {
        let now = self.clock.now();
        let mut guard = self.inner.lock().unwrap();
        let inner = &mut *guard;
        let candidates = inner.candidates(query, now);
        if candidates.is_empty() {
            return Chosen::None;
        }
        let route = query.policy.route;
        let requirements = &query.requirements;
        let Some(choice) = inner.routes.choose(route, requirements, &candidates, &mut rand::rng())
        else {
            return no_eligible_engine(&candidates, requirements);
        };
        let candidate = &candidates[choice.index];
        let flight = self.start_flight(inner, query, candidate, choice.compared, now);
        Chosen::Engine(Box::new(flight))
    }

    /// Decays the speed samples of engines that were not used for a while.
    pub fn decay_speeds(&self) {
        let now = self.clock.now();
        let mut inner = self.inner.lock().unwrap();
        for local in
            inner.engines.values_mut().filter(|l| now >= l.speed_updated_at + DECAY_INTERVAL)
        {
            local.speed.decay();
            local.speed_updated_at = now;
        }
    }

    /// Whether another engine may take the request and is predicted to produce its first token
    /// within `seconds`. If the request has an open attempt at each of them, nothing is predicted: their overdue first
    /// tokens are those of the request itself.
    pub fn has_faster(&self, query: &EngineQuery<'_>, than: &id::Upstream, seconds: f64) -> bool {
        let candidates = self.candidates(query);
        let others = candidates.iter().filter(|c| c.engine != *than);
        others
            .filter(|c| c.blocked_by(&query.requirements).is_none())
            .any(|c| query.open.contains(&c.engine) || c.predict(&query.requirements) < seconds)
    }

    /// Assigns the request to an engine that another VM chose. `None` if it cannot be used here.
    pub fn assign(
        self: &Arc<Self>,
        query: &EngineQuery<'_>,
        engine: &id::Upstream,
    ) -> Option<Flight<C>> {
        let now = self.clock.now();
        let mut guard = self.inner.lock().unwrap();
        let inner = &mut *guard;
        let candidates = inner.candidates(query, now);
        let candidate = candidates.iter().find(|c| c.engine == *engine)?;
        let compared = vec![candidate.snapshot(&query.requirements, 0.0)];
        Some(self.start_flight(inner, query, candidate, compared, now))
    }

    /// The candidates for a request, for a home that decides on a grant.
    pub fn candidates(&self, query: &EngineQuery<'_>) -> Vec<Candidate> {
        self.inner.lock().unwrap().candidates(query, self.clock.now())
    }

    fn start_flight(
        self: &Arc<Self>,
        inner: &mut Inner,
        query: &EngineQuery<'_>,
        candidate: &Candidate,
        compared: Vec<Snapshot>,
        now: Instant,
    ) -> Flight<C> {
        let requirements = &query.requirements;
        let uncached = requirements.prompt - candidate.cached;
        let load = Load::of(requirements.class, uncached, requirements.memory);
        let predicted = candidate.predict(requirements);
        inner.next_slot += 1;
        let slot = inner.next_slot;
        let local = inner.engines.get_mut(&candidate.engine).expect("candidates are engines");
        local.own = local.own.plus(load);
        local.flights.insert(slot, Pending { sent: now, predicted, class: requirements.class });
        local.health.on_sent();
        Flight {
            client: local.client.clone(),
            engines: self.clone(),
            engine: candidate.engine.clone(),
            slot,
            load,
            work: candidate.work(requirements),
            blocks: query.blocks.to_vec(),
            predicted,
            compared,
            sent: now,
            bytes_per_token: inner.bytes_per_token.get(query.model).copied().unwrap_or(4),
        }
    }

    fn update<R>(&self, engine: &id::Upstream, f: impl FnOnce(&mut Local) -> R) -> Option<R> {
        let result = self.inner.lock().unwrap().engines.get_mut(engine).map(f);
        self.changed.notify_waiters();
        result
    }

    /// State of the engines for a dump.
    pub fn dump(&self) -> BTreeMap<id::Upstream, Dump> {
        let now = self.clock.now();
        let inner = self.inner.lock().unwrap();
        let dump = |l: &Local| Dump {
            own: l.own,
            fleet: l.fleet(now),
            leaving: l.is_leaving(now),
            usable: l.health.is_usable(now),
            home_age_ms: l.home.as_ref().map(|(_, at)| (now - *at).as_millis() as u64),
            speed: l.speed.clone(),
        };
        inner.engines.iter().map(|(id, l)| (id.clone(), dump(l))).collect()
    }
}

/// The result if no candidate may take the request: why the best of them may not.
fn no_eligible_engine<C: Clock>(
    candidates: &[Candidate],
    requirements: &Requirements,
) -> Chosen<C> {
    let predicted = |c: &&Candidate| c.predict(requirements);
    let best = candidates.iter().min_by(|a, b| predicted(a).total_cmp(&predicted(b)));
    Chosen::Wait {
        cause: best.and_then(|c| c.blocked_by(requirements)).unwrap_or(Cause::Engines),
        predicted: best.map_or(0.0, |c| c.predict(requirements)),
    }
}

impl Inner {
    fn candidates(&self, query: &EngineQuery<'_>, now: Instant) -> Vec<Candidate> {
        let bytes = self.bytes_per_token.get(query.model).copied().unwrap_or(4);
        let ids = self.usable(query, now);
        let mut found: Vec<Candidate> = hash::ranked(query.model.as_str(), ids.iter().copied())
            .into_iter()
            .enumerate()
            .map(|(rank, id)| self.engines[id].candidate(id, query, rank as u32, bytes, now))
            .collect();
        shuffle(&mut found);
        found
    }

    /// The engines that can serve the request. Engines that failed recently, or failed this
    /// request, are excluded as long as there are others.
    fn usable(&self, query: &EngineQuery<'_>, now: Instant) -> Vec<&id::Upstream> {
        let serving: Vec<(&id::Upstream, &Local)> = self
            .engines
            .iter()
            .filter(|(_, l)| l.entry.models.contains(query.model))
            .filter(|(_, l)| query.requirements.memory.0 <= l.entry.memory_tokens)
            .filter(|(_, l)| !l.is_leaving(now))
            .collect();
        let rank = |(id, l): &(&id::Upstream, &Local)| {
            (query.open.contains(id), query.avoid.contains(id), !l.health.is_usable(now))
        };
        let Some(best) = serving.iter().map(rank).min() else { return Vec::new() };
        serving.iter().filter(|s| rank(s) == best).map(|(id, _)| *id).collect()
    }
}

/// Shuffles the candidates, so that ties in score are broken at random.
fn shuffle(candidates: &mut [Candidate]) {
    use rand::seq::SliceRandom;
    candidates.shuffle(&mut rand::rng());
}

impl Local {
    fn candidate(
        &self,
        id: &id::Upstream,
        query: &EngineQuery<'_>,
        long_rank: u32,
        bytes_per_token: u32,
        now: Instant,
    ) -> Candidate {
        let cached = self.affinity.cached(query.blocks, now, bytes_per_token);
        let max_cached = query.requirements.prompt.saturating_sub(Tokens(1));
        Candidate {
            engine: id.clone(),
            own: self.own,
            fleet: self.fleet(now),
            report: self.home.as_ref().and_then(|(state, _)| state.reported),
            cached: cached.min(max_cached),
            memory: Tokens(self.entry.memory_tokens),
            speed: self.speed.clone(),
            overdue_s: self.overdue_s(query.requirements.class, now),
            long_rank,
        }
    }

    /// Load from all VMs: from the others as announced by the home, and the current load of this
    /// VM.
    fn fleet(&self, now: Instant) -> Load {
        match &self.home {
            Some((state, at)) if now < *at + HOME_STATE_TTL => {
                state.load.minus(state.receiver_load).plus(self.own)
            }
            _ => self.own,
        }
    }

    /// Longest time in seconds by which the first token of a request of this or a shorter class is
    /// overdue.
    fn overdue_s(&self, class: Class, now: Instant) -> f64 {
        let late = |p: &Pending| (now - p.sent).as_secs_f64() - p.predicted;
        let before = self.flights.values().filter(|p| p.class <= class);
        before.map(late).fold(0.0, f64::max)
    }

    fn is_leaving(&self, now: Instant) -> bool {
        let home_leaving_at =
            self.home.as_ref().filter(|(state, _)| state.leaving).map(|(_, at)| *at);
        self.leaving_at.max(home_leaving_at).is_some_and(|at| now < at + LEAVING_TTL)
    }
}
