//! Soak test: real `foldlockd` processes between callers, servers and a store on loopback, under injected
//! faults that are drawn from a seed. Guarantees are checked by what callers and servers observe.
//!
//! To run 50 seeds of 30 s each, or a few random ones:
//!
//! ```sh
//! FOLDLOCK_SOAK=1..51 cargo test -p foldlockd --test soak -- --ignored --nocapture
//! FOLDLOCK_SOAK=fresh:6 cargo test -p foldlockd --test soak -- --ignored --nocapture
//! ```
//!
//! Not covered: changes of the wall clock, which need privileges (foldlock takes all its times from the
//! monotonic clock), and loss of the UDP heartbeats between VMs. foldlock stores nothing on disk.

mod caller;
mod fault;
mod limits;
mod links;
mod outage;
mod parts;
mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use caller::{Connection, Kind, Outcome, Spec};
use foldlock_platform_standin::caller::Call;
use foldlock_platform_standin::server::Arrival;
use foldlock_platform_standin::settings::{self, Route};
use foldlock_request::scheduler::{Admission, Policy};
use nix::sys::signal::Signal;
use outage::Outage;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use standin::proxy::Mode;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use world::{MAX_SETTINGS_AGE, Part, VM_COUNT, World};

/// Seeds that failed once, each with its cause: 33, whose server requested a backoff of 1.150 s while the check
/// held the VM to the 1.154 s set at the server.
const REGRESSIONS: [u64; 1] = [33];

/// Seeds that run in CI.
const CI_SEEDS: [u64; 2] = [1, 4];

/// One in this many seeds runs only planned operations.
const PLANNED_INTERVAL: u64 = 4;

/// Half of the seeds have silences of servers, in groups of this many. The checks of times are stricter in the others.
const SILENT_GROUP: u64 = 4;

/// One in this many of them changes its settings only for the key and the route that are checked.
const STEADY_INTERVAL: u64 = 3;

/// How long faults are injected in CI.
const CI_DURATION: Duration = Duration::from_secs(10);

/// How long faults are injected in manual runs.
const LONG_DURATION: Duration = Duration::from_secs(30);

/// Number of callers in a run.
const CALLERS: usize = 12;

/// API key of most callers.
pub(crate) const KEY: &str = "key-of-one";

/// Prefix of the ids of requests that crash their servers.
pub(crate) const CRASHING_ID_PREFIX: &str = "deadly-";

/// Prefix of the ids of requests with a part that crashes their servers.
pub(crate) const CRASHING_PART_ID_PREFIX: &str = "bad-part-";

/// Maximum arrivals of such requests at servers after all settled VMs must have received the third crash.
const MAX_LATE_ARRIVALS: usize = 3;

/// API key that is revoked during the run.
pub(crate) const REVOKED_KEY: &str = "key-of-gone";

/// Time within which changed settings must be in force.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which all VMs must serve again after the last fault.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(12);

/// Time within which servers must stop running requests of disconnected callers; covers the pause of a frozen
/// process.
const ABORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time within which memory reservations must be released.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after a VM was cut off from all servers from which it must serve its callers.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Requests to a VM that is cut off.
const PARTITION_REQUESTS: usize = 18;

/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn settings_at(version: u64) -> Value {
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
    if version >= ADDED_VERSION {
        routes.push(route("added", "safe", "plain", 2, false));
    }
    let turn = (version % FIRST_VERSION) as usize;
    if turn % 2 == 1 {
        routes.push(route("extra", "safe", "plain", 2, false));
    }
    let mut organisations = vec![("one", KEY)];
    if version < REVOKED_VERSION {
        organisations.push(("gone", REVOKED_KEY));
    }
    let mut settings = settings::encode(version, &routes, &organisations);
    for route in settings["Routes"].as_array_mut().unwrap() {
        route["TimeoutMs"] = json!([8_000, 9_500, 11_000][turn % 3]);
    }
    settings["Limits"]["IdleTimeoutMs"] = json!([15_000, 6_000, 10_000][turn % 3]);
    settings
}

