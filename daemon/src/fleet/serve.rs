//! A request from its arrival to its answer: admitted, placed, sent, and sent again elsewhere where
//! that is allowed.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use foldlock_base::error::{Attempt, Proof, Refusal, Unsent};
use foldlock_base::prelude::*;
use foldlock_request::decision::Decision;
use foldlock_request::dialect::Dialect;
use foldlock_request::placement::Nowhere;
use foldlock_request::retry_after::Cause;
use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::fleet::admit;
use crate::fleet::answer::{self, Body};
use crate::fleet::attempt::{self, End};
use crate::fleet::ending;
use crate::fleet::events;
use crate::fleet::gate;
use crate::fleet::hold::Taken;
use crate::fleet::job::Job;
use crate::fleet::process::Process;
use crate::serve::millis;

/// The pause after memory that was counted on turned out to be taken: by then the peers have told
/// what they placed.
const MEMORY_PAUSE: Duration = Duration::from_millis(30);

/// Attempts beyond the route's own that may be made at once while none is known to have run.
const REFUSED_MORE: u32 = 2;

/// The pause after that many refusals; it doubles with each one more. An engine's report is some
/// 200 ms old, so what failed a request twice is known to all by the end of the second pause.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// The part of its objective for which such a request is held: the rest is for its first event.
const REFUSED_HELD: f64 = 0.5;

/// Answers a request.
pub async fn answer<D: Dialect>(
    process: Arc<Process<D>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let arrived = process.now();
    let terms = D::terms(request.headers());
    let id = terms.request.parse().unwrap_or_else(|_| process.request_id());
    process.metrics.requests.inc();
    let answered = match admit::admit(&process, &id, terms, request, arrived).await {
        Ok(job) => run(job).await,
        Err(error) => Err(error),
    };
    Ok(answered.unwrap_or_else(|error| {
        process.metrics.error(error.kind());
        answer::error(&error, &id)
    }))
}

/// What follows an attempt.
enum Step {
    /// The request has its answer.
    Done(Result<Response<Body>, Error>),
    /// It is sent again, with what is known of it by now.
    Again(Proof),
    /// The same, after a pause in which others tell what they placed.
    Pause(Proof, Duration),
}

async fn run<D: Dialect>(job: Job<D>) -> Result<Response<Body>, Error> {
    let job = Arc::new(job);
    let mut proof = Proof::NotRun(Unsent::arrived());
    let mut tries = Tries::default();
    loop {
        let given = match gate::place(&job, &tries.avoid, false).await {
            Ok(given) => given,
            Err(nowhere) => return no_place(&job, tries, proof, nowhere),
        };
        let upstream = given.place.flight.upstream.clone();
        let attempt = proof.send();
        let end = attempt::run(&job, given, job.terms.last_event, &tries).await;
        proof = match settle(&job, &mut tries, upstream, attempt, end) {
            Step::Done(answer) => return answer,
            Step::Again(proof) => proof,
            Step::Pause(proof, pause) => {
                tokio::time::sleep(pause).await;
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
        End::NoMemory(Taken { upstream, fault }) => {
            let proof = attempt.refused(Refusal::not_connected());
            return no_memory(job, tries, upstream, proof, fault.to_string());
        }
        End::Unsent(why) => {
            tries.unsent += 1;
            (why, attempt.refused(Refusal::not_connected()))
        }
        End::NotRun { why, at_fault } => {
            tries.refused += 1;
            let proof = attempt.refused(Refusal::stated());
            return again(job, tries, at_fault, proof, why);
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
    tries.avoid.push(upstream.clone());
    job.record(Decision::Retried { upstream, why });
    Step::Pause(proof, MEMORY_PAUSE)
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
    if not_run && let Some(pause) = pause(job, tries) {
        job.process.metrics.retries.inc();
        job.record(Decision::Retried { upstream, why });
        tries.avoid.clear();
        return Step::Pause(proof, pause);
    }
    if let Some(answer) = tries.own.take() {
        return Step::Done(Ok(answer));
    }
    let kind = if not_run { Kind::NoUpstream } else { Kind::UpstreamFailed };
    let error = proof.error(kind, format!("{upstream}: {why}"), false);
    let error =
        if not_run { error.retry_after(Cause::Full.retry_after(job.left())) } else { error };
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
        && !job.left().is_zero()
        && !job.process.ending.is_cancelled();
    if !allowed {
        return false;
    }
    // Where nothing has arrived anywhere, this is no repeat.
    tries.ran + tries.refused == 0 || within_budget(job)
}

fn within_budget<D: Dialect>(job: &Job<D>) -> bool {
    let vms = job.process.peers.listed_count();
    let mut budget = job.process.budget.lock().unwrap();
    budget.repeat(&job.service.name, vms, job.process.now())
}

/// How long a request waits that all upstreams refused which it was sent to, while its answer can still
/// be in time: that a few tries failed does not say that there is no room.
fn pause<D: Dialect>(job: &Job<D>, tries: &Tries) -> Option<Duration> {
    let more = tries.refused.checked_sub(job.route.attempts + REFUSED_MORE)?;
    let pause = REFUSED_PAUSE * 2_u32.checked_pow(more)?;
    let waits = tries.ran == 0
        && job.held() + pause < job.route.objective.mul_f64(REFUSED_HELD)
        && !job.process.closing()
        && within_budget(job);
    waits.then_some(pause)
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
pub fn finished<D: Dialect>(job: &Arc<Job<D>>, streamed: Option<Streamed>) {
    ending::answered(job);
    let first = streamed.map_or_else(|| job.held(), |s| s.first);
    job.process.metrics.answered(&job.service, job.terms.prompt.0, first);
    job.record(Decision::Finished {
        first_token_ms: millis(first),
        engine_ms: millis(streamed.map_or(first, |s| s.engine)),
        tokens: streamed.map_or(0, |s| s.events),
        pause_ms: streamed.map(|s| millis(s.pause)),
    });
}
