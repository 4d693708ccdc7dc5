//! Upstreams that start again under their id, and words of them that come late.

use std::collections::BTreeMap;
use std::time::Instant;

use foldlock_request::cluster::{Cluster, Listed, Load};
use foldlock_request::revision::Revision;
use foldlock_request::suspicion::{Failure, Outcome};
use proptest::prelude::*;

use crate::{enter, flight, listed, upstream};

/// The upstream `i`, started at `born`, as written at a revision.
fn started(i: usize, born: u64, revision: u64) -> Listed {
    Listed { born: Some(born), revision: revision.into(), ..listed(i) }
}

#[test]
fn a_later_start_ends_all_that_was_believed_of_the_one_before() {
    let (mut cluster, now) = (Cluster::default(), Instant::now());
    cluster.list(started(1, 100, 1));
    let number = enter(&mut cluster, flight(1, 80.0, 200_000), now);
    cluster.note(&upstream(1), Outcome::Failed(Failure::Unresponsive), now);
    cluster.depart(cluster.tag_of(&upstream(1)));
    let told = cluster.told(now);
    let before = cluster.tag_of(&upstream(1));
    assert!(cluster.list(started(1, 200, 2)));
    let known = cluster.get(&upstream(1)).unwrap();
    assert!(known.is_open() && known.suspicion.weight(now) == 0.0);
    assert_eq!(cluster.load(known, None, now), Load::default());
    assert_ne!(known.tag, before, "what is told of the start before says nothing of this one");
    let mut other = Cluster::default();
    other.list(started(1, 200, 2));
    other.hear(&"vm-2".parse().unwrap(), &told, 0, now);
    assert_eq!(other.under_way(), 0);
    // The end of the attempt at the start before changes nothing at this one.
    enter(&mut cluster, flight(1, 10.0, 9_000), now);
    cluster.leave(number, now);
    assert_eq!(cluster.load(cluster.get(&upstream(1)).unwrap(), None, now).requests, 1);
}

#[test]
fn an_earlier_start_that_is_heard_late_and_the_same_one_change_nothing() {
    let (mut cluster, now) = (Cluster::default(), Instant::now());
    cluster.list(started(1, 100, 1));
    assert!(cluster.renew(&upstream(1), 200, now), "by its own word, before its entry");
    assert!(!cluster.renew(&upstream(1), 200, now));
    assert!(!cluster.renew(&upstream(1), 150, now));
    assert!(!cluster.list(started(1, 100, 1)), "the entry of before, read again");
    assert_eq!(cluster.get(&upstream(1)).unwrap().listed.born, Some(200));
    assert!(!cluster.list(started(1, 200, 2)), "its entry says what is known");
    assert_eq!(cluster.told_starts(now).len(), 1);
}

#[test]
fn an_upstream_whose_clock_went_back_is_renewed_by_its_entry() {
    let (mut cluster, now) = (Cluster::default(), Instant::now());
    cluster.list(started(1, 200, 1));
    let before = cluster.tag_of(&upstream(1));
    assert!(!cluster.renew(&upstream(1), 100, now));
    assert!(cluster.list(started(1, 100, 2)));
    assert_ne!(cluster.tag_of(&upstream(1)), before);
}

#[test]
fn an_upstream_whose_entry_was_bad_comes_back_by_a_newer_one_alone() {
    let mut cluster = Cluster::default();
    cluster.list(Listed { revision: 1.into(), ..listed(1) });
    cluster.remove(&upstream(1), 2.into());
    assert!(!cluster.accepts(&Listed { revision: 1.into(), ..listed(1) }));
    assert!(!cluster.accepts(&Listed { revision: 2.into(), ..listed(1) }));
    assert!(cluster.accepts(&Listed { revision: 3.into(), ..listed(1) }));
}

