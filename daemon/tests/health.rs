//! A failed connection to an engine is recorded in that engine's health.
//!
//! Guards against an engine whose port is closed being chosen again and again, since failed connections were recognised
//! by a text that no failure had.

mod common;

use std::collections::BTreeMap;

use foldlock_version::head::Head;
use foldlockd::process;
use serde_json::Value;
use standin::client;
use standin::fleet::{Fleet, Plan, wait_for};
use tokio::net::TcpStream;

#[tokio::test]
async fn an_engine_without_a_connection_gets_no_requests_for_a_while() {
    let mut fleet = Fleet::stand_ins(Plan { engines: 1, ..common::plan() }).await;
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let vm = process::start(common::config(&fleet), log).await.unwrap();
    vm.process.advance(Head::default().next("1", "test", BTreeMap::new()), fleet.texts());
    let address = fleet.engines[0].server.address;
    fleet.engines.clear();
    let is_closed = async || TcpStream::connect(address).await.is_err();
    wait_for("the engine's port to be closed", is_closed).await;
    let is_usable = || {
        let engines: Value = serde_json::to_value(vm.process.engines.dump()).unwrap();
        engines["engine-0"]["usable"].as_bool().unwrap()
    };
    assert!(is_usable());
    let request = common::streamed_request(common::prompt(50), 3);
    let caller = fleet.client.clone();
    let sent = tokio::spawn(async move { client::send(&caller, vm.listen, &request).await });
    wait_for("the engine to be excluded", async || !is_usable()).await;
    sent.abort();
}
