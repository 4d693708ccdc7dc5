//! Injected faults, drawn at random from a seed; they overlap in time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_platform_standin::server::Notice;
use foldlock_platform_standin::store::Behaviour;
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin::proxy::Mode;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::world::{Part, STOP_TIMEOUT, World};

/// How long a server accepts requests after it announced that it is leaving.
const DRAIN: Duration = Duration::from_secs(2);

/// How long after the stop timeout a process may exit.
const EXIT_SLACK: Duration = Duration::from_secs(1);

/// How long the store is unavailable before it is restored from a snapshot.
const STORE_OUTAGE: Duration = Duration::from_millis(300);

/// Time from a restore until the servers have written their entries again.
const REGISTER_TIME: Duration = Duration::from_millis(800);

/// Time from then until the entries of servers that have exited are removed.
const STALE_ENTRY_TIME: Duration = Duration::from_millis(2_800);

/// How many times the exit of a killed process is awaited before it is started regardless.
const KILL_WAITS: usize = 8;

/// Interval between checks of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A fault, with its duration.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Fault {
    Kill(usize, Duration),
    Stop(usize),
    Freeze(usize, Duration),
    Reload(usize),
    CallerLink(usize, Mode, Duration),
    StoreLink(usize, Mode, Duration),
    ServerLink(usize, Mode, Duration),
    /// A VM loses its links to all servers, while callers, the store and the other VMs still reach it.
    Partition(usize, Mode, Duration),
    Crash(usize, Duration),
    Drain(usize),
    /// A server leaves and announces it only in its responses, not in its entry.
    LeaveUnlisted(usize),
    /// A server refuses all requests for this time and requests a backoff of the same length.
    Backoff(usize, Duration),
    StoreBehaviour(Behaviour, Duration),
    Compact,
    /// The store is restored from a snapshot of this age.
    Restore(Duration),
}

impl Fault {
    /// Draws a planned operation; without other faults, it must lose no request.
    pub(crate) fn random_planned(rng: &mut StdRng, world: &World) -> Fault {
        let vm = rng.random_range(0..world.vms.len());
        match rng.random_range(0..4) {
            0 => Fault::Reload(vm),
            1 => Fault::Compact,
            _ => Fault::Stop(vm),
        }
    }

    /// Draws a fault of any kind.
    pub(crate) fn random(rng: &mut StdRng, world: &World) -> Fault {
        let vm = rng.random_range(0..world.vms.len());
        let endpoint = rng.random_range(0..world.endpoints.len());
        let duration = Duration::from_millis(rng.random_range(100..2_500));
        match rng.random_range(0..20) {
            0 => Fault::Kill(vm, duration / 4),
            1 | 2 => Fault::Stop(vm),
            3 => Fault::Freeze(vm, duration),
            4 => Fault::Reload(vm),
            5 => Fault::CallerLink(vm, random_mode(rng), duration),
            6 => Fault::StoreLink(vm, random_mode(rng), duration),
            7 | 8 => Fault::ServerLink(endpoint, random_mode(rng), duration),
            9 => Fault::Crash(endpoint, duration / 2),
            10 | 11 => Fault::Drain(endpoint),
            12 => Fault::StoreBehaviour(random_behaviour(rng), duration),
            13 | 14 => Fault::LeaveUnlisted(endpoint),
            15 | 16 => Fault::Backoff(endpoint, duration),
            17 => Fault::Restore(duration),
            18 | 19 => Fault::Partition(vm, random_partition(rng), duration * 2),
            _ => Fault::Compact,
        }
    }
}

/// Servers that send and read nothing for about a second, as frozen processes: accepted connections and bytes wait. It excuses
/// no lost request, since callers cannot tell silence from work.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Hush {
    One(usize),
    /// Every third server, from this one on.
    Share(usize),
    All,
}

/// Number of shares of the servers.
const SHARES: usize = 3;

/// Longest silence of a server.
pub(crate) const MAX_SILENCE: Duration = Duration::from_millis(1_300);

