//! The state that all tasks of a fleet VM's process share.

mod guard;
mod listings;
mod settings;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, RwLock};
use std::time::{Duration, Instant};

use foldlock_base::clock::{Moment, Suspensions, System};
use foldlock_base::prelude::*;
use foldlock_connection::channel::Pool;
use foldlock_request::backoff::Backoffs;
use foldlock_request::budget::Affiliation;
use foldlock_request::cluster::Cluster;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::{Member, Settings};
use foldlock_request::message::Number;
use foldlock_request::promise;
use foldlock_request::reachability::Reachability;
use foldlock_request::revision::Revision;
use foldlock_request::ring::Ring;
use foldlock_request::scheduler::Scheduler;
use foldlock_request::step::Steps;
use slog::Logger;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::fleet::compression::Cache;
use crate::fleet::config::Config;
use crate::fleet::freshness::Freshness;
use crate::fleet::log_throttle::{self, Throttle};
use crate::fleet::metrics::Metrics;
use crate::fleet::peers::Peers;
use crate::fleet::pending_grants;
use crate::fleet::tunnels::Tunnels;
use crate::fleet::unread;
use crate::fleet::unreadable;
use crate::fleet::unsent;
use crate::fleet::withdrawals::Withdrawals;
use crate::fleet::write_queue;
pub use guard::Guard;

/// Request records kept in memory: one minute at 8 requests per second, less than 1 MB.
const MAX_RECORDS: usize = 512;

/// Share of the stop timeout in which new requests are still accepted. They arrive on connections
/// that the platform opened before it noticed that this VM is not ready, which takes about 2 of 8 s.
/// A long stream of 5 s that starts in this time ends before the process is killed.
const ACCEPT_SHARE: f64 = 0.3;

