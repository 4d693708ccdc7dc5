//! One request from admission to its end: placed, sent, read, and sent again elsewhere where that
//! is allowed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_base::clock::System;
use foldlock_base::error::{Attempt, Proof, Refusal};
use foldlock_base::prelude::*;
use foldlock_connection::engine::{Engine as _, Failure, HttpStream, Job as Order, Stream as _};
use foldlock_connection::events::{Checker, Event as Part};
use foldlock_request::decision::{Decision, Step};
use foldlock_request::prompt::Prompt;
use foldlock_request::ring::Entry;
use foldlock_request::route::Ask;
use foldlock_version::policy::{Class, Policy};

use crate::claims::Held;
use crate::current::Version;
use crate::engines::{Flight, Wanted};
use crate::gate::{self, Place};
use crate::group;
use crate::log;
use crate::process::Process;

/// An engine that sends nothing for this long, once an answer has begun, is taken for broken.
const STALL: Duration = Duration::from_secs(2);

/// The least time that the first token is waited for before a request is moved.
const PATIENCE: Duration = Duration::from_millis(750);

/// How many times the predicted time the first token is waited for.
const PATIENCE_FACTOR: f64 = 4.0;

/// What all steps of a request share.
pub struct Job {
    /// The process.
    pub process: Arc<Process>,
    /// The record.
    pub entry: Entry,
    /// When it arrived.
    pub arrived: Instant,
    /// When it has to have its answer.
    pub deadline: Deadline,
    /// The organisation.
    pub organisation: id::Organisation,
    /// The settings.
    pub policy: Arc<Policy>,
    /// The settings version that applies to it until its end.
    pub version: Arc<Version>,
    /// Its id.
    pub request: id::Request,
    /// What is asked.
    pub prompt: Prompt,
    /// The prompt's tokens.
    pub tokens: Tokens,
    /// The hashes of the prompt's leading blocks.
    pub blocks: Vec<u64>,
    /// The most tokens of the answer.
    pub max_tokens: u64,
    /// Bytes of text a token.
    pub bytes_per_token: u32,
}

/// Takes the parts of an answer.
pub trait Sink: Send {
    /// The answer comes from this stream of this engine from now on.
    fn source(&mut self, job: &Job, engine: &id::Upstream, stream: &str);

    /// Takes parts; false once the caller is gone.
    fn take(&mut self, parts: &[Part]) -> impl Future<Output = bool> + Send;

    /// Returns once the caller is gone.
    fn gone(&self) -> impl Future<Output = ()> + Send;
}

/// What an answer came to.
#[derive(Debug, Clone, Copy)]
pub struct Finished {
    /// The tokens of the answer.
    pub tokens: u64,
}

/// How far the answer is, over all attempts.
#[derive(Default)]
pub struct Progress {
    /// The answer so far.
    pub text: String,
    /// The tokens so far.
    pub tokens: u64,
    /// Upstreams that failed the request.
    pub avoid: Vec<id::Upstream>,
    first_token: Option<Duration>,
    attempts: u32,
}

/// How an attempt ended.
enum End {
    Finished,
    NotRun { proof: Refusal, why: String },
    Broken(String),
    Slow(String),
    Deadline,
    Gone,
}

impl Job {
    /// Records a decision.
    pub fn record(&self, decision: Decision) {
        let at_ms = millis(self.process.clock.now() - self.arrived);
        let event = decision.event();
        if event.level().is_at_least(slog::Level::Info) {
            log::event(&self.process.log, event, format_args!("{}: {decision}", self.request));
        }
        self.entry.add(Step { at_ms, decision });
    }

    /// The time left.
    pub fn left(&self) -> Duration {
        self.deadline.left(&self.process.clock)
    }

    /// What is asked of engines, with the answer so far as part of the prompt.
    pub fn ask(&self, progress: &Progress) -> Ask {
        let done = Tokens(progress.tokens);
        let prompt = self.tokens + done;
        let memory = self.tokens + Tokens(self.max_tokens);
        Ask { prompt, memory, class: self.policy.class(prompt) }
    }

