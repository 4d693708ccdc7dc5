//! Which upstreams a VM reaches itself, and what its failed connections say about them.

use std::time::{Duration, Instant};

use foldlock_request::reachability::{
    Change, Reachability, TUNNEL_DELAY, Testimony, Verdict, hall_crossings, judge,
};
use proptest::collection::vec;
use proptest::prelude::*;

const SERVICE: &str = "model";
const HALL: &str = "a";
const OTHER_HALL: &str = "b";

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// Guards against peers that are asked for every connection because a single one was slow.
#[test]
fn one_failure_that_a_peer_disproves_is_no_partition() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    assert_eq!(reachability.on_disproved(SERVICE, HALL, now), None);
    assert_eq!(reachability.tunnel_delay(SERVICE, HALL), TUNNEL_DELAY);
    reachability.on_connected(SERVICE, HALL, after(now, 10));
    assert_eq!(reachability.on_disproved(SERVICE, HALL, after(now, 20)), None);
    assert_eq!(reachability.partitions().count(), 0);
}

#[test]
fn a_partition_begins_with_the_second_failure_and_ends_with_the_first_direct_connection() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    reachability.on_disproved(SERVICE, HALL, now);
    let began = reachability.on_disproved(SERVICE, HALL, after(now, 5));
    let Some(Change::Began(partition)) = began else { panic!("{began:?}") };
    assert_eq!((partition.since, partition.last_failure), (now, after(now, 5)));
    assert_eq!(reachability.on_disproved(SERVICE, HALL, after(now, 6)), None, "logged once");
    assert_eq!(reachability.tunnel_delay(SERVICE, HALL), Duration::ZERO);
    let ended = reachability.on_connected(SERVICE, HALL, after(now, 9));
    assert!(matches!(ended, Some(Change::Ended(_))), "{ended:?}");
    assert_eq!(reachability.tunnel_delay(SERVICE, HALL), TUNNEL_DELAY);
}

/// Guards against a VM that finds out for each group anew that it has lost its links, and against one that uses peers for
/// all groups since it has lost one of them.
#[test]
fn another_group_is_suspected_unless_it_was_reached_since() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    reachability.on_connected(SERVICE, OTHER_HALL, now);
    reachability.on_disproved(SERVICE, HALL, after(now, 10));
    reachability.on_disproved(SERVICE, HALL, after(now, 11));
    assert!(reachability.is_suspected(SERVICE, OTHER_HALL));
    assert!(reachability.is_suspected("plain", HALL), "it was never reached");
    reachability.on_connected(SERVICE, OTHER_HALL, after(now, 12));
    assert!(!reachability.is_suspected(SERVICE, OTHER_HALL));
    assert!(reachability.is_suspected(SERVICE, HALL));
}

#[test]
fn only_a_service_that_was_reached_just_now_makes_a_witness() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    assert!(!reachability.reaches_service(SERVICE, now));
    reachability.on_connected(SERVICE, OTHER_HALL, now);
    assert!(reachability.reaches_service(SERVICE, after(now, 900)));
    assert!(!reachability.reaches_service("plain", after(now, 1)));
    assert!(!reachability.reaches_service(SERVICE, after(now, 1_100)));
}

#[test]
fn a_vm_without_peers_judges_by_its_own_connection() {
    assert_eq!(judge(true, &[]), Verdict::Refused);
    assert_eq!(judge(false, &[]), Verdict::Unreachable);
}

/// Guards against a crash that is recorded for a request since a port refused connections of a partitioned VM.
#[test]
fn a_crash_needs_a_witness_that_is_refused_as_well() {
    use Testimony::{Refused, Unknown, Unreachable};
    assert_eq!(judge(true, &[Refused]), Verdict::Refused);
    assert_eq!(judge(true, &[Refused, Refused]), Verdict::Refused);
    assert_eq!(judge(true, &[Unreachable]), Verdict::Unreachable);
    assert_eq!(judge(false, &[Refused]), Verdict::Refused, "the own path hangs as well");
    assert_eq!(judge(true, &[Unknown]), Verdict::Unknown);
    assert_eq!(judge(true, &[Refused, Unknown]), Verdict::Unknown, "one of two is not enough");
    assert_eq!(judge(true, &[Refused, Unknown, Refused]), Verdict::Refused);
}

#[test]
fn a_peer_on_the_way_to_the_upstream_is_nearest() {
    assert_eq!(hall_crossings("a", "a", "a"), 0);
    assert_eq!(hall_crossings("a", "a", "b"), 1);
    assert_eq!(hall_crossings("a", "b", "b"), 1);
    assert_eq!(hall_crossings("a", "b", "a"), 2);
    assert_eq!(hall_crossings("a", "c", "b"), 2);
}

