//! Real `foldlockd` processes between callers, servers and a store on loopback, while faults come
//! from outside, drawn from a seed. What always has to hold is checked by what callers and servers
//! see.
//!
//! By hand, 50 seeds of 30 s each, or some fresh ones:
//!
//! ```sh
//! FOLDLOCK_SOAK=1..51 cargo test -p foldlockd --test soak -- --ignored --nocapture
//! FOLDLOCK_SOAK=fresh:6 cargo test -p foldlockd --test soak -- --ignored --nocapture
//! ```
//!
//! Not covered: the time of day cannot be changed for a process without privileges (foldlock takes
//! all its times from the steady clock), and the beats between VMs by UDP are not cut. foldlock keeps
//! nothing on disks.

mod caller;
mod fault;
mod limits;
mod proxy;
mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use caller::{Connection, Kind, Outcome, Spec};
use foldlock_platform_standin::caller::Call;
use foldlock_platform_standin::server::Arrival;
use foldlock_platform_standin::settings::{self, Route};
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use tokio_util::sync::CancellationToken;
use world::{MAX_SETTINGS_AGE, Part, VM_COUNT, World};

/// Seeds that failed once, each with its cause: 33, whose server asked for a rest of 1.150 s and held its VM to the
/// 1.154 s that it had meant.
const REGRESSIONS: [u64; 1] = [33];

/// Seeds that CI plays.
const SHORT: [u64; 2] = [1, 4];

/// Of so many seeds, one plays planned work alone.
const PLANNED: u64 = 4;

/// How long faults come in CI.
const SHORT_TIME: Duration = Duration::from_secs(10);

/// How long faults come in runs by hand.
const LONG_TIME: Duration = Duration::from_secs(30);

/// Callers of a run.
const CALLERS: usize = 12;

/// The key of most callers.
pub(crate) const KEY: &str = "key-of-one";

/// Ids of requests that end their servers begin with this.
pub(crate) const DEADLY: &str = "deadly-";

/// Arrivals of such a request at servers, later than VMs in touch may take to hear of the third one that
/// it ended.
const MOST_DEADLY: usize = 3;

/// The key that is taken away.
pub(crate) const REVOKED: &str = "key-of-gone";

/// The time in which settings have to be in force.
const IN_FORCE: Duration = Duration::from_secs(2);

/// The time in which everything has to be served again after the last fault.
const RECOVERY: Duration = Duration::from_secs(12);

/// The time in which the work for callers who left ends, with the pause of a frozen process.
const LEFT: Duration = Duration::from_secs(2);

/// The time in which memory that was set aside is given back.
const RELEASE: Duration = Duration::from_secs(4);

/// How often a condition is looked at.
const LOOK: Duration = Duration::from_millis(20);

fn desired(version: u64) -> Value {
    let route = |path, kind, service, attempts, resumable| Route {
        path,
        kind,
        service,
        attempts,
        resumable,
        objective_ms: 500,
        pause_ms: 250,
    };
    let mut routes = vec![
        route("safe", "safe", "plain", 2, false),
        route("once", "unsafe", "plain", 1, false),
        route("gen/again", "streaming", "model", 3, true),
        route("gen/once", "streaming", "model", 2, false),
    ];
    if version >= ADDED {
        routes.push(route("added", "safe", "plain", 2, false));
    }
    let mut organisations = vec![("one", KEY)];
    if version < TAKEN {
        organisations.push(("gone", REVOKED));
    }
    settings::encode(version, &routes, &organisations)
}

/// The version by which a key is taken away.
const TAKEN: u64 = 5;

/// The version by which a route is added.
const ADDED: u64 = 9;