    /// The order to an engine.
    pub fn order(&self, progress: &Progress) -> Order {
        let prompt = if progress.text.is_empty() {
            self.prompt.text.clone()
        } else {
            [self.prompt.text.as_ref(), progress.text.as_bytes()].concat().into()
        };
        Order {
            request: self.request.clone(),
            model: self.prompt.model.clone(),
            prompt,
            max_tokens: self.max_tokens - progress.tokens,
            priority: self.priority(self.ask(progress).class),
            first_index: progress.tokens,
            deadline: self.left(),
            linger: Duration::from_millis(self.policy.resume_window_ms),
            hold: None,
        }
    }

    /// The engine priority: the longer the class, the lower, rising with the time used.
    fn priority(&self, class: Class) -> u8 {
        let used = (self.process.clock.now() - self.arrived).as_secs_f64();
        let whole = used + self.left().as_secs_f64();
        gate::aged(self.policy.priority, class, used / whole.max(f64::MIN_POSITIVE))
    }
}

/// A duration in milliseconds.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

/// Serves a request to its end, and records the end.
pub async fn run<S: Sink>(
    job: &Job,
    sink: &mut S,
    claim: &mut Option<Held>,
) -> Result<Finished, Error> {
    let mut progress = Progress::default();
    let result = attempts(job, sink, claim, &mut progress).await;
    match &result {
        Ok(finished) => {
            if let Some(claim) = claim {
                claim.done();
            }
            job.process.metrics.tokens.inc_by(finished.tokens);
        }
        Err(e) => failed(job, e),
    }
    result
}

fn failed(job: &Job, e: &Error) {
    job.process.metrics.error(e.kind());
    let why = e.message().to_owned();
    job.record(match e.ran() {
        Ran::No => Decision::Refused {
            kind: e.kind(),
            why,
            retry_after_ms: e.retry().map(|d| d.as_millis() as u64),
        },
        ran => Decision::Failed { kind: e.kind(), ran, why },
    });
}

async fn attempts<S: Sink>(
    job: &Job,
    sink: &mut S,
    claim: &mut Option<Held>,
    progress: &mut Progress,
) -> Result<Finished, Error> {
    let mut proof = Proof::NotRun(foldlock_base::error::Unsent::arrived());
    loop {
        let place = tokio::select! {
            place = gate::place(job, progress) => place,
            () = sink.gone() => return Err(gone(proof, progress)),
        };
        let place = match place {
            Ok(place) => place,
            Err(refused) => {
                let began = progress.tokens > 0;
                let error = proof.error(refused.kind, refused.why, began);
                return Err(match refused.retry_after {
                    Some(after) => error.retry_after(after),
                    None => error,
                });
            }
        };
        let engine = place.engine().clone();
        let attempt = proof.send();
        if let Some(claim) = claim {
            claim.sent();
        }
        progress.attempts += 1;
        let end = one(job, place, sink, progress).await;
        proof = match end {
            End::Finished => return Ok(Finished { tokens: progress.tokens }),
            End::Deadline => {
                let error = attempt.unknown();
                let why = "the deadline passed";
                return Err(error.error(Kind::DeadlineExceeded, why, progress.tokens > 0));
            }
            End::Gone => return Err(gone(attempt.unknown(), progress)),
            end => after(job, end, attempt, &engine, progress, claim)?,
        };
    }
}

fn gone(proof: Proof, progress: &Progress) -> Error {
    proof.error(Kind::UpstreamFailed, "the caller went away", progress.tokens > 0)
}

