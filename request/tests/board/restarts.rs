//! Upstreams that restart under the same id, and listings of them that arrive late or out of order.

use std::collections::BTreeMap;
use std::time::Instant;

use foldlock_request::cluster::{Cluster, Listed, Load};
use foldlock_request::revision::Revision;
use foldlock_request::suspicion::{Failure, Outcome};
use proptest::prelude::*;

use crate::{enter, flight, listed, upstream};

/// The listing of upstream `i` that started at `born`, written at a revision.
fn started(i: usize, born: u64, revision: u64) -> Listed {
    Listed { born: Some(born), revision: revision.into(), ..listed(i) }
}

#[test]
fn a_later_incarnation_discards_the_state_of_the_previous_one() {
    let (mut cluster, now) = (Cluster::default(), Instant::now());
    cluster.list(started(1, 100, 1));
    let number = enter(&mut cluster, flight(1, 80.0, 200_000), now);
    cluster.record_outcome(&upstream(1), Outcome::Failed(Failure::Unresponsive), now);
    cluster.mark_leaving(cluster.tag_of(&upstream(1)));
    let announced = cluster.announced_flights(now);
    let before = cluster.tag_of(&upstream(1));
    assert!(cluster.list(started(1, 200, 2)));
    let current = cluster.get(&upstream(1)).unwrap();
    assert!(current.is_open() && current.suspicion.weight(now) == 0.0);
    assert_eq!(cluster.load(current, None, now), Load::default());
    assert_ne!(
        current.tag, before,
        "announcements about the previous incarnation do not apply to this one"
    );
    let mut other = Cluster::default();
    other.list(started(1, 200, 2));
    other.merge_flights(&"vm-2".parse().unwrap(), &announced, 0, now);
    assert_eq!(other.in_flight(), 0);
    // The end of an attempt at the previous incarnation does not change the load of this one.
    enter(&mut cluster, flight(1, 10.0, 9_000), now);
    cluster.end_attempt(number, now);
    assert_eq!(cluster.load(cluster.get(&upstream(1)).unwrap(), None, now).requests, 1);
}

#[test]
fn an_earlier_or_equal_start_time_is_ignored() {
    let (mut cluster, now) = (Cluster::default(), Instant::now());
    cluster.list(started(1, 100, 1));
    assert!(
        cluster.observe_restart(&upstream(1), 200, now),
        "reported by itself, before its entry"
    );
    assert!(!cluster.observe_restart(&upstream(1), 200, now));
    assert!(!cluster.observe_restart(&upstream(1), 150, now));
    assert!(!cluster.list(started(1, 100, 1)), "the previous entry, read again");
    assert_eq!(cluster.get(&upstream(1)).unwrap().listed.born, Some(200));
    assert!(!cluster.list(started(1, 200, 2)), "its entry brings no change");
    assert_eq!(cluster.announced_restarts(now).len(), 1);
}

#[test]
fn a_restart_after_the_clock_went_back_is_detected_by_its_entry() {
    let (mut cluster, now) = (Cluster::default(), Instant::now());
    cluster.list(started(1, 200, 1));
    let before = cluster.tag_of(&upstream(1));
    assert!(!cluster.observe_restart(&upstream(1), 100, now));
    assert!(cluster.list(started(1, 100, 2)));
    assert_ne!(cluster.tag_of(&upstream(1)), before);
}

#[test]
fn a_removed_upstream_comes_back_only_by_a_newer_revision() {
    let mut cluster = Cluster::default();
    cluster.list(Listed { revision: 1.into(), ..listed(1) });
    cluster.remove(&upstream(1), 2.into());
    assert!(!cluster.accepts(&Listed { revision: 1.into(), ..listed(1) }));
    assert!(!cluster.accepts(&Listed { revision: 2.into(), ..listed(1) }));
    assert!(cluster.accepts(&Listed { revision: 3.into(), ..listed(1) }));
}

proptest! {
    /// Listings of three incarnations arrive from peers in any order and repeatedly: the newest one wins, so all
    /// cluster states converge.
    #[test]
    fn clusters_converge_to_the_newest_incarnation(received in prop::collection::vec(0..3_usize, 0..20)) {
        let incarnations = [started(1, 100, 1), started(1, 300, 4), started(1, 200, 6)];
        let mut cluster = Cluster::default();
        for index in received.into_iter().chain(0..3) {
            if cluster.accepts(&incarnations[index]) {
                cluster.list(incarnations[index].clone());
            }
        }
        prop_assert_eq!(&cluster.get(&upstream(1)).unwrap().listed, &incarnations[2]);
    }
}