proptest! {
    /// The words of three starts come in any order, doubled, from the directory of other VMs: in the end
    /// the newest holds, and all cluster states agree.
    #[test]
    fn clusters_agree_on_the_newest_start(words in prop::collection::vec(0..3_usize, 0..20)) {
        let starts = [started(1, 100, 1), started(1, 300, 4), started(1, 200, 6)];
        let mut cluster = Cluster::default();
        for word in words.into_iter().chain(0..3) {
            if cluster.accepts(&starts[word]) {
                cluster.list(starts[word].clone());
            }
        }
        prop_assert_eq!(&cluster.get(&upstream(1)).unwrap().listed, &starts[2]);
    }
}

#[test]
fn peers_are_told_a_revision_only_of_what_came_back() {
    let mut cluster = Cluster::default();
    cluster.list(Listed { revision: 5.into(), ..listed(1) });
    cluster.list(Listed { revision: 6.into(), ..listed(2) });
    cluster.remove(&upstream(2), 7.into());
    cluster.list(Listed { revision: 8.into(), ..listed(2) });
    let told: Vec<u64> =
        cluster.relayed(Instant::now()).map(|listed| listed.revision.number).collect();
    assert_eq!(told, [0, 8]);
    let mut peer = Cluster::default();
    peer.list(listed(2));
    peer.remove(&upstream(2), 7.into());
    assert!(cluster.relayed(Instant::now()).all(|listed| peer.accepts(&listed)));
    let gone = Listed { leaving: true, ..listed(1) };
    peer.list(Listed { revision: 5.into(), ..listed(1) });
    assert!(peer.accepts(&gone), "that an upstream leaves is taken without a revision, too");
}

/// What happens to an upstream.
#[derive(Debug, Clone, Copy)]
enum Turn {
    Starts,
    Leaves,
    Ends,
}

fn turn() -> impl Strategy<Value = (usize, Turn)> {
    (1..4_usize, prop_oneof![Just(Turn::Starts), Just(Turn::Leaves), Just(Turn::Ends)])
}

/// What a directory lists after these turns, each written at the next number of an era.
fn entries(turns: &[(usize, Turn)]) -> BTreeMap<usize, Listed> {
    let mut entries = BTreeMap::new();
    for (number, (upstream, turn)) in (1..).zip(turns) {
        match turn {
            Turn::Starts => {
                entries.insert(*upstream, started(*upstream, number * 10, number));
            }
            Turn::Leaves => {
                if let Some(entry) = entries.get_mut(upstream) {
                    entry.leaving = true;
                    entry.revision = number.into();
                }
            }
            Turn::Ends => {
                entries.remove(upstream);
            }
        }
    }
    entries
}

/// A cluster state that has heard each of these turns from the directory.
fn heard(turns: &[(usize, Turn)]) -> Cluster {
    let mut cluster = Cluster::default();
    for through in 1..=turns.len() {
        let entries = entries(&turns[..through]);
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
    /// The directory comes back from a copy of any moment before, once or twice: nothing comes back that is over,
    /// and once who lives has written itself again, what is believed is what is so.
    #[test]
    fn a_copy_of_any_age_brings_nothing_back(
        turns in prop::collection::vec(turn(), 1..24),
        ages in prop::collection::vec(0..24_usize, 1..3),
    ) {
        let mut cluster = heard(&turns);
        let now = entries(&turns);
        for (era, age) in (1..).zip(ages) {
            let copy = entries(&turns[..turns.len().saturating_sub(age)]);
            let restored = |entry: &Listed| {
                let revision = Revision { era, number: entry.revision.number };
                Listed { revision, ..entry.clone() }
            };
            copy.values().for_each(|entry| {
                cluster.list_copy(restored(entry));
            });
            for i in 1..4 {
                let (known, so) = (cluster.get(&upstream(i)), now.get(&i));
                prop_assert_eq!(known.is_some(), so.is_some(), "upstream {}", i);
                let Some((known, so)) = known.zip(so) else { continue };
                prop_assert_eq!(known.listed.born, so.born);
                prop_assert_eq!(known.is_open(), !so.leaving);
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
