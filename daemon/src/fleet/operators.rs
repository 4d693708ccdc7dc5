//! HTTP endpoints for operators, peers and the platform: readiness, metrics, request records, live
//! decisions, settings, listings and a dump of the state.

use std::convert::Infallible;
use std::str::FromStr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foldlock_base::prelude::*;
use foldlock_connection::{keepalive, tunnel};
use foldlock_request::cluster::{Cluster, Upstream};
use foldlock_request::dialect::Dialect;
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::quarantine::Verdict;
use foldlock_request::reachability::Partition;
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
use crate::fleet::decisions;
use crate::fleet::process::Process;
use crate::fleet::tunnel_server;
use crate::fleet::unread::Truncated;
use crate::fleet::write_queue::Write;
use crate::log;

/// Path of the settings, for peers.
pub const SETTINGS_PATH: &str = "/settings";

/// Path of the listings, for peers.
pub const LISTING_PATH: &str = "/listing";

/// Query parameter of both paths: the response is 404 unless this VM has a newer version or revision than
/// the given one.
pub const NEWER_THAN_QUERY: &str = "above=";

/// Path prefix for the release of a quarantined request; its fingerprint follows.
const RELEASE_PATH: &str = "/release/";

/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Request records in a dump.
const MAX_DUMP_RECORDS: usize = 20;

/// Buffered lines for a slow reader of live decisions.
const LINE_BUFFER: usize = 64;

/// Content type of deflated JSON.
const DEFLATED_JSON: &str = "application/octet-stream";
const JSON: &str = "application/json";
const TEXT: &str = "text/plain; charset=utf-8";
const METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Serves readiness checks, on any path.
pub async fn ready<D: Dialect>(process: Arc<Process<D>>, listener: Arc<TcpListener>) {
    let answer = |process: Arc<Process<D>>, _: Request<Incoming>| async move { is_ready(&process) };
    accept(process, listener, answer).await;
}

/// Serves operators and peers.
pub async fn run<D: Dialect>(process: Arc<Process<D>>, listener: Arc<TcpListener>) {
    let answer = |process: Arc<Process<D>>, request: Request<Incoming>| async move {
        match tunnel::requested(&request) {
            Some(upstream) => tunnel_server::accept(process, request, upstream).await,
            None => route(&process, &request),
        }
    };
    accept(process, listener, answer).await;
}

async fn accept<D: Dialect, R: Future<Output = Response<Body>> + Send + 'static>(
    process: Arc<Process<D>>,
    listener: Arc<TcpListener>,
    answer: impl Fn(Arc<Process<D>>, Request<Incoming>) -> R + Copy + Send + Sync + 'static,
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
        // If the options can't be set, the socket is closed already, and the first read fails.
        let _ = stream.set_nodelay(true);
        let _ = keepalive::enable(&stream);
        let process = process.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = answer(process.clone(), request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // The client may close the connection at any time, so errors are ignored.
            let _ = connection.with_upgrades().await;
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
            update_gauges(process);
            answer::text(StatusCode::OK, METRICS, process.metrics.encode())
        }
        "/dump" => answer::text(StatusCode::OK, JSON, dump(process).to_string()),
        "/decisions" => decisions(process),
        SETTINGS_PATH => match process.settings() {
            Some(settings) if newer_than(request).is_some_and(|v| settings.table.number() <= v) => {
                answer::text(StatusCode::NOT_FOUND, TEXT, "no newer version\n")
            }
            Some(settings) => {
                let compressed =
                    process.compressed_settings.get(settings.table.number(), &settings.text);
                answer::text(StatusCode::OK, DEFLATED_JSON, compressed)
            }
            None => answer::text(StatusCode::NOT_FOUND, TEXT, "no settings loaded yet\n"),
        },
        LISTING_PATH
            if newer_than(request).is_some_and(|revision| process.revision() <= revision) =>
        {
            answer::text(StatusCode::NOT_FOUND, TEXT, "no newer revision\n")
        }
        LISTING_PATH => {
            let text = serde_json::to_vec(&process.listing()).expect("plain data");
            let digest = xxh3_64(&text);
            answer::text(
                StatusCode::OK,
                DEFLATED_JSON,
                process.compressed_listing.get(digest, &text),
            )
        }
        _ if path.starts_with(RELEASE_PATH) => release(process, request.method(), path),
        _ => match path.strip_prefix("/why/").map(str::parse::<id::Request>) {
            Some(Ok(request)) => why(process, &request),
            _ => answer::text(StatusCode::NOT_FOUND, TEXT, "no such path\n"),
        },
    }
}

/// The version or revision that the client already has, if the query gives one.
fn newer_than<T: FromStr>(request: &Request<Incoming>) -> Option<T> {
    request.uri().query()?.strip_prefix(NEWER_THAN_QUERY)?.parse().ok()
}

/// Updates the gauges to current values.
fn update_gauges<D: Dialect>(process: &Process<D>) {
    let now = process.now();
    let metrics = &process.metrics;
    let age = process.freshness.age(process.moment()).map_or(-1, |age| age.as_millis() as i64);
    metrics.settings_age_ms.set(age);
    let cluster = process.cluster.lock().unwrap();
    metrics.attempts.set(cluster.own_attempts().count() as i64);
    metrics.carried_tunnels.set(process.tunnels.carried() as i64);
    metrics.partitions.set(process.reachability.lock().unwrap().partitions().count() as i64);
    metrics.unread_bytes.set(process.unread.bytes() as i64);
    metrics.unsent_bytes.set(process.unsent.bytes() as i64);
    metrics.limited_upstreams.set(cluster.limited_count() as i64);
    metrics.suspects.set(cluster.quarantine.suspects(now).count() as i64);
    drop(cluster);
    let scheduler = process.scheduler.lock().unwrap();
    metrics.queue_len.set(scheduler.queue_len() as i64);
    metrics.update_promises(&scheduler.promises);
    metrics.update_decisions(&scheduler);
    drop(scheduler);
    metrics.peers.set(process.peers.up(now).len() as i64);
}

