//! The cluster state: listings, removed upstreams and the load of in-flight attempts.

#[path = "board/restarts.rs"]
mod restarts;

use std::time::{Duration, Instant};

use foldlock_base::id;
use foldlock_request::cluster::{Cluster, Holder, Listed, Load};
use foldlock_request::flight::{Flight, Helper};
use foldlock_request::suspicion::{Failure, Outcome};
use proptest::prelude::*;

fn upstream(i: usize) -> id::Upstream {
    format!("i-{i:02}").parse().unwrap()
}

fn vm(i: usize) -> id::Vm {
    format!("vm-{i}").parse().unwrap()
}

fn listed(i: usize) -> Listed {
    Listed {
        id: upstream(i),
        born: None,
        revision: 0.into(),
        service: "model".to_owned(),
        address: format!("10.0.0.{i}:80"),
        hall: "a".to_owned(),
        slots: 16,
        leaving: false,
        cold_ms: 0,
    }
}

fn leaving(i: usize) -> Listed {
    Listed { leaving: true, ..listed(i) }
}

fn flight(i: usize, part_ms: f32, memory: u64) -> Flight {
    Flight {
        upstream: upstream(i),
        helpers: Vec::new(),
        part_ms,
        memory,
        pause_ms: 250,
        decoding: false,
        isolated: None,
    }
}

/// Adds an attempt of the VM that owns this cluster state.
fn enter(cluster: &mut Cluster, flight: Flight, now: Instant) -> u64 {
    let number = cluster.next_number();
    cluster.begin_attempt(number, flight, now);
    number
}

/// Announces the flights of `here`, the state of VM number `from`, to `there`.
fn announce(here: &Cluster, there: &mut Cluster, from: usize, granted: u64, now: Instant) -> bool {
    there.merge_flights(&vm(from), &here.announced_flights(now), granted, now)
}

fn open(cluster: &Cluster) -> Vec<String> {
    cluster.open("model").map(|u| u.listed.id.to_string()).collect()
}

fn load(cluster: &Cluster, i: usize, now: Instant) -> Load {
    cluster.loads(None, now).remove(&upstream(i)).unwrap_or_default()
}

#[test]
fn upstreams_are_open_in_the_order_of_their_ids() {
    let mut cluster = Cluster::default();
    for i in [3, 1, 2] {
        assert!(cluster.list(listed(i)));
    }
    assert!(!cluster.list(listed(1)), "no change");
    assert_eq!(open(&cluster), ["i-01", "i-02", "i-03"]);
    assert_eq!(cluster.open("other").count(), 0);
}

#[test]
fn a_leaving_upstream_is_not_open_whoever_reports_it() {
    let mut cluster = Cluster::default();
    (1..=3).for_each(|i| {
        cluster.list(listed(i));
    });
    assert!(cluster.list(leaving(1)));
    assert_eq!(cluster.mark_leaving(cluster.tag_of(&upstream(2))), Some(upstream(2)));
    assert_eq!(cluster.mark_leaving(cluster.tag_of(&upstream(2))), None, "recorded before");
    assert_eq!(cluster.mark_leaving(cluster.tag_of(&upstream(9))), None, "unknown upstream");
    assert_eq!(open(&cluster), ["i-03"]);
}

#[test]
fn a_peer_does_not_restore_a_removed_upstream() {
    let mut cluster = Cluster::default();
    cluster.list(listed(1));
    assert!(cluster.accepts(&listed(1)));
    assert!(cluster.remove(&upstream(1), 0.into()));
    assert!(!cluster.accepts(&listed(1)));
    assert!(cluster.accepts(&listed(2)), "never listed");
}

#[test]
fn a_peer_does_not_revert_a_leaving_upstream() {
    let mut cluster = Cluster::default();
    cluster.list(leaving(1));
    assert!(!cluster.accepts(&listed(1)));
    assert!(cluster.accepts(&leaving(1)));
}

