//! Membership: the VMs as recorded by this VM, from the platform's list, which lags behind, and
//! from heartbeats.
//!
//! A peer with which this VM exchanges heartbeats is marked down if it is silent for too long;
//! other VMs are up until announced otherwise. State changes are announced with heartbeats: a
//! higher incarnation supersedes a lower one, and within one incarnation `down` and `leaving`
//! supersede up. A VM that receives an announcement that it is down raises its own incarnation.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foldlock_base::clock::Clock;
use foldlock_base::{hash, id};
use foldlock_connection::vms::Listing;
use foldlock_connection::wire::Member;
use serde::Serialize;
use tokio::sync::Notify;

/// Time without a heartbeat after which a peer is down.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time since a member was last seen after which it is removed, if it is no longer listed.
const FORGET_TIMEOUT: Duration = Duration::from_secs(60);

/// Number of peers with which a VM exchanges heartbeats, besides those that it needs.
pub const FANOUT: usize = 8;

/// Maximum number of members in a heartbeat.
const MAX_ANNOUNCED_MEMBERS: usize = 16;

/// Number of heartbeats with which a change is announced.
const ANNOUNCE_COUNT: u32 = 8;

#[derive(Debug, Clone)]
struct Tracked {
    member: Member,
    last_seen: Instant,
    announcements_left: u32,
}

struct Inner {
    own: Member,
    tracked: BTreeMap<id::Vm, Tracked>,
    listed: Vec<id::Vm>,
}

/// A change of a member's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Transition {
    /// A VM joined or came back.
    Up(id::Vm),
    /// A VM is down.
    Down(id::Vm),
    /// A VM is stopping.
    Leaving(id::Vm),
}

/// The VMs of the fleet.
pub struct Members<C> {
    clock: C,
    inner: Mutex<Inner>,
    changed: Notify,
    live: Mutex<Arc<Vec<Member>>>,
}

/// A member's state in a dump.
#[derive(Debug, Serialize)]
pub struct Dump {
    #[serde(flatten)]
    member: Member,
    heard_ms: u64,
}

impl<C: Clock> Members<C> {
    /// Creates a list with only the VM itself.
    pub fn new(clock: C, own: Member) -> Members<C> {
        let live = Mutex::new(Arc::new(vec![own.clone()]));
        let inner = Mutex::new(Inner { own, tracked: BTreeMap::new(), listed: Vec::new() });
        Members { clock, inner, changed: Notify::new(), live }
    }

    /// This VM.
    pub fn own(&self) -> Member {
        self.inner.lock().unwrap().own.clone()
    }

    /// Marks this VM as leaving.
    pub fn leave(&self) {
        self.inner.lock().unwrap().own.leaving = true;
        self.refresh();
    }

    /// The members that are up and not leaving, including this VM.
    pub fn live(&self) -> Arc<Vec<Member>> {
        self.live.lock().unwrap().clone()
    }

