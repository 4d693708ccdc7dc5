//! How attempts and requests end, noted for whom it concerns.

use std::sync::Arc;
use std::time::Duration;

use foldlock_base::clock::millis;
use foldlock_base::prelude::*;
use foldlock_request::decision::Decision;
use foldlock_request::dialect::Dialect;
use foldlock_request::suspicion::{Failure, Outcome};

use crate::fleet::ending;
use crate::fleet::job::Job;
use crate::fleet::process::Process;
use crate::fleet::unread::GivenUp;
use crate::log;

/// Notes that an attempt failed, for this VM and the one that places.
pub fn note<D: Dialect>(job: &Job<D>, upstream: &id::Upstream, failure: Failure) {
    tell(job, upstream, Outcome::Failed(failure));
    if failure == Failure::Unresponsive {
        job.process.pool.remove(upstream);
    }
}

/// Notes how an attempt ended, for this VM and the one that places.
pub fn tell<D: Dialect>(job: &Job<D>, upstream: &id::Upstream, outcome: Outcome) {
    job.process.cluster.lock().unwrap().record_outcome(upstream, outcome, job.process.now());
    job.process.tell.notify_one();
}

/// Records how a request failed.
pub fn failed<D: Dialect>(job: &Job<D>, error: Error) -> Error {
    let why = error.message().to_owned();
    let retry_after_ms = error.retry().map(|d| d.as_millis() as u64);
    job.record(if error.ran() == Ran::No {
        Decision::Rejected { kind: error.kind(), why, retry_after_ms }
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

/// Notes answers that were given up, since their callers read too slowly for the memory of this VM.
pub fn given_up<D: Dialect>(process: &Process<D>, answers: Vec<GivenUp>) {
    for GivenUp { request, bytes } in answers {
        process.metrics.given_up.inc();
        if process.trouble_lines.admit(process.now()).is_some() {
            let all = process.unread.bytes();
            let what = format!("{request}: {bytes} bytes unread, {all} of the others");
            log::event(&process.log, Event::AnswerGivenUp, what);
        }
    }
}
