//! The serving process: its shared state and its start.

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
use foldlock_version::head::Head;
use foldlock_version::policy::Class;
use foldlock_version::tree::Texts;
use slog::Logger;
use tokio::net::TcpListener;

use crate::claims::Claims;
use crate::config::Config;
use crate::current::{Current, Outcome, Version};
use crate::drain::Drain;
use crate::engines::Engines;
use crate::home::{self, Home, Shard};
use crate::limits::Limits;
use crate::log;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::peers::{self, Peers};
use crate::watch::Fetcher;
use crate::{listen, watch};

/// Interval at which the VM list is read.
const LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which a home polls its engines' reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Number of consecutive failed polls after which an engine is logged as down.
const MIN_FAILED_POLLS: u32 = 3;

/// The request queues, by model and class of prompt length, so that a queued long prompt does not
/// block shorter ones.
type Queues = HashMap<(id::Model, Class), Arc<Queue>>;

/// The state shared by all tasks of the process.
pub struct Process {
    /// Configuration of the process.
    pub config: Config,
    /// The system clock.
    pub clock: System,
    /// The root logger.
    pub log: Logger,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// The HTTP client for all connections to upstreams.
    pub client: Client,
    /// Client of the key-value service.
    pub store: HttpStore,
    /// The settings version in force.
    pub current: Current,
    /// Fetches settings from peers.
    pub fetcher: Fetcher,
    /// The members: this VM and those it received heartbeats or announcements of.
    pub members: Members<System>,
    /// Connections to peers.
    pub peers: Peers,
    /// The engines and their state.
    pub engines: Arc<Engines<System>>,
    /// State of this VM as the home of shards.
    pub home: Home<System>,
    /// Limits of organisations and kinds.
    pub limits: Limits<System>,
    /// Quotas to send with the next heartbeat, by VM.
    pub quotas: Mutex<HashMap<id::Vm, BTreeMap<String, Quota>>>,
    /// Claims of idempotency keys.
    pub claims: Claims,
    /// State of the servers of plain services.
    pub servers: crate::plain::Servers,
    /// The most recent decision records.
    pub ring: Ring,
    /// The retry budget.
    pub budget: Budget<System>,
    /// State of the shutdown.
    pub drain: Drain,
    shards: RwLock<Arc<Vec<Shard>>>,
    queues: Mutex<Queues>,
    next_request: AtomicU64,
    listed_leaving: Mutex<Vec<id::Upstream>>,
    store_unavailable: AtomicBool,
}

/// A started process and its bound addresses.
pub struct Running {
    /// The state shared by its tasks.
    pub process: Arc<Process>,
    /// Bound address for callers.
    pub listen: std::net::SocketAddr,
    /// Bound address for peers and operators.
    pub control: std::net::SocketAddr,
}

/// Binds the listeners and spawns the tasks of a process.
pub async fn start(config: Config, log: Logger) -> std::io::Result<Running> {
    let callers = TcpListener::bind(config.listen).await?;
    let control = TcpListener::bind(config.control).await?;
    let listen_address = callers.local_addr()?;
    let control_address = control.local_addr()?;
    let process = Arc::new(Process::new(config, log, control_address));
    tokio::spawn(listen::serve_callers(process.clone(), callers));
    tokio::spawn(listen::serve_control(process.clone(), control));
    tokio::spawn(watch::run(process.clone()));
    tokio::spawn(peers::run(process.clone()));
    tokio::spawn(poll_vms(process.clone()));
    tokio::spawn(poll_reports(process.clone()));
    tokio::spawn(exchange_with_self(process.clone()));
    tokio::spawn(crate::claims::run(process.clone()));
    let addresses = format!("listen {listen_address}, control {control_address}");
    log::event(&process.log, Event::Started, addresses);
    Ok(Running { process, listen: listen_address, control: control_address })
}