    /// Notifies when the live members change.
    pub fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }

    /// Merges the platform's list. A newly listed VM counts as up until it is found silent; a VM
    /// that was seen recently stays even if it is not listed.
    pub fn merge_listing(&self, listing: &Listing) {
        let now = self.clock.now();
        let mut inner = self.inner.lock().unwrap();
        let own = inner.own.vm.clone();
        inner.listed.clear();
        for vm in &listing.vms {
            let Ok(id) = vm.name.parse::<id::Vm>() else { continue };
            if id == own {
                continue;
            }
            inner.listed.push(id.clone());
            let member = Member {
                vm: id.clone(),
                hall: vm.hall.clone(),
                address: vm.address.clone(),
                incarnation: 0,
                leaving: vm.leaving,
                down: false,
            };
            let tracked = inner.tracked.entry(id).or_insert(Tracked {
                member,
                last_seen: now,
                announcements_left: 0,
            });
            if tracked.member.incarnation == 0 {
                tracked.member.address.clone_from(&vm.address);
            }
            tracked.member.leaving |= vm.leaving && tracked.member.address == vm.address;
        }
        let Inner { tracked, listed, .. } = &mut *inner;
        tracked.retain(|id, k| listed.contains(id) || now < k.last_seen + FORGET_TIMEOUT);
        drop(inner);
        self.refresh();
    }

    /// Handles a member's own state in its heartbeat.
    pub fn on_heartbeat(&self, member: &Member) -> Option<Transition> {
        let now = self.clock.now();
        let mut inner = self.inner.lock().unwrap();
        if member.vm == inner.own.vm {
            return None;
        }
        let tracked = inner.tracked.get(&member.vm);
        let transition = match tracked {
            Some(tracked) if tracked.member.incarnation > member.incarnation => None,
            _ => inner.adopt(member, now),
        };
        drop(inner);
        self.publish(transition)
    }

    /// Merges a member's state as announced by another member.
    pub fn merge(&self, member: &Member) -> Option<Transition> {
        let now = self.clock.now();
        let mut inner = self.inner.lock().unwrap();
        if member.vm == inner.own.vm {
            if member.down && member.incarnation >= inner.own.incarnation {
                inner.own.incarnation = member.incarnation.saturating_add(1);
            }
            return None;
        }
        let tracked = inner.tracked.get(&member.vm);
        let transition = match tracked {
            Some(tracked) if !supersedes(member, &tracked.member) => None,
            _ => inner.adopt(member, now),
        };
        drop(inner);
        self.publish(transition)
    }

    /// Marks a peer down if it was last seen too long ago.
    pub fn mark_down_if_silent(&self, vm: &id::Vm) -> Option<Transition> {
        let now = self.clock.now();
        let mut inner = self.inner.lock().unwrap();
        let tracked = inner.tracked.get_mut(vm)?;
        if tracked.member.down || now < tracked.last_seen + SILENCE_TIMEOUT {
            return None;
        }
        tracked.member.down = true;
        tracked.announcements_left = ANNOUNCE_COUNT;
        drop(inner);
        self.publish(Some(Transition::Down(vm.clone())))
    }

    fn publish(&self, transition: Option<Transition>) -> Option<Transition> {
        if transition.is_some() {
            self.refresh();
        }
        transition
    }

    fn refresh(&self) {
        let inner = self.inner.lock().unwrap();
        let others = inner.tracked.values().map(|k| &k.member);
        let mut live: Vec<Member> =
            others.chain([&inner.own]).filter(|m| !m.down && !m.leaving).cloned().collect();
        live.sort_by(|a, b| a.vm.cmp(&b.vm));
        drop(inner);
        let live = Arc::new(live);
        let before = std::mem::replace(&mut *self.live.lock().unwrap(), live.clone());
        if before != live {
            self.changed.notify_waiters();
        }
    }

    /// Changed members to announce with a heartbeat.
    pub fn announcements(&self) -> Vec<Member> {
        let mut inner = self.inner.lock().unwrap();
        let fresh = inner
            .tracked
            .values_mut()
            .filter(|k| k.announcements_left > 0)
            .take(MAX_ANNOUNCED_MEMBERS);
        fresh
            .map(|k| {
                k.announcements_left -= 1;
                k.member.clone()
            })
            .collect()
    }

    /// The peers to exchange heartbeats with: a bounded number by rendezvous hashing, and each VM
    /// in `needed`. Peers that are down are included, so that their return is noticed.
    pub fn targets(&self, needed: &[id::Vm]) -> Vec<Member> {
        let inner = self.inner.lock().unwrap();
        let own = inner.own.vm.as_str();
        let ranked = hash::ranked(own, inner.tracked.keys());
        let mut chosen: Vec<&id::Vm> = ranked.into_iter().take(FANOUT).collect();
        for vm in needed {
            if inner.tracked.contains_key(vm) && !chosen.contains(&vm) {
                chosen.push(vm);
            }
        }
        chosen.iter().map(|vm| inner.tracked[*vm].member.clone()).collect()
    }

    /// The recorded state of a member.
    pub fn get(&self, vm: &id::Vm) -> Option<Member> {
        self.inner.lock().unwrap().tracked.get(vm).map(|k| k.member.clone())
    }

    /// Whether no other VM is live.
    pub fn is_alone(&self) -> bool {
        self.live().iter().all(|m| m.vm == self.own().vm)
    }

    /// State of the members for a dump.
    pub fn dump(&self) -> BTreeMap<id::Vm, Dump> {
        let now = self.clock.now();
        let inner = self.inner.lock().unwrap();
        let dump = |k: &Tracked| Dump {
            member: k.member.clone(),
            heard_ms: (now - k.last_seen).as_millis() as u64,
        };
        inner.tracked.iter().map(|(vm, k)| (vm.clone(), dump(k))).collect()
    }
}

impl Inner {
    /// Replaces the recorded state of a member, and announces it if it changed.
    fn adopt(&mut self, member: &Member, now: Instant) -> Option<Transition> {
        let tracked =
            Tracked { member: member.clone(), last_seen: now, announcements_left: ANNOUNCE_COUNT };
        let before = self.tracked.insert(member.vm.clone(), tracked);
        if let Some(before) = before.as_ref().filter(|b| b.member == *member) {
            self.tracked.get_mut(&member.vm)?.announcements_left = before.announcements_left;
        }
        transition(before.as_ref().map(|b| &b.member), member)
    }
}

/// Whether a received state supersedes the recorded one.
fn supersedes(received: &Member, tracked: &Member) -> bool {
    let rank = |m: &Member| (m.incarnation, m.down, m.leaving);
    rank(received) > rank(tracked)
}

fn transition(before: Option<&Member>, after: &Member) -> Option<Transition> {
    let state = |m: &Member| (m.down, m.leaving);
    if before.is_some_and(|b| state(b) == state(after) && b.incarnation == after.incarnation) {
        return None;
    }
    let vm = after.vm.clone();
    Some(match state(after) {
        (true, _) => Transition::Down(vm),
        (false, true) => Transition::Leaving(vm),
        (false, false) => Transition::Up(vm),
    })
}

/// The member responsible for a key, by rendezvous hashing.
pub fn owner_of<'a>(
    key: &str,
    members: impl IntoIterator<Item = &'a Member>,
) -> Option<&'a Member> {
    members.into_iter().max_by_key(|m| (hash::weight(key, m.vm.as_str()), m.vm.clone()))
}
