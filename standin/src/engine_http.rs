//! HTTP server for the protocol of a model engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foldlock_connection::engine::{Context, header as name};
use foldlock_connection::events::Raw;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Method, Request, Response};
use serde::Deserialize;

use crate::engine::{self, Engine, Settings};
use crate::fault::{Fault, Kind};
use crate::server::{self, Body, Handle, header, json, query, refusal, text};
use crate::stream::Stream;

/// An engine and its HTTP server.
pub struct Serving {
    /// The engine.
    pub engine: Arc<Engine>,
    /// The HTTP server.
    pub server: Handle,
    work: tokio::task::JoinHandle<()>,
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.work.abort();
    }
}

/// Creates an engine and serves it on `address`.
pub async fn serve(address: SocketAddr, settings: Settings) -> std::io::Result<Serving> {
    let engine = Engine::new(settings);
    let work = tokio::spawn(engine.clone().run());
    let handler = {
        let engine = engine.clone();
        move |request| handle(engine.clone(), request)
    };
    let server = server::serve(address, handler).await?;
    Ok(Serving { engine, server, work })
}

#[derive(Deserialize)]
struct Order {
    fence: u64,
    models: Vec<String>,
}

async fn handle(engine: Arc<Engine>, request: Request<Incoming>) -> Response<Body> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    if !path.starts_with("/admin") {
        engine.resumed().await;
    }
    match (&method, segments.as_slice()) {
        (&Method::POST, ["v1", "generate"]) => generate(engine, request).await,
        (&Method::POST, ["v1", "prefill"]) => prefill(engine, request).await,
        (&Method::GET, ["v1", "streams", id]) => resume(&engine, id, &request),
        (&Method::DELETE, ["v1", "streams", id]) => deleted(engine.cancel(id)),
        (&Method::GET, ["v1", "report"]) => json(&engine.report()),
        (&Method::GET, ["v1", "cache-events"]) => {
            json(&engine.cache_events(query(&request, "after").unwrap_or(0)))
        }
        (&Method::PUT, ["v1", "holds", id]) => {
            let tokens = query(&request, "tokens").unwrap_or(0);
            let ttl = Duration::from_millis(query(&request, "ttl_ms").unwrap_or(0));
            accepted(engine.reserve(id, tokens, ttl))
        }
        (&Method::DELETE, ["v1", "holds", id]) => deleted(engine.release(id)),
        (&Method::GET, ["v1", "holds", id, "export"]) => match engine.export(id) {
            Some((tokens, state)) => json(&context(tokens, state)),
            None => text(404, "no such reservation"),
        },
        (&Method::POST, ["v1", "holds", id, "import"]) => {
            match serde_json::from_slice::<Context>(&server::read_body(request).await) {
                Ok(c) => {
                    accepted(engine.import(id, c.tokens.0, parse_state(&c.state).unwrap_or(0)))
                }
                Err(_) => text(400, "invalid export"),
            }
        }
        (&Method::POST, ["v1", "orders"]) => {
            match serde_json::from_slice::<Order>(&server::read_body(request).await) {
                Ok(order) => accepted(engine.set_models(order.fence, order.models)),
                Err(_) => text(400, "invalid order"),
            }
        }
        (&Method::POST, ["admin", "fault"]) => {
            match serde_json::from_slice::<Fault>(&server::read_body(request).await) {
                Ok(fault) => {
                    engine.add_fault(fault);
                    text(200, "")
                }
                Err(_) => text(400, "invalid fault"),
            }
        }
        (&Method::POST, ["admin", "leave"]) => {
            engine.set_leaving(query(&request, "leaving").unwrap_or(true));
            text(200, "")
        }
        (&Method::POST, ["admin", "speed"]) => {
            engine.set_speed(query(&request, "speed").unwrap_or(1.0));
            text(200, "")
        }
        (&Method::GET, ["admin", "stats"]) => json(&engine.stats()),
        _ => text(404, "no such path"),
    }
}

