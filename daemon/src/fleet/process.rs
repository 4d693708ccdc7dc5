//! What all tasks of a process on a fleet's VM share.

use std::hash::{Hash, Hasher};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, RwLock};
use std::time::{Duration, Instant};

use foldlock_base::clock::System;
use foldlock_base::prelude::*;
use foldlock_connection::channel::Pool;
use foldlock_request::board::{Board, Flight};
use foldlock_request::budget::Budget;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::{Listing, Member, Settings};
use foldlock_request::ring::Ring;
use slog::Logger;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use xxhash_rust::xxh3::Xxh3;

use crate::fleet::config::Config;
use crate::fleet::fresh::Fresh;
use crate::fleet::metrics::Metrics;
use crate::fleet::packed::Kept;
use crate::fleet::peers::Peers;
use crate::fleet::volume::{self, Volume};
use crate::log;

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
    /// The log.
    pub log: Logger,
    /// The bound on lines of decisions that went well.
    pub routine_lines: Volume,
    /// The bound on lines of refusals, failures and repeats.
    pub trouble_lines: Volume,
    /// The metrics.
    pub metrics: Metrics,
    /// The records of requests.
    pub ring: Ring,
    /// How old the settings are.
    pub fresh: Fresh,
    /// The upstreams and what is under way there.
    pub board: Mutex<Board>,
    /// Told when something on the board ends or begins.
    pub moved: Notify,
    /// Told when peers are to hear of it.
    pub tell: Notify,
    /// Whether VMs of other halls are to hear of it at once, too.
    pub tell_all: AtomicBool,
    /// The budget of repeated attempts.
    pub budget: Mutex<Budget>,
    /// Idle connections to upstreams.
    pub pool: Pool,
    /// The engines' memory.
    pub memory: D::Memory,
    /// The engines' reports.
    pub reports: D::Reports,
    /// The settings as peers read them.
    pub packed: Kept,
    /// The other VMs.
    pub peers: Peers,
    /// The directory's revision up to which listings are known; 0 for none.
    pub at: AtomicU64,
    /// Whether the directory itself answers this VM; if so, what peers tell of listings is left.
    pub watching: AtomicBool,
    /// Cancelled at the signal to stop.
    pub stopping: CancellationToken,
    /// Cancelled when the process is about to end and what has no answer yet gets its last one.
    pub ending: CancellationToken,
    /// When the signal to stop came.
    pub stopped: OnceLock<Instant>,
    /// The callers' connections and the streams that are passed on.
    pub tasks: TaskTracker,
    settings: RwLock<Option<Arc<Settings>>>,
    next_request: AtomicU64,
}

/// An attempt's entry on the board; it is taken off when this is dropped, however the attempt ends.
pub struct Entered<D: Dialect> {
    process: Arc<Process<D>>,
    number: u64,
}

impl<D: Dialect> Process<D> {
    /// A process that has heard nothing yet.
    pub fn new(config: Config, log: Logger) -> Process<D> {
        let clock = System;
        let member = Member {
            vm: config.vm.clone(),
            hall: config.hall.to_string(),
            address: config.fleet.peers,
            incarnation: clock.wall_millis(),
        };
        Process {
            member,
            clock,
            log,
            routine_lines: Volume::new(volume::ROUTINE, clock.now()),
            trouble_lines: Volume::new(volume::TROUBLE, clock.now()),
            metrics: Metrics::default(),
            ring: Ring::new(RECORDS),
            fresh: Fresh::new(config.fleet.settings_age()),
            board: Mutex::default(),
            moved: Notify::new(),
            tell: Notify::new(),
            tell_all: AtomicBool::new(false),
            budget: Mutex::new(Budget::new(config.fleet.budget())),
            pool: Pool::default(),
            memory: D::Memory::default(),
            reports: D::Reports::default(),
            packed: Kept::default(),
            peers: Peers::new(clock.now()),
            at: AtomicU64::new(0),
            watching: AtomicBool::new(false),
            stopping: CancellationToken::new(),
            ending: CancellationToken::new(),
            stopped: OnceLock::new(),
            tasks: TaskTracker::new(),
            settings: RwLock::new(None),
            next_request: AtomicU64::new(0),
            config,
        }
    }

    /// The time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The settings in force.
    pub fn settings(&self) -> Option<Arc<Settings>> {
        self.settings.read().unwrap().clone()
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
        self.metrics.version.set(number as i64);
        log::event(&self.log, Event::VersionInForce, format!("version {number} from {from}"));
        self.tell.notify_one();
    }

    /// Whether new connections are welcome.
    pub fn ready(&self) -> bool {
        let now = self.now();
        !self.stopping.is_cancelled() && self.version() > 0 && self.fresh.welcomes(now)
    }

    /// Whether a stop is so far on that a new request could not be finished before the kill.
    pub fn closing(&self) -> bool {
        let left = self.config.fleet.stop().mul_f64(SERVED_STOPPING);
        self.stopped.get().is_some_and(|at| self.now().saturating_duration_since(*at) > left)
    }

    /// What this VM knows of the directory.
    pub fn listing(&self) -> Listing {
        let upstreams = self.board.lock().unwrap().listings().cloned().collect();
        let members = self.peers.members();
        Listing { at: self.at.load(Ordering::Relaxed), upstreams, members }
    }

    /// A digest of the listings.
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for listed in self.board.lock().unwrap().listings() {
            listed.hash(&mut hasher);
        }
        hasher.finish()
    }

    /// An id for a request whose own cannot be used.
    pub fn request_id(&self) -> id::Request {
        let next = self.next_request.fetch_add(1, Ordering::Relaxed);
        let text = format!("{}-{:x}-{next:x}", self.member.vm, self.member.incarnation);
        text.parse().expect("made of allowed characters")
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
                self.budget.lock().unwrap().set(fleet.budget());
                "the budget of repeats was read again".to_owned()
            }
            Some(Err(e)) => format!("the old configuration stays: {e}"),
            None => "there is no configuration file".to_owned(),
        };
        log::event(&self.log, Event::Reloaded, what);
    }

    /// Enters an attempt on the board.
    pub fn enter(self: &Arc<Self>, flight: Flight) -> Entered<D> {
        let shared = !flight.helpers.is_empty();
        let number = self.board.lock().unwrap().enter(flight, self.now());
        if shared {
            self.tell_all.store(true, Ordering::Relaxed);
        }
        self.tell.notify_one();
        Entered { process: self.clone(), number }
    }
}

impl<D: Dialect> Entered<D> {
    /// The first event has come.
    pub fn began(&self) {
        self.process.board.lock().unwrap().began(self.number);
        self.process.moved.notify_waiters();
        self.process.tell.notify_one();
    }
}

impl<D: Dialect> Drop for Entered<D> {
    fn drop(&mut self) {
        self.process.board.lock().unwrap().leave(self.number);
        self.process.moved.notify_waiters();
        self.process.tell.notify_one();
    }
}

/// Closes idle connections in time.
pub async fn sweep<D: Dialect>(process: Arc<Process<D>>) {
    while !process.stopping.is_cancelled() {
        tokio::time::sleep(SWEEP).await;
        process.pool.sweep(process.now());
    }
}
