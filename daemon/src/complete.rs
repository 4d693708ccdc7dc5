//! Handles callers' requests: authentication, parsing, settings, limits and idempotency keys.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foldlock_base::clock::System;
use foldlock_base::clock::millis;
use foldlock_base::error::{Proof, Unsent};
use foldlock_base::prefix;
use foldlock_base::prelude::*;
use foldlock_connection::wire::Verdict;
use foldlock_request::affinity;
use foldlock_request::claim;
use foldlock_request::decision::{self, Decision, Subject};
use foldlock_request::limit::Permit;
use foldlock_request::prompt::{self, Style};
use foldlock_request::ring::Entry;
use foldlock_version::check::nearest;
use foldlock_version::policy::Policy;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};

use crate::answer::{self, Body};
use crate::claims::{Claims, KeyClaim};
use crate::current::Version;
use crate::drain;
use crate::limits;
use crate::metrics::ByOrganisation;
use crate::process::Process;
use crate::serve::{self, Job};
use crate::sink::{self, Events};
use crate::{plain, resume};

/// Request header with the kind of request.
pub const KIND: &str = "x-request-kind";

/// Request header with the caller's timeout, in milliseconds.
pub const TIMEOUT: &str = "x-request-timeout-ms";

/// Request header with the idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Request header with the cursor of the last event received, to resume a stream.
pub const LAST_EVENT: &str = "last-event-id";

/// Maximum length of an idempotency key.
const MAX_KEY_LEN: usize = 256;

/// Maximum time to receive a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// An authenticated caller, with the settings that apply to the request.
pub struct Caller {
    /// The process that handles the request.
    pub process: Arc<Process>,
    /// Id of the request.
    pub request: id::Request,
    /// When the request arrived.
    pub arrived: std::time::Instant,
    /// The settings version that applies.
    pub version: Arc<Version>,
    /// The organisation of the caller.
    pub organisation: id::Organisation,
    /// The kind of request, if the caller named one.
    pub kind: Option<id::Kind>,
    /// The effective settings for the organisation and kind.
    pub policy: Arc<Policy>,
    /// Deadline of the request.
    pub deadline: Deadline,
    /// Idempotency key, if the caller sent one.
    pub key: Option<String>,
    permits: Vec<Permit<System>>,
}

/// An error for a request that was not sent to an upstream.
pub fn reject(kind: Kind, message: impl Into<String>) -> Error {
    Error::unsent(kind, message, Unsent::arrived())
}

/// Handles a request and returns the response.
pub async fn answer(process: Arc<Process>, request: Request<Incoming>) -> Response<Body> {
    let id = process.request_id();
    let guard = drain::track_request(&process);
    let result = if process.drain.closed() {
        let error = reject(Kind::Draining, "this VM is stopping");
        Err(error.retry_after(Duration::from_millis(50)))
    } else {
        route(&process, &id, request, guard).await
    };
    let mut answer = result.unwrap_or_else(|error| {
        process.metrics.count_error(error.kind());
        answer::error(&error, &id)
    });
    let headers = answer.headers_mut();
    let value = |text: &str| HeaderValue::try_from(text).expect("identifiers fit headers");
    headers.insert(answer::REQUEST_ID_HEADER, value(id.as_str()));
    headers.insert(answer::VM_HEADER, value(process.config.vm.as_str()));
    answer
}

async fn route(
    process: &Arc<Process>,
    id: &id::Request,
    request: Request<Incoming>,
    guard: drain::RequestGuard,
) -> Result<Response<Body>, Error> {
    let caller = Caller::from_headers(process, id, request.headers())?;
    let counted = ByOrganisation { organisation: caller.organisation.to_string() };
    process.metrics.requests.get_or_create(&counted).inc();
    let style = match request.uri().path() {
        "/v1/completions" => Style::Completion,
        "/v1/chat/completions" => Style::Chat,
        "/v1/streams" => return resume::answer(caller, &request, guard).await,
        path if caller.version.tree.service_of(path).is_some() => {
            return plain::answer(caller, request).await;
        }
        path => return Err(reject(Kind::NotFound, format!("there is no {path}"))),
    };
    if request.method() != Method::POST {
        return Err(reject(Kind::MethodNotAllowed, "a completion is asked for by POST"));
    }
    if request.headers().contains_key(LAST_EVENT) {
        return resume::answer(caller, &request, guard).await;
    }
    let body = caller.body(request.into_body()).await?;
    complete(caller, style, &body, guard).await
}