impl Process {
    fn new(config: Config, log: Logger, control: std::net::SocketAddr) -> Process {
        let clock = System;
        let client = Client::with_keepalive();
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
            fetcher: Fetcher::default(),
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
            store_unavailable: AtomicBool::new(false),
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

    /// Puts a settings version in force once its engines and shards are known to the routing.
    pub fn advance(&self, head: Head, texts: Texts) -> Outcome {
        self.current.advance(head, texts, |version| self.apply(version))
    }

    /// Applies a settings version to engines, shards and metrics.
    fn apply(&self, version: &Version) {
        self.engines.apply(&version.tree);
        *self.shards.write().unwrap() = Arc::new(home::shards(&version.tree.fleet));
        self.metrics.settings_version.set(version.head.version as i64);
    }

    /// A new request id, unique across VMs and restarts.
    pub fn request_id(&self) -> id::Request {
        let next = self.next_request.fetch_add(1, Ordering::Relaxed);
        let own = self.members.own();
        let id = format!("{}-{:x}-{next:x}", own.vm, own.incarnation);
        id.parse().expect("made of allowed characters")
    }

    /// The queue for a model and class of prompt length.
    pub fn queue(&self, model: &id::Model, class: Class) -> Arc<Queue> {
        self.queues.lock().unwrap().entry((model.clone(), class)).or_default().clone()
    }

    /// Records whether the key-value service responds, and logs changes.
    pub fn set_store_available(&self, available: bool) {
        if self.store_unavailable.swap(!available, Ordering::Relaxed) == available {
            let event = if available { Event::StoreUp } else { Event::StoreDown };
            log::event(&self.log, event, self.config.kv);
        }
    }

    /// Whether this VM can serve: it has settings and is not shutting down.
    pub fn ready(&self) -> bool {
        self.current.number() > 0 && !self.drain.stopping()
    }

    /// Whether the platform's VM list marks an upstream as leaving.
    pub fn is_listed_leaving(&self, upstream: &id::Upstream) -> bool {
        self.listed_leaving.lock().unwrap().contains(upstream)
    }
}

/// Polls the platform's VM list.
async fn poll_vms(process: Arc<Process>) {
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

/// As a home, polls the reports of the engines of its shards, with one task per engine.
async fn poll_reports(process: Arc<Process>) {
    let mut tasks: HashMap<id::Upstream, tokio::task::JoinHandle<()>> = HashMap::new();
    loop {
        let own = process.members.own().vm;
        let live = process.members.live();
        let shards = process.shards();
        let own_shards =
            shards.iter().filter(|s| home::home_of(s, &live).is_some_and(|m| m.vm == own));
        let engines: Vec<&id::Upstream> = own_shards.flat_map(|s| &s.engines).collect();
        tasks.retain(|engine, task| {
            let keep = engines.contains(&engine) && !task.is_finished();
            if !keep {
                task.abort();
            }
            keep
        });
        for engine in engines {
            if !tasks.contains_key(engine) {
                let task = tokio::spawn(poll_engine(process.clone(), engine.clone()));
                tasks.insert(engine.clone(), task);
            }
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

async fn poll_engine(process: Arc<Process>, engine: id::Upstream) {
    use foldlock_connection::engine::Engine as _;
    let mut failed_polls = 0;
    while let Some(client) = process.engines.client(&engine) {
        match client.report().await {
            Ok(report) => {
                if failed_polls >= MIN_FAILED_POLLS {
                    log::event(&process.log, Event::UpstreamUp, &engine);
                }
                failed_polls = 0;
                if process.home.on_report(&engine, report) {
                    log::event(&process.log, Event::UpstreamLeaving, &engine);
                    process.peers.exchange_now();
                }
            }
            Err(e) => {
                failed_polls += 1;
                if failed_polls == MIN_FAILED_POLLS {
                    log::event(&process.log, Event::UpstreamDown, format!("{engine}: {e}"));
                }
            }
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

/// Exchanges loads, states, demand and quotas with this VM itself, which is also a user of the shards
/// and limits whose home it is.
async fn exchange_with_self(process: Arc<Process>) {
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
        let quotas = process.limits.allocate(&version.tree, &own.vm, &demand.collect());
        process.limits.set_quotas(&quotas);
        process.engines.decay_speeds();
        tokio::time::sleep(peers::HEARTBEAT_INTERVAL / 2).await;
    }
}
