//! The cluster state: what is listed, what has ended, and what is under way where.

#[path = "board/starts.rs"]
mod starts;

use std::time::{Duration, Instant};

use foldlock_base::id;
use foldlock_request::cluster::{Cluster, Holder, Listed, Load};
use foldlock_request::flight::{Flight, Helping};
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
        writing: false,
        isolated: None,
    }
}

/// Enters an attempt of the VM that the cluster state is of.
fn enter(cluster: &mut Cluster, flight: Flight, now: Instant) -> u64 {
    let number = cluster.number();
    cluster.enter(number, flight, now);
    number
}

/// Tells `there` what is under way on `here`, of which the VM with this number is the VM.
fn tell(here: &Cluster, there: &mut Cluster, from: usize, granted: u64, now: Instant) -> bool {
    there.hear(&vm(from), &here.told(now), granted, now)
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
    assert!(!cluster.list(listed(1)), "nothing new");
    assert_eq!(open(&cluster), ["i-01", "i-02", "i-03"]);
    assert_eq!(cluster.open("other").count(), 0);
}

#[test]
fn one_that_leaves_is_closed_whoever_says_so() {
    let mut cluster = Cluster::default();
    (1..=3).for_each(|i| {
        cluster.list(listed(i));
    });
    assert!(cluster.list(leaving(1)));
    assert_eq!(cluster.depart(cluster.tag_of(&upstream(2))), Some(upstream(2)));
    assert_eq!(cluster.depart(cluster.tag_of(&upstream(2))), None, "it is known");
    assert_eq!(cluster.depart(cluster.tag_of(&upstream(9))), None, "nobody's");
    assert_eq!(open(&cluster), ["i-03"]);
}

#[test]
fn what_ended_does_not_come_back_by_a_peers_word() {
    let mut cluster = Cluster::default();
    cluster.list(listed(1));
    assert!(cluster.accepts(&listed(1)));
    assert!(cluster.remove(&upstream(1), 0.into()));
    assert!(!cluster.accepts(&listed(1)));
    assert!(cluster.accepts(&listed(2)), "never heard of");
}

#[test]
fn what_is_leaving_does_not_stay_by_a_peers_word() {
    let mut cluster = Cluster::default();
    cluster.list(leaving(1));
    assert!(!cluster.accepts(&listed(1)));
    assert!(cluster.accepts(&leaving(1)));
}

