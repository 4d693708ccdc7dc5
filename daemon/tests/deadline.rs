//! Each admitted request ends by its deadline and frees the engine memory that it used.

mod common;

use std::time::Duration;

use common::{plan, prompt, send, streamed_request};
use nix::sys::signal::Signal;
use serde_json::json;
use standin::client::{self, Request};
use standin::fault::{Fault, Kind};
use standin::fleet::{Fleet, Plan, wait_for};

/// Tolerance for late responses on a busy CI machine. Latency itself is measured by the load tool.
const SLACK: Duration = Duration::from_secs(2);

async fn assert_deadline_with_frozen_engines(at: u64, resume: bool) {
    let policy = json!({ "retries": 0, "resume": resume });
    let fleet = Fleet::start(Plan { policy, ..plan() }).await;
    for engine in &fleet.engines {
        engine.engine.add_fault(Fault { kind: Kind::Freeze, at, count: 99 });
    }
    let timeout = Duration::from_millis(600);
    let request = Request { timeout: Some(timeout), ..streamed_request(prompt(100), 500) };
    let responses = (0..12).map(|i| send(&fleet, i % 3, &request));
    for answer in futures::future::join_all(responses).await {
        assert!(!answer.complete);
        assert_eq!(answer.kind.as_deref(), Some("deadline_exceeded"), "{answer:?}");
        assert!(answer.total >= timeout, "{answer:?}");
        assert!(answer.total < timeout + SLACK, "{answer:?}");
    }
    wait_for("memory to be free", async || fleet.memory_used() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_ends_at_its_deadline_if_engines_freeze_before_the_first_token() {
    assert_deadline_with_frozen_engines(0, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_ends_at_its_deadline_if_engines_freeze_during_the_answer() {
    assert_deadline_with_frozen_engines(5, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_freed_when_the_caller_disconnects() {
    let policy = json!({ "resume_window_ms": 0 });
    let mut plan = plan();
    plan.engine.speed = 0.5;
    let fleet = Fleet::start(Plan { policy, ..plan }).await;
    for stream in [true, false] {
        let request = Request { stream, ..streamed_request(prompt(100), 5_000) };
        let listen = fleet.vms[0].listen;
        let client = fleet.client.clone();
        let caller = tokio::spawn(async move { client::send(&client, listen, &request).await });
        wait_for("the request to run", async || fleet.memory_used() > 0).await;
        caller.abort();
        wait_for("memory to be free", async || fleet.memory_used() == 0).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_complete_with_a_frozen_peer_and_the_store_down() {
    let mut fleet = Fleet::start(plan()).await;
    fleet.kv.kv.adjust(|s| s.down = true);
    fleet.vms[2].signal(Signal::SIGSTOP);
    let requests: Vec<Request> = (0..10).map(|i| streamed_request(prompt(100 + i), 10)).collect();
    for (i, request) in requests.iter().enumerate() {
        let answer = send(&fleet, i % 2, request).await;
        common::assert_complete(&answer, request);
    }
    fleet.vms[2].kill();
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_reserved_by_a_group_is_freed_when_its_vm_is_killed() {
    let mut plan = plan();
    plan.engine.memory = 8_000;
    plan.engine.speed = 0.2;
    let mut fleet = Fleet::start(Plan { engines: 12, ..plan }).await;
    for vm in 0..2 {
        let request = streamed_request(prompt(20_000), 20);
        let listen = fleet.vms[vm].listen;
        let client = fleet.client.clone();
        let caller = tokio::spawn(async move { client::send(&client, listen, &request).await });
        wait_for("a group to be reserved", async || {
            fleet.engines.iter().map(|e| e.engine.stats().reserved).sum::<u64>() > 0
        })
        .await;
        fleet.vms[vm].kill();
        assert!(!caller.await.unwrap().complete);
        wait_for("memory to be free", async || fleet.memory_used() == 0).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_cannot_meet_its_deadline_is_rejected_at_once() {
    let fleet = Fleet::start(plan()).await;
    // At the 20 µs per token that the speed model assumes at first, 380,000 tokens take over 7 s.
    let timeout = Duration::from_secs(1);
    let request = Request { timeout: Some(timeout), ..streamed_request(prompt(380_000), 5) };
    let answer = send(&fleet, 0, &request).await;
    assert_eq!(answer.kind.as_deref(), Some("overloaded"), "{answer:?}");
    assert_eq!(answer.ran.as_deref(), Some("no"));
    assert!(answer.retry_after.is_some());
    assert!(fleet.runs().is_empty());
}
