//! Admission queue: a request waits here until it is granted a placement, or is rejected.

use std::time::{Duration, Instant};

use foldlock_base::clock::millis;
use foldlock_base::error::Unsent;
use foldlock_base::prelude::*;
use foldlock_request::budget::Charge;
use foldlock_request::caller::Caller;
use foldlock_request::cluster::Load;
use foldlock_request::decision::{Cause, Decision, Snapshot};
use foldlock_request::dialect::Dialect;
use foldlock_request::forecast;
use foldlock_request::placement::{self, Rejection, Requirements};
use foldlock_request::retry_after;

use crate::fleet::crash_sync;
use crate::fleet::dial;
use crate::fleet::grant_requests::{self, Expiry, Grant, Rejected};
use crate::fleet::job::Job;
use crate::fleet::metrics::{ByLimited, Limited};
use crate::fleet::notices;
use crate::fleet::retry::History;

/// Interval at which a request is tried again while its service has no usable upstream.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Grants slower than this count as queueing; faster ones are network latency to the scheduler.
const MIN_QUEUE_TIME: Duration = Duration::from_millis(30);

/// Share of its deadline for which a request may be queued before it is rejected, so that its caller
/// can still retry.
const MAX_QUEUE_SHARE: f64 = 0.4;

/// Longest wait for a usable upstream of a service that has none.
const MAX_WAIT_NO_UPSTREAM: Duration = Duration::from_millis(500);

/// Longest backoff that a stream which has begun waits for when all upstreams are in backoff: its
/// caller disconnects after 2 s.
const MAX_BACKOFF_RESUMING: Duration = Duration::from_millis(1_500);

/// Minimum queue timeout where a forecast decides on admission. The service time is an estimate for
/// busy engines, so a request whose time it exceeds may still be served by a free one. Two schedulers
/// that do not reply and a third that does take this long.
const MIN_GRANT_TIME: Duration = Duration::from_millis(125);

/// Share of its deadline for which a long prompt may be queued before it is rejected.
const MAX_QUEUE_SHARE_LONG: f64 = 0.7;

/// Time from arrival within which a request is retried after a failed memory reservation.
pub fn retry_timeout<D: Dialect>(job: &Job<D>) -> Duration {
    let requirements = job.requirements(&[], Charge::Free);
    forecast_timeout(job, &requirements).unwrap_or_else(|| timeout(job))
}

/// Queue timeout of requests other than long prompts.
fn timeout<D: Dialect>(job: &Job<D>) -> Duration {
    (job.deadline - job.arrived).mul_f64(MAX_QUEUE_SHARE)
}

/// Queue timeout from arrival where a forecast decides on admission; none elsewhere. The scheduler
/// rejects requests that cannot be served, so the others are queued for as long as that leaves time
/// for the response.
fn forecast_timeout<D: Dialect>(job: &Job<D>, requirements: &Requirements) -> Option<Duration> {
    let engine = job.service.engine.as_ref()?;
    let time_limit = requirements.caller.time_limit;
    job.process.is_forecast().then(|| time_limit.saturating_sub(requirements.service_time(engine)))
}

/// Queue timeout of a long prompt from arrival where no forecast decides; none for others.
fn long_timeout<D: Dialect>(job: &Job<D>, requirements: &Requirements) -> Option<Duration> {
    let engine = job.service.engine.as_ref()?;
    let prefill_ms = requirements.long_prefill_ms(engine)?;
    // Callers often allow far longer responses than usual; prompts would be rejected while engines are free.
    let expected = job.terms.expected_answer.unwrap_or(engine.mean_answer);
    let answer = expected.min(engine.mean_answer);
    let service_time = forecast::mean_long_service_time(engine, prefill_ms, answer);
    let max_queue_time = (job.deadline - job.arrived).mul_f64(MAX_QUEUE_SHARE_LONG);
    Some(requirements.queue_timeout.saturating_sub(service_time).min(max_queue_time))
}

/// Lets the scheduler queue the rest of a stream for as long as its caller waits: its forecast is for a
/// whole response, and the caller's patience began anew with the last event.
fn allow_whole_time<D: Dialect>(job: &Job<D>, requirements: &mut Requirements) {
    let Some(engine) = &job.service.engine else { return };
    let service_time = requirements.service_time(engine);
    let caller = &mut requirements.caller;
    caller.time_limit = caller.time_limit.saturating_add(service_time);
    caller.patience = Duration::MAX;
    caller.resumes = job.process.is_forecast();
}

