//! Which VMs place the requests of the fleet: each VM works it out alike from the list of VMs and
//! from who it hears, without a message, and the next in order follows when one falls silent.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

use crate::directory::Member;

/// VMs that are told all: the one that places, and two that can take over with what they know.
pub const SCHEDULERS: usize = 3;

/// VMs at the head of the order that are told all while it is not known which of them live.
pub const MAX_SCHEDULERS: usize = 2 * SCHEDULERS;

/// Orders VMs by how well they can place for all: those with the most of a processor first, equal
/// ones by a hash, so that no hall and no age of a VM is preferred.
pub fn order(members: &mut [Member]) {
    members.sort_by_cached_key(key);
}

/// Puts a VM into its place among others in their order. A fleet that starts lists its VMs one by one: to
/// order all anew for each grows with the square of the VMs.
pub fn insert(order: &mut Vec<Member>, member: Member) {
    let own = key(&member);
    let index = order.partition_point(|other| key(other) < own);
    order.insert(index, member);
}

fn key(member: &Member) -> (Reverse<u32>, u64) {
    (Reverse(member.millicores), xxh3_64(member.vm.as_str().as_bytes()))
}

/// What is known of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// It was heard just now.
    Up,
    /// It was not asked for long enough to know.
    Unknown,
    /// It does not answer.
    Down,
}

/// The VMs that are told all, by their place in the order: the first that are heard, and those before
/// them that may yet answer.
pub fn schedulers(order: impl Iterator<Item = Liveness>) -> Vec<usize> {
    let mut up = 0;
    let mut schedulers = Vec::new();
    for (index, liveness) in order.enumerate() {
        if up == SCHEDULERS || schedulers.len() == MAX_SCHEDULERS {
            break;
        }
        match liveness {
            Liveness::Up => up += 1,
            Liveness::Unknown => {}
            Liveness::Down => continue,
        }
        schedulers.push(index);
    }
    schedulers
}
