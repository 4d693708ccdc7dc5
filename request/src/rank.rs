//! Election of the schedulers. Each VM computes the same order from the list of VMs, without messages; the first
//! VM in it that is up is the scheduler, and the next ones are standby schedulers.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

use crate::directory::Member;

/// Number of VMs that receive all announcements: the scheduler and two standby schedulers that can take over with
/// the state that they have.
pub const SCHEDULERS: usize = 3;

/// Upper bound on the VMs that receive all announcements while the liveness of some is unknown.
pub const MAX_SCHEDULERS: usize = 2 * SCHEDULERS;

/// Orders VMs by their suitability as scheduler: those with the most processor time first, equal ones by a hash of
/// the id, so that no data hall and no age of a VM is preferred.
pub fn order(members: &mut [Member]) {
    members.sort_by_cached_key(key);
}

/// Inserts a VM into an ordered list. When a fleet starts, its VMs are listed one by one, and sorting anew for each
/// would take time quadratic in the number of VMs.
pub fn insert(order: &mut Vec<Member>, member: Member) {
    let own = key(&member);
    let index = order.partition_point(|other| key(other) < own);
    order.insert(index, member);
}

fn key(member: &Member) -> (Reverse<u32>, u64) {
    (Reverse(member.millicores), xxh3_64(member.vm.as_str().as_bytes()))
}

/// The liveness of a VM as observed by another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// A message was received from it recently.
    Up,
    /// The other VM has not tried to reach it for long enough to tell.
    Unknown,
    /// It does not respond.
    Down,
}

/// Returns the indexes of the VMs that receive all announcements: the first `SCHEDULERS` that are up, and those before
/// them whose liveness is unknown, at most `MAX_SCHEDULERS` in all.
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
