//! What all tasks of a process on a fleet's VM share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, RwLock};
use std::time::{Duration, Instant};

use foldlock_base::clock::{Moment, Sleep, System};
use foldlock_base::prelude::*;
use foldlock_connection::channel::Pool;
use foldlock_request::backoff::Backoffs;
use foldlock_request::budget::Affiliation;
use foldlock_request::cluster::Cluster;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::{Listing, Member, Settings};
use foldlock_request::flight::Flight;
use foldlock_request::message::Number;
use foldlock_request::revision::Revision;
use foldlock_request::ring::Ring;
use foldlock_request::scheduler::Scheduler;
use foldlock_request::step::Steps;
use slog::Logger;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::fleet::config::Config;
use crate::fleet::fresh::Fresh;
use crate::fleet::metrics::Metrics;
use crate::fleet::packed::Kept;
use crate::fleet::peers::Peers;
use crate::fleet::questions::Questions;
use crate::fleet::register::Register;
use crate::fleet::unread::Unread;
use crate::fleet::unreadable::Unreadable;
use crate::fleet::volume::{self, Volume};
use crate::fleet::withdrawals::Withdrawals;
use crate::log;

/// How long a VM counts as just started: many that start together have their settings by then.
const STARTING: Duration = Duration::from_millis(500);

/// Records of requests that are kept: a minute's worth at 8 requests a second, under 1 MB.
const RECORDS: usize = 512;

/// The part of the time to stop in, in which requests are still taken: those that come on
/// connections opened before the platform has seen that this VM is not ready, some 2 of 8 s. A long
/// stream, of 5 s, then ends before the kill.
const SERVED_STOPPING: f64 = 0.3;

/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);

/// The process.
pub struct Process<D: Dialect> {
    /// What it is.
    pub config: Config,
    /// How peers know it.
    pub member: Member,
    /// The clock.
    pub clock: System,
    /// Whether the machine was suspended.
    pub sleep: Sleep,
    /// Told when it was.
    pub woke: Notify,
    /// The log.
    pub log: Logger,
    /// The bound on lines of decisions that went well.
    pub routine_lines: Volume,
    /// The bound on lines of refusals, failures and repeats.
    pub trouble_lines: Volume,
    /// The bound on single lines of what the directory lists.
    pub listing_lines: Volume,
    /// The metrics.
    pub metrics: Metrics,
    /// The records of requests.
    pub ring: Ring,
    /// How old the settings are.
    pub fresh: Fresh,
    /// Where peers are told and heard.
    pub socket: UdpSocket,
    /// The upstreams and what is under way there.
    pub cluster: Mutex<Cluster>,
    /// What places the requests of the VMs that ask this one; locked before the cluster state.
    pub scheduler: Mutex<Scheduler>,
    /// The scheduler that holds this VM's share of the fleet's retry budget.
    pub affiliation: Mutex<Affiliation>,
    /// The requests of this VM that ask for a placement.
    pub questions: Questions,
    /// Told when something in the cluster state ends or begins, so that what waits may have a placement.
    pub room: Notify,
    /// Told when peers are to hear of it.
    pub tell: Notify,
    /// Whether all that want to hear are to be told at once.
    pub tell_all: AtomicBool,
    /// Idle connections to upstreams.
    pub pool: Pool,
    /// The engines' memory.
    pub memory: D::Memory,
    /// The engines' reports.
    pub reports: D::Reports,
    /// Upstreams that asked this VM for a rest.
    pub backoffs: Mutex<Backoffs>,
    /// The settings as peers read them.
    pub packed_settings: Kept,
    /// The listings as peers read them.
    pub packed_listing: Kept,
    /// What changed in the listings of late, as this VM saw it at the directory.
    pub steps: Mutex<Steps>,
    /// The listings, by their revision and digest, that were compared with a peer's as a whole.
    pub compared: Mutex<Option<(Revision, u64)>>,
    /// Answers that their callers have not read to the end.
    pub unread: Arc<Unread>,
    /// Entries of the directory that name nothing to use.
    pub unreadable: Unreadable,
    /// What the directory is to be told of requests that are held.
    pub register: Register,
    /// VMs that stop, to be withdrawn for them.
    pub withdrawals: Withdrawals,
    /// The other VMs.
    pub peers: Peers,
    /// The directory's revision up to which listings are known.
    at: Mutex<Revision>,
    /// When it was last noticed that the directory has come back from an older copy of itself.
    restored: Mutex<Option<Instant>>,
    /// Whether the directory itself answers this VM; if so, what peers tell of listings is left.
    pub watching: AtomicBool,
    /// Whether this VM has listed itself.
    pub listed: AtomicBool,
    /// Cancelled at the signal to stop.
    pub stopping: CancellationToken,
    /// Cancelled when the process is about to end and what has no answer yet gets its last one.
    pub ending: CancellationToken,
    /// When the signal to stop came.
    pub stopped: OnceLock<Instant>,
    /// The callers' connections and the streams that are passed on.
    pub tasks: TaskTracker,
    settings: RwLock<Option<Arc<Settings>>>,
    /// Notified when settings are in force, and when they are first confirmed.
    applied: Notify,
    next_request: AtomicU64,
}

