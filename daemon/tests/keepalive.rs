//! Guards against streams that wait to their deadline for an engine whose machine is gone: its connection is probed.

mod common;

use common::{plan, prompt, streamed_request};
use standin::client;
use standin::fault::{Fault, Kind};
use standin::fleet::{Fleet, Plan, wait_for};

/// Whether a connection to this port has a keep-alive timer, by the kernel's table: columns 2 (remote address) and 5 (kind and
/// end of the timer).
fn is_probed(port: u16) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let remote = format!("0100007F:{port:04X}");
    table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>())
        .any(|columns| columns.get(2) == Some(&remote.as_str()) && columns[5].starts_with("02:"))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_to_a_silent_engine_is_probed() {
    let fleet = Fleet::start(Plan { vms: 1, engines: 1, ..plan() }).await;
    fleet.engines[0].engine.add_fault(Fault { kind: Kind::Freeze, at: 3, count: 9 });
    let request = streamed_request(prompt(100), 30);
    let (client, listen) = (fleet.client.clone(), fleet.vms[0].listen);
    let sent = tokio::spawn(async move { client::send(&client, listen, &request).await });
    let port = fleet.engines[0].server.address.port();
    wait_for("the stream to be probed", async || is_probed(port)).await;
    sent.abort();
}