/// The first version of the settings. Those up to the next multiple of it differ in a route and in timeouts only.
pub(crate) const FIRST_VERSION: u64 = 1_000;

/// Settings version from which the key is revoked.
const REVOKED_VERSION: u64 = FIRST_VERSION * 2;

/// Settings version from which the route is added.
const ADDED_VERSION: u64 = FIRST_VERSION * 3;

/// Writes settings of the next version, at least this one.
fn put_settings(world: &World, at_least: u64) {
    let mut version = world.settings_version.lock().unwrap();
    *version = at_least.max(*version + 1);
    world.store.put_settings(&settings_at(*version));
}

/// Changes a route and timeouts in series until cancelled.
async fn vary_settings(world: Arc<World>, seed: u64, stop: CancellationToken) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x5e);
    while !stop.is_cancelled() {
        put_settings(&world, 0);
        let pause = Duration::from_millis(rng.random_range(200..900));
        let _ = tokio::time::timeout(pause, stop.cancelled()).await;
    }
}

/// The scheduling policy of a seed: forecasts and shares for half of them, also of those with only planned operations.
fn scheduling(seed: u64) -> Policy {
    let group = if is_planned(seed) { seed / (PLANNED_INTERVAL * 2) } else { seed };
    let admission = if group.is_multiple_of(2) { Admission::Forecast } else { Admission::Timeout };
    Policy { admission, fair_shares: group.is_multiple_of(2) }
}

fn is_planned(seed: u64) -> bool {
    seed.is_multiple_of(PLANNED_INTERVAL)
}

fn has_silences(seed: u64) -> bool {
    seed / SILENT_GROUP % 2 == 1
}

/// Runs one seed. Returns the violated guarantees and the number of successful requests.
async fn run(seed: u64, duration: Duration) -> (Vec<String>, usize) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    let world = World::start(folder.clone(), &settings_at(FIRST_VERSION), scheduling(seed)).await;
    check_recovery(&world).await;
    let stop = CancellationToken::new();
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let key = if caller == 0 { REVOKED_KEY } else { KEY };
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
    let settings_changes = tokio::spawn(change_settings(world.clone(), duration));
    let mut rng = StdRng::seed_from_u64(seed);
    let planned = is_planned(seed);
    let crashing = (!planned).then(|| {
        let crashes = fault::crash_servers(world.clone(), seed);
        (
            tokio::spawn(crashes),
            tokio::spawn(caller::run_crashing(world.clone(), seed, stop.clone())),
        )
    });
    let crashing_parts = (!planned)
        .then(|| tokio::spawn(caller::run_crashing_parts(world.clone(), seed, stop.clone())));
    let unlimited = CancellationToken::new();
    let limits = (!planned)
        .then(|| tokio::spawn(fault::vary_rate_limits(world.clone(), seed, unlimited.clone())));
    let silences = has_silences(seed)
        .then(|| tokio::spawn(fault::hush_servers(world.clone(), seed, unlimited.clone())));
    let variations = (has_silences(seed) && !seed.is_multiple_of(STEADY_INTERVAL))
        .then(|| tokio::spawn(vary_settings(world.clone(), seed, unlimited.clone())));
    fault::inject(&world, &mut rng, duration, planned).await;
    let revoked_at = settings_changes.await.unwrap();
    unlimited.cancel();
    for task in [silences, variations].into_iter().flatten() {
        task.await.unwrap();
    }
    if let Some(limits) = limits {
        limits.await.unwrap();
    }
    check_recovery(&world).await;
    check_partition(&world, &mut rng).await;
    stop.cancel();
    let mut outcomes = Vec::new();
    for caller in callers {
        outcomes.extend(caller.await.unwrap());
    }
    if let Some(caller) = crashing_parts {
        caller.await.unwrap();
    }
    if let Some((crashes, caller)) = crashing {
        caller.await.unwrap();
        crashes.abort();
    }
    check_released(&world).await;
    check_stop(&world).await;
    check_guarantees(&world, &outcomes, revoked_at);
    let violations = world.violations.lock().unwrap().clone();
    if violations.is_empty() {
        let _ = std::fs::remove_dir_all(folder);
    }
    (violations, outcomes.iter().filter(|o| o.succeeded).count())
}