/// An attempt's entry in the cluster state; it is removed when this is dropped, however the attempt ends.
pub struct Entered<D: Dialect> {
    process: Arc<Process<D>>,
    number: u64,
}

impl<D: Dialect> Process<D> {
    /// A process that has heard nothing yet.
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
            sleep: Sleep::new(&clock),
            woke: Notify::new(),
            clock,
            log,
            routine_lines: Volume::new(volume::ROUTINE, clock.now()),
            trouble_lines: Volume::new(volume::TROUBLE, clock.now()),
            listing_lines: Volume::new(volume::LISTING, clock.now()),
            metrics: Metrics::default(),
            ring: Ring::new(RECORDS),
            fresh: Fresh::new(config.fleet.settings_age()),
            cluster: Mutex::default(),
            scheduler: Mutex::new(Scheduler::new(config.fleet.budget())),
            affiliation: Mutex::default(),
            questions: Questions::default(),
            room: Notify::new(),
            tell: Notify::new(),
            tell_all: AtomicBool::new(false),
            pool: Pool::default(),
            memory: D::Memory::default(),
            reports: D::Reports::default(),
            backoffs: Mutex::default(),
            packed_settings: Kept::default(),
            packed_listing: Kept::default(),
            steps: Mutex::default(),
            compared: Mutex::default(),
            unread: Unread::new(config.fleet.memory()),
            unreadable: Unreadable::default(),
            register: Register::default(),
            withdrawals: Withdrawals::default(),
            at: Mutex::default(),
            restored: Mutex::default(),
            watching: AtomicBool::new(false),
            listed: AtomicBool::new(false),
            stopping: CancellationToken::new(),
            ending: CancellationToken::new(),
            stopped: OnceLock::new(),
            tasks: TaskTracker::new(),
            settings: RwLock::new(None),
            applied: Notify::new(),
            next_request: AtomicU64::new(0),
            config,
        }
    }

    /// The time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The same with the time for which the machine was suspended.
    pub fn moment(&self) -> Moment {
        self.clock.moment()
    }

    /// The settings in force.
    pub fn settings(&self) -> Option<Arc<Settings>> {
        self.settings.read().unwrap().clone()
    }

    /// Waits for the first settings while this VM has just started: they are on the way, and a request that
    /// is refused is late by the time at which it comes back.
    pub async fn started(&self) {
        self.wait_at_start(|| self.version() > 0).await;
    }

    /// Waits during startup until the settings are confirmed: those of a peer arrive before the heartbeat that confirms
    /// them. Returns whether they are.
    pub async fn first_confirmed(&self) -> bool {
        let is_confirmed = || self.version() > 0 && self.fresh.holds(self.moment());
        self.wait_at_start(is_confirmed).await;
        is_confirmed()
    }

    /// Waits for a condition on the settings until startup is over.
    async fn wait_at_start(&self, is_met: impl Fn() -> bool) {
        let left = STARTING.saturating_sub(self.peers.age(self.now()));
        let met = async {
            loop {
                let changed = self.applied.notified();
                if is_met() {
                    return;
                }
                changed.await;
            }
        };
        // The caller checks the condition again.
        let _ = tokio::time::timeout(left, met).await;
    }

    /// Records that the settings in force were the newest at this moment.
    pub fn confirm(&self, at: Moment) {
        let is_first = self.fresh.age(at).is_none();
        self.fresh.confirm(at);
        if is_first {
            self.applied.notify_waiters();
        }
    }

    /// The number of the settings version in force; 0 before there is one.
    pub fn version(&self) -> u64 {
        self.settings.read().unwrap().as_ref().map_or(0, |s| s.table.number())
    }

    /// Takes settings that are newer than those in force; others are left.
    pub fn take_settings(&self, settings: Settings, from: &str) {
        let number = settings.table.number();
        let mut current = self.settings.write().unwrap();
        if current.as_ref().is_some_and(|c| c.table.number() >= number) {
            return;
        }
        *current = Some(Arc::new(settings));
        drop(current);
        self.applied.notify_waiters();
        self.metrics.version.set(number as i64);
        log::event(&self.log, Event::VersionInForce, format!("version {number} from {from}"));
        self.tell_all();
    }

    /// Tells all that want to hear, at once.
    pub fn tell_all(&self) {
        self.tell_all.store(true, Ordering::Relaxed);
        self.tell.notify_one();
    }

    /// Whether new connections are welcome.
    pub fn ready(&self) -> bool {
        let moment = self.moment();
        !self.stopping.is_cancelled() && self.version() > 0 && self.fresh.welcomes(moment)
    }

    /// Whether a stop is so far on that a new request could not be finished before the kill.
    pub fn closing(&self) -> bool {
        let left = self.config.fleet.stop().mul_f64(SERVED_STOPPING);
        self.stopped.get().is_some_and(|at| self.now().saturating_duration_since(*at) > left)
    }

    /// The directory's revision up to which listings are known; none before the first.
    pub fn at(&self) -> Revision {
        *self.at.lock().unwrap()
    }

    /// Listings are known up to this revision. Answers what was known before.
    pub fn known_to(&self, revision: Revision) -> Revision {
        let mut at = self.at.lock().unwrap();
        let before = *at;
        *at = before.max(revision);
        before
    }

    /// The directory has come back from an older copy of itself.
    pub fn note_restored(&self) {
        *self.restored.lock().unwrap() = Some(self.now());
    }

    /// When the directory came back from a copy, if that is not longer ago than `within`.
    pub fn restored(&self, within: Duration) -> Option<Instant> {
        let at = (*self.restored.lock().unwrap())?;
        (self.now().saturating_duration_since(at) < within).then_some(at)
    }

    /// What this VM knows of the directory.
    pub fn listing(&self) -> Listing {
        let cluster = self.cluster.lock().unwrap();
        let upstreams = cluster.peer_listings(self.now()).collect();
        let held = cluster.quarantined().cloned().collect();
        let halls = cluster.halls().clone();
        drop(cluster);
        let members = self.peers.members();
        Listing { revision: self.at(), upstreams, members, quarantined: held, halls }
    }

    /// An id for a request whose own cannot be used.
    pub fn request_id(&self) -> id::Request {
        let next = self.next_request.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}-{:x}-{next:x}", self.member.vm, self.member.incarnation);
        text.parse().expect("made of allowed characters")
    }

    /// A request of this VM, as it is named to others.
    pub fn numbered(&self, number: u64) -> Number {
        Number { incarnation: self.member.incarnation, number }
    }

    /// A name for memory that is set aside, never used again.
    pub fn ticket(&self) -> String {
        self.request_id().to_string()
    }

    /// The configuration file may have changed.
    pub fn reload(&self) {
        let read = self.config.file.as_deref().map(crate::config::read_fleet);
        let what = match read {
            Some(Ok(fleet)) => {
                self.scheduler.lock().unwrap().budget.set(fleet.budget());
                "the figures of the retry budget were read again".to_owned()
            }
            Some(Err(e)) => format!("the old configuration stays: {e}"),
            None => "there is no configuration file".to_owned(),
        };
        log::event(&self.log, Event::Reloaded, what);
    }

    /// Enters an attempt in the cluster state. The VM that gave its placement knows of it, the others hear with
    /// the next beat.
    pub fn enter(self: &Arc<Self>, number: u64, flight: Flight) -> Entered<D> {
        self.cluster.lock().unwrap().begin_attempt(number, flight, self.now());
        self.tell.notify_one();
        Entered { process: self.clone(), number }
    }

    /// Something of this VM ended or began at an upstream.
    fn moved(&self) {
        self.room.notify_one();
        self.tell.notify_one();
    }
}

impl<D: Dialect> Entered<D> {
    /// The first event has come.
    pub fn began(&self) {
        self.process.cluster.lock().unwrap().record_first_event(self.number, self.process.now());
        self.process.moved();
    }
}

impl<D: Dialect> Drop for Entered<D> {
    fn drop(&mut self) {
        self.process.cluster.lock().unwrap().end_attempt(self.number, self.process.now());
        self.process.moved();
    }
}

/// Closes idle connections in time.
pub async fn sweep<D: Dialect>(process: Arc<Process<D>>) {
    while !process.stopping.is_cancelled() {
        tokio::time::sleep(SWEEP).await;
        process.pool.remove_expired(process.now());
    }
}
