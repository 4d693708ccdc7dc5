//! A request from its arrival to its answer: admitted, placed, sent, and sent again elsewhere where
//! that is allowed.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foldlock_base::error::{Attempt, Proof, Refusal, Unsent};
use foldlock_base::prelude::*;
use foldlock_request::decision::{Decision, Subject};
use foldlock_request::dialect::Dialect;
use foldlock_request::placement::Nowhere;
use foldlock_request::terms::Terms;
use foldlock_version::routes::{Organisation, Route, Service, Table, Target};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, Response};

use crate::fleet::answer::{self, Body};
use crate::fleet::attempt::{self, End};
use crate::fleet::events;
use crate::fleet::gate;
use crate::fleet::job::Job;
use crate::fleet::process::Process;
use crate::log;
use crate::serve::millis;

/// The time that a caller has who tells none: that of the platform's longest route.
const USUAL_PATIENCE: Duration = Duration::from_secs(15);

/// When a caller is told to come back who met a VM without settings, or with settings too old.
const SETTINGS_AWAY: Duration = Duration::from_millis(500);

/// The pause after memory that was counted on turned out to be taken: by then the peers have told
/// what they placed.
const MEMORY_PAUSE: Duration = Duration::from_millis(30);

/// When a caller is told to come back who met a VM that is about to end: a new connection reaches
/// another one.
const DRAINING: Duration = Duration::from_millis(50);

/// Attempts beyond the route's own that may be made while none is known to have run.
const REFUSED_MORE: u32 = 2;

/// Answers a request.
pub async fn answer<D: Dialect>(
    process: Arc<Process<D>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let arrived = process.now();
    let terms = D::terms(request.headers());
    let id = terms.request.parse().unwrap_or_else(|_| process.request_id());
    process.metrics.requests.inc();
    let answered = match admit(&process, &id, terms, request, arrived).await {
        Ok(job) => run(job).await,
        Err(error) => Err(error),
    };
    Ok(answered.unwrap_or_else(|error| {
        process.metrics.error(error.kind());
        answer::error(&error, &id)
    }))
}

fn refuse(kind: Kind, why: impl Into<String>) -> Error {
    Error::unsent(kind, why, Unsent::arrived())
}

async fn admit<D: Dialect>(
    process: &Arc<Process<D>>,
    id: &id::Request,
    terms: Terms,
    request: Request<Incoming>,
    arrived: Instant,
) -> Result<Job<D>, Error> {
    let admitted = check(process, &terms, &request).inspect_err(|error| {
        if process.trouble_lines.admit(process.now()).is_some() {
            log::refused(&process.log, id, error);
        }
    })?;
    let Admitted { route, service, organisation, version, body_bytes } = admitted;
    let patience = terms.patience.unwrap_or(USUAL_PATIENCE).min(route.timeout);
    let deadline = arrived + patience;
    let (head, body) = request.into_parts();
    let body = read_body(body, body_bytes, deadline).await?;
    process.budget.lock().unwrap().request(&service.name, process.now());
    let entry = process.ring.begin(Subject {
        request: id.clone(),
        vm: process.member.vm.clone(),
        organisation: organisation_id(organisation.as_deref()),
        kind: None,
        target: service.name.clone(),
        prompt: terms.prompt,
        arrived_ms: process.clock.wall_millis(),
    });
    let job = Job {
        process: process.clone(),
        id: id.clone(),
        terms,
        route,
        service,
        organisation,
        version,
        head,
        body,
        arrived,
        deadline,
        entry,
    };
    let timeout_ms = patience.as_millis() as u64;
    let age = process.fresh.age(process.now());
    let settings_age_ms = age.map(|age| age.as_millis() as u64);
    let prompt = job.service.engine.is_some().then_some(job.terms.prompt);
    job.record(Decision::Admitted { timeout_ms, version, settings_age_ms, prompt });
    Ok(job)
}

struct Admitted {
    route: Arc<Route>,
    service: Arc<Service>,
    organisation: Option<Arc<Organisation>>,
    version: u64,
    body_bytes: usize,
}

fn check<D: Dialect>(
    process: &Process<D>,
    terms: &Terms,
    request: &Request<Incoming>,
) -> Result<Admitted, Error> {
    if process.closing() {
        let error = refuse(Kind::Draining, "this VM is about to end");
        return Err(error.retry_after(DRAINING));
    }
    let Some(settings) = process.settings() else {
        let error = refuse(Kind::StoreUnavailable, "there are no settings yet");
        return Err(error.retry_after(SETTINGS_AWAY));
    };
    let table = &settings.table;
    let host = request.headers().get(HOST).and_then(|h| h.to_str().ok()).unwrap_or_default();
    let path = request.uri().path();
    let Some(route) = table.route(host, path) else {
        let why = format!("settings version {} has no route for {host}{path}", table.number());
        return Err(refuse(Kind::NotFound, why));
    };
    let organisation = organisation(process, table, route, terms)?;
    let service = choose(&route.targets)
        .and_then(|target| table.service(&target.service))
        .ok_or_else(|| refuse(Kind::NoUpstream, format!("route {} has no service", route.name)))?;
    Ok(Admitted {
        route: route.clone(),
        service: service.clone(),
        organisation,
        version: table.number(),
        body_bytes: table.bounds().body_bytes,
    })
}

