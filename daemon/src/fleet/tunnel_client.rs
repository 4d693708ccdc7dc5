//! Opens tunnels to upstreams through peers.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use foldlock_base::prelude::*;
use foldlock_connection::tunnel::{self, Failure, Tunnel};
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::Member;
use foldlock_request::reachability::{Testimony, hall_crossings};
use futures::stream::{FuturesUnordered, StreamExt};
use rand::seq::SliceRandom;

use crate::fleet::metrics::{ByTunnel, TunnelResult};
use crate::fleet::process::Process;
use crate::fleet::tunnels::Standing;

/// Peers that are asked for one tunnel, with those that do not answer.
const MAX_PEERS: usize = 6;

/// Answers of peers after which no more of them are asked for one tunnel.
const MAX_TESTIMONIES: usize = 3;

/// Time after which the next peer is asked as well.
const NEXT_PEER_DELAY: Duration = Duration::from_millis(100);

/// Timeout of a peer's response: it may first wait for its own connection to the upstream.
const TIMEOUT: Duration = Duration::from_millis(400);

/// An upstream to connect to.
#[derive(Debug, Clone)]
pub struct Target {
    /// Its id.
    pub upstream: id::Upstream,
    /// Its service.
    pub service: String,
    /// Its data hall.
    pub hall: String,
}

/// Opens a tunnel to an upstream through the first peer that reaches it. Fails with the testimonies of the peers that
/// answered; a peer that may be down does not count, unless none answered.
pub async fn open<D: Dialect>(
    process: &Arc<Process<D>>,
    target: &Target,
) -> Result<(Tunnel, id::Vm), Vec<Testimony>> {
    let mut candidates = Candidates::new(process, target);
    let mut opening = FuturesUnordered::new();
    let mut testimonies = Vec::new();
    loop {
        if testimonies.len() < MAX_TESTIMONIES
            && let Some(peer) = candidates.next(process, target)
        {
            opening.push(open_through(process, peer, target));
        }
        let ended = if candidates.has_more() && testimonies.len() < MAX_TESTIMONIES {
            tokio::time::timeout(NEXT_PEER_DELAY, opening.next()).await
        } else {
            Ok(opening.next().await)
        };
        match ended {
            // The next peer is asked as well.
            Err(_) => {}
            Ok(None) => break,
            Ok(Some(Ok(opened))) => return Ok(opened),
            Ok(Some(Err(testimony))) => testimonies.extend(testimony),
        }
    }
    if testimonies.is_empty() && candidates.has_peers {
        testimonies.push(Testimony::Unknown);
    }
    Err(testimonies)
}

/// Fails with the peer's testimony; none if it did not answer.
async fn open_through<D: Dialect>(
    process: &Arc<Process<D>>,
    peer: Member,
    target: &Target,
) -> Result<(Tunnel, id::Vm), Option<Testimony>> {
    let address = peer.address.to_string();
    let opened = tokio::time::timeout(TIMEOUT, tunnel::open(&address, &target.upstream)).await;
    let opened = opened.unwrap_or_else(|_| Err(Failure::Unavailable("no response".to_owned())));
    let result = match &opened {
        Ok(_) => TunnelResult::Opened,
        Err(Failure::Unavailable(_)) => TunnelResult::Unavailable,
        Err(Failure::Unknown) => TunnelResult::Unknown,
        Err(Failure::Refused | Failure::Unreachable) => TunnelResult::Unreachable,
    };
    process.metrics.tunnels.get_or_create(&ByTunnel { result }).inc();
    let is_of_use = !matches!(opened, Err(Failure::Unavailable(_) | Failure::Unknown));
    process.tunnels.record(&peer.vm, &target.service, is_of_use, process.now());
    match opened {
        Ok(tunnel) => Ok((tunnel, peer.vm)),
        Err(Failure::Refused) => Err(Some(Testimony::Refused)),
        Err(Failure::Unreachable) => Err(Some(Testimony::Unreachable)),
        Err(Failure::Unknown) => Err(Some(Testimony::Unknown)),
        Err(Failure::Unavailable(_)) => Err(None),
    }
}

/// The peers to ask, in order.
struct Candidates {
    queue: VecDeque<Member>,
    /// Whether the queue still lacks the peers that have not opened a tunnel of late. Their number may be large.
    lacks_others: bool,
    has_peers: bool,
}

impl Candidates {
    /// Begins with the peers that opened tunnels to the service of late.
    fn new<D: Dialect>(process: &Process<D>, target: &Target) -> Candidates {
        let preferred = process.tunnels.preferred(&target.service, process.now());
        let listed = preferred.iter().filter_map(|vm| process.peers.member(vm));
        let peers = listed.map(|member| (member, false)).collect();
        let queue = in_order(process, target, peers);
        Candidates { has_peers: !queue.is_empty(), queue, lacks_others: true }
    }

    fn has_more(&self) -> bool {
        !self.queue.is_empty() || self.lacks_others
    }

    fn next<D: Dialect>(&mut self, process: &Process<D>, target: &Target) -> Option<Member> {
        if self.queue.is_empty() && std::mem::take(&mut self.lacks_others) {
            let now = process.now();
            let mut others = process.peers.may_be_up(now);
            self.has_peers |= !others.is_empty();
            others.retain(|(peer, _)| {
                process.tunnels.standing(&peer.vm, &target.service, now) == Standing::Unknown
            });
            self.queue = in_order(process, target, others);
        }
        self.queue.pop_front()
    }
}

/// Orders peers: those with the least traffic between data halls first, then those that do not schedule, equal ones at
/// random. The second one is in another data hall than the first, as the VMs of one hall may have lost the same paths.
fn in_order<D: Dialect>(
    process: &Process<D>,
    target: &Target,
    mut peers: Vec<(Member, bool)>,
) -> VecDeque<Member> {
    peers.shuffle(&mut rand::rng());
    let own = &process.member.hall;
    peers.sort_by_key(|(peer, schedules)| {
        (hall_crossings(own, &peer.hall, &target.hall), *schedules)
    });
    let mut peers: Vec<Member> = peers.into_iter().map(|(peer, _)| peer).collect();
    if let Some(first) = peers.first().map(|peer| peer.hall.clone())
        && let Some(other) = peers.iter().position(|peer| peer.hall != first)
    {
        peers[1..=other].rotate_right(1);
    }
    peers.truncate(MAX_PEERS);
    peers.into()
}
