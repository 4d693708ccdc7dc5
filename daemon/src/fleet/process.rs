//! The state that all tasks of a fleet VM's process share.

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
use foldlock_request::directory::{Listing, Member, Settings};
use foldlock_request::flight::Flight;
use foldlock_request::message::Number;
use foldlock_request::promise;
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
use crate::fleet::metrics::{Metrics, Step};
use crate::fleet::peers::Peers;
use crate::fleet::pending_grants;
use crate::fleet::unread;
use crate::fleet::unreadable;
use crate::fleet::unsent;
use crate::fleet::withdrawals::Withdrawals;
use crate::fleet::write_queue;
use crate::log;

/// Time after the start in which requests wait for settings. VMs that start together have received
/// theirs by then.
const STARTUP_WINDOW: Duration = Duration::from_millis(500);

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
    /// Notified when the state of this VM is to be announced to peers.
    pub announce: Notify,
    /// Whether the next announcement goes at once to all peers that requested heartbeats.
    pub announce_to_all: AtomicBool,
    /// Idle connections to upstreams.
    pub pool: Pool,
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
    /// When the process received the signal to stop.
    pub stop_requested: OnceLock<Instant>,
    /// The tasks of callers' connections and of streams to callers.
    pub tasks: TaskTracker,
    settings: RwLock<Option<Arc<Settings>>>,
    /// Notified when settings come into force, and when settings are first confirmed.
    settings_changed: Notify,
    next_request: AtomicU64,
}

/// Keeps an attempt in the cluster state and removes it when dropped, so that it is removed however the
/// attempt ends.
pub struct Guard<D: Dialect> {
    process: Arc<Process<D>>,
    number: u64,
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
            announce: Notify::new(),
            announce_to_all: AtomicBool::new(false),
            pool: Pool::default(),
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

    /// The settings in force, if any.
    pub fn settings(&self) -> Option<Arc<Settings>> {
        self.settings.read().unwrap().clone()
    }

    /// Waits during startup for the first settings. They arrive shortly, whereas a rejected request would
    /// miss its objective by the time the caller retries it.
    pub async fn wait_for_settings(&self) {
        self.wait_during_startup(Step::Settings, || self.version() > 0).await;
    }

    /// Waits during startup until the settings are confirmed: settings read from a peer arrive before the
    /// heartbeat that confirms them. Returns whether they are confirmed.
    pub async fn wait_for_confirmation(&self) -> bool {
        let is_confirmed = || self.version() > 0 && self.freshness.is_fresh(self.moment());
        self.wait_during_startup(Step::Confirmed, is_confirmed).await;
        is_confirmed()
    }

    /// Whether this VM has just started, so that it may still receive its first messages from peers.
    pub fn is_starting(&self) -> bool {
        self.peers.age(self.now()) < STARTUP_WINDOW
    }

    /// Waits for a condition on the settings until startup is over.
    async fn wait_during_startup(&self, step: Step, is_met: impl Fn() -> bool) {
        if self.is_starting() && !is_met() {
            self.metrics.count_startup_wait(step);
        }
        let remaining = STARTUP_WINDOW.saturating_sub(self.peers.age(self.now()));
        let met = async {
            loop {
                let changed = self.settings_changed.notified();
                if is_met() {
                    return;
                }
                changed.await;
            }
        };
        // The result is ignored: the caller checks the condition again.
        let _ = tokio::time::timeout(remaining, met).await;
    }

    /// Records that the settings in force were the newest ones at this moment. Requests here and peers
    /// that start as well may wait for the first confirmation, or for one that makes the settings fresh
    /// after an outage of the directory, so these are announced at once.
    pub fn confirm(&self, at: Moment) {
        let is_first = self.freshness.age(at).is_none();
        let was_fresh = self.freshness.is_fresh(self.moment());
        self.freshness.confirm(at);
        let becomes_fresh = !was_fresh && self.freshness.is_fresh(self.moment());
        if is_first {
            self.observe_startup(Step::Confirmed);
            let age_ms = self.moment().since(at).as_millis();
            let what = format!("version {}, confirmed as of {age_ms} ms ago", self.version());
            log::event(&self.log, Event::SettingsConfirmed, what);
        }
        if is_first || becomes_fresh {
            self.settings_changed.notify_waiters();
            self.announce_to_all();
        }
    }

    /// Observes the time from the start of the process to the first completion of a step.
    fn observe_startup(&self, step: Step) {
        self.metrics.observe_startup(step, self.peers.age(self.now()));
    }

    /// The number of the settings version in force; 0 before there is one.
    pub fn version(&self) -> u64 {
        self.settings.read().unwrap().as_ref().map_or(0, |s| s.table.number())
    }

    /// Puts settings in force if they are newer than the current ones, and ignores them otherwise.
    pub fn apply_settings(&self, settings: Settings, from: &str) {
        let number = settings.table.number();
        let mut current = self.settings.write().unwrap();
        if current.as_ref().is_some_and(|c| c.table.number() >= number) {
            return;
        }
        let previous = current.replace(Arc::new(settings));
        drop(current);
        self.settings_changed.notify_waiters();
        self.metrics.settings_version.set(number as i64);
        log::event(&self.log, Event::VersionInForce, format!("version {number} from {from}"));
        if previous.is_none() {
            self.observe_startup(Step::Settings);
        }
        // A peer may have confirmed this version before it came into force here.
        if let Some(at) = self.peers.confirmation(number) {
            self.confirm(at);
        }
        self.announce_to_all();
    }

