//! The peers that have newer settings or listings than this VM, from which it reads them.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Instant;

use foldlock_request::rank::Liveness;
use foldlock_request::revision::Revision;
use rand::seq::IndexedRandom;

use crate::fleet::peers::Peers;
use crate::fleet::peers::peer::Peer;

impl Peers {
    /// The revision up to which a VM before this one in the order announces the directory's
    /// changes; none if this VM is the first watcher.
    pub fn announced_by_others(&self, now: Instant) -> Revision {
        let membership = self.membership.lock().unwrap();
        let timeout = membership.timing().scheduler_timeout();
        let is_watcher = |peer: &&Peer| {
            peer.last_watching.is_some_and(|at| now.saturating_duration_since(at) < timeout)
        };
        let before = membership.order.iter().take_while(|member| member.vm != self.own.vm);
        let watching =
            before.filter_map(|member| membership.peers.get(&member.vm)).filter(is_watcher);
        watching.map(|peer| peer.revision).max().unwrap_or_default()
    }

    /// Whether a peer that is up watches the directory.
    pub fn has_watcher(&self, now: Instant) -> bool {
        let membership = self.membership.lock().unwrap();
        let timeout = membership.timing().scheduler_timeout();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < timeout;
        membership.peers.values().any(|peer| peer.last_watching.is_some_and(is_recent))
    }

    /// Whether a peer that is up has settings, whatever their source: some VM then reads the
    /// directory.
    pub fn any_has_settings(&self, now: Instant) -> bool {
        self.membership.lock().unwrap().up(now).any(|peer| peer.version > 0)
    }

    /// The newest settings version that a peer has announced, whether it is still up or not.
    pub fn newest_version(&self) -> u64 {
        self.newest_version.load(Ordering::Relaxed)
    }

    /// A peer with newer settings than `version`, preferably in the own hall.
    pub fn newer_settings(&self, version: u64, now: Instant) -> Option<SocketAddr> {
        self.pick(now, |peer| peer.version > version)
    }

    /// A peer with listings of a later revision, or with different listings of the same revision
    /// unless they have been `compared`.
    pub fn other_listings(
        &self,
        revision: Revision,
        digest: u64,
        compared: bool,
        now: Instant,
    ) -> Option<SocketAddr> {
        let other = |peer: &Peer| !compared && peer.revision == revision && peer.digest != digest;
        self.pick(now, |peer| peer.revision > revision || other(peer))
    }

    /// Records that a read from a peer failed. It is not read from again before its next heartbeat:
    /// each read from a VM that lost power takes the whole timeout.
    pub fn on_read_failed(&self, address: SocketAddr) {
        let mut membership = self.membership.lock().unwrap();
        let peers = membership.peers.values_mut();
        peers
            .filter(|peer| peer.member.address == address)
            .for_each(|peer| peer.read_failed = true);
    }

    /// A random matching peer, preferably in the own hall, so that the peers share the load. Peers
    /// without a recent heartbeat count only if there are no others.
    fn pick(&self, now: Instant, matches: impl Fn(&Peer) -> bool) -> Option<SocketAddr> {
        let membership = self.membership.lock().unwrap();
        let timing = membership.timing();
        let matches = |peer: &&Peer| !peer.read_failed && matches(peer);
        let up: Vec<&Peer> = membership.up(now).filter(matches).collect();
        let is_recent = |peer: &&Peer| peer.liveness(timing, now) == Liveness::Up;
        let recent: Vec<&Peer> = up.iter().copied().filter(is_recent).collect();
        let candidates = if recent.is_empty() { up } else { recent };
        let near: Vec<&Peer> =
            candidates.iter().copied().filter(|p| p.member.hall == self.own.hall).collect();
        let from = if near.is_empty() { candidates } else { near };
        from.choose(&mut rand::rng()).map(|peer| peer.member.address)
    }

    /// A random listed VM of the own hall that is up or of unknown liveness.
    pub fn neighbour(&self, now: Instant) -> Option<SocketAddr> {
        let membership = self.membership.lock().unwrap();
        let is_near = |peer: &&Peer| {
            peer.member.hall == self.own.hall
                && !peer.leaving
                && peer.liveness(membership.timing(), now) != Liveness::Down
        };
        let near: Vec<&Peer> = membership.peers.values().filter(is_near).collect();
        near.choose(&mut rand::rng()).map(|peer| peer.member.address)
    }
}
