//! The listed peers, and the order in which VMs become scheduler.

use std::collections::BTreeMap;
use std::time::Instant;

use foldlock_base::prelude::*;
use foldlock_request::directory::Member;
use foldlock_request::rank::{self, Liveness};

use crate::fleet::peers::Timing;
use crate::fleet::peers::peer::Peer;

#[derive(Debug)]
pub(super) struct Membership {
    pub(super) peers: BTreeMap<id::Vm, Peer>,
    /// All listed VMs, including this one, in the order in which they become scheduler.
    pub(super) order: Vec<Member>,
}

impl Membership {
    /// Creates a membership of this VM alone.
    pub(super) fn new(own: Member) -> Membership {
        Membership { peers: BTreeMap::new(), order: vec![own] }
    }

    /// Inserts a peer into the order, or moves it to its new position.
    pub(super) fn insert(&mut self, member: Member) {
        self.remove(&member.vm);
        rank::insert(&mut self.order, member);
    }

    /// Removes a peer from the order.
    pub(super) fn remove(&mut self, vm: &id::Vm) {
        self.order.retain(|member| member.vm != *vm);
    }

    /// The heartbeat interval and timeouts for this fleet size.
    pub(super) fn timing(&self) -> Timing {
        Timing::of(self.order.len())
    }

    /// The liveness of a VM.
    pub(super) fn liveness(&self, vm: &id::Vm, now: Instant) -> Liveness {
        // This VM is not among its own peers and always up.
        self.peers.get(vm).map_or(Liveness::Up, |peer| peer.liveness(self.timing(), now))
    }

    /// The peers that are up.
    pub(super) fn up(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let timing = self.timing();
        self.peers.values().filter(move |peer| peer.is_up(timing, now))
    }

    /// The scheduler and the standby schedulers, in their order.
    pub(super) fn schedulers(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let order = self.order.iter().map(|member| self.liveness(&member.vm, now));
        rank::schedulers(order).into_iter().map(|index| &self.order[index])
    }
}
