//! Decides whether a request is queued, or rejected because it cannot be served within its caller's
//! time.
//!
//! Answers load pattern A (`docs/design/overload.md`): where capacity is scarce, a caller that is rejected at once can
//! still be served by another attempt, and one that is rejected after seconds in the queue cannot.

use std::fmt;
use std::time::Duration;

use foldlock_base::clock::millis;

/// Share of the forecast wait that must be too long for a request that is already queued. One
/// prediction in ten is a third too low, and a rejection after a wait leaves its caller less time
/// than one at once. Near the head of the queue this margin is near zero.
const QUEUED_SHARE: f64 = 0.75;

/// A request for which a placement is requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Time since its arrival.
    pub waited: Duration,
    /// Time from its arrival after which its caller no longer waits.
    pub time_limit: Duration,
    /// Time from its start to the end of the response.
    pub service_time: Duration,
    /// Whether its first event can still meet the objective. A late response is delivered too, so
    /// this affects the forecast of the wait only.
    pub in_time: bool,
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Request { waited, time_limit, service_time, in_time } = *self;
        write!(f, "waited_ms={:.0} time_limit_ms={:.0}", millis(waited), millis(time_limit))?;
        write!(f, " service_ms={:.0} in_time={in_time}", millis(service_time))
    }
}

/// The request cannot be served within its caller's time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overloaded {
    /// The forecast wait.
    pub wait: Duration,
}

/// Decides on a new request, from the forecast of the wait until its start.
pub fn decide(request: &Request, wait: Duration) -> Result<(), Overloaded> {
    let end = request.waited.saturating_add(wait).saturating_add(request.service_time);
    if end > request.time_limit { Err(Overloaded { wait }) } else { Ok(()) }
}

/// Decides again on a queued request, from a new forecast.
pub fn decide_queued(request: &Request, wait: Duration) -> Result<(), Overloaded> {
    decide(request, wait.mul_f64(QUEUED_SHARE)).map_err(|_| Overloaded { wait })
}
