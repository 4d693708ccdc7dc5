//! One attempt: sends a request to its placement and reads the answer to the end.

use std::time::{Duration, Instant};

use foldlock_base::clock::System;
use foldlock_base::clock::millis;
use foldlock_base::error::Refusal;
use foldlock_base::prelude::*;
use foldlock_connection::engine::{Engine as _, Failure, HttpStream, Stream as _};
use foldlock_connection::events::{Checker, Event as Part};
use foldlock_request::decision::Decision;

use crate::engines::{EngineQuery, Flight};
use crate::gate::{self, Placement};
use crate::group;
use crate::serve::{Job, Progress, Sink};

/// Time without data after the start of an answer after which the engine is considered broken.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum time to wait for the first token before moving the request is considered.
const MIN_FIRST_TOKEN_TIMEOUT: Duration = Duration::from_millis(750);

/// The time to wait for the first token, as a ratio of the predicted time.
const FIRST_TOKEN_TIMEOUT_RATIO: f64 = 4.0;

/// How an attempt ended.
pub enum End {
    /// The whole answer was sent to the caller.
    Finished,
    /// There was no connection to the engine, so nothing was sent; the reason.
    NotConnected(String),
    /// The request did not run.
    NotRun {
        /// Proof that it did not run.
        proof: Refusal,
        /// Why it did not run.
        why: String,
    },
    /// The answer broke off; the reason.
    Broken(String),
    /// The first token is overdue and another engine is predicted to be faster; the reason.
    Slow(String),
    /// The deadline passed.
    Deadline,
    /// The caller disconnected.
    Gone,
}

/// Runs one attempt of a request.
pub async fn run<S: Sink>(
    job: &Job,
    mut placement: Placement,
    sink: &mut S,
    progress: &mut Progress,
) -> End {
    if progress.tokens > 0 {
        job.process.metrics.resumed_answers.inc();
        let upstream = placement.engine().clone();
        job.record(Decision::Resumed { index: progress.tokens, upstream });
    }
    let started = tokio::select! {
        started = start(job, &mut placement, progress) => started,
        () = sink.caller_gone() => return End::Gone,
        () = tokio::time::sleep_until(job.deadline.instant().into()) => Err(End::Deadline),
    };
    let mut stream = match started {
        Ok(stream) => stream,
        Err(end) => {
            record_health(&placement, &end);
            return end;
        }
    };
    sink.on_source(job, placement.engine(), stream.id());
    let end = read_answer(job, &mut placement, &mut stream, sink, progress).await;
    record_health(&placement, &end);
    let resumable = matches!(end, End::Gone) && job.policy.resume_window_ms > 0;
    if !matches!(end, End::Finished) && !resumable {
        cancel(&placement, stream.id());
    }
    end
}

/// Records a failed attempt in the engine's health.
fn record_health(placement: &Placement, end: &End) {
    match end {
        End::Broken(_) | End::Slow(_) => placement.flight().on_failure(),
        // A group records it for the engine of the segment, see `group::begin`.
        End::NotConnected(_) if matches!(placement, Placement::Engine(_)) => {
            placement.flight().on_failure()
        }
        _ => {}
    }
}

/// Cancels a stream on its engine, which releases its memory at once.
fn cancel(placement: &Placement, stream: &str) {
    let client = placement.flight().client.clone();
    let stream = stream.to_owned();
    tokio::spawn(async move {
        let _ = client.cancel(&stream).await;
    });
}

async fn start(
    job: &Job,
    placement: &mut Placement,
    progress: &Progress,
) -> Result<HttpStream, End> {
    let result = match placement {
        Placement::Engine(flight) => {
            let order = job.order(progress);
            let response = flight.client.generate(&order);
            tokio::pin!(response);
            loop {
                let wait = first_token_timeout(job, flight.predicted);
                match tokio::time::timeout(wait, response.as_mut()).await {
                    Ok(result) => break result,
                    Err(_) if can_move(job, flight, progress) => {
                        return Err(End::Slow(
                            "the engine did not accept the request in time".to_owned(),
                        ));
                    }
                    Err(_) => {}
                }
            }
        }
        Placement::Group(group) => group::begin(job, group, progress).await,
    };
    result.map_err(|failure| match failure {
        Failure::NotConnected(why) => End::NotConnected(why),
        Failure::NotRun { proof, leaving, why } => {
            if leaving {
                job.process.upstream_leaving(placement.engine());
            }
            End::NotRun { proof, why }
        }
        other => End::Broken(other.to_string()),
    })
}

/// Time to wait for the first token before moving the request is considered.
fn first_token_timeout(job: &Job, predicted: f64) -> Duration {
    Duration::from_secs_f64(predicted * FIRST_TOKEN_TIMEOUT_RATIO)
        .max(MIN_FIRST_TOKEN_TIMEOUT)
        .min(job.left())
}

