//! Rate limits that upstreams name in their answers: observed, replicated to all VMs, and enforced.
//!
//! The scheduler paces the requests of all VMs. A VM discards a grant whose scheduler did not know the latest limit, and
//! sends that limit to the scheduler.

use std::net::SocketAddr;
use std::time::Instant;

use foldlock_base::prelude::*;
use foldlock_request::cluster::Cluster;
use foldlock_request::dialect::Dialect;
use foldlock_request::flight::Flight;
use foldlock_request::message::Message;
use foldlock_request::placement::Placement;
use foldlock_request::rate_limit::{Entry, Limit, Merge};
use foldlock_request::tag::Tag;

use crate::fleet::announce;
use crate::fleet::process::Process;
use crate::log;

/// Applies the limit in an answer of an upstream instance to a request sent at `sent`.
pub fn observe<D: Dialect>(process: &Process<D>, start: Tag, rate: Option<Rate>, sent: Instant) {
    let now = process.now();
    let own = &process.member.vm;
    let mut cluster = process.cluster.lock().unwrap();
    let Some(upstream) = cluster.observe_limit(start, rate, sent, own, now) else { return };
    let entry = entry(&cluster, &upstream);
    drop(cluster);
    log_change(process, &upstream, rate, own);
    let scheduler = process.peers.scheduler(process.stopping.is_cancelled(), now);
    if let Some(address) = scheduler.and_then(|scheduler| scheduler.address()) {
        send(process, entry.into_iter().collect(), address);
    }
    broadcast(process);
}

/// Merges limits sent by a peer. Replies with those that are older than the known ones.
pub fn on_announcement<D: Dialect>(
    process: &Process<D>,
    entries: &[Entry],
    from: &id::Vm,
    address: SocketAddr,
) {
    let newer: Vec<Entry> = entries.iter().filter_map(|e| merge(process, *e, from)).collect();
    if !newer.is_empty() {
        send(process, newer, address);
    }
}

/// Merges a limit announced by a peer. Returns the known one if the peer's is older.
pub fn merge<D: Dialect>(process: &Process<D>, announced: Entry, from: &id::Vm) -> Option<Entry> {
    let mut cluster = process.cluster.lock().unwrap();
    let (merged, upstream) = cluster.merge_limit(announced, from, process.now())?;
    let own = entry(&cluster, &upstream);
    drop(cluster);
    match merged {
        Merge::Adopted => {
            log_change(process, &upstream, announced.limit.rate, from);
            broadcast(process);
            None
        }
        Merge::Same => None,
        Merge::Stale => own,
    }
}

/// Limits that forbid the use of a placement, since its scheduler did not know them.
pub fn unknown_to_scheduler<D: Dialect>(process: &Process<D>, placement: &Placement) -> Vec<Entry> {
    let cluster = process.cluster.lock().unwrap();
    let Flight { upstream, helpers, .. } = &placement.flight;
    let helpers = helpers.iter().map(|helping| &helping.upstream);
    let limited = helpers.filter(|id| cluster.get(id).is_some_and(|helper| helper.is_limited()));
    let own = (!cluster.may_send(upstream, placement.limit)).then_some(upstream);
    own.into_iter().chain(limited).filter_map(|id| entry(&cluster, id)).collect()
}

/// Whether an upstream has a rate limit.
pub fn is_limited<D: Dialect>(process: &Process<D>, upstream: &id::Upstream) -> bool {
    process.cluster.lock().unwrap().get(upstream).is_some_and(|known| known.is_limited())
}

/// Sends limits to a VM.
pub fn send<D: Dialect>(process: &Process<D>, limits: Vec<Entry>, to: SocketAddr) {
    announce::send(process, &Message::RateLimits(limits), to);
}

fn entry(cluster: &Cluster, upstream: &id::Upstream) -> Option<Entry> {
    let known = cluster.get(upstream)?;
    let limit: Limit = known.rate_limit.as_ref()?.limit;
    Some(Entry { upstream: known.tag, limit })
}

fn broadcast<D: Dialect>(process: &Process<D>) {
    process.tell_all();
    process.room.notify_one();
}

fn log_change<D: Dialect>(
    process: &Process<D>,
    upstream: &id::Upstream,
    rate: Option<Rate>,
    by: &id::Vm,
) {
    if process.trouble_lines.admit(process.now()).is_none() {
        return;
    }
    let what = match rate {
        Some(rate) => format!("{upstream} takes {rate} from all VMs, by its answer to {by}"),
        None => format!("{upstream} names no rate limit any more, by its answer to {by}"),
    };
    log::event(&process.log, Event::UpstreamLimited, what);
}