/// One run: what was broken, and how many requests were served well.
async fn run(seed: u64, time: Duration) -> (Vec<String>, usize) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    let world = World::start(folder.clone(), &desired(1)).await;
    serves_again(&world).await;
    let stop = CancellationToken::new();
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let key = if caller == 0 { REVOKED } else { KEY };
        let name = format!("{seed:x}-{caller}");
        let caller_seed = seed * 1_000 + caller as u64;
        callers.push(tokio::spawn(caller::run(
            world.clone(),
            name,
            key,
            caller_seed,
            stop.clone(),
        )));
    }
    let changes = tokio::spawn(change(world.clone(), time));
    let mut draw = StdRng::seed_from_u64(seed);
    let planned = seed.is_multiple_of(PLANNED);
    let deadly = (!planned).then(|| {
        let ends = fault::crash_servers(world.clone(), seed);
        (tokio::spawn(ends), tokio::spawn(caller::run_crashing(world.clone(), seed, stop.clone())))
    });
    let unlimited = CancellationToken::new();
    let limits = (!planned)
        .then(|| tokio::spawn(fault::vary_rate_limits(world.clone(), seed, unlimited.clone())));
    fault::inject(&world, &mut draw, time, planned).await;
    let taken = changes.await.unwrap();
    unlimited.cancel();
    if let Some(limits) = limits {
        limits.await.unwrap();
    }
    serves_again(&world).await;
    stop.cancel();
    let mut sent = Vec::new();
    for caller in callers {
        sent.extend(caller.await.unwrap());
    }
    if let Some((ends, caller)) = deadly {
        caller.await.unwrap();
        ends.abort();
    }
    nothing_is_left(&world).await;
    stops(&world).await;
    promises(&world, &sent, taken);
    let violations = world.violations.lock().unwrap().clone();
    if violations.is_empty() {
        let _ = std::fs::remove_dir_all(folder);
    }
    (violations, sent.iter().filter(|s| s.succeeded).count())
}

/// Takes a key away, then adds a route and asks each VM for it. Gives when the key was taken away.
async fn change(world: Arc<World>, time: Duration) -> Instant {
    tokio::time::sleep(time / 5).await;
    world.store.put_settings(&desired(TAKEN));
    let taken = Instant::now();
    tokio::time::sleep(time / 5).await;
    world.store.put_settings(&desired(ADDED));
    let added = Instant::now();
    let mut served = [0; VM_COUNT];
    while added.elapsed() < time * 2 / 5 {
        for (vm, served) in served.iter_mut().enumerate() {
            ask_added(&world, vm, added, served).await;
        }
        tokio::time::sleep(LOOK * 5).await;
    }
    taken
}

/// Asks a VM for the route that was added; `served` is the start of the process that served it.
async fn ask_added(world: &World, vm: usize, added: Instant, served: &mut usize) {
    let (incarnation, began) = (world.vms[vm].incarnation(), Instant::now());
    let Some(status) = status(world, vm).await else { return };
    if world.vms[vm].incarnation() != incarnation {
        return;
    }
    let now = Instant::now();
    let store = world.is_undisturbed(Part::Store, added - world::SETTLE_TIME, now);
    let calm = store && world.vm_is_settled(vm, added, now);
    let name = &world.vms[vm].name;
    if status != 404 {
        *served = incarnation;
    } else if *served == incarnation {
        world.record_violation(format!("{name} went back to settings without the route"));
    } else if calm && began - added > IN_FORCE {
        world.record_violation(format!("{name} does not know the route after {:?}", began - added));
    }
}

async fn status(world: &World, vm: usize) -> Option<u16> {
    let id = format!("added-{vm}-{:x}", rand::rng().random::<u64>());
    let time = Duration::from_secs(1);
    let call = Call { id: &id, vm, path: "/added/x", key: KEY, time, prompt: 0, body: b"" };
    let mut connection = Connection::open(vm, world.vms[vm].listen).await?;
    let answer = tokio::time::timeout(time, connection.sender.send_request(call.encode())).await;
    Some(answer.ok()?.ok()?.status().as_u16())
}