/// Whether a request whose first token is overdue may be moved, and another engine is predicted to
/// need less than half of the time waited so far.
fn can_move(job: &Job, flight: &Flight<System>, progress: &Progress) -> bool {
    let policy = &job.policy;
    if !policy.repeatable || progress.attempts > policy.retries {
        return false;
    }
    let waited = (job.process.clock.now() - flight.sent).as_secs_f64();
    // Engines that failed earlier attempts count too: they may be faster now than this one.
    let query = EngineQuery { avoid: &[], ..gate::engine_query(job, progress) };
    job.process.engines.has_faster(&query, &flight.engine, waited / 2.0)
}

async fn read_answer<S: Sink>(
    job: &Job,
    placement: &mut Placement,
    stream: &mut HttpStream,
    sink: &mut S,
    progress: &mut Progress,
) -> End {
    let mut checker = Checker::new(job.request.as_str(), progress.tokens);
    let mut parts = Vec::new();
    let mut started = false;
    loop {
        let wait = match (started, &*placement) {
            (true, _) => STALL_TIMEOUT,
            (false, Placement::Engine(flight)) => first_token_timeout(job, flight.predicted),
            (false, Placement::Group(_)) => job.left(),
        };
        let until = (Instant::now() + wait).min(job.deadline.instant());
        let bytes = tokio::select! {
            bytes = stream.next() => bytes,
            () = sink.caller_gone() => return End::Gone,
            () = tokio::time::sleep_until(until.into()) => match on_timeout(job, placement, started, progress) {
                Some(end) => return end,
                None => continue,
            },
        };
        let decoded = match bytes {
            Ok(Some(bytes)) => decode(bytes, &mut checker, &mut parts),
            Ok(None) => Err("the response ended early".to_owned()),
            Err(failure) => Err(failure.to_string()),
        };
        if let Err(why) = decoded {
            return End::Broken(why);
        }
        if !started && !parts.is_empty() {
            started = true;
            on_first_token(job, placement, stream.cached(), progress);
        }
        let ended = add_to_progress(&parts, job.policy.resume, progress);
        let sent = tokio::select! {
            sent = sink.send(&parts) => sent,
            () = tokio::time::sleep_until(job.deadline.instant().into()) => return End::Deadline,
        };
        if ended {
            return finish(job, placement, progress);
        }
        if !sent {
            return End::Gone;
        }
        parts.clear();
    }
}

/// Decodes bytes and adds the events that they complete.
fn decode(bytes: bytes::Bytes, checker: &mut Checker, parts: &mut Vec<Part>) -> Result<(), String> {
    checker.push(bytes, |part| parts.push(part)).map_err(|fault| fault.to_string())
}

/// How the attempt ends if no data came in time; `None` to wait on.
fn on_timeout(job: &Job, placement: &Placement, started: bool, progress: &Progress) -> Option<End> {
    if job.left().is_zero() {
        return Some(End::Deadline);
    }
    if started {
        return Some(End::Broken(format!("no data for {} ms", STALL_TIMEOUT.as_millis())));
    }
    match placement {
        Placement::Engine(flight) if can_move(job, flight, progress) => {
            Some(End::Slow("the first token is overdue".to_owned()))
        }
        _ => None,
    }
}

/// Adds parts to the progress. Returns whether the answer has ended.
fn add_to_progress(parts: &[Part], keep_text: bool, progress: &mut Progress) -> bool {
    let mut ended = false;
    for part in parts {
        match part {
            Part::Token { text, .. } => {
                progress.tokens += 1;
                if keep_text {
                    progress.text.push_str(text);
                }
            }
            Part::End { .. } => ended = true,
        }
    }
    ended
}

fn on_first_token(job: &Job, placement: &mut Placement, cached: Tokens, progress: &mut Progress) {
    let now = job.process.clock.now();
    if let Placement::Engine(flight) = placement {
        let real = (now - flight.sent).as_secs_f64();
        job.process.metrics.prediction_ratio.observe(flight.predicted / real.max(1e-6));
    }
    placement.on_first_token(cached);
    if progress.first_token.is_none() {
        let since = now - job.arrived;
        progress.first_token = Some(since);
        job.process.metrics.observe_first_token(job.tokens.0, since.as_secs_f64());
    }
}

fn finish(job: &Job, placement: &Placement, progress: &Progress) -> End {
    let first = progress.first_token.unwrap_or_default();
    let sent = placement.flight().sent - job.arrived;
    job.record(Decision::Finished {
        first_token_ms: millis(first),
        engine_ms: millis(first.saturating_sub(sent)),
        tokens: progress.tokens,
        pause_ms: None,
    });
    End::Finished
}
