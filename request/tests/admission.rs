//! Forecasts of the start of queued requests, and the decision whether they are queued.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use foldlock_base::size::Tokens;
use foldlock_request::scheduler::admission::{self, Overloaded, Request};
use foldlock_request::scheduler::forecast::{self, Departures, Error, Kind, Throughput, Tiers};
use foldlock_version::routes::Engine;
use proptest::prelude::*;

/// Short requests a second that load pattern A serves in time.
const CAPACITY: f64 = 216.0;

/// Short requests a second that arrive at tripled traffic on A.
const DEMAND: f64 = 286.0;

const ROUND: Duration = Duration::from_millis(20);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Calls a throughput as the scheduler does, every 20 ms for a time, with grants at a rate.
fn run(throughput: &mut Throughput, rate: f64, time: Duration, mut now: Instant) -> Instant {
    let end = now + time;
    while now < end {
        throughput.set_backlogged(true, now);
        throughput.record_grant(rate * ROUND.as_secs_f64(), now);
        now += ROUND;
    }
    throughput.set_backlogged(true, now);
    now
}

fn assert_near(value: f64, expected: f64, tolerance: f64) {
    assert!((value / expected - 1.0).abs() <= tolerance, "{value} is not near {expected}");
}

/// Guards against forecasts from a wrong engine model, and against a step when the measurement
/// begins: after one second, half of the rate is measured.
#[test]
fn the_rate_moves_from_the_model_to_the_grants_within_two_seconds_of_backlog() {
    let start = Instant::now();
    let mut throughput = Throughput::default();
    assert_eq!(throughput.rate(400.0, start), 400.0);
    let now = run(&mut throughput, 200.0, ms(1_000), start);
    assert_near(throughput.rate(400.0, now), 300.0, 0.05);
    let now = run(&mut throughput, 200.0, ms(1_100), now);
    assert_near(throughput.rate(400.0, now), 200.0, 0.05);
    // The engines fail: it falls within two seconds, and some requests remain queued.
    let now = run(&mut throughput, 0.0, ms(2_100), now);
    assert_eq!(throughput.rate(400.0, now), 4.0);
    // Data older than the requests that ran then is not used.
    throughput.set_backlogged(false, now);
    assert_eq!(throughput.rate(400.0, now + ms(10_001)), 400.0);
}

/// Guards against demand that is taken for capacity: a queued request that goes with the next pass or
/// part, and grants without a queue. And against the grant that ends a longer backlog being lost: the
/// wait for it would then count as time without capacity.
#[test]
fn grants_count_only_during_backlogs_of_several_passes() {
    let mut now = Instant::now();
    let mut throughput = Throughput::default();
    let mut grant_after = |wait: u64| {
        throughput.record_grant(50.0, now);
        now = run(&mut throughput, 0.0, ms(wait), now);
        throughput.record_grant(50.0, now);
        throughput.set_backlogged(false, now);
        (throughput.measured(now), throughput.rate(100.0, now))
    };
    for _ in 0..100 {
        assert_eq!(grant_after(480), (Duration::ZERO, 100.0));
    }
    let (measured, rate) = grant_after(1_040);
    assert_eq!(measured, ms(1_040));
    assert_near(rate, (50.0 + 96.0) / 2.0, 0.01);
}

/// Guards against forecasts from data that cannot be right: a suspended process, a clock that jumps
/// back, work without a value, and upstreams that refuse all requests at once.
#[test]
fn implausible_data_and_clock_jumps_count_as_no_data() {
    let start = Instant::now() + ms(60_000);
    let mut suspended = Throughput::default();
    suspended.set_backlogged(true, start);
    suspended.set_backlogged(true, start + ms(3_000));
    assert_eq!(suspended.rate(400.0, start + ms(3_000)), 400.0);

    let mut back = Throughput::default();
    run(&mut back, 1.0, ms(2_100), start);
    let earlier = start - ms(30_000);
    back.set_backlogged(true, earlier);
    assert_eq!(back.rate(400.0, earlier), 400.0);

    let mut invalid = Throughput::default();
    let mut now = run(&mut invalid, 400.0, ms(2_100), start);
    for work in [f64::NAN, f64::INFINITY, -1e9] {
        invalid.record_grant(work, now);
        invalid.record_arrival(work, true, now);
    }
    now = run(&mut invalid, 400.0, ms(200), now);
    assert_near(invalid.rate(400.0, now), 400.0, 0.05);
    assert_eq!(invalid.in_time_arrivals(now), 0.0);
    assert_near(invalid.rate(f64::NAN, now), 400.0, 0.05);

    let mut refusing = Throughput::default();
    let now = run(&mut refusing, 4_000.0, ms(2_100), start);
    assert_eq!(refusing.rate(400.0, now), 400.0);
}

