//! Drained data halls: the newest state of a hall wins, in whatever order states are received.

use foldlock_request::cluster::{Hall, Halls};
use foldlock_request::revision::Revision;
use proptest::prelude::*;

fn hall(name: &str, drained: bool, revision: u64) -> Hall {
    Hall { name: name.to_owned(), drained, revision: revision.into() }
}

fn drained(halls: &Halls) -> Vec<&str> {
    halls.drained().map(|hall| hall.name.as_str()).collect()
}

#[test]
fn an_older_state_is_ignored() {
    let mut halls = Halls::default();
    assert!(halls.update(hall("a", true, 5)));
    assert!(!halls.update(hall("a", false, 4)));
    assert!(halls.is_drained("a"));
    assert!(halls.update(hall("a", false, 6)));
    assert!(!halls.update(hall("a", true, 5)));
    assert!(!halls.is_drained("a"));
}

#[test]
fn a_state_of_a_later_era_wins_whatever_its_number() {
    let mut halls = Halls::default();
    halls.update(hall("a", true, 500));
    assert!(halls.update(Hall { revision: Revision { era: 1, number: 3 }, ..hall("a", false, 0) }));
    assert!(!halls.is_drained("a"));
}

#[test]
fn a_full_sync_undrains_halls_that_it_does_not_list() {
    let mut halls = Halls::default();
    halls.update(hall("a", true, 5));
    halls.update(hall("b", true, 6));
    halls.update(hall("c", true, 9));
    assert_eq!(halls.sync(&["b"], 8.into()), ["a"]);
    assert_eq!(drained(&halls), ["b", "c"], "a state newer than the sync is kept");
}

/// A peer without a state of a hall undrains it only by a full sync of its own that is newer.
#[test]
fn a_newer_full_sync_of_a_peer_undrains_halls_unknown_to_it() {
    let mut halls = Halls::default();
    halls.update(hall("a", true, 5));
    let mut peer = Halls::default();
    assert!(halls.merge(&peer).is_empty());
    peer.sync(&[], 4.into());
    assert!(halls.merge(&peer).is_empty());
    peer.sync(&[], 7.into());
    assert_eq!(halls.merge(&peer), [hall("a", false, 7)]);
}

#[test]
fn the_number_of_remembered_halls_is_bounded() {
    let mut halls = Halls::default();
    halls.update(hall("a", true, 1));
    for number in 2..5_000 {
        halls.update(hall(&format!("hall-{number}"), false, number));
    }
    assert!(halls.is_drained("a"));
    let kept = serde_json::to_value(&halls).unwrap();
    assert!(kept["halls"].as_object().unwrap().len() <= 256);
}

/// The changes in a directory: each drains or undrains a hall, at the next revision.
fn changes() -> impl Strategy<Value = Vec<(usize, bool)>> {
    prop::collection::vec((0..3_usize, any::<bool>()), 1..30)
}

proptest! {
    /// Two VMs that each receive a part of the changes agree with the directory after they have merged each
    /// other's state.
    #[test]
    fn two_vms_agree_with_the_directory_after_merging(
        changes in changes(),
        received in prop::collection::vec(any::<bool>(), 30),
        sync_index in 0..30_usize,
    ) {
        let names = ["a", "b", "c"];
        // The revision at which each drained hall was drained.
        let mut state = [None; 3];
        let (mut one, mut other) = (Halls::default(), Halls::default());
        for (index, (name, drained)) in changes.iter().enumerate() {
            let revision = index as u64 + 1;
            state[*name] = drained.then_some(revision);
            let change = hall(names[*name], *drained, revision);
            // Each change reaches one of the two.
            if received[index] {
                one.update(change);
            } else {
                other.update(change);
            }
            if index == sync_index {
                let listed = names.iter().zip(state).filter_map(|(name, at)| Some((*name, at?)));
                let (names, states): (Vec<&str>, Vec<Hall>) =
                    listed.map(|(name, at)| (name, hall(name, true, at))).unzip();
                other.sync(&names, revision.into());
                states.into_iter().for_each(|state| {
                    other.update(state);
                });
            }
        }
        one.merge(&other);
        other.merge(&one);
        let expected: Vec<&str> =
            names.iter().zip(state).filter(|(_, at)| at.is_some()).map(|(name, _)| *name).collect();
        prop_assert_eq!(drained(&one), expected.clone());
        prop_assert_eq!(drained(&other), expected);
    }
}
