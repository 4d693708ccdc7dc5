//! Records how attempts and requests end, in the cluster state, the metrics, the decision record and the log.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_base::clock::millis;
use foldlock_base::prelude::*;
use foldlock_request::decision::Decision;
use foldlock_request::dialect::Dialect;
use foldlock_request::liveness::Ending;
use foldlock_request::placement::Rejection;
use foldlock_request::suspicion::{Failure, Outcome};

use crate::fleet::crash::{self, Interrupted};
use crate::fleet::dial;
use crate::fleet::grant_requests::Origin;
use crate::fleet::job::Job;
use crate::fleet::liveness::Crashed;
use crate::fleet::process::Process;
use crate::fleet::unread::Aborted;
use crate::fleet::unsent::{Dropped, Effect, Part};
use crate::log;

/// Records that an attempt failed, and announces it to the scheduler. Connections to an unresponsive upstream are
/// dropped.
pub fn record_failure<D: Dialect>(job: &Job<D>, upstream: &id::Upstream, failure: Failure) {
    record(job, upstream, Outcome::Failed(failure));
    if failure == Failure::Unresponsive {
        job.process.close_idle(upstream);
    }
}

/// Records that the connection of an attempt broke, or its response was not valid, unless the path of this VM has failed
/// and not the upstream.
pub async fn record_broken<D: Dialect>(job: &Job<D>, attempt: Interrupted<'_>) {
    if crash::detect(job, attempt).await == crash::Finding::Upstream {
        record_failure(job, &attempt.flight.upstream, Failure::Malformed);
    }
}

/// Records that an upstream has sent nothing since `at`, unless the path of this VM has failed and not the upstream. That
/// may take a connection, which is opened in the background.
pub fn record_silence<D: Dialect>(job: &Arc<Job<D>>, upstream: &id::Upstream, at: Instant) {
    let (job, upstream) = (job.clone(), upstream.clone());
    tokio::spawn(async move {
        if dial::is_own_silence(&job.process, &upstream, at).await {
            record_failure(&job, &upstream, Failure::Unresponsive);
        }
    });
}

/// Records a silence in the decisions on the request. The attempt goes on.
pub fn record_silent<D: Dialect>(job: &Job<D>, upstream: &id::Upstream, silence: Duration) {
    job.record(Decision::Silent {
        upstream: upstream.clone(),
        silent_ms: millis(silence),
        evidence_age_ms: millis(silence),
        unanswered: 0,
        ending: None,
    });
}

/// Records that an engine of an attempt counts as crashed by its reports. Returns it as the reason for which the attempt ends.
pub async fn record_crashed<D: Dialect>(
    job: &Arc<Job<D>>,
    crashed: Crashed,
    attempt: Interrupted<'_>,
) -> String {
    let Crashed { upstream: engine, ending } = crashed;
    if ending != Ending::Restarted {
        record_silence(job, &engine, job.process.now());
    } else {
        record_failure(job, &engine, Failure::Malformed);
        if engine == attempt.flight.upstream {
            crash::detect(job, attempt).await;
        }
    }
    format!("{engine} {ending}")
}

/// Records how an attempt ended, and announces it to the scheduler.
pub fn record<D: Dialect>(job: &Job<D>, upstream: &id::Upstream, outcome: Outcome) {
    job.process.cluster.lock().unwrap().record_outcome(upstream, outcome, job.process.now());
    job.process.announce.notify_one();
}

/// Records that a request was rejected or failed. Returns the error.
pub fn record_error<D: Dialect>(job: &Job<D>, error: Error) -> Error {
    job.record(if error.ran() == Ran::No {
        Decision::rejected(&error)
    } else {
        let why = error.message().to_owned();
        let silent_ms = job.activity.silence(job.process.now()).map(millis);
        Decision::Failed { kind: error.kind(), ran: error.ran(), why, silent_ms }
    });
    error
}

/// Records that a response ended before it was complete.
pub fn record_cut<D: Dialect>(job: &Job<D>, kind: Kind, why: &str) {
    let silent_ms = job.activity.silence(job.process.now()).map(millis);
    job.record(Decision::Failed { kind, ran: Ran::Yes, why: why.to_owned(), silent_ms });
}

/// Records that a request was rejected as no placement was granted, with the forecast that led to it and the scheduler
/// that made it. Returns the error.
pub fn record_rejection<D: Dialect>(
    job: &Job<D>,
    error: Error,
    rejection: Rejection,
    origin: Option<Origin>,
) -> Error {
    let mut decision = Decision::rejected(&error);
    // A VM that shuts down states another reason and Retry-After.
    if let Decision::Rejected {
        kind: Kind::Overloaded, wait_ms, promised, by, grant_request, ..
    } = &mut decision
        && let Rejection::Overloaded { wait_ms: forecast_ms, promised: is_promised, .. } = rejection
    {
        (*wait_ms, *promised) = (Some(forecast_ms), Some(is_promised));
        if let Some(origin) = origin {
            (*by, *grant_request) = (Some(origin.by), Some(origin.number));
        }
    }
    job.record(decision);
    error
}

/// Measurements of a completely relayed stream.
#[derive(Debug, Clone, Copy)]
pub struct Stats {
    /// Time from arrival to the first event.
    pub first_event: Duration,
    /// Time from sending to the first event.
    pub engine: Duration,
    /// Number of events.
    pub events: u64,
    /// The longest pause between two events.
    pub longest_pause: Duration,
}

/// Records that a request completed.
pub fn record_completion<D: Dialect>(job: &Arc<Job<D>>, stats: Option<Stats>) {
    crash::record_completion(job);
    let first = stats.map_or_else(|| job.elapsed(), |s| s.first_event);
    job.process.metrics.observe_response(&job.service, job.terms.prompt.0, first);
    job.record(Decision::Finished {
        first_token_ms: millis(first),
        engine_ms: millis(stats.map_or(first, |s| s.engine)),
        tokens: stats.map_or(0, |s| s.events),
        pause_ms: stats.map(|s| millis(s.longest_pause)),
    });
}

/// Records responses that were aborted because their callers read too slowly for the memory of this VM.
pub fn record_aborted<D: Dialect>(process: &Process<D>, aborted: Vec<Aborted>) {
    for Aborted { request, bytes } in aborted {
        process.metrics.aborted_responses.inc();
        if process.problem_lines.admit(process.now()).is_some() {
            let others = process.unread.bytes();
            let what = format!(
                "{request}: {bytes} bytes unread, {others} bytes unread of other responses"
            );
            log::event(&process.log, Event::ResponseAborted, what);
        }
    }
}

/// Records bodies that were dropped because all bodies exceeded their bound.
pub fn record_dropped<D: Dialect>(process: &Process<D>, dropped: Vec<Dropped>) {
    for Dropped { request, part, bytes, others, effect } in dropped {
        let part = match part {
            Part::Request => "request",
            Part::Response => "response",
        };
        let effect = match effect {
            Effect::Aborted => {
                process.metrics.aborted_requests.inc();
                "request aborted"
            }
            Effect::Continued => {
                process.metrics.released_bodies.inc();
                "request continues without retries"
            }
        };
        if process.problem_lines.admit(process.now()).is_some() {
            let what = format!(
                "{request}: {bytes} bytes of its {part}, {others} bytes of other bodies, {effect}"
            );
            log::event(&process.log, Event::BodyDropped, what);
        }
    }
}
