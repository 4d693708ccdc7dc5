//! The retry budget of one scheduler.

use std::time::{Duration, Instant};

use foldlock_request::budget::{Budget, Charge, Exhausted, Parameters};
use foldlock_request::cluster::Holder;
use foldlock_request::tag::Tag;
use proptest::prelude::*;

const PARAMETERS: Parameters =
    Parameters { ratio: 0.2, slack: 100.0, window: Duration::from_secs(10) };

fn model() -> Tag {
    Tag::of("model")
}

fn vm(index: usize) -> Holder {
    Holder::Peer(format!("vm-{index}").parse().unwrap())
}

/// A budget that has had `clients` of a fleet of `running` VMs as clients for longer than a window.
fn settled(parameters: Parameters, clients: usize, running: usize) -> (Budget, Instant) {
    let (mut budget, mut now) = (Budget::new(parameters), Instant::now());
    for _ in 0..12 {
        now += Duration::from_secs(1);
        contact(&mut budget, clients, running, now);
    }
    (budget, now)
}

fn contact(budget: &mut Budget, clients: usize, running: usize, now: Instant) {
    (0..clients).for_each(|index| budget.record_contact(&vm(index), true, running, now));
}

fn deposit(budget: &mut Budget, requests: usize, now: Instant) {
    (0..requests).for_each(|_| budget.charge(model(), Charge::Deposit, now).unwrap());
}

fn spend(budget: &mut Budget, service: Tag, now: Instant) -> usize {
    (0..1_000).filter(|_| budget.charge(service, Charge::Withdraw, now).is_ok()).count()
}

#[test]
fn a_new_scheduler_has_no_slack_for_a_window() {
    let (mut budget, mut now) = (Budget::new(PARAMETERS), Instant::now());
    for _ in 0..=10 {
        contact(&mut budget, 10, 10, now);
        assert_eq!(spend(&mut budget, model(), now), 0);
        now += Duration::from_secs(1);
    }
    contact(&mut budget, 10, 10, now);
    assert_eq!(spend(&mut budget, model(), now), 75);
}

#[test]
fn requests_add_their_ratio_at_a_new_scheduler_too() {
    let (mut budget, now) = (Budget::new(PARAMETERS), Instant::now());
    contact(&mut budget, 10, 10, now);
    deposit(&mut budget, 17, now);
    assert_eq!(spend(&mut budget, model(), now), 3, "nine tenths of the ratio are used");
    deposit(&mut budget, 17, now);
    assert_eq!(spend(&mut budget, Tag::of("plain"), now), 0, "each service has its own bucket");
}

#[test]
fn a_queued_request_deposits_once_and_a_retry_withdraws_when_it_is_placed() {
    let (mut budget, now) = (Budget::new(PARAMETERS), Instant::now());
    contact(&mut budget, 10, 10, now);
    for _ in 0..6 {
        let left = budget.queue(model(), Charge::Deposit);
        budget.charge(model(), left, now).unwrap();
    }
    let left = budget.queue(model(), Charge::Withdraw);
    assert_eq!(left, Charge::Withdraw);
    assert!(budget.charge(model(), left, now).is_ok(), "six requests add a token");
    assert!(budget.charge(model(), left, now).is_err());
}

#[test]
fn a_bucket_holds_at_most_a_small_part_of_the_slack() {
    let (mut budget, now) = (Budget::new(PARAMETERS), Instant::now());
    contact(&mut budget, 10, 10, now);
    deposit(&mut budget, 10_000, now);
    assert_eq!(spend(&mut budget, model(), now), 4);
}

#[test]
fn the_slack_is_available_again_after_the_window() {
    let (mut budget, now) = settled(PARAMETERS, 10, 10);
    assert_eq!(spend(&mut budget, model(), now), 75);
    let mut later = now;
    for _ in 0..10 {
        later += Duration::from_secs(1);
        contact(&mut budget, 10, 10, later);
        assert_eq!(spend(&mut budget, model(), later), 0);
    }
    later += Duration::from_secs(1);
    contact(&mut budget, 10, 10, later);
    assert_eq!(spend(&mut budget, model(), later), 75);
}

/// Guards against failures that get no retry after a silence of many upstreams.
#[test]
fn hedges_leave_half_of_the_budget_to_retries_after_failures() {
    let hedges = |budget: &mut Budget, now| {
        (0..1_000).filter(|_| budget.charge(model(), Charge::Hedge, now).is_ok()).count()
    };
    let (mut budget, now) = settled(PARAMETERS, 10, 10);
    deposit(&mut budget, 10_000, now);
    assert_eq!(hedges(&mut budget, now), 39, "half of 75 of the slack and 4 tokens");
    let exhausted = Exhausted { spent: 35, slack: 37, clients: 10, vms: 10 };
    assert_eq!(budget.charge(model(), Charge::Hedge, now), Err(exhausted));
    assert_eq!(spend(&mut budget, model(), now), 40, "as many in all as without hedges");
    let (mut budget, now) = settled(PARAMETERS, 10, 10);
    (0..38).for_each(|_| budget.charge(model(), Charge::Withdraw, now).unwrap());
    assert_eq!(hedges(&mut budget, now), 0, "half is spent on failures");
    let (mut budget, now) = (Budget::new(PARAMETERS), Instant::now());
    contact(&mut budget, 10, 10, now);
    deposit(&mut budget, 10_000, now);
    assert_eq!(
        (hedges(&mut budget, now), spend(&mut budget, model(), now)),
        (2, 2),
        "no slack yet"
    );
}

