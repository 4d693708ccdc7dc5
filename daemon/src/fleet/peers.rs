//! The other VMs of the fleet: which are up, how fresh their settings are, and which of them
//! schedules the requests of this one.

mod confirmations;
mod membership;
mod peer;
mod scheduler;
mod sources;
mod timing;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
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

/// The VMs that watch the directory in a large fleet and announce its changes to the others. With
/// three, two may fail at once without an interruption.
pub const WATCHERS: usize = 3;

/// The fleet size up to which all VMs watch: the calls to the directory then cost less than an
/// interruption would.
const ALL_WATCH: usize = 10;

/// The recipient of a heartbeat.
#[derive(Debug, Clone)]
pub struct Target {
    /// The VM.
    pub vm: id::Vm,
    /// Where it listens.
    pub address: SocketAddr,
    /// The newest stamp received from it.
    pub echo: Option<u64>,
    /// The incarnation that sent the stamp.
    pub echo_of: u64,
    /// The newest grant received from it.
    pub last_grant: u64,
    /// Whether it is the scheduler of this VM or a standby.
    pub may_schedule: bool,
}

/// The peers.
#[derive(Debug)]
pub struct Peers {
    started: Instant,
    /// The moment from which the stamps of heartbeats are counted.
    stamp_origin: Moment,
    own: Member,
    membership: Mutex<Membership>,
    /// The newest settings version that a peer has announced.
    newest_version: AtomicU64,
    /// Whether settings or listings are being read from a peer.
    pub reading: AtomicBool,
}

impl Peers {
    /// Creates an empty set of peers; stamps are counted from `stamp_origin`.
    pub fn new(own: Member, started: Instant, stamp_origin: Moment) -> Peers {
        let membership = Mutex::new(Membership::new(own.clone()));
        Peers {
            started,
            stamp_origin,
            own,
            membership,
            newest_version: AtomicU64::new(0),
            reading: AtomicBool::new(false),
        }
    }

