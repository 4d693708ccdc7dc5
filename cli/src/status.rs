//! `status`: the state of each VM on one line.

use std::net::SocketAddr;

use foldlock_connection::http::Client;
use serde_json::{Value, json};

use crate::app::Status;
use crate::client;
use crate::error::Error;
use crate::output::{Mark, Output};

/// Groups of queued requests that the line of a VM names; the dump has all.
const MAX_GROUPS: usize = 3;

/// Slow engines that the line of a VM names.
const MAX_SLOW: usize = 3;

/// Slowdown from which an engine is named: it then serves a third less than its configured speed.
const MIN_SLOWDOWN: f64 = 1.5;

/// Shows the state of VMs.
pub async fn status(args: &Status, output: Output) -> Result<(), Error> {
    let client = Client::default();
    let mut failure = None;
    for vm in args.vms() {
        match client::json::<Value>(&client, *vm, "/dump").await {
            Ok(Some(dump)) if output.json => output.line(&object(*vm, &dump).to_string()),
            Ok(Some(dump)) => output.line(&row(*vm, &dump, output)),
            Ok(None) => {}
            Err(e) => {
                output.line(&format!("{vm:<22} {}", output.mark(Mark::Bad, "no response")));
                failure = Some(e);
            }
        }
    }
    failure.map_or(Ok(()), Err)
}

fn object(vm: SocketAddr, dump: &Value) -> Value {
    json!({
        "address": vm.to_string(),
        "vm": dump["config"]["vm"],
        "hall": dump["config"]["hall"],
        "ready": dump["ready"],
        "version": dump["version"],
        "requests": dump["requests"],
        "stopping": dump["stopping"],
        "drained_halls": dump["drained_halls"],
        "partitions": dump["partitions"],
        "lost_services": dump["lost_services"],
        "carried_tunnels": dump["carried_tunnels"],
        "cold": cold(dump),
        "limited": limited(dump),
        "unread": dump["unread"],
        "unsent": dump["unsent"],
        "scheduling": dump["scheduling"],
    })
}

fn row(vm: SocketAddr, dump: &Value, output: Output) -> String {
    let text = |v: &Value| v.as_str().unwrap_or_default().to_owned();
    let state = match (dump["ready"] == true, dump["stopping"] == true) {
        (true, _) => output.mark(Mark::Good, "ready"),
        (_, true) => output.mark(Mark::Bad, "stopping"),
        _ => output.mark(Mark::Bad, "not ready"),
    };
    format!(
        "{vm:<22} {:<12} {:<14} {state}  version {}  {} requests  {} peers{}",
        text(&dump["config"]["vm"]),
        text(&dump["config"]["hall"]),
        dump["version"],
        dump["requests"],
        peers(dump),
        notes(dump),
    )
}

/// The number of peers: a VM's dump has it as a number or, in a fleet, as the list of the peers.
fn peers(dump: &Value) -> Value {
    dump["peers"].as_array().map_or_else(|| dump["peers"].clone(), |peers| json!(peers.len()))
}

/// The number of upstreams that are cold.
fn cold(dump: &Value) -> usize {
    let upstreams = dump["upstreams"].as_array();
    let is_cold = |upstream: &&Value| upstream["cold_ms"].as_u64().is_some_and(|left| left > 0);
    upstreams.map_or(0, |upstreams| upstreams.iter().filter(is_cold).count())
}

/// Upstreams with a rate limit, and the limit.
fn limited(dump: &Value) -> Vec<Value> {
    let upstreams = dump["upstreams"].as_array().into_iter().flatten();
    let limited = upstreams.filter(|upstream| upstream["rate_limit"].is_object());
    limited
        .map(|upstream| json!({"upstream": upstream["id"], "limit": upstream["rate_limit"]}))
        .collect()
}

/// Unusual conditions of a VM.
fn notes(dump: &Value) -> String {
    let mut notes = Vec::new();
    for hall in dump["drained_halls"].as_array().into_iter().flatten() {
        let name = hall["name"].as_str().unwrap_or_default();
        let revision = &hall["revision"];
        notes.push(format!("{name} drained by {}.{}", revision["era"], revision["number"]));
    }
    notes.extend(unreachable(dump));
    match cold(dump) {
        0 => {}
        cold => notes.push(format!("{cold} cold")),
    }
    for entry in limited(dump) {
        let (upstream, limit) = (entry["upstream"].as_str().unwrap_or_default(), &entry["limit"]);
        let source = limit["source"].as_str().unwrap_or_default();
        let (rate, sent) = (&limit["rate"], &limit["sent_last_second"]);
        let since_s = limit["since_ms"].as_u64().unwrap_or(0) / 1_000;
        notes.push(format!(
            "{upstream} limited to {rate}/s for {since_s} s by {source}, {sent} sent in the last second"
        ));
    }
    let unread = &dump["unread"];
    if let Some(bytes) = unread["bytes"].as_u64().filter(|bytes| *bytes > 0) {
        let largest = unread["largest"][0]["request"].as_str().unwrap_or_default();
        let answers = &unread["answers"];
        notes.push(format!("{bytes} unread bytes of {answers} responses, most of {largest}"));
    }
    let unsent = &dump["unsent"];
    if let Some(bytes) = unsent["bytes"].as_u64().filter(|bytes| *bytes > 0) {
        let largest = unsent["largest"][0]["request"].as_str().unwrap_or_default();
        let bodies = &unsent["bodies"];
        notes.push(format!(
            "{bytes} bytes of {bodies} request and response bodies, most of {largest}"
        ));
    }
    notes.extend(slow(dump));
    notes.extend(scheduling(&dump["scheduling"]));
    notes.iter().map(|note| format!("  {note}")).collect()
}

