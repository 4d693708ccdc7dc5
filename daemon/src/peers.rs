//! Connections to peers: one task per peer opens a connection, exchanges heartbeats on it and keeps
//! it for calls. Also serves the calls that peers make to this VM.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use foldlock_base::event::Event;
use foldlock_base::id;
use foldlock_connection::peer::{self, Connection};
use foldlock_connection::wire::{
    Claim, Grant, GrantRequest, Heartbeat, Member, Peer, Settings, Verdict,
};
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

/// Interval of heartbeats with a peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a heartbeat exchange.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay before reconnecting to a peer.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);

/// How often the set of peers is updated if no change is notified.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Table {
    connections: HashMap<id::Vm, Connection>,
    tasks: HashMap<id::Vm, (String, AbortHandle)>,
}

/// The connections to peers, and the tasks that keep them.
#[derive(Default)]
pub struct Peers {
    table: Mutex<Table>,
    exchange_now: Notify,
}

impl Peers {
    /// The connection to a peer, if it is connected.
    pub fn get(&self, vm: &id::Vm) -> Option<Connection> {
        self.table.lock().unwrap().connections.get(vm).cloned()
    }

    /// The connections to all connected peers.
    pub fn all(&self) -> Vec<Connection> {
        self.table.lock().unwrap().connections.values().cloned().collect()
    }

    /// Number of peers with which heartbeats are exchanged.
    pub fn count(&self) -> usize {
        self.table.lock().unwrap().tasks.len()
    }

    /// Makes the task of each peer exchange a heartbeat at once.
    pub fn exchange_now(&self) {
        self.exchange_now.notify_waiters();
    }

    fn set(&self, vm: &id::Vm, connection: Option<Connection>) {
        let mut table = self.table.lock().unwrap();
        match connection {
            Some(connection) => table.connections.insert(vm.clone(), connection),
            None => table.connections.remove(vm),
        };
    }
}

/// Runs one task per peer that this VM needs.
pub async fn run(process: Arc<Process>) {
    loop {
        let changed = process.members.changed();
        let targets = process.members.targets(&needed(&process));
        update_tasks(&process, &targets);
        let _ = tokio::time::timeout(POLL_INTERVAL, changed).await;
    }
}

/// The VMs that this VM has to reach: the homes of its shards and limits, and the writer of claims.
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

fn update_tasks(process: &Arc<Process>, targets: &[Member]) {
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
            let task = tokio::spawn(maintain(process.clone(), target.clone())).abort_handle();
            tasks.insert(target.vm.clone(), (target.address.clone(), task));
        }
    }
}

