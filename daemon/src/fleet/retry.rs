//! How often a request was sent, and whether it may be sent again.

use foldlock_base::prelude::*;
use foldlock_request::budget::Charge;
use foldlock_request::decision::Decision;
use foldlock_request::dialect::Dialect;
use foldlock_request::placement::Rejection;
use hyper::Response;

use crate::fleet::answer::Body;
use crate::fleet::job::Job;

/// Attempts beyond the route's own that may be made at once while none is known to have run.
pub const MAX_EXTRA_ATTEMPTS: u32 = 2;

/// Connections that may fail before a request is given up: enough to pass over the upstreams of a
/// hall that has just been cut off.
const MAX_UNSENT: u32 = 6;

/// A failed attempt.
pub struct Failure {
    /// Where it failed.
    pub upstream: id::Upstream,
    /// How.
    pub why: String,
}

/// How often a request was sent, and how that ended.
#[derive(Default)]
pub struct History {
    /// The last failure that was an upstream's own answer.
    pub upstream_response: Option<Response<Body>>,
    /// Upstreams that failed it.
    pub excluded: Vec<id::Upstream>,
    /// The failure after which it is to be sent again.
    pub failure: Option<Failure>,
    /// Attempts of which no byte was sent.
    pub unsent: u32,
    /// Attempts that an upstream refused to run.
    pub refused: u32,
    /// Attempts that may have run.
    pub ran: u32,
    /// Whether it has had a placement.
    has_placement: bool,
    /// Repeats that the fleet's retry budget has granted.
    charged_retries: u32,
}

impl History {
    /// What the next attempt is to the fleet's retry budget. A repeat that reached no upstream leaves its
    /// token to the next.
    pub fn charge(&self) -> Charge {
        if self.ran + self.refused > self.charged_retries {
            Charge::Withdraw
        } else if self.has_placement {
            Charge::Free
        } else {
            Charge::Deposit
        }
    }

    /// The next attempt has its placement.
    pub fn on_granted<D: Dialect>(&mut self, job: &Job<D>) {
        if self.charge() == Charge::Withdraw {
            self.charged_retries += 1;
            job.process.metrics.repeat_decided(true);
        }
        self.has_placement = true;
        if let Some(Failure { upstream, why }) = self.failure.take() {
            job.process.metrics.retries.inc();
            job.record(Decision::Retried { upstream, why });
        }
    }

    /// There is no placement for the next attempt.
    pub fn on_rejected<D: Dialect>(&mut self, job: &Job<D>, rejection: &Rejection) {
        let budget = match rejection {
            Rejection::OverBudget(exhausted) => {
                job.process.metrics.repeat_decided(false);
                Some(*exhausted)
            }
            _ => None,
        };
        if let Some(Failure { upstream, why }) = self.failure.take() {
            let reason = rejection.to_string();
            job.record(Decision::NotRetried { upstream, why, reason, budget });
        }
    }
}

/// Whether a request may be sent again, if the fleet's retry budget allows it.
pub fn may_retry<D: Dialect>(job: &Job<D>, history: &History, not_run: bool) -> bool {
    (not_run || job.is_retryable())
        && history.unsent <= MAX_UNSENT
        && history.ran < job.route.attempts
        && history.ran + history.refused < job.route.attempts + MAX_EXTRA_ATTEMPTS
        && !job.remaining().is_zero()
        && !job.process.ending.is_cancelled()
}
