//! Rate limits that upstreams state in their responses: observed, replicated to all VMs, and
//! enforced.
//!
//! The scheduler enforces them for the requests of all VMs. A VM discards a grant whose scheduler had
//! not received the latest limit, and sends that limit to the scheduler.

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

/// Records the limit in a response of an upstream's incarnation to a request that was sent at `sent`.
pub fn observe<D: Dialect>(
    process: &Process<D>,
    incarnation: Tag,
    rate: Option<Rate>,
    sent: Instant,
) {
    let now = process.now();
    let own = &process.member.vm;
    let mut cluster = process.cluster.lock().unwrap();
    let Some(upstream) = cluster.observe_limit(incarnation, rate, sent, own, now) else { return };
    let entry = entry(&cluster, &upstream);
    drop(cluster);
    log_change(process, &upstream, rate, own);
    let scheduler = process.peers.scheduler(process.stopping.is_cancelled(), now);
    if let Some(address) = scheduler.and_then(|scheduler| scheduler.address()) {
        send(process, entry.into_iter().collect(), address);
    }
    broadcast(process);
}

/// Merges limits sent by a peer. Replies with the limits recorded here that are newer.
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

/// Merges a limit announced by a peer. Returns the one recorded here if that is newer.
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

/// Limits that forbid the use of a placement. Its scheduler had not received them.
pub fn missing_at_scheduler<D: Dialect>(process: &Process<D>, placement: &Placement) -> Vec<Entry> {
    let cluster = process.cluster.lock().unwrap();
    let Flight { upstream, helpers, .. } = &placement.flight;
    let helpers = helpers.iter().map(|helper| &helper.upstream);
    let limited = helpers.filter(|id| cluster.get(id).is_some_and(|helper| helper.is_limited()));
    let outdated = (!cluster.may_send(upstream, placement.limit)).then_some(upstream);
    outdated.into_iter().chain(limited).filter_map(|id| entry(&cluster, id)).collect()
}

/// Whether an upstream has a rate limit.
pub fn is_limited<D: Dialect>(process: &Process<D>, upstream: &id::Upstream) -> bool {
    process.cluster.lock().unwrap().get(upstream).is_some_and(|upstream| upstream.is_limited())
}

/// Sends limits to a VM.
pub fn send<D: Dialect>(process: &Process<D>, limits: Vec<Entry>, to: SocketAddr) {
    announce::send(process, &Message::RateLimits(limits), to);
}

fn entry(cluster: &Cluster, upstream: &id::Upstream) -> Option<Entry> {
    let listed = cluster.get(upstream)?;
    let limit: Limit = listed.rate_limit.as_ref()?.limit;
    Some(Entry { upstream: listed.tag, limit })
}

fn broadcast<D: Dialect>(process: &Process<D>) {
    process.announce_to_all();
    process.cluster_changed.notify_one();
}

fn log_change<D: Dialect>(
    process: &Process<D>,
    upstream: &id::Upstream,
    rate: Option<Rate>,
    by: &id::Vm,
) {
    if process.problem_lines.admit(process.now()).is_none() {
        return;
    }
    let what = match rate {
        Some(rate) => {
            format!("{upstream} limits all VMs together to {rate}, by its response to {by}")
        }
        None => format!("{upstream} no longer states a rate limit, by its response to {by}"),
    };
    log::event(&process.log, Event::UpstreamRateLimited, what);
}