    /// Adds a VM that is listed in the directory. Returns what that changes, if anything.
    pub fn list(&self, member: Member) -> Option<Update> {
        if member.vm == self.own.vm {
            return None;
        }
        let mut membership = self.membership.lock().unwrap();
        let previous = membership.peers.get_mut(&member.vm);
        if let Some(peer) = previous.filter(|peer| peer.member == member) {
            // The withdrawal of its previous incarnation may take effect late; it then registers
            // again.
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

    /// Records that a VM has withdrawn. Returns whether its attempts still count, if it had not
    /// withdrawn before.
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

    /// Merges a peer's state from a heartbeat, unless a newer one has been received. Returns
    /// whether the peer has restarted since.
    pub fn on_heartbeat(&self, heartbeat: &Heartbeat, now: Instant) -> Option<Update> {
        let state = &heartbeat.state;
        let mut membership = self.membership.lock().unwrap();
        let peer = membership.peers.get_mut(&state.vm)?;
        // While the directory is unavailable, the heartbeat of a restarted VM arrives before its
        // listing.
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
        self.newest_version.fetch_max(state.version, Ordering::Relaxed);
        if heartbeat.requests_heartbeats {
            peer.last_subscribed = Some(now);
        }
        if restarted {
            let member = membership.peers.get(&state.vm).map(|peer| peer.member.clone());
            member.into_iter().for_each(|member| membership.insert(member));
        }
        Some(if restarted { Update::Restarted } else { Update::Changed })
    }

    /// Returns the peer with this address.
    pub fn by_address(&self, address: SocketAddr) -> Option<Member> {
        let membership = self.membership.lock().unwrap();
        let found = membership.peers.values().find(|peer| peer.member.address == address);
        found.map(|peer| peer.member.clone())
    }

    /// Returns the peer with this name.
    pub fn member(&self, vm: &id::Vm) -> Option<Member> {
        self.membership.lock().unwrap().peers.get(vm).map(|peer| peer.member.clone())
    }

    /// Whether a thread has panicked while it held the lock.
    pub fn is_poisoned(&self) -> bool {
        self.membership.is_poisoned()
    }

    /// The number of listed VMs, up or down, including this one.
    pub fn listed_count(&self) -> usize {
        self.membership.lock().unwrap().order.len()
    }

    /// The number of listed VMs plus those that have withdrawn but are still up. Limits of the
    /// whole fleet are divided by it.
    pub fn running_count(&self) -> usize {
        self.membership.lock().unwrap().peers.len() + 1
    }

    /// Whether the fleet is so large that only a few VMs watch the directory.
    pub fn is_large(&self) -> bool {
        self.listed_count() > ALL_WATCH
    }

    /// All listed VMs except this one.
    pub fn members(&self) -> Vec<Member> {
        let membership = self.membership.lock().unwrap();
        membership.order.iter().filter(|member| member.vm != self.own.vm).cloned().collect()
    }

    /// The peers that are up and not leaving.
    pub fn up(&self, now: Instant) -> Vec<Member> {
        let membership = self.membership.lock().unwrap();
        let up = membership.up(now).filter(|peer| !peer.leaving);
        up.map(|peer| peer.member.clone()).collect()
    }

    /// The listed VMs that may be up, other than this one, each with whether it is the scheduler of this VM or a standby.
    /// A VM hears few of the others in a large fleet, and does not know whether the rest is up.
    pub fn may_be_up(&self, now: Instant) -> Vec<(Member, bool)> {
        let membership = self.membership.lock().unwrap();
        let schedulers: Vec<&id::Vm> =
            membership.schedulers(now).map(|member| &member.vm).collect();
        let is_candidate = |peer: &&Peer| {
            !peer.leaving && peer.liveness(membership.timing(), now) != Liveness::Down
        };
        let candidates = membership.peers.values().filter(is_candidate);
        let entry = |peer: &Peer| (peer.member.clone(), schedulers.contains(&&peer.member.vm));
        candidates.map(entry).collect()
    }

    /// The scheduler of this VM and the standby schedulers.
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

    /// Whether a VM has not requested heartbeats recently, so that it may have none of this VM's.
    pub fn is_new_subscriber(&self, vm: &id::Vm, now: Instant) -> bool {
        let membership = self.membership.lock().unwrap();
        let timing = membership.timing();
        membership.peers.get(vm).is_some_and(|peer| !peer.is_subscribed(timing, now))
    }

    /// The other VMs that requested heartbeats recently.
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

    /// One peer as the recipient of a heartbeat.
    pub fn target(&self, vm: &id::Vm) -> Option<Target> {
        self.membership.lock().unwrap().peers.get(vm).map(|peer| peer.target(false))
    }

    /// The scheduler: the first VM in the order with the lowest rank; none if there is no
    /// candidate. VMs whose grant requests timed out are no candidates.
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

    /// Whether a VM that this one would prefer as scheduler may still reply to its first heartbeat: it
    /// precedes all VMs in the order that are up, and was sent a heartbeat less than `timeout` ago or
    /// is about to be.
    pub fn awaits_scheduler(&self, timeout: Duration, now: Instant) -> bool {
        let membership = self.membership.lock().unwrap();
        let preceding = membership
            .schedulers(now)
            .map_while(|member| membership.peers.get(&member.vm))
            .take_while(|peer| peer.liveness(membership.timing(), now) != Liveness::Up);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < timeout;
        preceding
            .filter(|peer| peer.grant_timeout_at.is_none())
            .any(|peer| peer.probed_since.is_none_or(is_recent))
    }

    /// Records that grant requests to a VM timed out. The next one in the order is the scheduler
    /// until the VM sends a heartbeat or a grant reply.
    pub fn on_grant_timeout(&self, vm: &id::Vm, now: Instant) {
        if let Some(peer) = self.membership.lock().unwrap().peers.get_mut(vm) {
            peer.grant_timeout_at = Some(now);
        }
    }

    /// Records that a VM replied to a grant request, late or in time, and so is up.
    pub fn on_grant_reply(&self, vm: &id::Vm) {
        if let Some(peer) = self.membership.lock().unwrap().peers.get_mut(vm) {
            peer.grant_timeout_at = None;
        }
    }

    /// Records the newest grant of a peer.
    pub fn on_grant(&self, vm: &id::Vm, grant: u64) {
        if let Some(peer) = self.membership.lock().unwrap().peers.get_mut(vm) {
            peer.last_grant = peer.last_grant.max(grant);
        }
    }

    /// The heartbeat interval and timeouts for the current fleet size.
    pub fn timing(&self) -> Timing {
        self.membership.lock().unwrap().timing()
    }

    /// The position of this VM in the order of the VMs that are up.
    pub fn position(&self, now: Instant) -> usize {
        let membership = self.membership.lock().unwrap();
        let before = membership.order.iter().take_while(|member| member.vm != self.own.vm);
        before.filter(|member| membership.liveness(&member.vm, now) == Liveness::Up).count()
    }

    /// The position of this VM in the order of all listed VMs.
    pub fn position_listed(&self) -> usize {
        let membership = self.membership.lock().unwrap();
        membership.order.iter().take_while(|member| member.vm != self.own.vm).count()
    }

    /// The age in milliseconds of the oldest last heartbeat of the peers that are up.
    pub fn oldest_heartbeat_ms(&self, now: Instant) -> Option<u64> {
        let membership = self.membership.lock().unwrap();
        let up = membership.up(now).filter_map(|peer| peer.last_seen);
        up.map(|at| now.saturating_duration_since(at).as_millis() as u64).max()
    }

    /// Marks peers without a recent heartbeat as down and returns them; those that have withdrawn
    /// are removed.
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

    /// The peers as JSON, for the dump.
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

    /// The microseconds from the start to a moment, including time for which the machine was
    /// suspended.
    pub fn stamp(&self, moment: Moment) -> u64 {
        moment.since(self.stamp_origin).as_micros() as u64
    }

    /// Converts a stamp of this VM back to its moment.
    pub fn stamped(&self, stamp: u64) -> Moment {
        self.stamp_origin.after(Duration::from_micros(stamp))
    }

    /// Resets the liveness of all peers after the machine was suspended: none counts as up before
    /// its next heartbeat.
    pub fn reset_liveness(&self) {
        for peer in self.membership.lock().unwrap().peers.values_mut() {
            peer.last_seen = None;
            peer.last_watching = None;
        }
    }

    /// The time since this VM started.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Whether this VM has run for long enough to have received all in-flight attempts.
    pub fn is_synced(&self, now: Instant) -> bool {
        self.age(now) >= self.timing().sync_time()
    }
}

/// The state of a VM that has withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withdrawal {
    /// It is up: its in-flight attempts count until it is down.
    Finishing,
    /// It is down and has no attempts in flight.
    Ended,
}

/// What a heartbeat or a listing changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Update {
    /// A peer was added, or its state changed.
    Changed,
    /// A peer has restarted: the attempts of its previous incarnation have ended.
    Restarted,
}
