//! Handles a request from its arrival to its response: admission, placement, attempts, and retries
//! at other upstreams where they are allowed.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use foldlock_base::error::{Attempt, Proof, Refusal, Unsent};
use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::memory;
use foldlock_request::placement::Rejection;
use foldlock_request::retry_after::Cause;
use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::fleet::admit;
use crate::fleet::answer::{self, Body};
use crate::fleet::attempt::End;
use crate::fleet::crash;
use crate::fleet::events;
use crate::fleet::job::Job;
use crate::fleet::outcome::{record_completion, record_error, record_rejection};
use crate::fleet::process::Process;
use crate::fleet::queue;
use crate::fleet::race::{Ended, Race};
use crate::fleet::reservations;
use crate::fleet::retry::{Failure, History, MAX_EXTRA_ATTEMPTS, may_retry};
use crate::fleet::unsent::OUT_OF_MEMORY;

/// Delay after a failed memory reservation: by then the peers have announced their placements.
const RESERVATION_RETRY_DELAY: Duration = Duration::from_millis(30);

/// Doublings of this delay after orders without a response, each of which takes 250 ms: up to 0.5 s.
const MAX_DELAY_DOUBLINGS: u32 = 4;

/// Delay before the next attempt once too many were refused to retry at once; it doubles with each
/// further refusal. An engine's report is about 200 ms old, so the condition that caused two refusals has
/// reached all VMs by the end of the second delay.
const REFUSAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Share of the objective within which such a request is retried; the rest is left for its first
/// event.
const MAX_REFUSED_WAIT_SHARE: f64 = 0.5;

/// Responds to a request.
pub async fn respond<D: Dialect>(
    process: Arc<Process<D>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let arrived = process.now();
    let terms = D::terms(request.headers());
    let id = terms.request_id.parse().unwrap_or_else(|_| process.request_id());
    process.metrics.requests.inc();
    let result = match admit::admit(&process, &id, terms, request, arrived).await {
        Ok(job) => run(job).await,
        Err(error) => Err(error),
    };
    Ok(result.unwrap_or_else(|error| {
        process.metrics.count_error(error.kind());
        answer::error(&error, &id)
    }))
}

/// What to do after an attempt.
enum Action {
    /// Respond to the caller.
    Respond(Result<Response<Body>, Error>),
    /// Retry at once. The proof states whether any attempt may have run.
    Retry(Proof),
    /// Retry after a delay, in which peers announce their placements.
    RetryAfter(Proof, Duration),
}

async fn run<D: Dialect>(job: Job<D>) -> Result<Response<Body>, Error> {
    let job = Arc::new(job);
    let mut proof = Proof::NotRun(Unsent::arrived());
    let mut history = History::default();
    let race = Race { job: &job, last_event: job.terms.last_event, is_resuming: false };
    loop {
        let grant = tokio::select! {
            biased;
            () = job.body.dropped() => return aborted_response(&job, history, proof),
            granted = queue::wait_for_grant(&job, &mut history, false) => match granted {
                Ok(grant) => grant,
                Err(rejection) => return unplaced_response(&job, history, proof, rejection),
            },
        };
        let mut attempt = proof.send();
        let Ended { upstream, end, others_may_have_run } = race.run(grant, &mut history).await;
        if others_may_have_run {
            attempt = attempt.unknown().send();
        }
        proof = match next_action(&job, &mut history, upstream, attempt, end) {
            Action::Respond(response) => return response,
            Action::Retry(proof) => proof,
            Action::RetryAfter(proof, delay) => {
                tokio::select! {
                    () = tokio::time::sleep(delay) => {}
                    () = job.body.dropped() => {}
                }
                proof
            }
        };
    }
}

/// The response to a request that was granted no placement: an upstream's own failure response if
/// there was one, else an error.
fn unplaced_response<D: Dialect>(
    job: &Job<D>,
    history: History,
    proof: Proof,
    rejection: Rejection,
) -> Result<Response<Body>, Error> {
    if let Some(response) = history.upstream_response {
        return Ok(response);
    }
    Err(match proof {
        Proof::NotRun(unsent) => {
            let error = queue::rejection_error(job, rejection, unsent);
            record_rejection(job, error, rejection, history.rejected_by)
        }
        sent => {
            let why = format!("not retried: {rejection}");
            record_error(job, sent.error(Kind::UpstreamFailed, why, false))
        }
    })
}

/// The response to a request whose body was dropped to free memory: an upstream's own failure response if there was
/// one, else an error.
fn aborted_response<D: Dialect>(
    job: &Job<D>,
    history: History,
    proof: Proof,
) -> Result<Response<Body>, Error> {
    if let Some(response) = history.upstream_response {
        return Ok(response);
    }
    let after = Cause::Memory.retry_after(job.remaining());
    let error = match proof {
        Proof::NotRun(unsent) => {
            Error::unsent(Kind::Overloaded, OUT_OF_MEMORY, unsent).retry_after(after)
        }
        sent => {
            let error = sent.error(Kind::UpstreamFailed, OUT_OF_MEMORY, false);
            if job.is_retryable() { error.retry_after(after) } else { error }
        }
    };
    Err(record_error(job, error))
}