impl Hush {
    fn random(rng: &mut StdRng, world: &World) -> Hush {
        match rng.random_range(0..3) {
            0 => Hush::One(rng.random_range(0..world.endpoints.len())),
            1 => Hush::Share(rng.random_range(0..SHARES)),
            _ => Hush::All,
        }
    }

    fn contains(self, endpoint: usize) -> bool {
        match self {
            Hush::One(one) => endpoint == one,
            Hush::Share(share) => endpoint % SHARES == share,
            Hush::All => true,
        }
    }
}

/// Silences random servers, one [`Hush`] after the other, until cancelled.
pub(crate) async fn hush_servers(world: Arc<World>, seed: u64, stop: CancellationToken) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x45);
    while !stop.is_cancelled() {
        let hush = Hush::random(&mut rng, &world);
        let silence =
            Duration::from_millis(rng.random_range(1_000..=MAX_SILENCE.as_millis() as u64));
        println!("{hush:?} {silence:?}");
        let set = |is_silent| {
            let endpoints = world.endpoints.iter().enumerate();
            endpoints
                .filter(|(index, _)| hush.contains(*index))
                .for_each(|(_, endpoint)| endpoint.links.set_silent(is_silent));
        };
        let disturbance = world.begin_disturbance(Part::Silence);
        set(true);
        tokio::time::sleep(silence).await;
        set(false);
        world.end_disturbance(disturbance);
        let pause = Duration::from_millis(rng.random_range(700..3_000));
        let _ = tokio::time::timeout(pause, stop.cancelled()).await;
    }
}

fn random_mode(rng: &mut StdRng) -> Mode {
    let delay = Duration::from_millis(rng.random_range(5..150));
    [Mode::Delayed(delay), Mode::Blackhole, Mode::OneWay, Mode::Reset][rng.random_range(0..4)]
}

/// How connections from a VM to servers behave during a partition.
pub(crate) fn random_partition(rng: &mut StdRng) -> Mode {
    [Mode::Closed, Mode::Unreachable, Mode::RefusesNew][rng.random_range(0..3)]
}

fn random_behaviour(rng: &mut StdRng) -> Behaviour {
    let delay = Duration::from_millis(rng.random_range(20..400));
    [
        Behaviour::Unavailable,
        Behaviour::Unresponsive,
        Behaviour::DropsResponses,
        Behaviour::Slow(delay),
    ][rng.random_range(0..4)]
}

/// Injects faults for `duration`, only planned operations if `planned`, and returns when the last one has ended.
pub(crate) async fn inject(
    world: &Arc<World>,
    rng: &mut StdRng,
    duration: Duration,
    planned: bool,
) {
    let until = Instant::now() + duration;
    let mut active = JoinSet::new();
    while Instant::now() < until {
        let fault =
            if planned { Fault::random_planned(rng, world) } else { Fault::random(rng, world) };
        println!("{:?} {fault:?}", until.saturating_duration_since(Instant::now()));
        active.spawn(apply(world.clone(), fault));
        let pause = Duration::from_millis(rng.random_range(50..900));
        tokio::time::sleep(pause).await;
    }
    while active.join_next().await.is_some() {}
}

