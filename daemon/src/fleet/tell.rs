//! What this VM tells its peers, and whom.

use std::sync::atomic::Ordering;
use std::time::Instant;

use bytes::Bytes;
use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::message::{self, Activity, Heartbeat, Message, State};
use foldlock_request::step;

use crate::fleet::peers::Target;
use crate::fleet::process::Process;
use crate::fleet::{affiliation, packed};

/// Beats that are sent in one go, before what came meanwhile is heard.
const IN_ONE_GO: usize = 64;

/// Who is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Round {
    /// The scheduler.
    First,
    /// The VMs that would take over from it, too.
    Spare,
    /// All that want to hear.
    All,
}

/// Tells the scheduler at once what it must not place without: a caller that sends a request again
/// takes a few milliseconds, no more than a beat may wait for others.
pub fn tell_scheduler<D: Dialect>(process: &Process<D>) {
    tell(process, Round::First, process.now());
}

/// Tells one peer at once how things are: it has just started and waits to know.
pub fn tell_newcomer<D: Dialect>(process: &Process<D>, vm: &id::Vm) {
    let now = process.now();
    let target: Vec<Target> = process.peers.target(vm).into_iter().collect();
    tell_targets(process, &state(process, Round::First, now), None, &target);
}

/// Tells those whose turn it is. Answers who is left to be told the same: a round to all of a large fleet takes
/// tens of milliseconds, in which questions would wait for their answers.
pub fn tell<D: Dialect>(process: &Process<D>, round: Round, now: Instant) -> Option<Rest> {
    let mut told = process.peers.schedulers(now);
    if round == Round::First {
        let scheduler = process.peers.scheduler(process.stopping.is_cancelled(), now);
        let first = scheduler.and_then(|scheduler| scheduler.address());
        told.retain(|target| Some(target.address) == first);
    }
    let listeners = if round == Round::All { process.peers.listeners(now) } else { Vec::new() };
    if told.is_empty() && listeners.is_empty() {
        return None;
    }
    let state = state(process, round, now);
    let work = (!told.is_empty()).then(|| work(process, round, now));
    tell_targets(process, &state, work, &told);
    (!listeners.is_empty()).then_some(Rest { state, targets: listeners })
}

/// VMs that are still to be told of a round.
#[derive(Debug)]
pub struct Rest {
    state: State,
    targets: Vec<Target>,
}

impl Rest {
    /// Tells some of them. Answers the others.
    pub fn tell_some<D: Dialect>(mut self, process: &Process<D>) -> Option<Rest> {
        let left = self.targets.split_off(self.targets.len().min(IN_ONE_GO));
        tell_targets(process, &self.state, None, &self.targets);
        (!left.is_empty()).then_some(Rest { targets: left, ..self })
    }
}

fn tell_targets<D: Dialect>(
    process: &Process<D>,
    state: &State,
    work: Option<Activity>,
    targets: &[Target],
) {
    let scheduler = process.peers.scheduler(process.stopping.is_cancelled(), process.now());
    let scheduler = scheduler.and_then(|scheduler| scheduler.address());
    for target in targets {
        let is_client =
            Some(target.address) == scheduler && affiliation::contact_peer(process, &target.vm);
        let work = work.clone().filter(|_| target.scheduler);
        let beat = Heartbeat {
            echo: target.echo,
            echo_of: target.echo_of,
            last_grant: target.granted,
            requests_heartbeats: target.scheduler,
            state: State { activity: work, ..state.clone() },
            is_client,
        };
        send(process, &Message::Heartbeat(beat), target.address);
    }
    process.metrics.heartbeats.inc_by(targets.len() as u64);
}

/// Sends a message. A full or closed way loses it, as the network may: beats say the same again, and
/// who asks asks again.
pub fn send<D: Dialect>(process: &Process<D>, message: &Message, to: std::net::SocketAddr) {
    let bytes = message::encode(message);
    process.metrics.peer_bytes.inc_by(bytes.len() as u64);
    let _ = process.socket.try_send_to(&bytes, to);
}

fn state<D: Dialect>(process: &Process<D>, round: Round, now: Instant) -> State {
    let steps = if round == Round::All { steps(process, now) } else { Bytes::new() };
    let (digest, starts, departures, rate_limits) = {
        let mut cluster = process.cluster.lock().unwrap();
        let (departures, rate_limits) = match round {
            Round::All => (cluster.announced_leaving(), cluster.announced_limits(now)),
            _ => (Vec::new(), Vec::new()),
        };
        (cluster.digest(), cluster.announced_restarts(now), departures, rate_limits)
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
        synced: process.peers.settled(now),
        restarts: starts,
        leaving_upstreams: departures,
        rate_limits,
        steps,
        ..State::new(process.member.vm.clone(), process.member.incarnation)
    }
}

/// What changed of late, unless a VM before this one in the order tells it.
fn steps<D: Dialect>(process: &Process<D>, now: Instant) -> Bytes {
    let known = process.peers.told_by_others(now);
    let steps = process.steps.lock().unwrap().announced(known);
    if steps.is_empty() { Bytes::new() } else { packed::pack(&step::encode(&steps)) }
}

fn work<D: Dialect>(process: &Process<D>, round: Round, now: Instant) -> Activity {
    let mut cluster = process.cluster.lock().unwrap();
    Activity {
        flights: cluster.announced_flights(now),
        outcomes: cluster.announced_outcomes(now),
        reports: cluster.announced_reports(now),
        suspects: cluster.quarantine.announced(round == Round::All, now),
        dispatches: cluster.announced_dispatches(now),
    }
}
