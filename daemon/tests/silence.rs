//! Guards against answers that end because their engine sent nothing for a while.
//!
//! Load pattern: sound engines send nothing for 2.5 s, longer than any timeout of an attempt, and then go on. Bound: each
//! answer is complete, and the caller waits for no longer than its deadline; an engine that never goes on is replaced
//! within the 2 s after which another one is asked for, and the time that this one needs to begin.

mod common;

use std::time::{Duration, Instant};

use common::{assert_complete, paid_plan, plan, prompt, send, streamed_request};
use foldlock_version::policy::Policy;
use foldlockd::attempt;
use foldlockd::serve::Progress;
use serde_json::json;
use standin::client::{Answer, Request};
use standin::fault::{Fault, Kind};
use standin::fleet::{Fleet, Plan, wait_for};

/// A pause of a sound engine.
const PAUSE: Kind = Kind::Stall(2_500);

/// Tolerance for late events on a busy CI machine.
const SLACK: Duration = Duration::from_secs(2);

/// Injects a fault into the next streams of all engines.
fn inject(fleet: &Fleet, kind: Kind, at: u64, count: u32) {
    for engine in &fleet.engines {
        engine.engine.add_fault(Fault { kind, at, count });
    }
}

fn runs(fleet: &Fleet) -> u32 {
    fleet.runs().values().sum()
}

async fn assert_memory_free(fleet: &Fleet) {
    wait_for("memory to be free", async || fleet.memory_used() == 0).await;
}

/// Sends a request while all engines have the same fault; the answer must be complete and come from one run.
async fn assert_waits(plan: Plan, request: &Request, kind: Kind, at: u64) {
    let fleet = Fleet::start(plan).await;
    inject(&fleet, kind, at, 9);
    assert_complete(&send(&fleet, 0, request).await, request);
    assert_eq!(runs(&fleet), 1);
    assert_memory_free(&fleet).await;
}

fn with_policy(policy: serde_json::Value) -> Plan {
    Plan { policy, ..plan() }
}

/// Guards against a cut where no retry is left.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_without_retries_goes_on() {
    let request = streamed_request(prompt(100), 30);
    assert_waits(with_policy(json!({ "retries": 0 })), &request, PAUSE, 6).await;
}

/// Guards against a cut where the retry budget is exhausted.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_without_a_retry_budget_goes_on() {
    let request = streamed_request(prompt(100), 30);
    assert_waits(with_policy(json!({ "retry_budget_percent": 0 })), &request, PAUSE, 6).await;
}

/// Guards against a cut of a request that must not be repeated: it runs once, and its answer is whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_that_must_not_be_repeated_goes_on() {
    let request = Request {
        kind: Some("paid".to_owned()),
        idempotency_key: Some("k".to_owned()),
        ..streamed_request(prompt(100), 30)
    };
    for at in [0, 6] {
        assert_waits(paid_plan(), &request, PAUSE, at).await;
    }
}

/// Guards against a cut of an answer that may not be resumed, streamed or not.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_answer_that_may_not_be_resumed_goes_on() {
    for stream in [true, false] {
        let request = Request { stream, ..streamed_request(prompt(100), 30) };
        assert_waits(with_policy(json!({ "resume": false })), &request, PAUSE, 6).await;
    }
}

/// Guards against an attempt that ends before the first token although no retry is granted.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_first_token_is_late_goes_on_without_a_retry_budget() {
    let request = streamed_request(prompt(100), 30);
    for kind in [PAUSE, Kind::DelayResponse(2_500)] {
        let plan = with_policy(json!({ "retry_budget_percent": 0 }));
        assert_waits(plan, &request, kind, 0).await;
    }
}

/// Sends a request to a fleet whose engines have a fault, and calls `then` once one of them has begun to run it; gets the
/// other engines.
async fn send_with(
    fleet: &Fleet,
    request: &Request,
    then: impl AsyncFn(&[&standin::engine_http::Serving]),
) -> Answer {
    let started = async {
        let runs = |e: &standin::engine_http::Serving| !e.engine.stats().runs.is_empty();
        wait_for("the request to run", async || fleet.engines.iter().any(runs)).await;
        let others: Vec<_> = fleet.engines.iter().filter(|e| !runs(e)).collect();
        others.iter().for_each(|e| e.engine.clear_faults());
        then(&others).await;
    };
    tokio::join!(send(fleet, 0, request), started).0
}

/// Guards against an attempt that ends before the engine that replaces it has accepted the request.
#[tokio::test(flavor = "multi_thread")]
async fn an_attempt_goes_on_if_the_engines_asked_meanwhile_reject_the_request() {
    for (kind, at) in [(PAUSE, 0), (Kind::DelayResponse(2_500), 0), (PAUSE, 6)] {
        let fleet = Fleet::start(plan()).await;
        inject(&fleet, kind, at, 1);
        let request = streamed_request(prompt(100), 30);
        let answer = send_with(&fleet, &request, async |others| {
            for other in others {
                other.engine.add_fault(Fault { kind: Kind::Refuse, at: 0, count: 9 });
            }
        })
        .await;
        assert_complete(&answer, &request);
        assert_memory_free(&fleet).await;
    }
}

/// Guards against a second attempt that keeps its memory once the silent engine goes on.
#[tokio::test(flavor = "multi_thread")]
async fn the_attempt_that_sends_first_goes_on_and_the_other_is_cancelled() {
    // An abandoned stream would be kept for 20 s.
    let fleet = Fleet::start(with_policy(json!({ "resume_window_ms": 20_000 }))).await;
    inject(&fleet, PAUSE, 6, 1);
    let request = streamed_request(prompt(100), 30);
    let answer = send_with(&fleet, &request, async |others| {
        for other in others {
            other.engine.add_fault(Fault { kind: Kind::Freeze, at: 0, count: 9 });
        }
    })
    .await;
    assert_complete(&answer, &request);
    assert!(runs(&fleet) > 1, "no other engine was asked");
    let ended = Instant::now();
    assert_memory_free(&fleet).await;
    assert!(ended.elapsed() < SLACK, "{:?}", ended.elapsed());
}