async fn apply(world: Arc<World>, fault: Fault) {
    match fault {
        Fault::Kill(vm, downtime) => kill(&world, vm, downtime).await,
        Fault::Stop(vm) => stop(&world, vm).await,
        Fault::Freeze(vm, duration) => {
            let disturbance = world.begin_disturbance(Part::Vm(vm));
            world.vms[vm].signal(Signal::SIGSTOP);
            tokio::time::sleep(duration).await;
            world.vms[vm].signal(Signal::SIGCONT);
            world.end_disturbance(disturbance);
        }
        Fault::Reload(vm) => world.vms[vm].signal(Signal::SIGHUP),
        Fault::CallerLink(vm, mode, duration) => {
            let disturbance = world.begin_disturbance(Part::Vm(vm));
            world.vms[vm].caller_link.set(mode);
            tokio::time::sleep(duration).await;
            world.vms[vm].caller_link.set(Mode::Open);
            world.end_disturbance(disturbance);
        }
        Fault::StoreLink(vm, mode, duration) => {
            let disturbance = world.begin_disturbance(Part::Vm(vm));
            world.vms[vm].store_link.set(mode);
            tokio::time::sleep(duration).await;
            world.vms[vm].store_link.set(Mode::Open);
            world.end_disturbance(disturbance);
        }
        Fault::ServerLink(endpoint, mode, duration) => {
            let disturbance = world.begin_disturbance(Part::Servers);
            world.endpoints[endpoint].links.set(mode);
            tokio::time::sleep(duration).await;
            world.endpoints[endpoint].links.set(Mode::Open);
            world.end_disturbance(disturbance);
        }
        Fault::Partition(vm, mode, duration) => {
            let disturbance = world.begin_disturbance(Part::Servers);
            world.set_server_links(vm, mode);
            tokio::time::sleep(duration).await;
            world.set_server_links(vm, Mode::Open);
            world.end_disturbance(disturbance);
        }
        Fault::Crash(endpoint, downtime) => {
            let disturbance = world.begin_disturbance(Part::Servers);
            world.endpoints[endpoint].links.set(Mode::Reset);
            tokio::time::sleep(downtime).await;
            world.endpoints[endpoint].links.set(Mode::Open);
            world.replace(&world.endpoints[endpoint]).await;
            world.end_disturbance(disturbance);
        }
        Fault::Drain(endpoint) => drain(&world, endpoint, true).await,
        Fault::LeaveUnlisted(endpoint) => drain(&world, endpoint, false).await,
        Fault::Backoff(endpoint, duration) => back_off(&world, endpoint, duration).await,
        Fault::Restore(age) => restore(&world, age).await,
        Fault::StoreBehaviour(behaviour, duration) => {
            let disturbance = world.begin_disturbance(Part::Store);
            world.store.set_behaviour(behaviour);
            tokio::time::sleep(duration).await;
            world.store.set_behaviour(Behaviour::Normal);
            world.end_disturbance(disturbance);
        }
        Fault::Compact => world.store.compact(),
    }
}

/// Sets a rate limit at one random server after the other until cancelled.
pub(crate) async fn vary_rate_limits(world: Arc<World>, seed: u64, stop: CancellationToken) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !stop.is_cancelled() {
        let endpoint = &world.endpoints[rng.random_range(0..world.endpoints.len())];
        let rate = rng.random_range(1..12) as f64 / 4.0;
        let duration = Duration::from_millis(rng.random_range(4_000..8_000));
        println!("{} has a rate limit of {rate} a second for {duration:?}", endpoint.id());
        endpoint.set_rate_limit(Some(rate));
        let _ = tokio::time::timeout(duration, stop.cancelled()).await;
        endpoint.set_rate_limit(None);
    }
}

/// Takes down each server that a request crashes, and replaces it after a random time.
pub(crate) async fn crash_servers(world: Arc<World>, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    loop {
        let server = world.journal.next_crash().await;
        let downtime = Duration::from_millis(rng.random_range(200..1_500));
        tokio::spawn(crash_server(world.clone(), server, downtime));
    }
}

async fn crash_server(world: Arc<World>, server: String, downtime: Duration) {
    // Another fault may already have replaced the server.
    let Some(endpoint) = world.endpoints.iter().find(|endpoint| endpoint.id() == server) else {
        return;
    };
    let disturbance = world.begin_disturbance(Part::Servers);
    endpoint.links.set(Mode::Closed);
    tokio::time::sleep(downtime).await;
    if endpoint.id() == server {
        world.replace(endpoint).await;
    }
    endpoint.links.set(Mode::Open);
    world.end_disturbance(disturbance);
}

/// Kills a process and restarts it, unless another fault restarts it first.
pub(crate) async fn kill(world: &World, vm: usize, downtime: Duration) {
    let disturbance = world.begin_disturbance(Part::Vm(vm));
    let incarnation = world.vms[vm].incarnation();
    world.vms[vm].signal(Signal::SIGKILL);
    // The exit is not seen while the soak process itself is stalled; a process started before the exit would find
    // its ports in use.
    for _ in 0..KILL_WAITS {
        if wait_for_exit(world, vm, incarnation, EXIT_SLACK).await {
            break;
        }
    }
    tokio::time::sleep(downtime).await;
    restart(world, vm, incarnation);
    world.end_disturbance(disturbance);
}

