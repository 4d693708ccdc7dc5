//! Opens tunnels to upstreams through peers.

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

/// Peers that are asked for one tunnel.
const MAX_PEERS: usize = 3;

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

/// Opens a tunnel to an upstream through the first peer that reaches it. Fails with the testimonies of all peers
/// that were asked.
pub async fn open<D: Dialect>(
    process: &Arc<Process<D>>,
    target: &Target,
) -> Result<(Tunnel, id::Vm), Vec<Testimony>> {
    let (candidates, is_any_paused) = candidates(process, target);
    let mut peers = candidates.into_iter();
    let mut opening = FuturesUnordered::new();
    let mut testimonies = Vec::new();
    if is_any_paused {
        // Its last answer counts once, so that a VM whose peers are all paused is not taken for one without peers.
        testimonies.push(Testimony::None);
    }
    loop {
        if let Some(peer) = peers.next() {
            opening.push(open_through(process, peer, target));
        }
        let ended = if peers.len() > 0 {
            tokio::time::timeout(NEXT_PEER_DELAY, opening.next()).await
        } else {
            Ok(opening.next().await)
        };
        match ended {
            // The next peer is asked as well.
            Err(_) => {}
            Ok(None) => return Err(testimonies),
            Ok(Some(Ok(opened))) => return Ok(opened),
            Ok(Some(Err(testimony))) => testimonies.push(testimony),
        }
    }
}

async fn open_through<D: Dialect>(
    process: &Arc<Process<D>>,
    peer: Member,
    target: &Target,
) -> Result<(Tunnel, id::Vm), Testimony> {
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
    match opened {
        Ok(tunnel) => Ok((tunnel, peer.vm)),
        Err(Failure::Refused) => Err(Testimony::Refused),
        Err(Failure::Unreachable) => Err(Testimony::Unreachable),
        Err(Failure::Unavailable(_) | Failure::Unknown) => {
            process.tunnels.pause(&peer.vm, &target.service, process.now());
            Err(Testimony::None)
        }
    }
}

/// The peers to ask, in order: those with the least traffic between data halls first, equal ones at random. The second one
/// is in another data hall than the first, as the VMs of one hall may have lost the same paths. Also returns whether there
/// are peers that are not asked now.
fn candidates<D: Dialect>(process: &Process<D>, target: &Target) -> (Vec<Member>, bool) {
    let now = process.now();
    let mut peers = process.peers.up(now);
    let up = peers.len();
    peers.retain(|peer| !process.tunnels.is_paused(&peer.vm, &target.service, now));
    let is_any_paused = peers.len() < up;
    peers.shuffle(&mut rand::rng());
    let own = &process.member.hall;
    peers.sort_by_key(|peer| hall_crossings(own, &peer.hall, &target.hall));
    if let Some(first) = peers.first().map(|peer| peer.hall.clone())
        && let Some(other) = peers.iter().position(|peer| peer.hall != first)
    {
        peers[1..=other].rotate_right(1);
    }
    peers.truncate(MAX_PEERS);
    (peers, is_any_paused)
}
