//! Admission queue: holds a request until it is scheduled.

use std::time::{Duration, Instant};

use foldlock_base::clock::millis;
use foldlock_base::error::Unsent;
use foldlock_base::prelude::*;
use foldlock_request::budget::Charge;
use foldlock_request::cluster::Load;
use foldlock_request::decision::{Cause, Decision, Snapshot};
use foldlock_request::dialect::Dialect;
use foldlock_request::forecast;
use foldlock_request::placement::{self, Rejection, Requirements};
use foldlock_request::retry_after;
use foldlock_version::routes::Engine;

use crate::fleet::grant_requests::{self, Grant, Until};
use crate::fleet::job::Job;
use crate::fleet::metrics::{ByLimited, Limited};
use crate::fleet::notices;
use crate::fleet::tries::Tries;

/// How often a request looks again for a service without any open upstream.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Grants slower than this count as queueing; faster ones are network latency to the scheduler.
const LEAST_QUEUED: Duration = Duration::from_millis(30);

/// Share of the deadline a request may queue for before it is rejected, so that its caller can still
/// retry.
const MAX_QUEUE_SHARE: f64 = 0.4;

/// The longest wait for a service without any open upstream.
const MAX_WAIT_CLOSED: Duration = Duration::from_millis(500);

/// Longest backoff of all upstreams that a stream which has begun waits for: its caller leaves after 2 s.
const MAX_BACKOFF_BEGUN: Duration = Duration::from_millis(1_500);

/// The engines among which a long prompt is usually divided, where 18 serve short ones as well.
const USUAL_PARTS: f64 = 10.0;

/// The writers of the engine that answers a long prompt.
const USUAL_WRITERS: u32 = 4;

/// Share of the deadline a long prompt may queue for before it is rejected.
const MAX_QUEUE_SHARE_LONG: f64 = 0.7;

/// Slowdown of decoding caused by prefill chunks in the same batch.
const PREFILL_SLOWDOWN: f64 = 1.5;

/// How long a request waits for a placement at most.
pub fn patience<D: Dialect>(job: &Job<D>) -> Duration {
    (job.deadline - job.arrived).mul_f64(MAX_QUEUE_SHARE)
}

/// Finds a placement, or says why there is none. The request has not been sent, or each attempt so far
/// is known not to have run, or it may be repeated; the caller of this function knows which.
///
/// `begun` says that a part of its answer was delivered.
pub async fn place<D: Dialect>(
    job: &Job<D>,
    tries: &mut Tries,
    begun: bool,
) -> Result<Grant, Rejection> {
    find(job, tries, begun).await.inspect_err(|rejection| tries.unplaced(job, rejection))
}

async fn find<D: Dialect>(
    job: &Job<D>,
    tries: &mut Tries,
    begun: bool,
) -> Result<Grant, Rejection> {
    let started = job.process.now();
    let known = placement::requires_isolation(
        &job.process.cluster.lock().unwrap(),
        job.fingerprint,
        started,
    );
    if let Err(held @ Rejection::Quarantined { .. }) = known {
        return Err(held);
    }
    let closed = started + MAX_WAIT_CLOSED;
    let mut requirements = job.requirements(&tries.avoid, tries.charge());
    let limit = match read_ms(job, &requirements) {
        Some((engine, read_ms)) => {
            let held = (job.deadline - job.arrived).mul_f64(MAX_QUEUE_SHARE_LONG);
            requirements.queue_timeout = requirements
                .queue_timeout
                .saturating_sub(last_start(job, engine, read_ms))
                .min(held);
            job.arrived + requirements.queue_timeout
        }
        None => started + patience(job),
    };
    let until = Until { limit, begun };
    loop {
        if rested(job, begun).await? {
            // Those that refused it have had their rest.
            requirements.excluded.clear();
        }
        match grant_requests::place(&job.process, &job.service, requirements.clone(), until).await {
            Ok(grant) => {
                tries.placed(job);
                placed(job, &grant, started);
                return Ok(grant);
            }
            Err(Rejection::NoUpstream) if job.process.now() < closed && !job.process.closing() => {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            Err(rejection) => return Err(rejection),
        }
    }
}

/// Waits for the first end of a rest where all upstreams of the service rest for this VM and the answer may
/// still be in time then. Else the request cannot be served here in time, which its caller is told at once:
/// other VMs may not have been asked for a rest. A stream that has begun has only this VM to go on with it.
/// Answers whether it waited.
async fn rested<D: Dialect>(job: &Job<D>, begun: bool) -> Result<bool, Rejection> {
    let Some(left) = notices::all_rest(&job.process, &job.service.name) else { return Ok(false) };
    let in_time = job.held() + left < job.route.objective && !job.process.closing();
    let held = begun && left < MAX_BACKOFF_BEGUN;
    if !(in_time || held) {
        return Err(Rejection::Backoff { left_ms: left.as_millis() as u64 });
    }
    tokio::time::sleep(left).await;
    job.record(Decision::Waited { cause: Cause::Backoff, waited_ms: millis(left) });
    Ok(true)
}

/// Milliseconds of reading on one engine, if this is a long prompt.
fn read_ms<'a, D: Dialect>(
    job: &'a Job<D>,
    requirements: &Requirements,
) -> Option<(&'a Engine, f64)> {
    let engine = job.service.engine.as_ref()?;
    Some((engine, requirements.long_prefill_ms(engine)?))
}

