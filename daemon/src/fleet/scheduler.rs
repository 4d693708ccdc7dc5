//! Placing the requests of all VMs that ask this one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_request::cluster::{Cluster, Holder};
use foldlock_request::dialect::Dialect;
use foldlock_request::message::{self, GrantReply, GrantRequest, Message, Number};
use foldlock_request::placement::{self, Placement, Rejection, Requirements};
use foldlock_request::scheduler::{Key, Reply};
use foldlock_request::tag::Tag;
use foldlock_version::routes::Service;

use crate::fleet::process::Process;
use crate::fleet::{affiliation, announce};

/// The least time between two looks at what waits: what ends gathers for it.
const BATCH_INTERVAL: Duration = Duration::from_millis(3);

/// The longest time between two looks while something waits: engines get free by the clock, too.
const QUEUE_INTERVAL: Duration = Duration::from_millis(20);

/// The same while nothing does: what was given and not used is taken back.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// A peer asks for a placement.
pub fn asked<D: Dialect>(process: &Process<D>, asked: &GrantRequest, from: SocketAddr) {
    let Some(peer) = process.peers.by_address(from) else { return };
    let now = process.now();
    let requirements = asked.requirements(peer.hall, now);
    let key = key(Holder::Peer(peer.vm), asked.request);
    let answer = schedule(process, key, asked.service, requirements, asked.is_client, now);
    answered(process, asked.request, from, answer);
}

/// A request of this VM asks for a placement.
pub fn own<D: Dialect>(
    process: &Process<D>,
    number: u64,
    service: &Service,
    requirements: &Requirements,
) {
    let key = key(Holder::Own, process.numbered(number));
    let (now, is_client) = (process.now(), affiliation::contact_own(process));
    let answer =
        schedule(process, key, Tag::of(&service.name), requirements.clone(), is_client, now);
    process.questions.deliver(number, answer);
}

fn schedule<D: Dialect>(
    process: &Process<D>,
    key: Key,
    service: Tag,
    requirements: Requirements,
    is_client: bool,
    now: Instant,
) -> Reply {
    let Some(settings) = process.settings() else { return Reply::Rejected(Rejection::NoUpstream) };
    let vms = process.peers.running_count();
    let mut scheduler = process.scheduler.lock().unwrap();
    let mut cluster = process.cluster.lock().unwrap();
    scheduler.budget.record_contact(&key.holder, is_client, vms, now);
    let answer = scheduler.request(&mut cluster, &settings.table, key, service, requirements, now);
    if matches!(answer, Reply::Queued) {
        process.room.notify_one();
    }
    answer
}

/// Places a request of this VM by what it knows itself, where no scheduler answers. What it spends is
/// its own part of the fleet's retry budget.
pub fn place_alone<D: Dialect>(
    process: &Process<D>,
    service: &Service,
    requirements: &Requirements,
    now: Instant,
) -> Result<Placement, Rejection> {
    let vms = process.peers.running_count();
    let tag = Tag::of(&service.name);
    let is_client = affiliation::contact_own(process);
    let mut scheduler = process.scheduler.lock().unwrap();
    scheduler.budget.record_contact(&Holder::Own, is_client, vms, now);
    scheduler.budget.check(tag, requirements.charge, now).map_err(Rejection::OverBudget)?;
    let placement = placement::place(&process.cluster.lock().unwrap(), service, requirements, now)?;
    scheduler.budget.charge(tag, requirements.charge, now).map_err(Rejection::OverBudget)?;
    Ok(placement)
}

/// A client has sent its heartbeat.
pub fn on_client_heartbeat<D: Dialect>(process: &Process<D>, vm: &id::Vm, now: Instant) {
    let vms = process.peers.running_count();
    let mut scheduler = process.scheduler.lock().unwrap();
    scheduler.budget.record_contact(&Holder::Peer(vm.clone()), true, vms, now);
}

/// A peer asks no more.
pub fn cancelled<D: Dialect>(process: &Process<D>, request: Number, from: SocketAddr) {
    if let Some(peer) = process.peers.by_address(from) {
        cancel(process, &key(Holder::Peer(peer.vm), request));
    }
}

/// A request of this VM asks no more.
pub fn cancel_own<D: Dialect>(process: &Process<D>, number: u64) {
    cancel(process, &key(Holder::Own, process.numbered(number)));
}

fn key(holder: Holder, request: Number) -> Key {
    Key { holder, incarnation: request.incarnation, number: request.number }
}

fn cancel<D: Dialect>(process: &Process<D>, key: &Key) {
    let mut scheduler = process.scheduler.lock().unwrap();
    scheduler.cancel(&mut process.cluster.lock().unwrap(), key, process.now());
    process.room.notify_one();
}

/// Places what waits, as there is room for it.
pub async fn run<D: Dialect>(process: Arc<Process<D>>) {
    loop {
        let idle = process.scheduler.lock().unwrap().is_idle();
        let room = process.room.notified();
        let _ = tokio::time::timeout(if idle { IDLE_INTERVAL } else { QUEUE_INTERVAL }, room).await;
        look(&process);
        tokio::time::sleep(BATCH_INTERVAL).await;
    }
}

fn look<D: Dialect>(process: &Process<D>) {
    let Some(settings) = process.settings() else { return };
    let now = process.now();
    let mut scheduler = process.scheduler.lock().unwrap();
    let mut cluster = process.cluster.lock().unwrap();
    let answers = scheduler.place_queued(&mut cluster, &settings.table, now);
    drop((scheduler, cluster));
    for (Key { holder, incarnation, number }, answer) in answers {
        match holder {
            Holder::Own => process.questions.deliver(number, answer),
            Holder::Peer(vm) => tell(process, &vm, Number { incarnation, number }, answer),
        }
    }
}

fn tell<D: Dialect>(process: &Process<D>, vm: &id::Vm, request: Number, answer: Reply) {
    // A peer that is listed no more asks elsewhere.
    if let Some(member) = process.peers.member(vm) {
        answered(process, request, member.address, answer);
    }
}

fn answered<D: Dialect>(process: &Process<D>, request: Number, to: SocketAddr, answer: Reply) {
    let reply = encode(&process.cluster.lock().unwrap(), answer);
    let message = Message::GrantReply(GrantReply { request, reply });
    announce::send(process, &message, to);
}

fn encode(cluster: &Cluster, answer: Reply) -> message::Reply {
    let (placement, grant) = match answer {
        Reply::Granted(placement, grant) => (placement, grant),
        Reply::Queued => return message::Reply::Queued,
        Reply::Rejected(rejection) => return message::Reply::Rejected(rejection),
    };
    let tag = |id: &id::Upstream| cluster.tag_of(id);
    let flight = &placement.flight;
    message::Reply::Granted(message::Grant {
        number: grant,
        upstream: tag(&flight.upstream),
        helpers: flight.helpers.iter().map(|h| (tag(&h.upstream), h.reserved)).collect(),
        part_ms: flight.part_ms,
        memory: flight.memory,
        pause_ms: flight.pause_ms,
        predicted_ms: placement.predicted_ms,
        load: placement.load,
        busiest_helpers: placement
            .busiest_helpers
            .iter()
            .map(|(id, load)| (tag(id), load.clone()))
            .collect(),
        candidates: placement.candidates,
        isolated: flight.isolated,
        limited: placement.limited,
        limit: placement.limit,
    })
}
