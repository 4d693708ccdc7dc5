//! Callers that send requests on persistent connections and check each response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foldlock_platform_standin::caller::Call;
use foldlock_platform_standin::server::{self, STREAMS};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::world::World;

/// How long after its timeout a request may end; covers pauses of the machine.
const SLACK: Duration = Duration::from_secs(1);

/// Timeout of a plain request.
const PLAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout of a stream.
const STREAM_TIMEOUT: Duration = Duration::from_secs(8);

/// Tokens of a prompt that fits into one engine's memory.
const SHORT_PROMPT_TOKENS: u64 = 1_000;

/// Tokens of a prompt that exceeds one engine's memory.
const LONG_PROMPT_TOKENS: u64 = 30_000;

/// The first part of all prompts.
const FIRST_PART: &str = "a0";

/// The second part of a prompt, one of these.
const SUBJECTS: [&str; 3] = ["c0", "c1", "c2"];

/// The body of all requests.
const BODY: &[u8] = b"the body";

/// A kind of request; the variants that say `Once` must not run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    Safe,
    Once,
    Stream,
    StreamOnce,
}

impl Kind {
    const ALL: [Kind; 4] = [Kind::Safe, Kind::Once, Kind::Stream, Kind::StreamOnce];

    fn path(self) -> &'static str {
        match self {
            Kind::Safe => "/safe/",
            Kind::Once => "/once/",
            Kind::Stream => "/gen/again/",
            Kind::StreamOnce => "/gen/once/",
        }
    }

    pub(crate) fn is_stream(self) -> bool {
        self.path().starts_with(STREAMS)
    }

    fn is_retryable(self) -> bool {
        matches!(self, Kind::Safe | Kind::Stream)
    }

    fn timeout(self) -> Duration {
        if self.is_stream() { STREAM_TIMEOUT } else { PLAIN_TIMEOUT }
    }
}

/// The outcome of a request.
#[derive(Debug, Clone)]
pub(crate) struct Outcome {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    /// Whether the response was a rejection, which guarantees that the request did not run.
    pub(crate) rejected: bool,
    /// Whether the response was a success with the expected body.
    pub(crate) succeeded: bool,
    /// When it was sent.
    pub(crate) sent: Instant,
    /// Whether its VM was undisturbed, and its caller waited.
    pub(crate) counts: bool,
}

/// A connection to a VM.
pub(crate) struct Connection {
    pub(crate) vm: usize,
    pub(crate) sender: SendRequest<Full<Bytes>>,
    requests: u32,
}

impl Connection {
    /// Connects to the address of a VM.
    pub(crate) async fn open(vm: usize, address: SocketAddr) -> Option<Connection> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(Duration::from_secs(1), connecting).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(Connection { vm, sender, requests: 0 })
    }
}

/// Sends requests until cancelled and returns their outcomes.
pub(crate) async fn run(
    world: Arc<World>,
    name: String,
    key: &'static str,
    seed: u64,
    stop: CancellationToken,
) -> Vec<Outcome> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut outcomes = Vec::new();
    while !stop.is_cancelled() {
        let vm = rng.random_range(0..world.vms.len());
        let Some(mut connection) = Connection::open(vm, world.vms[vm].caller_link.address).await
        else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        for _ in 0..rng.random_range(1..8) {
            let kind = Kind::ALL[rng.random_range(0..Kind::ALL.len())];
            let id = format!("{name}-{}", outcomes.len());
            let abort_after = rng.random_bool(0.06).then(|| rng.random_range(5..200));
            let long_prompt = rng.random_bool(0.05);
            let spec = Spec {
                kind,
                id,
                key,
                abort_after: abort_after.map(Duration::from_millis),
                long_prompt,
            };
            let Some((outcome, reusable)) = send(&world, &mut connection, &spec).await else {
                break;
            };
            outcomes.push(outcome);
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..40))).await;
            if !reusable || stop.is_cancelled() {
                break;
            }
        }
    }
    outcomes
}

/// A request to be sent.
pub(crate) struct Spec {
    pub(crate) kind: Kind,
    pub(crate) id: String,
    pub(crate) key: &'static str,
    /// When the caller disconnects, if it does.
    pub(crate) abort_after: Option<Duration>,
    /// Whether the prompt exceeds one engine's memory.
    pub(crate) long_prompt: bool,
}