/// Decides what to do after an attempt.
fn next_action<D: Dialect>(
    job: &Arc<Job<D>>,
    history: &mut History,
    upstream: id::Upstream,
    attempt: Attempt,
    end: End<D>,
) -> Action {
    let (why, proof) = match end {
        End::Complete(response) => {
            record_completion(job, None);
            crash::record_begun(job, job.process.now());
            return Action::Respond(Ok(response));
        }
        End::Streaming(started) => {
            return Action::Respond(Ok(events::relay(
                job.clone(),
                *started,
                std::mem::take(history),
            )));
        }
        End::Deadline => {
            if let Some(response) = history.upstream_response.take() {
                return Action::Respond(Ok(response));
            }
            let why = format!("no response of {upstream} before the deadline");
            let error = attempt.unknown().error(Kind::DeadlineExceeded, why, false);
            return Action::Respond(Err(record_error(job, error)));
        }
        End::Aborted { is_sent } => {
            let proof =
                if is_sent { attempt.unknown() } else { attempt.refused(Refusal::not_connected()) };
            let history = std::mem::take(history);
            return Action::Respond(aborted_response(job, history, proof));
        }
        End::ReservationFailed { failure, has_others } => {
            let proof = attempt.refused(Refusal::not_connected());
            return on_reservation_failure(job, history, failure, has_others, proof);
        }
        End::Unsent(why) => {
            history.unsent += 1;
            (why, attempt.refused(Refusal::not_connected()))
        }
        End::NotRun { why, at_fault } => {
            history.refused += 1;
            let proof = attempt.refused(Refusal::stated());
            return retry_or_fail(job, history, at_fault, proof, why);
        }
        End::ServerError(response) => {
            history.ran += 1;
            let why = format!("upstream responded {}", response.status());
            history.upstream_response = Some(*response);
            (why, attempt.unknown())
        }
        End::Broken(why) => {
            history.ran += 1;
            (why, attempt.unknown())
        }
    };
    retry_or_fail(job, history, upstream, proof, why)
}

/// Handles a failed memory reservation: requests another placement, until the queue timeout.
fn on_reservation_failure<D: Dialect>(
    job: &Job<D>,
    history: &mut History,
    failure: reservations::Failure,
    has_others: bool,
    proof: Proof,
) -> Action {
    let reservations::Failure { upstream, cause } = failure;
    if job.elapsed() >= queue::retry_timeout(job) {
        return Action::Respond(unplaced_response(
            job,
            std::mem::take(history),
            proof,
            Rejection::Full,
        ));
    }
    let delay = if cause == memory::Failure::Insufficient {
        history.excluded.push(upstream.clone());
        RESERVATION_RETRY_DELAY
    } else {
        history.exclude_unanswered(has_others.then(|| upstream.clone()));
        let doublings = history.unanswered_orders.min(MAX_DELAY_DOUBLINGS);
        RESERVATION_RETRY_DELAY * 2_u32.pow(doublings)
    };
    history.failure = Some(Failure::new(job, upstream, cause.to_string()));
    Action::RetryAfter(proof, delay)
}

/// Retries a failed request if that is allowed, else responds with the failure.
fn retry_or_fail<D: Dialect>(
    job: &Job<D>,
    history: &mut History,
    upstream: id::Upstream,
    proof: Proof,
    why: String,
) -> Action {
    history.excluded.push(upstream.clone());
    let not_run = matches!(proof, Proof::NotRun(_));
    if may_retry(job, history, not_run) {
        history.failure = Some(Failure::new(job, upstream, why));
        return Action::Retry(proof);
    }
    if not_run && let Some(delay) = refusal_delay(job, history) {
        history.failure = Some(Failure::new(job, upstream, why));
        history.excluded.clear();
        return Action::RetryAfter(proof, delay);
    }
    if let Some(response) = history.upstream_response.take() {
        return Action::Respond(Ok(response));
    }
    let kind = if not_run { Kind::NoUpstream } else { Kind::UpstreamFailed };
    let error = proof.error(kind, format!("{upstream}: {why}"), false);
    let error =
        if not_run { error.retry_after(Cause::Full.retry_after(job.remaining())) } else { error };
    Action::Respond(Err(record_error(job, error)))
}

/// Delay before the next attempt of a request that was refused wherever it was sent, if its response
/// can still meet the objective: a few refusals do not mean that there is no capacity.
fn refusal_delay<D: Dialect>(job: &Job<D>, history: &History) -> Option<Duration> {
    let excess = history.refused.checked_sub(job.route.max_attempts + MAX_EXTRA_ATTEMPTS)?;
    let delay = REFUSAL_RETRY_DELAY * 2_u32.checked_pow(excess)?;
    let may_wait = history.ran == 0
        && job.body.is_held()
        && job.elapsed() + delay < job.route.objective.mul_f64(MAX_REFUSED_WAIT_SHARE)
        && !job.process.rejects_new_requests();
    may_wait.then_some(delay)
}
