//! Interface to model engines, and its implementation over HTTP.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use foldlock_base::error::Refusal;
use foldlock_base::id;
use foldlock_base::size::Tokens;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde::{Deserialize, Serialize};

use crate::http::{Client, Failure as Http, body, chain};

/// Header names of the engine protocol, which docs/UPSTREAMS.md describes.
pub mod header {
    /// Id of the request.
    pub const REQUEST: &str = "x-request";
    /// Id of the model.
    pub const MODEL: &str = "x-model";
    /// Maximum number of tokens to generate.
    pub const MAX_TOKENS: &str = "x-max-tokens";
    /// Priority; lower values go first.
    pub const PRIORITY: &str = "x-priority";
    /// Index of the first generated token.
    pub const FIRST_INDEX: &str = "x-first-index";
    /// Milliseconds after which the engine may abort the request by itself.
    pub const DEADLINE: &str = "x-deadline-ms";
    /// Milliseconds for which the engine keeps a stream whose reader has disconnected.
    pub const LINGER: &str = "x-linger-ms";
    /// Id of the memory reservation that the request uses.
    pub const RESERVATION: &str = "x-hold";
    /// Number of tokens in the previous segments of the prompt, which are on other engines.
    pub const CONTEXT_TOKENS: &str = "x-context-tokens";
    /// Exported state of the previous segments.
    pub const CONTEXT_STATE: &str = "x-context-state";
    /// Response header: number of prompt tokens found in the prefix cache.
    pub const CACHED: &str = "x-cached-tokens";
    /// Header of a refusal: whether the engine is shutting down and accepts no new requests.
    pub const LEAVING: &str = "x-leaving";
    /// Response header: id of the stream, by which it is resumed or cancelled.
    pub const STREAM: &str = "x-stream";
}

/// A generation job for an engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// Id of the request.
    pub request: id::Request,
    /// Id of the model.
    pub model: id::Model,
    /// The prompt, or its last segment.
    pub prompt: Bytes,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Priority; lower values go first.
    pub priority: u8,
    /// Index of the first token; above 0 if a previous attempt generated part of the answer.
    pub first_index: u64,
    /// Time after which the engine may abort the request.
    pub deadline: Duration,
    /// How long the engine keeps the stream after its reader has disconnected.
    pub linger: Duration,
    /// Reservation and context of this segment, for a prompt that is split over several engines.
    pub segment: Option<Segment>,
}

/// A segment of a prompt, in memory that an engine has reserved for it.
#[derive(Debug, Clone)]
pub struct Segment {
    /// Id of the reservation.
    pub reservation: id::Reservation,
    /// State of the previous segments.
    pub context: Context,
}

/// Exported state of the segments before a given one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Context {
    /// Number of tokens in these segments.
    pub tokens: Tokens,
    /// Opaque state that the next engine imports; empty before the first segment.
    pub state: String,
}

/// A load report of an engine. It lags behind the actual state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Sequence number, which grows with each report; a report with a lower one is stale.
    pub seq: u64,
    /// Models that the engine serves.
    pub models: Vec<id::Model>,
    /// Whether the engine is shutting down and accepts no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// Requests in prefill or decode.
    pub running: u32,
    /// Requests whose prefill has not started.
    pub waiting: u32,
    /// Prompt tokens whose prefill is not finished.
    pub prefill: Tokens,
    /// Memory capacity, tokens.
    pub memory: Tokens,
    /// Memory in use by streams and reservations, tokens.
    pub used: Tokens,
}

/// Why a call to an engine failed.
#[derive(Debug)]
pub enum Failure {
    /// There was no connection to the engine, so nothing was sent.
    NotConnected(String),
    /// The request did not run.
    NotRun {
        /// Evidence that the request did not run.
        proof: Refusal,
        /// Whether the engine reported that it is shutting down.
        leaving: bool,
        /// Reason, for logs and errors.
        why: String,
    },
    /// The request may have run.
    Broken(String),
    /// The stream or reservation no longer exists.
    Gone,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::NotConnected(why) => write!(f, "not connected: {why}"),
            Failure::NotRun { why, .. } => write!(f, "not run: {why}"),
            Failure::Broken(why) => write!(f, "broken: {why}"),
            Failure::Gone => write!(f, "gone"),
        }
    }
}

impl std::error::Error for Failure {}

impl Failure {
    /// The request could not be built, so nothing was sent. This says nothing of the engine.
    fn not_built(why: String) -> Failure {
        Failure::NotRun { proof: Refusal::not_connected(), leaving: false, why }
    }
}

impl From<Http> for Failure {
    fn from(failure: Http) -> Failure {
        match failure {
            Http::Connect(why) => Failure::NotConnected(why),
            Http::Broken(why) => Failure::Broken(why),
        }
    }
}

/// A response stream of an engine.
pub trait Stream: Send {
    /// Id of the stream at the engine.
    fn id(&self) -> &str;
    /// Number of prompt tokens that the engine found in its prefix cache.
    fn cached(&self) -> Tokens;
    /// Next bytes of the event stream; none at its end.
    fn next(&mut self) -> impl Future<Output = Result<Option<Bytes>, Failure>> + Send;
}