impl Caller {
    fn from_headers(
        process: &Arc<Process>,
        id: &id::Request,
        headers: &HeaderMap,
    ) -> Result<Caller, Error> {
        let version = process.current.get();
        if version.head.version == 0 {
            return Err(reject(Kind::StoreUnavailable, "there are no settings yet")
                .retry_after(Duration::from_secs(1)));
        }
        let key = bearer(headers)
            .ok_or_else(|| reject(Kind::Unauthorized, "`Authorization: Bearer KEY` is needed"))?;
        let organisation = version
            .tree
            .organisation_of(key)
            .cloned()
            .ok_or_else(|| reject(Kind::Unauthorized, "no organisation has this key"))?;
        let kind = kind_of(&version, &organisation, headers)?;
        let effective = version.tree.effective(&organisation, kind.as_ref());
        let policy = effective
            .map(|e| e.policy.clone())
            .ok_or_else(|| reject(Kind::Internal, "the organisation has no settings"))?;
        let timeout = policy.timeout(timeout_of(headers)?);
        Ok(Caller {
            process: process.clone(),
            request: id.clone(),
            arrived: process.clock.now(),
            deadline: Deadline::after(&process.clock, timeout),
            key: idempotency_key(headers)?,
            version,
            organisation,
            kind,
            policy,
            permits: Vec::new(),
        })
    }

    /// Reads the body, up to the size allowed by the settings.
    pub async fn body(&self, body: Incoming) -> Result<Bytes, Error> {
        let max_bytes = self.policy.max_body_bytes;
        let wait = self.deadline.remaining(&self.process.clock).min(BODY_TIMEOUT);
        match tokio::time::timeout(wait, Limited::new(body, max_bytes).collect()).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(e)) if e.is::<LengthLimitError>() => {
                Err(reject(Kind::TooLarge, format!("the body is larger than {max_bytes} bytes")))
            }
            Ok(Err(e)) => Err(reject(Kind::BadRequest, format!("the body was cut off: {e}"))),
            Err(_) => Err(reject(Kind::RequestTimeout, "timed out while receiving the body")),
        }
    }

    /// Admits the request under the limits of its organisation and kind.
    pub fn admit(&mut self, prompt: Tokens) -> Result<(), Error> {
        let vms = self.process.members.live().len();
        let tree = &self.version.tree;
        let mut names = vec![(limits::name(&self.organisation, None), None)];
        if let Some(kind) = &self.kind {
            names.push((limits::name(&self.organisation, Some(kind)), Some(kind)));
        }
        for (name, kind) in names {
            let Some(effective) = tree.effective(&self.organisation, kind) else { continue };
            match self.process.limits.admit(&name, &effective.policy, vms, prompt) {
                Ok(permit) => self.permits.extend(permit),
                Err(exceeded) => {
                    let why = format!("limit `{}` of {name} exceeded", exceeded.limit);
                    return Err(reject(Kind::Limited, why).retry_after(exceeded.retry_after));
                }
            }
        }
        self.process.budget.request();
        Ok(())
    }

    /// Starts the decision record.
    pub fn record(&self, target: &str, prompt: Tokens) -> Entry {
        self.process.ring.begin(Subject {
            request: self.request.clone(),
            vm: self.process.config.vm.clone(),
            organisation: self.organisation.clone(),
            kind: self.kind.clone(),
            target: target.to_owned(),
            prompt,
            arrived_ms: self.process.clock.wall_millis(),
        })
    }

    /// Adds a decision to the record.
    pub fn step(&self, entry: &Entry, decision: Decision) {
        let at_ms = millis(self.process.clock.now() - self.arrived);
        entry.add(decision::Entry { at_ms, decision });
    }

    /// Records that the request is rejected.
    pub fn record_rejection(&self, entry: &Entry, error: &Error) {
        self.step(entry, Decision::rejected(error));
    }

    /// Claims the idempotency key, if there is one and the request must not be repeated.
    pub async fn claim(&self, entry: &Entry, repeatable: bool) -> Result<Option<KeyClaim>, Error> {
        let Some(key) = self.key.as_deref().filter(|_| !repeatable) else { return Ok(None) };
        let started = self.process.clock.now();
        let hash = claim::hash(&self.organisation, key);
        let left = self.deadline.remaining(&self.process.clock);
        let claimed = tokio::time::timeout(left, Claims::claim(&self.process, hash)).await;
        let waited_ms = millis(self.process.clock.now() - started);
        let verdict = match claimed {
            Ok(Ok(key_claim)) => {
                self.step(entry, Decision::Claimed { won: true, waited_ms });
                return Ok(Some(key_claim));
            }
            Ok(Err(verdict)) => verdict,
            Err(_) => Verdict::Unavailable,
        };
        self.step(entry, Decision::Claimed { won: false, waited_ms });
        Err(match verdict {
            Verdict::Ran => Error::claimed("a request with this key has run", Ran::Yes),
            Verdict::Taken | Verdict::Won => {
                let why = "a request with this key was sent; its outcome is not known";
                Error::claimed(why, Ran::Unknown)
            }
            Verdict::Unavailable => {
                let why = "the key cannot be claimed: the key-value service does not respond";
                reject(Kind::StoreUnavailable, why).retry_after(Duration::from_secs(1))
            }
        })
    }
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