/// Revokes a key, then adds a route and requests it from each VM. Returns the time of the revocation.
async fn change_settings(world: Arc<World>, duration: Duration) -> Instant {
    tokio::time::sleep(duration / 5).await;
    put_settings(&world, REVOKED_VERSION);
    let revoked_at = Instant::now();
    tokio::time::sleep(duration / 5).await;
    put_settings(&world, ADDED_VERSION);
    let added = Instant::now();
    let mut served = [0; VM_COUNT];
    while added.elapsed() < duration * 2 / 5 {
        for (vm, served) in served.iter_mut().enumerate() {
            check_added_route(&world, vm, added, served).await;
        }
        tokio::time::sleep(POLL_INTERVAL * 5).await;
    }
    revoked_at
}

/// Requests the added route from a VM; `served` is the last incarnation of the VM that served it.
async fn check_added_route(world: &World, vm: usize, added: Instant, served: &mut usize) {
    let (incarnation, started) = (world.vms[vm].incarnation(), Instant::now());
    let Some(status) = added_route_status(world, vm).await else { return };
    if world.vms[vm].incarnation() != incarnation {
        return;
    }
    let now = Instant::now();
    let store = world.is_undisturbed(Part::Store, added - world::SETTLE_TIME, now);
    let settled = store && world.vm_is_settled(vm, added, now);
    let name = &world.vms[vm].name;
    if status != 404 {
        *served = incarnation;
    } else if *served == incarnation {
        world.record_violation(format!("{name} reverted to settings without the added route"));
    } else if settled && started - added > SETTINGS_TIMEOUT {
        world.record_violation(format!(
            "{name} does not serve the added route after {:?}",
            started - added
        ));
    }
}

async fn added_route_status(world: &World, vm: usize) -> Option<u16> {
    let id = format!("added-{vm}-{:x}", rand::rng().random::<u64>());
    let time = Duration::from_secs(1);
    let call =
        Call { id: &id, vm, path: "/added/x", key: KEY, time, prompt: 0, parts: &[], body: b"" };
    let mut connection = Connection::open(vm, world.vms[vm].listen).await?;
    let response = tokio::time::timeout(time, connection.sender.send_request(call.encode())).await;
    Some(response.ok()?.ok()?.status().as_u16())
}