#[test]
fn peer_listings_carry_a_revision_only_for_restored_upstreams() {
    let mut cluster = Cluster::default();
    cluster.list(Listed { revision: 5.into(), ..listed(1) });
    cluster.list(Listed { revision: 6.into(), ..listed(2) });
    cluster.remove(&upstream(2), 7.into());
    cluster.list(Listed { revision: 8.into(), ..listed(2) });
    let revisions: Vec<u64> =
        cluster.peer_listings(Instant::now()).map(|listed| listed.revision.number).collect();
    assert_eq!(revisions, [0, 8]);
    let mut peer = Cluster::default();
    peer.list(listed(2));
    peer.remove(&upstream(2), 7.into());
    assert!(cluster.peer_listings(Instant::now()).all(|listed| peer.accepts(&listed)));
    let gone = Listed { leaving: true, ..listed(1) };
    peer.list(Listed { revision: 5.into(), ..listed(1) });
    assert!(peer.accepts(&gone), "a leaving upstream is accepted without a revision");
}

/// An event in the life of an upstream.
#[derive(Debug, Clone, Copy)]
enum Event {
    Starts,
    Leaves,
    Ends,
}

fn event() -> impl Strategy<Value = (usize, Event)> {
    (1..4_usize, prop_oneof![Just(Event::Starts), Just(Event::Leaves), Just(Event::Ends)])
}

/// The entries of a directory after these events, each written at the next revision number of one era.
fn entries(events: &[(usize, Event)]) -> BTreeMap<usize, Listed> {
    let mut entries = BTreeMap::new();
    for (number, (upstream, event)) in (1..).zip(events) {
        match event {
            Event::Starts => {
                entries.insert(*upstream, started(*upstream, number * 10, number));
            }
            Event::Leaves => {
                if let Some(entry) = entries.get_mut(upstream) {
                    entry.leaving = true;
                    entry.revision = number.into();
                }
            }
            Event::Ends => {
                entries.remove(upstream);
            }
        }
    }
    entries
}

/// A cluster state that has received each of these events from the directory.
fn received(events: &[(usize, Event)]) -> Cluster {
    let mut cluster = Cluster::default();
    for through in 1..=events.len() {
        let entries = entries(&events[..through]);
        for i in 1..4 {
            match entries.get(&i) {
                Some(entry) => {
                    cluster.list(entry.clone());
                }
                None => {
                    cluster.remove(&upstream(i), (through as u64).into());
                }
            }
        }
    }
    cluster
}

proptest! {
    /// The directory is restored once or twice, each time from an older copy: no removed upstream and no earlier
    /// incarnation comes back, and the state is right once the running upstreams have written their entries again.
    #[test]
    fn a_restored_copy_of_any_age_brings_nothing_back(
        events in prop::collection::vec(event(), 1..24),
        ages in prop::collection::vec(0..24_usize, 1..3),
    ) {
        let mut cluster = received(&events);
        let now = entries(&events);
        for (era, age) in (1..).zip(ages) {
            let copy = entries(&events[..events.len().saturating_sub(age)]);
            let restored = |entry: &Listed| {
                let revision = Revision { era, number: entry.revision.number };
                Listed { revision, ..entry.clone() }
            };
            copy.values().for_each(|entry| {
                cluster.list_restored(restored(entry));
            });
            for i in 1..4 {
                let (current, expected) = (cluster.get(&upstream(i)), now.get(&i));
                prop_assert_eq!(current.is_some(), expected.is_some(), "upstream {}", i);
                let Some((current, expected)) = current.zip(expected) else { continue };
                prop_assert_eq!(current.listed.born, expected.born);
                prop_assert_eq!(current.is_open(), !expected.leaving);
            }
        }
        let era = 3;
        for (number, (i, entry)) in (1..).zip(&now) {
            let written = Listed { revision: Revision { era, number }, ..entry.clone() };
            cluster.list(written.clone());
            prop_assert_eq!(&cluster.get(&upstream(*i)).unwrap().listed, &written);
        }
    }
}
