//! Time and memory of the scheduler with admission by forecasts and shares among organisations.
//!
//! `cargo bench -p foldlock-request --bench scheduler` measures. `cargo test` runs some benchmarks once, and checks the
//! memory. Times are not asserted, as they depend on the load of the machine. Targets: 20 us for a placement at 300
//! engines, 40 us at 3,000 engines with 1,000 queued requests, and 8 MB for 450 organisations and 10,000 promises.

use std::alloc::System;
use std::cell::RefCell;
use std::time::{Duration, Instant};

use divan::Bencher;
use divan::counter::ItemsCount;
use foldlock_base::id;
use foldlock_base::size::Tokens;
use foldlock_request::budget::{Charge, Parameters};
use foldlock_request::caller::{Caller, Priority};
use foldlock_request::cluster::{Cluster, Holder, Listed};
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::flight::Flight;
use foldlock_request::placement::Requirements;
use foldlock_request::scheduler::{Admission, Key, MAX_PROMISES, Policy, Reply, Scheduler};
use foldlock_request::tag::Tag;
use foldlock_version::routes::{Bounds, Engine, Service, Table};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Engines and queued requests of a benchmark.
const LOADS: [Load; 6] = [
    Load { engines: 300, queued: 0 },
    Load { engines: 300, queued: 200 },
    Load { engines: 300, queued: 1_000 },
    Load { engines: 3_000, queued: 0 },
    Load { engines: 3_000, queued: 200 },
    Load { engines: 3_000, queued: 1_000 },
];

const ORGANISATIONS: u64 = 450;

/// The number of VMs that send grant requests.
const VMS: u64 = 72;

/// Length of a long prompt.
const LONG: Tokens = Tokens(45_000);

/// One queued request in this many is a long prompt.
const LONG_INTERVAL: usize = 8;

/// The interval between two rounds of placement. Responses that take 2.5 s free 28 slots of 300 engines in this time.
const ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// Engines for each slot that becomes free between two rounds.
const ENGINES_PER_FREE_SLOT: usize = 10;

/// Number of routes with different priorities.
const ROUTES: u64 = 3;

/// Returns a second for which times are promised: 10,000 promises within a third of 15 s.
const RETURNS_PER_S: f64 = 4_000.0;

/// Largest memory for all organisations and promises.
const MAX_BYTES: usize = 8_000_000;

/// The engines of load pattern B.
const ENGINE: Engine = Engine {
    slots: 12,
    memory: Tokens(267_750),
    step_ms: 1.02,
    per_request_ms: 0.00226,
    per_context_ms: 0.00431,
    prefill_tokens_per_ms: 206.0,
    ms_per_million_pairs: 0.138,
    stride: 48,
    chunk: 2_048,
    mean_answer: Tokens(1_500),
};

fn main() {
    check_memory();
    if is_measuring() {
        divan::main();
    } else {
        // Without arguments, as divan rejects those of the test harness, such as `--test-threads`.
        divan::Divan::default().test_benches();
    }
}

/// Whether the benchmarks are run by `cargo bench`, not by `cargo test`.
fn is_measuring() -> bool {
    std::env::args().any(|argument| argument == "--bench")
}

/// All loads, or the smallest ones that cover the same code if nothing is measured: setting up the others takes seconds
/// without optimization.
fn loads() -> impl Iterator<Item = Load> {
    let is_small = |load: &Load| load.engines <= 300 && load.queued <= 200;
    LOADS.into_iter().filter(move |load| is_measuring() || is_small(load))
}

#[derive(Debug, Clone, Copy)]
struct Load {
    engines: usize,
    queued: usize,
}

impl std::fmt::Display for Load {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} engines, {} queued", self.engines, self.queued)
    }
}

struct Fleet {
    cluster: Cluster,
    table: Table,
    scheduler: Scheduler,
    now: Instant,
    /// The number of the last request.
    last: u64,
    queued: Vec<(Key, Requirements)>,
    /// The replies of the last round.
    replies: Vec<(Key, Reply)>,
}