#[test]
fn one_whose_listing_lapsed_is_kept_for_a_while() {
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
fn an_attempt_counts_from_its_entry_to_its_end() {
    let (mut cluster, now) = (Cluster::default(), Instant::now());
    cluster.list(listed(1));
    let number = enter(&mut cluster, flight(1, 100.0, 5_000), now);
    let reading = load(&cluster, 1, now);
    assert_eq!((reading.requests, reading.writers, reading.memory), (1, 0, 5_000));
    assert_eq!(reading.backlog_ms.round(), 100.0);
    assert_eq!(reading.pause_ms, Some(250));
    cluster.began(number, now);
    let writing = load(&cluster, 1, now);
    assert_eq!((writing.writers, writing.backlog_ms), (1, 0.0));
    cluster.leave(number, now);
    assert_eq!(load(&cluster, 1, now), Load::default());
}

#[test]
fn reads_are_played_one_after_the_other() {
    let (mut cluster, now) = (Cluster::default(), Instant::now());
    enter(&mut cluster, flight(1, 100.0, 0), now);
    enter(&mut cluster, flight(1, 50.0, 0), now);
    let at = |ms: u64| load(&cluster, 1, now + Duration::from_millis(ms)).backlog_ms.round();
    assert_eq!((at(0), at(120), at(200)), (150.0, 30.0, 0.0));
}

#[test]
fn helpers_read_their_part_and_hold_their_memory_until_the_end() {
    let (mut cluster, now) = (Cluster::default(), Instant::now());
    let helpers = vec![
        Helping { upstream: upstream(2), held: 40_000 },
        Helping { upstream: upstream(3), held: 0 },
    ];
    let number = enter(&mut cluster, Flight { helpers, ..flight(1, 80.0, 200_000) }, now);
    let (holder, reader) = (load(&cluster, 2, now), load(&cluster, 3, now));
    assert_eq!((holder.helping, holder.requests, holder.memory), (1, 0, 40_000));
    assert_eq!((reader.helping, reader.memory), (1, 0));
    assert_eq!(reader.backlog_ms.round(), 80.0);
    cluster.began(number, now);
    assert_eq!(load(&cluster, 2, now).memory, 40_000, "the memory is still held");
    assert_eq!(load(&cluster, 3, now), Load::default());
}

#[test]
fn a_peers_word_replaces_the_one_before_it() {
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
    assert!(!tell(&one, &mut cluster, 1, 0, now), "what begins makes no room");
    tell(&two, &mut cluster, 2, 0, now);
    assert_eq!(load(&cluster, 1, now).requests, 2);
    one.leave(first, now);
    assert!(tell(&one, &mut cluster, 1, 0, now), "what ends makes room");
    assert_eq!(load(&cluster, 1, now).requests, 1);
    cluster.peer_lost(&vm(2), now);
    assert_eq!(load(&cluster, 1, now).requests, 0);
    assert_eq!(load(&cluster, 2, now).requests, 1);
}

#[test]
fn what_is_told_counts_at_the_peer_as_it_does_here() {
    let now = Instant::now();
    let (mut here, mut there) = (Cluster::default(), Cluster::default());
    (1..=3).for_each(|i| {
        here.list(listed(i));
        there.list(listed(i));
    });
    let helpers = vec![
        Helping { upstream: upstream(2), held: 40_000 },
        Helping { upstream: upstream(3), held: 0 },
    ];
    let number = enter(&mut here, Flight { helpers, ..flight(1, 80.0, 200_000) }, now);
    let later = now + Duration::from_millis(30);
    tell(&here, &mut there, 1, 0, later);
    assert_eq!(there.loads(None, later), here.loads(None, later));
    here.began(number, later);
    assert!(tell(&here, &mut there, 1, 0, later), "what is read makes room");
    assert_eq!(there.loads(None, later), here.loads(None, later));
    let mut stranger = Cluster::default();
    tell(&here, &mut stranger, 1, 0, later);
    assert!(stranger.loads(None, later).is_empty(), "an upstream that is not known there");
}

#[test]
fn suspicion_fades_and_an_answer_halves_it() {
    let (mut cluster, now) = (Cluster::default(), Instant::now());
    cluster.list(listed(1));
    let avoided = |cluster: &Cluster, ms: u64| {
        let at = now + Duration::from_millis(ms);
        cluster.get(&upstream(1)).unwrap().suspicion.is_avoided(at)
    };
    cluster.note(&upstream(1), Outcome::Failed(Failure::Overloaded), now);
    assert!(!avoided(&cluster, 0), "one refusal is no sign");
    cluster.note(&upstream(1), Outcome::Failed(Failure::Unresponsive), now);
    assert!(avoided(&cluster, 0));
    assert!(!avoided(&cluster, 5_000));
    cluster.note(&upstream(1), Outcome::Answered, now);
    cluster.note(&upstream(1), Outcome::Answered, now);
    assert!(!avoided(&cluster, 0));
}

#[test]
fn what_a_peer_met_counts_once_here_too() {
    let (mut here, mut there, now) = (Cluster::default(), Cluster::default(), Instant::now());
    here.list(listed(1));
    there.list(listed(1));
    here.note(&upstream(1), Outcome::Failed(Failure::Malformed), now);
    for _ in 0..3 {
        there.hear_outcomes(&vm(1), &here.told_outcomes(now), now);
    }
    assert_eq!(there.get(&upstream(1)).unwrap().suspicion.weight(now), 1.0, "told three times");
    let later = now + Duration::from_secs(1);
    assert!(here.told_outcomes(later).is_empty(), "all have heard it by then");
}

#[test]
fn a_departure_is_told_until_the_directory_tells_it() {
    let (mut here, mut there) = (Cluster::default(), Cluster::default());
    here.list(listed(1));
    here.depart(here.tag_of(&upstream(1)));
    assert_eq!(here.departures(), [here.tag_of(&upstream(1))]);
    // Told before the other VM has heard of the upstream, and again.
    assert_eq!(there.depart(here.departures()[0]), None);
    there.list(listed(1));
    assert_eq!(there.depart(here.departures()[0]), Some(upstream(1)));
    assert!(open(&there).is_empty(), "it told that VM that it is leaving");
    there.list(Listed { slots: 99, ..listed(1) });
    assert!(open(&there).is_empty(), "what the directory lists may be older");
    here.list(leaving(1));
    assert!(here.departures().is_empty(), "all hear it from the directory");
    assert!(open(&here).is_empty());
}

#[test]
fn a_place_that_is_given_counts_until_its_vm_tells_of_it() {
    let (mut here, mut there, now) = (Cluster::default(), Cluster::default(), Instant::now());
    here.list(listed(1));
    there.list(listed(1));
    let peer = Holder::Peer(vm(1));
    here.grant(&peer, 7, flight(1, 10.0, 1), 3, now);
    assert_eq!(load(&here, 1, now).requests, 1);
    assert!(!here.hear(&vm(1), &[], 2, now), "it has not heard of its place yet");
    assert_eq!(load(&here, 1, now).requests, 1);
    there.enter(7, flight(1, 10.0, 1), now);
    tell(&there, &mut here, 1, 3, now);
    assert_eq!(load(&here, 1, now).requests, 1, "not counted twice");
    there.leave(7, now);
    assert!(tell(&there, &mut here, 1, 3, now));
    assert_eq!(load(&here, 1, now).requests, 0);
}

#[test]
fn a_place_that_is_not_used_is_free_again() {
    let (mut cluster, now) = (Cluster::default(), Instant::now());
    let peer = Holder::Peer(vm(1));
    cluster.grant(&peer, 1, flight(1, 10.0, 1), 1, now);
    assert!(cluster.hear(&vm(1), &[], 1, now), "it has the message, and not the attempt");
    cluster.grant(&peer, 2, flight(1, 10.0, 1), 2, now);
    cluster.take_back(&peer, 2, now);
    assert_eq!(load(&cluster, 1, now).requests, 0);
    cluster.grant(&peer, 3, flight(1, 10.0, 1), 3, now);
    assert!(!cluster.forget_grants(now + Duration::from_millis(900)));
    assert!(cluster.forget_grants(now + Duration::from_millis(1_000)), "nothing was heard of it");
    assert_eq!(load(&cluster, 1, now).requests, 0);
    cluster.grant(&peer, 4, flight(1, 10.0, 1), 4, now);
    cluster.peer_lost(&vm(1), now);
    assert_eq!(load(&cluster, 1, now).requests, 0);
}

#[derive(Debug, Clone)]
enum Step {
    Enter { upstream: usize, helper: usize, held: u64 },
    Began(usize),
    Leave(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0usize..4, 4usize..8, 0u64..9).prop_map(|(upstream, helper, held)| Step::Enter {
            upstream,
            helper,
            held
        }),
        (0usize..20).prop_map(Step::Began),
        (0usize..20).prop_map(Step::Leave),
    ]
}

