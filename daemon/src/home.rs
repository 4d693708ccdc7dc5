//! Shards of engines and their homes.
//!
//! The engines of a model in a data hall are divided into shards. One VM, chosen by rendezvous
//! hashing among the live VMs of the hall, is a shard's home: it alone polls the engines' reports,
//! sums the load that all VMs announce, and handles grant requests for long prompts. All of this is
//! soft state: with two homes or none, placement is worse but still safe, since an engine refuses
//! what it cannot take.

use std::collections::{BTreeMap, HashMap};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use foldlock_base::clock::Clock;
use foldlock_base::{hash, id};
use foldlock_connection::engine::Report;
use foldlock_connection::wire::{Load, Member, Reported, State};
use foldlock_version::schema::Fleet;

use crate::engines::LEAVING_TTL;
use crate::members::owner_of;

/// Maximum number of engines in a shard.
pub const MAX_SHARD_ENGINES: usize = 24;

/// Maximum number of shards of a model that a VM uses, those of its own hall first.
pub const MAX_USED_SHARDS: usize = 4;

/// How long an announced load is valid.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(3);

/// Maximum time for which a grant counts as load; it ends when the VM announces the request itself.
const GRANT_TTL: Duration = Duration::from_millis(600);

/// How long a report is valid.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// A shard of engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shard {
    /// `HALL/MODEL/NUMBER`.
    pub name: String,
    /// The data hall of its engines.
    pub hall: id::Hall,
    /// The model: the first in the list of each of its engines.
    pub model: id::Model,
    /// Ids of its engines.
    pub engines: Vec<id::Upstream>,
}

/// Divides the engines of a fleet into shards.
pub fn shards(fleet: &Fleet) -> Vec<Shard> {
    let mut groups: BTreeMap<(id::Hall, id::Model), Vec<id::Upstream>> = BTreeMap::new();
    for (id, engine) in &fleet.engines {
        if let Some(model) = engine.models.first() {
            groups.entry((engine.hall.clone(), model.clone())).or_default().push(id.clone());
        }
    }
    groups
        .into_iter()
        .flat_map(|((hall, model), engines)| partition(&hall, &model, &engines))
        .collect()
}

fn partition(hall: &id::Hall, model: &id::Model, engines: &[id::Upstream]) -> Vec<Shard> {
    let count = engines.len().div_ceil(MAX_SHARD_ENGINES);
    let size = engines.len().div_ceil(count.max(1));
    let shard = |(i, part): (usize, &[id::Upstream])| Shard {
        name: format!("{hall}/{model}/{i}"),
        hall: hall.clone(),
        model: model.clone(),
        engines: part.to_vec(),
    };
    engines.chunks(size.max(1)).enumerate().map(shard).collect()
}

/// The home of a shard: a VM of its hall, or of any hall if its own has none.
pub fn home_of<'a>(shard: &Shard, live: &'a [Member]) -> Option<&'a Member> {
    let near = live.iter().filter(|m| m.hall == shard.hall);
    owner_of(&shard.name, near).or_else(|| owner_of(&shard.name, live))
}

/// The shards that a VM uses: for each model those of its own hall first, then others, both in the
/// order of a rendezvous hash of the VM's name, so that VMs are distributed evenly over shards.
pub fn used_shards<'a>(own: &Member, shards: &'a [Shard]) -> Vec<&'a Shard> {
    let mut models: Vec<&id::Model> = shards.iter().map(|s| &s.model).collect();
    models.sort();
    models.dedup();
    let mut chosen = Vec::new();
    for model in models {
        let mut serving: Vec<&Shard> = shards.iter().filter(|s| s.model == *model).collect();
        let rank = |s: &&Shard| hash::weight(own.vm.as_str(), &s.name);
        serving.sort_by_key(|s| (s.hall != own.hall, std::cmp::Reverse(rank(s))));
        let near = serving.iter().filter(|s| s.hall == own.hall).count();
        // At least one shard is of another hall, for requests when the own hall is full.
        let keep_near = near.min(MAX_USED_SHARDS - 1);
        let far = serving.split_off(near);
        chosen.extend(serving.into_iter().take(keep_near));
        chosen.extend(far.into_iter().take(MAX_USED_SHARDS - keep_near));
    }
    chosen
}

struct Announced {
    load: Load,
    at: Instant,
}

struct Granted {
    engine: id::Upstream,
    vm: id::Vm,
    load: Load,
    at: Instant,
}