fn deleted(existed: bool) -> Response<Body> {
    if existed { text(200, "") } else { text(404, "gone") }
}

fn accepted(result: Result<(), (u16, &'static str)>) -> Response<Body> {
    match result {
        Ok(()) => text(200, ""),
        Err((status, reason)) => refusal(status, reason),
    }
}

fn context(tokens: u64, state: u64) -> Context {
    Context { tokens: foldlock_base::size::Tokens(tokens), state: format!("{state:x}") }
}

fn parse_state(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}

async fn parse(request: Request<Incoming>) -> engine::Request {
    let context: String = header(&request, name::CONTEXT_STATE).unwrap_or_default();
    let reservation: Option<String> = header(&request, name::RESERVATION);
    engine::Request {
        id: header(&request, name::REQUEST).unwrap_or_default(),
        model: header(&request, name::MODEL).unwrap_or_default(),
        max_tokens: header(&request, name::MAX_TOKENS).unwrap_or(0),
        priority: header(&request, name::PRIORITY).unwrap_or(9),
        first_index: header(&request, name::FIRST_INDEX).unwrap_or(0),
        deadline: Duration::from_millis(header(&request, name::DEADLINE).unwrap_or(600_000)),
        linger: Duration::from_millis(header(&request, name::LINGER).unwrap_or(0)),
        context_tokens: header(&request, name::CONTEXT_TOKENS).unwrap_or(0),
        context_state: parse_state(&context),
        reservation,
        prompt: server::read_body(request).await,
    }
}

async fn generate(engine: Arc<Engine>, request: Request<Incoming>) -> Response<Body> {
    let request = parse(request).await;
    match engine.submit(request) {
        Ok(stream) => {
            if let Some(Fault { kind: Kind::DelayResponse(ms), .. }) = stream.fault {
                tokio::time::sleep(Duration::from_millis(ms)).await;
            }
            events(stream, 0)
        }
        Err((status, reason)) => refusal(status, reason),
    }
}

/// Prefills a segment and responds with its exported state.
async fn prefill(engine: Arc<Engine>, request: Request<Incoming>) -> Response<Body> {
    let mut request = parse(request).await;
    request.max_tokens = 0;
    let before = request.context_tokens;
    let tokens = (request.prompt.len() as u64).div_ceil(crate::answer::TOKEN_LEN as u64);
    let stream = match engine.submit(request) {
        Ok(stream) => stream,
        Err((status, reason)) => return refusal(status, reason),
    };
    let _reader = Reader::new(stream.clone());
    loop {
        let changed = stream.changed();
        match stream.read(|o| (o.state, o.aborted)) {
            (_, true) => return text(500, "request aborted"),
            (Some(state), _) => return json(&context(before + tokens, state)),
            _ => changed.await,
        }
    }
}

fn resume(engine: &Engine, id: &str, request: &Request<Incoming>) -> Response<Body> {
    let from: u64 = query(request, "from").unwrap_or(0);
    match engine.stream(id) {
        Some(stream) => {
            let skip = from.saturating_sub(stream.first_index);
            events(stream, skip as usize)
        }
        None => text(410, "gone"),
    }
}

/// Guard that registers a reader of a stream until dropped.
struct Reader(Arc<Stream>);

impl Reader {
    fn new(stream: Arc<Stream>) -> Reader {
        stream.add_reader();
        Reader(stream)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.0.remove_reader();
    }
}

struct Encoder {
    reader: Reader,
    next: usize,
    ended: bool,
    stalled: bool,
}

fn events(stream: Arc<Stream>, from: usize) -> Response<Body> {
    let id = stream.id.clone();
    let cached = stream.cached;
    let encoder = Encoder { reader: Reader::new(stream), next: from, ended: false, stalled: false };
    let frames = stream::unfold(encoder, |mut encoder| async move {
        let bytes = encoder.next_bytes().await?;
        Some((bytes.map(Frame::data), encoder))
    });
    Response::builder()
        .header("content-type", "text/event-stream")
        .header(name::STREAM, id)
        .header(name::CACHED, cached)
        .body(StreamBody::new(frames).boxed())
        .expect("plain headers")
}

impl Encoder {
    /// Waits for output and encodes all available tokens as events.
    async fn next_bytes(&mut self) -> Option<std::io::Result<Bytes>> {
        if self.ended {
            return None;
        }
        let stream = self.reader.0.clone();
        loop {
            let changed = stream.changed();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if let Some(pause) = self.stall(&stream) {
                tokio::time::sleep(pause).await;
                self.stalled = true;
            }
            let (bytes, aborted) =
                stream.read(|o| (self.encode(&stream, &o.tokens, o.end), o.aborted));
            if !bytes.is_empty() {
                return Some(Ok(bytes.into()));
            }
            if self.is_disconnected(&stream) || aborted {
                self.ended = true;
                return Some(Err(std::io::Error::other("cut")));
            }
            if self.is_frozen(&stream) {
                std::future::pending::<()>().await;
            }
            changed.await;
        }
    }

    fn encode(&mut self, stream: &Stream, tokens: &[String], end: Option<&str>) -> String {
        let mut out = String::new();
        while self.next < tokens.len() {
            self.encode_token(stream, tokens, &mut out);
            if self.is_frozen(stream)
                || self.is_disconnected(stream)
                || self.stall(stream).is_some()
            {
                return out;
            }
        }
        if let Some(end) = end {
            let index = stream.first_index + tokens.len() as u64;
            push_event(&mut out, &stream.request, index, None, Some(end));
            self.ended = true;
        }
        out
    }

    fn encode_token(&mut self, stream: &Stream, tokens: &[String], out: &mut String) {
        let at = self.next;
        self.next += 1;
        let index = stream.first_index + at as u64;
        let push_token = |out: &mut String, i: usize| {
            let index = stream.first_index + i as u64;
            push_event(out, &stream.request, index, Some(&tokens[i]), None);
        };
        match stream.fault.filter(|f| f.at == at as u64).map(|f| f.kind) {
            Some(Kind::Skip) => {}
            Some(Kind::Duplicate) => {
                push_token(out, at);
                push_token(out, at);
            }
            Some(Kind::WrongRequest) => push_event(out, "someone-else", index, Some("xxx "), None),
            Some(Kind::Reorder) if at + 1 < tokens.len() => {
                push_token(out, at + 1);
                push_token(out, at);
                self.next += 1;
            }
            _ => push_token(out, at),
        }
    }

    fn is_frozen(&self, stream: &Stream) -> bool {
        stream.fault.is_some_and(|f| f.kind == Kind::Freeze && self.next as u64 >= f.at)
    }

    /// The pause that is due before the next event.
    fn stall(&self, stream: &Stream) -> Option<Duration> {
        match stream.fault {
            Some(Fault { kind: Kind::Stall(ms), at, .. })
                if !self.stalled && self.next as u64 >= at =>
            {
                Some(Duration::from_millis(ms))
            }
            _ => None,
        }
    }

    fn is_disconnected(&self, stream: &Stream) -> bool {
        let disconnects = |f: Fault| matches!(f.kind, Kind::Disconnect | Kind::LoseResponse);
        stream.fault.is_some_and(|f| disconnects(f) && self.next as u64 >= f.at)
    }
}

fn push_event(out: &mut String, request: &str, index: u64, text: Option<&str>, end: Option<&str>) {
    let raw =
        Raw { r: request.into(), i: index, t: text.map(Into::into), end: end.map(Into::into) };
    out.push_str("data: ");
    out.push_str(&serde_json::to_string(&raw).expect("plain data"));
    out.push_str("\n\n");
}