    /// Announces the state of this VM at once to all peers that requested heartbeats.
    pub fn announce_to_all(&self) {
        self.announce_to_all.store(true, Ordering::Relaxed);
        self.announce.notify_one();
    }

    /// Whether this VM accepts new connections: it has sufficiently fresh settings and is not stopping.
    pub fn ready(&self) -> bool {
        let moment = self.moment();
        !self.stopping.is_cancelled()
            && self.version() > 0
            && self.freshness.accepts_connections(moment)
    }

    /// Whether a stop has progressed so far that a new request might not end before the process is killed.
    pub fn rejects_new_requests(&self) -> bool {
        let accept_time = self.config.fleet.stop_timeout().mul_f64(ACCEPT_SHARE);
        self.stop_requested
            .get()
            .is_some_and(|at| self.now().saturating_duration_since(*at) > accept_time)
    }

    /// The directory revision up to which changes of the listings have been received. Unset before the first
    /// listing.
    pub fn revision(&self) -> Revision {
        *self.revision.lock().unwrap()
    }

    /// Records that changes of the listings were received up to this revision. Returns the revision before.
    pub fn advance_revision(&self, revision: Revision) -> Revision {
        let mut current = self.revision.lock().unwrap();
        let before = *current;
        *current = before.max(revision);
        if before.is_none() && !revision.is_none() {
            self.observe_startup(Step::Listings);
        }
        before
    }

    /// Records that the directory was restored from an older copy.
    pub fn record_restored(&self) {
        *self.restored.lock().unwrap() = Some(self.now());
    }

    /// When the directory was restored from an older copy, if that was less than `within` ago.
    pub fn restored_within(&self, within: Duration) -> Option<Instant> {
        let at = (*self.restored.lock().unwrap())?;
        (self.now().saturating_duration_since(at) < within).then_some(at)
    }

    /// The listings as this VM has them: upstreams, VMs, quarantined requests and halls.
    pub fn listing(&self) -> Listing {
        let cluster = self.cluster.lock().unwrap();
        let upstreams = cluster.peer_listings(self.now()).collect();
        let quarantined = cluster.quarantined().cloned().collect();
        let halls = cluster.halls().clone();
        drop(cluster);
        let members = self.peers.members();
        Listing { revision: self.revision(), upstreams, members, quarantined, halls }
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

    /// Reads the configuration file again and applies the parameters of the retry budget and the scheduling policy; other values
    /// take effect only at a start of the process.
    pub fn reload(&self) {
        let read = self.config.file.as_deref().map(crate::config::read_fleet);
        let what = match read {
            Some(Ok(fleet)) => {
                let mut scheduler = self.scheduler.lock().unwrap();
                scheduler.budget.set(fleet.budget());
                scheduler.set_policy(fleet.scheduling);
                "retry budget parameters and scheduling policy reloaded".to_owned()
            }
            Some(Err(e)) => {
                format!("configuration file not reloaded, keeping the previous configuration: {e}")
            }
            None => "no configuration file to reload".to_owned(),
        };
        log::event(&self.log, Event::Reloaded, what);
    }

    /// Whether the policy in force admits and orders requests by forecasts. It may change with a reload.
    pub fn is_forecast(&self) -> bool {
        self.scheduler.lock().unwrap().policy().is_forecast()
    }

    /// Adds an attempt to the cluster state. The scheduler that granted its placement has recorded it already;
    /// the other VMs receive it with the next heartbeat.
    pub fn begin_attempt(self: &Arc<Self>, number: u64, flight: Flight) -> Guard<D> {
        self.cluster.lock().unwrap().begin_attempt(number, flight, self.now());
        self.announce.notify_one();
        Guard { process: self.clone(), number }
    }

    /// Notifies the scheduler and the heartbeat task that an attempt of this VM has progressed or ended.
    fn notify_change(&self) {
        self.cluster_changed.notify_one();
        self.announce.notify_one();
    }
}

impl<D: Dialect> Guard<D> {
    /// Records that the first event of the response has arrived.
    pub fn record_first_event(&self) {
        self.process.cluster.lock().unwrap().record_first_event(self.number, self.process.now());
        self.process.notify_change();
    }

    /// Records until when events show that the engine was not slow. It is announced with the next heartbeat.
    pub fn record_pace(&self, sound_until: Instant) {
        self.process.cluster.lock().unwrap().record_pace(self.number, sound_until);
    }
}

impl<D: Dialect> Drop for Guard<D> {
    fn drop(&mut self) {
        self.process.cluster.lock().unwrap().end_attempt(self.number, self.process.now());
        self.process.notify_change();
    }
}

/// Closes expired idle connections until the process stops.
pub async fn sweep<D: Dialect>(process: Arc<Process<D>>) {
    while !process.stopping.is_cancelled() {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        process.pool.remove_expired(process.now());
    }
}
