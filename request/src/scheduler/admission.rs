//! Decides whether a request is queued, or rejected because it cannot be served within its caller's
//! time.
//!
//! Answers load pattern A (`docs/design/overload.md`): where capacity is scarce, a caller that is rejected at once can
//! still be served by another attempt, and one that is rejected after seconds in the queue cannot.

use std::fmt;
use std::time::Duration;

use foldlock_base::clock::millis;

/// Factor on the forecast wait of a new request: one prediction in ten is a third too low. Without
/// it, requests at the limit would be queued for seconds and then rejected, which leaves their
/// callers no time for another attempt.
const NEW_REQUEST_FACTOR: f64 = 4.0 / 3.0;

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

/// Decides on a new request that cannot be placed at once, with a margin for the error of the
/// forecast.
pub fn decide_new(request: &Request, wait: Duration) -> Result<(), Overloaded> {
    let cautious = Duration::try_from_secs_f64(wait.as_secs_f64() * NEW_REQUEST_FACTOR);
    decide(request, cautious.unwrap_or(Duration::MAX)).map_err(|_| Overloaded { wait })
}

/// Decides on a request, from the time until its start. To be called for a queued request in each round of placement,
/// with its earliest start: its caller has spent time in the queue that it lacks for another attempt, so it is rejected
/// only if it cannot be served even if no more requests arrive.
pub fn decide(request: &Request, wait: Duration) -> Result<(), Overloaded> {
    let end = request.waited.saturating_add(wait).saturating_add(request.service_time);
    if end > request.time_limit { Err(Overloaded { wait }) } else { Ok(()) }
}