#[derive(Default)]
struct Inner {
    announced: HashMap<id::Upstream, HashMap<id::Vm, Announced>>,
    granted: Vec<Granted>,
    reports: HashMap<id::Upstream, (Report, Instant)>,
    leaving: HashMap<id::Upstream, Instant>,
}

/// This VM's state as the home of shards.
pub struct Home<C> {
    clock: C,
    inner: Mutex<Inner>,
}

impl<C: Clock> Home<C> {
    /// Creates an empty state.
    pub fn new(clock: C) -> Home<C> {
        Home { clock, inner: Mutex::default() }
    }

    /// Merges a VM's announcement of its load on the engines of this home. It replaces the VM's
    /// previous announcement.
    pub fn merge_loads(&self, vm: &id::Vm, loads: &BTreeMap<id::Upstream, Load>) {
        let now = self.clock.now();
        let mut inner = self.inner.lock().unwrap();
        for by_vm in inner.announced.values_mut() {
            by_vm.remove(vm);
        }
        for (engine, load) in loads {
            let by_vm = inner.announced.entry(engine.clone()).or_default();
            by_vm.insert(vm.clone(), Announced { load: *load, at: now });
        }
        inner.granted.retain(|g| g.vm != *vm || now < g.at + GRANT_TTL / 2);
    }

    /// Handles an engine's report. Returns whether the engine newly reports that it is leaving. A
    /// report that it is not leaving removes the mark only if the previous report said that it was,
    /// since a report may be older than other indications.
    pub fn on_report(&self, engine: &id::Upstream, report: Report) -> bool {
        let now = self.clock.now();
        let mut inner = self.inner.lock().unwrap();
        let was_leaving = inner.reports.get(engine).is_some_and(|(old, _)| old.leaving);
        let leaving = report.leaving;
        if leaving {
            inner.leaving.insert(engine.clone(), now);
        } else if was_leaving {
            inner.leaving.remove(engine);
        }
        inner.reports.insert(engine.clone(), (report, now));
        leaving && !was_leaving
    }

    /// Marks an engine as leaving after an indication of it, from this VM or a peer.
    pub fn mark_leaving(&self, engine: &id::Upstream) {
        self.inner.lock().unwrap().leaving.insert(engine.clone(), self.clock.now());
    }

    /// Records a grant of an engine for a long prompt of a VM.
    pub fn record_grant(&self, engine: &id::Upstream, vm: &id::Vm, load: Load) {
        let at = self.clock.now();
        let mut inner = self.inner.lock().unwrap();
        inner.granted.push(Granted { engine: engine.clone(), vm: vm.clone(), load, at });
    }

    /// The states of engines, as announced to one VM.
    pub fn states(&self, engines: &[id::Upstream], receiver: &id::Vm) -> Vec<State> {
        let now = self.clock.now();
        let mut inner = self.inner.lock().unwrap();
        inner.granted.retain(|g| now < g.at + GRANT_TTL);
        engines.iter().map(|e| inner.state(e, receiver, now)).collect()
    }

    /// The newest report of an engine, if it is still valid.
    pub fn report(&self, engine: &id::Upstream) -> Option<Report> {
        let now = self.clock.now();
        let inner = self.inner.lock().unwrap();
        let (report, at) = inner.reports.get(engine)?;
        (now < *at + REPORT_TTL).then(|| report.clone())
    }
}

impl Inner {
    fn state(&self, engine: &id::Upstream, receiver: &id::Vm, now: Instant) -> State {
        let mut load = Load::default();
        let mut receiver_load = Load::default();
        for (vm, announced) in self.announced.get(engine).into_iter().flatten() {
            if now >= announced.at + ANNOUNCEMENT_TTL {
                continue;
            }
            load = load.plus(announced.load);
            if vm == receiver {
                receiver_load = announced.load;
            }
        }
        for granted in self.granted.iter().filter(|g| g.engine == *engine && g.vm != *receiver) {
            load = load.plus(granted.load);
        }
        let fresh = self.reports.get(engine).filter(|(_, at)| now < *at + REPORT_TTL);
        State {
            engine: engine.clone(),
            reported: fresh.map(|(r, _)| Reported {
                prefill: r.prefill,
                requests: r.running.saturating_add(r.waiting),
                used: r.used,
            }),
            load,
            receiver_load,
            leaving: self.leaving.get(engine).is_some_and(|at| now < *at + LEAVING_TTL),
        }
    }
}