#[test]
fn an_upstream_with_a_lapsed_listing_is_kept_for_the_grace_period() {
    let (mut cluster, now) = (Cluster::default(), Instant::now());
    let grace = Duration::from_secs(2);
    cluster.list(listed(1));
    cluster.list(listed(2));
    cluster.unlist(&upstream(1), now);
    cluster.unlist(&upstream(2), now);
    assert!(cluster.expire(grace, 0.into(), now + Duration::from_millis(1_900)).is_empty());
    cluster.list(listed(2));
    assert_eq!(cluster.expire(grace, 0.into(), now + grace), [upstream(1)]);
    assert_eq!(open(&cluster), ["i-02"]);
    assert!(!cluster.accepts(&listed(1)));
}

#[test]
fn an_attempt_counts_until_it_ends() {
    let (mut cluster, now) = (Cluster::default(), Instant::now());
    cluster.list(listed(1));
    let number = enter(&mut cluster, flight(1, 100.0, 5_000), now);
    let prefilling = load(&cluster, 1, now);
    assert_eq!((prefilling.requests, prefilling.decoding, prefilling.memory), (1, 0, 5_000));
    assert_eq!(prefilling.backlog_ms.round(), 100.0);
    assert_eq!(prefilling.pause_ms, Some(250));
    cluster.record_first_event(number, now);
    let decoding = load(&cluster, 1, now);
    assert_eq!((decoding.decoding, decoding.backlog_ms), (1, 0.0));
    cluster.end_attempt(number, now);
    assert_eq!(load(&cluster, 1, now), Load::default());
}

#[test]
fn prefills_run_one_after_the_other() {
    let (mut cluster, now) = (Cluster::default(), Instant::now());
    enter(&mut cluster, flight(1, 100.0, 0), now);
    enter(&mut cluster, flight(1, 50.0, 0), now);
    let at = |ms: u64| load(&cluster, 1, now + Duration::from_millis(ms)).backlog_ms.round();
    assert_eq!((at(0), at(120), at(200)), (150.0, 30.0, 0.0));
}

#[test]
fn helpers_read_their_part_and_reserve_memory_until_the_end() {
    let (mut cluster, now) = (Cluster::default(), Instant::now());
    let helpers = vec![
        Helper { upstream: upstream(2), reserved: 40_000 },
        Helper { upstream: upstream(3), reserved: 0 },
    ];
    let number = enter(&mut cluster, Flight { helpers, ..flight(1, 80.0, 200_000) }, now);
    let (reserving, reading) = (load(&cluster, 2, now), load(&cluster, 3, now));
    assert_eq!((reserving.helper_parts, reserving.requests, reserving.memory), (1, 0, 40_000));
    assert_eq!((reading.helper_parts, reading.memory), (1, 0));
    assert_eq!(reading.backlog_ms.round(), 80.0);
    cluster.record_first_event(number, now);
    assert_eq!(load(&cluster, 2, now).memory, 40_000, "the memory is still reserved");
    assert_eq!(load(&cluster, 3, now), Load::default());
}

#[test]
fn an_announcement_of_a_peer_replaces_its_previous_one() {
    let (mut cluster, now) = (Cluster::default(), Instant::now());
    let (mut one, mut two) = (Cluster::default(), Cluster::default());
    for cluster in [&mut cluster, &mut one, &mut two] {
        (1..=2).for_each(|i| {
            cluster.list(listed(i));
        });
    }
    let first = enter(&mut one, flight(1, 10.0, 1), now);
    enter(&mut one, flight(2, 10.0, 1), now);
    enter(&mut two, flight(1, 10.0, 1), now);
    assert!(!announce(&one, &mut cluster, 1, 0, now), "a new attempt frees no capacity");
    announce(&two, &mut cluster, 2, 0, now);
    assert_eq!(load(&cluster, 1, now).requests, 2);
    one.end_attempt(first, now);
    assert!(announce(&one, &mut cluster, 1, 0, now), "an ended attempt frees capacity");
    assert_eq!(load(&cluster, 1, now).requests, 1);
    cluster.remove_peer(&vm(2), now);
    assert_eq!(load(&cluster, 1, now).requests, 0);
    assert_eq!(load(&cluster, 2, now).requests, 1);
}

