//! Which peers know more of the directory than this VM, and are read from.

use std::net::SocketAddr;
use std::time::Instant;

use foldlock_request::rank::Liveness;
use foldlock_request::revision::Revision;
use rand::seq::IndexedRandom;

use crate::fleet::peers::Peers;
use crate::fleet::peers::peer::Peer;

impl Peers {
    /// The revision up to which a VM before this one in the order tells all what it sees at the directory; none
    /// where this VM is the first that does.
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

    /// Whether a peer was heard just now that the directory answers.
    pub fn has_watcher(&self, now: Instant) -> bool {
        let membership = self.membership.lock().unwrap();
        let timeout = membership.timing().scheduler_timeout();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < timeout;
        membership.peers.values().any(|peer| peer.last_watching.is_some_and(is_recent))
    }

    /// Whether a peer was heard of late that has settings, from whomever: the directory is read by someone.
    pub fn any_has_settings(&self, now: Instant) -> bool {
        self.membership.lock().unwrap().up(now).any(|peer| peer.version > 0)
    }

    /// A peer that knows something newer of the settings, one of the own hall if possible.
    pub fn newer_settings(&self, version: u64, now: Instant) -> Option<SocketAddr> {
        self.pick(now, |peer| peer.version > version)
    }

    /// A peer that knows other listings, of a later revision, or of the same one unless `compared`.
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

    /// One of the peers that are heard, drawn at random so that they share the work.
    fn pick(&self, now: Instant, matches: impl Fn(&Peer) -> bool) -> Option<SocketAddr> {
        let membership = self.membership.lock().unwrap();
        let candidates: Vec<&Peer> = membership.up(now).filter(|peer| matches(peer)).collect();
        let near: Vec<&Peer> =
            candidates.iter().copied().filter(|p| p.member.hall == self.own.hall).collect();
        let from = if near.is_empty() { candidates } else { near };
        from.choose(&mut rand::rng()).map(|peer| peer.member.address)
    }

    /// Some VM of the own hall that is listed and not known to be silent.
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