/// Keeps a connection to a peer until the task is aborted.
async fn maintain(process: Arc<Process>, peer: Member) {
    loop {
        if let Ok(connection) = peer::connect(&peer.address).await {
            exchange_until_lost(&process, &peer.vm, connection).await;
            process.peers.set(&peer.vm, None);
        }
        if let Some(transition) = process.members.mark_down_if_silent(&peer.vm) {
            process.log_transition(&transition);
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

async fn exchange_until_lost(process: &Arc<Process>, vm: &id::Vm, connection: Connection) {
    loop {
        let requested = process.peers.exchange_now.notified();
        let mut context = Context::current();
        context.deadline = std::time::Instant::now() + HEARTBEAT_TIMEOUT;
        process.metrics.peer_calls.inc();
        let Ok(answer) = connection.exchange(context, process.heartbeat(vm)).await else { return };
        if answer.from.vm != *vm {
            return;
        }
        process.peers.set(vm, Some(connection.clone()));
        process.on_heartbeat(&answer, Some(&connection));
        let _ = tokio::time::timeout(HEARTBEAT_INTERVAL, requested).await;
    }
}

/// Handler of the calls of one peer.
#[derive(Clone)]
pub struct Server {
    process: Arc<Process>,
}

/// Serves a connection that a peer opened, until it is closed.
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
    async fn exchange(self, _: Context, heartbeat: Heartbeat) -> Heartbeat {
        let connection = self.process.peers.get(&heartbeat.from.vm);
        self.process.on_heartbeat(&heartbeat, connection.as_ref());
        self.process.heartbeat(&heartbeat.from.vm)
    }

    async fn grant(self, _: Context, shard: String, ask: GrantRequest) -> Grant {
        crate::group::grant(&self.process, &shard, &ask).await
    }

    async fn claim(self, _: Context, shard: u32, claims: Vec<Claim>) -> Vec<Verdict> {
        self.process.claims.write_here(shard, claims).await
    }

    async fn settings(self, _: Context, known: Vec<String>) -> Settings {
        let version = self.process.current.get();
        let known: Vec<Hash> = known.into_iter().map(Hash).collect();
        let is_missing = |(hash, text): (Hash, Arc<str>)| {
            (!known.contains(&hash)).then(|| (hash.0, text.to_string()))
        };
        let texts = version.texts_by_hash().into_iter().filter_map(is_missing).collect();
        Settings { head: version.head.clone(), texts }
    }
}

impl Process {
    /// The heartbeat for a peer.
    pub fn heartbeat(&self, to: &id::Vm) -> Heartbeat {
        let live = self.members.live();
        let shards = self.shards();
        let homed_at = |vm: &id::Vm| -> Vec<&Shard> {
            let is_home = |s: &&Shard| home::home_of(s, &live).is_some_and(|m| m.vm == *vm);
            shards.iter().filter(is_home).collect()
        };
        let theirs: Vec<&id::Upstream> =
            homed_at(to).into_iter().flat_map(|s| &s.engines).collect();
        let mut loads = self.engines.loads();
        loads.retain(|engine, _| theirs.contains(&engine));
        let demand = self.limits.demand();
        let demand = demand.into_iter().filter(|(n, _)| self.limit_home(n).as_ref() == Some(to));
        Heartbeat {
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

    /// The states of the engines that a peer uses and whose home is this VM.
    fn states_for(&self, to: &id::Vm, own: &[&Shard]) -> Vec<foldlock_connection::wire::State> {
        let Some(peer) = self.members.get(to) else { return Vec::new() };
        let shards = self.shards();
        let used = home::used_shards(&peer, &shards);
        let engines: Vec<id::Upstream> =
            own.iter().filter(|s| used.contains(s)).flat_map(|s| s.engines.clone()).collect();
        self.home.states(&engines, to)
    }

    /// Handles a peer's heartbeat.
    pub fn on_heartbeat(self: &Arc<Self>, heartbeat: &Heartbeat, connection: Option<&Connection>) {
        let from = &heartbeat.from.vm;
        if let Some(transition) = self.members.on_heartbeat(&heartbeat.from) {
            self.log_transition(&transition);
        }
        for member in &heartbeat.members {
            if let Some(transition) = self.members.merge(member) {
                self.log_transition(&transition);
            }
        }
        self.home.merge_loads(from, &heartbeat.loads);
        self.engines.merge_states(&heartbeat.states);
        for engine in &heartbeat.leaving {
            self.home.mark_leaving(engine);
        }
        self.limits.set_quotas(&heartbeat.quota);
        let quota: BTreeMap<_, _> = {
            let version = self.current.get();
            self.limits.allocate(&version.tree, from, &heartbeat.demand)
        };
        self.quotas.lock().unwrap().insert(from.clone(), quota);
        if self.current.should_fetch(heartbeat.version)
            && let Some(connection) = connection
        {
            self.fetcher.fetch(self, connection.clone());
        }
    }

    /// Logs a change of a member's state.
    pub fn log_transition(&self, transition: &Transition) {
        let (event, vm) = match transition {
            Transition::Up(vm) => (Event::PeerUp, vm),
            Transition::Down(vm) => (Event::PeerDown, vm),
            Transition::Leaving(vm) => (Event::PeerLeaving, vm),
        };
        log::event(&self.log, event, vm);
    }

    /// Handles an indication, received by this VM itself, that an upstream is leaving.
    pub fn upstream_leaving(&self, engine: &id::Upstream) {
        self.home.mark_leaving(engine);
        if self.engines.mark_leaving(engine) {
            log::event(&self.log, Event::UpstreamLeaving, engine);
            self.peers.exchange_now();
        }
    }

    /// The home of a limit: the VM that allocates it.
    pub fn limit_home(&self, name: &str) -> Option<id::Vm> {
        let live = self.members.live();
        crate::members::owner_of(&format!("limit/{name}"), live.iter()).map(|m| m.vm.clone())
    }
}