#[test]
fn announced_flights_add_the_same_load_on_the_peer() {
    let now = Instant::now();
    let (mut here, mut there) = (Cluster::default(), Cluster::default());
    (1..=3).for_each(|i| {
        here.list(listed(i));
        there.list(listed(i));
    });
    let helpers = vec![
        Helper { upstream: upstream(2), reserved: 40_000 },
        Helper { upstream: upstream(3), reserved: 0 },
    ];
    let number = enter(&mut here, Flight { helpers, ..flight(1, 80.0, 200_000) }, now);
    let later = now + Duration::from_millis(30);
    announce(&here, &mut there, 1, 0, later);
    assert_eq!(there.loads(None, later), here.loads(None, later));
    here.record_first_event(number, later);
    assert!(announce(&here, &mut there, 1, 0, later), "a finished prefill frees capacity");
    assert_eq!(there.loads(None, later), here.loads(None, later));
    let mut stranger = Cluster::default();
    announce(&here, &mut stranger, 1, 0, later);
    assert!(stranger.loads(None, later).is_empty(), "the upstream is unknown there");
}

#[test]
fn suspicion_decays_and_a_success_halves_it() {
    let (mut cluster, now) = (Cluster::default(), Instant::now());
    cluster.list(listed(1));
    let avoided = |cluster: &Cluster, ms: u64| {
        let at = now + Duration::from_millis(ms);
        cluster.get(&upstream(1)).unwrap().suspicion.is_avoided(at)
    };
    cluster.record_outcome(&upstream(1), Outcome::Failed(Failure::Overloaded), now);
    assert!(!avoided(&cluster, 0), "a single refusal is not enough");
    cluster.record_outcome(&upstream(1), Outcome::Failed(Failure::Unresponsive), now);
    assert!(avoided(&cluster, 0));
    assert!(!avoided(&cluster, 5_000));
    cluster.record_outcome(&upstream(1), Outcome::Answered, now);
    cluster.record_outcome(&upstream(1), Outcome::Answered, now);
    assert!(!avoided(&cluster, 0));
}

#[test]
fn an_announced_outcome_counts_once_on_the_peer() {
    let (mut here, mut there, now) = (Cluster::default(), Cluster::default(), Instant::now());
    here.list(listed(1));
    there.list(listed(1));
    here.record_outcome(&upstream(1), Outcome::Failed(Failure::Malformed), now);
    for _ in 0..3 {
        there.merge_outcomes(&vm(1), &here.announced_outcomes(now), now);
    }
    assert_eq!(
        there.get(&upstream(1)).unwrap().suspicion.weight(now),
        1.0,
        "announced three times"
    );
    let later = now + Duration::from_secs(1);
    assert!(here.announced_outcomes(later).is_empty(), "no longer announced");
}

#[test]
fn a_leaving_upstream_is_announced_until_the_directory_lists_it() {
    let (mut here, mut there) = (Cluster::default(), Cluster::default());
    here.list(listed(1));
    here.mark_leaving(here.tag_of(&upstream(1)));
    assert_eq!(here.announced_leaving(), [here.tag_of(&upstream(1))]);
    // Announced before the other VM has listed the upstream, and again afterwards.
    assert_eq!(there.mark_leaving(here.announced_leaving()[0]), None);
    there.list(listed(1));
    assert_eq!(there.mark_leaving(here.announced_leaving()[0]), Some(upstream(1)));
    assert!(open(&there).is_empty(), "it reported that it is leaving");
    there.list(Listed { slots: 99, ..listed(1) });
    assert!(open(&there).is_empty(), "the directory's entry may be older");
    here.list(leaving(1));
    assert!(here.announced_leaving().is_empty(), "all VMs receive it from the directory");
    assert!(open(&here).is_empty());
}

