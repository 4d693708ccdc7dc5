//! The other VMs of the fleet: who is heard, how fresh their settings are, and which of them place
//! the requests of this one.

mod membership;
mod peer;
mod scheduler;
mod sources;
mod timing;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use foldlock_base::clock::Moment;
use foldlock_base::prelude::*;
use foldlock_request::directory::Member;
use foldlock_request::message::Heartbeat;
use foldlock_request::rank::Liveness;
use serde_json::json;

use crate::fleet::peers::membership::Membership;
use crate::fleet::peers::peer::Peer;

pub use scheduler::Scheduler;
pub use timing::Timing;

/// VMs that watch the directory in a large fleet; the others hear from them. Three, so that two
/// may fail at once without a gap.
pub const WATCHERS: usize = 3;

/// The fleet up to which all VMs watch: there the calls cost less than a gap would.
const ALL_WATCH: usize = 10;

/// A VM that a beat is to be sent to.
#[derive(Debug, Clone)]
pub struct Target {
    /// The VM.
    pub vm: id::Vm,
    /// Where it listens.
    pub address: SocketAddr,
    /// The newest stamp that was heard of it.
    pub echo: Option<u64>,
    /// The incarnation of the stamp.
    pub echo_of: u64,
    /// The newest placement that it gave.
    pub last_grant: u64,
    /// Whether it places the requests of this VM, or might.
    pub may_schedule: bool,
}

/// The peers.
#[derive(Debug)]
pub struct Peers {
    started: Instant,
    /// The same, as beats are stamped.
    stamp_origin: Moment,
    own: Member,
    membership: Mutex<Membership>,
    /// Whether something is being read from a peer.
    pub reading: AtomicBool,
}

impl Peers {
    /// No peers yet; stamps count from `began`.
    pub fn new(own: Member, started: Instant, stamp_origin: Moment) -> Peers {
        let membership = Mutex::new(Membership::new(own.clone()));
        Peers { started, stamp_origin, own, membership, reading: AtomicBool::new(false) }
    }

    /// A VM is listed. Answers what is news in that, if anything.
    pub fn list(&self, member: Member) -> Option<Update> {
        if member.vm == self.own.vm {
            return None;
        }
        let mut membership = self.membership.lock().unwrap();
        let previous = membership.peers.get_mut(&member.vm);
        if let Some(peer) = previous.filter(|peer| peer.member == member) {
            // A withdrawal of its start before may be carried out late; it then lists itself again.
            let was_leaving = std::mem::replace(&mut peer.leaving, false);
            if was_leaving {
                membership.insert(member);
            }
            return was_leaving.then_some(Update::Changed);
        }
        let previous = membership.peers.get(&member.vm);
        let restarted = previous.is_some_and(|peer| peer.member.incarnation != member.incarnation);
        membership.peers.insert(member.vm.clone(), Peer::new(member.clone()));
        membership.insert(member);
        Some(if restarted { Update::Restarted } else { Update::Changed })
    }

    /// A VM has withdrawn. Answers what that means for its work, if it had not withdrawn before.
    pub fn withdraw(&self, vm: &id::Vm, now: Instant) -> Option<Withdrawal> {
        let mut membership = self.membership.lock().unwrap();
        let timing = membership.timing();
        let peer = membership.peers.get_mut(vm)?;
        if std::mem::replace(&mut peer.leaving, true) {
            return None;
        }
        let is_up = peer.is_up(timing, now);
        if !is_up {
            membership.peers.remove(vm);
        }
        membership.remove(vm);
        Some(if is_up { Withdrawal::Finishing } else { Withdrawal::Ended })
    }

    /// Takes a peer's state from a beat, unless it is older than what is known. Answers whether the
    /// peer has started anew since.
    pub fn on_heartbeat(&self, heartbeat: &Heartbeat, now: Instant) -> Option<Update> {
        let state = &heartbeat.state;
        let mut membership = self.membership.lock().unwrap();
        let peer = membership.peers.get_mut(&state.vm)?;
        // A VM that has started anew is heard before the directory tells of it, if it is away.
        if state.incarnation < peer.member.incarnation {
            return None;
        }
        let restarted = state.incarnation > peer.member.incarnation;
        if restarted {
            let member = Member { incarnation: state.incarnation, ..peer.member.clone() };
            *peer = Peer::new(member);
        } else if peer.stamp.is_some_and(|stamp| stamp >= state.stamp) {
            return None;
        }
        peer.on_heartbeat(state, now);
        if heartbeat.requests_heartbeats {
            peer.last_subscribed = Some(now);
        }
        if restarted {
            let member = membership.peers.get(&state.vm).map(|peer| peer.member.clone());
            member.into_iter().for_each(|member| membership.insert(member));
        }
        Some(if restarted { Update::Restarted } else { Update::Changed })
    }