/// Guards against a cancelled attempt that keeps its memory since its response had not begun.
#[tokio::test(flavor = "multi_thread")]
async fn an_attempt_without_a_response_head_is_cancelled_once_it_has_one() {
    // An abandoned stream would be kept for 20 s.
    let mut plan = with_policy(json!({ "resume_window_ms": 20_000 }));
    // Slow enough to be still at work after the other engine has ended.
    plan.engine.speed = 0.1;
    let fleet = Fleet::start(plan).await;
    inject(&fleet, Kind::DelayResponse(2_500), 0, 1);
    let request = streamed_request(prompt(100), 200);
    let answer = send_with(&fleet, &request, async |others| {
        others.iter().for_each(|e| e.engine.set_speed(10.0));
    })
    .await;
    assert_complete(&answer, &request);
    let ended = Instant::now();
    assert_memory_free(&fleet).await;
    assert!(ended.elapsed() < Duration::from_millis(2_500) + SLACK, "{:?}", ended.elapsed());
}

/// Guards against a later replacement of dead engines, also if the first engine that is asked is silent as well.
#[tokio::test(flavor = "multi_thread")]
async fn engines_that_never_go_on_are_replaced() {
    for at in [0, 6] {
        let fleet = Fleet::start(plan()).await;
        inject(&fleet, Kind::Freeze, at, 1);
        let request = streamed_request(prompt(100), 30);
        let answer = send_with(&fleet, &request, async |others| {
            others[0].engine.add_fault(Fault { kind: Kind::Freeze, at: 0, count: 9 });
        })
        .await;
        assert_complete(&answer, &request);
        // 2 s or 0.75 s, and another 0.75 s for an engine that does not begin.
        let pause = answer.longest_gap.max(answer.first_token.unwrap_or_default());
        assert!(pause < Duration::from_millis(2_750) + SLACK, "{answer:?}");
        assert!(runs(&fleet) <= 3, "more than the two retries of the settings");
        assert_memory_free(&fleet).await;
    }
}

/// Guards against a cut of the answer of a group of engines.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_stream_of_a_group_goes_on() {
    let mut plan = plan();
    plan.engine.memory = 8_000;
    plan.engine.speed = 50.0;
    let request = streamed_request(prompt(18_000), 20);
    for retries in [0, 2] {
        let policy = json!({ "retries": retries });
        let fleet = Fleet::start(Plan { engines: 12, policy, ..plan.clone() }).await;
        inject(&fleet, PAUSE, 6, 99);
        assert_complete(&send(&fleet, 0, &request).await, &request);
        assert_memory_free(&fleet).await;
    }
}

/// Guards against a wait to the deadline where only the connection to the only engine hangs.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_hangs_at_the_only_engine_is_resumed_there() {
    let fleet = Fleet::start(Plan { engines: 1, ..plan() }).await;
    inject(&fleet, Kind::Freeze, 6, 1);
    let request = streamed_request(prompt(100), 30);
    assert_complete(&send(&fleet, 0, &request).await, &request);
    assert_eq!(runs(&fleet), 2);
    assert_memory_free(&fleet).await;
}

/// Guards against reservations of a group that expire since renewals waited for silent engines, or were given up.
#[tokio::test(flavor = "multi_thread")]
async fn the_reservations_of_a_group_outlast_a_silence_of_its_engines() {
    let mut plan = plan();
    plan.engine.memory = 8_000;
    // A segment is read in 0.8 s, so that six of them take longer than the silence and the time to expiry of 3 s.
    plan.engine.speed = 0.5;
    let fleet = Fleet::start(Plan { engines: 18, policy: json!({ "retries": 0 }), ..plan }).await;
    let reserved = || fleet.engines.iter().filter(|e| e.engine.stats().reserved > 0).count();
    let request = streamed_request(prompt(40_000), 5);
    let silence = async {
        wait_for("a group to be reserved", async || reserved() >= 6).await;
        fleet.engines.iter().for_each(|e| e.engine.pause(Duration::from_millis(2_500)));
        let paused = Instant::now();
        while paused.elapsed() < Duration::from_millis(3_500) {
            assert!(reserved() >= 6, "{} left after {:?}", reserved(), paused.elapsed());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let (answer, ()) = tokio::join!(send(&fleet, 0, &request), silence);
    assert_complete(&answer, &request);
    assert_memory_free(&fleet).await;
}

/// Guards against a second attempt that the settings do not allow.
#[test]
fn another_attempt_needs_settings_that_allow_it() {
    let allowed = |policy: &Policy, attempts, tokens| {
        let mut progress = Progress::default();
        (progress.attempts, progress.tokens) = (attempts, tokens);
        attempt::may_repeat(policy, &progress, false)
    };
    let policy = Policy { retries: 1, ..Policy::default() };
    assert!(allowed(&policy, 1, 0) && allowed(&policy, 1, 5) && !allowed(&policy, 2, 0));
    let no_resume = Policy { resume: false, ..policy.clone() };
    assert!(allowed(&no_resume, 1, 0) && !allowed(&no_resume, 1, 5));
    let once = Policy { repeatable: false, ..policy };
    assert!(!allowed(&once, 1, 0) && !allowed(&once, 1, 5));
}
