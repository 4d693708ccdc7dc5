//! Promised return times of rejected callers.
//!
//! Load patterns A and B with tripled traffic: 28 of 56 and 37 of 69 callers returned at the stated
//! time and were rejected again.

use std::time::{Duration, Instant};

use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::promise::{Announcement, MAX_ANNOUNCED, Received};
use foldlock_request::scheduler::{Counts, MAX_PROMISES, Promises};
use foldlock_request::tag::Tag;
use proptest::prelude::*;

/// The remaining time of callers of short prompts on load pattern A.
const REMAINING: Duration = Duration::from_secs(10);

fn request(number: usize) -> Fingerprint {
    Fingerprint::of("org-1", "POST", "/chat", &number.to_be_bytes())
}

fn service() -> Tag {
    Tag::of("model")
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Promises a time to a caller whose request would have to wait for all of its time.
fn promise(promises: &mut Promises, number: usize, rate: f64, now: Instant) -> Option<Duration> {
    promises.promise(request(number), service(), REMAINING, REMAINING, rate, now)
}

/// The bound is the guaranteed eighth of load pattern A: 216 short prompts a second can be in time.
#[test]
fn no_more_callers_return_than_the_guaranteed_rate_serves() {
    let rate = 216.0 / 8.0;
    let (start, mut promises) = (Instant::now(), Promises::default());
    let mut times = Vec::new();
    // 400 rejections a second, as with tripled traffic, for 5 s.
    for number in 0..2_000 {
        let now = start + ms(5) * (number as u32 / 2);
        times.extend(promise(&mut promises, number, rate, now).map(|after| now + after));
    }
    times.sort();
    for window in times.windows(2) {
        assert!(window[1] - window[0] >= Duration::from_secs_f64(1.0 / rate) - ms(1));
    }
    // Rejections are spread over 5 s and promises over a third of the remaining time after it.
    let possible = (5.0 + REMAINING.as_secs_f64() / 3.0) * rate;
    assert!(times.len() as f64 > 0.95 * possible, "{} of {possible}", times.len());
    assert_eq!(promises.counts().declined, 2_000 - times.len() as u64);
}

/// Guards against times that callers don't wait for, and times at which they can't be served yet.
#[test]
fn a_time_is_after_the_excess_of_the_wait_and_within_a_third_of_the_remaining_time() {
    let (now, mut promises) = (Instant::now(), Promises::default());
    let mut after = |number, wait, remaining, rate| {
        promises.promise(request(number), service(), wait, remaining, rate, now)
    };
    let seconds = Duration::from_secs;
    assert_eq!(after(0, seconds(12), REMAINING, 10.0), Some(seconds(2)));
    assert_eq!(after(1, seconds(14), REMAINING, 10.0), None);
    // The time before the first promise is not lost to callers with a shorter wait.
    assert_eq!(after(2, seconds(10), REMAINING, 10.0), Some(ms(100)));
    assert_eq!(after(3, seconds(10), ms(240), 10.0), None, "the first time is after 100 ms");
    assert_eq!(after(4, seconds(10), Duration::MAX, 0.05), None, "at most 10 s ahead");
    for rate in [0.0, -1.0, f64::NAN, f64::INFINITY, f64::MIN_POSITIVE] {
        assert_eq!(after(5, seconds(10), REMAINING, rate), None, "{rate}");
    }
}

/// Guards against two different promises to a caller because a rejection was lost or it returned early.
#[test]
fn the_same_request_gets_the_same_promise_until_it_is_redeemed() {
    let (start, mut promises) = (Instant::now(), Promises::default());
    assert_eq!(promise(&mut promises, 1, 2.0, start), Some(ms(500)));
    assert_eq!(promise(&mut promises, 1, 2.0, start + ms(25)), Some(ms(475)));
    assert_eq!(promises.redeem(request(1), start + ms(449), start + ms(449)), None, "too early");
    assert_eq!(
        promises.redeem(request(2), start + ms(450), start + ms(450)),
        None,
        "another request"
    );
    let redeemed = promises.redeem(request(1), start + ms(450), start + ms(450)).unwrap();
    assert_eq!((redeemed.at, redeemed.made), (start + ms(500), start));
    let copy = start + ms(480);
    assert_eq!(promises.redeem(request(1), copy, copy), None, "redeemed already");
    // It is rejected once more after a failure. The first time is used up, though not over yet.
    assert_eq!(promise(&mut promises, 1, 2.0, start + ms(450)), Some(ms(550)));
    let counts = Counts { made: 2, redeemed: 1, ..Counts::default() };
    assert_eq!(promises.counts(), counts);
}

/// Guards against promises that are stored for longer or in greater number than stated.
#[test]
fn promises_end_two_seconds_after_their_time_and_are_limited_in_number() {
    let (start, mut promises) = (Instant::now(), Promises::default());
    promise(&mut promises, 0, 10.0, start);
    assert!(promises.redeem(request(0), start + ms(2_100), start + ms(2_100)).is_none());
    promises.expire(start + ms(2_099));
    assert_eq!((promises.len(), promises.counts().expired), (1, 0));
    promises.expire(start + ms(2_100));
    assert_eq!((promises.len(), promises.counts().expired), (0, 1));
    for number in 0..MAX_PROMISES + 5 {
        let promised = promise(&mut promises, number, 1e5, start);
        assert_eq!(promised.is_some(), number < MAX_PROMISES);
    }
    promises.merge(&announced(MAX_PROMISES, ms(500), start), start);
    assert_eq!(promises.len(), MAX_PROMISES);
    promises.expire(start + ms(5_500));
    assert!(promises.is_empty());
}

/// The announcements of a VM that has just received a promise.
fn announced(number: usize, after: Duration, now: Instant) -> Vec<Announcement> {
    let mut received = Received::default();
    received.add(request(number), service(), after, now);
    received.announced(now)
}

/// Guards against promises that are lost with the scheduler. The VMs' clocks and the transit times of
/// their heartbeats differ.
#[test]
fn a_standby_scheduler_has_the_announced_promises() {
    let (start, mut scheduler) = (Instant::now(), Promises::default());
    let (mut received, mut standby) = (Received::default(), Promises::default());
    for number in 0..5 {
        let after = promise(&mut scheduler, number, 2.0, start).unwrap();
        received.add(request(number), service(), after, start + ms(2));
    }
    let mut merge = |standby: &mut Promises, sent, transit| {
        standby.merge(&received.announced(start + ms(sent)), start + ms(sent + transit));
    };
    merge(&mut standby, 10, 1);
    merge(&mut standby, 60, 40);
    merge(&mut standby, 260, 3);
    // The times of the other scheduler's promises, 2.5 s for the last one, are taken.
    let next = promise(&mut standby, 9, 2.0, start + ms(300)).unwrap();
    assert!(ms(300) + next >= ms(3_000), "{next:?}");
    assert_eq!(standby.redeem(request(1), start + ms(900), start + ms(900)), None, "too early");
    merge(&mut standby, 2_400, 2);
    let redeemed = standby.redeem(request(0), start + ms(2_402), start + ms(2_402)).unwrap();
    assert_eq!(redeemed.service, service());
    assert!(standby.redeem(request(4), start + ms(2_455), start + ms(2_455)).is_some());
    assert_eq!(standby.counts(), Counts { made: 1, redeemed: 2, ..Counts::default() });
}

/// The bound is that of two schedulers without knowledge of each other. Guards against promises that
/// one of them does not keep.
#[test]
fn two_active_schedulers_promise_at_most_twice_the_rate_and_keep_each_others_promises() {
    let (rate, start) = (20, Instant::now());
    let mut schedulers = [Promises::default(), Promises::default()];
    let mut received = [Received::default(), Received::default()];
    let mut promised = Vec::new();
    for tick in 0..400 {
        let now = start + ms(10) * tick as u32;
        for side in 0..2 {
            let number = tick * 2 + side;
            let after = promise(&mut schedulers[side], number, f64::from(rate), now);
            promised.extend(after.map(|after| (now + after, number)));
            after.and_then(|after| received[side].add(request(number), service(), after, now));
            // Heartbeats are at most 200 ms apart.
            if tick % 20 == 19 {
                schedulers[1 - side].merge(&received[side].announced(now), now + ms(3));
            }
        }
    }
    promised.sort();
    for (at, _) in &promised {
        let second = promised.iter().filter(|(other, _)| other >= at && *other < *at + ms(1_000));
        assert!(second.count() <= 2 * rate as usize);
    }
    let last = start + ms(3_990);
    let due = promised.iter().filter(|(at, _)| *at > last - ms(1_000) && *at < last);
    for (_, number) in due {
        assert!(schedulers.iter_mut().all(|s| s.redeem(request(*number), last, last).is_some()));
    }
}

/// Guards against a promise that is redeemed as often as it is announced.
#[test]
fn a_redeemed_promise_is_not_restored_by_its_announcement() {
    let (start, mut promises) = (Instant::now(), Promises::default());
    promise(&mut promises, 1, 10.0, start);
    let mut received = Received::default();
    received.add(request(1), service(), ms(100), start + ms(3));
    assert!(promises.redeem(request(1), start + ms(100), start + ms(100)).is_some());
    for at in (110..2_400).step_by(50) {
        promises.merge(&received.announced(start + ms(at)), start + ms(at + 20));
        assert_eq!(
            promises.redeem(request(1), start + ms(at + 20), start + ms(at + 20)),
            None,
            "after {at} ms"
        );
    }
    assert!(promises.is_empty());
    // A later promise of another scheduler to the same request is a new one.
    promise(&mut promises, 2, 10.0, start);
    assert!(promises.redeem(request(2), start + ms(100), start + ms(100)).is_some());
    promises.merge(&announced(2, ms(900), start + ms(100)), start + ms(101));
    assert!(promises.redeem(request(2), start + ms(1_000), start + ms(1_000)).is_some());
}

/// Guards against a caller that is rejected again since the first grant of its request could not be
/// used, as an engine failed or had no memory: the VM then requests another one, with a new number.
#[test]
fn the_request_that_redeemed_a_promise_keeps_it_until_its_end() {
    let (start, mut promises) = (Instant::now(), Promises::default());
    promise(&mut promises, 1, 10.0, start);
    let arrived = start + ms(120);
    let first = promises.redeem(request(1), arrived, arrived);
    assert!(first.is_some());
    // Its arrival is known up to the transit time.
    for later in [300, 2_099] {
        assert_eq!(promises.redeem(request(1), arrived + ms(20), start + ms(later)), first);
    }
    assert_eq!(promises.redeem(request(1), arrived, start + ms(2_100)), None, "it has ended");
    assert_eq!(promises.counts().redeemed, 1);
}

/// Guards against promises of faulty clocks, and those of a VM that received more than it announces.
#[test]
fn a_vm_announces_its_newest_promises_and_none_with_implausible_times() {
    let (start, mut received) = (Instant::now(), Received::default());
    assert_eq!(received.add(request(999), service(), Duration::MAX, start), None);
    for number in 0..MAX_ANNOUNCED + 6 {
        received.add(request(number), service(), ms(500), start);
    }
    received.add(request(6), service(), ms(700), start);
    let announced = received.announced(start);
    assert_eq!(announced.len(), MAX_ANNOUNCED);
    assert_eq!(announced[0].fingerprint, request(7), "the oldest are dropped");
    assert_eq!(announced.last().map(|a| (a.fingerprint, a.until_ms)), Some((request(6), 700)));
    assert_eq!(received.announced(start + ms(2_600)).len(), 1);

    let mut promises = Promises::default();
    for until_ms in [i64::MIN, -2_000, 10_001, i64::MAX] {
        let faulty = Announcement { fingerprint: request(1), service: service(), until_ms };
        promises.merge(&[faulty], start);
    }
    assert!(promises.is_empty());
}

/// The earliest time that is an interval away from all others, found by trying all that can be.
fn free_time(
    made: &[Instant],
    first: Duration,
    last: Duration,
    interval: Duration,
    now: Instant,
) -> Option<Duration> {
    let after = made.iter().map(|time| (*time + interval).saturating_duration_since(now));
    let is_free = |after: &Duration| {
        let at = now + *after;
        made.iter().all(|other| at.max(*other) - at.min(*other) >= interval)
    };
    let possible = after.chain([first]).filter(|after| (first..=last).contains(after));
    possible.filter(is_free).min()
}

proptest! {
    /// Guards against times that are closer than the rate allows, or later than necessary, when the
    /// rate, the waits and the remaining times change, and callers return early.
    #[test]
    fn a_promised_time_is_the_earliest_free_one(
        steps in prop::collection::vec(
            (0_u64..40, prop::sample::select(vec![1.0, 20.0, 21.0, 90.0]), 0_u64..14, 1_u64..15, any::<bool>()),
            1..200,
        )
    ) {
        let (mut now, mut promises) = (Instant::now(), Promises::default());
        let mut made: Vec<Instant> = Vec::new();
        for (number, (passed, rate, wait, remaining, returns)) in steps.into_iter().enumerate() {
            now += ms(passed);
            let (wait, remaining) = (Duration::from_secs(wait), Duration::from_secs(remaining));
            let interval = Duration::from_secs_f64(1.0 / rate);
            let first = wait.saturating_sub(remaining).max(interval);
            let expected = free_time(&made, first, remaining / 3, interval, now);
            let after = promises.promise(request(number), service(), wait, remaining, rate, now);
            prop_assert_eq!(after, expected);
            made.extend(after.map(|after| now + after));
            if returns {
                promises.redeem(request(number / 2), now, now);
            }
        }
    }
}
