//! Serves one admitted request to its end: places it, sends it, reads the answer, and retries on
//! another engine where allowed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_base::clock::millis;
use foldlock_base::error::{Attempt, Proof, Refusal};
use foldlock_base::prelude::*;
use foldlock_connection::engine::Job as Order;
use foldlock_connection::events::Event as Part;
use foldlock_request::decision::{self, Decision};
use foldlock_request::prompt::Prompt;
use foldlock_request::ring::Entry;
use foldlock_request::route::Requirements;
use foldlock_version::policy::{Class, Policy};

use crate::attempt::{self, End, Ended};
use crate::claims::KeyClaim;
use crate::current::Version;
use crate::gate;
use crate::log;
use crate::process::Process;

/// A request, with the data that all steps of serving it share.
pub struct Job {
    /// The process that serves it.
    pub process: Arc<Process>,
    /// Its decision record.
    pub entry: Entry,
    /// When it arrived.
    pub arrived: Instant,
    /// When its answer must be complete.
    pub deadline: Deadline,
    /// The organisation of the caller.
    pub organisation: id::Organisation,
    /// The settings that apply to it.
    pub policy: Arc<Policy>,
    /// The settings version that applies to it until its end.
    pub version: Arc<Version>,
    /// Its id.
    pub request: id::Request,
    /// The parsed prompt.
    pub prompt: Prompt,
    /// Number of prompt tokens.
    pub tokens: Tokens,
    /// Hashes of the prompt's leading blocks.
    pub blocks: Vec<u64>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Average bytes of text per token.
    pub bytes_per_token: u32,
}

/// Receives the parts of an answer and passes them to the caller.
pub trait Sink: Send {
    /// Sets the engine and stream from which the following parts come.
    fn on_source(&mut self, job: &Job, engine: &id::Upstream, stream: &str);

    /// Sends parts. Returns false once the caller has disconnected.
    fn send(&mut self, parts: &[Part]) -> impl Future<Output = bool> + Send;

    /// Returns once the caller has disconnected.
    fn caller_gone(&self) -> impl Future<Output = ()> + Send;
}

/// Totals of a complete answer.
#[derive(Debug, Clone, Copy)]
pub struct Finished {
    /// Number of tokens generated.
    pub tokens: u64,
}

/// Progress of the answer over all attempts.
#[derive(Default)]
pub struct Progress {
    /// Text generated so far, kept if the answer may be resumed.
    pub text: String,
    /// Number of tokens generated so far.
    pub tokens: u64,
    /// Upstreams on which an attempt failed.
    pub avoid: Vec<id::Upstream>,
    /// Time from arrival to the first token.
    pub first_token: Option<Duration>,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Upstreams of attempts that are open while another one is placed.
    pub open: Vec<id::Upstream>,
    /// Whether an attempt beside the present one may have run.
    pub another_ran: bool,
    /// Whether a retry was taken from the budget for an attempt that has not been sent.
    has_retry: bool,
}

impl Progress {
    /// Takes a retry from the budget for the next attempt.
    pub fn take_retry(&mut self, job: &Job) -> bool {
        self.has_retry =
            self.has_retry || job.process.budget.retry(job.policy.retry_budget_percent);
        self.has_retry
    }

    /// Counts an attempt.
    pub fn on_sent(&mut self) {
        self.attempts += 1;
        self.has_retry = false;
    }

    /// Adds an upstream to those on which an attempt failed.
    pub fn avoid(&mut self, upstream: &id::Upstream) {
        if !self.avoid.contains(upstream) {
            self.avoid.push(upstream.clone());
        }
    }
}

impl Job {
    /// Adds a decision to the record and logs it at its event's level.
    pub fn record(&self, decision: Decision) {
        let at_ms = millis(self.process.clock.now() - self.arrived);
        let event = decision.event();
        if event.level().is_at_least(slog::Level::Info) {
            log::event(&self.process.log, event, format_args!("{}: {decision}", self.request));
        }
        self.entry.add(decision::Entry { at_ms, decision });
    }

