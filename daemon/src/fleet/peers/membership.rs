//! The peers that are listed, and their order.

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
    /// All VMs that are listed, this one among them, in the order in which they place.
    pub(super) order: Vec<Member>,
}

impl Membership {
    /// This VM alone.
    pub(super) fn new(own: Member) -> Membership {
        Membership { peers: BTreeMap::new(), order: vec![own] }
    }

    /// Puts a peer in its place in the order, as it is known now.
    pub(super) fn insert(&mut self, member: Member) {
        self.remove(&member.vm);
        rank::insert(&mut self.order, member);
    }

    /// Takes a peer out of the order.
    pub(super) fn remove(&mut self, vm: &id::Vm) {
        self.order.retain(|member| member.vm != *vm);
    }

    /// The times of a fleet of this size.
    pub(super) fn timing(&self) -> Timing {
        Timing::of(self.order.len())
    }

    /// What is known of a VM's life.
    pub(super) fn liveness(&self, vm: &id::Vm, now: Instant) -> Liveness {
        // This VM is always up for itself.
        self.peers.get(vm).map_or(Liveness::Up, |peer| peer.liveness(self.timing(), now))
    }

    /// The peers that were heard of late.
    pub(super) fn up(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        let timing = self.timing();
        self.peers.values().filter(move |peer| peer.is_up(timing, now))
    }

    /// The VMs that are told all, in their order.
    pub(super) fn schedulers(&self, now: Instant) -> impl Iterator<Item = &Member> {
        let order = self.order.iter().map(|member| self.liveness(&member.vm, now));
        rank::schedulers(order).into_iter().map(|index| &self.order[index])
    }
}
