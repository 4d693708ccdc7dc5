//! One task for each peer: opens a connection, exchanges heartbeats and keeps the connection for
//! calls. And the calls that peers make here.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use foldlock_base::event::Event;
use foldlock_base::id;
use foldlock_connection::peer::{self, Connection};
use foldlock_connection::wire::{Ask, Beat, Claim, Grant, Member, Peer, Settings, Verdict};
use foldlock_version::head::Hash;
use futures::StreamExt;
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use crate::home::{self, Shard};
use crate::log;
use crate::members::Transition;
use crate::process::Process;

/// How often heartbeats are exchanged with a peer.
pub const BEAT: Duration = Duration::from_millis(200);

/// How long an exchange waits for its answer.
const BEAT_TIMEOUT: Duration = Duration::from_millis(800);

/// How long it takes until a lost peer is tried again.
const RECONNECT: Duration = Duration::from_millis(300);

/// How often the set of peers is looked over, if nothing changes.
const LOOK: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Table {
    connections: HashMap<id::Vm, Connection>,
    tasks: HashMap<id::Vm, (String, AbortHandle)>,
}

/// The connections to peers.
#[derive(Default)]
pub struct Peers {
    table: Mutex<Table>,
    kick: Notify,
}

impl Peers {
    /// The connection to a peer, while there is one.
    pub fn get(&self, vm: &id::Vm) -> Option<Connection> {
        self.table.lock().unwrap().connections.get(vm).cloned()
    }

    /// All connections.
    pub fn all(&self) -> Vec<Connection> {
        self.table.lock().unwrap().connections.values().cloned().collect()
    }

    /// Peers that heartbeats are exchanged with.
    pub fn count(&self) -> usize {
        self.table.lock().unwrap().tasks.len()
    }

    /// Makes each peer's task exchange at once.
    pub fn kick(&self) {
        self.kick.notify_waiters();
    }

    fn set(&self, vm: &id::Vm, connection: Option<Connection>) {
        let mut table = self.table.lock().unwrap();
        match connection {
            Some(connection) => table.connections.insert(vm.clone(), connection),
            None => table.connections.remove(vm),
        };
    }
}

/// Keeps one task for each peer that is needed.
pub async fn run(process: Arc<Process>) {
    loop {
        let changed = process.members.changed();
        let targets = process.members.targets(&needed(&process));
        adjust(&process, &targets);
        let _ = tokio::time::timeout(LOOK, changed).await;
    }
}

/// The VMs that this one has to reach: homes of shards and limits, and the writer of claims.
fn needed(process: &Process) -> Vec<id::Vm> {
    let live = process.members.live();
    let shards = process.shards();
    let own = process.members.own();
    let mut needed: Vec<id::Vm> = home::used_shards(&own, &shards)
        .into_iter()
        .filter_map(|s| home::home_of(s, &live))
        .map(|m| m.vm.clone())
        .collect();
    needed.extend(process.limits.demand().keys().filter_map(|n| process.limit_home(n)));
    needed.extend(process.claims.writer(&live));
    needed.sort();
    needed.dedup();
    needed
}

fn adjust(process: &Arc<Process>, targets: &[Member]) {
    let mut table = process.peers.table.lock().unwrap();
    let Table { tasks, connections } = &mut *table;
    tasks.retain(|vm, (address, task)| {
        let kept = targets.iter().any(|t| t.vm == *vm && t.address == *address);
        if !kept {
            task.abort();
            connections.remove(vm);
        }
        kept
    });
    for target in targets {
        if !tasks.contains_key(&target.vm) {
            let task = tokio::spawn(keep(process.clone(), target.clone())).abort_handle();
            tasks.insert(target.vm.clone(), (target.address.clone(), task));
        }
    }
}

/// Keeps a connection to a peer for as long as it is needed.
async fn keep(process: Arc<Process>, peer: Member) {
    loop {
        if let Ok(connection) = peer::connect(&peer.address).await {
            exchange_until_lost(&process, &peer.vm, connection).await;
            process.peers.set(&peer.vm, None);
        }
        if let Some(transition) = process.members.mark_down_if_silent(&peer.vm) {
            process.tell(&transition);
        }
        tokio::time::sleep(RECONNECT).await;
    }
}

async fn exchange_until_lost(process: &Arc<Process>, vm: &id::Vm, connection: Connection) {
    loop {
        let kicked = process.peers.kick.notified();
        let mut context = Context::current();
        context.deadline = std::time::Instant::now() + BEAT_TIMEOUT;
        process.metrics.peer_calls.inc();
        let Ok(answer) = connection.exchange(context, process.beat(vm)).await else { return };
        if answer.from.vm != *vm {
            return;
        }
        process.peers.set(vm, Some(connection.clone()));
        process.take(&answer, Some(&connection));
        let _ = tokio::time::timeout(BEAT, kicked).await;
    }
}

/// Serves the calls of one peer.
#[derive(Clone)]
pub struct Server {
    process: Arc<Process>,
}