/// Guards against late requests that starve, and against a forecast of them that ignores the
/// arrivals that go first. The queue is served one by one, one grant in eight to the late ones.
#[test]
fn the_forecast_of_late_requests_matches_the_order_in_which_they_are_served() {
    for (in_time_arrivals, ahead_in_time, ahead_late) in
        [(0.0, 0, 100), (100.0, 60, 40), (100.0, 60, 400), (DEMAND, 60, 40), (100.0, 0, 40)]
    {
        let tiers = Tiers {
            rate: CAPACITY,
            in_time_arrivals,
            ahead_in_time: f64::from(ahead_in_time),
            ahead_late: f64::from(ahead_late),
        };
        let (mut in_time, mut late) = (f64::from(ahead_in_time), ahead_late);
        let mut grants = 0;
        while late > 0 {
            grants += 1;
            in_time += in_time_arrivals / CAPACITY;
            if grants % 8 == 0 || in_time < 1.0 {
                late -= 1;
            } else {
                in_time -= 1.0;
            }
        }
        let actual = f64::from(grants) / CAPACITY;
        assert_near(tiers.wait(false).as_secs_f64(), actual, 0.1);
        let guaranteed = tiers.ahead_late / (CAPACITY * forecast::LATE_SHARE);
        assert!(tiers.wait(false).as_secs_f64() <= guaranteed + 1e-6, "{tiers:?}");
    }
    let tiers =
        Tiers { rate: 80.0, in_time_arrivals: 0.0, ahead_in_time: 70.0, ahead_late: 1_000.0 };
    assert_eq!(tiers.wait(true), ms(1_000), "an eighth goes to the late ones");
    assert_eq!(Tiers { ahead_late: 2.0, ..tiers }.wait(true), ms(900), "until there are none");
}

/// Guards against queued requests that are rejected because of arrivals that may end: 160 late requests wait for 8 s
/// while tripled traffic on A lasts, and for 1 s once it has ended.
#[test]
fn the_earliest_start_does_not_depend_on_arrivals() {
    let tiers =
        Tiers { rate: 160.0, in_time_arrivals: DEMAND, ahead_in_time: 0.0, ahead_late: 160.0 };
    assert_eq!((tiers.wait(false), tiers.earliest()), (ms(8_000), ms(1_000)));
    let first = Tiers { ahead_in_time: 320.0, ahead_late: 1.0, ..tiers };
    assert_eq!(first.earliest(), ms(50), "by the guaranteed share");
}

