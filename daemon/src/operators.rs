//! HTTP endpoints for operators: readiness, metrics, a dump of the state, decision records and a live
//! stream of decisions.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use foldlock_base::id;
use foldlock_request::ring::Item;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use tokio::sync::{broadcast, mpsc};

use crate::answer::{self, Body};
use crate::home;
use crate::process::Process;

/// Maximum number of decision records in a dump.
const MAX_RECORDS: usize = 20;

/// Maximum number of lines queued for a slow client of the decision stream.
const MAX_QUEUED_LINES: usize = 64;

#[derive(Serialize)]
struct Dump<'a> {
    config: &'a crate::config::Config,
    ready: bool,
    stopping: bool,
    closed: bool,
    requests: usize,
    version: u64,
    refused_version: u64,
    incarnation: u64,
    members: std::collections::BTreeMap<id::Vm, crate::members::Dump>,
    peers: usize,
    peer_bytes: (u64, u64),
    shards: Vec<ShardDump>,
    engines: std::collections::BTreeMap<id::Upstream, crate::engines::Dump>,
    demand: std::collections::BTreeMap<String, foldlock_connection::wire::Demand>,
    claims_writer: Option<id::Vm>,
    store: Calls,
    records: Vec<foldlock_request::decision::Record>,
}

#[derive(Serialize)]
struct ShardDump {
    name: String,
    home: Option<id::Vm>,
    used: bool,
    engines: Vec<id::Upstream>,
}

#[derive(Serialize)]
struct Calls {
    reads: u64,
    writes: u64,
    failures: u64,
}

/// Handles an operator's request.
pub async fn answer(process: Arc<Process>, request: Request<Incoming>) -> Response<Body> {
    if request.method() != Method::GET {
        return answer::text(StatusCode::METHOD_NOT_ALLOWED, "method not allowed; use GET\n");
    }
    let path = request.uri().path();
    match path {
        "/ready" if process.ready() => answer::text(StatusCode::OK, "ready\n"),
        "/ready" => answer::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/metrics" => {
            let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
            answer::whole(StatusCode::OK, kind, process.metrics.encode())
        }
        "/dump" => answer::json(StatusCode::OK, &dump(&process)),
        "/decisions" => decisions(&process),
        "/version" => answer::json(StatusCode::OK, &process.current.get().head),
        _ => match path.strip_prefix("/why/").map(str::parse::<id::Request>) {
            Some(Ok(request)) => decision_record(&process, &request),
            _ => answer::text(StatusCode::NOT_FOUND, "no such path\n"),
        },
    }
}

fn decision_record(process: &Process, request: &id::Request) -> Response<Body> {
    match process.ring.get(request) {
        Some(record) => answer::json(StatusCode::OK, &record),
        None => answer::text(StatusCode::NOT_FOUND, "no record of this request here\n"),
    }
}

fn dump(process: &Process) -> Dump<'_> {
    let live = process.members.live();
    let own = process.members.own();
    let shards = process.shards();
    let used = home::used_shards(&own, &shards);
    let dump_shard = |s: &home::Shard| ShardDump {
        name: s.name.clone(),
        home: home::home_of(s, &live).map(|m| m.vm.clone()),
        used: used.contains(&s),
        engines: s.engines.clone(),
    };
    let calls = process.store.calls();
    Dump {
        config: &process.config,
        ready: process.ready(),
        stopping: process.drain.stopping(),
        closed: process.drain.closed(),
        requests: process.drain.requests(),
        version: process.current.number(),
        refused_version: process.current.newest_refused(),
        incarnation: own.incarnation,
        members: process.members.dump(),
        peers: process.peers.count(),
        peer_bytes: foldlock_connection::peer::transferred_bytes(),
        shards: shards.iter().map(dump_shard).collect(),
        engines: process.engines.dump(),
        demand: process.limits.demand(),
        claims_writer: process.claims.writer(&live),
        store: Calls {
            reads: calls.reads.load(Ordering::Relaxed),
            writes: calls.writes.load(Ordering::Relaxed),
            failures: calls.failures.load(Ordering::Relaxed),
        },
        records: process.ring.newest(MAX_RECORDS),
    }
}

/// Streams decisions as JSON lines until the client disconnects or the process exits.
fn decisions(process: &Arc<Process>) -> Response<Body> {
    let (lines, receiver) = mpsc::channel(MAX_QUEUED_LINES);
    tokio::spawn(copy_decisions(process.ring.subscribe(), lines));
    answer::stream("application/x-ndjson", receiver)
}

async fn copy_decisions(mut decisions: broadcast::Receiver<Item>, lines: mpsc::Sender<Bytes>) {
    loop {
        let line = tokio::select! {
            line = decisions.recv() => line,
            () = lines.closed() => return,
        };
        match line {
            Ok(line) => {
                let mut text = serde_json::to_vec(&line).expect("plain data");
                text.push(b'\n');
                if lines.send(text.into()).await.is_err() {
                    return;
                }
            }
            Err(broadcast::error::RecvError::Lagged(_)) => {}
            Err(broadcast::error::RecvError::Closed) => return,
        }
    }
}