/// Interval between checks for expired idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The shared state of one process.
pub struct Process<D: Dialect> {
    /// The configuration.
    pub config: Config,
    /// The directory entry of this VM.
    pub member: Member,
    /// The clock.
    pub clock: System,
    /// Detects that the machine was suspended.
    pub suspensions: Suspensions,
    /// Notified after the machine was suspended.
    pub after_suspension: Notify,
    /// The log.
    pub log: Logger,
    /// Throttle of log lines of successful decisions.
    pub routine_lines: Throttle,
    /// Throttle of log lines of rejections, failures and retries.
    pub problem_lines: Throttle,
    /// Throttle of log lines of requests that the scheduler rejected by forecasts.
    pub overload_lines: Throttle,
    /// Throttle of log lines of the scheduler's other decisions by forecasts.
    pub scheduling_lines: Throttle,
    /// Throttle of log lines of single changes in the directory.
    pub listing_lines: Throttle,
    /// The metrics.
    pub metrics: Metrics,
    /// The newest request records.
    pub ring: Ring,
    /// The age of the settings.
    pub freshness: Freshness,
    /// The socket for heartbeats and other datagrams between peers.
    pub socket: UdpSocket,
    /// The upstreams and their in-flight attempts.
    pub cluster: Mutex<Cluster>,
    /// Places the requests of the VMs whose scheduler this one is. Locked before `cluster`.
    pub scheduler: Mutex<Scheduler>,
    /// The scheduler that accounts for this VM's share of the fleet's retry budget.
    pub affiliation: Mutex<Affiliation>,
    /// Grant requests of this VM without a reply.
    pub pending_grants: pending_grants::Table,
    /// Promised return times of rejected callers of this VM.
    pub promises: Mutex<promise::Received>,
    /// Notified when the cluster state changes such that a queued request may get a placement.
    pub cluster_changed: Notify,
    /// Notified when a crash is added to the crash log.
    pub crash_logged: Notify,
    /// Notified when a part of prompts is quarantined.
    pub quarantine_changed: Notify,
    /// Notified when the state of this VM is to be announced to peers.
    pub announce: Notify,
    /// Whether the next announcement goes at once to all peers that requested heartbeats.
    pub announce_to_all: AtomicBool,
    /// Idle connections to upstreams.
    pub pool: Pool,
    /// Idle connections for orders and report requests.
    pub call_pool: Pool,
    /// Which upstreams this VM reaches itself.
    pub reachability: Mutex<Reachability>,
    /// Tunnels to upstreams through peers, and those carried for peers.
    pub tunnels: Tunnels,
    /// Client for reservations of engine memory.
    pub memory: D::Memory,
    /// Client for the engines' reports.
    pub reports: D::Reports,
    /// Upstreams that requested a backoff of this VM.
    pub backoffs: Mutex<Backoffs>,
    /// The settings, compressed for peers.
    pub compressed_settings: Cache,
    /// The listings, compressed for peers.
    pub compressed_listing: Cache,
    /// The latest changes of the listings that this VM read from the directory.
    pub steps: Mutex<Steps>,
    /// Revision and digest of the listings that were last compared with a peer's full listings.
    pub last_compared: Mutex<Option<(Revision, u64)>>,
    /// Responses that their callers have not read completely.
    pub unread: Arc<unread::Buffers>,
    /// Request bodies that are held for upstreams, and responses that are collected.
    pub unsent: Arc<unsent::Bodies>,
    /// Directory entries that cannot be decoded.
    pub unreadable: unreadable::Entries,
    /// Pending writes to the directory, such as entries of quarantined requests.
    pub directory_writes: write_queue::Queue,
    /// Stopping VMs whose directory entries this VM withdraws for them.
    pub withdrawals: Withdrawals,
    /// The other VMs.
    pub peers: Peers,
    /// The directory revision up to which changes of the listings have been received.
    revision: Mutex<Revision>,
    /// When it was last detected that the directory was restored from an older copy.
    restored: Mutex<Option<Instant>>,
    /// Whether this VM watches the directory itself; if so, it ignores listings that peers announce.
    pub watching: AtomicBool,
    /// Whether this VM has registered itself in the directory.
    pub registered: AtomicBool,
    /// Cancelled when the process receives the signal to stop.
    pub stopping: CancellationToken,
    /// Cancelled shortly before the process exits: requests without a response get an error response.
    pub aborting: CancellationToken,
    /// Cancelled when the process has to end because a panic has poisoned its state.
    pub failed: CancellationToken,
    /// When the process received the signal to stop.
    pub stop_requested: OnceLock<Instant>,
    /// The tasks of callers' connections and of streams to callers.
    pub tasks: TaskTracker,
    settings: RwLock<Option<Arc<Settings>>>,
    /// Notified when settings come into force, and when settings are first confirmed.
    settings_changed: Notify,
    next_request: AtomicU64,
}

impl<D: Dialect> Process<D> {
    /// A process without settings, listings or peers.
    pub fn new(config: Config, socket: UdpSocket, log: Logger) -> Process<D> {
        let clock = System;
        let member = Member {
            vm: config.vm.clone(),
            hall: config.hall.to_string(),
            address: config.fleet.peers,
            incarnation: clock.wall_millis(),
            millicores: config.fleet.millicores(),
        };
        Process {
            peers: Peers::new(member.clone(), clock.now(), clock.moment()),
            member,
            socket,
            suspensions: Suspensions::new(&clock),
            after_suspension: Notify::new(),
            clock,
            log,
            routine_lines: Throttle::new(log_throttle::ROUTINE_PER_S, clock.now()),
            problem_lines: Throttle::new(log_throttle::PROBLEM_PER_S, clock.now()),
            overload_lines: Throttle::new(log_throttle::SCHEDULING_PER_S, clock.now()),
            scheduling_lines: Throttle::new(log_throttle::SCHEDULING_PER_S, clock.now()),
            listing_lines: Throttle::new(log_throttle::LISTING_PER_S, clock.now()),
            metrics: Metrics::default(),
            ring: Ring::new(MAX_RECORDS),
            freshness: Freshness::new(config.fleet.max_settings_age()),
            cluster: Mutex::default(),
            scheduler: Mutex::new(Scheduler::new(config.fleet.budget(), config.fleet.scheduling)),
            affiliation: Mutex::default(),
            pending_grants: pending_grants::Table::default(),
            promises: Mutex::default(),
            cluster_changed: Notify::new(),
            crash_logged: Notify::new(),
            quarantine_changed: Notify::new(),
            announce: Notify::new(),
            announce_to_all: AtomicBool::new(false),
            pool: Pool::default(),
            call_pool: Pool::default(),
            reachability: Mutex::default(),
            tunnels: Tunnels::new(config.fleet.memory()),
            memory: D::Memory::default(),
            reports: D::Reports::default(),
            backoffs: Mutex::default(),
            compressed_settings: Cache::default(),
            compressed_listing: Cache::default(),
            steps: Mutex::default(),
            last_compared: Mutex::default(),
            unread: unread::Buffers::new(config.fleet.memory()),
            unsent: unsent::Bodies::new(config.fleet.memory()),
            unreadable: unreadable::Entries::default(),
            directory_writes: write_queue::Queue::default(),
            withdrawals: Withdrawals::default(),
            revision: Mutex::default(),
            restored: Mutex::default(),
            watching: AtomicBool::new(false),
            registered: AtomicBool::new(false),
            stopping: CancellationToken::new(),
            aborting: CancellationToken::new(),
            failed: CancellationToken::new(),
            stop_requested: OnceLock::new(),
            tasks: TaskTracker::new(),
            settings: RwLock::new(None),
            settings_changed: Notify::new(),
            next_request: AtomicU64::new(0),
            config,
        }
    }