/// Decides whether a failed attempt is followed by another one.
fn after(
    job: &Job,
    end: End,
    attempt: Attempt,
    engine: &id::Upstream,
    progress: &mut Progress,
    claim: &mut Option<Held>,
) -> Result<Proof, Error> {
    let moved = matches!(end, End::Slow(_));
    let (proof, why) = match end {
        End::NotRun { proof, why } => (attempt.refused(proof), why),
        End::Broken(why) | End::Slow(why) => (attempt.unknown(), why),
        End::Finished | End::Deadline | End::Gone => unreachable!("these end the request"),
    };
    let not_run = matches!(proof, Proof::NotRun(_));
    if let Some(claim) = claim
        && not_run
    {
        claim.not_run();
    }
    let policy = &job.policy;
    let may = (not_run || policy.repeatable)
        && (progress.tokens == 0 || policy.resume)
        && progress.attempts <= policy.retries
        && !job.left().is_zero()
        && job.process.budget.retry(policy.retry_budget_percent);
    if !may {
        let kind = if not_run { Kind::NoUpstream } else { Kind::UpstreamFailed };
        return Err(proof.error(kind, format!("{engine}: {why}"), progress.tokens > 0));
    }
    if !progress.avoid.contains(engine) {
        progress.avoid.push(engine.clone());
    }
    job.process.metrics.retries.inc();
    job.record(if moved {
        Decision::Moved { from: engine.clone(), why }
    } else {
        Decision::Retried { upstream: engine.clone(), why }
    });
    Ok(proof)
}

/// Sends a request once and reads the answer.
async fn one<S: Sink>(job: &Job, mut place: Place, sink: &mut S, progress: &mut Progress) -> End {
    if progress.tokens > 0 {
        job.process.metrics.resumed.inc();
        let upstream = place.engine().clone();
        job.record(Decision::Resumed { index: progress.tokens, upstream });
    }
    let begun = tokio::select! {
        begun = begin(job, &mut place, progress) => begun,
        () = sink.gone() => return End::Gone,
        () = tokio::time::sleep_until(job.deadline.instant().into()) => Err(End::Deadline),
    };
    let mut stream = match begun {
        Ok(stream) => stream,
        Err(end) => {
            judge(&place, &end);
            return end;
        }
    };
    sink.source(job, place.engine(), stream.id());
    let end = read(job, &mut place, &mut stream, sink, progress).await;
    judge(&place, &end);
    let kept = matches!(end, End::Gone) && job.policy.resume_window_ms > 0;
    if !matches!(end, End::Finished) && !kept {
        cancel(&place, stream.id());
    }
    end
}

/// What an attempt's end says of its engine.
fn judge(place: &Place, end: &End) {
    match end {
        End::Broken(_) | End::Slow(_) => place.flight().failed(),
        End::NotRun { why, .. } if why.starts_with("no connection") => place.flight().failed(),
        _ => {}
    }
}

/// Ends a stream at its engine, so that its memory is free at once.
fn cancel(place: &Place, stream: &str) {
    let client = place.flight().client.clone();
    let stream = stream.to_owned();
    tokio::spawn(async move {
        let _ = client.cancel(&stream).await;
    });
}

async fn begin(job: &Job, place: &mut Place, progress: &Progress) -> Result<HttpStream, End> {
    let result = match place {
        Place::Engine(flight) => {
            let order = job.order(progress);
            let answered = flight.client.generate(&order);
            tokio::pin!(answered);
            loop {
                let wait = patience(job, flight.predicted);
                match tokio::time::timeout(wait, answered.as_mut()).await {
                    Ok(result) => break result,
                    Err(_) if can_move(job, flight, progress) => {
                        return Err(End::Slow("it does not accept the request".to_owned()));
                    }
                    Err(_) => {}
                }
            }
        }
        Place::Group(group) => group::begin(job, group, progress).await,
    };
    result.map_err(|failure| match failure {
        Failure::NotRun { proof, leaving, why } => {
            if leaving {
                job.process.upstream_leaving(place.engine());
            }
            End::NotRun { proof, why }
        }
        other => End::Broken(other.to_string()),
    })
}

/// How long the first token is waited for until moving the request is considered.
fn patience(job: &Job, predicted: f64) -> Duration {
    Duration::from_secs_f64(predicted * PATIENCE_FACTOR).max(PATIENCE).min(job.left())
}

