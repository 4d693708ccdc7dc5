//! Replies of schedulers to grant requests.

use std::net::SocketAddr;

use foldlock_request::cluster::Cluster;
use foldlock_request::dialect::Dialect;
use foldlock_request::flight::{Flight, Helper};
use foldlock_request::message::{self, GrantReply, Number};
use foldlock_request::placement::Placement;
use foldlock_request::rate_limit::Entry;
use foldlock_request::scheduler::Reply;
use foldlock_request::tag::Tag;

use crate::fleet::process::Process;
use crate::fleet::rate_limits;

/// Handles a reply of a peer.
pub fn on_reply<D: Dialect>(process: &Process<D>, received: GrantReply, from: SocketAddr) {
    let Number { incarnation, number } = received.request;
    if incarnation != process.member.incarnation {
        return;
    }
    let Some(peer) = process.peers.by_address(from) else { return };
    process.peers.on_grant_reply(&peer.vm);
    if let message::Reply::Granted(grant) = &received.reply {
        process.peers.on_grant(&peer.vm, grant.number);
    }
    if let message::Reply::Granted(grant) = &received.reply
        && let Some(limit) = grant.limit
    {
        rate_limits::merge(process, Entry { upstream: grant.upstream, limit }, &peer.vm);
    }
    let reply = decode(&process.cluster.lock().unwrap(), received.reply);
    // A placement at an upstream that is not listed here can't be used. It is dropped, and the
    // request times out and goes to the next scheduler.
    if let Some(reply) = reply {
        process.pending_grants.deliver(number, reply);
    }
}

fn decode(cluster: &Cluster, reply: message::Reply) -> Option<Reply> {
    let grant = match reply {
        message::Reply::Granted(grant) => grant,
        message::Reply::Queued => return Some(Reply::Queued),
        message::Reply::Rejected(rejection) => return Some(Reply::Rejected(rejection)),
    };
    let id = |tag: Tag| cluster.by_tag(tag).map(|upstream| upstream.listed.id.clone());
    let helper =
        |(tag, reserved): &(Tag, u64)| Some(Helper { upstream: id(*tag)?, reserved: *reserved });
    let busiest_helpers =
        grant.busiest_helpers.into_iter().filter_map(|(tag, load)| Some((id(tag)?, load)));
    let placement = Placement {
        flight: Flight {
            upstream: id(grant.upstream)?,
            helpers: grant.helpers.iter().map(helper).collect::<Option<_>>()?,
            part_ms: grant.part_ms,
            memory: grant.memory,
            pause_ms: grant.pause_ms,
            decoding: false,
            isolated: grant.isolated,
        },
        predicted_ms: grant.predicted_ms,
        load: grant.load,
        busiest_helpers: busiest_helpers.collect(),
        candidates: grant.candidates,
        limited: grant.limited,
        limit: grant.limit,
        reason: grant.reason,
    };
    Some(Reply::Granted(Box::new(placement), grant.number))
}