/// Upstreams that the VM reaches through peers alone, or not at all, and what it carries for peers.
fn unreachable(dump: &Value) -> Vec<String> {
    let mut notes = Vec::new();
    for partition in dump["partitions"].as_array().into_iter().flatten() {
        let text = |field: &str| partition[field].as_str().unwrap_or_default().to_owned();
        let since_s = partition["since_ms"].as_u64().unwrap_or(0) / 1_000;
        notes.push(format!(
            "{} in {} reached through peers for {since_s} s",
            text("service"),
            text("hall")
        ));
    }
    for service in dump["lost_services"].as_array().into_iter().flatten() {
        notes.push(format!("no path to {}", service.as_str().unwrap_or_default()));
    }
    match dump["carried_tunnels"].as_u64().unwrap_or(0) {
        0 => {}
        carried => notes.push(format!("{carried} tunnels carried for peers")),
    }
    notes
}

/// The slowest engines, and who fetched the report that says so.
fn slow(dump: &Value) -> Vec<String> {
    let upstreams = dump["upstreams"].as_array().into_iter().flatten();
    let pace = |upstream: &Value| upstream["pace"].as_f64().unwrap_or(1.0);
    let mut slow: Vec<&Value> = upstreams.filter(|u| pace(u) >= MIN_SLOWDOWN).collect();
    slow.sort_by(|one, other| pace(other).total_cmp(&pace(one)));
    let note = |upstream: &&Value| {
        let (id, report) = (upstream["id"].as_str().unwrap_or_default(), &upstream["report"]);
        let by = if report["own"] == true { "this VM" } else { "a peer" };
        let age = report["age_ms"].as_u64().unwrap_or(0);
        format!("{id} {:.1} times slower, reported to {by} {age} ms ago", pace(upstream))
    };
    let mut notes: Vec<String> = slow.iter().take(MAX_SLOW).map(note).collect();
    if slow.len() > MAX_SLOW {
        notes.push(format!("{} more slow engines", slow.len() - MAX_SLOW));
    }
    notes
}

/// Where requests are queued by forecasts, or engines are kept free: the largest groups of the queue, the rate, and the
/// promises.
fn scheduling(scheduling: &Value) -> Vec<String> {
    let mut notes = Vec::new();
    for service in scheduling["services"].as_array().into_iter().flatten() {
        let name = service["service"].as_str().unwrap_or_default();
        let groups = service["queue"].as_array().map_or(&[][..], Vec::as_slice);
        let queued: u64 = groups.iter().filter_map(|group| group["requests"].as_u64()).sum();
        if queued > 0 {
            let largest: Vec<String> = groups.iter().take(MAX_GROUPS).map(group).collect();
            notes.push(format!("{name}: {queued} queued ({})", largest.join(", ")));
            if let Some(rate) = service["rate"].as_f64() {
                let measured = match service["measured_ms"].as_u64().unwrap_or(0) {
                    0 => "by the engine model".to_owned(),
                    ms => format!("measured over {ms} ms"),
                };
                notes.push(format!("{name}: {rate:.1} short prompts/s {measured}"));
            }
        }
        match service["kept"].as_u64().unwrap_or(0) {
            0 => {}
            kept => notes.push(format!("{name}: {kept} engines kept for short prompts")),
        }
    }
    match scheduling["promises"]["stored"].as_u64().unwrap_or(0) {
        0 => {}
        stored => notes.push(format!("{stored} promises")),
    }
    notes
}

/// The queued requests of one kind of one organisation.
fn group(group: &Value) -> String {
    let organisation = group["organisation"].as_str().unwrap_or("no organisation");
    let kind = group["kind"].as_str().unwrap_or_default();
    let (requests, wait) = (&group["requests"], &group["longest_wait_ms"]);
    format!("{organisation} {kind} {requests} for up to {wait} ms")
}
