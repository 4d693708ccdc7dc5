//! The bound on log lines, and the freshness of settings: both by the clock that is passed in.

use std::time::{Duration, Instant};

use foldlock_base::clock::{Clock, Manual};
use foldlockd::fleet::freshness::Freshness;
use foldlockd::fleet::volume::Volume;
use proptest::prelude::*;

#[test]
fn what_is_left_out_is_counted() {
    let now = Instant::now();
    let volume = Volume::new(2, now);
    let after = |ms| now + Duration::from_millis(ms);
    assert_eq!(volume.admit(after(0)), Some(0));
    assert_eq!(volume.admit(after(1)), Some(0));
    assert_eq!(volume.admit(after(2)), None);
    assert_eq!(volume.admit(after(999)), None);
    assert_eq!(volume.admit(after(1_000)), Some(2));
    assert_eq!(volume.admit(after(1_001)), Some(0));
}

#[test]
fn settings_hold_until_the_bound_less_a_margin() {
    let now = Manual::default().moment();
    let fresh = Freshness::new(Some(Duration::from_secs(5)));
    let after = |ms| now.after(Duration::from_millis(ms));
    assert!(!fresh.is_fresh(now), "never confirmed");
    fresh.confirm(now);
    assert!(fresh.accepts_connections(after(2_900)) && !fresh.accepts_connections(after(3_100)));
    assert!(fresh.is_fresh(after(4_600)) && !fresh.is_fresh(after(4_800)));
}

#[test]
fn without_a_bound_settings_of_any_age_hold() {
    let fresh = Freshness::new(None);
    let now = Manual::default().moment();
    assert!(fresh.is_fresh(now) && fresh.accepts_connections(now));
}

/// A key may be taken away while the machine is suspended.
#[test]
fn settings_grow_old_while_the_machine_is_suspended() {
    let clock = Manual::default();
    let fresh = Freshness::new(Some(Duration::from_secs(5)));
    fresh.confirm(clock.moment());
    let now = clock.now();
    clock.suspend(Duration::from_secs(6));
    assert_eq!(clock.now(), now, "the steady clock stood still");
    assert!(!fresh.is_fresh(clock.moment()) && !fresh.accepts_connections(clock.moment()));
    fresh.confirm(clock.moment());
    assert!(fresh.is_fresh(clock.moment()));
}

proptest! {
    #[test]
    fn no_second_has_more_than_twice_the_bound(gaps in prop::collection::vec(0u64..300, 1..300)) {
        let start = Instant::now();
        let volume = Volume::new(5, start);
        let (mut at, mut written) = (start, Vec::new());
        for gap in gaps {
            at += Duration::from_millis(gap);
            if volume.admit(at).is_some() {
                written.push(at);
            }
        }
        for first in &written {
            let second = |at: &&Instant| **at >= *first && **at - *first < Duration::from_secs(1);
            prop_assert!(written.iter().filter(second).count() <= 10);
        }
    }

    /// Confirmations may come in any order: the latest moment counts.
    #[test]
    fn an_old_confirmation_takes_nothing_back(times in prop::collection::vec(0u64..10_000, 1..20)) {
        let start = Manual::default().moment();
        let fresh = Freshness::new(Some(Duration::from_secs(5)));
        let at = |ms: u64| start.after(Duration::from_millis(ms));
        times.iter().for_each(|ms| fresh.confirm(at(*ms)));
        let latest = times.iter().max().unwrap();
        prop_assert_eq!(fresh.age(at(20_000)), Some(Duration::from_millis(20_000 - latest)));
    }
}

proptest! {
    #[test]
    fn a_text_comes_out_as_it_went_in(text in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let packed = foldlockd::fleet::compression::compress(&text);
        prop_assert_eq!(&foldlockd::fleet::compression::decompress(&packed).unwrap()[..], &text[..]);
    }

    #[test]
    fn any_bytes_are_unpacked_without_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = foldlockd::fleet::compression::decompress(&bytes);
    }
}
