//! Backoffs that upstreams request from a VM.

use std::collections::BTreeMap;
use std::time::Duration;

use foldlock_base::clock::{Clock, Manual};
use foldlock_request::backoff::Backoffs;
use foldlock_request::tag::Tag;
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn tag(upstream: u8) -> Tag {
    Tag::of(&format!("i-{upstream}"))
}

#[test]
fn a_backoff_ends_by_the_clock_that_counts_suspended_time() {
    let (mut backoffs, clock) = (Backoffs::default(), Manual::default());
    assert!(backoffs.begin(tag(1), 3 * SECOND, clock.moment()));
    clock.advance(SECOND);
    assert_eq!(backoffs.remaining(tag(1), clock.moment()), Some(2 * SECOND));
    assert_eq!(backoffs.remaining(tag(2), clock.moment()), None);
    clock.suspend(2 * SECOND);
    assert_eq!(backoffs.remaining(tag(1), clock.moment()), None);
    assert!(backoffs.active(clock.moment()).is_empty());
}

#[test]
fn a_shorter_backoff_does_not_replace_a_longer_one() {
    let (mut backoffs, clock) = (Backoffs::default(), Manual::default());
    backoffs.begin(tag(1), 3 * SECOND, clock.moment());
    assert!(!backoffs.begin(tag(1), SECOND, clock.moment()), "it backs off already");
    assert_eq!(backoffs.remaining(tag(1), clock.moment()), Some(3 * SECOND));
}

#[test]
fn the_shortest_remaining_backoff_is_returned_only_if_all_upstreams_back_off() {
    let (mut backoffs, clock) = (Backoffs::default(), Manual::default());
    backoffs.begin(tag(1), 3 * SECOND, clock.moment());
    backoffs.begin(tag(2), 2 * SECOND, clock.moment());
    let all = |upstreams: &[u8]| {
        backoffs.shortest_remaining(upstreams.iter().map(|upstream| tag(*upstream)), clock.moment())
    };
    assert_eq!(all(&[1, 2]), Some(2 * SECOND));
    assert_eq!(all(&[1, 2, 3]), None);
    assert_eq!(all(&[]), None, "no upstreams");
}

/// A step of the property test: an upstream requests a backoff of some milliseconds, time passes, or the machine is
/// suspended.
#[derive(Debug, Clone)]
enum Step {
    Begin(u8, u64),
    Advance(u64),
    Suspend(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..5_u8, 0..4_000_u64).prop_map(|(upstream, ms)| Step::Begin(upstream, ms)),
        (0..1_500_u64).prop_map(Step::Advance),
        (0..1_500_u64).prop_map(Step::Suspend),
    ]
}

proptest! {
    /// No upstream is used before the end of any backoff that it requested, and each is used afterwards.
    #[test]
    fn a_backoff_lasts_as_long_as_requested(steps in prop::collection::vec(step(), 1..40)) {
        let (mut backoffs, clock) = (Backoffs::default(), Manual::default());
        let mut ends: BTreeMap<u8, u64> = BTreeMap::new();
        let mut now_ms = 0;
        for step in steps {
            match step {
                Step::Begin(upstream, ms) => {
                    backoffs.begin(tag(upstream), Duration::from_millis(ms), clock.moment());
                    let end = ends.entry(upstream).or_default();
                    *end = (*end).max(now_ms + ms);
                }
                Step::Advance(ms) => {
                    clock.advance(Duration::from_millis(ms));
                    now_ms += ms;
                }
                Step::Suspend(ms) => {
                    clock.suspend(Duration::from_millis(ms));
                    now_ms += ms;
                }
            }
            for upstream in 0..5 {
                let left = ends.get(&upstream).and_then(|end| end.checked_sub(now_ms)).filter(|ms| *ms > 0);
                let remaining = backoffs.remaining(tag(upstream), clock.moment());
                prop_assert_eq!(remaining.map(|left| left.as_millis() as u64), left);
                prop_assert_eq!(backoffs.active(clock.moment()).contains(&tag(upstream)), left.is_some());
            }
        }
    }
}