/// Sends a request. Returns its outcome and whether the connection can be reused; `None` if the connection was
/// already closed.
pub(crate) async fn send(
    world: &World,
    connection: &mut Connection,
    spec: &Spec,
) -> Option<(Outcome, bool)> {
    connection.sender.ready().await.ok()?;
    let (kind, started) = (spec.kind, Instant::now());
    let path = format!("{}{}", kind.path(), spec.id);
    let call = Call {
        id: &spec.id,
        vm: connection.vm,
        path: &path,
        key: spec.key,
        time: kind.timeout(),
        prompt: if spec.long_prompt { LONG_PROMPT_TOKENS } else { SHORT_PROMPT_TOKENS },
        parts: &[FIRST_PART, SUBJECTS[spec.id.len() % SUBJECTS.len()]],
        body: BODY,
    };
    let timeout = spec.abort_after.unwrap_or(kind.timeout() + SLACK * 4);
    let response = tokio::time::timeout(timeout, exchange(connection, call.encode())).await;
    let elapsed = started.elapsed();
    let settled = world.vm_is_settled(connection.vm, started, Instant::now());
    let mut outcome = Outcome {
        id: spec.id.clone(),
        kind,
        rejected: false,
        succeeded: false,
        sent: started,
        counts: settled && spec.abort_after.is_none() && spec.key == crate::KEY,
    };
    let vm = &world.vms[connection.vm].name;
    if settled && spec.abort_after.is_none() && elapsed > kind.timeout() + SLACK {
        world.record_violation(format!("{vm}: {} did not end within {elapsed:?}", spec.id));
    }
    let is_first = connection.requests == 0;
    connection.requests += 1;
    match response {
        Ok(Exchange::Complete(response)) => {
            check_response(world, spec, &call, &response, &mut outcome);
            if response.status().is_server_error() && !outcome.rejected && elapsed < kind.timeout()
            {
                check_lost(world, connection.vm, &spec.id, started);
            }
            let close = response.headers().get("connection").is_some_and(|v| v == "close");
            return Some((outcome, !close));
        }
        Ok(Exchange::Truncated(head, body)) => {
            check_partial_response(world, spec, &path, &head, &body);
            check_lost(world, connection.vm, &spec.id, started);
        }
        Ok(Exchange::Closed) if settled && is_first => {
            world.record_violation(format!(
                "{vm}: {} received no response on a new connection",
                spec.id
            ));
        }
        Ok(Exchange::Closed) => check_lost(world, connection.vm, &spec.id, started),
        Err(_) => {}
    }
    Some((outcome, false))
}

/// How an exchange ended.
enum Exchange {
    Complete(Response<Bytes>),
    /// The response body was truncated after these bytes.
    Truncated(http::response::Parts, Vec<u8>),
    /// The connection closed without a response.
    Closed,
}

async fn exchange(connection: &mut Connection, request: Request<Full<Bytes>>) -> Exchange {
    let Ok(response) = connection.sender.send_request(request).await else {
        return Exchange::Closed;
    };
    let (head, mut body): (_, Incoming) = response.into_parts();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame.map(|frame| frame.into_data()) {
            Ok(Ok(data)) => bytes.extend_from_slice(&data),
            Ok(Err(_)) => {}
            Err(_) => return Exchange::Truncated(head, bytes),
        }
    }
    Exchange::Complete(Response::from_parts(head, Bytes::from(bytes)))
}

fn check_response(
    world: &World,
    spec: &Spec,
    call: &Call<'_>,
    response: &Response<Bytes>,
    outcome: &mut Outcome,
) {
    let id = &spec.id;
    match response.status().as_u16() {
        200 => {
            let matches = call.is_answered_by(response)
                && response.body() == expected_body(call.path).as_bytes();
            outcome.succeeded = matches;
            if !matches {
                world.record_violation(format!(
                    "{id}: success with an unexpected body or headers: {response:?}"
                ));
            }
        }
        429 | 503 => {
            outcome.rejected = true;
            let body = String::from_utf8_lossy(response.body());
            if body.contains("crashed during requests with part") {
                world.record_violation(format!("{id}: a part of a sound request is held: {body}"));
            }
            if !response.headers().contains_key("retry-after") {
                world.record_violation(format!("{id}: rejected without retry-after: {response:?}"));
            }
        }
        401 if spec.key == crate::REVOKED_KEY => {}
        502 | 504 => {}
        _ => world.record_violation(format!("{id}: unexpected status: {response:?}")),
    }
}