    /// The current time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The current time on a clock that includes the time for which the machine was suspended.
    pub fn moment(&self) -> Moment {
        self.clock.moment()
    }

    /// Announces the state of this VM at once to all peers that requested heartbeats.
    pub fn announce_to_all(&self) {
        self.announce_to_all.store(true, Ordering::Relaxed);
        self.announce.notify_one();
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, upstream: &id::Upstream) {
        self.pool.remove(upstream);
        self.call_pool.remove(upstream);
    }

    /// Whether this VM accepts new connections: it has sufficiently fresh settings and is not stopping.
    pub fn ready(&self) -> bool {
        let moment = self.moment();
        !self.stopping.is_cancelled()
            && self.version() > 0
            && self.freshness.accepts_connections(moment)
    }

    /// Whether a task has panicked while it held a lock of the state that all requests share. Each later use of that lock
    /// panics as well.
    pub fn is_poisoned(&self) -> bool {
        self.cluster.is_poisoned()
            || self.scheduler.is_poisoned()
            || self.affiliation.is_poisoned()
            || self.promises.is_poisoned()
            || self.reachability.is_poisoned()
            || self.backoffs.is_poisoned()
            || self.steps.is_poisoned()
            || self.last_compared.is_poisoned()
            || self.revision.is_poisoned()
            || self.restored.is_poisoned()
            || self.settings.is_poisoned()
            || self.pool.is_poisoned()
            || self.call_pool.is_poisoned()
            || self.peers.is_poisoned()
            || self.pending_grants.is_poisoned()
    }

    /// Whether a stop has progressed so far that a new request might not end before the process is killed.
    pub fn rejects_new_requests(&self) -> bool {
        let accept_time = self.config.fleet.stop_timeout().mul_f64(ACCEPT_SHARE);
        self.stop_requested
            .get()
            .is_some_and(|at| self.now().saturating_duration_since(*at) > accept_time)
    }

    /// A generated id for a request whose own id is missing or invalid.
    pub fn request_id(&self) -> id::Request {
        let next = self.next_request.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}-{:x}-{next:x}", self.member.vm, self.member.incarnation);
        text.parse().expect("consists of allowed characters")
    }

    /// The number that identifies a request of this VM in messages to peers.
    pub fn request_number(&self, number: u64) -> Number {
        Number { incarnation: self.member.incarnation, number }
    }

    /// A unique id for a reservation of engine memory, never reused.
    pub fn reservation_id(&self) -> String {
        self.request_id().to_string()
    }
}

/// Closes expired idle connections until the process stops.
pub async fn sweep<D: Dialect>(process: Arc<Process<D>>) {
    while !process.stopping.is_cancelled() {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        process.pool.remove_expired(process.now());
        process.call_pool.remove_expired(process.now());
    }
}
