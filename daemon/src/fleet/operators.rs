//! What operators, peers and the platform read: readiness, metrics, records, live decisions, the
//! settings and a dump of the state.

use std::convert::Infallible;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foldlock_base::prelude::*;
use foldlock_request::cluster::{Cluster, Upstream};
use foldlock_request::dialect::Dialect;
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::quarantine::Verdict;
use foldlock_request::ring::Item;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::{broadcast, mpsc};
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::answer::{self, Body};
use crate::fleet::process::Process;
use crate::fleet::register::Order;
use crate::fleet::unread::Cut;
use crate::log;

/// The path under which peers read the settings.
pub const SETTINGS: &str = "/settings";

/// The path under which peers read the listings.
pub const LISTING: &str = "/listing";

/// In the query of either: answered only where what is held here is newer than this.
pub const ABOVE: &str = "above=";

/// The path under which an operator lets a request go; its fingerprint follows.
const RELEASE: &str = "/release/";

/// The pause after a failed accept, for instance for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Records that a dump holds.
const RECORDS: usize = 20;

/// Lines that may wait for a slow watcher.
const LINES: usize = 64;

/// JSON, deflated.
const PACKED: &str = "application/octet-stream";
const JSON: &str = "application/json";
const TEXT: &str = "text/plain; charset=utf-8";
const METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Answers whether this VM is ready, whatever the path.
pub async fn ready<D: Dialect>(process: Arc<Process<D>>, listener: TcpListener) {
    let answer = |process: &Arc<Process<D>>, _: Request<Incoming>| is_ready(process);
    accept(process, listener, answer).await;
}

/// Answers operators and peers.
pub async fn run<D: Dialect>(process: Arc<Process<D>>, listener: TcpListener) {
    let answer = |process: &Arc<Process<D>>, request: Request<Incoming>| route(process, &request);
    accept(process, listener, answer).await;
}

async fn accept<D: Dialect>(
    process: Arc<Process<D>>,
    listener: TcpListener,
    answer: impl Fn(&Arc<Process<D>>, Request<Incoming>) -> Response<Body>
    + Copy
    + Send
    + Sync
    + 'static,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::event(&process.log, Event::AcceptFailed, e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let process = process.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let answered = answer(&process, request);
                async move { Ok::<_, Infallible>(answered) }
            });
            // A reader that breaks off has its reasons.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

fn is_ready<D: Dialect>(process: &Process<D>) -> Response<Body> {
    if process.ready() {
        return answer::text(StatusCode::OK, TEXT, "ready\n");
    }
    answer::text(StatusCode::SERVICE_UNAVAILABLE, TEXT, "not ready\n")
}

fn route<D: Dialect>(process: &Arc<Process<D>>, request: &Request<Incoming>) -> Response<Body> {
    let path = request.uri().path();
    match path {
        "/ready" => is_ready(process),
        "/metrics" => {
            observe(process);
            answer::text(StatusCode::OK, METRICS, process.metrics.encode())
        }
        "/dump" => answer::text(StatusCode::OK, JSON, dump(process).to_string()),
        "/decisions" => decisions(process),
        SETTINGS => match process.settings() {
            Some(settings) if above(request).is_some_and(|v| settings.table.number() <= v) => {
                answer::text(StatusCode::NOT_FOUND, TEXT, "none newer\n")
            }
            Some(settings) => {
                let packed = process.packed_settings.get(settings.table.number(), &settings.text);
                answer::text(StatusCode::OK, PACKED, packed)
            }
            None => answer::text(StatusCode::NOT_FOUND, TEXT, "no settings yet\n"),
        },
        LISTING if above(request).is_some_and(|revision| process.at() <= revision) => {
            answer::text(StatusCode::NOT_FOUND, TEXT, "none newer\n")
        }
        LISTING => {
            let text = serde_json::to_vec(&process.listing()).expect("plain data");
            let of = xxh3_64(&text);
            answer::text(StatusCode::OK, PACKED, process.packed_listing.get(of, &text))
        }
        _ if path.starts_with(RELEASE) => release(process, request.method(), path),
        _ => match path.strip_prefix("/why/").map(str::parse::<id::Request>) {
            Some(Ok(request)) => why(process, &request),
            _ => answer::text(StatusCode::NOT_FOUND, TEXT, "no such path\n"),
        },
    }
}

/// What the asker has, if it says so.
fn above<T: FromStr>(request: &Request<Incoming>) -> Option<T> {
    request.uri().query()?.strip_prefix(ABOVE)?.parse().ok()
}

/// Sets the gauges to what they measure now.
fn observe<D: Dialect>(process: &Process<D>) {
    let now = process.now();
    let metrics = &process.metrics;
    let age = process.fresh.age(process.moment()).map_or(-1, |age| age.as_millis() as i64);
    metrics.age_ms.set(age);
    let cluster = process.cluster.lock().unwrap();
    metrics.flights.set(cluster.own_attempts().count() as i64);
    metrics.unread.set(process.unread.bytes() as i64);
    metrics.limited_upstreams.set(cluster.limited_count() as i64);
    metrics.suspects.set(cluster.quarantine.suspects(now).count() as i64);
    drop(cluster);
    metrics.line.set(process.scheduler.lock().unwrap().queue_len() as i64);
    metrics.peers.set(process.peers.up(now).len() as i64);
}

