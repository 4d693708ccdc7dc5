//! The process: what all tasks share, and how it starts.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use foldlock_base::clock::{Clock, System};
use foldlock_base::event::Event;
use foldlock_base::id;
use foldlock_connection::http::Client;
use foldlock_connection::kv::HttpStore;
use foldlock_connection::vms::{HttpList, List};
use foldlock_connection::wire::{Member, Quota};
use foldlock_request::fair::Queue;
use foldlock_request::retry::Budget;
use foldlock_request::ring::Ring;
use foldlock_version::policy::Class;
use slog::Logger;
use tokio::net::TcpListener;

use crate::claims::Claims;
use crate::config::Config;
use crate::current::Current;
use crate::drain::Drain;
use crate::engines::Engines;
use crate::follow::Follow;
use crate::home::{self, Home, Shard};
use crate::limits::Limits;
use crate::log;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::peers::{self, Peers};
use crate::{follow, listen};

/// How often the list of VMs is read.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// How often a home reads the reports of its engines.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// How long an engine may be silent before it is logged.
const REPORT_SILENT: u32 = 3;

/// The queues in which requests wait, by model and class of length, so that a long prompt that
/// waits holds up no shorter one.
type Queues = HashMap<(id::Model, Class), Arc<Queue>>;

/// What all tasks of a process share.
pub struct Process {
    /// What it is.
    pub config: Config,
    /// The clock.
    pub clock: System,
    /// The log.
    pub log: Logger,
    /// The metrics.
    pub metrics: Metrics,
    /// The client of all connections to upstreams.
    pub client: Client,
    /// The key-value service.
    pub store: HttpStore,
    /// The settings in force.
    pub current: Current,
    /// Following the settings.
    pub follow: Follow,
    /// The VMs.
    pub members: Members<System>,
    /// The connections to them.
    pub peers: Peers,
    /// The engines.
    pub engines: Arc<Engines<System>>,
    /// What this VM knows as the home of shards.
    pub home: Home<System>,
    /// The limits.
    pub limits: Limits<System>,
    /// Quotas that go out with the next heartbeats.
    pub quotas: Mutex<HashMap<id::Vm, BTreeMap<String, Quota>>>,
    /// The claims of idempotency keys.
    pub claims: Claims,
    /// The servers of plain services.
    pub servers: crate::plain::Servers,
    /// The records of requests.
    pub ring: Ring,
    /// The budget of retries.
    pub budget: Budget<System>,
    /// Stopping.
    pub drain: Drain,
    shards: RwLock<Arc<Vec<Shard>>>,
    queues: Mutex<Queues>,
    next_request: AtomicU64,
    listed_leaving: Mutex<Vec<id::Upstream>>,
    store_down: AtomicBool,
    /// Whether the first settings have reached all parts that follow from them.
    applied: AtomicBool,
}

/// A process that serves.
pub struct Running {
    /// What its tasks share.
    pub process: Arc<Process>,
    /// Where callers connect.
    pub listen: std::net::SocketAddr,
    /// Where peers and operators connect.
    pub control: std::net::SocketAddr,
}

/// Starts a process: binds its listeners and spawns its tasks.
pub async fn start(config: Config, log: Logger) -> std::io::Result<Running> {
    let callers = TcpListener::bind(config.listen).await?;
    let control = TcpListener::bind(config.control).await?;
    let listen_address = callers.local_addr()?;
    let control_address = control.local_addr()?;
    let process = Arc::new(Process::new(config, log, control_address));
    tokio::spawn(listen::callers(process.clone(), callers));
    tokio::spawn(listen::control(process.clone(), control));
    tokio::spawn(follow::run(process.clone()));
    tokio::spawn(follow::apply(process.clone()));
    tokio::spawn(peers::run(process.clone()));
    tokio::spawn(read_list(process.clone()));
    tokio::spawn(read_reports(process.clone()));
    tokio::spawn(tell_self(process.clone()));
    tokio::spawn(crate::claims::run(process.clone()));
    let what = format!("listen {listen_address}, control {control_address}");
    log::event(&process.log, Event::Started, what);
    Ok(Running { process, listen: listen_address, control: control_address })
}

impl Process {
    fn new(config: Config, log: Logger, control: std::net::SocketAddr) -> Process {
        let clock = System;
        let client = Client::default();
        let store = HttpStore::new(client.clone(), &config.kv.to_string());
        let own = Member {
            vm: config.vm.clone(),
            hall: config.hall.clone(),
            address: control.to_string(),
            incarnation: clock.wall_millis(),
            leaving: false,
            down: false,
        };
        Process {
            metrics: Metrics::default(),
            current: Current::default(),
            follow: Follow::default(),
            members: Members::new(clock, own),
            peers: Peers::default(),
            engines: Arc::new(Engines::new(clock, client.clone())),
            home: Home::new(clock),
            limits: Limits::new(clock),
            quotas: Mutex::default(),
            claims: Claims::new(store.clone()),
            servers: crate::plain::Servers::default(),
            ring: Ring::default(),
            budget: Budget::new(clock),
            drain: Drain::default(),
            shards: RwLock::default(),
            queues: Mutex::default(),
            next_request: AtomicU64::new(0),
            listed_leaving: Mutex::default(),
            store_down: AtomicBool::new(false),
            applied: AtomicBool::new(false),
            config,
            clock,
            log,
            client,
            store,
        }
    }

