//! The attempts of a request so far, and whether it may be retried.

use std::time::{Duration, Instant};

use foldlock_base::clock::millis;
use foldlock_base::prelude::*;
use foldlock_request::budget::Charge;
use foldlock_request::decision::Decision;
use foldlock_request::dialect::Dialect;
use foldlock_request::placement::Rejection;
use hyper::Response;

use crate::fleet::activity::Activity;
use crate::fleet::answer::Body;
use crate::fleet::grant_requests::Origin;
use crate::fleet::job::Job;
use crate::fleet::metrics::{Metrics, OpenSilence, Phase, Silence};

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

/// An attempt that has not ended.
pub struct Open {
    number: u64,
    /// Its upstream.
    pub upstream: id::Upstream,
    /// When it began.
    pub began: Instant,
    activity: Activity,
    /// The silence for which it was counted as one that may have run.
    silence: Option<OpenSilence>,
}

impl Open {
    /// Time since its upstream last sent something, or since the attempt began.
    pub fn silence(&self, now: Instant) -> Duration {
        let since_began = now.saturating_duration_since(self.began);
        self.activity.silence(now).unwrap_or(since_began)
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
    /// The last engine that did not answer an order to reserve memory, excluded from the next placement.
    unanswered: Option<id::Upstream>,
    /// Attempts that ended with such an order.
    pub unanswered_orders: u32,
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
    /// Attempts that have not ended, in the order in which they began.
    pub open: Vec<Open>,
    /// The silent upstream of the stream that is to be resumed, while that is still open.
    pub open_stream: Option<id::Upstream>,
}

impl History {
    /// Counts an attempt that may have run.
    pub fn count_run(&mut self, upstream: id::Upstream) {
        self.ran += 1;
        self.excluded.push(upstream);
    }

    /// Excludes an engine that did not answer an order to reserve memory, in place of the last such engine: all may be silent
    /// for a moment, and the prompt may need them.
    pub fn exclude_unanswered(&mut self, engine: Option<id::Upstream>) {
        self.unanswered_orders += 1;
        if let Some(last) = std::mem::replace(&mut self.unanswered, engine.clone()) {
            let index = self.excluded.iter().rposition(|excluded| *excluded == last);
            index.map(|index| self.excluded.remove(index));
        }
        self.excluded.extend(engine);
    }

    /// Begins an attempt.
    pub fn begin_attempt(
        &mut self,
        number: u64,
        upstream: id::Upstream,
        activity: Activity,
        began: Instant,
    ) {
        self.open.push(Open { number, upstream, began, activity, silence: None });
    }

    /// Counts the attempt that began last as one that may have run, since its upstream is silent. Returns it the first time.
    pub fn begin_silence(&mut self, metrics: &Metrics, phase: Phase) -> Option<&Open> {
        let attempt = self.open.last_mut().filter(|attempt| attempt.silence.is_none())?;
        attempt.silence = Some(OpenSilence::begin(metrics, phase));
        let upstream = attempt.upstream.clone();
        self.count_run(upstream);
        self.open.last()
    }

    /// Upstreams at which an attempt may still go on. No other attempt may be sent there.
    pub fn open_upstreams(&self) -> Vec<id::Upstream> {
        let open = self.open.iter().map(|attempt| attempt.upstream.clone());
        open.chain(self.open_stream.clone()).collect()
    }

    /// Whether the upstreams of all open attempts are silent.
    pub fn are_all_silent(&self) -> bool {
        self.open.iter().all(|attempt| attempt.silence.is_some())
    }

    /// Ends an attempt, and takes back the count of its silence. Returns its upstream.
    pub fn end_attempt(&mut self, number: u64, has_responded: bool) -> id::Upstream {
        let index = self.open.iter().position(|attempt| attempt.number == number);
        let attempt = self.open.remove(index.expect("it is open"));
        if let Some(mut silence) = attempt.silence {
            if has_responded {
                silence.end(Silence::Continued);
            }
            self.ran -= 1;
            let index = self.excluded.iter().rposition(|excluded| *excluded == attempt.upstream);
            index.map(|index| self.excluded.remove(index));
        }
        attempt.upstream
    }

    /// Ends the open attempts, which were cancelled. Those that were sent may have run; one that was not leaves its token of
    /// the retry budget to the next.
    pub fn cancel_attempts(&mut self, is_replaced: bool) {
        for attempt in std::mem::take(&mut self.open) {
            match attempt.silence {
                Some(mut silence) if is_replaced => silence.end(Silence::Replaced),
                None if attempt.activity.is_sent() => self.count_run(attempt.upstream),
                _ => {}
            }
        }
    }

    /// How the next attempt is charged to the fleet's retry budget. A retry that was not sent leaves its
    /// token to the next one.
    pub fn charge(&self) -> Charge {
        if self.ran + self.refused > self.charged_retries {
            let is_hedge = self.open_stream.is_some() || !self.open.is_empty();
            if is_hedge { Charge::Hedge } else { Charge::Withdraw }
        } else if self.was_granted {
            Charge::Free
        } else {
            Charge::Deposit
        }
    }

    /// Records that the next attempt was granted a placement.
    pub fn on_granted<D: Dialect>(&mut self, job: &Job<D>) {
        let charge = self.charge();
        if matches!(charge, Charge::Withdraw | Charge::Hedge) {
            self.charged_retries += 1;
            job.process.metrics.count_retry_decision(charge, true);
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
                job.process.metrics.count_retry_decision(self.charge(), false);
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
