//! How often a request was sent, and whether it may be sent again.

use foldlock_base::prelude::*;
use foldlock_request::decision::Decision;
use foldlock_request::dialect::Dialect;
use hyper::Response;

use crate::fleet::answer::Body;
use crate::fleet::job::Job;

/// Attempts beyond the route's own that may be made at once while none is known to have run.
pub const REFUSED_MORE: u32 = 2;

/// How often a request was sent, and how that ended.
#[derive(Default)]
pub struct Tries {
    /// The last failure that was an upstream's own answer.
    pub own: Option<Response<Body>>,
    /// Upstreams that failed it.
    pub avoid: Vec<id::Upstream>,
    /// Attempts of which no byte was sent.
    pub unsent: u32,
    /// Attempts that an upstream refused to run.
    pub refused: u32,
    /// Attempts that may have run.
    pub ran: u32,
}

/// Connections that may fail before a request is given up: enough to pass over the upstreams of a
/// hall that has just been cut off.
const MOST_UNSENT: u32 = 6;

/// Decides whether a request is sent again.
pub fn may_repeat<D: Dialect>(job: &Job<D>, tries: &Tries, not_run: bool) -> bool {
    let allowed = (not_run || job.repeatable())
        && tries.unsent <= MOST_UNSENT
        && tries.ran < job.route.attempts
        && tries.ran + tries.refused < job.route.attempts + REFUSED_MORE
        && !job.left().is_zero()
        && !job.process.ending.is_cancelled();
    if !allowed {
        return false;
    }
    // Where nothing has arrived anywhere, this is no repeat.
    tries.ran + tries.refused == 0 || within_budget(job)
}

/// Whether the fleet's budget of repeats has one for this request, which it then takes.
pub fn within_budget<D: Dialect>(job: &Job<D>) -> bool {
    let vms = job.process.peers.listed_count();
    let (service, now) = (&job.service.name, job.process.now());
    let mut budget = job.process.budget.lock().unwrap();
    let account = budget.account(service, vms, now);
    let granted = budget.repeat(service, vms, now);
    drop(budget);
    job.process.metrics.repeat_decided(granted);
    job.record(Decision::Budgeted { granted, account });
    granted
}
