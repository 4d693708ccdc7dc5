//! Detection of suspensions of the machine.

use std::time::Duration;

use foldlock_base::clock::{Clock, Manual, Suspensions, System};
use proptest::prelude::*;

#[test]
fn a_suspension_is_reported_once() {
    let clock = Manual::default();
    let suspensions = Suspensions::new(&clock);
    clock.advance(Duration::from_secs(3));
    assert_eq!(suspensions.detect(&clock), None, "elapsed time is no suspension");
    clock.suspend(Duration::from_millis(300));
    clock.advance(Duration::from_millis(40));
    assert_eq!(suspensions.detect(&clock), Some(Duration::from_millis(300)));
    assert_eq!(suspensions.detect(&clock), None);
}

#[test]
fn no_suspension_is_reported_while_the_machine_runs() {
    let suspensions = Suspensions::new(&System);
    assert_eq!(suspensions.detect(&System), None);
    assert!(System.moment().since(System.moment()).is_zero());
}

proptest! {
    /// Suspensions of 100 ms or more are reported in full, whatever the time between two checks.
    #[test]
    fn every_long_suspension_is_reported(steps in prop::collection::vec((0..400_u64, 100..5_000_u64), 1..20)) {
        let clock = Manual::default();
        let suspensions = Suspensions::new(&clock);
        let mut detected = Duration::ZERO;
        for (running, suspended) in &steps {
            clock.advance(Duration::from_millis(*running));
            clock.suspend(Duration::from_millis(*suspended));
            detected += suspensions.detect(&clock).unwrap_or_default();
        }
        let suspended: u64 = steps.iter().map(|(_, suspended)| suspended).sum();
        prop_assert_eq!(detected, Duration::from_millis(suspended));
    }
}
