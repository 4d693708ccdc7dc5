//! The election of the schedulers: the order of the VMs, and which of them receive all announcements.

use foldlock_request::directory::Member;
use foldlock_request::rank::{self, Liveness, SCHEDULERS};
use proptest::prelude::*;

fn member(i: usize, millicores: u32) -> Member {
    Member {
        vm: format!("vm-{i}").parse().unwrap(),
        hall: "a".to_owned(),
        address: format!("10.0.0.{}:80", i % 250).parse().unwrap(),
        incarnation: 1,
        millicores,
    }
}

fn names(members: &[Member]) -> Vec<String> {
    members.iter().map(|member| member.vm.to_string()).collect()
}

#[test]
fn vms_with_the_most_processor_time_come_first() {
    let mut members: Vec<Member> =
        (0..20).map(|i| member(i, if i % 10 == 3 { 500 } else { 120 })).collect();
    rank::order(&mut members);
    let mut first = names(&members[..2]);
    first.sort();
    assert_eq!(first, ["vm-13", "vm-3"]);
}

/// VMs are listed one by one, in any order.
#[test]
fn inserting_one_by_one_gives_the_same_order_as_sorting() {
    let members: Vec<Member> =
        (0..300).map(|i| member(i * 7 % 300, 120 + (i % 3) as u32)).collect();
    let mut ordered = members.clone();
    rank::order(&mut ordered);
    let mut inserted = Vec::new();
    members.into_iter().for_each(|member| rank::insert(&mut inserted, member));
    assert_eq!(names(&inserted), names(&ordered));
}

#[test]
fn the_order_does_not_depend_on_the_order_of_the_listings() {
    let mut here: Vec<Member> = (0..30).map(|i| member(i, 250)).collect();
    let mut there: Vec<Member> = here.iter().rev().cloned().collect();
    rank::order(&mut here);
    rank::order(&mut there);
    assert_eq!(names(&here), names(&there));
}

#[test]
fn the_next_vms_replace_schedulers_that_are_down() {
    use Liveness::{Down, Unknown, Up};
    let schedulers = |liveness: &[Liveness]| rank::schedulers(liveness.iter().copied());
    assert_eq!(schedulers(&[Up, Up, Up, Up]), [0, 1, 2]);
    assert_eq!(schedulers(&[Down, Up, Down, Up, Up, Up]), [1, 3, 4]);
    assert_eq!(schedulers(&[Unknown, Up, Up, Up, Up]), [0, 1, 2, 3], "the first one may be up");
    assert_eq!(schedulers(&[Unknown; 20]).len(), 6, "the number is bounded");
    assert!(schedulers(&[Down; 4]).is_empty());
}

proptest! {
    /// Whichever VMs are down, the first ones that are up receive all announcements, and few others.
    #[test]
    fn the_first_vms_that_are_up_are_schedulers(
        liveness in prop::collection::vec(
            prop_oneof![Just(Liveness::Up), Just(Liveness::Unknown), Just(Liveness::Down)],
            0..40,
        ),
    ) {
        let schedulers = rank::schedulers(liveness.iter().copied());
        prop_assert!(schedulers.len() <= 2 * SCHEDULERS);
        prop_assert!(schedulers.iter().all(|index| liveness[*index] != Liveness::Down));
        let up: Vec<usize> =
            (0..liveness.len()).filter(|i| liveness[*i] == Liveness::Up).collect();
        let schedulers_up: Vec<usize> =
            schedulers.iter().copied().filter(|i| liveness[*i] == Liveness::Up).collect();
        prop_assert!(schedulers_up.len() <= SCHEDULERS);
        prop_assert!(up.starts_with(&schedulers_up));
        if schedulers.len() < 2 * SCHEDULERS {
            prop_assert_eq!(schedulers_up.len(), up.len().min(SCHEDULERS));
        }
    }
}