fn organisation<D: Dialect>(
    process: &Process<D>,
    table: &Table,
    route: &Route,
    terms: &Terms,
) -> Result<Option<Arc<Organisation>>, Error> {
    if !table.keyed() || route.public {
        return Ok(None);
    }
    let found = terms.key.as_deref().and_then(|key| table.organisation(key));
    let Some(organisation) = found else {
        let why = format!("settings version {} does not know this key", table.number());
        return Err(refuse(Kind::Unauthorized, why));
    };
    let now = process.now();
    if !process.fresh.holds(now) {
        let age = process.fresh.age(now).map_or(0, |age| age.as_millis());
        let why = format!("the settings were last confirmed {age} ms ago: keys may have changed");
        return Err(refuse(Kind::StoreUnavailable, why).retry_after(SETTINGS_AWAY));
    }
    Ok(Some(organisation.clone()))
}

/// Picks a target by weight.
fn choose(targets: &[Target]) -> Option<&Target> {
    let all: u32 = targets.iter().map(|t| t.weight).sum();
    if all == 0 {
        return targets.first();
    }
    let mut at = rand::random_range(0..all);
    targets.iter().find(|target| {
        let here = at < target.weight;
        at = at.saturating_sub(target.weight);
        here
    })
}

fn organisation_id(organisation: Option<&Organisation>) -> id::Organisation {
    organisation
        .and_then(|o| o.name.parse().ok())
        .unwrap_or_else(|| "public".parse().expect("made of allowed characters"))
}

async fn read_body(body: Incoming, most: usize, deadline: Instant) -> Result<Bytes, Error> {
    let read = Limited::new(body, most).collect();
    match tokio::time::timeout_at(deadline.into(), read).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            Err(refuse(Kind::TooLarge, format!("the body is larger than {most} bytes")))
        }
        Ok(Err(e)) => Err(refuse(Kind::BadRequest, format!("the body broke off: {e}"))),
        Err(_) => Err(refuse(Kind::RequestTimeout, "the body came too slowly")),
    }
}

/// What follows an attempt.
enum Step {
    /// The request has its answer.
    Done(Result<Response<Body>, Error>),
    /// It is sent again, with what is known of it by now.
    Again(Proof),
    /// The same, once peers have told what they placed.
    Pause(Proof),
}

async fn run<D: Dialect>(job: Job<D>) -> Result<Response<Body>, Error> {
    let job = Arc::new(job);
    let mut proof = Proof::NotRun(Unsent::arrived());
    let mut tries = Tries::default();
    loop {
        let place = match gate::place(&job, &tries.avoid).await {
            Ok(place) => place,
            Err(nowhere) => return no_place(&job, tries, proof, nowhere),
        };
        let upstream = place.flight.upstream.clone();
        let attempt = proof.send();
        let end = attempt::run(&job, place, job.terms.last_event, &tries).await;
        proof = match settle(&job, &mut tries, upstream, attempt, end) {
            Step::Done(answer) => return answer,
            Step::Again(proof) => proof,
            Step::Pause(proof) => {
                tokio::time::sleep(MEMORY_PAUSE).await;
                proof
            }
        };
    }
}

/// The answer to a request for which there is no place: an upstream's own failure if there was one.
fn no_place<D: Dialect>(
    job: &Job<D>,
    tries: Tries,
    proof: Proof,
    nowhere: Nowhere,
) -> Result<Response<Body>, Error> {
    if let Some(answer) = tries.own {
        return Ok(answer);
    }
    let why = "no other upstream takes the request";
    Err(failed(
        job,
        match proof {
            Proof::NotRun(unsent) => gate::refusal(job, nowhere, unsent),
            sent => sent.error(Kind::UpstreamFailed, why, false),
        },
    ))
}