proptest! {
    /// Whatever the order of events, the loads are those of the attempts that are under way.
    #[test]
    fn loads_add_up(steps in prop::collection::vec(step(), 0..60)) {
        let (mut cluster, now) = (Cluster::default(), Instant::now());
        let mut entered: Vec<(u64, bool, u64)> = Vec::new();
        for step in steps {
            match step {
                Step::Enter { upstream: u, helper, held } => {
                    let helpers = vec![Helping { upstream: upstream(helper), held }];
                    let number = enter(&mut cluster, Flight { helpers, ..flight(u, 5.0, 7) }, now);
                    entered.push((number, false, held));
                }
                Step::Began(i) if i < entered.len() => {
                    cluster.began(entered[i].0, now);
                    entered[i].1 = true;
                }
                Step::Leave(i) if i < entered.len() => {
                    cluster.leave(entered.remove(i).0, now);
                }
                Step::Began(_) | Step::Leave(_) => {}
            }
        }
        let mut peer = Cluster::default();
        (0..8).for_each(|i| {
            cluster.list(listed(i));
            peer.list(listed(i));
        });
        tell(&cluster, &mut peer, 1, 0, now);
        prop_assert_eq!(peer.loads(None, now), cluster.loads(None, now));
        let loads = cluster.loads(None, now);
        let requests: u32 = loads.values().map(|l| l.requests).sum();
        let writers: u32 = loads.values().map(|l| l.writers).sum();
        let memory: u64 = loads.values().map(|l| l.memory).sum();
        prop_assert_eq!(requests as usize, entered.len());
        prop_assert_eq!(writers as usize, entered.iter().filter(|e| e.1).count());
        prop_assert_eq!(memory, entered.iter().map(|e| 7 + e.2).sum::<u64>());
    }
}