    /// The peer that sends from this address.
    pub fn by_address(&self, address: SocketAddr) -> Option<Member> {
        let membership = self.membership.lock().unwrap();
        let found = membership.peers.values().find(|peer| peer.member.address == address);
        found.map(|peer| peer.member.clone())
    }

    /// A peer by its name.
    pub fn member(&self, vm: &id::Vm) -> Option<Member> {
        self.membership.lock().unwrap().peers.get(vm).map(|peer| peer.member.clone())
    }

    /// The number of VMs that are listed, this one among them, heard or not.
    pub fn listed_count(&self) -> usize {
        self.membership.lock().unwrap().order.len()
    }

    /// The number of VMs that are listed, and of those that have withdrawn and are still heard: bounds of the
    /// whole fleet are divided by it.
    pub fn running_count(&self) -> usize {
        self.membership.lock().unwrap().peers.len() + 1
    }

    /// Whether the fleet is so large that a few VMs watch the directory for all.
    pub fn is_large(&self) -> bool {
        self.listed_count() > ALL_WATCH
    }

    /// All VMs that are listed but this one.
    pub fn members(&self) -> Vec<Member> {
        let membership = self.membership.lock().unwrap();
        membership.order.iter().filter(|member| member.vm != self.own.vm).cloned().collect()
    }

    /// The peers that were heard of late and are not leaving.
    pub fn up(&self, now: Instant) -> Vec<Member> {
        let membership = self.membership.lock().unwrap();
        let up = membership.up(now).filter(|peer| !peer.leaving);
        up.map(|peer| peer.member.clone()).collect()
    }

    /// The VMs that place the requests of this one, or might.
    pub fn schedulers(&self, now: Instant) -> Vec<Target> {
        let mut membership = self.membership.lock().unwrap();
        let schedulers: Vec<id::Vm> =
            membership.schedulers(now).map(|member| member.vm.clone()).collect();
        let timing = membership.timing();
        let mut target = |vm: &id::Vm| {
            let peer = membership.peers.get_mut(vm)?;
            peer.start_probe(timing, now);
            Some(peer.target(true))
        };
        schedulers.iter().filter_map(&mut target).collect()
    }

    /// The other VMs that want to hear.
    pub fn subscribers(&self, now: Instant) -> Vec<Target> {
        let membership = self.membership.lock().unwrap();
        let timing = membership.timing();
        let schedulers: Vec<&id::Vm> =
            membership.schedulers(now).map(|member| &member.vm).collect();
        let is_subscriber = |peer: &&Peer| {
            peer.is_subscribed(timing, now) && !schedulers.contains(&&peer.member.vm)
        };
        membership.peers.values().filter(is_subscriber).map(|peer| peer.target(false)).collect()
    }

    /// One peer, to be told at once.
    pub fn target(&self, vm: &id::Vm) -> Option<Target> {
        self.membership.lock().unwrap().peers.get(vm).map(|peer| peer.target(false))
    }

    /// The scheduler, the first in order that answers; none where none does.
    pub fn scheduler(&self, stopping: bool, now: Instant) -> Option<Scheduler> {
        let membership = self.membership.lock().unwrap();
        let is_synced = self.age(now) >= membership.timing().sync_time();
        let mut found: Option<(u8, Scheduler)> = None;
        for member in membership.schedulers(now) {
            let (rank, scheduler) = match membership.peers.get(&member.vm) {
                None if stopping => continue,
                None => (if is_synced { 0 } else { 1 }, Scheduler::Own),
                Some(peer) if peer.grant_timeout_at.is_some() => continue,
                Some(peer) => {
                    let scheduler = Scheduler::Peer(member.vm.clone(), member.address);
                    (peer.scheduler_rank(membership.timing(), now), scheduler)
                }
            };
            if found.as_ref().is_none_or(|(best, _)| rank < *best) {
                found = Some((rank, scheduler));
            }
        }
        found.map(|(_, scheduler)| scheduler)
    }