/// Stops a process with SIGTERM and restarts it.
async fn stop(world: &World, vm: usize) {
    let disturbance = world.begin_disturbance(Part::PlannedStop(vm));
    let incarnation = world.vms[vm].incarnation();
    world.vms[vm].signal(Signal::SIGTERM);
    // Another fault may freeze the process meanwhile.
    if !wait_for_exit(world, vm, incarnation, STOP_TIMEOUT + EXIT_SLACK * 3).await {
        world.record_violation(format!("{} did not exit after SIGTERM", world.vms[vm].name));
        world.vms[vm].signal(Signal::SIGKILL);
    }
    restart(world, vm, incarnation);
    world.end_disturbance(disturbance);
}

/// Waits until this incarnation of the process has exited; false after the timeout.
async fn wait_for_exit(world: &World, vm: usize, incarnation: usize, timeout: Duration) -> bool {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        if world.vms[vm].incarnation() != incarnation || world.vms[vm].exit_status().is_some() {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    false
}

fn restart(world: &World, vm: usize, incarnation: usize) {
    if world.vms[vm].incarnation() == incarnation {
        world.vms[vm].start();
    }
}

/// Makes a server refuse all requests and request a backoff.
async fn back_off(world: &World, endpoint: usize, duration: Duration) {
    let id = world.endpoints[endpoint].id();
    world.endpoints[endpoint].set_notice(Notice { backoff: Some(duration), ..Notice::default() });
    tokio::time::sleep(duration).await;
    if world.endpoints[endpoint].id() == id {
        world.endpoints[endpoint].set_notice(Notice::default());
    }
}

/// Makes the store unavailable for a moment and restores it from a snapshot. The servers then write their entries
/// again.
async fn restore(world: &World, age: Duration) {
    let snapshot = world.store.snapshot();
    tokio::time::sleep(age).await;
    let disturbance = world.begin_disturbance(Part::Store);
    world.store.set_behaviour(Behaviour::Unavailable);
    tokio::time::sleep(STORE_OUTAGE).await;
    world.store.restore(snapshot);
    world.store.set_behaviour(Behaviour::Normal);
    tokio::time::sleep(REGISTER_TIME).await;
    world.register_all();
    tokio::time::sleep(STALE_ENTRY_TIME).await;
    world.remove_stale();
    world.end_disturbance(disturbance);
}

/// Makes a server announce that it is leaving, in its responses and if `listed` in its entry. It serves for a
/// while longer and is then replaced.
async fn drain(world: &World, endpoint: usize, listed: bool) {
    let id = world.endpoints[endpoint].id();
    world.endpoints[endpoint].set_notice(Notice { leaving: true, ..Notice::default() });
    if listed {
        world.register(&world.endpoints[endpoint], true);
    }
    let leaving_since = Instant::now();
    tokio::time::sleep(DRAIN + DRAIN / 2).await;
    if world.endpoints[endpoint].id() != id {
        return;
    }
    let disturbance = world.begin_disturbance(Part::Servers);
    world.replace(&world.endpoints[endpoint]).await;
    world.end_disturbance(disturbance);
    if listed {
        check_drained(world, &id, leaving_since);
    }
}

/// Checks that a leaving server received no new requests later than [`DRAIN`] after its announcement, if all VMs
/// and the store were settled.
fn check_drained(world: &World, id: &str, leaving_since: Instant) {
    for (request, run) in world.journal.all_runs() {
        let late = run.server == id && run.at > leaving_since + DRAIN;
        if late && world.all_settled(leaving_since, run.at) {
            let after = run.at - leaving_since;
            world.record_violation(format!(
                "{id} announced that it is leaving, and received {request} {after:?} later"
            ));
        }
    }
}