    /// The shards of the settings in force.
    pub fn shards(&self) -> Arc<Vec<Shard>> {
        self.shards.read().unwrap().clone()
    }

    /// Takes what follows from a settings version.
    pub fn apply(&self) {
        let version = self.current.get();
        self.engines.apply(&version.tree);
        *self.shards.write().unwrap() = Arc::new(home::shards(&version.tree.fleet));
        self.metrics.version.set(version.head.version as i64);
        if version.head.version > 0 {
            self.applied.store(true, Ordering::Release);
        }
    }

    /// A new request id, unique over VMs and restarts.
    pub fn request_id(&self) -> id::Request {
        let next = self.next_request.fetch_add(1, Ordering::Relaxed);
        let own = self.members.own();
        let id = format!("{}-{:x}-{next:x}", own.vm, own.incarnation);
        id.parse().expect("made of allowed characters")
    }

    /// The queue of a model.
    pub fn queue(&self, model: &id::Model, class: Class) -> Arc<Queue> {
        self.queues.lock().unwrap().entry((model.clone(), class)).or_default().clone()
    }

    /// Logs when the key-value service stops or begins to answer.
    pub fn store_answers(&self, answers: bool) {
        if self.store_down.swap(!answers, Ordering::Relaxed) == answers {
            let event = if answers { Event::StoreUp } else { Event::StoreDown };
            log::event(&self.log, event, self.config.kv);
        }
    }

    /// Whether this VM can serve: its settings are applied and it is not stopping.
    pub fn ready(&self) -> bool {
        self.applied.load(Ordering::Acquire) && !self.drain.stopping()
    }

    /// Whether a server of a plain service is listed as leaving.
    pub fn is_listed_leaving(&self, upstream: &id::Upstream) -> bool {
        self.listed_leaving.lock().unwrap().contains(upstream)
    }
}

/// Reads the platform's list again and again.
async fn read_list(process: Arc<Process>) {
    let list = HttpList::new(process.client.clone(), &process.config.vms.to_string());
    loop {
        if let Ok(listing) = list.read().await {
            process.members.merge_listing(&listing);
            let leaving: Vec<id::Upstream> = listing
                .upstreams
                .iter()
                .filter(|u| u.leaving)
                .filter_map(|u| u.name.parse().ok())
                .collect();
            for upstream in &leaving {
                process.upstream_leaving(upstream);
            }
            *process.listed_leaving.lock().unwrap() = leaving;
        }
        let alone = process.members.is_alone();
        tokio::time::sleep(if alone { LIST_INTERVAL / 8 } else { LIST_INTERVAL }).await;
    }
}

/// As a home, reads the reports of the engines of its shards, one task for each engine.
async fn read_reports(process: Arc<Process>) {
    let mut tasks: HashMap<id::Upstream, tokio::task::JoinHandle<()>> = HashMap::new();
    loop {
        let own = process.members.own().vm;
        let live = process.members.live();
        let shards = process.shards();
        let homed = shards.iter().filter(|s| home::home_of(s, &live).is_some_and(|m| m.vm == own));
        let engines: Vec<&id::Upstream> = homed.flat_map(|s| &s.engines).collect();
        tasks.retain(|engine, task| {
            let kept = engines.contains(&engine) && !task.is_finished();
            if !kept {
                task.abort();
            }
            kept
        });
        for engine in engines {
            if !tasks.contains_key(engine) {
                let task = tokio::spawn(read_report(process.clone(), engine.clone()));
                tasks.insert(engine.clone(), task);
            }
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

async fn read_report(process: Arc<Process>, engine: id::Upstream) {
    use foldlock_connection::engine::Engine as _;
    let mut silent = 0;
    while let Some(client) = process.engines.client(&engine) {
        match client.report().await {
            Ok(report) => {
                if silent >= REPORT_SILENT {
                    log::event(&process.log, Event::UpstreamUp, &engine);
                }
                silent = 0;
                if process.home.on_report(&engine, report) {
                    log::event(&process.log, Event::UpstreamLeaving, &engine);
                    process.peers.exchange_now();
                }
            }
            Err(e) => {
                silent += 1;
                if silent == REPORT_SILENT {
                    log::event(&process.log, Event::UpstreamDown, format!("{engine}: {e}"));
                }
            }
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

/// A VM is a user of the shards and limits whose home it is: it exchanges with itself.
async fn tell_self(process: Arc<Process>) {
    loop {
        let own = process.members.own();
        let live = process.members.live();
        let shards = process.shards();
        let is_home = |s: &&&Shard| home::home_of(s, &live).is_some_and(|m| m.vm == own.vm);
        let used = home::used_shards(&own, &shards);
        let engines: Vec<id::Upstream> =
            used.iter().filter(is_home).flat_map(|s| s.engines.clone()).collect();
        let mut loads = process.engines.loads();
        loads.retain(|engine, _| engines.contains(engine));
        process.home.merge_loads(&own.vm, &loads);
        process.engines.merge_states(&process.home.states(&engines, &own.vm));
        let demand = process.limits.demand().into_iter();
        let demand = demand.filter(|(n, _)| process.limit_home(n).as_ref() == Some(&own.vm));
        let version = process.current.get();
        let quotas = process.limits.split(&version.tree, &own.vm, &demand.collect());
        process.limits.told(&quotas);
        process.engines.decay_speeds();
        tokio::time::sleep(peers::HEARTBEAT_INTERVAL / 2).await;
    }
}
