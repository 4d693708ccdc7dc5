//! Where a request waits until there is a place for it.

use std::time::Duration;

use foldlock_base::error::Unsent;
use foldlock_base::prelude::*;
use foldlock_request::board::Load;
use foldlock_request::decision::{Cause, Decision, Seen};
use foldlock_request::dialect::Dialect;
use foldlock_request::placement::{self, Nowhere, Place};

use crate::fleet::admit::DRAINING;
use crate::fleet::job::Job;
use crate::serve::millis;

/// How often a waiting request looks again, if nothing is heard.
const LOOK: Duration = Duration::from_millis(25);

/// The part of the time a caller gave after which a request without a place is refused, so that the
/// caller still has time to come back.
const PATIENCE: f64 = 0.4;

/// When the caller of a long prompt is told to come back: the mix of lengths changes within seconds.
const COME_BACK_LONG: Duration = Duration::from_secs(3);

/// The prompt from which on a request is long here, tokens.
const LONG: Tokens = Tokens(100_000);

/// The longest wait for a service without any open upstream.
const CLOSED: Duration = Duration::from_millis(500);

/// When a refused caller is told to come back, if nothing better is known.
const COME_BACK: Duration = Duration::from_millis(500);

/// How long a request waits for a place at most.
pub fn patience<D: Dialect>(job: &Job<D>) -> Duration {
    (job.deadline - job.arrived).mul_f64(PATIENCE)
}

/// Finds a place, or says why there is none. The request has not been sent, or each attempt so far
/// is known not to have run, or it may be repeated; the caller of this function knows which.
pub async fn place<D: Dialect>(job: &Job<D>, avoid: &[id::Upstream]) -> Result<Place, Nowhere> {
    let started = job.process.now();
    let patience = patience(job);
    let mut cause = None;
    loop {
        let moved = job.process.moved.notified();
        let now = job.process.now();
        let waited = now.saturating_duration_since(started);
        let ask = job.ask(avoid);
        let found = placement::place(&job.process.board.lock().unwrap(), &ask, now);
        let nowhere = match found {
            Ok(place) => {
                placed(job, &place, cause, waited);
                return Ok(place);
            }
            Err(nowhere) => nowhere,
        };
        let limit = match nowhere {
            Nowhere::Full => patience,
            Nowhere::Closed => patience.min(CLOSED),
            Nowhere::TooLarge => Duration::ZERO,
        };
        if waited >= limit || job.process.closing() {
            return Err(nowhere);
        }
        cause = Some(Cause::Engines);
        let _ = tokio::time::timeout(LOOK, moved).await;
    }
}

fn placed<D: Dialect>(job: &Job<D>, place: &Place, cause: Option<Cause>, waited: Duration) {
    if let Some(cause) = cause {
        job.record(Decision::Waited { cause, waited_ms: millis(waited) });
    }
    let named = std::iter::once((&place.flight.upstream, &place.load))
        .chain(place.slowest.iter().map(|(id, load)| (id, load)));
    let seen = named.map(|(id, load)| seen(id, load, place.predicted_ms)).collect();
    job.record(Decision::Routed {
        upstream: place.flight.upstream.clone(),
        route: None,
        predicted_ms: place.predicted_ms,
        seen,
        peers_age_ms: job.process.peers.oldest_ms(job.process.now()),
    });
}

fn seen(id: &id::Upstream, load: &Load, predicted_ms: f64) -> Seen {
    Seen {
        upstream: id.clone(),
        predicted_ms,
        score: load.backlog_ms,
        requests: load.requests,
        long: load.helping,
        queued: Tokens(load.memory),
        cached: Tokens(0),
    }
}

/// The refusal of a request that has not run.
pub fn refusal<D: Dialect>(job: &Job<D>, nowhere: Nowhere, proof: Unsent) -> Error {
    if job.process.closing() {
        let why = "this VM is about to end, and there was no place in time";
        return Error::unsent(Kind::Draining, why, proof).retry_after(DRAINING);
    }
    let (kind, why) = match nowhere {
        Nowhere::Closed => (Kind::NoUpstream, "no upstream takes requests now"),
        Nowhere::Full => (Kind::Overloaded, "all upstreams have as much as they take"),
        Nowhere::TooLarge => (Kind::Overloaded, "no upstream has memory for a prompt this long"),
    };
    let after = if job.terms.prompt >= LONG { COME_BACK_LONG } else { COME_BACK };
    Error::unsent(kind, format!("{}: {why}", job.service.name), proof).retry_after(after)
}
