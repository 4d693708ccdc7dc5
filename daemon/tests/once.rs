//! A request that must not be retried runs at most once, and one reported as not run did not run.

mod common;

use std::time::Duration;

use common::{paid_plan, prompt, send, streamed_request};
use foldlock_connection::http::body;
use hyper::Request;
use nix::sys::signal::Signal;
use standin::client;
use standin::fault::{Fault, Kind};
use standin::fleet::{Fleet, wait_for};

/// Calls a plain service with an idempotency key; its servers count the runs by key.
async fn pull(fleet: &Fleet, vm: usize, key: &str) -> (u16, String) {
    let request = Request::post(format!("http://{}/registry/pulls", fleet.vms[vm].listen))
        .header("authorization", "Bearer key-0")
        .header("idempotency-key", key)
        .header("x-request-timeout-ms", "4000")
        .body(body("x"))
        .unwrap();
    match fleet.client.call(request, Duration::from_secs(8)).await {
        Ok(answer) => {
            let ran = answer.headers().get("x-ran").and_then(|v| v.to_str().ok());
            (answer.status().as_u16(), ran.unwrap_or("yes").to_owned())
        }
        Err(_) => (0, "unknown".to_owned()),
    }
}

/// How many times a key ran, over all servers.
fn runs(fleet: &Fleet, key: &str) -> u32 {
    fleet.plains.iter().filter_map(|p| p.plain.stats().by_key.get(key).copied()).sum()
}

fn paid_request(key: &str) -> client::Request {
    client::Request {
        kind: Some("paid".to_owned()),
        idempotency_key: Some(key.to_owned()),
        ..streamed_request(prompt(50), 5)
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls_with_one_key_on_all_vms_run_once() {
    let fleet = Fleet::start(paid_plan()).await;
    let before = fleet.kv.kv.stats().writes;
    for round in 0..20 {
        let key = format!("k{round}");
        let calls = (0..6).map(|i| pull(&fleet, i % 3, &key));
        let answers = futures::future::join_all(calls).await;
        let won = answers.iter().filter(|(status, _)| *status == 200).count();
        assert_eq!(won, 1, "{answers:?}");
        assert!(answers.iter().all(|(status, _)| [200, 409].contains(status)), "{answers:?}");
        assert_eq!(runs(&fleet, &key), 1);
    }
    println!("120 claims of 20 keys: {} KV writes", fleet.kv.kv.stats().writes - before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paid_job_runs_once_and_its_retry_is_rejected_as_run() {
    let fleet = Fleet::start(paid_plan()).await;
    let request = paid_request("book");
    common::assert_complete(&send(&fleet, 0, &request).await, &request);
    wait_for("the outcome to be written", async || {
        let again = send(&fleet, 1, &request).await;
        assert_eq!(again.kind.as_deref(), Some("already_claimed"));
        again.ran.as_deref() == Some("yes")
    })
    .await;
    assert_eq!(fleet.runs().values().sum::<u32>(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_response_is_lost_is_resolved() {
    let fleet = Fleet::start(paid_plan()).await;
    fleet.kv.kv.adjust(|s| s.lose_each = 3);
    for round in 0..9 {
        let key = format!("k{round}");
        let calls = (0..3).map(|i| pull(&fleet, i, &key));
        let answers = futures::future::join_all(calls).await;
        assert!(runs(&fleet, &key) <= 1);
        assert!(answers.iter().any(|(status, _)| *status == 200), "{answers:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_are_rejected_and_do_not_run_while_the_store_is_down() {
    let fleet = Fleet::start(paid_plan()).await;
    fleet.kv.kv.adjust(|s| s.down = true);
    let (status, ran) = pull(&fleet, 0, "k").await;
    assert_eq!((status, ran.as_str()), (503, "no"));
    assert_eq!(runs(&fleet, "k"), 0);
    fleet.kv.kv.adjust(|s| s.down = false);
    wait_for("the key to be free again", async || pull(&fleet, 1, "k").await.0 == 200).await;
    assert_eq!(runs(&fleet, "k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_and_resumed_claims_writer_does_not_break_claims() {
    let fleet = Fleet::start(paid_plan()).await;
    assert_eq!(pull(&fleet, 0, "before").await.0, 200);
    let dump = fleet.dump(&fleet.vms[0]).await.unwrap();
    let writer = dump["claims_writer"].as_str().unwrap().to_owned();
    let frozen = fleet.vms.iter().position(|vm| vm.name == writer).unwrap();
    let others: Vec<usize> = (0..3).filter(|i| *i != frozen).collect();
    fleet.vms[frozen].signal(Signal::SIGSTOP);
    for round in 0..6 {
        let key = format!("while-{round}");
        wait_for("a claim", async || pull(&fleet, others[round % 2], &key).await.0 != 503).await;
        assert!(runs(&fleet, &key) <= 1);
    }
    fleet.vms[frozen].signal(Signal::SIGCONT);
    for round in 0..6 {
        let again = pull(&fleet, frozen, &format!("while-{round}")).await;
        assert_eq!(again.0, 409, "{again:?}");
    }
    let (fresh, same) =
        tokio::join!(pull(&fleet, frozen, "after"), pull(&fleet, others[0], "after"));
    assert!(fresh.0 == 200 || same.0 == 200, "{fresh:?} {same:?}");
    assert_eq!(runs(&fleet, "after"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_response_leaves_the_key_claimed() {
    let fleet = Fleet::start(paid_plan()).await;
    for plain in &fleet.plains {
        plain.plain.adjust(|s| s.lose_answers = 1);
    }
    let (status, ran) = pull(&fleet, 0, "k").await;
    assert_eq!((status, ran.as_str()), (504, "unknown"));
    let (status, ran) = pull(&fleet, 1, "k").await;
    assert_eq!((status, ran.as_str()), (409, "unknown"));
    assert_eq!(runs(&fleet, "k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_job_did_not_run_and_frees_its_key() {
    let fleet = Fleet::start(paid_plan()).await;
    for engine in &fleet.engines {
        engine.engine.add_fault(Fault { kind: Kind::Refuse, at: 0, count: 3 });
    }
    let request = paid_request("k");
    let refused = send(&fleet, 0, &request).await;
    assert_eq!(refused.ran.as_deref(), Some("no"), "{refused:?}");
    assert!(fleet.runs().is_empty());
    wait_for("the job to run", async || send(&fleet, 1, &request).await.status == 200).await;
    assert_eq!(fleet.runs().values().sum::<u32>(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_engine_response_is_never_reported_as_not_run() {
    let fleet = Fleet::start(paid_plan()).await;
    for engine in &fleet.engines {
        engine.engine.add_fault(Fault { kind: Kind::LoseResponse, at: 0, count: 1 });
    }
    let answer = send(&fleet, 0, &paid_request("k")).await;
    assert_eq!(answer.ran.as_deref(), Some("unknown"), "{answer:?}");
    assert_eq!(fleet.runs().values().sum::<u32>(), 1);
}
