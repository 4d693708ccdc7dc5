//! The attempts of a request so far, and whether it may be retried.

use std::time::Duration;

use foldlock_base::clock::millis;
use foldlock_base::prelude::*;
use foldlock_request::budget::Charge;
use foldlock_request::decision::Decision;
use foldlock_request::dialect::Dialect;
use foldlock_request::placement::Rejection;
use hyper::Response;

use crate::fleet::answer::Body;
use crate::fleet::grant_requests::Origin;
use crate::fleet::job::Job;

/// Attempts without a delay that are allowed beyond the route's number of attempts, for those that
/// were refused.
pub const MAX_EXTRA_ATTEMPTS: u32 = 2;

/// Maximum number of failed connections with which a request is still retried: enough to skip the
/// upstreams of a data hall that has just been cut off.
const MAX_UNSENT: u32 = 6;

/// A failed attempt.
pub struct Failure {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Cause of the failure.
    pub why: String,
    /// Time since the upstream last sent something, or since the request was sent to it; none if it was not.
    pub silence: Option<Duration>,
}

impl Failure {
    /// A failure at this time.
    pub fn new<D: Dialect>(job: &Job<D>, upstream: id::Upstream, why: String) -> Failure {
        let silence = job.activity.silence_of(&upstream, job.process.now());
        Failure { upstream, why, silence }
    }
}

/// The attempts of a request so far.
#[derive(Default)]
pub struct History {
    /// The last failure response that came from an upstream itself.
    pub upstream_response: Option<Response<Body>>,
    /// Upstreams at which the request failed.
    pub excluded: Vec<id::Upstream>,
    /// The failed attempt that is to be retried, until the retry is granted or rejected.
    pub failure: Option<Failure>,
    /// Attempts of which no byte was sent.
    pub unsent: u32,
    /// Attempts that an upstream refused, which did not run.
    pub refused: u32,
    /// Attempts that may have run.
    pub ran: u32,
    /// The scheduler that rejected the last grant request.
    pub rejected_by: Option<Origin>,
    /// Whether the request has been granted a placement before.
    was_granted: bool,
    /// Retries that were charged to the fleet's retry budget.
    charged_retries: u32,
    /// The upstream of the current attempt to resume a stream, while an earlier attempt may still go on.
    pub attempt: Option<id::Upstream>,
}

impl History {
    /// Counts an attempt that may have run.
    pub fn count_run(&mut self, upstream: id::Upstream) {
        self.ran += 1;
        self.excluded.push(upstream);
    }

    /// Takes back the count of the last attempt, which goes on.
    pub fn uncount_run(&mut self) {
        self.ran -= 1;
        self.excluded.pop();
    }

    /// Whether the current attempt resumes a stream.
    pub fn is_resuming(&self) -> bool {
        self.attempt.is_some()
    }

    /// Begins an attempt to resume a stream.
    pub fn begin_attempt(&mut self, upstream: id::Upstream) {
        self.attempt = Some(upstream);
    }

    /// Ends such an attempt if it was cancelled. One that was sent may have run; one that was not leaves its token of the retry
    /// budget to the next.
    pub fn end_attempt(&mut self, is_sent: bool) {
        // It is counted already if another upstream was asked for in its place.
        let is_uncounted = |upstream: &id::Upstream| is_sent && !self.excluded.contains(upstream);
        if let Some(upstream) = self.attempt.take().filter(is_uncounted) {
            self.count_run(upstream);
        }
    }

    /// How the next attempt is charged to the fleet's retry budget. A retry that was not sent leaves its
    /// token to the next one.
    pub fn charge(&self) -> Charge {
        if self.ran + self.refused > self.charged_retries {
            Charge::Withdraw
        } else if self.was_granted {
            Charge::Free
        } else {
            Charge::Deposit
        }
    }

    /// Records that the next attempt was granted a placement.
    pub fn on_granted<D: Dialect>(&mut self, job: &Job<D>) {
        if self.charge() == Charge::Withdraw {
            self.charged_retries += 1;
            job.process.metrics.count_retry_decision(true);
        }
        self.was_granted = true;
        if let Some(Failure { upstream, why, silence }) = self.failure.take() {
            job.process.metrics.retries.inc();
            job.record(Decision::Retried { upstream, why, silent_ms: silence.map(millis) });
        }
    }

    /// Records that the next attempt was granted no placement.
    pub fn on_rejected<D: Dialect>(&mut self, job: &Job<D>, rejection: &Rejection) {
        let budget = match rejection {
            Rejection::OverBudget(exhausted) => {
                job.process.metrics.count_retry_decision(false);
                Some(*exhausted)
            }
            _ => None,
        };
        if let Some(Failure { upstream, why, .. }) = self.failure.take() {
            let reason = rejection.to_string();
            job.record(Decision::NotRetried { upstream, why, reason, budget });
        }
    }
}

/// Whether a request may be retried, provided that the fleet's retry budget allows it.
pub fn may_retry<D: Dialect>(job: &Job<D>, history: &History, not_run: bool) -> bool {
    (not_run || job.is_retryable())
        && job.body.is_held()
        && history.unsent <= MAX_UNSENT
        && history.ran < job.route.max_attempts
        && history.ran + history.refused < job.route.max_attempts + MAX_EXTRA_ATTEMPTS
        && !job.remaining().is_zero()
        && !job.process.aborting.is_cancelled()
}