fn why<D: Dialect>(process: &Process<D>, request: &id::Request) -> Response<Body> {
    match process.ring.get(request) {
        Some(record) => {
            let text = serde_json::to_string(&record).expect("plain data");
            answer::text(StatusCode::OK, JSON, text)
        }
        None => answer::text(StatusCode::NOT_FOUND, TEXT, "no record of this request here\n"),
    }
}

/// Lets a request go that is held: here at once, at all VMs as the directory tells them.
fn release<D: Dialect>(process: &Process<D>, method: &Method, path: &str) -> Response<Body> {
    if *method != Method::POST {
        return answer::text(StatusCode::METHOD_NOT_ALLOWED, TEXT, "ask with POST\n");
    }
    let fingerprint = path.strip_prefix(RELEASE).map(str::parse::<Fingerprint>);
    let Some(Ok(fingerprint)) = fingerprint else {
        return answer::text(StatusCode::BAD_REQUEST, TEXT, "that is no fingerprint\n");
    };
    let now = process.now();
    if !process.cluster.lock().unwrap().quarantine.release(fingerprint, now) {
        return answer::text(StatusCode::NOT_FOUND, TEXT, "nothing is held against it here\n");
    }
    process.register.order(Order::Release(fingerprint));
    log::event(&process.log, Event::Released, format!("{fingerprint}, by an operator"));
    answer::text(StatusCode::OK, JSON, json!({"released": fingerprint}).to_string())
}

fn dump<D: Dialect>(process: &Process<D>) -> serde_json::Value {
    let now = process.now();
    let waiting = process.scheduler.lock().unwrap().queue_len();
    let moment = process.moment();
    let cluster = process.cluster.lock().unwrap();
    let backoffs = process.backoffs.lock().unwrap();
    let loads = cluster.loads(None, now);
    let upstreams: Vec<_> = cluster
        .ids()
        .filter_map(|id| cluster.get(id))
        .map(|u| {
            let load = loads.get(&u.listed.id).cloned().unwrap_or_default();
            json!({
                "id": u.listed.id, "service": u.listed.service, "address": u.listed.address,
                "leaving": u.is_leaving(), "drained": u.drained,
                "cold_ms": u.cold_until.map(|at| at.saturating_duration_since(now).as_millis() as u64),
                "rests_ms": backoffs.remaining(u.tag, moment).map(|left| left.as_millis() as u64),
                "rate_limit": rate_limit(&cluster, u, now),
                "suspicion": u.suspicion.weight(now), "requests": load.requests,
                "writers": load.decoding, "memory": load.memory, "backlog_ms": load.backlog_ms,
                "pace": u.slowdown(now), "silent": u.is_unresponsive(now),
            })
        })
        .collect();
    let suspects: Vec<_> = cluster
        .quarantine
        .suspects(now)
        .map(|(fingerprint, status, verdict)| {
            json!({
                "fingerprint": fingerprint, "ended": status.crashes, "proofs": status.solo_crashes,
                "held_ms": status.remaining.as_millis() as u64, "alone": verdict == Verdict::Isolated,
            })
        })
        .collect();
    let held: Vec<_> = cluster.quarantined().collect();
    let drained: Vec<_> = cluster.halls().drained().collect();
    json!({
        "drained_halls": drained,
        "suspects": suspects,
        "held": held,
        "unreadable": process.unreadable.all(),
        "config": process.config,
        "ready": process.ready(),
        "stopping": process.stopping.is_cancelled(),
        "requests": cluster.own_attempts().count(),
        "directory": process.at(),
        "version": process.version(),
        "settings_age_ms": process.fresh.age(process.moment()).map(|age| age.as_millis() as u64),
        "peers": process.peers.dump(now),
        "waiting": waiting,
        "idle_connections": process.pool.len(),
        "unread": process.unread.dump(),
        "upstreams": upstreams,
        "records": process.ring.newest(RECORDS),
    })
}

/// The rate limit of an upstream, with its age, source and recent use.
fn rate_limit(cluster: &Cluster, upstream: &Upstream, now: Instant) -> Option<serde_json::Value> {
    let known = upstream.rate_limit.as_ref()?;
    let rate = known.limit.rate?;
    let second = Duration::from_secs(1);
    Some(json!({
        "rate": rate, "version": known.limit.version, "source": known.source,
        "since_ms": now.saturating_duration_since(known.limited_since).as_millis() as u64,
        "sent_last_second": cluster.sent_within(&upstream.listed.id, second, now),
    }))
}

/// Streams decisions as JSON lines until the watcher leaves.
fn decisions<D: Dialect>(process: &Arc<Process<D>>) -> Response<Body> {
    let (lines, receiver) = mpsc::channel(LINES);
    tokio::spawn(feed(process.ring.subscribe(), lines));
    Response::new(Body::Lines(receiver))
}

async fn feed(mut decisions: broadcast::Receiver<Item>, lines: mpsc::Sender<Result<Bytes, Cut>>) {
    loop {
        let line = tokio::select! {
            line = decisions.recv() => line,
            () = lines.closed() => return,
        };
        match line {
            Ok(line) => {
                let mut text = serde_json::to_vec(&line).expect("plain data");
                text.push(b'\n');
                if lines.send(Ok(text.into())).await.is_err() {
                    return;
                }
            }
            Err(broadcast::error::RecvError::Lagged(_)) => {}
            Err(broadcast::error::RecvError::Closed) => return,
        }
    }
}
