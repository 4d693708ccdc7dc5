//! Callers: they send requests on connections that they keep, and hold each answer against what it
//! must be.

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

/// How long after its time a request may still be without its end: a pause of the machine.
const SLACK: Duration = Duration::from_secs(1);

/// The time that a plain request has.
const PLAIN: Duration = Duration::from_secs(3);

/// The time that a stream has.
const STREAM: Duration = Duration::from_secs(8);

/// Tokens of a prompt that one engine holds.
const SHORT: u64 = 1_000;

/// Tokens of a prompt beyond one engine's memory.
const LONG: u64 = 30_000;

/// The body of all requests.
const BODY: &[u8] = b"the body";

/// What a caller does.
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

    fn repeatable(self) -> bool {
        matches!(self, Kind::Safe | Kind::Stream)
    }

    fn time(self) -> Duration {
        if self.path().starts_with(STREAMS) { STREAM } else { PLAIN }
    }
}

/// A request that was sent.
#[derive(Debug, Clone)]
pub(crate) struct Sent {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    /// Whether the answer promised that it had not run.
    pub(crate) refused: bool,
    /// Whether it was answered as it should be.
    pub(crate) good: bool,
}

/// A connection to a VM.
pub(crate) struct Connection {
    pub(crate) vm: usize,
    pub(crate) sender: SendRequest<Full<Bytes>>,
    served: u32,
}

impl Connection {
    /// Connects to the address of a VM.
    pub(crate) async fn open(vm: usize, address: SocketAddr) -> Option<Connection> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(Duration::from_secs(1), connecting).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(Connection { vm, sender, served: 0 })
    }
}

/// Sends requests until cancelled, and gives what was sent.
pub(crate) async fn run(
    world: Arc<World>,
    name: String,
    key: &'static str,
    seed: u64,
    stop: CancellationToken,
) -> Vec<Sent> {
    let mut draw = StdRng::seed_from_u64(seed);
    let mut all = Vec::new();
    while !stop.is_cancelled() {
        let vm = draw.random_range(0..world.vms.len());
        let Some(mut connection) = Connection::open(vm, world.vms[vm].caller_link.address).await
        else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        for _ in 0..draw.random_range(1..8) {
            let kind = Kind::ALL[draw.random_range(0..Kind::ALL.len())];
            let id = format!("{name}-{}", all.len());
            let leave = draw.random_bool(0.06).then(|| draw.random_range(5..200));
            let long = draw.random_bool(0.05);
            let asked = Asked { kind, id, key, leave: leave.map(Duration::from_millis), long };
            let Some((sent, keep)) = send(&world, &mut connection, &asked).await else { break };
            all.push(sent);
            tokio::time::sleep(Duration::from_millis(draw.random_range(0..40))).await;
            if !keep || stop.is_cancelled() {
                break;
            }
        }
    }
    all
}

/// A request to be sent.
pub(crate) struct Asked {
    pub(crate) kind: Kind,
    pub(crate) id: String,
    pub(crate) key: &'static str,
    /// When the caller leaves, if it does.
    pub(crate) leave: Option<Duration>,
    /// Whether its prompt is beyond one engine's memory.
    pub(crate) long: bool,
}

/// Sends a request. Answers what came of it and whether the connection may be used again; nothing
/// where the connection had ended before.
pub(crate) async fn send(
    world: &World,
    connection: &mut Connection,
    asked: &Asked,
) -> Option<(Sent, bool)> {
    connection.sender.ready().await.ok()?;
    let (kind, began) = (asked.kind, Instant::now());
    let path = format!("{}{}", kind.path(), asked.id);
    let call = Call {
        id: &asked.id,
        vm: connection.vm,
        path: &path,
        key: asked.key,
        time: kind.time(),
        prompt: if asked.long { LONG } else { SHORT },
        body: BODY,
    };
    let wait = asked.leave.unwrap_or(kind.time() + SLACK * 4);
    let answer = tokio::time::timeout(wait, exchange(connection, call.encode())).await;
    let took = began.elapsed();
    let calm = world.vm_is_settled(connection.vm, began, Instant::now());
    let mut sent = Sent { id: asked.id.clone(), kind, refused: false, good: false };
    let vm = &world.vms[connection.vm].name;
    if calm && asked.leave.is_none() && took > kind.time() + SLACK {
        world.record_violation(format!("{vm}: {} had no end after {took:?}", asked.id));
    }
    let first = connection.served == 0;
    connection.served += 1;
    match answer {
        Ok(Exchange::Answer(answer)) => {
            judge(world, asked, &call, &answer, &mut sent);
            let close = answer.headers().get("connection").is_some_and(|v| v == "close");
            return Some((sent, !close));
        }
        Ok(Exchange::Cut(head, body)) => {
            prefix(world, asked, &path, &head, &body);
            lost(world, connection.vm, &asked.id, began);
        }
        Ok(Exchange::Closed) if calm && first => {
            world.record_violation(format!("{vm}: {} got no answer on a new connection", asked.id));
        }
        Ok(Exchange::Closed) => lost(world, connection.vm, &asked.id, began),
        Err(_) => {}
    }
    Some((sent, false))
}

