//! An upstream that is leaving gets no new requests, and the graceful shutdown of a VM aborts none.

mod common;

use std::time::{Duration, Instant};

use common::{plan, prompt, send, streamed_request};
use foldlock_connection::vms::{Listed, Listing};
use nix::sys::signal::Signal;
use standin::client::{self, Answer, Request};
use standin::fleet::{Fleet, Plan, wait_for};

/// Sends requests through all VMs. Returns how many of them the engine at `index` began.
async fn begun_requests(fleet: &Fleet, index: usize) -> u64 {
    let before = fleet.engines[index].engine.stats().begun;
    for i in 0..30 {
        let request = streamed_request(prompt(60 + i), 2);
        common::assert_complete(&send(fleet, i % 3, &request).await, &request);
    }
    fleet.engines[index].engine.stats().begun - before
}

async fn assert_no_new_requests(fleet: &Fleet, index: usize) {
    let name = format!("engine-{index}");
    wait_for("each VM to record that the engine is leaving", async || {
        for vm in &fleet.vms {
            let dump = fleet.dump(vm).await.unwrap();
            if dump["engines"][&name]["leaving"] != true {
                return false;
            }
        }
        true
    })
    .await;
    assert_eq!(begun_requests(fleet, index).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_reports_leaving_gets_no_new_requests() {
    let fleet = Fleet::start(plan()).await;
    fleet.engines[1].engine.set_leaving(true);
    assert_no_new_requests(&fleet, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_marks_the_engine_as_leaving_on_all_vms_without_reports_and_store() {
    let mut plan = plan();
    plan.engine.report_lag_ms = 60_000;
    let fleet = Fleet::start(plan).await;
    fleet.kv.kv.adjust(|s| s.down = true);
    fleet.engines[2].engine.set_leaving(true);
    // One VM receives a refusal and retries; the caller does not notice.
    wait_for("a refusal", async || {
        let request = streamed_request(prompt(70), 2);
        common::assert_complete(&send(&fleet, 0, &request).await, &request);
        let dump = fleet.dump(&fleet.vms[0]).await.unwrap();
        dump["engines"]["engine-2"]["leaving"] == true
    })
    .await;
    assert_no_new_requests(&fleet, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_listed_as_leaving_gets_no_new_requests() {
    let mut plan = plan();
    plan.engine.report_lag_ms = 60_000;
    let fleet = Fleet::start(plan).await;
    let mut listing = Listing::default();
    for (i, vm) in fleet.vms.iter().enumerate() {
        listing.vms.push(Listed {
            name: vm.name.clone(),
            address: vm.control.to_string(),
            hall: standin::fleet::HALLS[i].parse().unwrap(),
            leaving: false,
        });
    }
    listing.upstreams.push(Listed {
        name: "engine-0".to_owned(),
        address: String::new(),
        hall: "charguia".parse().unwrap(),
        leaving: true,
    });
    fleet.list.list.set(listing);
    assert_no_new_requests(&fleet, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_is_no_longer_leaving_gets_requests_again() {
    let fleet = Fleet::start(plan()).await;
    fleet.engines[1].engine.set_leaving(true);
    assert_no_new_requests(&fleet, 1).await;
    fleet.engines[1].engine.set_leaving(false);
    wait_for("the engine to get requests", async || begun_requests(&fleet, 1).await > 0).await;
}

/// Sends requests to a VM that is shutting down until it is no longer ready, like a load balancer
/// that has not noticed yet. Each response must be complete.
async fn send_until_not_ready(
    client: foldlock_connection::http::Client,
    vm: (std::net::SocketAddr, std::net::SocketAddr),
) -> Vec<(Answer, Request)> {
    let mut answers = Vec::new();
    loop {
        let ready = hyper::Request::get(format!("http://{}/ready", vm.1))
            .body(foldlock_connection::http::body(""))
            .unwrap();
        let ready = client.call(ready, Duration::from_secs(1)).await;
        if !ready.is_ok_and(|a| a.status() == 200) {
            return answers;
        }
        let request = streamed_request(prompt(40 + answers.len()), 20);
        answers.push((client::send(&client, vm.0, &request).await, request));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_under_load_aborts_no_request() {
    let mut plan = plan();
    plan.engine.speed = 1.0;
    let mut fleet = Fleet::start(Plan { vms: 3, ..plan }).await;
    fleet.kv.kv.adjust(|s| s.down = true);
    for _ in 0..3 {
        let first = (fleet.vms[0].listen, fleet.vms[0].control);
        let long = streamed_request(prompt(100), 60);
        let (client, sent) = (fleet.client.clone(), long.clone());
        let begun = tokio::spawn(async move { client::send(&client, first.0, &sent).await });
        let load = tokio::spawn(send_until_not_ready(fleet.client.clone(), first));
        wait_for("the request to run", async || fleet.memory_used() > 0).await;
        fleet.vms[0].signal(Signal::SIGTERM);
        common::assert_complete(&begun.await.unwrap(), &long);
        for (answer, request) in load.await.unwrap() {
            common::assert_complete(&answer, &request);
        }
        let until = Instant::now() + standin::fleet::CONDITION_TIMEOUT;
        while fleet.vms[0].exited().is_none() {
            assert!(Instant::now() < until, "the VM does not exit");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(fleet.vms[0].exited(), Some(true));
        fleet.vms.remove(0);
        // The store is down, so the new VM fetches its settings from peers.
        fleet.add_vm();
        fleet.wait_ready().await;
    }
}

/// Waits until all requests run. If one ends before, panics with the state of all VMs.
async fn wait_until_all_run(fleet: &Fleet, begun: &[tokio::task::JoinHandle<Answer>]) {
    let all_run = async || fleet.runs().len() == begun.len();
    let one_ended = || begun.iter().any(|request| request.is_finished());
    wait_for("all to run", async || all_run().await || one_ended()).await;
    if all_run().await {
        return;
    }
    let mut dumps = Vec::new();
    for vm in &fleet.vms {
        dumps.push(fleet.dump(vm).await);
    }
    let ended: Vec<bool> = begun.iter().map(|request| request.is_finished()).collect();
    panic!("requests ended early: {ended:?}, runs {:?}, VMs {dumps:#?}", fleet.runs());
}

#[tokio::test(flavor = "multi_thread")]
async fn stopping_two_vms_at_once_aborts_no_request() {
    let mut plan = plan();
    plan.engine.speed = 1.0;
    let fleet = Fleet::start(plan).await;
    let request = streamed_request(prompt(100), 60);
    let mut begun = Vec::new();
    for vm in [0, 1] {
        let (client, sent, listen) = (fleet.client.clone(), request.clone(), fleet.vms[vm].listen);
        begun.push(tokio::spawn(async move { client::send(&client, listen, &sent).await }));
    }
    wait_until_all_run(&fleet, &begun).await;
    fleet.vms[0].signal(Signal::SIGTERM);
    fleet.vms[1].signal(Signal::SIGTERM);
    for answer in begun {
        common::assert_complete(&answer.await.unwrap(), &request);
    }
    common::assert_complete(&send(&fleet, 2, &request).await, &request);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_vm_sends_the_last_token_of_its_last_request() {
    let mut plan = plan();
    plan.engine.speed = 1.0;
    let arguments = vec!["--drain-ms".to_owned(), "0".to_owned()];
    let fleet = Fleet::start(Plan { vms: 8, arguments, ..plan }).await;
    let request = streamed_request(prompt(100), 40);
    let mut begun = Vec::new();
    for vm in &fleet.vms {
        let (client, sent, listen) = (fleet.client.clone(), request.clone(), vm.listen);
        begun.push(tokio::spawn(async move { client::send(&client, listen, &sent).await }));
    }
    wait_until_all_run(&fleet, &begun).await;
    for vm in &fleet.vms {
        vm.signal(Signal::SIGTERM);
    }
    for answer in begun {
        common::assert_complete(&answer.await.unwrap(), &request);
    }
}