fn kind_of(
    version: &Version,
    organisation: &id::Organisation,
    headers: &HeaderMap,
) -> Result<Option<id::Kind>, Error> {
    let Some(value) = headers.get(KIND) else { return Ok(None) };
    let text = value.to_str().unwrap_or_default();
    let kinds = &version.tree.organisations[organisation].kinds;
    if let Ok(kind) = text.parse::<id::Kind>()
        && kinds.contains_key(&kind)
    {
        return Ok(Some(kind));
    }
    let mut why = format!("`{KIND}: {text}` is not a kind of {organisation}");
    if let Some(near) = nearest(text, kinds.keys().map(id::Kind::as_str)) {
        why.push_str(&format!("; did you mean `{near}`?"));
    }
    Err(reject(Kind::BadRequest, why))
}

fn timeout_of(headers: &HeaderMap) -> Result<Option<Duration>, Error> {
    let Some(value) = headers.get(TIMEOUT) else { return Ok(None) };
    let millis = value.to_str().ok().and_then(|v| v.parse::<u64>().ok()).filter(|ms| *ms > 0);
    match millis {
        Some(millis) => Ok(Some(Duration::from_millis(millis))),
        None => Err(reject(Kind::BadRequest, format!("`{TIMEOUT}` is milliseconds, at least 1"))),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Error> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_KEY_LEN => Ok(Some(text.to_owned())),
        _ => {
            let why = format!("`{IDEMPOTENCY_KEY}` is 1 to {MAX_KEY_LEN} visible characters");
            Err(reject(Kind::BadRequest, why))
        }
    }
}

async fn complete(
    mut caller: Caller,
    style: Style,
    body: &[u8],
    guard: drain::RequestGuard,
) -> Result<Response<Body>, Error> {
    let prompt = prompt::parse(style, body).map_err(|e| reject(Kind::BadRequest, e.to_string()))?;
    let models = &caller.version.tree.fleet.models;
    let Some(model) = models.get(&prompt.model) else {
        let mut why = format!("there is no model `{}`", prompt.model);
        if let Some(near) = nearest(prompt.model.as_str(), models.keys().map(id::Model::as_str)) {
            why.push_str(&format!("; did you mean `{near}`?"));
        }
        return Err(reject(Kind::UnknownModel, why));
    };
    let bytes_per_token = model.bytes_per_token;
    let tokens = prompt.tokens(bytes_per_token);
    let max_answer_tokens = caller.policy.max_answer_tokens;
    let max_tokens = prompt.max_tokens.unwrap_or(max_answer_tokens).min(max_answer_tokens);
    if tokens.0 + max_tokens > model.context_tokens {
        let why =
            format!("{tokens} + {max_tokens} tokens; the model takes {}", model.context_tokens);
        return Err(reject(Kind::PromptTooLong, why));
    }
    let entry = caller.record(prompt.model.as_str(), tokens);
    caller.admit(tokens).inspect_err(|e| caller.record_rejection(&entry, e))?;
    caller.step(
        &entry,
        Decision::Admitted {
            timeout_ms: caller.deadline.remaining(&caller.process.clock).as_millis() as u64,
            version: caller.version.head.version,
            settings_age_ms: None,
            prompt: Some(tokens),
            fingerprint: None,
            parts: Vec::new(),
        },
    );
    let claim = caller.claim(&entry, caller.policy.repeatable).await;
    let claim = claim.inspect_err(|e| caller.record_rejection(&entry, e))?;
    let job = Job {
        blocks: prefix::blocks(&prompt.text, affinity::MAX_PROMPT_BLOCKS),
        process: caller.process.clone(),
        entry,
        arrived: caller.arrived,
        deadline: caller.deadline,
        organisation: caller.organisation.clone(),
        policy: caller.policy.clone(),
        version: caller.version.clone(),
        request: caller.request.clone(),
        prompt,
        tokens,
        max_tokens,
        bytes_per_token,
    };
    if job.prompt.stream {
        stream(caller, job, claim, guard).await
    } else {
        whole(job, claim).await
    }
}

async fn whole(job: Job, mut claim: Option<KeyClaim>) -> Result<Response<Body>, Error> {
    let mut sink = sink::Buffer::default();
    let finished = serve::run(&job, &mut sink, &mut claim).await?;
    Ok(answer::json(StatusCode::OK, &sink::completion(&job, &sink, finished.tokens)))
}

async fn stream(
    caller: Caller,
    job: Job,
    mut claim: Option<KeyClaim>,
    guard: drain::RequestGuard,
) -> Result<Response<Body>, Error> {
    let (mut sink, receiver) = Events::new(&job.request, &job.prompt.model, job.prompt.style);
    tokio::spawn(async move {
        // Until the stream ends, the request counts against the limits, and a stopping VM waits for
        // it.
        let _caller = caller;
        let _guard = guard;
        job.process.metrics.open_streams.inc();
        if let Err(error) = serve::run(&job, &mut sink, &mut claim).await {
            sink.fail(error, &job.request).await;
        }
        job.process.metrics.open_streams.dec();
    });
    match receiver.started.await {
        Ok(Ok(())) => Ok(answer::stream("text/event-stream", receiver.parts)),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(Proof::MayHaveRun(Unsent::arrived().send()).error(
            Kind::Internal,
            "the request's task ended",
            false,
        )),
    }
}