#[test]
fn a_grant_counts_until_its_vm_announces_the_attempt() {
    let (mut here, mut there, now) = (Cluster::default(), Cluster::default(), Instant::now());
    here.list(listed(1));
    there.list(listed(1));
    let peer = Holder::Peer(vm(1));
    here.grant(&peer, 7, flight(1, 10.0, 1), 3, now);
    assert_eq!(load(&here, 1, now).requests, 1);
    assert!(!here.merge_flights(&vm(1), &[], 2, now), "it has not received its grant yet");
    assert_eq!(load(&here, 1, now).requests, 1);
    there.begin_attempt(7, flight(1, 10.0, 1), now);
    announce(&there, &mut here, 1, 3, now);
    assert_eq!(load(&here, 1, now).requests, 1, "not counted twice");
    there.end_attempt(7, now);
    assert!(announce(&there, &mut here, 1, 3, now));
    assert_eq!(load(&here, 1, now).requests, 0);
}

#[test]
fn an_unused_grant_is_released() {
    let (mut cluster, now) = (Cluster::default(), Instant::now());
    let peer = Holder::Peer(vm(1));
    cluster.grant(&peer, 1, flight(1, 10.0, 1), 1, now);
    assert!(
        cluster.merge_flights(&vm(1), &[], 1, now),
        "it has received the grant and announces no attempt"
    );
    cluster.grant(&peer, 2, flight(1, 10.0, 1), 2, now);
    cluster.release_grant(&peer, 2, now);
    assert_eq!(load(&cluster, 1, now).requests, 0);
    cluster.grant(&peer, 3, flight(1, 10.0, 1), 3, now);
    assert!(!cluster.expire_grants(now + Duration::from_millis(900)));
    assert!(
        cluster.expire_grants(now + Duration::from_millis(1_000)),
        "it was not announced in time"
    );
    assert_eq!(load(&cluster, 1, now).requests, 0);
    cluster.grant(&peer, 4, flight(1, 10.0, 1), 4, now);
    cluster.remove_peer(&vm(1), now);
    assert_eq!(load(&cluster, 1, now).requests, 0);
}

#[derive(Debug, Clone)]
enum Step {
    Enter { upstream: usize, helper: usize, reserved: u64 },
    Began(usize),
    Leave(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0usize..4, 4usize..8, 0u64..9).prop_map(|(upstream, helper, reserved)| Step::Enter {
            upstream,
            helper,
            reserved
        }),
        (0usize..20).prop_map(Step::Began),
        (0usize..20).prop_map(Step::Leave),
    ]
}

proptest! {
    /// For any order of events, the loads are the sums over the attempts in flight, here and on a peer.
    #[test]
    fn loads_add_up(steps in prop::collection::vec(step(), 0..60)) {
        let (mut cluster, now) = (Cluster::default(), Instant::now());
        let mut entered: Vec<(u64, bool, u64)> = Vec::new();
        for step in steps {
            match step {
                Step::Enter { upstream: u, helper, reserved } => {
                    let helpers = vec![Helper { upstream: upstream(helper), reserved }];
                    let number = enter(&mut cluster, Flight { helpers, ..flight(u, 5.0, 7) }, now);
                    entered.push((number, false, reserved));
                }
                Step::Began(i) if i < entered.len() => {
                    cluster.record_first_event(entered[i].0, now);
                    entered[i].1 = true;
                }
                Step::Leave(i) if i < entered.len() => {
                    cluster.end_attempt(entered.remove(i).0, now);
                }
                Step::Began(_) | Step::Leave(_) => {}
            }
        }
        let mut peer = Cluster::default();
        (0..8).for_each(|i| {
            cluster.list(listed(i));
            peer.list(listed(i));
        });
        announce(&cluster, &mut peer, 1, 0, now);
        prop_assert_eq!(peer.loads(None, now), cluster.loads(None, now));
        let loads = cluster.loads(None, now);
        let requests: u32 = loads.values().map(|l| l.requests).sum();
        let decoding: u32 = loads.values().map(|l| l.decoding).sum();
        let memory: u64 = loads.values().map(|l| l.memory).sum();
        prop_assert_eq!(requests as usize, entered.len());
        prop_assert_eq!(decoding as usize, entered.iter().filter(|e| e.1).count());
        prop_assert_eq!(memory, entered.iter().map(|e| 7 + e.2).sum::<u64>());
    }
}