/// Waits until each VM serves a plain request and a stream.
async fn check_recovery(world: &World) {
    let started = Instant::now();
    for (vm, checked) in world.vms.iter().enumerate() {
        for kind in [Kind::Safe, Kind::Stream] {
            while !serves(world, vm, kind).await {
                if started.elapsed() > RECOVERY_TIMEOUT + world.stall_time_since(started) {
                    world.record_violation(format!("{} did not recover: {kind:?}", checked.name));
                    return;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }
}

/// Cuts one VM off from all servers, and checks that it serves its callers once [`CONTACT_TIME`] has passed.
async fn check_partition(world: &World, rng: &mut StdRng) {
    tokio::time::sleep(world::SETTLE_TIME).await;
    let vm = rng.random_range(0..VM_COUNT);
    let mode = fault::random_partition(rng);
    println!("partition of {} from all servers, {mode:?}", world.vms[vm].name);
    let disturbance = world.begin_disturbance(Part::Servers);
    world.set_server_links(vm, mode);
    tokio::time::sleep(CONTACT_TIME).await;
    let mut served = 0;
    for _ in 0..PARTITION_REQUESTS / 2 {
        for kind in [Kind::Safe, Kind::Stream] {
            served += usize::from(serves(world, vm, kind).await);
        }
    }
    world.set_server_links(vm, Mode::Open);
    world.end_disturbance(disturbance);
    if served < PARTITION_REQUESTS * 2 / 3 {
        let name = &world.vms[vm].name;
        world.record_violation(format!(
            "{name} served {served} of {PARTITION_REQUESTS} requests while it was partitioned ({mode:?})"
        ));
    }
}

async fn serves(world: &World, vm: usize, kind: Kind) -> bool {
    let Some(mut connection) = Connection::open(vm, world.vms[vm].listen).await else {
        return false;
    };
    let id = format!("probe-{vm}-{:x}", rand::rng().random::<u64>());
    let spec = Spec { kind, id, key: KEY, abort_after: None, long_prompt: false };
    caller::send(world, &mut connection, &spec).await.is_some_and(|(outcome, _)| outcome.succeeded)
}

/// Checks that after all callers have disconnected, servers run no requests and keep no reservations.
async fn check_released(world: &World) {
    let left = Instant::now();
    while world.journal.running() > 0 || world.reservation_count() > 0 {
        if world.journal.running() > 0 && left.elapsed() > ABORT_TIMEOUT {
            world.record_violation(format!(
                "{} requests still run after their callers disconnected",
                world.journal.running()
            ));
            return;
        }
        if left.elapsed() > RELEASE_TIMEOUT {
            world.record_violation(format!(
                "{} memory reservations are not released",
                world.reservation_count()
            ));
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Checks that all processes exit on SIGTERM, and that none had exited before.
async fn check_stop(world: &World) {
    for vm in &world.vms {
        if let Some(status) = vm.exit_status() {
            world.record_violation(format!("{} exited unexpectedly: {status}", vm.name));
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
            tokio::time::sleep(POLL_INTERVAL).await;
        };
        if !status.is_some_and(|s| s.success()) {
            world.record_violation(format!(
                "{} did not exit successfully on SIGTERM: {status:?}",
                vm.name
            ));
        }
    }
}

/// Checks the guarantees for each request against the servers' journal.
fn check_guarantees(world: &World, outcomes: &[Outcome], revoked_at: Instant) {
    for outcome in outcomes {
        let runs = world.journal.runs(&outcome.id);
        if !caller::is_retryable(outcome) && runs.len() > 1 {
            world.record_violation(format!("{} ran more than once: {runs:?}", outcome.id));
        }
        if !caller::is_retryable(outcome) && outcome.rejected && !runs.is_empty() {
            world.record_violation(format!("{} was rejected and ran: {runs:?}", outcome.id));
        }
    }
    check_crashes(world);
    parts::check(world, outcomes);
    check_notices(world);
    limits::check(world);
    for (id, run) in world.journal.all_runs() {
        // It was sent in time if a silence held it up.
        let held_up = !world.is_undisturbed(Part::Silence, run.at - fault::MAX_SILENCE, run.at);
        let limit = MAX_SETTINGS_AGE + if held_up { fault::MAX_SILENCE } else { Duration::ZERO };
        if run.organisation.as_deref() == Some("gone") && run.at > revoked_at + limit {
            let after = run.at - revoked_at;
            world.record_violation(format!("{id} ran {after:?} after its key was revoked"));
        }
    }
}

/// How long after a response announced to a VM that its server is leaving callers' requests may still be sent
/// there.
const LEAVING_DELAY: Duration = Duration::from_secs(2);

/// First part of a backoff, in which arrivals do not count because they were already in transit.
const BACKOFF_DELAY: Duration = Duration::from_millis(500);

/// Maximum requests that a VM may send to a server during a backoff.
const MAX_IN_BACKOFF: usize = 2;

/// Checks that each VM complies with the leaving and backoff notices in the responses that it received.
fn check_notices(world: &World) {
    let mut by_link: BTreeMap<(String, usize), Vec<Arrival>> = BTreeMap::new();
    for arrival in world.journal.arrivals() {
        let Some(vm) = arrival.vm else { continue };
        by_link.entry((arrival.server.clone(), vm)).or_default().push(arrival);
    }
    let (mut leaving, mut backoffs) = (0, 0);
    for ((server, vm), arrivals) in by_link {
        let name = &world.vms[vm].name;
        for (index, earlier) in arrivals.iter().enumerate() {
            let later = &arrivals[index + 1..];
            if earlier.notice.leaving {
                leaving += 1;
                let late = |a: &&Arrival| {
                    a.sent > earlier.at + LEAVING_DELAY && ran_undisturbed(world, vm, earlier, a)
                };
                if let Some(late) = later.iter().find(late) {
                    let after = late.sent - earlier.at;
                    world.record_violation(format!(
                        "{server} announced to {name} that it is leaving, and was sent a request {after:?} later"
                    ));
                }
            }
            let Some(backoff) = earlier.notice.backoff else { continue };
            backoffs += 1;
            let within = |a: &&Arrival| {
                let after = a.at - earlier.at;
                after > BACKOFF_DELAY && after < backoff && ran_undisturbed(world, vm, earlier, a)
            };
            let within = later.iter().filter(within).count();
            if within > MAX_IN_BACKOFF {
                world.record_violation(format!(
                    "{server} requested a backoff of {backoff:?} from {name}, and received {within} requests \
                     during it"
                ));
            }
        }
    }
    println!("{leaving} responses announced a leaving server, {backoffs} requested a backoff");
}

/// Whether a VM was undisturbed from one arrival to the other.
fn ran_undisturbed(world: &World, vm: usize, from: &Arrival, to: &Arrival) -> bool {
    let parts = [Part::Vm(vm), Part::PlannedStop(vm), Part::Silence];
    parts.into_iter().all(|part| world.is_undisturbed(part, from.at, to.at))
}

/// Checks that a request that crashes its servers reaches few more of them once settled VMs have received its
/// third crash.
fn check_crashes(world: &World) {
    let mut runs: Vec<(Instant, String)> = world
        .journal
        .all_runs()
        .into_iter()
        .filter(|(id, _)| id.starts_with(CRASHING_ID_PREFIX))
        .map(|(_, run)| (run.at, run.server))
        .collect();
    runs.sort();
    let mut crashed = BTreeSet::new();
    let third = runs.iter().find(|(_, server)| crashed.insert(server) && crashed.len() == 3);
    let Some((third, _)) = third else { return };
    let late = |at: &Instant| *at > *third + world::SETTLE_TIME && world.all_settled(*at, *at);
    let late = runs.iter().filter(|(at, _)| late(at)).count();
    println!("crashing requests reached {} servers, {late} of them late", runs.len());
    if late > MAX_LATE_ARRIVALS {
        world.record_violation(format!(
            "crashing requests reached {late} servers after the third crash was announced"
        ));
    }
}

/// Runs these seeds, `concurrency` at a time, and fails with all violated guarantees.
async fn run_seeds(seeds: Vec<u64>, duration: Duration, concurrency: usize) {
    let mut failed = BTreeMap::new();
    for batch in seeds.chunks(concurrency) {
        let runs = batch.iter().map(|seed| tokio::spawn(run(*seed, duration)));
        for (seed, run) in batch.iter().zip(futures::future::join_all(runs).await) {
            let (violations, succeeded) = run.unwrap();
            println!("seed {seed}: {succeeded} requests served, {} violations", violations.len());
            assert!(succeeded > 0, "seed {seed}: no request succeeded");
            if !violations.is_empty() {
                failed.insert(*seed, violations);
            }
        }
    }
    assert!(failed.is_empty(), "logs are kept in {}: {failed:#?}", env!("CARGO_TARGET_TMPDIR"));
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_faults() {
    run_seeds(CI_SEEDS.into_iter().chain(REGRESSIONS).collect(), CI_DURATION, CI_SEEDS.len()).await;
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "takes minutes; run manually as described above"]
async fn promises_hold_under_faults_for_long() {
    let selection = std::env::var("FOLDLOCK_SOAK").unwrap_or_else(|_| "fresh:6".to_owned());
    let seeds = match (selection.split_once(".."), selection.strip_prefix("fresh:")) {
        (Some((from, to)), _) => (from.parse().unwrap()..to.parse().unwrap()).collect(),
        (_, Some(count)) => {
            (0..count.parse().unwrap()).map(|_| rand::rng().random_range(1_000..1 << 40)).collect()
        }
        _ => vec![selection.parse().expect("FROM..TO, fresh:COUNT or one seed")],
    };
    run_seeds(seeds, LONG_DURATION, 6).await;
}

/// Waits until each VM serves, and returns how long after `returned` the last one did.
async fn wait_for_service(world: &World, returned: Instant) -> Duration {
    let served = (0..VM_COUNT).flat_map(|vm| [Kind::Safe, Kind::Stream].map(|kind| (vm, kind)));
    let served = served.map(async |(vm, kind)| {
        while !serves(world, vm, kind).await {
            if returned.elapsed() > RECOVERY_TIMEOUT + world.stall_time_since(returned) {
                let name = &world.vms[vm].name;
                world.record_violation(format!("{name} did not recover: {kind:?}"));
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    });
    futures::future::join_all(served).await;
    returned.elapsed()
}

/// Starts the callers of a run.
fn start_callers(
    world: &Arc<World>,
    seed: u64,
    stop: &CancellationToken,
) -> Vec<JoinHandle<Vec<Outcome>>> {
    let start = |caller: usize| {
        let name = format!("outage-{seed}-{caller}");
        tokio::spawn(caller::run(world.clone(), name, KEY, caller as u64, stop.clone()))
    };
    (0..CALLERS).map(start).collect()
}

/// Runs two outages of a seed.
async fn run_outages(seed: u64) -> Vec<String> {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("outages-{seed}"));
    let world = World::start(folder, &settings_at(FIRST_VERSION), scheduling(seed)).await;
    check_recovery(&world).await;
    let stop = CancellationToken::new();
    let callers = start_callers(&world, seed, &stop);
    let mut rng = StdRng::seed_from_u64(seed);
    for _ in 0..2 {
        tokio::time::sleep(world::SETTLE_TIME).await;
        let outage = Outage::random(&mut rng);
        let (returned, calming) = outage.bring_about(&world).await;
        let time = wait_for_service(&world, returned).await;
        println!("seed {seed}: all serve {time:?} after the return; {outage:?}");
        calming.await.unwrap();
    }
    stop.cancel();
    for caller in callers {
        caller.await.unwrap();
    }
    std::mem::take(&mut world.violations.lock().unwrap())
}

/// Guards against a fleet that does not serve in time after all VMs ended and returned, in any order and state of the store
/// and the servers. `FOLDLOCK_OUTAGES` names the seeds, as `FROM..TO`.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "takes minutes; run manually"]
async fn a_fleet_serves_again_after_any_outage() {
    let selection = std::env::var("FOLDLOCK_OUTAGES").unwrap_or_else(|_| "1..7".to_owned());
    let (from, to) = selection.split_once("..").expect("FROM..TO");
    let seeds: Vec<u64> = (from.parse().unwrap()..to.parse().unwrap()).collect();
    let mut failed = BTreeMap::new();
    for batch in seeds.chunks(4) {
        let runs = batch.iter().map(|seed| tokio::spawn(run_outages(*seed)));
        for (seed, run) in batch.iter().zip(futures::future::join_all(runs).await) {
            let violations = run.unwrap();
            if !violations.is_empty() {
                failed.insert(*seed, violations);
            }
        }
    }
    assert!(failed.is_empty(), "logs are kept in {}: {failed:#?}", env!("CARGO_TARGET_TMPDIR"));
}

/// Guards against a fleet that does not serve in time after all VMs were killed at the same moment.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "takes minutes; run manually"]
async fn a_fleet_serves_again_after_all_vms_were_killed() {
    let mut violations = Vec::new();
    for (seed, store) in outage::STORES.into_iter().enumerate() {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("outage-{seed}"));
        let settings = settings_at(FIRST_VERSION);
        let world = World::start(folder, &settings, scheduling(seed as u64)).await;
        check_recovery(&world).await;
        let stop = CancellationToken::new();
        let callers = start_callers(&world, seed as u64, &stop);
        for round in 0..3 {
            tokio::time::sleep(world::SETTLE_TIME).await;
            let returned = outage::bring_about(&world, store).await;
            check_recovery(&world).await;
            println!(
                "{store:?}, round {round}: all serve {:?} after the return",
                returned.elapsed()
            );
        }
        stop.cancel();
        for caller in callers {
            caller.await.unwrap();
        }
        violations
            .extend(world.violations.lock().unwrap().iter().map(|v| format!("{store:?}: {v}")));
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
