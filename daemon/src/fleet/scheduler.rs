//! Grants placements to the requests of this VM and of peers that have chosen it as scheduler.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_request::budget::Budget;
use foldlock_request::cluster::{Cluster, Holder};
use foldlock_request::dialect::Dialect;
use foldlock_request::message::{self, GrantReply, GrantRequest, Message, Number};
use foldlock_request::placement::{self, Placement, Rejection, Requirements};
use foldlock_request::scheduler::{Key, Reply};
use foldlock_request::tag::Tag;
use foldlock_version::routes::Service;

use crate::fleet::process::Process;
use crate::fleet::{affiliation, announce, decisions};

/// Minimum time between two rounds of placing queued requests: one round covers all the capacity
/// that became free in the meantime.
const BATCH_INTERVAL: Duration = Duration::from_millis(3);

/// Maximum time between two rounds while requests are queued: engines are also expected to become
/// free as time passes, without any event.
const QUEUE_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time between two rounds while the queue is empty: they also release unused grants.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// Handles a grant request of a peer.
pub fn on_grant_request<D: Dialect>(
    process: &Process<D>,
    received: &GrantRequest,
    from: SocketAddr,
) {
    let Some(peer) = process.peers.by_address(from) else { return };
    let now = process.now();
    let requirements = received.requirements(peer.hall, now);
    let key = key(Holder::Peer(peer.vm), received.request);
    let reply = schedule(process, key, received.service, requirements, received.is_client, now);
    send_reply(process, received.request, from, reply);
}

/// Handles a grant request of this VM itself.
pub fn request_own<D: Dialect>(
    process: &Process<D>,
    number: u64,
    service: &Service,
    requirements: &Requirements,
) {
    let key = key(Holder::Own, process.request_number(number));
    let (now, is_client) = (process.now(), affiliation::contact_own(process));
    let reply =
        schedule(process, key, Tag::of(&service.name), requirements.clone(), is_client, now);
    process.pending_grants.deliver(number, reply);
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
    let mut scheduler = process.scheduler.lock().unwrap();
    let mut cluster = process.cluster.lock().unwrap();
    record_contact(process, &mut scheduler.budget, &key.holder, is_client, now);
    let reply = scheduler.request(&mut cluster, &settings.table, key, service, requirements, now);
    if matches!(reply, Reply::Queued) {
        process.cluster_changed.notify_one();
    }
    reply
}

/// Places a request of this VM from its own cluster state, when no scheduler replies. Retries are
/// charged to this VM's own share of the fleet's retry budget.
pub fn place_locally<D: Dialect>(
    process: &Process<D>,
    service: &Service,
    requirements: &Requirements,
    now: Instant,
) -> Result<Placement, Rejection> {
    let tag = Tag::of(&service.name);
    let is_client = affiliation::contact_own(process);
    let mut scheduler = process.scheduler.lock().unwrap();
    record_contact(process, &mut scheduler.budget, &Holder::Own, is_client, now);
    scheduler.budget.check(tag, requirements.charge, now).map_err(Rejection::OverBudget)?;
    let placement = placement::place(&process.cluster.lock().unwrap(), service, requirements, now)?;
    scheduler.budget.charge(tag, requirements.charge, now).map_err(Rejection::OverBudget)?;
    Ok(placement)
}

/// Handles a heartbeat of a client, a VM whose share of the retry budget is kept here.
pub fn on_client_heartbeat<D: Dialect>(process: &Process<D>, vm: &id::Vm, now: Instant) {
    let mut scheduler = process.scheduler.lock().unwrap();
    let vm = Holder::Peer(vm.clone());
    record_contact(process, &mut scheduler.budget, &vm, true, now);
}

/// Records the size of the fleet in the retry budget, whether this VM is the scheduler or not.
pub fn record_size<D: Dialect>(process: &Process<D>, now: Instant) {
    let mut scheduler = process.scheduler.lock().unwrap();
    scheduler.budget.record_size(process.peers.running_count(), now);
    confirm_size(process, &mut scheduler.budget, now);
}