/// The time that a long prompt needs from its placement to the end of its answer, if that is no longer than usual. A
/// caller's guess is often far too long, and a prompt that was refused for it finds engines free.
fn last_start<D: Dialect>(job: &Job<D>, engine: &Engine, read_ms: f64) -> Duration {
    let expected = job.terms.expected_answer.unwrap_or(engine.mean_answer);
    let answer = expected.min(engine.mean_answer);
    let passes = answer.0 as f64 / f64::from(engine.stride.max(1));
    let pass_ms = forecast::pass_ms(engine, USUAL_WRITERS, engine.memory.0 / 2);
    Duration::from_secs_f64((read_ms / USUAL_PARTS + passes * pass_ms * PREFILL_SLOWDOWN) / 1e3)
}

fn placed<D: Dialect>(job: &Job<D>, grant: &Grant, started: Instant) {
    let asked = job.process.now().saturating_duration_since(started);
    if asked >= LEAST_QUEUED {
        job.record(Decision::Waited { cause: Cause::Engines, waited_ms: millis(asked) });
    }
    let placement = &grant.placement;
    if placement.limited > 0 {
        let elsewhere = ByLimited { limited: Limited::Elsewhere };
        job.process.metrics.rate_limited.get_or_create(&elsewhere).inc();
    }
    let named = std::iter::once((&placement.flight.upstream, &placement.load))
        .chain(placement.busiest_helpers.iter().map(|(id, load)| (id, load)));
    let seen = named.map(|(id, load)| seen(id, load, placement.predicted_ms)).collect();
    job.record(Decision::Routed {
        upstream: placement.flight.upstream.clone(),
        route: None,
        predicted_ms: placement.predicted_ms,
        engines: placement.flight.helpers.len() as u32 + 1,
        part_ms: f64::from(placement.flight.part_ms),
        candidates: seen,
        by: grant.by.clone(),
        limited: placement.limited as u32,
        placement_ms: millis(asked),
    });
}

fn seen(id: &id::Upstream, load: &Load, predicted_ms: f64) -> Snapshot {
    Snapshot {
        upstream: id.clone(),
        predicted_ms,
        score: load.backlog_ms,
        requests: load.requests,
        long: load.helper_parts,
        queued: Tokens(load.memory),
        cached: Tokens(0),
    }
}

/// The refusal of a request that has not run.
pub fn refusal<D: Dialect>(job: &Job<D>, rejection: Rejection, proof: Unsent) -> Error {
    if job.process.closing() {
        let why = "this VM is about to end, and there was no place in time";
        let after = retry_after::Cause::Stopping.retry_after(job.left());
        return Error::unsent(Kind::Draining, why, proof).retry_after(after);
    }
    let kind = match rejection {
        Rejection::Quarantined { left_ms } => return quarantined(left_ms, proof),
        Rejection::Backoff { left_ms } => return resting(job, left_ms, proof),
        Rejection::RateLimited { after_ms } => return rate_limited(job, after_ms, proof),
        Rejection::NoUpstream | Rejection::Drained | Rejection::OverBudget(_) => Kind::NoUpstream,
        Rejection::Full | Rejection::TooLarge => Kind::Overloaded,
    };
    let long = read_ms(job, &job.requirements(&[], Charge::Free)).is_some();
    let cause =
        if long { retry_after::Cause::FullForLongPrompts } else { retry_after::Cause::Full };
    let after = cause.retry_after(job.left());
    Error::unsent(kind, format!("{}: {rejection}", job.service.name), proof).retry_after(after)
}

/// The caller comes back when the first rest is over, or sooner to another VM.
fn resting<D: Dialect>(job: &Job<D>, left_ms: u64, proof: Unsent) -> Error {
    let left = Duration::from_millis(left_ms).max(POLL_INTERVAL);
    let service = &job.service.name;
    let why = format!("{service}: all upstreams asked {} for a rest", job.process.member.vm);
    let after = left.min(retry_after::Cause::Full.retry_after(job.left()));
    let why = format!("{why}, the first for {left_ms} ms more");
    Error::unsent(Kind::Overloaded, why, proof).retry_after(after)
}

/// Retry-After is the next free turn.
fn rate_limited<D: Dialect>(job: &Job<D>, after_ms: u64, proof: Unsent) -> Error {
    job.process.metrics.rate_limited.get_or_create(&ByLimited { limited: Limited::Rejected }).inc();
    let why = format!("{}: all upstreams are at the rate limits that they name", job.service.name);
    Error::unsent(Kind::Overloaded, why, proof).retry_after(Duration::from_millis(after_ms))
}

fn quarantined(left_ms: u64, proof: Unsent) -> Error {
    let left = Duration::from_millis(left_ms);
    let why = format!(
        "upstreams ended under this request, the last of them while it ran alone: it is sent to none for \
         {:.1} s",
        left.as_secs_f64()
    );
    Error::unsent(Kind::Quarantined, why, proof).retry_after(left)
}
