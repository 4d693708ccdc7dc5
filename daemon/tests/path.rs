//! End-to-end requests through real processes.

mod common;

use common::{assert_complete, plan, prompt, send, streamed_request};
use expect_test::expect;
use foldlock_connection::http::body;
use hyper::Request;
use standin::client;
use standin::fleet::{Fleet, Plan, wait_for};

#[tokio::test(flavor = "multi_thread")]
async fn each_vm_serves_streaming_and_complete_responses() {
    let fleet = Fleet::start(plan()).await;
    for vm in 0..3 {
        for stream in [true, false] {
            let request = client::Request { stream, ..streamed_request(prompt(300 + vm), 12) };
            let answer = send(&fleet, vm, &request).await;
            assert_complete(&answer, &request);
            assert!(answer.request.starts_with(&format!("vm-{vm}-")), "{answer:?}");
        }
    }
    assert_eq!(fleet.runs().values().sum::<u32>(), 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_too_long_for_one_engine_is_served_by_a_group() {
    let mut plan = plan();
    plan.engine.memory = 8_000;
    plan.engine.speed = 50.0;
    let fleet = Fleet::start(Plan { engines: 12, ..plan }).await;
    let request = streamed_request(prompt(18_000), 20);
    let answer = send(&fleet, 0, &request).await;
    assert_complete(&answer, &request);
    wait_for("memory to be free", async || fleet.memory_used() == 0).await;
    let why = fleet.get_control(&fleet.vms[0], &format!("/why/{}", answer.request)).await;
    let why = String::from_utf8(why.expect("a record")).unwrap();
    assert!(why.contains("\"decision\":\"held\""), "{why}");
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_groups_all_complete_and_free_their_memory() {
    let mut plan = plan();
    plan.engine.memory = 8_000;
    plan.engine.speed = 100.0;
    let fleet = Fleet::start(Plan { engines: 12, ..plan }).await;
    let requests: Vec<client::Request> =
        (0..9).map(|i| streamed_request(prompt(15_000 + i), 5)).collect();
    let sent = requests.iter().enumerate().map(|(i, request)| send(&fleet, i % 3, request));
    for (answer, request) in futures::future::join_all(sent).await.iter().zip(&requests) {
        assert_complete(answer, request);
    }
    wait_for("memory to be free", async || fleet.memory_used() == 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idle_fleet_places_a_long_prompt_at_once() {
    let mut plan = plan();
    plan.engine.speed = 100.0;
    // The VM itself is the home of the shard that its prompt is sent to.
    let fleet = Fleet::start(Plan { vms: 1, engines: 1, ..plan }).await;
    // Well above the usual time, and below the time after which a home gives up its search.
    let timeout = Some(std::time::Duration::from_millis(1_800));
    let request = client::Request { timeout, ..streamed_request(prompt(20_000), 3) };
    assert_complete(&send(&fleet, 0, &request).await, &request);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_call_is_forwarded() {
    let fleet = Fleet::start(plan()).await;
    let request = Request::get(format!("http://{}/registry/tags", fleet.vms[1].listen))
        .header("authorization", "Bearer key-1")
        .body(body(""))
        .unwrap();
    let answer = fleet.client.call(request, std::time::Duration::from_secs(5)).await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.body().as_ref(), b"/registry/tags run 1\n");
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_get_a_clear_error_and_do_not_run() {
    let fleet = Fleet::start(plan()).await;
    let long =
        format!("{{\"model\":\"base\",\"prompt\":\"{}\",\"max_tokens\":1}}", prompt(1_700_000));
    let cases: [(&str, &str, &str, &str); 9] = [
        ("POST", "/v1/completions", "Bearer key-0", "{"),
        ("POST", "/v1/completions", "Bearer key-0", r#"{"model":"base","prompt":""}"#),
        ("POST", "/v1/completions", "Bearer key-0", r#"{"model":"bass","prompt":"x"}"#),
        (
            "POST",
            "/v1/completions",
            "Bearer key-0",
            r#"{"model":"base","prompt":"x","max_tokens":0}"#,
        ),
        ("POST", "/v1/completions", "Bearer wrong", r#"{"model":"base","prompt":"x"}"#),
        ("POST", "/v1/completions", "Basic key-0", r#"{"model":"base","prompt":"x"}"#),
        ("GET", "/v1/completions", "Bearer key-0", ""),
        ("POST", "/v1/nothing", "Bearer key-0", ""),
        ("POST", "/v1/completions", "Bearer key-0", &long),
    ];
    let mut seen = String::new();
    for (method, path, authorization, text) in cases {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", fleet.vms[0].listen))
            .header("authorization", authorization)
            .body(body(text.to_owned()))
            .unwrap();
        let wait = std::time::Duration::from_secs(10);
        let answer = fleet.client.call(request, wait).await.unwrap();
        let value: serde_json::Value = serde_json::from_slice(answer.body()).unwrap();
        let error = &value["error"];
        let status = answer.status().as_u16();
        let kind = error["kind"].as_str().unwrap();
        let message = error["message"].as_str().unwrap();
        seen.push_str(&format!("{status} {kind}, ran {}: {message}\n", error["ran"]));
    }
    expect![[r#"
        400 bad_request, ran "no": the body cannot be read: EOF while parsing an object at line 1 column 1
        400 bad_request, ran "no": the prompt is empty
        404 unknown_model, ran "no": there is no model `bass`; did you mean `base`?
        400 bad_request, ran "no": `max_tokens` must be at least 1
        401 unauthorized, ran "no": no organisation has this key
        401 unauthorized, ran "no": `Authorization: Bearer KEY` is needed
        405 method_not_allowed, ran "no": a completion is asked for by POST
        404 not_found, ran "no": there is no /v1/nothing
        413 prompt_too_long, ran "no": 1700001 tokens of prompt and answer; all engines together hold 1600000
    "#]]
    .assert_eq(&seen);
    assert!(fleet.runs().is_empty());
}