fn why<D: Dialect>(process: &Process<D>, request: &id::Request) -> Response<Body> {
    match process.ring.get(request) {
        Some(record) => {
            let text = serde_json::to_string(&record).expect("plain data");
            answer::text(StatusCode::OK, JSON, text)
        }
        None => answer::text(StatusCode::NOT_FOUND, TEXT, "no record of this request on this VM\n"),
    }
}

/// Ends the quarantine of a request: on this VM at once, on the others when they read the change from the
/// directory.
fn release<D: Dialect>(process: &Process<D>, method: &Method, path: &str) -> Response<Body> {
    if *method != Method::POST {
        return answer::text(
            StatusCode::METHOD_NOT_ALLOWED,
            TEXT,
            "method not allowed, use POST\n",
        );
    }
    let fingerprint = path.strip_prefix(RELEASE_PATH).map(str::parse::<Fingerprint>);
    let Some(Ok(fingerprint)) = fingerprint else {
        return answer::text(StatusCode::BAD_REQUEST, TEXT, "invalid fingerprint\n");
    };
    let now = process.now();
    let mut cluster = process.cluster.lock().unwrap();
    cluster.crash_log.release(fingerprint, now);
    let was_recorded = cluster.quarantine.release(fingerprint, now);
    drop(cluster);
    if !was_recorded {
        return answer::text(
            StatusCode::NOT_FOUND,
            TEXT,
            "no request with this fingerprint is quarantined on this VM\n",
        );
    }
    process.directory_writes.push(Write::Release(fingerprint));
    log::event(&process.log, Event::Cleared, format!("{fingerprint}, released by an operator"));
    answer::text(StatusCode::OK, JSON, json!({"released": fingerprint}).to_string())
}

fn dump<D: Dialect>(process: &Process<D>) -> serde_json::Value {
    let now = process.now();
    let settings = process.settings();
    let moment = process.moment();
    let scheduler = process.scheduler.lock().unwrap();
    let cluster = process.cluster.lock().unwrap();
    let waiting = scheduler.queue_len();
    let table = settings.as_ref().map(|settings| &settings.table);
    let scheduling = decisions::dump(&scheduler, &cluster, table, now);
    drop(scheduler);
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
                "pace": u.slowdown(now), "silent": u.is_unresponsive(now), "report": report(u, now),
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
    let quarantined: Vec<_> = cluster.quarantined().collect();
    let reachability = process.reachability.lock().unwrap();
    let partitions: Vec<_> = reachability.partitions().map(|p| partition(&p, now)).collect();
    let lost: Vec<_> = reachability.lost().map(str::to_owned).collect();
    drop(reachability);
    let drained: Vec<_> = cluster.halls().drained().collect();
    json!({
        "drained_halls": drained,
        "suspects": suspects,
        "held": quarantined,
        "unreadable": process.unreadable.all(),
        "config": process.config,
        "ready": process.ready(),
        "stopping": process.stopping.is_cancelled(),
        "requests": cluster.own_attempts().count(),
        "directory": process.revision(),
        "version": process.version(),
        "settings_age_ms": process.freshness.age(process.moment()).map(|age| age.as_millis() as u64),
        "peers": process.peers.dump(now),
        "partitions": partitions,
        "lost_services": lost,
        "carried_tunnels": process.tunnels.carried(),
        "waiting": waiting,
        "scheduling": scheduling,
        "idle_connections": process.pool.len(),
        "unread": process.unread.dump(),
        "unsent": process.unsent.dump(),
        "upstreams": upstreams,
        "records": process.ring.newest(MAX_DUMP_RECORDS),
    })
}

/// Upstreams that this VM cannot connect to while peers can.
fn partition(partition: &Partition, now: Instant) -> serde_json::Value {
    let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
    json!({
        "service": partition.group.service, "hall": partition.group.hall,
        "since_ms": age(partition.since), "last_failure_ms": age(partition.last_failure),
    })
}

/// The age of the newest report of an engine, and whether this VM fetched it itself.
fn report(upstream: &Upstream, now: Instant) -> Option<serde_json::Value> {
    let age = now.saturating_duration_since(upstream.observed?.at);
    Some(json!({"age_ms": age.as_millis() as u64, "own": upstream.is_own_report}))
}

/// The rate limit of an upstream with its age, source and recent use.
fn rate_limit(cluster: &Cluster, upstream: &Upstream, now: Instant) -> Option<serde_json::Value> {
    let limited = upstream.rate_limit.as_ref()?;
    let rate = limited.limit.rate?;
    let second = Duration::from_secs(1);
    Some(json!({
        "rate": rate, "version": limited.limit.version, "source": limited.source,
        "since_ms": now.saturating_duration_since(limited.limited_since).as_millis() as u64,
        "sent_last_second": cluster.sent_within(&upstream.listed.id, second, now),
    }))
}

/// Streams decisions as JSON lines until the client disconnects.
fn decisions<D: Dialect>(process: &Arc<Process<D>>) -> Response<Body> {
    let (lines, receiver) = mpsc::channel(LINE_BUFFER);
    tokio::spawn(forward_decisions(process.ring.subscribe(), lines));
    Response::new(Body::Lines(receiver))
}

async fn forward_decisions(
    mut decisions: broadcast::Receiver<Item>,
    lines: mpsc::Sender<Result<Bytes, Truncated>>,
) {
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
