//! Model engines: the interface that requests use, and its adapter over HTTP.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use foldlock_base::error::Refusal;
use foldlock_base::id;
use foldlock_base::size::Tokens;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde::{Deserialize, Serialize};

use crate::http::{Client, Failure as Http, body, chain};

/// Names of the headers of the engines' protocol, described in docs/UPSTREAMS.md.
pub mod header {
    /// The request's id.
    pub const REQUEST: &str = "x-request";
    /// The model.
    pub const MODEL: &str = "x-model";
    /// The most tokens to generate.
    pub const MAX_TOKENS: &str = "x-max-tokens";
    /// The priority; lower goes first.
    pub const PRIORITY: &str = "x-priority";
    /// The index that the first token gets.
    pub const FIRST_INDEX: &str = "x-first-index";
    /// Milliseconds until the engine may drop the request by itself.
    pub const DEADLINE: &str = "x-deadline-ms";
    /// Milliseconds for which a stream without a reader is kept.
    pub const LINGER: &str = "x-linger-ms";
    /// The hold whose memory the request uses.
    pub const HOLD: &str = "x-hold";
    /// Tokens of the segments before this one, on other engines.
    pub const CONTEXT_TOKENS: &str = "x-context-tokens";
    /// The exported state of the segments before this one.
    pub const CONTEXT_STATE: &str = "x-context-state";
    /// In answers: prompt tokens found in the prefix cache.
    pub const CACHED: &str = "x-cached-tokens";
    /// In refusals: whether the engine takes no more new work.
    pub const LEAVING: &str = "x-leaving";
    /// In answers: the stream's id, for resuming and cancelling.
    pub const STREAM: &str = "x-stream";
}

/// What an engine is asked to generate.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request.
    pub request: id::Request,
    /// The model.
    pub model: id::Model,
    /// The prompt, or its last segment.
    pub prompt: Bytes,
    /// The most tokens to generate.
    pub max_tokens: u64,
    /// The priority; lower goes first.
    pub priority: u8,
    /// The index of the first token: not 0 where an answer goes on.
    pub first_index: u64,
    /// How long the engine works on it at most.
    pub deadline: Duration,
    /// How long the engine keeps the stream once its reader is gone.
    pub linger: Duration,
    /// The hold of memory and what stands before this segment, for a prompt over several engines.
    pub hold: Option<Held>,
}

/// A segment of a prompt that lies in a hold.
#[derive(Debug, Clone)]
pub struct Held {
    /// The hold.
    pub hold: id::Reservation,
    /// The segments before this one.
    pub context: Context,
}

/// The exported state of the segments before one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Context {
    /// Their tokens.
    pub tokens: Tokens,
    /// What the next engine imports. Opaque; empty before the first segment.
    pub state: String,
}

/// What an engine says of itself, some time ago.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Grows with each report; a lower one is old.
    pub seq: u64,
    /// The models that it serves now.
    pub models: Vec<id::Model>,
    /// Whether it takes no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Requests that are being answered.
    pub running: u32,
    /// Requests whose prefill has not begun.
    pub waiting: u32,
    /// Prompt tokens still to be computed.
    pub prefill: Tokens,
    /// Tokens that the memory holds.
    pub memory: Tokens,
    /// Tokens of memory in use by streams and holds.
    pub used: Tokens,
}

/// Why an engine did not do as asked.
#[derive(Debug)]
pub enum Failure {
    /// It did not run.
    NotRun {
        /// The proof.
        proof: Refusal,
        /// Whether the engine says that it is leaving.
        leaving: bool,
        /// Why.
        why: String,
    },
    /// It may have run.
    Broken(String),
    /// What was asked for is not there any more.
    Gone,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::NotRun { why, .. } => write!(f, "not run: {why}"),
            Failure::Broken(why) => write!(f, "broken: {why}"),
            Failure::Gone => write!(f, "gone"),
        }
    }
}

impl std::error::Error for Failure {}

