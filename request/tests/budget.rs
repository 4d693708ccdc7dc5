//! The fleet's budget of repeated attempts.

use std::time::{Duration, Instant};

use foldlock_request::budget::{Budget, Figures};
use proptest::prelude::*;

const FIGURES: Figures = Figures { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };

#[test]
fn a_vm_spends_its_share_and_no_more() {
    let (mut budget, now) = (Budget::new(FIGURES), Instant::now());
    let spent = (0..1_000).filter(|_| budget.repeat("model", 10, now)).count();
    assert_eq!(spent, 8, "four fifths of a tenth of the slack");
    assert!(!budget.repeat("model", 10, now));
    assert!(budget.repeat("plain", 10, now), "each service has a budget of its own");
}

#[test]
fn requests_add_their_ratio() {
    let (mut budget, now) = (Budget::new(Figures { slack: 0.0, ..FIGURES }), Instant::now());
    assert!(!budget.repeat("model", 1, now));
    (0..100).for_each(|_| budget.request("model", now));
    assert_eq!((0..100).filter(|_| budget.repeat("model", 1, now)).count(), 16);
}

#[test]
fn what_is_spent_comes_back_after_the_window() {
    let (mut budget, now) = (Budget::new(FIGURES), Instant::now());
    while budget.repeat("model", 10, now) {}
    assert!(!budget.repeat("model", 10, now + FIGURES.window));
    let later = now + FIGURES.window + Duration::from_millis(1);
    assert!(budget.repeat("model", 10, later));
    assert_eq!(budget.spent("model", later), 1);
}

#[test]
fn figures_that_are_read_again_keep_what_is_spent() {
    let (mut budget, now) = (Budget::new(FIGURES), Instant::now());
    assert!(budget.repeat("model", 10, now));
    budget.set(Figures { slack: 0.0, ..FIGURES });
    assert_eq!(budget.spent("model", now), 1);
    assert!(!budget.repeat("model", 10, now));
}

proptest! {
    /// However requests and failures fall on the VMs, the fleet stays within its budget in each
    /// window.
    #[test]
    fn the_fleet_stays_within_the_whole(
        vms in 1usize..12,
        events in prop::collection::vec((0usize..12, any::<bool>(), 0u64..400), 0..400),
    ) {
        let start = Instant::now();
        let mut budgets: Vec<Budget> = (0..vms).map(|_| Budget::new(FIGURES)).collect();
        let (mut at, mut requests, mut repeats) = (start, Vec::new(), Vec::new());
        for (vm, is_request, after_ms) in events {
            at += Duration::from_millis(after_ms);
            let budget = &mut budgets[vm % vms];
            if is_request {
                budget.request("model", at);
                requests.push(at);
            } else if budget.repeat("model", vms, at) {
                repeats.push(at);
            }
        }
        for end in &repeats {
            let within = |t: &&Instant| **t <= *end && *end - **t <= FIGURES.window;
            let spent = repeats.iter().filter(within).count() as f64;
            let asked = requests.iter().filter(within).count() as f64;
            prop_assert!(spent <= FIGURES.ratio * asked + FIGURES.slack, "{spent} of {asked}");
        }
    }
}
