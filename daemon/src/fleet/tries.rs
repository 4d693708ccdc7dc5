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
pub const REFUSED_MORE: u32 = 2;

/// Connections that may fail before a request is given up: enough to pass over the upstreams of a
/// hall that has just been cut off.
const MOST_UNSENT: u32 = 6;

/// A failed attempt.
pub struct Failure {
    /// Where it failed.
    pub upstream: id::Upstream,
    /// How.
    pub why: String,
}

/// How often a request was sent, and how that ended.
#[derive(Default)]
pub struct Tries {
    /// The last failure that was an upstream's own answer.
    pub own: Option<Response<Body>>,
    /// Upstreams that failed it.
    pub avoid: Vec<id::Upstream>,
    /// The failure after which it is to be sent again.
    pub failure: Option<Failure>,
    /// Attempts of which no byte was sent.
    pub unsent: u32,
    /// Attempts that an upstream refused to run.
    pub refused: u32,
    /// Attempts that may have run.
    pub ran: u32,
    /// Whether it has had a placement.
    begun: bool,
    /// Repeats that the fleet's retry budget has granted.
    granted: u32,
}

impl Tries {
    /// What the next attempt is to the fleet's retry budget. A repeat that reached no upstream leaves its
    /// token to the next.
    pub fn charge(&self) -> Charge {
        if self.ran + self.refused > self.granted {
            Charge::Withdraw
        } else if self.begun {
            Charge::Free
        } else {
            Charge::Deposit
        }
    }

    /// The next attempt has its placement.
    pub fn placed<D: Dialect>(&mut self, job: &Job<D>) {
        if self.charge() == Charge::Withdraw {
            self.granted += 1;
            job.process.metrics.repeat_decided(true);
        }
        self.begun = true;
        if let Some(Failure { upstream, why }) = self.failure.take() {
            job.process.metrics.retries.inc();
            job.record(Decision::Retried { upstream, why });
        }
    }

    /// There is no placement for the next attempt.
    pub fn unplaced<D: Dialect>(&mut self, job: &Job<D>, rejection: &Rejection) {
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
pub fn may_repeat<D: Dialect>(job: &Job<D>, tries: &Tries, not_run: bool) -> bool {
    (not_run || job.repeatable())
        && tries.unsent <= MOST_UNSENT
        && tries.ran < job.route.max_attempts
        && tries.ran + tries.refused < job.route.max_attempts + REFUSED_MORE
        && !job.left().is_zero()
        && !job.process.ending.is_cancelled()
}