    /// Time left until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.remaining(&self.process.clock)
    }

    /// What the request needs of an engine. The answer so far is part of the prompt.
    pub fn requirements(&self, progress: &Progress) -> Requirements {
        let generated = Tokens(progress.tokens);
        let prompt = self.tokens + generated;
        let memory = self.tokens + Tokens(self.max_tokens);
        Requirements { prompt, memory, class: self.policy.class(prompt) }
    }

    /// The request to an engine.
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
            priority: self.priority(self.requirements(progress).class),
            first_index: progress.tokens,
            deadline: self.left(),
            linger: Duration::from_millis(self.policy.resume_window_ms),
            segment: None,
        }
    }

    /// The engine priority: lower for longer classes, rising with the time used.
    fn priority(&self, class: Class) -> u8 {
        let used = (self.process.clock.now() - self.arrived).as_secs_f64();
        let whole = used + self.left().as_secs_f64();
        gate::aged_priority(self.policy.priority, class, used / whole.max(f64::MIN_POSITIVE))
    }
}

/// Serves a request to its end and records the result.
pub async fn run<S: Sink>(
    job: &Job,
    sink: &mut S,
    claim: &mut Option<KeyClaim>,
) -> Result<Finished, Error> {
    let mut progress = Progress::default();
    let result = attempts(job, sink, claim, &mut progress).await;
    match &result {
        Ok(finished) => {
            if let Some(claim) = claim {
                claim.done();
            }
            job.process.metrics.answer_tokens.inc_by(finished.tokens);
        }
        Err(e) => record_failure(job, e),
    }
    result
}

fn record_failure(job: &Job, e: &Error) {
    job.process.metrics.count_error(e.kind());
    job.record(match e.ran() {
        Ran::No => Decision::rejected(e),
        ran => {
            Decision::Failed { kind: e.kind(), ran, why: e.message().to_owned(), silent_ms: None }
        }
    });
}

async fn attempts<S: Sink>(
    job: &Job,
    sink: &mut S,
    claim: &mut Option<KeyClaim>,
    progress: &mut Progress,
) -> Result<Finished, Error> {
    let mut proof = Proof::NotRun(foldlock_base::error::Unsent::arrived());
    loop {
        let placement = tokio::select! {
            placement = gate::place(job, progress) => placement,
            () = sink.caller_gone() => return Err(caller_gone_error(proof, progress)),
        };
        let placement = match placement {
            Ok(placement) => placement,
            Err(rejection) => {
                let began = progress.tokens > 0;
                let error = proof.error(rejection.kind, rejection.why, began);
                return Err(match rejection.retry_after {
                    Some(after) => error.retry_after(after),
                    None => error,
                });
            }
        };
        let attempt = proof.send();
        if let Some(claim) = claim {
            claim.sent();
        }
        progress.on_sent();
        let Ended { end, engine } = attempt::run(job, placement, sink, progress).await;
        proof = match end {
            End::Finished => return Ok(Finished { tokens: progress.tokens }),
            End::Deadline => {
                let error = attempt.unknown();
                let why = "the deadline passed";
                return Err(error.error(Kind::DeadlineExceeded, why, progress.tokens > 0));
            }
            End::Gone => return Err(caller_gone_error(attempt.unknown(), progress)),
            end => retry_or_fail(job, end, attempt, &engine, progress, claim)?,
        };
    }
}

fn caller_gone_error(proof: Proof, progress: &Progress) -> Error {
    proof.error(Kind::UpstreamFailed, "the caller disconnected", progress.tokens > 0)
}

/// Decides whether a failed attempt is retried. Returns the error for the caller if not.
fn retry_or_fail(
    job: &Job,
    end: End,
    attempt: Attempt,
    engine: &id::Upstream,
    progress: &mut Progress,
    claim: &mut Option<KeyClaim>,
) -> Result<Proof, Error> {
    let (proof, why) = match end {
        End::NotConnected(why) => (attempt.refused(Refusal::not_connected()), why),
        End::NotRun { proof, why } => (attempt.refused(proof), why),
        End::Broken(why) => (attempt.unknown(), why),
        End::Finished | End::Deadline | End::Gone => unreachable!("these end the request"),
    };
    let not_run = matches!(proof, Proof::NotRun(_));
    if let Some(claim) = claim
        && not_run
    {
        claim.not_run();
    }
    let may_retry = attempt::may_repeat(&job.policy, progress, not_run)
        && !job.left().is_zero()
        && progress.take_retry(job);
    if !may_retry {
        let kind = if not_run { Kind::NoUpstream } else { Kind::UpstreamFailed };
        return Err(proof.error(kind, format!("{engine}: {why}"), progress.tokens > 0));
    }
    progress.avoid(engine);
    job.process.metrics.retries.inc();
    job.record(Decision::Retried { upstream: engine.clone(), why, silent_ms: None });
    Ok(proof)
}