/// Waits until the request is granted a placement, or returns why it is rejected. The request must
/// be safe to send: not sent before, known not to have run in any attempt, or retryable.
///
/// `stream_begun`: events of the response have been delivered to the caller.
pub async fn wait_for_grant<D: Dialect>(
    job: &Job<D>,
    history: &mut History,
    stream_begun: bool,
) -> Result<Grant, Rejection> {
    request_until_granted(job, history, stream_begun)
        .await
        .inspect_err(|rejection| history.on_rejected(job, rejection))
}

async fn request_until_granted<D: Dialect>(
    job: &Job<D>,
    history: &mut History,
    stream_begun: bool,
) -> Result<Grant, Rejection> {
    let started = job.process.now();
    let isolation = placement::requires_isolation(
        &job.process.cluster.lock().unwrap(),
        job.fingerprint,
        started,
    );
    if let Err(quarantined @ Rejection::Quarantined { .. }) = isolation {
        return Err(quarantined);
    }
    if !stream_begun && dial::is_lost(&job.process, &job.service.name) {
        return Err(Rejection::NoUpstream);
    }
    if !stream_begun && job.is_too_late_to_send() {
        return Err(Rejection::Full);
    }
    let no_upstream_until = started + MAX_WAIT_NO_UPSTREAM;
    crash_sync::check(job)?;
    let mut requirements = job.requirements(&history.excluded, history.charge());
    if stream_begun {
        allow_whole_time(job, &mut requirements);
    }
    // The rest of a stream that has begun takes less than the service time of a whole response.
    let by_forecast = if stream_begun { None } else { forecast_timeout(job, &requirements) };
    let by_forecast = by_forecast.map(|timeout| timeout.max(job.elapsed() + MIN_GRANT_TIME));
    let expires_at = match by_forecast.or_else(|| long_timeout(job, &requirements)) {
        Some(timeout) => {
            requirements.queue_timeout = timeout;
            job.arrived + timeout
        }
        None => started + timeout(job),
    };
    let expiry = Expiry { at: expires_at, stream_begun };
    loop {
        if wait_for_backoff(job, stream_begun).await? {
            // The backoff of the upstreams that refused the request is over.
            let open = history.open_upstreams();
            requirements.excluded = job.requirements(&open, history.charge()).excluded;
        }
        let granted = tokio::select! {
            biased;
            rejection = crash_sync::quarantined(job) => Err(rejection.into()),
            granted =
                grant_requests::request(&job.process, &job.service, requirements.clone(), expiry) =>
                granted,
        };
        match granted {
            Ok(grant) => {
                history.on_granted(job);
                record_grant(job, &grant, &requirements, started);
                return Ok(grant);
            }
            Err(Rejected { rejection: Rejection::NoUpstream, .. })
                if job.process.now() < no_upstream_until && !job.process.rejects_new_requests() =>
            {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            Err(Rejected { rejection, origin }) => {
                history.rejected_by = origin;
                return Err(rejection);
            }
        }
    }
}

/// If all upstreams of the service are in backoff for this VM, waits until the first backoff ends.
/// Returns whether it waited.
///
/// If the response can't meet its objective then, the request is rejected at once, since other VMs
/// may not be in backoff. A stream that has begun can be resumed by this VM only, so it waits for up
/// to `MAX_BACKOFF_RESUMING` in any case.
async fn wait_for_backoff<D: Dialect>(job: &Job<D>, stream_begun: bool) -> Result<bool, Rejection> {
    let Some(remaining) = notices::shortest_backoff(&job.process, &job.service.name) else {
        return Ok(false);
    };
    let in_time =
        job.elapsed() + remaining < job.route.objective && !job.process.rejects_new_requests();
    let resumable = stream_begun && remaining < MAX_BACKOFF_RESUMING;
    if !(in_time || resumable) {
        return Err(Rejection::Backoff { left_ms: remaining.as_millis() as u64 });
    }
    tokio::time::sleep(remaining).await;
    job.record(Decision::Waited { cause: Cause::Backoff, waited_ms: millis(remaining) });
    Ok(true)
}

fn record_grant<D: Dialect>(
    job: &Job<D>,
    grant: &Grant,
    requirements: &Requirements,
    started: Instant,
) {
    let queued = job.process.now().saturating_duration_since(started);
    if queued >= MIN_QUEUE_TIME {
        job.record(Decision::Waited { cause: Cause::Engines, waited_ms: millis(queued) });
    }
    let placement = &grant.placement;
    let is_avoided = {
        let cluster = job.process.cluster.lock().unwrap();
        let upstream = cluster.get(&placement.flight.upstream);
        upstream.is_some_and(|upstream| upstream.suspicion.is_avoided(job.process.now()))
    };
    if is_avoided {
        job.process.metrics.suspected_placements.inc();
    }
    // The scheduler may have lines about it: that its caller has returned, or that it was queued.
    let by_forecast = job.service.engine.is_some() && requirements.caller != Caller::default();
    if placement.limited > 0 {
        let label = ByLimited { limited: Limited::Elsewhere };
        job.process.metrics.rate_limited.get_or_create(&label).inc();
    }
    let loaded = std::iter::once((&placement.flight.upstream, &placement.load))
        .chain(placement.busiest_helpers.iter().map(|(id, load)| (id, load)));
    let candidates = loaded.map(|(id, load)| snapshot(id, load, placement.predicted_ms)).collect();
    job.record(Decision::Routed {
        upstream: placement.flight.upstream.clone(),
        route: None,
        predicted_ms: placement.predicted_ms,
        engines: placement.flight.helpers.len() as u32 + 1,
        part_ms: f64::from(placement.flight.part_ms),
        candidates,
        by: grant.by.clone(),
        limited: placement.limited as u32,
        placement_ms: millis(queued),
        grant_request: (by_forecast && grant.by.is_some()).then_some(grant.number),
        reason: placement.reason,
    });
}

fn snapshot(id: &id::Upstream, load: &Load, predicted_ms: f64) -> Snapshot {
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

/// The error for a rejected request that has not run.
pub fn rejection_error<D: Dialect>(job: &Job<D>, rejection: Rejection, proof: Unsent) -> Error {
    if job.process.rejects_new_requests() {
        let why = "this VM is shutting down, and no placement was granted in time";
        let after = retry_after::Cause::Stopping.retry_after(job.remaining());
        return Error::unsent(Kind::Draining, why, proof).retry_after(after);
    }
    let kind = match rejection {
        Rejection::Quarantined { left_ms } => return quarantine_error(job, left_ms, proof),
        Rejection::Backoff { left_ms } => return backoff_error(job, left_ms, proof),
        Rejection::RateLimited { after_ms } => return rate_limit_error(job, after_ms, proof),
        Rejection::Overloaded { after_ms, .. } => {
            let why = format!("{}: {rejection}", job.service.name);
            let after = Duration::from_millis(after_ms);
            return Error::unsent(Kind::Overloaded, why, proof).retry_after(after);
        }
        Rejection::NoUpstream | Rejection::Drained | Rejection::OverBudget(_) => Kind::NoUpstream,
        Rejection::Full | Rejection::TooLarge => Kind::Overloaded,
    };
    if rejection == Rejection::TooLarge {
        // No return within the caller's time would help.
        let why = format!("{}: {rejection}", job.service.name);
        return Error::unsent(kind, why, proof).retry_after(job.remaining());
    }
    let requirements = job.requirements(&[], Charge::Free);
    let engine = job.service.engine.as_ref();
    let long = engine.is_some_and(|engine| requirements.long_prefill_ms(engine).is_some());
    let cause =
        if long { retry_after::Cause::FullForLongPrompts } else { retry_after::Cause::Full };
    let after = cause.retry_after(job.remaining());
    Error::unsent(kind, format!("{}: {rejection}", job.service.name), proof).retry_after(after)
}

/// Retry-After is the end of the first backoff, or earlier: another VM may serve the request.
fn backoff_error<D: Dialect>(job: &Job<D>, left_ms: u64, proof: Unsent) -> Error {
    let remaining = Duration::from_millis(left_ms).max(POLL_INTERVAL);
    let service = &job.service.name;
    let why = format!("{service}: all upstreams are in backoff for {}", job.process.member.vm);
    let after = remaining.min(retry_after::Cause::Full.retry_after(job.remaining()));
    let why = format!("{why}, the first for another {left_ms} ms");
    Error::unsent(Kind::Overloaded, why, proof).retry_after(after)
}

/// Retry-After is the next time at which a rate limit allows a request.
fn rate_limit_error<D: Dialect>(job: &Job<D>, after_ms: u64, proof: Unsent) -> Error {
    job.process.metrics.rate_limited.get_or_create(&ByLimited { limited: Limited::Rejected }).inc();
    let why = format!("{}: all upstreams have reached their rate limits", job.service.name);
    Error::unsent(Kind::Overloaded, why, proof).retry_after(Duration::from_millis(after_ms))
}

fn quarantine_error<D: Dialect>(job: &Job<D>, left_ms: u64, proof: Unsent) -> Error {
    let remaining = Duration::from_millis(left_ms);
    let seconds = remaining.as_secs_f64();
    let why = match crash_sync::quarantined_part(job) {
        Some((part, _)) => format!(
            "upstreams crashed during requests with part {part} of this prompt: quarantined for {seconds:.1} s"
        ),
        None => format!(
            "upstreams crashed during this request, the last of them while it ran isolated: quarantined for \
             {seconds:.1} s"
        ),
    };
    Error::unsent(Kind::Quarantined, why, proof).retry_after(remaining)
}