impl Fleet {
    /// A fleet in which each engine serves this many responses.
    fn new(engines: usize, busy_slots: impl Fn(usize) -> u32) -> Fleet {
        let service = Service {
            name: "model".to_owned(),
            max_connections: 9,
            engine: Some(ENGINE),
            cold_per_s: None,
        };
        let bounds = Bounds {
            max_header_bytes: 16_384,
            max_body_bytes: 4_096,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        };
        let policy = Policy { admission: Admission::Forecast, fair_shares: true };
        let mut fleet = Fleet {
            cluster: Cluster::default(),
            table: Table::builder(1, bounds).service(service).build(),
            scheduler: Scheduler::new(Parameters::default(), policy),
            now: Instant::now(),
            last: 0,
            queued: Vec::new(),
            replies: Vec::new(),
        };
        let mut number = 0;
        for index in 0..engines {
            let id: id::Upstream = format!("i-{index:04}").parse().unwrap();
            fleet.cluster.list(Listed {
                id: id.clone(),
                born: None,
                revision: 0.into(),
                service: "model".to_owned(),
                address: format!("10.0.{}.{}:80", index / 250, index % 250),
                hall: ["a", "b", "c"][index % 3].to_owned(),
                slots: ENGINE.slots,
                leaving: false,
                cold_ms: 0,
            });
            for _ in 0..busy_slots(index) {
                number += 1;
                fleet.cluster.begin_attempt(number, flight(id.clone()), fleet.now);
            }
        }
        fleet
    }

    /// A fleet with this many queued requests. If there are any, all slots are in use; otherwise half of the engines are
    /// idle.
    fn with_queue(load: Load) -> Fleet {
        let mut fleet = Fleet::new(load.engines, |index| match load.queued {
            0 if index % 2 == 0 => ENGINE.slots * 3 / 4,
            0 => 0,
            _ => ENGINE.slots,
        });
        fleet.fill(load.queued);
        fleet
    }

    /// Queues requests until this many are queued, some of them long prompts.
    fn fill(&mut self, queued: usize) {
        let is_long = |(_, requirements): &&(Key, Requirements)| requirements.prompt == LONG;
        let mut long_count = self.queued.iter().filter(is_long).count();
        while self.queued.len() < queued {
            self.last += 1;
            let requirements = if long_count < self.queued.len() / LONG_INTERVAL {
                long_count += 1;
                long(self.last, self.now)
            } else {
                short(self.last, self.now)
            };
            let reply = self.request(key(self.last), requirements.clone());
            assert!(matches!(reply, Reply::Queued), "{reply:?}");
            self.queued.push((key(self.last), requirements));
        }
    }

    fn request(&mut self, key: Key, requirements: Requirements) -> Reply {
        let service = Tag::of("model");
        self.scheduler.request(&mut self.cluster, &self.table, key, service, requirements, self.now)
    }

    fn round(&mut self) {
        self.replies = self.scheduler.place_queued(&mut self.cluster, &self.table, self.now);
    }

    /// Releases the placements of the last round, renews the other queued requests and adds new ones in place of those
    /// that are no longer queued.
    fn prepare_round(&mut self, queued: usize) {
        self.now += ROUND_INTERVAL;
        for (key, _) in std::mem::take(&mut self.replies) {
            self.scheduler.cancel(&mut self.cluster, &key, self.now);
            self.queued.retain(|(queued, _)| *queued != key);
        }
        for (key, requirements) in self.queued.clone() {
            let reply = self.request(key, requirements);
            assert!(matches!(reply, Reply::Queued), "{reply:?}");
        }
        self.fill(queued);
    }
}

fn flight(upstream: id::Upstream) -> Flight {
    Flight {
        upstream,
        helpers: Vec::new(),
        part_ms: 26.0,
        memory: 6_500,
        pause_ms: 250,
        decoding: true,
        isolated: None,
    }
}

fn key(number: u64) -> Key {
    let vm = format!("vm-{}", number % VMS).parse().unwrap();
    Key { holder: Holder::Peer(vm), incarnation: 1, number }
}

fn short(number: u64, arrived: Instant) -> Requirements {
    let organisation = Tag::of(&format!("organisation-{}", number % ORGANISATIONS));
    Requirements {
        prompt: Tokens(5_000),
        memory: Tokens(6_500),
        objective: Duration::from_millis(250),
        pause: Some(Duration::from_millis(250)),
        arrived,
        queue_timeout: Duration::from_secs(10),
        excluded: Vec::new(),
        connected: Vec::new(),
        hall: "a".to_owned(),
        reservation_timeout: Duration::from_millis(2_400),
        fingerprint: Fingerprint::of("", "", "", &number.to_be_bytes()),
        offset: 0,
        schedulers: 1,
        charge: Charge::Free,
        caller: Caller {
            organisation: Some(organisation),
            priority: Priority { organisation: 1, route: (number % 2) as u8 },
            time_limit: Duration::from_secs(10),
            ..Caller::default()
        },
    }
}

