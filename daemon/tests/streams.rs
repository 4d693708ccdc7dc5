//! Each caller receives the complete answer to its own request despite faults of engines and VMs.

mod common;

use common::{assert_complete, paid_plan, plan, prompt, send, streamed_request};
use foldlock_request::cursor::{Cursor, Key};
use serde_json::json;
use standin::client::{self, Request};
use standin::fault::{Fault, Kind};
use standin::fleet::{Fleet, Plan, wait_for};

async fn assert_complete_despite(kind: Kind, at: u64) {
    // One request may hit the fault on each engine in turn.
    let policy = json!({ "retries": 4, "retry_budget_percent": 100 });
    let fleet = Fleet::start(Plan { policy, ..plan() }).await;
    // A VM that has had one request may retry it a fourth time only while its weight in the budget, which
    // decays, is at least the decayed weight of one retry: not after a slow first attempt (F-52).
    for vm in 0..fleet.vms.len() {
        let request = streamed_request(prompt(100), 30);
        assert_complete(&send(&fleet, vm, &request).await, &request);
    }
    for engine in &fleet.engines {
        engine.engine.add_fault(Fault { kind, at, count: 1 });
    }
    for i in 0..4 {
        let request = streamed_request(prompt(200 + i), 30);
        let answer = send(&fleet, i % 3, &request).await;
        assert_complete(&answer, &request);
    }
    wait_for("memory to be free", async || fleet.memory_used() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_answer_is_resumed_on_another_engine() {
    assert_complete_despite(Kind::Disconnect, 9).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_event_of_another_request_never_reaches_the_caller() {
    assert_complete_despite(Kind::WrongRequest, 5).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_duplicate_event_is_dropped() {
    assert_complete_despite(Kind::Duplicate, 5).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_missing_event_is_recovered() {
    assert_complete_despite(Kind::Skip, 7).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn out_of_order_events_are_not_forwarded() {
    assert_complete_despite(Kind::Reorder, 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_freezes_during_the_answer_is_replaced() {
    assert_complete_despite(Kind::Freeze, 6).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_freezes_before_the_first_token_is_replaced() {
    assert_complete_despite(Kind::Freeze, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_crashes_during_the_answer_is_replaced_without_a_gap() {
    let mut plan = plan();
    plan.engine.speed = 1.0;
    let mut fleet = Fleet::start(plan).await;
    let request = streamed_request(prompt(100), 200);
    let listen = fleet.vms[0].listen;
    let (client, sent) = (fleet.client.clone(), request.clone());
    let answer = tokio::spawn(async move { client::send(&client, listen, &sent).await });
    wait_for("the answer to begin", async || {
        fleet.engines.iter().any(|e| e.engine.stats().streams > 0)
    })
    .await;
    let serving = fleet.engines.iter().position(|e| e.engine.stats().streams > 0).unwrap();
    drop(fleet.engines.remove(serving));
    assert_complete(&answer.await.unwrap(), &request);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_must_not_be_retried_is_not_resumed_on_another_engine() {
    let fleet = Fleet::start(paid_plan()).await;
    for engine in &fleet.engines {
        engine.engine.add_fault(Fault { kind: Kind::Disconnect, at: 3, count: 9 });
    }
    let request = Request { kind: Some("paid".to_owned()), ..streamed_request(prompt(100), 30) };
    let answer = send(&fleet, 0, &request).await;
    assert!(!answer.complete);
    assert_eq!(answer.kind.as_deref(), Some("upstream_failed"));
    assert_eq!(answer.ran.as_deref(), Some("yes"));
    assert_eq!(fleet.runs().values().sum::<u32>(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_whose_vm_crashed_resumes_through_another_one() {
    let mut plan = plan();
    plan.engine.speed = 1.0;
    let mut fleet = Fleet::start(Plan { engines: 2, ..plan }).await;
    let request = streamed_request(prompt(100), 150);
    let listen = fleet.vms[0].listen;
    let (client, sent) = (fleet.client.clone(), request.clone());
    let cut = tokio::spawn(async move { client::send(&client, listen, &sent).await });
    wait_for("a token", async || {
        fleet.engines.iter().any(|e| e.engine.stats().streams > 0 && e.engine.stats().idle_ms > 100)
    })
    .await;
    fleet.vms[0].kill();
    let cut = cut.await.unwrap();
    assert!(!cut.complete);
    let cursor = cut.cursor.expect("some tokens were received");
    let rest = client::resume(&fleet.client, fleet.vms[1].listen, "key-0", &cursor).await;
    assert!(rest.complete, "{rest:?}");
    let whole = standin::answer::generate(request.prompt.as_bytes(), request.max_tokens);
    assert_eq!(cut.text + &rest.text, whole);
    assert_eq!(fleet.runs().values().sum::<u32>(), 1, "no part was generated again");
    let other = client::resume(&fleet.client, fleet.vms[1].listen, "key-1", &cursor).await;
    assert_eq!(other.kind.as_deref(), Some("unauthorized"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_forged_cursor_is_rejected() {
    let fleet = Fleet::start(plan()).await;
    let forged = Cursor {
        engine: "engine-0".parse().unwrap(),
        stream: "1.1".to_owned(),
        request: "vm-0-1-1".parse().unwrap(),
        organisation: "org-0".parse().unwrap(),
        index: 3,
    };
    let text = forged.sign(&Key::new("another secret"));
    let answer = client::resume(&fleet.client, fleet.vms[0].listen, "key-0", &text).await;
    assert_eq!(answer.kind.as_deref(), Some("bad_request"));
    let text = forged.sign(&Key::new("secret"));
    let answer = client::resume(&fleet.client, fleet.vms[0].listen, "key-0", &text).await;
    assert_eq!(answer.kind.as_deref(), Some("stream_gone"));
}