fn testimonies() -> impl Strategy<Value = Vec<Testimony>> {
    let testimony = prop_oneof![
        Just(Testimony::Refused),
        Just(Testimony::Unreachable),
        Just(Testimony::Unknown)
    ];
    vec(testimony, 0..4)
}

proptest! {
    /// A VM whose peers are all partitioned as well never blames an upstream, and one witness out of several peers alone does
    /// not either.
    #[test]
    fn an_upstream_is_blamed_by_witnesses_alone(refused: bool, testimonies in testimonies()) {
        let witnesses = testimonies.iter().filter(|t| **t != Testimony::Unknown).count();
        let is_blamed = judge(refused, &testimonies) != Verdict::Unknown;
        prop_assert_eq!(is_blamed, witnesses >= testimonies.len().min(2));
    }

    /// Whatever happened before, two failures in a row use peers at once, and one direct connection ends that.
    #[test]
    fn the_state_follows_the_last_outcomes(outcomes in vec(any::<(bool, bool)>(), 0..40)) {
        let (mut reachability, start) = (Reachability::default(), Instant::now());
        let hall = |is_other: bool| if is_other { OTHER_HALL } else { HALL };
        for (index, (is_other, is_reached)) in outcomes.iter().enumerate() {
            let now = after(start, index as u64);
            if *is_reached {
                reachability.on_connected(SERVICE, hall(*is_other), now);
            } else {
                reachability.on_disproved(SERVICE, hall(*is_other), now);
            }
        }
        let now = after(start, outcomes.len() as u64);
        reachability.on_disproved(SERVICE, HALL, now);
        reachability.on_disproved(SERVICE, HALL, now);
        prop_assert!(reachability.is_suspected(SERVICE, HALL));
        prop_assert!(reachability.partitions().any(|p| p.group.hall == HALL));
        reachability.on_connected(SERVICE, HALL, now);
        prop_assert!(!reachability.partitions().any(|p| p.group.hall == HALL));
    }
}

#[test]
fn a_service_is_lost_after_three_connections_without_a_witness_until_any_path_works() {
    let mut reachability = Reachability::default();
    assert_eq!(reachability.on_unknown(SERVICE), None);
    assert_eq!(reachability.on_unknown("plain"), None);
    assert_eq!(reachability.on_unknown(SERVICE), None);
    assert_eq!(reachability.on_found(SERVICE), None, "it was not lost");
    for _ in 0..2 {
        assert_eq!(reachability.on_unknown(SERVICE), None);
    }
    assert_eq!(reachability.on_unknown(SERVICE), Some(Change::Lost));
    assert_eq!(reachability.on_unknown(SERVICE), None, "reported once");
    assert!(reachability.is_lost(SERVICE) && !reachability.is_lost("plain"));
    assert_eq!(reachability.on_found(SERVICE), Some(Change::Found));
    assert_eq!(reachability.lost().count(), 0);
}

/// Guards against a VM without requests of its own that carries no tunnels long after its partition has ended.
#[test]
fn an_old_failure_does_not_keep_a_vm_from_carrying_tunnels() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    reachability.on_disproved(SERVICE, HALL, now);
    reachability.on_disproved(SERVICE, HALL, now);
    assert!(reachability.has_just_failed(SERVICE, HALL, after(now, 900)));
    assert!(reachability.has_just_failed(SERVICE, OTHER_HALL, after(now, 900)));
    assert!(!reachability.has_just_failed(SERVICE, HALL, after(now, 1_100)));
    assert!(reachability.is_suspected(SERVICE, HALL));
}

/// Guards against a VM whose open connections live on while new ones are refused: it would testify against sound upstreams, and
/// its partition would begin and end with each response.
#[test]
fn responses_on_open_connections_neither_end_a_partition_nor_make_a_witness() {
    let (mut reachability, now) = (Reachability::default(), Instant::now());
    reachability.on_disproved(SERVICE, HALL, now);
    reachability.on_disproved(SERVICE, HALL, now);
    reachability.on_response(SERVICE, HALL, after(now, 10));
    assert_eq!(reachability.partitions().count(), 1);
    assert!(!reachability.reaches_service(SERVICE, after(now, 10)));
    assert!(reachability.is_reached_since(SERVICE, HALL, after(now, 5)), "the upstream is alive");
}