impl Failure {
    fn unconnected(why: String) -> Failure {
        Failure::NotRun { proof: Refusal::not_connected(), leaving: false, why }
    }
}

impl From<Http> for Failure {
    fn from(failure: Http) -> Failure {
        match failure {
            Http::Connect(why) => Failure::unconnected(why),
            Http::Broken(why) => Failure::Broken(why),
        }
    }
}

/// An answer that has begun.
pub trait Stream: Send {
    /// The stream's id at the engine.
    fn id(&self) -> &str;
    /// Prompt tokens that the engine found in its cache.
    fn cached(&self) -> Tokens;
    /// The next bytes of events; none at the end of the connection.
    fn next(&mut self) -> impl Future<Output = Result<Option<Bytes>, Failure>> + Send;
}

/// A model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Its streams.
    type Stream: Stream;

    /// Begins an answer.
    fn generate(&self, job: &Job) -> impl Future<Output = Result<Self::Stream, Failure>> + Send;

    /// Goes on with a stream that lost its reader, from token `index`.
    fn resume(
        &self,
        stream: &str,
        index: u64,
    ) -> impl Future<Output = Result<Self::Stream, Failure>> + Send;

    /// Ends a stream and frees its memory.
    fn cancel(&self, stream: &str) -> impl Future<Output = Result<(), Failure>> + Send;

    /// Reads the report.
    fn report(&self) -> impl Future<Output = Result<Report, Failure>> + Send;

    /// Holds memory for a time. Asking again with the same id renews the hold.
    fn hold(
        &self,
        hold: &id::Reservation,
        tokens: Tokens,
        ttl: Duration,
    ) -> impl Future<Output = Result<(), Failure>> + Send;

    /// Gives a hold back.
    fn release(&self, hold: &id::Reservation) -> impl Future<Output = Result<(), Failure>> + Send;

    /// Computes a segment of a prompt into a hold and exports its state.
    fn prefill(
        &self,
        job: &Job,
        held: &Held,
    ) -> impl Future<Output = Result<Context, Failure>> + Send;
}

/// An engine over HTTP.
#[derive(Clone)]
pub struct HttpEngine {
    client: Client,
    address: std::sync::Arc<str>,
}

/// A stream over HTTP.
pub struct HttpStream {
    id: String,
    cached: Tokens,
    body: Incoming,
}

/// How long a short call to an engine takes at most.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

impl HttpEngine {
    /// An engine at `address`, `IP:port`.
    pub fn new(client: Client, address: &str) -> HttpEngine {
        HttpEngine { client, address: address.into() }
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder().method(method).uri(format!("http://{}{path}", self.address))
    }

    fn job(&self, path: &str, job: &Job) -> http::request::Builder {
        self.request(Method::POST, path)
            .header(header::REQUEST, job.request.as_str())
            .header(header::MODEL, job.model.as_str())
            .header(header::MAX_TOKENS, job.max_tokens)
            .header(header::PRIORITY, u64::from(job.priority))
            .header(header::FIRST_INDEX, job.first_index)
            .header(header::DEADLINE, job.deadline.as_millis() as u64)
            .header(header::LINGER, job.linger.as_millis() as u64)
    }

    async fn stream(
        &self,
        request: http::request::Builder,
        body: Bytes,
    ) -> Result<HttpStream, Failure> {
        let request = build(request, body)?;
        let answer = self.client.send(request).await?;
        if answer.status() != 200 {
            return Err(refusal(answer).await);
        }
        let id = text(&answer, header::STREAM).unwrap_or_default().to_owned();
        let cached = text(&answer, header::CACHED).and_then(|v| v.parse().ok()).unwrap_or(0);
        Ok(HttpStream { id, cached: Tokens(cached), body: answer.into_body() })
    }

    async fn call(&self, request: http::request::Builder, body: Bytes) -> Result<Bytes, Failure> {
        let answer = self.client.call(build(request, body)?, CALL_TIMEOUT).await?;
        accepted(answer)
    }
}

