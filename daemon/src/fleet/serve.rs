//! A request from its arrival to its answer: admitted, placed, sent, and sent again elsewhere where
//! that is allowed.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use foldlock_base::error::{Attempt, Proof, Refusal, Unsent};
use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::placement::Rejection;
use foldlock_request::retry_after::Cause;
use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::fleet::admit;
use crate::fleet::answer::{self, Body};
use crate::fleet::attempt::{self, End};
use crate::fleet::events;
use crate::fleet::gate;
use crate::fleet::hold::ReservationLost;
use crate::fleet::job::Job;
use crate::fleet::outcome::{failed, finished};
use crate::fleet::process::Process;
use crate::fleet::tries::{Failure, REFUSED_MORE, Tries, may_repeat};

/// The pause after memory that was counted on turned out to be taken: by then the peers have told
/// what they placed.
const MEMORY_PAUSE: Duration = Duration::from_millis(30);

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
    let id = terms.request_id.parse().unwrap_or_else(|_| process.request_id());
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
        let grant = match gate::place(&job, &mut tries, false).await {
            Ok(grant) => grant,
            Err(rejection) => return no_place(&job, tries, proof, rejection),
        };
        let upstream = grant.placement.flight.upstream.clone();
        let attempt = proof.send();
        let end = attempt::run(&job, grant, job.terms.last_event, &tries).await;
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

/// The answer to a request for which there is no placement: an upstream's own failure if there was one.
fn no_place<D: Dialect>(
    job: &Job<D>,
    tries: Tries,
    proof: Proof,
    rejection: Rejection,
) -> Result<Response<Body>, Error> {
    if let Some(answer) = tries.own {
        return Ok(answer);
    }
    let why = format!("not sent again: {rejection}");
    Err(failed(
        job,
        match proof {
            Proof::NotRun(unsent) => gate::refusal(job, rejection, unsent),
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
        End::NoMemory(ReservationLost { upstream, fault }) => {
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

/// Memory that was counted on was taken: the request looks for another placement while it may wait.
fn no_memory<D: Dialect>(
    job: &Job<D>,
    tries: &mut Tries,
    upstream: id::Upstream,
    proof: Proof,
    why: String,
) -> Step {
    if job.held() >= gate::patience(job) {
        return Step::Done(no_place(job, std::mem::take(tries), proof, Rejection::Full));
    }
    tries.avoid.push(upstream.clone());
    tries.failure = Some(Failure { upstream, why });
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
        tries.failure = Some(Failure { upstream, why });
        return Step::Again(proof);
    }
    if not_run && let Some(pause) = pause(job, tries) {
        tries.failure = Some(Failure { upstream, why });
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

/// How long a request waits that all upstreams refused which it was sent to, while its answer can still
/// be in time: that a few tries failed does not say that there is no room.
fn pause<D: Dialect>(job: &Job<D>, tries: &Tries) -> Option<Duration> {
    let more = tries.refused.checked_sub(job.route.max_attempts + REFUSED_MORE)?;
    let pause = REFUSED_PAUSE * 2_u32.checked_pow(more)?;
    let waits = tries.ran == 0
        && job.held() + pause < job.route.objective.mul_f64(REFUSED_HELD)
        && !job.process.closing();
    waits.then_some(pause)
}
