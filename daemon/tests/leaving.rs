//! An upstream that is leaving gets no new work, and a planned stop cuts no request.

mod common;

use std::time::{Duration, Instant};

use common::{ask, plan, prompt, send};
use foldlock_connection::vms::{Listed, Listing};
use nix::sys::signal::Signal;
use standin::client::{self, Answer, Request};
use standin::fleet::{Fleet, Plan, wait_for};

/// Sends requests through all VMs until no engine but the leaving one gets any.
async fn begun_after(fleet: &Fleet, index: usize) -> u64 {
    let before = fleet.engines[index].engine.stats().begun;
    for i in 0..30 {
        let ask = ask(prompt(60 + i), 2);
        common::assert_whole(&send(fleet, i % 3, &ask).await, &ask);
    }
    fleet.engines[index].engine.stats().begun - before
}

async fn gets_no_new_work(fleet: &Fleet, index: usize) {
    let name = format!("engine-{index}");
    wait_for("each VM to know", async || {
        for vm in &fleet.vms {
            let dump = fleet.dump(vm).await.unwrap();
            if dump["engines"][&name]["leaving"] != true {
                return false;
            }
        }
        true
    })
    .await;
    assert_eq!(begun_after(fleet, index).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_reports_leaving_gets_no_new_work() {
    let fleet = Fleet::start(plan()).await;
    fleet.engines[1].engine.set_leaving(true);
    gets_no_new_work(&fleet, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_is_news_for_all_vms_though_reports_lag_and_the_store_is_down() {
    let mut plan = plan();
    plan.engine.report_lag_ms = 60_000;
    let fleet = Fleet::start(plan).await;
    fleet.kv.kv.adjust(|s| s.down = true);
    fleet.engines[2].engine.set_leaving(true);
    // One VM finds out by a refusal; the caller does not notice.
    wait_for("a refusal", async || {
        let ask = ask(prompt(70), 2);
        common::assert_whole(&send(&fleet, 0, &ask).await, &ask);
        let dump = fleet.dump(&fleet.vms[0]).await.unwrap();
        dump["engines"]["engine-2"]["leaving"] == true
    })
    .await;
    gets_no_new_work(&fleet, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_platforms_list_is_heeded() {
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
    gets_no_new_work(&fleet, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_stays_is_used_again() {
    let fleet = Fleet::start(plan()).await;
    fleet.engines[1].engine.set_leaving(true);
    gets_no_new_work(&fleet, 1).await;
    fleet.engines[1].engine.set_leaving(false);
    wait_for("work for the engine", async || begun_after(&fleet, 1).await > 0).await;
}

/// Sends requests to a VM that is being stopped, as a balancer does that has not noticed, until
/// it is not ready any more; each must be answered whole.
async fn keep_sending(
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
        let ask = ask(prompt(40 + answers.len()), 20);
        answers.push((client::send(&client, vm.0, &ask).await, ask));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_under_load_cuts_nothing() {
    let mut plan = plan();
    plan.engine.speed = 1.0;
    let mut fleet = Fleet::start(Plan { vms: 3, ..plan }).await;
    fleet.kv.kv.adjust(|s| s.down = true);
    for _ in 0..3 {
        let first = (fleet.vms[0].listen, fleet.vms[0].control);
        let long = ask(prompt(100), 60);
        let (client, sent) = (fleet.client.clone(), long.clone());
        let begun = tokio::spawn(async move { client::send(&client, first.0, &sent).await });
        let load = tokio::spawn(keep_sending(fleet.client.clone(), first));
        wait_for("the request to run", async || fleet.memory_used() > 0).await;
        fleet.vms[0].signal(Signal::SIGTERM);
        common::assert_whole(&begun.await.unwrap(), &long);
        for (answer, ask) in load.await.unwrap() {
            common::assert_whole(&answer, &ask);
        }
        let until = Instant::now() + standin::fleet::CONDITION_TIMEOUT;
        while fleet.vms[0].exited().is_none() {
            assert!(Instant::now() < until, "the VM does not end");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(fleet.vms[0].exited(), Some(true));
        fleet.vms.remove(0);
        // The store is down: the new VM has its settings from peers.
        fleet.add_vm();
        fleet.wait_ready().await;
    }
}

/// Waits until all requests run; one that ends before is shown with the state of its VMs.
async fn run_at_once(fleet: &Fleet, begun: &[tokio::task::JoinHandle<Answer>]) {
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
async fn two_vms_stopped_at_once_cut_nothing() {
    let mut plan = plan();
    plan.engine.speed = 1.0;
    let fleet = Fleet::start(plan).await;
    let ask = ask(prompt(100), 60);
    let mut begun = Vec::new();
    for vm in [0, 1] {
        let (client, sent, listen) = (fleet.client.clone(), ask.clone(), fleet.vms[vm].listen);
        begun.push(tokio::spawn(async move { client::send(&client, listen, &sent).await }));
    }
    run_at_once(&fleet, &begun).await;
    fleet.vms[0].signal(Signal::SIGTERM);
    fleet.vms[1].signal(Signal::SIGTERM);
    for answer in begun {
        common::assert_whole(&answer.await.unwrap(), &ask);
    }
    common::assert_whole(&send(&fleet, 2, &ask).await, &ask);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_last_token_of_the_last_request_reaches_its_caller() {
    let mut plan = plan();
    plan.engine.speed = 1.0;
    let arguments = vec!["--drain-ms".to_owned(), "0".to_owned()];
    let fleet = Fleet::start(Plan { vms: 8, arguments, ..plan }).await;
    let ask = ask(prompt(100), 40);
    let mut begun = Vec::new();
    for vm in &fleet.vms {
        let (client, sent, listen) = (fleet.client.clone(), ask.clone(), vm.listen);
        begun.push(tokio::spawn(async move { client::send(&client, listen, &sent).await }));
    }
    run_at_once(&fleet, &begun).await;
    for vm in &fleet.vms {
        vm.signal(Signal::SIGTERM);
    }
    for answer in begun {
        common::assert_whole(&answer.await.unwrap(), &ask);
    }
}