/// Records a message of a VM in the retry budget, with the size of the fleet as listed here.
fn record_contact<D: Dialect>(
    process: &Process<D>,
    budget: &mut Budget,
    vm: &Holder,
    is_client: bool,
    now: Instant,
) {
    budget.record_contact(vm, is_client, process.peers.running_count(), now);
    confirm_size(process, budget, now);
}

/// Confirms the size of the fleet as of the time at which the settings were confirmed: the directory confirms both
/// together.
fn confirm_size<D: Dialect>(process: &Process<D>, budget: &mut Budget, now: Instant) {
    let age = process.freshness.age(process.moment());
    if let Some(at) = age.and_then(|age| now.checked_sub(age)) {
        budget.confirm_size(at);
    }
}

/// Handles the cancellation of a peer's grant request.
pub fn on_cancel<D: Dialect>(process: &Process<D>, request: Number, from: SocketAddr) {
    if let Some(peer) = process.peers.by_address(from) {
        cancel(process, &key(Holder::Peer(peer.vm), request));
    }
}

/// Cancels a grant request of this VM.
pub fn cancel_own<D: Dialect>(process: &Process<D>, number: u64) {
    cancel(process, &key(Holder::Own, process.request_number(number)));
}

fn key(holder: Holder, request: Number) -> Key {
    Key { holder, incarnation: request.incarnation, number: request.number }
}

fn cancel<D: Dialect>(process: &Process<D>, key: &Key) {
    let mut scheduler = process.scheduler.lock().unwrap();
    scheduler.cancel(&mut process.cluster.lock().unwrap(), key, process.now());
    process.cluster_changed.notify_one();
}

/// Places queued requests as capacity becomes free.
pub async fn run<D: Dialect>(process: Arc<Process<D>>) {
    loop {
        let idle = process.scheduler.lock().unwrap().is_idle();
        let notified = process.cluster_changed.notified();
        let _ =
            tokio::time::timeout(if idle { IDLE_INTERVAL } else { QUEUE_INTERVAL }, notified).await;
        place_queued(&process);
        tokio::time::sleep(BATCH_INTERVAL).await;
    }
}

fn place_queued<D: Dialect>(process: &Process<D>) {
    let now = process.now();
    let mut scheduler = process.scheduler.lock().unwrap();
    scheduler.promises.expire(now);
    let Some(settings) = process.settings() else { return };
    let mut cluster = process.cluster.lock().unwrap();
    let replies = scheduler.place_queued(&mut cluster, &settings.table, now);
    let errors = scheduler.take_forecast_errors();
    let decisions = scheduler.take_decisions();
    drop((scheduler, cluster));
    decisions::log(process, decisions);
    for error in errors {
        process.metrics.observe_forecast(error);
    }
    for (Key { holder, incarnation, number }, reply) in replies {
        match holder {
            Holder::Own => process.pending_grants.deliver(number, reply),
            Holder::Peer(vm) => send_reply_to(process, &vm, Number { incarnation, number }, reply),
        }
    }
}

fn send_reply_to<D: Dialect>(process: &Process<D>, vm: &id::Vm, request: Number, reply: Reply) {
    // A peer that is no longer listed has to choose another scheduler.
    if let Some(member) = process.peers.member(vm) {
        send_reply(process, request, member.address, reply);
    }
}

fn send_reply<D: Dialect>(process: &Process<D>, request: Number, to: SocketAddr, reply: Reply) {
    let reply = encode(&process.cluster.lock().unwrap(), reply);
    let message = Message::GrantReply(GrantReply { request, reply });
    announce::send(process, &message, to);
}

fn encode(cluster: &Cluster, reply: Reply) -> message::Reply {
    let (placement, grant) = match reply {
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
        reason: placement.reason,
    })
}
