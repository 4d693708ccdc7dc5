//! Calls to plain services, routed by path. A call that may have run is retried only where the service
//! and the policy allow it.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foldlock_base::clock::Clock;
use foldlock_base::clock::millis;
use foldlock_base::error::{Attempt, Proof, Refusal, Unsent};
use foldlock_base::prelude::*;
use foldlock_connection::http::{Failure, body};
use foldlock_request::decision::Decision;
use foldlock_request::health::Health;
use foldlock_request::ring::Entry;
use foldlock_version::schema::Service;
use hyper::body::Incoming;
use hyper::header::{ACCEPT, CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, Uri};

use crate::answer::{self, Body};
use crate::claims::KeyClaim;
use crate::complete::{Caller, IDEMPOTENCY_KEY, reject};

/// Request headers that are forwarded.
const FORWARDED_HEADERS: [hyper::header::HeaderName; 2] = [CONTENT_TYPE, ACCEPT];

/// How long a server is considered leaving after a response that said so.
const LEAVING_TTL: Duration = Duration::from_secs(30);

#[derive(Default)]
struct State {
    in_flight: u32,
    health: Health,
    leaving_at: Option<Instant>,
}

/// State of the servers of plain services, as observed by this VM.
#[derive(Default)]
pub struct Servers {
    table: Mutex<HashMap<id::Upstream, State>>,
}

/// Counts a call as in flight on a server until dropped.
struct Flight<'a> {
    servers: &'a Servers,
    server: id::Upstream,
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        self.servers.with(&self.server, |state| state.in_flight -= 1);
    }
}

impl Servers {
    fn with<R>(&self, server: &id::Upstream, f: impl FnOnce(&mut State) -> R) -> R {
        f(self.table.lock().unwrap().entry(server.clone()).or_default())
    }

    /// Chooses the usable server with the fewest calls in flight, at random between equals.
    fn choose(
        &self,
        service: &Service,
        now: Instant,
        unusable: impl Fn(&id::Upstream) -> bool,
    ) -> Option<Flight<'_>> {
        let mut table = self.table.lock().unwrap();
        let mut usable = |server: &id::Upstream| {
            let state = table.entry(server.clone()).or_default();
            let leaving = state.leaving_at.is_some_and(|at| now < at + LEAVING_TTL);
            (!leaving && state.health.is_usable(now) && !unusable(server))
                .then_some((state.in_flight, rand::random::<u32>()))
        };
        let (_, server) = service
            .servers
            .keys()
            .filter_map(|s| Some((usable(s)?, s)))
            .min_by_key(|(load, _)| *load)?;
        let state = table.entry(server.clone()).or_default();
        state.in_flight += 1;
        state.health.on_sent();
        Some(Flight { servers: self, server: server.clone() })
    }
}

/// An admitted call.
struct Call {
    caller: Caller,
    entry: Entry,
    service: Service,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    retryable: bool,
    claim: Option<KeyClaim>,
}

enum End {
    Answered(Response<Bytes>),
    NotRun { proof: Refusal, why: String },
    Broken(String),
}