fn build(
    request: http::request::Builder,
    bytes: Bytes,
) -> Result<Request<http_body_util::Full<Bytes>>, Failure> {
    request.body(body(bytes)).map_err(|e| Failure::unconnected(e.to_string()))
}

fn held(request: http::request::Builder, held: &Held) -> http::request::Builder {
    request
        .header(header::HOLD, held.hold.as_str())
        .header(header::CONTEXT_TOKENS, held.context.tokens.0)
        .header(header::CONTEXT_STATE, held.context.state.as_str())
}

fn text<'a, B>(answer: &'a Response<B>, name: &str) -> Option<&'a str> {
    answer.headers().get(name)?.to_str().ok()
}

/// Reads an answer that is not a success.
async fn refusal(answer: Response<Incoming>) -> Failure {
    let (head, body) = answer.into_parts();
    let body = body.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
    match accepted(Response::from_parts(head, body)) {
        Err(failure) => failure,
        Ok(_) => Failure::Broken("an unexpected status".to_owned()),
    }
}

fn accepted(answer: Response<Bytes>) -> Result<Bytes, Failure> {
    let status = answer.status().as_u16();
    if status < 300 {
        return Ok(answer.into_body());
    }
    if status == 404 || status == 410 {
        return Err(Failure::Gone);
    }
    let why = format!("status {status}: {}", String::from_utf8_lossy(answer.body()).trim());
    match Refusal::from_response(status, text(&answer, Refusal::HEADER)) {
        Some(proof) => {
            let leaving = text(&answer, header::LEAVING) == Some("true");
            Err(Failure::NotRun { proof, leaving, why })
        }
        None => Err(Failure::Broken(why)),
    }
}

impl Stream for HttpStream {
    fn id(&self) -> &str {
        &self.id
    }

    fn cached(&self) -> Tokens {
        self.cached
    }

    async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            match self.body.frame().await {
                None => return Ok(None),
                Some(Err(e)) => return Err(Failure::Broken(chain(&e))),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }
}

impl Engine for HttpEngine {
    type Stream = HttpStream;

    async fn generate(&self, job: &Job) -> Result<HttpStream, Failure> {
        let mut request = self.job("/v1/generate", job);
        if let Some(segment) = &job.hold {
            request = held(request, segment);
        }
        self.stream(request, job.prompt.clone()).await
    }

    async fn resume(&self, stream: &str, index: u64) -> Result<HttpStream, Failure> {
        let path = format!("/v1/streams/{stream}?from={index}");
        self.stream(self.request(Method::GET, &path), Bytes::new()).await
    }

    async fn cancel(&self, stream: &str) -> Result<(), Failure> {
        let path = format!("/v1/streams/{stream}");
        self.call(self.request(Method::DELETE, &path), Bytes::new()).await.map(drop)
    }

    async fn report(&self) -> Result<Report, Failure> {
        let bytes = self.call(self.request(Method::GET, "/v1/report"), Bytes::new()).await?;
        serde_json::from_slice(&bytes).map_err(|e| Failure::Broken(e.to_string()))
    }

    async fn hold(
        &self,
        hold: &id::Reservation,
        tokens: Tokens,
        ttl: Duration,
    ) -> Result<(), Failure> {
        let path = format!("/v1/holds/{hold}?tokens={tokens}&ttl_ms={}", ttl.as_millis());
        self.call(self.request(Method::PUT, &path), Bytes::new()).await.map(drop)
    }

    async fn release(&self, hold: &id::Reservation) -> Result<(), Failure> {
        let path = format!("/v1/holds/{hold}");
        self.call(self.request(Method::DELETE, &path), Bytes::new()).await.map(drop)
    }

    async fn prefill(&self, job: &Job, segment: &Held) -> Result<Context, Failure> {
        let request = held(self.job("/v1/prefill", job), segment);
        let request = build(request, job.prompt.clone())?;
        let answer = self.client.call(request, job.deadline).await?;
        let bytes = accepted(answer)?;
        serde_json::from_slice(&bytes).map_err(|e| Failure::Broken(e.to_string()))
    }
}
