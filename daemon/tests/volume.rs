//! The log throttle, the freshness of settings, both with a clock that is passed in, and the compression of texts.

use std::time::{Duration, Instant};

use foldlock_base::clock::{Clock, Manual};
use foldlockd::fleet::freshness::Freshness;
use foldlockd::fleet::log_throttle::Throttle;
use proptest::prelude::*;

#[test]
fn suppressed_lines_are_counted() {
    let now = Instant::now();
    let throttle = Throttle::new(2, now);
    let after = |ms| now + Duration::from_millis(ms);
    assert_eq!(throttle.admit(after(0)), Some(0));
    assert_eq!(throttle.admit(after(1)), Some(0));
    assert_eq!(throttle.admit(after(2)), None);
    assert_eq!(throttle.admit(after(999)), None);
    assert_eq!(throttle.admit(after(1_000)), Some(2));
    assert_eq!(throttle.admit(after(1_001)), Some(0));
}

#[test]
fn settings_are_fresh_until_shortly_before_their_maximum_age() {
    let now = Manual::default().moment();
    let fresh = Freshness::new(Some(Duration::from_secs(5)));
    let after = |ms| now.after(Duration::from_millis(ms));
    assert!(!fresh.is_fresh(now), "never confirmed");
    fresh.confirm(now);
    assert!(fresh.accepts_connections(after(2_900)) && !fresh.accepts_connections(after(3_100)));
    assert!(fresh.is_fresh(after(4_600)) && !fresh.is_fresh(after(4_800)));
}

#[test]
fn without_a_maximum_age_settings_are_always_fresh() {
    let fresh = Freshness::new(None);
    let now = Manual::default().moment();
    assert!(fresh.is_fresh(now) && fresh.accepts_connections(now));
}

/// A key may be revoked while the machine is suspended.
#[test]
fn settings_age_while_the_machine_is_suspended() {
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
    fn any_second_has_at_most_twice_the_limit(gaps in prop::collection::vec(0u64..300, 1..300)) {
        let start = Instant::now();
        let throttle = Throttle::new(5, start);
        let (mut at, mut written) = (start, Vec::new());
        for gap in gaps {
            at += Duration::from_millis(gap);
            if throttle.admit(at).is_some() {
                written.push(at);
            }
        }
        for first in &written {
            let within_a_second =
                |at: &&Instant| **at >= *first && **at - *first < Duration::from_secs(1);
            prop_assert!(written.iter().filter(within_a_second).count() <= 10);
        }
    }

    /// Confirmations may be received in any order: the latest moment counts.
    #[test]
    fn the_latest_confirmation_counts(times in prop::collection::vec(0u64..10_000, 1..20)) {
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
    fn compressed_text_is_restored(text in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let packed = foldlockd::fleet::compression::compress(&text);
        prop_assert_eq!(&foldlockd::fleet::compression::decompress(&packed).unwrap()[..], &text[..]);
    }

    #[test]
    fn any_bytes_are_decompressed_without_a_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let _ = foldlockd::fleet::compression::decompress(&bytes);
    }
}