fn expected_body(path: &str) -> String {
    if path.starts_with(STREAMS) {
        (1..=server::events(path)).map(|id| server::event(path, id)).collect()
    } else {
        server::plain(path, BODY)
    }
}

/// Checks that the bytes of a truncated response are a prefix of the expected body.
fn check_partial_response(
    world: &World,
    spec: &Spec,
    path: &str,
    head: &http::response::Parts,
    body: &[u8],
) {
    let matches = head.status != 200 || expected_body(path).as_bytes().starts_with(body);
    if !matches {
        let text = String::from_utf8_lossy(body);
        world.record_violation(format!(
            "{}: truncated response is not a prefix of the expected body: {text}",
            spec.id
        ));
    }
}

/// Checks that planned stops and silences alone end no request that was already forwarded to a server.
fn check_lost(world: &World, vm: usize, id: &str, started: Instant) {
    let was_sent = !world.journal.runs(id).is_empty();
    let now = Instant::now();
    let is_excused = world.is_stopping_late(vm, started, now);
    if was_sent && !is_excused && world.only_planned_stops(vm, started, now) {
        world.record_violation(format!("{}: {id} was forwarded and lost", world.vms[vm].name));
    }
}

/// Whether the request may run more than once.
pub(crate) fn is_retryable(outcome: &Outcome) -> bool {
    outcome.kind.is_retryable()
}

/// Path of requests that crash their servers.
const CRASHING_PATH: &str = "/gen/again/deadly";

/// Sends the request that crashes its servers repeatedly until cancelled, to random VMs and with a new id each
/// time.
pub(crate) async fn run_crashing(world: Arc<World>, seed: u64, stop: CancellationToken) {
    let mut rng = StdRng::seed_from_u64(seed);
    for number in 0.. {
        if stop.is_cancelled() {
            return;
        }
        let vm = rng.random_range(0..world.vms.len());
        let id = format!("{}{seed:x}-{number}", crate::CRASHING_ID_PREFIX);
        if let Some(mut connection) = Connection::open(vm, world.vms[vm].caller_link.address).await
        {
            let call = Call {
                id: &id,
                vm,
                path: CRASHING_PATH,
                key: crate::KEY,
                time: STREAM_TIMEOUT,
                prompt: SHORT_PROMPT_TOKENS,
                parts: &[],
                body: server::CRASH_BODY,
            };
            let timeout = STREAM_TIMEOUT + SLACK * 4;
            let _ = tokio::time::timeout(timeout, exchange(&mut connection, call.encode())).await;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..600))).await;
    }
}

/// Sends requests with a part that crashes their servers until cancelled, to random VMs. No two are alike but for that
/// part, and sound requests have all their other parts.
pub(crate) async fn run_crashing_parts(world: Arc<World>, seed: u64, stop: CancellationToken) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0x9a27);
    for number in 0.. {
        if stop.is_cancelled() {
            return;
        }
        let vm = rng.random_range(0..world.vms.len());
        let id = format!("{}{seed:x}-{number}", crate::CRASHING_PART_ID_PREFIX);
        let (path, subject) = (format!("/gen/again/{id}"), rng.random_range(0..SUBJECTS.len()));
        if let Some(mut connection) = Connection::open(vm, world.vms[vm].caller_link.address).await
        {
            let call = Call {
                id: &id,
                vm,
                path: &path,
                key: crate::KEY,
                time: STREAM_TIMEOUT,
                prompt: SHORT_PROMPT_TOKENS,
                parts: &[FIRST_PART, server::CRASH_PART, SUBJECTS[subject]],
                body: BODY,
            };
            let timeout = STREAM_TIMEOUT + SLACK * 4;
            let _ = tokio::time::timeout(timeout, exchange(&mut connection, call.encode())).await;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..900))).await;
    }
}
