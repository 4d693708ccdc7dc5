//! A machine that is suspended, and one that is not.

use std::time::Duration;

use foldlock_base::clock::{Clock, Manual, Sleep, System};
use proptest::prelude::*;

#[test]
fn a_suspension_is_noticed_once() {
    let clock = Manual::default();
    let sleep = Sleep::new(&clock);
    clock.advance(Duration::from_secs(3));
    assert_eq!(sleep.noticed(&clock), None, "time that passed is no sleep");
    clock.suspend(Duration::from_millis(300));
    clock.advance(Duration::from_millis(40));
    assert_eq!(sleep.noticed(&clock), Some(Duration::from_millis(300)));
    assert_eq!(sleep.noticed(&clock), None);
}

#[test]
fn the_machines_clocks_run_alike_while_it_is_awake() {
    let sleep = Sleep::new(&System);
    assert_eq!(sleep.noticed(&System), None);
    assert!(System.moment().since(System.moment()).is_zero());
}

proptest! {
    /// However the time is cut into looks, what was slept in pieces of 100 ms and more is all noticed.
    #[test]
    fn no_long_sleep_is_missed(steps in prop::collection::vec((0..400_u64, 100..5_000_u64), 1..20)) {
        let clock = Manual::default();
        let sleep = Sleep::new(&clock);
        let mut noticed = Duration::ZERO;
        for (awake, asleep) in &steps {
            clock.advance(Duration::from_millis(*awake));
            clock.suspend(Duration::from_millis(*asleep));
            noticed += sleep.noticed(&clock).unwrap_or_default();
        }
        let slept: u64 = steps.iter().map(|(_, asleep)| asleep).sum();
        prop_assert_eq!(noticed, Duration::from_millis(slept));
    }
}