/// Serves a connection that a peer opened, until it ends.
pub async fn serve(process: Arc<Process>, channel: peer::Served) {
    let server = Server { process };
    channel
        .execute(server.serve())
        .for_each(|call| async move {
            tokio::spawn(call);
        })
        .await;
}

impl Peer for Server {
    async fn exchange(self, _: Context, beat: Beat) -> Beat {
        let connection = self.process.peers.get(&beat.from.vm);
        self.process.take(&beat, connection.as_ref());
        self.process.beat(&beat.from.vm)
    }

    async fn grant(self, _: Context, shard: String, ask: Ask) -> Grant {
        crate::group::grant(&self.process, &shard, &ask).await
    }

    async fn claim(self, _: Context, shard: u32, claims: Vec<Claim>) -> Vec<Verdict> {
        self.process.claims.write_here(shard, claims).await
    }

    async fn settings(self, _: Context, known: Vec<String>) -> Settings {
        let version = self.process.current.get();
        let known: Vec<Hash> = known.into_iter().map(Hash).collect();
        let lacks = |(hash, text): (Hash, Arc<str>)| {
            (!known.contains(&hash)).then(|| (hash.0, text.to_string()))
        };
        let texts = version.by_hash().into_iter().filter_map(lacks).collect();
        Settings { head: version.head.clone(), texts }
    }
}

impl Process {
    /// The heartbeat for a peer.
    pub fn beat(&self, to: &id::Vm) -> Beat {
        let live = self.members.live();
        let shards = self.shards();
        let homed_at = |vm: &id::Vm| -> Vec<&Shard> {
            let of = |s: &&Shard| home::home_of(s, &live).is_some_and(|m| m.vm == *vm);
            shards.iter().filter(of).collect()
        };
        let theirs: Vec<&id::Upstream> =
            homed_at(to).into_iter().flat_map(|s| &s.engines).collect();
        let mut loads = self.engines.loads();
        loads.retain(|engine, _| theirs.contains(&engine));
        let demand = self.limits.demand();
        let demand = demand.into_iter().filter(|(n, _)| self.limit_home(n).as_ref() == Some(to));
        Beat {
            from: self.members.own(),
            version: self.current.number(),
            members: self.members.announcements(),
            loads,
            states: self.states_for(to, &homed_at(&self.members.own().vm)),
            demand: demand.collect(),
            quota: self.quotas.lock().unwrap().remove(to).unwrap_or_default(),
            leaving: self.engines.announced_leaving(),
        }
    }

    /// The states of the engines whose home this VM is and that a peer uses.
    fn states_for(&self, to: &id::Vm, own: &[&Shard]) -> Vec<foldlock_connection::wire::State> {
        let Some(peer) = self.members.get(to) else { return Vec::new() };
        let shards = self.shards();
        let used = home::used_shards(&peer, &shards);
        let engines: Vec<id::Upstream> =
            own.iter().filter(|s| used.contains(s)).flat_map(|s| s.engines.clone()).collect();
        self.home.states(&engines, to)
    }

    /// Takes a peer's heartbeat.
    pub fn take(self: &Arc<Self>, beat: &Beat, connection: Option<&Connection>) {
        let from = &beat.from.vm;
        if let Some(transition) = self.members.on_heartbeat(&beat.from) {
            self.tell(&transition);
        }
        for member in &beat.members {
            if let Some(transition) = self.members.merge(member) {
                self.tell(&transition);
            }
        }
        self.home.merge_loads(from, &beat.loads);
        self.engines.merge_states(&beat.states);
        for engine in &beat.leaving {
            self.home.mark_leaving(engine);
        }
        self.limits.told(&beat.quota);
        let quota: BTreeMap<_, _> = {
            let version = self.current.get();
            self.limits.split(&version.tree, from, &beat.demand)
        };
        self.quotas.lock().unwrap().insert(from.clone(), quota);
        if self.current.wants(beat.version)
            && let Some(connection) = connection
        {
            self.follow.fetch(self, connection.clone());
        }
    }

    /// Logs news of a member.
    pub fn tell(&self, transition: &Transition) {
        let (event, vm) = match transition {
            Transition::Up(vm) => (Event::MemberUp, vm),
            Transition::Down(vm) => (Event::MemberDown, vm),
            Transition::Leaving(vm) => (Event::MemberLeaving, vm),
        };
        log::event(&self.log, event, vm);
    }

    /// Takes a sign of this VM's own that an upstream is leaving.
    pub fn upstream_leaving(&self, engine: &id::Upstream) {
        self.home.mark_leaving(engine);
        if self.engines.mark_leaving(engine) {
            log::event(&self.log, Event::UpstreamLeaving, engine);
            self.peers.kick();
        }
    }

    /// The home of a limit.
    pub fn limit_home(&self, name: &str) -> Option<id::Vm> {
        let live = self.members.live();
        crate::members::owner_of(&format!("limit/{name}"), live.iter()).map(|m| m.vm.clone())
    }
}
