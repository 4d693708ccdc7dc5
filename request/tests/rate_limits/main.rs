//! Rate limits of upstreams over the whole fleet, while VMs are killed, suspended and partitioned and the scheduler
//! changes.
//!
//! Guards against an upstream that receives more in four seconds than one and a half times its limit plus five
//! requests, counted over the VMs that received the limit at least half a second earlier, and against a limit that is
//! not used up.

mod check;
mod fleet;
mod incident;
mod waits;

use std::time::{Duration, Instant};

use fleet::{
    Fleet, SCHEDULERS, SPAN, STEP, UPSTREAMS, cluster, rate, requirements, table, upstream, vm_name,
};
use foldlock_request::cluster::Holder;
use foldlock_request::placement::Rejection;
use foldlock_request::rate_limit::Limit;
use foldlock_request::scheduler::{Key, Reply, Scheduler};
use foldlock_request::tag::Tag;
use incident::{Incident, incident};
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn the_fleet_keeps_to_rate_limits_through_any_incidents(
        count in prop_oneof![3 => Just(6_usize), 1 => Just(72), 1 => Just(195)],
        incidents in proptest::collection::vec(incident(), 1..40),
    ) {
        let mut fleet = Fleet::new(count);
        fleet.set_limit(0, Some(rate(2.5)));
        fleet.load(Duration::from_secs(2), 60);
        incidents.iter().for_each(|incident| fleet.apply(incident));
        fleet.load(SPAN, 60);
        fleet.check()?;
    }
}

/// Fleets up to the largest size with two schedulers at once, each of which is killed.
#[test]
fn two_schedulers_at_once_do_not_each_spend_the_rate() {
    for count in [6, 72, 195, 985] {
        for per_s in [0.5, 1.0, 2.6, 10.0, 40.0] {
            let mut fleet = Fleet::new(count);
            (0..UPSTREAMS).for_each(|index| fleet.set_limit(index, Some(rate(per_s))));
            fleet.load(Duration::from_secs(2), 300);
            fleet.apply(&Incident::Split { from: 50, scheduler: 1 });
            fleet.load(SPAN + SPAN, 300);
            for vm in [0, 1, 0] {
                fleet.apply(&Incident::Kill { vm });
                fleet.load(Duration::from_secs(1), 80);
            }
            fleet.load(SPAN, 80);
            fleet.check().unwrap();
        }
    }
}

/// VMs that have received a limit discard the grants of schedulers that have none.
#[test]
fn restarted_schedulers_grant_nothing_beyond_limits_known_to_others() {
    let mut fleet = Fleet::new(6);
    (0..UPSTREAMS).for_each(|index| fleet.set_limit(index, Some(rate(1.0))));
    fleet.load(Duration::from_secs(20), 50);
    fleet.load(Duration::from_secs(5), 0);
    (0..SCHEDULERS).for_each(|vm| fleet.apply(&Incident::Kill { vm }));
    fleet.load(STEP, 10_000);
    fleet.load(SPAN, 50);
    fleet.check().unwrap();
}

/// Queued requests are sent at least at 80 percent of the stated rate.
#[test]
fn the_rate_is_used_while_callers_wait() {
    for per_s in [1.0, 2.6, 10.0, 40.0] {
        let mut fleet = Fleet::new(6);
        (0..UPSTREAMS).for_each(|index| fleet.set_limit(index, Some(rate(per_s))));
        fleet.load(Duration::from_secs(2), 200);
        let before: usize = fleet.arrivals.iter().map(Vec::len).sum();
        fleet.load(Duration::from_secs(10), 200);
        let arrived = fleet.arrivals.iter().map(Vec::len).sum::<usize>() - before;
        let minimum = 0.8 * per_s * 10.0 * UPSTREAMS as f64;
        assert!(arrived as f64 >= minimum, "{arrived} of {minimum} at {per_s}/s");
        fleet.check().unwrap();
    }
}