/// Decides what follows the end of an attempt.
fn settle<D: Dialect>(
    job: &Arc<Job<D>>,
    tries: &mut Tries,
    upstream: id::Upstream,
    attempt: Attempt,
    end: End<D>,
) -> Step {
    let (why, proof) = match end {
        End::Whole(answer) => {
            finished(job, None);
            return Step::Done(Ok(answer));
        }
        End::Events(begun) => {
            return Step::Done(Ok(events::relay(job.clone(), *begun, std::mem::take(tries))));
        }
        End::Deadline => {
            let why = format!("{upstream} had not answered in time");
            let error = attempt.unknown().error(Kind::DeadlineExceeded, why, false);
            return Step::Done(Err(failed(job, error)));
        }
        End::NoMemory(why) => {
            let proof = attempt.refused(Refusal::not_connected());
            return no_memory(job, tries, upstream, proof, why);
        }
        End::Unsent(why) => {
            tries.unsent += 1;
            (why, attempt.refused(Refusal::not_connected()))
        }
        End::NotRun(why) => {
            tries.refused += 1;
            (why, attempt.refused(Refusal::stated()))
        }
        End::Own(answer) => {
            tries.ran += 1;
            let why = format!("it answered {}", answer.status());
            tries.own = Some(*answer);
            (why, attempt.unknown())
        }
        End::Broken(why) => {
            tries.ran += 1;
            (why, attempt.unknown())
        }
    };
    again(job, tries, upstream, proof, why)
}

/// Memory that was counted on was taken: the request looks for another place while it may wait.
fn no_memory<D: Dialect>(
    job: &Job<D>,
    tries: &mut Tries,
    upstream: id::Upstream,
    proof: Proof,
    why: String,
) -> Step {
    if job.held() >= gate::patience(job) {
        return Step::Done(no_place(job, std::mem::take(tries), proof, Nowhere::Full));
    }
    job.record(Decision::Retried { upstream, why });
    Step::Pause(proof)
}

/// Sends a failed request again if that is allowed, or gives the final answer.
fn again<D: Dialect>(
    job: &Job<D>,
    tries: &mut Tries,
    upstream: id::Upstream,
    proof: Proof,
    why: String,
) -> Step {
    tries.avoid.push(upstream.clone());
    let not_run = matches!(proof, Proof::NotRun(_));
    if may_repeat(job, tries, not_run) {
        job.process.metrics.retries.inc();
        job.record(Decision::Retried { upstream, why });
        return Step::Again(proof);
    }
    if let Some(answer) = tries.own.take() {
        return Step::Done(Ok(answer));
    }
    let kind = if not_run { Kind::NoUpstream } else { Kind::UpstreamFailed };
    let error = proof.error(kind, format!("{upstream}: {why}"), false);
    let error = if not_run { error.retry_after(SETTINGS_AWAY) } else { error };
    Step::Done(Err(failed(job, error)))
}

/// How often a request was sent, and how that ended.
#[derive(Default)]
pub struct Tries {
    /// The last failure that was an upstream's own answer.
    pub own: Option<Response<Body>>,
    /// Upstreams that failed it.
    pub avoid: Vec<id::Upstream>,
    /// Attempts of which no byte was sent.
    pub unsent: u32,
    /// Attempts that an upstream refused to run.
    pub refused: u32,
    /// Attempts that may have run.
    pub ran: u32,
}

/// Connections that may fail before a request is given up: enough to pass over the upstreams of a
/// hall that has just been cut off.
const MOST_UNSENT: u32 = 6;

/// Decides whether a request is sent again.
pub fn may_repeat<D: Dialect>(job: &Job<D>, tries: &Tries, not_run: bool) -> bool {
    let allowed = (not_run || job.repeatable())
        && tries.unsent <= MOST_UNSENT
        && tries.ran < job.route.attempts
        && tries.ran + tries.refused < job.route.attempts + REFUSED_MORE
        && !job.left().is_zero();
    if !allowed {
        return false;
    }
    if tries.ran + tries.refused == 0 {
        // Nothing has arrived anywhere: this is no repeat.
        return true;
    }
    let vms = job.process.peers.listed_count();
    let mut budget = job.process.budget.lock().unwrap();
    budget.repeat(&job.service.name, vms, job.process.now())
}

/// Records how a request failed.
pub fn failed<D: Dialect>(job: &Job<D>, error: Error) -> Error {
    let why = error.message().to_owned();
    let retry_after_ms = error.retry().map(|d| d.as_millis() as u64);
    job.record(if error.ran() == Ran::No {
        Decision::Refused { kind: error.kind(), why, retry_after_ms }
    } else {
        Decision::Failed { kind: error.kind(), ran: error.ran(), why }
    });
    error
}

/// What became of a stream that was passed on whole.
#[derive(Debug, Clone, Copy)]
pub struct Streamed {
    /// From arrival to the first event.
    pub first: Duration,
    /// From sending to the first event.
    pub engine: Duration,
    /// The events.
    pub events: u64,
    /// The longest pause between two of them.
    pub pause: Duration,
}

/// Records that a request has its whole answer.
pub fn finished<D: Dialect>(job: &Job<D>, streamed: Option<Streamed>) {
    let first = streamed.map_or_else(|| job.held(), |s| s.first);
    job.process.metrics.answered(&job.service, job.terms.prompt.0, first);
    job.record(Decision::Finished {
        first_token_ms: millis(first),
        engine_ms: millis(streamed.map_or(first, |s| s.engine)),
        tokens: streamed.map_or(0, |s| s.events),
        pause_ms: streamed.map(|s| millis(s.pause)),
    });
}