/// Load pattern A, tripled traffic: 286 short prompts a second where 216 are served. They have 130
/// ms until their grant, and 10 s in all, of which the response takes 2.5 s.
///
/// Bounds, from what callers need: no caller is rejected after more than a quarter of its objective
/// (75 ms) in the queue; all capacity is used, and seven of eight grants are in time; what exceeds the
/// capacity and the queue of late requests is rejected. This also holds where the engine model is
/// wrong by a factor of two.
#[test]
fn excess_requests_are_rejected_when_they_arrive() {
    for model_rate in [CAPACITY, CAPACITY * 2.0, CAPACITY / 2.0] {
        let (in_time_for, objective) = (ms(130), ms(300));
        let request = |waited: Duration| Request {
            waited,
            time_limit: ms(10_000),
            service_time: ms(2_500),
            in_time: waited < in_time_for,
        };
        let due = |rate: f64, round: u32| (rate * 0.005 * f64::from(round)) as u32;
        let start = Instant::now();
        let mut throughput = Throughput::default();
        let (mut in_time, mut late) = (VecDeque::new(), VecDeque::new());
        let (mut arrived, mut granted, mut granted_in_time, mut rejected) = (0, 0, 0, 0);
        let mut latest = Duration::ZERO;
        for round in 1..=3_000 {
            let now = start + ms(5) * round;
            let waited = |arrived: &Instant| now - *arrived;
            while in_time.front().is_some_and(|arrived| waited(arrived) >= in_time_for) {
                late.extend(in_time.pop_front());
            }
            while granted < due(CAPACITY, round) && !(in_time.is_empty() && late.is_empty()) {
                granted += 1;
                throughput.record_grant(1.0, now);
                if in_time.is_empty() || granted % 8 == 0 && !late.is_empty() {
                    late.pop_front();
                } else {
                    in_time.pop_front();
                    granted_in_time += 1;
                }
            }
            throughput.set_backlogged(true, now);
            let tiers = |throughput: &Throughput, ahead_in_time: usize, ahead_late: usize| Tiers {
                rate: throughput.rate(model_rate, now),
                in_time_arrivals: throughput.in_time_arrivals(now),
                ahead_in_time: ahead_in_time as f64,
                ahead_late: ahead_late as f64,
            };
            let queued = std::mem::take(&mut late);
            for (ahead, arrived) in queued.into_iter().enumerate() {
                let wait = tiers(&throughput, in_time.len(), ahead).wait(false);
                if admission::decide(&request(waited(&arrived)), wait).is_ok() {
                    late.push_back(arrived);
                } else {
                    latest = latest.max(waited(&arrived));
                }
            }
            while arrived < due(DEMAND, round) {
                arrived += 1;
                throughput.record_arrival(1.0, true, now);
                let wait = tiers(&throughput, in_time.len(), late.len()).wait_within(in_time_for);
                match admission::decide_new(&request(Duration::ZERO), wait) {
                    Ok(()) => in_time.push_back(now),
                    Err(Overloaded { .. }) => rejected += 1,
                }
            }
        }
        assert!(latest <= objective / 4, "rejected after {latest:?} in the queue");
        assert!(granted >= due(CAPACITY, 3_000) - 1, "{granted} granted");
        assert_near(
            f64::from(granted_in_time) / f64::from(granted),
            1.0 - forecast::LATE_SHARE,
            0.02,
        );
        assert_eq!(arrived - granted - rejected, (in_time.len() + late.len()) as u32);
    }
}

proptest! {
    /// Guards against a rate or a wait that is not a number, zero, or too long for a reply, whatever
    /// the calls.
    #[test]
    fn rates_and_waits_are_plausible_after_any_calls(
        calls in prop::collection::vec((0..3, any::<f64>(), 0..4_000u64, any::<bool>()), 0..200),
        model in any::<f64>(),
        ahead in any::<(f64, f64)>(),
    ) {
        let mut now = Instant::now();
        let mut throughput = Throughput::default();
        for (call, work, time, flag) in calls {
            match call {
                0 => throughput.record_grant(work, now),
                1 => throughput.record_arrival(work, flag, now),
                _ => throughput.set_backlogged(flag, now),
            }
            now += ms(time / 20);
        }
        let rate = throughput.rate(model, now);
        prop_assert!(rate.is_finite() && rate > 0.0, "{rate}");
        let in_time_arrivals = throughput.in_time_arrivals(now);
        let tiers = Tiers { rate, in_time_arrivals, ahead_in_time: ahead.0, ahead_late: ahead.1 };
        for wait in [tiers.wait(true), tiers.wait(false), tiers.wait_within(ms(130))] {
            prop_assert!(wait <= Duration::from_secs(3_600), "{wait:?}");
        }
        prop_assert!(tiers.earliest() <= tiers.wait(false), "{tiers:?}");
    }
}