/// The first response to a request sent after the limit ended removes the limit at all VMs.
#[test]
fn a_limit_that_has_ended_is_not_enforced() {
    let mut fleet = Fleet::new(6);
    (0..UPSTREAMS).for_each(|index| fleet.set_limit(index, Some(rate(1.0))));
    fleet.load(Duration::from_secs(4), 100);
    (0..UPSTREAMS).for_each(|index| fleet.set_limit(index, None));
    fleet.load(Duration::from_secs(3), 100);
    let (before, refused) = (fleet.arrivals.iter().map(Vec::len).sum::<usize>(), fleet.refused);
    fleet.load(Duration::from_secs(2), 100);
    let arrived = fleet.arrivals.iter().map(Vec::len).sum::<usize>() - before;
    assert_eq!((arrived, fleet.refused - refused), (200, 0));
}

/// An upstream with a rate of zero receives occasional requests, since only responses show that the limit has ended.
#[test]
fn an_upstream_with_rate_zero_is_probed_until_its_limit_ends() {
    let mut fleet = Fleet::new(6);
    fleet.set_limit(0, Some(rate(0.0)));
    fleet.load(Duration::from_secs(30), 20);
    let of_first = fleet.arrivals[0].len();
    assert!(of_first <= 20, "{of_first}");
    fleet.set_limit(0, None);
    fleet.load(Duration::from_secs(15), 20);
    let before = fleet.arrivals[0].len();
    fleet.load(Duration::from_secs(5), 20);
    assert!(fleet.arrivals[0].len() > before + 20, "{}", fleet.arrivals[0].len() - before);
}

/// Limits are ordered by version, not by the time at which they are received.
#[test]
fn vms_converge_on_the_same_limit_in_any_order_of_messages() {
    let mut clusters = [cluster(), cluster(), cluster()];
    let tag = Tag::of("i-0");
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let vm = vm_name(0);
    clusters[0].observe_limit(tag, Some(rate(5.0)), now, &vm, now).unwrap();
    // Sent before the limit was learned: the lower rate wins, and a response without a limit changes nothing.
    assert!(clusters[0].observe_limit(tag, None, now - STEP, &vm, now + STEP).is_none());
    assert!(clusters[0].observe_limit(tag, Some(rate(8.0)), now - STEP, &vm, now + STEP).is_none());
    let first = clusters[0].announced_limits(now + STEP)[0];
    clusters[0].observe_limit(tag, Some(rate(3.0)), now - STEP, &vm, now + STEP).unwrap();
    let second = clusters[0].announced_limits(now + STEP)[0];
    // Sent after the limit was learned.
    clusters[0].observe_limit(tag, None, later, &vm, later).unwrap();
    let third = clusters[0].announced_limits(later)[0];
    assert_eq!(third.limit, Limit { version: 2, rate: None });
    for (cluster, order) in
        clusters[1..].iter_mut().zip([[second, first, third], [third, first, second]])
    {
        order.iter().for_each(|entry| {
            cluster.merge_limit(*entry, &vm, later);
        });
    }
    for cluster in &clusters {
        assert_eq!(cluster.limit_of(&upstream(0)).unwrap().limit, third.limit);
    }
}

/// Guards against rejected callers that all retry in the same second.
#[test]
fn rejected_callers_are_given_staggered_retry_times() {
    let (mut cluster, now) = (cluster(), Instant::now());
    for index in 0..UPSTREAMS {
        let tag = Tag::of(upstream(index).as_str());
        cluster.observe_limit(tag, Some(rate(2.0)), now, &vm_name(0), now).unwrap();
    }
    let (table, mut scheduler) = (table(), Scheduler::default());
    let mut after_ms = Vec::new();
    for number in 0..20 {
        let key = Key { holder: Holder::Own, incarnation: 1, number };
        let requirements = requirements(now, number);
        match scheduler.request(&mut cluster, &table, key, Tag::of("plain"), requirements, now) {
            Reply::Rejected(Rejection::RateLimited { after_ms: after }) => after_ms.push(after),
            answer => assert!(matches!(answer, Reply::Queued), "{answer:?}"),
        }
    }
    // Four per second in all: the first request is queued, the others are to retry at that rate.
    assert_eq!(after_ms.len(), 19);
    let pauses: Vec<u64> = after_ms.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(pauses.iter().all(|ms| (249..=251).contains(ms)), "{after_ms:?}");
    assert!((250..=750).contains(&after_ms[0]), "{after_ms:?}");
}