/// Whether a request whose first token is late may be moved, and would do better elsewhere: in
/// less than half of the time that it has waited.
fn can_move(job: &Job, flight: &Flight<System>, progress: &Progress) -> bool {
    let policy = &job.policy;
    if !policy.repeatable || progress.attempts > policy.retries {
        return false;
    }
    let waited = (job.process.clock.now() - flight.sent).as_secs_f64();
    // An engine that failed the request before may do by now what this one does not.
    let wanted = Wanted { avoid: &[], ..gate::wanted(job, progress) };
    job.process.engines.better(&wanted, &flight.engine, waited / 2.0)
}

async fn read<S: Sink>(
    job: &Job,
    place: &mut Place,
    stream: &mut HttpStream,
    sink: &mut S,
    progress: &mut Progress,
) -> End {
    let mut checker = Checker::new(job.request.as_str(), progress.tokens);
    let mut parts = Vec::new();
    let mut began = false;
    loop {
        let wait = match (began, &*place) {
            (true, _) => STALL,
            (false, Place::Engine(flight)) => patience(job, flight.predicted),
            (false, Place::Group(_)) => job.left(),
        };
        let until = (Instant::now() + wait).min(job.deadline.instant());
        let bytes = tokio::select! {
            bytes = stream.next() => bytes,
            () = sink.gone() => return End::Gone,
            () = tokio::time::sleep_until(until.into()) => match late(job, place, began, progress) {
                Some(end) => return end,
                None => continue,
            },
        };
        match bytes {
            Ok(Some(bytes)) => {
                if let Err(fault) = checker.push(bytes, |part| parts.push(part)) {
                    return End::Broken(fault.to_string());
                }
            }
            Ok(None) => return End::Broken("the answer ended early".to_owned()),
            Err(failure) => return End::Broken(failure.to_string()),
        }
        if !began && !parts.is_empty() {
            began = true;
            first_token(job, place, stream.cached(), progress);
        }
        let ended = keep(&parts, job.policy.resume, progress);
        let sent = tokio::select! {
            sent = sink.take(&parts) => sent,
            () = tokio::time::sleep_until(job.deadline.instant().into()) => return End::Deadline,
        };
        if ended {
            return finish(job, place, progress);
        }
        if !sent {
            return End::Gone;
        }
        parts.clear();
    }
}

/// What follows when nothing came for a while; none where the request waits on.
fn late(job: &Job, place: &Place, began: bool, progress: &Progress) -> Option<End> {
    if job.left().is_zero() {
        return Some(End::Deadline);
    }
    if began {
        return Some(End::Broken(format!("nothing came for {} ms", STALL.as_millis())));
    }
    match place {
        Place::Engine(flight) if can_move(job, flight, progress) => {
            Some(End::Slow("the first token is late".to_owned()))
        }
        _ => None,
    }
}

/// Adds parts to the progress. Gives whether the answer has ended.
fn keep(parts: &[Part], keep_text: bool, progress: &mut Progress) -> bool {
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

fn first_token(job: &Job, place: &mut Place, cached: Tokens, progress: &mut Progress) {
    let now = job.process.clock.now();
    if let Place::Engine(flight) = place {
        let real = (now - flight.sent).as_secs_f64();
        job.process.metrics.prediction.observe(flight.predicted / real.max(1e-6));
    }
    place.first_token(cached);
    if progress.first_token.is_none() {
        let since = now - job.arrived;
        progress.first_token = Some(since);
        job.process.metrics.first_token(job.tokens.0, since.as_secs_f64());
    }
}

fn finish(job: &Job, place: &Place, progress: &Progress) -> End {
    let first = progress.first_token.unwrap_or_default();
    let sent = place.flight().sent - job.arrived;
    job.record(Decision::Finished {
        first_token_ms: millis(first),
        engine_ms: millis(first.saturating_sub(sent)),
        tokens: progress.tokens,
    });
    End::Finished
}
