//! Builds the heartbeats that announce the state of this VM, and sends them to its peers.

use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::message::{self, Activity, Heartbeat, Message, State};
use foldlock_request::step;

use crate::fleet::peers::Target;
use crate::fleet::process::Process;
use crate::fleet::{affiliation, compression};

/// The number of heartbeats that are sent before pending datagrams are received.
const BATCH_SIZE: usize = 64;

/// The recipients of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Audience {
    /// The scheduler.
    Scheduler,
    /// The scheduler and the standby schedulers.
    Standby,
    /// The schedulers and all peers that requested heartbeats.
    All,
}

/// Sends the state to the scheduler at once, where it must have it before it places the next
/// request: a caller may retry within a few milliseconds, which is as long as a heartbeat may be
/// delayed to be combined with others.
pub fn to_scheduler<D: Dialect>(process: &Process<D>) {
    start(process, Audience::Scheduler, process.now());
}

/// Sends the state to one peer at once, as it has just started and waits for it.
pub fn to_new_peer<D: Dialect>(process: &Process<D>, vm: &id::Vm) {
    let now = process.now();
    let target: Vec<Target> = process.peers.target(vm).into_iter().collect();
    send_to(process, &state(process, Audience::Scheduler, now), None, &target);
}

/// Sends a heartbeat to the schedulers of the audience. Returns the other recipients, which the
/// caller serves in batches: sending to all VMs of a large fleet takes tens of milliseconds, for
/// which grant requests would otherwise wait.
pub fn start<D: Dialect>(
    process: &Process<D>,
    audience: Audience,
    now: Instant,
) -> Option<Remainder> {
    let mut schedulers = process.peers.schedulers(now);
    if audience == Audience::Scheduler {
        let scheduler = process.peers.scheduler(process.stopping.is_cancelled(), now);
        let first = scheduler.and_then(|scheduler| scheduler.address());
        schedulers.retain(|target| Some(target.address) == first);
    }
    let subscribers =
        if audience == Audience::All { process.peers.subscribers(now) } else { Vec::new() };
    if schedulers.is_empty() && subscribers.is_empty() {
        return None;
    }
    let state = state(process, audience, now);
    let activity = (!schedulers.is_empty()).then(|| activity(process, audience, now));
    send_to(process, &state, activity, &schedulers);
    (!subscribers.is_empty()).then_some(Remainder { state, targets: subscribers })
}

/// Recipients to which a heartbeat has not been sent yet.
#[derive(Debug)]
pub struct Remainder {
    state: State,
    targets: Vec<Target>,
}

impl Remainder {
    /// Sends the heartbeat to one batch of the recipients. Returns the others.
    pub fn send_batch<D: Dialect>(mut self, process: &Process<D>) -> Option<Remainder> {
        let left = self.targets.split_off(self.targets.len().min(BATCH_SIZE));
        send_to(process, &self.state, None, &self.targets);
        (!left.is_empty()).then_some(Remainder { targets: left, ..self })
    }
}

fn send_to<D: Dialect>(
    process: &Process<D>,
    state: &State,
    activity: Option<Activity>,
    targets: &[Target],
) {
    let scheduler = process.peers.scheduler(process.stopping.is_cancelled(), process.now());
    let scheduler = scheduler.and_then(|scheduler| scheduler.address());
    for target in targets {
        let is_client =
            Some(target.address) == scheduler && affiliation::contact_peer(process, &target.vm);
        let activity = activity.clone().filter(|_| target.may_schedule);
        let heartbeat = Heartbeat {
            echo: target.echo,
            echo_of: target.echo_of,
            last_grant: target.last_grant,
            requests_heartbeats: target.may_schedule,
            state: State { activity, ..state.clone() },
            is_client,
        };
        send(process, &Message::Heartbeat(heartbeat), target.address);
    }
    process.metrics.heartbeats.inc_by(targets.len() as u64);
}

/// Sends a message. It is dropped if the socket's buffer is full or the port closed, as the network
/// may drop it: heartbeats repeat the state, and grant requests are sent again.
pub fn send<D: Dialect>(process: &Process<D>, message: &Message, to: std::net::SocketAddr) {
    let bytes = message::encode(message);
    process.metrics.peer_bytes.inc_by(bytes.len() as u64);
    let _ = process.socket.try_send_to(&bytes, to);
}

fn state<D: Dialect>(process: &Process<D>, audience: Audience, now: Instant) -> State {
    let steps = if audience == Audience::All { steps(process, now) } else { Bytes::new() };
    let (digest, restarts, leaving_upstreams, rate_limits) = {
        let mut cluster = process.cluster.lock().unwrap();
        let (leaving_upstreams, rate_limits) = match audience {
            Audience::All => (cluster.announced_leaving(), cluster.announced_limits(now)),
            _ => (Vec::new(), Vec::new()),
        };
        (cluster.digest(), cluster.announced_restarts(now), leaving_upstreams, rate_limits)
    };
    State {
        stamp: process.peers.stamp(process.moment()),
        version: process.version(),
        age_ms: process.freshness.age(process.moment()).map(|age| age.as_millis() as u64 + 1),
        revision: process.revision(),
        digest,
        leaving: process.stopping.is_cancelled(),
        withdraw: process.withdrawals.is_delegated(),
        watching: process.watching.load(Ordering::Relaxed),
        synced: process.peers.is_synced(now),
        restarts,
        leaving_upstreams,
        rate_limits,
        steps,
        ..State::new(process.member.vm.clone(), process.member.incarnation)
    }
}

/// The recent directory changes that no VM before this one in the order announces.
fn steps<D: Dialect>(process: &Process<D>, now: Instant) -> Bytes {
    let announced = process.peers.announced_by_others(now);
    let steps = process.steps.lock().unwrap().announced(announced);
    if steps.is_empty() { Bytes::new() } else { compression::compress(&step::encode(&steps)) }
}

fn activity<D: Dialect>(process: &Process<D>, audience: Audience, now: Instant) -> Activity {
    let promises = match audience {
        Audience::Scheduler => Vec::new(),
        _ => process.promises.lock().unwrap().announced(now),
    };
    let mut cluster = process.cluster.lock().unwrap();
    Activity {
        flights: cluster.announced_flights(now),
        outcomes: cluster.announced_outcomes(now),
        reports: cluster.announced_reports(now),
        suspects: cluster.quarantine.announced(audience == Audience::All, now),
        dispatches: cluster.announced_dispatches(now),
        promises,
    }
}