/// Guards against requests of VMs of the previous release, which send no time limit, being rejected
/// by a forecast, and against an overflow of the times.
#[test]
fn a_request_is_rejected_exactly_if_its_response_would_end_after_its_time_limit() {
    let request = Request {
        waited: ms(500),
        time_limit: ms(10_000),
        service_time: ms(2_500),
        in_time: false,
    };
    assert_eq!(admission::decide(&request, ms(7_000)), Ok(()));
    let wait = ms(7_001);
    assert_eq!(admission::decide(&request, wait), Err(Overloaded { wait }));
    assert_eq!(admission::decide_new(&request, ms(5_250)), Ok(()));
    let wait = ms(5_251);
    assert_eq!(admission::decide_new(&request, wait), Err(Overloaded { wait }), "margin");
    let unlimited = Request { time_limit: Duration::MAX, ..request };
    assert_eq!(admission::decide(&unlimited, Duration::MAX), Ok(()));
    assert_eq!(admission::decide_new(&unlimited, Duration::MAX), Ok(()));
}

/// Guards against a model rate that is far from what the engines of load pattern A do: 216 short
/// prompts a second on 540 slots.
#[test]
fn the_engine_model_gives_the_rate_before_there_are_grants() {
    let engine = Engine {
        slots: 12,
        memory: Tokens(197_200),
        step_ms: 1.02,
        per_request_ms: 0.00226,
        per_context_ms: 0.00431,
        prefill_tokens_per_ms: 206.0,
        ms_per_million_pairs: 0.138,
        stride: 57,
        chunk: 2_048,
        mean_answer: Tokens(32 * 57),
    };
    let rate = forecast::short_model_rate(&engine, 540.0, Tokens(5_000));
    assert_near(rate, CAPACITY, 0.25);
    assert_eq!(forecast::long_model_rate(45.0), 45_000.0);
    // Its memory, not its slots, limits how many middle prompts an engine runs.
    let middle = forecast::short_model_rate(&engine, 540.0, Tokens(45_000));
    assert!(middle < rate / 2.0, "{middle}");
}

/// Guards against an error of the forecast that is recorded with the wrong sign.
#[test]
fn a_start_before_the_forecast_is_early() {
    let error = Error { kind: Kind::Long, forecast: ms(300), actual: ms(200) };
    assert!(!error.is_late());
    assert_eq!((error.difference(), error.kind.to_string()), (ms(100), "long".to_owned()));
    assert!(Error { actual: ms(301), ..error }.is_late());
}

/// Guards against a forecast that expects slots to become free as under a steady load although nearly all requests have
/// just begun, as in the seconds after a sudden rise of the traffic.
#[test]
fn departures_follow_the_grants_of_a_residence_time_before() {
    let start = Instant::now();
    let residence = Duration::from_millis(2_400);
    let mut departures = Departures::default();
    let at = |ms: u64| start + Duration::from_millis(ms);
    // 50 grants a second for three seconds, then 200.
    (0..150).for_each(|number| departures.record_grant(at(number * 20)));
    assert_eq!(departures.rate(residence, at(2_000)), None, "shorter than the residence time");
    (0..600).for_each(|number| departures.record_grant(at(3_000 + number * 5)));
    let rate = |ms| departures.rate(residence, at(ms)).unwrap();
    assert!((45.0..60.0).contains(&rate(4_000)), "{}", rate(4_000));
    assert!((190.0..230.0).contains(&rate(6_000)), "{}", rate(6_000));
    assert_eq!(departures.rate(Duration::MAX, at(6_000)), None);
}

/// Guards against forecasts of tens of seconds, and rejections by them, during a silence of the engines and after it: nothing
/// was granted in that time, so nothing seemed to end a residence time later.
#[test]
fn departures_go_on_after_engines_stood_still() {
    for residence in [600, 2_400] {
        let start = Instant::now();
        let mut departures = Departures::default();
        // 50 grants a second, but none from 4.0 to 5.2 s.
        let is_silent = |at: u64| (4_000..5_200).contains(&at);
        for at in (0..10_000).step_by(20) {
            if !is_silent(at) {
                departures.record_grant(start + ms(at));
            }
            if at >= residence + 100 {
                let rate = departures.rate(ms(residence), start + ms(at)).unwrap();
                assert!((20.0..100.0).contains(&rate), "{rate} at {at} ms, {residence} ms");
            }
        }
    }
}
