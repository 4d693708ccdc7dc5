//! Membership by heartbeats and by the announcements of peers, with a manual clock.

use std::time::Duration;

use foldlock_base::clock::Manual;
use foldlock_connection::wire::Member;
use foldlockd::home::{MAX_SHARD_ENGINES, MAX_USED_SHARDS, Shard, home_of, used_shards};
use foldlockd::members::{FANOUT, Members, SILENCE_TIMEOUT, Transition};
use proptest::prelude::*;

fn member(i: usize, incarnation: u64) -> Member {
    Member {
        vm: format!("vm-{i}").parse().unwrap(),
        hall: format!("hall-{}", i % 3).parse().unwrap(),
        address: format!("127.0.0.1:{}", 1000 + i),
        incarnation,
        leaving: false,
        down: false,
    }
}

fn live(members: &Members<Manual>) -> Vec<String> {
    members.live().iter().map(|m| m.vm.to_string()).collect()
}

#[test]
fn a_silent_peer_is_down_until_its_next_heartbeat() {
    let clock = Manual::default();
    let members = Members::new(clock.clone(), member(0, 1));
    let peer = member(1, 5);
    assert_eq!(members.on_heartbeat(&peer), Some(Transition::Up(peer.vm.clone())));
    assert_eq!(members.mark_down_if_silent(&peer.vm), None, "not silent for long enough");
    clock.advance(SILENCE_TIMEOUT);
    assert_eq!(members.mark_down_if_silent(&peer.vm), Some(Transition::Down(peer.vm.clone())));
    assert_eq!(live(&members), ["vm-0"]);
    assert_eq!(members.on_heartbeat(&peer), Some(Transition::Up(peer.vm.clone())));
    assert_eq!(live(&members), ["vm-0", "vm-1"]);
}

#[test]
fn an_announcement_of_an_older_incarnation_is_ignored() {
    let members = Members::new(Manual::default(), member(0, 1));
    members.on_heartbeat(&member(1, 5));
    assert_eq!(members.merge(&Member { down: true, ..member(1, 4) }), None);
    assert_eq!(live(&members), ["vm-0", "vm-1"]);
    assert!(members.merge(&Member { down: true, ..member(1, 5) }).is_some());
    assert_eq!(live(&members), ["vm-0"]);
}

#[test]
fn a_vm_announced_as_down_raises_its_incarnation() {
    let members = Members::new(Manual::default(), member(0, 7));
    members.merge(&Member { down: true, ..member(0, 7) });
    assert_eq!(members.own().incarnation, 8);
}

#[test]
fn a_leaving_member_is_not_live() {
    let members = Members::new(Manual::default(), member(0, 1));
    members.on_heartbeat(&member(1, 1));
    let leaving = Member { leaving: true, ..member(1, 1) };
    assert_eq!(members.on_heartbeat(&leaving), Some(Transition::Leaving(leaving.vm.clone())));
    assert_eq!(live(&members), ["vm-0"]);
    members.leave();
    assert!(live(&members).is_empty());
}

proptest! {
    /// The number of peers of a VM is bounded for any size of fleet.
    #[test]
    fn peers_are_bounded(count in 1usize..400) {
        let clock = Manual::default();
        let members = Members::new(clock.clone(), member(0, 1));
        for i in 1..count {
            members.on_heartbeat(&member(i, 1));
        }
        prop_assert!(members.targets(&[]).len() <= FANOUT);
        clock.advance(Duration::from_secs(1));
        prop_assert!(members.announcements().len() <= 16);
    }

    /// Each shard has one home, in its own data hall if that has a VM, and all VMs compute the same.
    #[test]
    fn a_shard_has_one_home(vms in 1usize..60, hall in 0usize..3) {
        let mut members: Vec<Member> = (0..vms).map(|i| member(i, 1)).collect();
        let shard = Shard {
            name: format!("hall-{hall}/base/0"),
            hall: format!("hall-{hall}").parse().unwrap(),
            model: "base".parse().unwrap(),
            engines: Vec::new(),
        };
        let first = home_of(&shard, &members).unwrap().clone();
        prop_assert!(vms <= hall || first.hall == shard.hall);
        members.reverse();
        prop_assert_eq!(&first, home_of(&shard, &members).unwrap());
        // The home does not change when another VM goes down.
        members.retain(|m| m.vm == first.vm || m.vm.as_str().len() % 2 == 0);
        prop_assert_eq!(&first, home_of(&shard, &members).unwrap());
    }

    /// A VM uses a bounded number of shards, at least one of them of another data hall, and many VMs
    /// are distributed evenly over the shards.
    #[test]
    fn shards_are_used_evenly(shards_of_hall in 1usize..12) {
        let shards: Vec<Shard> = (0..3 * shards_of_hall)
            .map(|i| Shard {
                name: format!("hall-{}/base/{}", i % 3, i / 3),
                hall: format!("hall-{}", i % 3).parse().unwrap(),
                model: "base".parse().unwrap(),
                engines: vec!["e".parse().unwrap(); MAX_SHARD_ENGINES],
            })
            .collect();
        let mut users = std::collections::BTreeMap::new();
        for i in 0..600 {
            let vm = member(i, 1);
            let chosen = used_shards(&vm, &shards);
            prop_assert!(chosen.len() <= MAX_USED_SHARDS);
            prop_assert!(chosen.iter().any(|s| s.hall != vm.hall));
            for shard in chosen {
                *users.entry(shard.name.clone()).or_insert(0u32) += 1;
            }
        }
        let most = users.values().max().unwrap();
        let mean = 600.0 * MAX_USED_SHARDS.min(shards.len()) as f64 / shards.len() as f64;
        prop_assert!(f64::from(*most) < 2.2 * mean, "{most} {mean}");
    }
}
