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
fn an_older_word_changes_nothing() {
    let mut halls = Halls::default();
    assert!(halls.note(hall("a", true, 5)));
    assert!(!halls.note(hall("a", false, 4)));
    assert!(halls.is_drained("a"));
    assert!(halls.note(hall("a", false, 6)));
    assert!(!halls.note(hall("a", true, 5)));
    assert!(!halls.is_drained("a"));
}

#[test]
fn a_word_of_a_later_era_counts_whatever_its_number() {
    let mut halls = Halls::default();
    halls.note(hall("a", true, 500));
    assert!(halls.note(Hall { revision: Revision { era: 1, number: 3 }, ..hall("a", false, 0) }));
    assert!(!halls.is_drained("a"));
}

#[test]
fn a_hall_that_a_whole_read_does_not_list_is_taken_back() {
    let mut halls = Halls::default();
    halls.note(hall("a", true, 5));
    halls.note(hall("b", true, 6));
    halls.note(hall("c", true, 9));
    assert_eq!(halls.read(&["b"], 8.into()), ["a"]);
    assert_eq!(drained(&halls), ["b", "c"], "a state newer than the sync is kept");
}

/// A peer without a state of a hall undrains it only by a full sync of its own that is newer.
#[test]
fn a_peer_without_a_word_takes_back_what_its_read_would_have_listed() {
    let mut halls = Halls::default();
    halls.note(hall("a", true, 5));
    let mut told = Halls::default();
    assert!(halls.merge(&told).is_empty());
    told.read(&[], 4.into());
    assert!(halls.merge(&told).is_empty());
    told.read(&[], 7.into());
    assert_eq!(halls.merge(&told), [hall("a", false, 7)]);
}

#[test]
fn names_without_end_are_not_kept_without_end() {
    let mut halls = Halls::default();
    halls.note(hall("a", true, 1));
    for number in 2..5_000 {
        halls.note(hall(&format!("hall-{number}"), false, number));
    }
    assert!(halls.is_drained("a"));
    let kept = serde_json::to_value(&halls).unwrap();
    assert!(kept["halls"].as_object().unwrap().len() <= 256);
}

/// The changes in a directory: each drains or undrains a hall, at the next revision.
fn history() -> impl Strategy<Value = Vec<(usize, bool)>> {
    prop::collection::vec((0..3_usize, any::<bool>()), 1..30)
}

proptest! {
    /// Two VMs that each receive a part of the changes agree with the directory after they have merged each
    /// other's state.
    #[test]
    fn two_vms_agree_once_they_have_told_each_other(
        history in history(),
        heard in prop::collection::vec(any::<bool>(), 30),
        read_at in 0..30_usize,
    ) {
        let names = ["a", "b", "c"];
        // The revision at which each drained hall was drained.
        let mut state = [None; 3];
        let (mut one, mut other) = (Halls::default(), Halls::default());
        for (index, (name, drained)) in history.iter().enumerate() {
            let revision = index as u64 + 1;
            state[*name] = drained.then_some(revision);
            let word = hall(names[*name], *drained, revision);
            // Each change reaches one of the two.
            if heard[index] {
                one.note(word);
            } else {
                other.note(word);
            }
            if index == read_at {
                let listed = names.iter().zip(state).filter_map(|(name, at)| Some((*name, at?)));
                let (names, words): (Vec<&str>, Vec<Hall>) =
                    listed.map(|(name, at)| (name, hall(name, true, at))).unzip();
                other.read(&names, revision.into());
                words.into_iter().for_each(|word| {
                    other.note(word);
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