/// Handles a call to a plain service and returns its response.
pub async fn answer(
    mut caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<Body>, Error> {
    let (head, incoming) = request.into_parts();
    let path = head.uri.path();
    let (name, service) = caller
        .version
        .tree
        .service_of(path)
        .map(|(name, service)| (name.clone(), service.clone()))
        .ok_or_else(|| reject(Kind::NotFound, format!("there is no {path}")))?;
    let retryable = is_retryable(&service, &head.method, path) && caller.policy.repeatable;
    let body = caller.body(incoming).await?;
    let entry = caller.record(&format!("{name} {path}"), Tokens(0));
    caller.admit(Tokens(0)).inspect_err(|e| caller.record_rejection(&entry, e))?;
    let claim = caller.claim(&entry, retryable).await;
    let claim = claim.inspect_err(|e| caller.record_rejection(&entry, e))?;
    let call = Call {
        service,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        retryable,
        claim,
        caller,
        entry,
    };
    call.run().await
}

fn is_retryable(service: &Service, method: &Method, path: &str) -> bool {
    let rest = path.strip_prefix(service.path.as_str()).unwrap_or(path);
    let once = service
        .once
        .iter()
        .any(|p| rest.strip_prefix(p.as_str()).is_some_and(|r| r.is_empty() || r.starts_with('/')));
    !once && method.is_idempotent()
}

impl Call {
    async fn run(mut self) -> Result<Response<Body>, Error> {
        let result = self.attempts().await;
        match &result {
            Ok(_) => {
                if let Some(claim) = &mut self.claim {
                    claim.done();
                }
                let now = self.caller.process.clock.now();
                let ms = millis(now - self.caller.arrived);
                let done = Decision::Finished {
                    first_token_ms: ms,
                    engine_ms: ms,
                    tokens: 0,
                    pause_ms: None,
                };
                self.caller.step(&self.entry, done);
            }
            Err(e) if e.ran() == Ran::No => self.caller.record_rejection(&self.entry, e),
            Err(e) => {
                let why = e.message().to_owned();
                let failed =
                    Decision::Failed { kind: e.kind(), ran: e.ran(), why, silent_ms: None };
                self.caller.step(&self.entry, failed);
            }
        }
        result
    }

    async fn attempts(&mut self) -> Result<Response<Body>, Error> {
        let process = self.caller.process.clone();
        let mut proof = Proof::NotRun(Unsent::arrived());
        let mut tried: Vec<id::Upstream> = Vec::new();
        loop {
            let now = process.clock.now();
            let unusable = |s: &id::Upstream| tried.contains(s) || process.is_listed_leaving(s);
            let Some(flight) = process.servers.choose(&self.service, now, unusable) else {
                let error =
                    proof.error(Kind::NoUpstream, "no server of the service is available", false);
                return Err(error.retry_after(Duration::from_secs(1)));
            };
            self.caller.step(
                &self.entry,
                Decision::Routed {
                    upstream: flight.server.clone(),
                    route: None,
                    predicted_ms: 0.0,
                    engines: 1,
                    part_ms: 0.0,
                    candidates: Vec::new(),
                    by: None,
                    limited: 0,
                    placement_ms: 0.0,
                    grant_request: None,
                    reason: None,
                },
            );
            let attempt = proof.send();
            if let Some(claim) = &mut self.claim {
                claim.sent();
            }
            let end = self.send(&flight.server).await;
            self.record_outcome(&flight.server, &end);
            proof = match end {
                End::Answered(answer) => return Ok(forward(answer)),
                end => self.retry_or_fail(end, attempt, &flight.server, tried.len())?,
            };
            tried.push(flight.server.clone());
        }
    }

    /// Decides whether a failed attempt is retried.
    fn retry_or_fail(
        &mut self,
        end: End,
        attempt: Attempt,
        server: &id::Upstream,
        tried: usize,
    ) -> Result<Proof, Error> {
        let (proof, why) = match end {
            End::NotRun { proof, why } => (attempt.refused(proof), why),
            End::Broken(why) => (attempt.unknown(), why),
            End::Answered(_) => unreachable!("a response ends the call"),
        };
        let not_run = matches!(proof, Proof::NotRun(_));
        if let Some(claim) = &mut self.claim
            && not_run
        {
            claim.not_run();
        }
        let caller = &self.caller;
        let passed = caller.deadline.has_passed(&caller.process.clock);
        let may_retry = (not_run || self.retryable)
            && !passed
            && tried < caller.policy.retries as usize
            && caller.process.budget.retry(caller.policy.retry_budget_percent);
        if may_retry {
            caller.process.metrics.retries.inc();
            caller.step(
                &self.entry,
                Decision::Retried { upstream: server.clone(), why, silent_ms: None },
            );
            return Ok(proof);
        }
        let kind = match (passed, not_run) {
            (true, _) => Kind::DeadlineExceeded,
            (false, true) => Kind::NoUpstream,
            (false, false) => Kind::UpstreamFailed,
        };
        Err(proof.error(kind, format!("{server}: {why}"), false))
    }

    async fn send(&self, server: &id::Upstream) -> End {
        let address = &self.service.servers[server].address;
        let path = self.uri.path_and_query().map_or("/", |p| p.as_str());
        let mut request =
            Request::builder().method(&self.method).uri(format!("http://{address}{path}"));
        for name in FORWARDED_HEADERS {
            if let Some(value) = self.headers.get(&name) {
                request = request.header(name, value);
            }
        }
        if let Some(key) = &self.caller.key {
            request = request.header(IDEMPOTENCY_KEY, key);
        }
        request = request.header(answer::REQUEST_ID_HEADER, self.caller.request.as_str());
        let request = match request.body(body(self.body.clone())) {
            Ok(request) => request,
            Err(e) => return End::Broken(e.to_string()),
        };
        let process = &self.caller.process;
        let left = self.caller.deadline.remaining(&process.clock);
        match process.client.call(request, left).await {
            Ok(answer) => classify(answer),
            Err(Failure::Connect(why)) => End::NotRun { proof: Refusal::not_connected(), why },
            Err(Failure::Broken(why)) => End::Broken(why),
        }
    }

    fn record_outcome(&self, server: &id::Upstream, end: &End) {
        let now = self.caller.process.clock.now();
        self.caller.process.servers.with(server, |state| match end {
            End::Answered(_) => state.health.on_success(),
            End::Broken(_) => state.health.on_failure(now),
            End::NotRun { why, .. } if why == LEAVING => {
                state.health.on_inconclusive();
                state.leaving_at = Some(now);
            }
            End::NotRun { .. } => state.health.on_failure(now),
        });
    }
}

/// The reason of a refusal because the server is leaving, by which such refusals are recognised.
const LEAVING: &str = "the server is leaving";

/// Distinguishes a server's refusal from a response of the service.
fn classify(answer: Response<Bytes>) -> End {
    let header = |name: &str| answer.headers().get(name).and_then(|v| v.to_str().ok());
    match Refusal::from_response(answer.status().as_u16(), header(Refusal::HEADER)) {
        Some(proof) => {
            let leaving = header(foldlock_connection::engine::header::LEAVING) == Some("true");
            let why = if leaving { LEAVING.to_owned() } else { format!("{}", answer.status()) };
            End::NotRun { proof, why }
        }
        None => End::Answered(answer),
    }
}

fn forward(answer: Response<Bytes>) -> Response<Body> {
    let (head, bytes) = answer.into_parts();
    let mut out = Response::new(Body::Whole(Some(bytes)));
    *out.status_mut() = head.status;
    let default = HeaderValue::from_static("application/octet-stream");
    let kind = head.headers.get(CONTENT_TYPE).cloned().unwrap_or(default);
    out.headers_mut().insert(CONTENT_TYPE, kind);
    out
}