    /// A VM left questions unanswered: the next one is asked until it is heard again.
    pub fn on_grant_timeout(&self, vm: &id::Vm, now: Instant) {
        if let Some(peer) = self.membership.lock().unwrap().peers.get_mut(vm) {
            peer.grant_timeout_at = Some(now);
        }
    }

    /// A VM has answered a question, late or in time: it lives.
    pub fn on_grant_reply(&self, vm: &id::Vm) {
        if let Some(peer) = self.membership.lock().unwrap().peers.get_mut(vm) {
            peer.grant_timeout_at = None;
        }
    }

    /// A peer has granted a placement.
    pub fn on_grant(&self, vm: &id::Vm, grant: u64) {
        if let Some(peer) = self.membership.lock().unwrap().peers.get_mut(vm) {
            peer.last_grant = peer.last_grant.max(grant);
        }
    }

    /// How often VMs of a fleet of this size tell each other that nothing happened.
    pub fn timing(&self) -> Timing {
        self.membership.lock().unwrap().timing()
    }

    /// The place of this VM among those that are heard, in their order.
    pub fn position(&self, now: Instant) -> usize {
        let membership = self.membership.lock().unwrap();
        let before = membership.order.iter().take_while(|member| member.vm != self.own.vm);
        before.filter(|member| membership.liveness(&member.vm, now) == Liveness::Up).count()
    }

    /// The place of this VM among all that are listed, in their order.
    pub fn position_listed(&self) -> usize {
        let membership = self.membership.lock().unwrap();
        membership.order.iter().take_while(|member| member.vm != self.own.vm).count()
    }

    /// The age of the oldest word among the peers that are heard, milliseconds.
    pub fn oldest_heartbeat_ms(&self, now: Instant) -> Option<u64> {
        let membership = self.membership.lock().unwrap();
        let up = membership.up(now).filter_map(|peer| peer.last_seen);
        up.map(|at| now.saturating_duration_since(at).as_millis() as u64).max()
    }

    /// Forgets peers that have fallen silent, and names them.
    pub fn mark_down(&self, now: Instant) -> Vec<id::Vm> {
        let mut membership = self.membership.lock().unwrap();
        let mut down = Vec::new();
        let timing = membership.timing();
        for (vm, peer) in &mut membership.peers {
            if peer.last_seen.is_some() && !peer.is_up(timing, now) {
                peer.last_seen = None;
                down.push(vm.clone());
            }
        }
        membership.peers.retain(|_, peer| !peer.leaving || peer.last_seen.is_some());
        down
    }

    /// What is known, for a dump.
    pub fn dump(&self, now: Instant) -> serde_json::Value {
        let membership = self.membership.lock().unwrap();
        let schedulers: Vec<&id::Vm> =
            membership.schedulers(now).map(|member| &member.vm).collect();
        let peers = membership.peers.iter().map(|(vm, p)| {
            let heard_ms =
                p.last_seen.map(|at| now.saturating_duration_since(at).as_millis() as u64);
            json!({
                "vm": vm, "address": p.member.address, "heard_ms": heard_ms, "version": p.version,
                "scheduler": schedulers.contains(&vm), "settled": p.synced,
                "missed": p.grant_timeout_at.is_some(),
            })
        });
        peers.collect()
    }

    /// Microseconds since the start, the time for which the machine was suspended counted.
    pub fn stamp(&self, moment: Moment) -> u64 {
        moment.since(self.stamp_origin).as_micros() as u64
    }

    /// The moment of a stamp of this VM.
    pub fn stamped(&self, stamp: u64) -> Moment {
        self.stamp_origin.after(Duration::from_micros(stamp))
    }

    /// The machine was suspended: nobody counts as heard before it is heard again.
    pub fn reset_liveness(&self) {
        for peer in self.membership.lock().unwrap().peers.values_mut() {
            peer.last_seen = None;
            peer.last_watching = None;
        }
    }

    /// How long this VM has run.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Whether this VM has run for long enough to have heard of all that is under way.
    pub fn is_synced(&self, now: Instant) -> bool {
        self.age(now) >= self.timing().sync_time()
    }
}

/// A VM that has withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawal {
    /// It is heard: what it has under way counts until it no longer is.
    Finishing,
    /// It is not: nothing is under way.
    Ended,
}

/// What a beat or a listing brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Update {
    /// A peer, or its state.
    Changed,
    /// A peer that has started anew: what it had under way before has ended.
    Restarted,
}
