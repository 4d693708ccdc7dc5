//! Guards against streams that wait to their deadline for an engine whose machine is gone: its connection is probed.

mod common;

use std::net::SocketAddrV4;

use common::{plan, prompt, streamed_request};
use standin::client;
use standin::fault::{Fault, Kind};
use standin::fleet::{Fleet, Plan, wait_for};

/// Whether a connection to this address has a keep-alive timer, by the kernel's table: columns 2 (remote address, in the byte
/// order of the machine) and 5 (kind and end of the timer).
fn is_probed(address: SocketAddrV4) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let ip = u32::from_ne_bytes(address.ip().octets());
    let remote = format!("{ip:08X}:{:04X}", address.port());
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
    let address = fleet.engines[0].server.address.to_string().parse().unwrap();
    wait_for("the stream to be probed", async || is_probed(address)).await;
    sent.abort();
}