/// Waits until each VM serves a plain request and a stream.
async fn serves_again(world: &World) {
    let began = Instant::now();
    for (vm, of) in world.vms.iter().enumerate() {
        for kind in [Kind::Safe, Kind::Stream] {
            while !serves(world, vm, kind).await {
                if began.elapsed() > RECOVERY + world.stall_time_since(began) {
                    world.record_violation(format!("{} does not serve again: {kind:?}", of.name));
                    return;
                }
                tokio::time::sleep(LOOK).await;
            }
        }
    }
}

async fn serves(world: &World, vm: usize, kind: Kind) -> bool {
    let Some(mut connection) = Connection::open(vm, world.vms[vm].listen).await else {
        return false;
    };
    let id = format!("probe-{vm}-{:x}", rand::rng().random::<u64>());
    let spec = Spec { kind, id, key: KEY, abort_after: None, long_prompt: false };
    caller::send(world, &mut connection, &spec).await.is_some_and(|(sent, _)| sent.succeeded)
}

/// Once all callers have left, servers work on nothing and hold no memory.
async fn nothing_is_left(world: &World) {
    let left = Instant::now();
    while world.journal.running() > 0 || world.reservation_count() > 0 {
        if world.journal.running() > 0 && left.elapsed() > LEFT {
            world.record_violation(format!(
                "{} requests are worked on for nobody",
                world.journal.running()
            ));
            return;
        }
        if left.elapsed() > RELEASE {
            world.record_violation(format!(
                "{} pieces of memory stay set aside",
                world.reservation_count()
            ));
            return;
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// All processes end by themselves when they are told to, and did not before.
async fn stops(world: &World) {
    for vm in &world.vms {
        if let Some(status) = vm.exit_status() {
            world.record_violation(format!("{} had ended by itself: {status}", vm.name));
        }
        vm.signal(Signal::SIGTERM);
    }
    let until = Instant::now() + world::STOP_TIMEOUT;
    for vm in &world.vms {
        let status = loop {
            if let Some(status) = vm.exit_status() {
                break Some(status);
            }
            if Instant::now() > until {
                break None;
            }
            tokio::time::sleep(LOOK).await;
        };
        if !status.is_some_and(|s| s.success()) {
            world.record_violation(format!("{} did not stop well: {status:?}", vm.name));
        }
    }
}

/// What must hold for each request, by what servers noted.
fn promises(world: &World, sent: &[Outcome], taken: Instant) {
    for sent in sent {
        let runs = world.journal.runs(&sent.id);
        if !caller::is_retryable(sent) && runs.len() > 1 {
            world.record_violation(format!("{} ran more than once: {runs:?}", sent.id));
        }
        if !caller::is_retryable(sent) && sent.rejected && !runs.is_empty() {
            world.record_violation(format!("{} was said not to have run: {runs:?}", sent.id));
        }
    }
    few_end(world);
    words_are_kept(world);
    limits::check(world);
    for (id, run) in world.journal.all_runs() {
        if run.organisation.as_deref() == Some("gone") && run.at > taken + MAX_SETTINGS_AGE {
            let after = run.at - taken;
            world.record_violation(format!("{id} ran {after:?} after its key was taken away"));
        }
    }
}

/// The time after an answer has told a VM that its server leaves, in which callers' requests may still be sent
/// there.
const LEFT_ALONE: Duration = Duration::from_secs(2);

/// The first part of a rest: what was on its way.
const REST_BEGINS: Duration = Duration::from_millis(500);

/// Requests that a server may get within a rest that it asked for.
const MOST_IN_REST: usize = 2;

/// No VM sends a server anything against what it said of itself in its answers to that VM.
fn words_are_kept(world: &World) {
    let mut by_way: BTreeMap<(String, usize), Vec<Arrival>> = BTreeMap::new();
    for arrival in world.journal.arrivals() {
        let Some(vm) = arrival.vm else { continue };
        by_way.entry((arrival.server.clone(), vm)).or_default().push(arrival);
    }
    let (mut leaving, mut rests) = (0, 0);
    for ((server, vm), arrivals) in by_way {
        let name = &world.vms[vm].name;
        for (index, told) in arrivals.iter().enumerate() {
            let later = &arrivals[index + 1..];
            if told.notice.leaving {
                leaving += 1;
                let late =
                    |a: &&Arrival| a.sent > told.at + LEFT_ALONE && ran_on(world, vm, told, a);
                if let Some(late) = later.iter().find(late) {
                    let after = late.sent - told.at;
                    world.record_violation(format!(
                        "{server} had told {name} that it leaves, and was sent more {after:?} later"
                    ));
                }
            }
            let Some(rest) = told.notice.backoff else { continue };
            rests += 1;
            let within = |a: &&Arrival| {
                let after = a.at - told.at;
                after > REST_BEGINS && after < rest && ran_on(world, vm, told, a)
            };
            let within = later.iter().filter(within).count();
            if within > MOST_IN_REST {
                world.record_violation(format!("{server} had asked {name} for {rest:?} of rest, and got {within} requests in it"));
            }
        }
    }
    println!("{leaving} answers said that their server leaves, {rests} asked for a rest");
}

/// Whether a VM ran without a disturbance from one arrival to the other.
fn ran_on(world: &World, vm: usize, from: &Arrival, to: &Arrival) -> bool {
    let parts = [Part::Vm(vm), Part::PlannedStop(vm)];
    parts.into_iter().all(|part| world.is_undisturbed(part, from.at, to.at))
}

/// A request that ends its servers reaches few more once VMs in touch know it.
fn few_end(world: &World) {
    let mut reached: Vec<(Instant, String)> = world
        .journal
        .all_runs()
        .into_iter()
        .filter(|(id, _)| id.starts_with(DEADLY))
        .map(|(_, run)| (run.at, run.server))
        .collect();
    reached.sort();
    let mut ended = BTreeSet::new();
    let third = reached.iter().find(|(_, server)| ended.insert(server) && ended.len() == 3);
    let Some((third, _)) = third else { return };
    let late = |at: &Instant| *at > *third + world::SETTLE_TIME && world.all_settled(*at, *at);
    let late = reached.iter().filter(|(at, _)| late(at)).count();
    println!("a deadly request reached {} servers, {late} of them late", reached.len());
    if late > MOST_DEADLY {
        world.record_violation(format!(
            "a deadly request reached {late} servers, though it was known"
        ));
    }
}

/// Plays these seeds, `at_once` at a time, and fails with all that was broken.
async fn play(seeds: Vec<u64>, time: Duration, at_once: usize) {
    let mut failed = BTreeMap::new();
    for some in seeds.chunks(at_once) {
        let runs = some.iter().map(|seed| tokio::spawn(run(*seed, time)));
        for (seed, run) in some.iter().zip(futures::future::join_all(runs).await) {
            let (violations, good) = run.unwrap();
            println!("seed {seed}: {good} requests served, {} findings", violations.len());
            assert!(good > 0, "seed {seed}: nothing was served");
            if !violations.is_empty() {
                failed.insert(*seed, violations);
            }
        }
    }
    assert!(failed.is_empty(), "logs are kept in {}: {failed:#?}", env!("CARGO_TARGET_TMPDIR"));
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_faults() {
    play(SHORT.into_iter().chain(REGRESSIONS).collect(), SHORT_TIME, SHORT.len()).await;
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "minutes; by hand, see above"]
async fn promises_hold_under_faults_for_long() {
    let asked = std::env::var("FOLDLOCK_SOAK").unwrap_or_else(|_| "fresh:6".to_owned());
    let seeds = match (asked.split_once(".."), asked.strip_prefix("fresh:")) {
        (Some((from, to)), _) => (from.parse().unwrap()..to.parse().unwrap()).collect(),
        (_, Some(count)) => {
            (0..count.parse().unwrap()).map(|_| rand::rng().random_range(1_000..1 << 40)).collect()
        }
        _ => vec![asked.parse().expect("FROM..TO, fresh:COUNT or one seed")],
    };
    play(seeds, LONG_TIME, 6).await;
}