/// How an exchange ended.
enum Exchange {
    Answer(Response<Bytes>),
    /// The answer broke off after these bytes.
    Cut(http::response::Parts, Vec<u8>),
    /// No answer.
    Closed,
}

async fn exchange(connection: &mut Connection, request: Request<Full<Bytes>>) -> Exchange {
    let Ok(answer) = connection.sender.send_request(request).await else {
        return Exchange::Closed;
    };
    let (head, mut body): (_, Incoming) = answer.into_parts();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        match frame.map(|frame| frame.into_data()) {
            Ok(Ok(data)) => bytes.extend_from_slice(&data),
            Ok(Err(_)) => {}
            Err(_) => return Exchange::Cut(head, bytes),
        }
    }
    Exchange::Answer(Response::from_parts(head, Bytes::from(bytes)))
}

fn judge(world: &World, asked: &Asked, call: &Call<'_>, answer: &Response<Bytes>, sent: &mut Sent) {
    let id = &asked.id;
    match answer.status().as_u16() {
        200 => {
            let right =
                call.is_answered_by(answer) && answer.body() == expected(call.path).as_bytes();
            sent.good = right;
            if !right {
                world.record_violation(format!("{id}: a success with another answer: {answer:?}"));
            }
        }
        429 | 503 => {
            sent.refused = true;
            if !answer.headers().contains_key("retry-after") {
                world.record_violation(format!(
                    "{id}: refused without a time to come back: {answer:?}"
                ));
            }
        }
        401 if asked.key == crate::REVOKED => {}
        502 | 504 => {}
        _ => world.record_violation(format!("{id}: an answer that is never due: {answer:?}")),
    }
}

fn expected(path: &str) -> String {
    if path.starts_with(STREAMS) {
        (1..=server::events(path)).map(|id| server::event(path, id)).collect()
    } else {
        server::plain(path, BODY)
    }
}

/// What came of an answer that broke off has to be the beginning of the right one.
fn prefix(world: &World, asked: &Asked, path: &str, head: &http::response::Parts, body: &[u8]) {
    let right = head.status != 200 || expected(path).as_bytes().starts_with(body);
    if !right {
        let text = String::from_utf8_lossy(body);
        world.record_violation(format!("{}: broke off within another answer: {text}", asked.id));
    }
}

/// What a planned stop alone may not do: end a connection with a request that was passed on.
fn lost(world: &World, vm: usize, id: &str, began: Instant) {
    let passed_on = !world.journal.runs(id).is_empty();
    if passed_on && world.only_planned_stops(vm, began, Instant::now()) {
        world.record_violation(format!("{}: {id} was passed on and lost", world.vms[vm].name));
    }
}

/// Whether the request may run more than once.
pub(crate) fn repeatable(sent: &Sent) -> bool {
    sent.kind.repeatable()
}

/// The path of requests that end their servers.
const DEADLY: &str = "/gen/again/deadly";

/// Sends the request that ends its servers again and again, to any VM and under another id each time,
/// until cancelled.
pub(crate) async fn run_deadly(world: Arc<World>, seed: u64, stop: CancellationToken) {
    let mut draw = StdRng::seed_from_u64(seed);
    for number in 0.. {
        if stop.is_cancelled() {
            return;
        }
        let vm = draw.random_range(0..world.vms.len());
        let id = format!("{}{seed:x}-{number}", crate::DEADLY);
        if let Some(mut connection) = Connection::open(vm, world.vms[vm].caller_link.address).await
        {
            let call = Call {
                id: &id,
                vm,
                path: DEADLY,
                key: crate::KEY,
                time: STREAM,
                prompt: SHORT,
                body: server::CRASH_BODY,
            };
            let wait = STREAM + SLACK * 4;
            let _ = tokio::time::timeout(wait, exchange(&mut connection, call.encode())).await;
        }
        tokio::time::sleep(Duration::from_millis(draw.random_range(20..600))).await;
    }
}