/// A model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Type of the response streams.
    type Stream: Stream;

    /// Starts a generation.
    fn generate(&self, job: &Job) -> impl Future<Output = Result<Self::Stream, Failure>> + Send;

    /// Resumes a stream whose reader has disconnected, from token `index`.
    fn resume(
        &self,
        stream: &str,
        index: u64,
    ) -> impl Future<Output = Result<Self::Stream, Failure>> + Send;

    /// Cancels a stream and frees its memory.
    fn cancel(&self, stream: &str) -> impl Future<Output = Result<(), Failure>> + Send;

    /// Reads the load report.
    fn report(&self) -> impl Future<Output = Result<Report, Failure>> + Send;

    /// Reserves memory for `ttl`, and waits for the response for `timeout`. A further call with the same id renews the
    /// reservation.
    fn reserve(
        &self,
        hold: &id::Reservation,
        tokens: Tokens,
        ttl: Duration,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), Failure>> + Send;

    /// Releases a reservation.
    fn release(&self, hold: &id::Reservation) -> impl Future<Output = Result<(), Failure>> + Send;

    /// Runs the prefill of a segment into its reservation and exports the resulting state.
    fn prefill(
        &self,
        job: &Job,
        segment: &Segment,
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

/// Timeout of calls other than generation, prefill and renewals of reservations.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(800);

impl HttpEngine {
    /// Creates a client of the engine at `address` (`IP:port`).
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
        let response = self.client.send(request).await?;
        if response.status() != 200 {
            return Err(read_failure(response).await);
        }
        let id = header_text(&response, header::STREAM).unwrap_or_default().to_owned();
        let cached =
            header_text(&response, header::CACHED).and_then(|v| v.parse().ok()).unwrap_or(0);
        Ok(HttpStream { id, cached: Tokens(cached), body: response.into_body() })
    }

    async fn call(&self, request: http::request::Builder, body: Bytes) -> Result<Bytes, Failure> {
        let response = self.client.call(build(request, body)?, CALL_TIMEOUT).await?;
        check_status(response)
    }
}

fn build(
    request: http::request::Builder,
    bytes: Bytes,
) -> Result<Request<http_body_util::Full<Bytes>>, Failure> {
    request.body(body(bytes)).map_err(|e| Failure::not_built(e.to_string()))
}

fn segment_headers(request: http::request::Builder, segment: &Segment) -> http::request::Builder {
    request
        .header(header::RESERVATION, segment.reservation.as_str())
        .header(header::CONTEXT_TOKENS, segment.context.tokens.0)
        .header(header::CONTEXT_STATE, segment.context.state.as_str())
}

fn header_text<'a, B>(response: &'a Response<B>, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

/// Maximum size of the body of an unsuccessful response, bytes. A longer one is ignored.
const MAX_FAILURE_BYTES: usize = 64 << 10;

/// Reads the body of an unsuccessful response and returns the failure.
async fn read_failure(response: Response<Incoming>) -> Failure {
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_FAILURE_BYTES).collect().await;
    let body = body.map(|b| b.to_bytes()).unwrap_or_default();
    match check_status(Response::from_parts(head, body)) {
        Err(failure) => failure,
        Ok(_) => Failure::Broken("unexpected status".to_owned()),
    }
}

fn check_status(response: Response<Bytes>) -> Result<Bytes, Failure> {
    let status = response.status().as_u16();
    if status < 300 {
        return Ok(response.into_body());
    }
    if status == 404 || status == 410 {
        return Err(Failure::Gone);
    }
    let why = format!("status {status}: {}", String::from_utf8_lossy(response.body()).trim());
    match Refusal::from_response(status, header_text(&response, Refusal::HEADER)) {
        Some(proof) => {
            let leaving = header_text(&response, header::LEAVING) == Some("true");
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
        if let Some(segment) = &job.segment {
            request = segment_headers(request, segment);
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

    async fn reserve(
        &self,
        hold: &id::Reservation,
        tokens: Tokens,
        ttl: Duration,
        timeout: Duration,
    ) -> Result<(), Failure> {
        let path = format!("/v1/holds/{hold}?tokens={tokens}&ttl_ms={}", ttl.as_millis());
        let request = build(self.request(Method::PUT, &path), Bytes::new())?;
        check_status(self.client.call(request, timeout).await?).map(drop)
    }

    async fn release(&self, hold: &id::Reservation) -> Result<(), Failure> {
        let path = format!("/v1/holds/{hold}");
        self.call(self.request(Method::DELETE, &path), Bytes::new()).await.map(drop)
    }

    async fn prefill(&self, job: &Job, segment: &Segment) -> Result<Context, Failure> {
        let request = segment_headers(self.job("/v1/prefill", job), segment);
        let request = build(request, job.prompt.clone())?;
        let response = self.client.call(request, job.deadline).await?;
        let bytes = check_status(response)?;
        serde_json::from_slice(&bytes).map_err(|e| Failure::Broken(e.to_string()))
    }
}