#[test]
fn each_service_has_a_slack_of_its_own() {
    let (mut budget, now) = settled(PARAMETERS, 10, 10);
    assert_eq!(spend(&mut budget, model(), now), 75);
    assert_eq!(spend(&mut budget, Tag::of("plain"), now), 75);
}

#[test]
fn a_scheduler_has_slack_in_proportion_to_its_clients() {
    let (mut budget, now) = settled(PARAMETERS, 5, 10);
    assert_eq!(spend(&mut budget, model(), now), 37);
}

#[test]
fn the_slack_of_clients_that_time_out_is_lost() {
    let (mut budget, now) = settled(PARAMETERS, 10, 10);
    let later = now + PARAMETERS.window / 2;
    contact(&mut budget, 10, 10, later);
    assert_eq!(spend(&mut budget, model(), later), 0);
}

#[test]
fn a_vm_that_is_the_client_of_another_scheduler_adds_no_slack() {
    let (mut budget, mut now) = settled(PARAMETERS, 10, 10);
    for _ in 0..5 {
        now += Duration::from_secs(1);
        (0..10).for_each(|index| budget.record_contact(&vm(index), false, 10, now));
    }
    assert_eq!(spend(&mut budget, model(), now), 0);
}

#[test]
fn the_tokens_of_vms_that_time_out_are_lost() {
    let (mut budget, now) = (Budget::new(PARAMETERS), Instant::now());
    contact(&mut budget, 10, 10, now);
    deposit(&mut budget, 10_000, now);
    let later = now + PARAMETERS.window / 2;
    contact(&mut budget, 1, 10, later);
    contact(&mut budget, 1, 10, later);
    assert_eq!(spend(&mut budget, model(), later), 0);
}

#[test]
fn a_scheduler_with_one_client_in_a_large_fleet_has_one_retry() {
    let (mut budget, now) = settled(Parameters { slack: 1_040.0, ..PARAMETERS }, 1, 985);
    assert_eq!(spend(&mut budget, model(), now), 1);
}

#[test]
fn a_rejected_retry_reports_the_budget_state() {
    let (mut budget, now) = settled(PARAMETERS, 5, 10);
    spend(&mut budget, model(), now);
    let rejected = budget.charge(model(), Charge::Withdraw, now);
    assert_eq!(rejected, Err(Exhausted { spent: 37, slack: 37, clients: 5, vms: 10 }));
}

#[test]
fn reloading_the_parameters_keeps_what_is_spent() {
    let (mut budget, now) = settled(PARAMETERS, 10, 10);
    assert_eq!(spend(&mut budget, model(), now), 75);
    budget.set(PARAMETERS);
    assert_eq!(spend(&mut budget, model(), now), 0);
    budget.set(Parameters { slack: 120.0, ..PARAMETERS });
    assert_eq!(spend(&mut budget, model(), now), 15);
    budget.set(Parameters { slack: 0.0, ..PARAMETERS });
    assert_eq!(spend(&mut budget, model(), now), 0);
}

#[test]
fn a_longer_window_starts_without_slack() {
    let (mut budget, now) = settled(PARAMETERS, 10, 10);
    budget.set(Parameters { window: PARAMETERS.window * 2, ..PARAMETERS });
    contact(&mut budget, 10, 10, now);
    assert_eq!(spend(&mut budget, model(), now), 0);
}

proptest! {
    /// Guards against any distribution of requests and failures over the VMs with which the fleet exceeds its budget
    /// in a window.
    #[test]
    fn the_fleet_stays_within_its_budget(
        vms in 1usize..12,
        events in prop::collection::vec((0usize..12, any::<bool>(), 0u64..400), 0..400),
    ) {
        let (mut budget, start) = settled(PARAMETERS, vms, vms);
        let (mut at, mut requests, mut retries) = (start, Vec::new(), Vec::new());
        for (index, is_request, after_ms) in events {
            at += Duration::from_millis(after_ms);
            budget.record_contact(&vm(index % vms), true, vms, at);
            if is_request {
                budget.charge(model(), Charge::Deposit, at).unwrap();
                requests.push(at);
            } else if budget.charge(model(), Charge::Withdraw, at).is_ok() {
                retries.push(at);
            }
        }
        for end in &retries {
            let within = |t: &&Instant| **t <= *end && *end - **t <= PARAMETERS.window;
            let spent = retries.iter().filter(within).count() as f64;
            let sent = requests.iter().filter(within).count() as f64;
            prop_assert!(spent <= PARAMETERS.ratio * sent + PARAMETERS.slack, "{spent} of {sent}");
        }
    }
}