fn long(number: u64, arrived: Instant) -> Requirements {
    let short = short(number, arrived);
    Requirements {
        prompt: LONG,
        memory: Tokens(46_500),
        objective: Duration::from_millis(1_500),
        pause: Some(Duration::from_millis(600)),
        caller: Caller {
            priority: Priority { organisation: 1, route: 2 },
            time_limit: Duration::from_secs(15),
            ..short.caller
        },
        ..short
    }
}

/// A request of a short prompt: it is placed at once if no request is queued, and otherwise queued or rejected by a
/// forecast.
#[divan::bench(args = loads(), sample_size = 1, sample_count = 1_000)]
fn request(bencher: Bencher<'_, '_>, load: Load) {
    let fleet = RefCell::new(Fleet::with_queue(load));
    let previous = RefCell::new(None);
    bencher
        .with_inputs(|| {
            let Fleet { cluster, scheduler, now, last, .. } = &mut *fleet.borrow_mut();
            if let Some(previous) = previous.take() {
                scheduler.cancel(cluster, &previous, *now);
            }
            *now += Duration::from_millis(1);
            *last += 1;
            previous.replace(Some(key(*last)));
            (key(*last), short(*last, *now))
        })
        .bench_local_values(|(key, requirements)| fleet.borrow_mut().request(key, requirements));
}

/// A round of placement, in which as many slots are free as responses end between two rounds, and half of the queued
/// requests at most are placed. Items are placements.
#[divan::bench(args = loads().filter(|load| load.queued > 0), sample_size = 1, sample_count = 50)]
fn round(bencher: Bencher<'_, '_>, load: Load) {
    let placements = (load.engines / ENGINES_PER_FREE_SLOT).min(load.queued / 2);
    let mut fleet = Fleet::with_queue(load);
    for engine in 0..placements {
        let number = engine * ENGINES_PER_FREE_SLOT * ENGINE.slots as usize + 1;
        fleet.cluster.end_attempt(number as u64, fleet.now);
    }
    let fleet = RefCell::new(fleet);
    bencher
        .counter(ItemsCount::new(placements))
        .with_inputs(|| fleet.borrow_mut().prepare_round(load.queued))
        .bench_local_values(|()| fleet.borrow_mut().round());
    let is_granted = |(_, reply): &&(Key, Reply)| matches!(reply, Reply::Granted(..));
    assert_eq!(fleet.borrow().replies.iter().filter(is_granted).count(), placements);
}

/// Guards against an account or promise that takes so much memory that a scheduler does not fit into a VM of 160 MB
/// next to its requests. The placements of the organisations' requests count too.
fn check_memory() {
    let mut fleet = Fleet::new(300, |_| 0);
    let region = Region::new(ALLOCATOR);
    for number in 0..ORGANISATIONS * ROUTES {
        let caller = Caller {
            priority: Priority { organisation: 1, route: (number / ORGANISATIONS) as u8 },
            ..short(number, fleet.now).caller
        };
        let requirements = Requirements { caller, ..short(number, fleet.now) };
        let reply = fleet.request(key(number), requirements);
        assert!(matches!(reply, Reply::Granted(..)), "{reply:?}");
    }
    let (capacity, promises) = (Tag::of("model"), &mut fleet.scheduler.promises);
    for number in 0..MAX_PROMISES as u64 {
        let fingerprint = Fingerprint::of("", "", "", &number.to_be_bytes());
        let (wait, remaining) = (Duration::ZERO, Duration::from_secs(15));
        let promised =
            promises.promise(fingerprint, capacity, wait, remaining, RETURNS_PER_S, fleet.now);
        assert!(promised.is_some(), "{number}");
    }
    assert_eq!(promises.len(), MAX_PROMISES);
    let stats_alloc::Stats { bytes_allocated, bytes_deallocated, .. } = region.change();
    let bytes = bytes_allocated - bytes_deallocated;
    println!("{ORGANISATIONS} organisations and {MAX_PROMISES} promises: {bytes} bytes");
    assert!(bytes < MAX_BYTES, "{bytes} bytes");
}
