//! Rests that upstreams ask of a VM.

use std::collections::BTreeMap;
use std::time::Duration;

use foldlock_base::clock::{Clock, Manual};
use foldlock_request::rest::Rests;
use foldlock_request::tag::Tag;
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn tag(upstream: u8) -> Tag {
    Tag::of(&format!("i-{upstream}"))
}

#[test]
fn a_rest_is_over_by_the_clock_that_counts_suspended_time() {
    let (mut rests, clock) = (Rests::default(), Manual::default());
    assert!(rests.begin(tag(1), 3 * SECOND, clock.moment()));
    clock.advance(SECOND);
    assert_eq!(rests.left(tag(1), clock.moment()), Some(2 * SECOND));
    assert_eq!(rests.left(tag(2), clock.moment()), None);
    clock.suspend(2 * SECOND);
    assert_eq!(rests.left(tag(1), clock.moment()), None);
    assert!(rests.resting(clock.moment()).is_empty());
}

#[test]
fn a_shorter_rest_does_not_end_a_longer_one() {
    let (mut rests, clock) = (Rests::default(), Manual::default());
    rests.begin(tag(1), 3 * SECOND, clock.moment());
    assert!(!rests.begin(tag(1), SECOND, clock.moment()), "it rests already");
    assert_eq!(rests.left(tag(1), clock.moment()), Some(3 * SECOND));
}

#[test]
fn all_rest_until_the_first_of_them_does_not() {
    let (mut rests, clock) = (Rests::default(), Manual::default());
    rests.begin(tag(1), 3 * SECOND, clock.moment());
    rests.begin(tag(2), 2 * SECOND, clock.moment());
    let all = |upstreams: &[u8]| {
        rests.all_left(upstreams.iter().map(|upstream| tag(*upstream)), clock.moment())
    };
    assert_eq!(all(&[1, 2]), Some(2 * SECOND));
    assert_eq!(all(&[1, 2, 3]), None);
    assert_eq!(all(&[]), None, "there is nothing to wait for");
}

/// A step of a property: an upstream asks for so many milliseconds, or time passes.
#[derive(Debug, Clone)]
enum Step {
    Asks(u8, u64),
    Passes(u64),
    Sleeps(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..5_u8, 0..4_000_u64).prop_map(|(upstream, ms)| Step::Asks(upstream, ms)),
        (0..1_500_u64).prop_map(Step::Passes),
        (0..1_500_u64).prop_map(Step::Sleeps),
    ]
}

proptest! {
    /// Nobody is sent anything before the end of any rest that it asked for, and all are sent work after.
    #[test]
    fn each_rests_for_as_long_as_it_asked_and_no_longer(steps in prop::collection::vec(step(), 1..40)) {
        let (mut rests, clock) = (Rests::default(), Manual::default());
        let mut ends: BTreeMap<u8, u64> = BTreeMap::new();
        let mut now_ms = 0;
        for step in steps {
            match step {
                Step::Asks(upstream, ms) => {
                    rests.begin(tag(upstream), Duration::from_millis(ms), clock.moment());
                    let end = ends.entry(upstream).or_default();
                    *end = (*end).max(now_ms + ms);
                }
                Step::Passes(ms) => {
                    clock.advance(Duration::from_millis(ms));
                    now_ms += ms;
                }
                Step::Sleeps(ms) => {
                    clock.suspend(Duration::from_millis(ms));
                    now_ms += ms;
                }
            }
            for upstream in 0..5 {
                let left = ends.get(&upstream).and_then(|end| end.checked_sub(now_ms)).filter(|ms| *ms > 0);
                let known = rests.left(tag(upstream), clock.moment());
                prop_assert_eq!(known.map(|left| left.as_millis() as u64), left);
                prop_assert_eq!(rests.resting(clock.moment()).contains(&tag(upstream)), left.is_some());
            }
        }
    }
}
