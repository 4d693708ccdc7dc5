//! Where a request waits until there is a place for it.

use std::sync::atomic::Ordering;
use std::time::Duration;

use foldlock_base::error::Unsent;
use foldlock_base::prelude::*;
use foldlock_request::board::{Load, service_tag};
use foldlock_request::decision::{Cause, Decision, Seen};
use foldlock_request::dialect::Dialect;
use foldlock_request::forecast;
use foldlock_request::line::Waiting;
use foldlock_request::placement::{self, Nowhere, Place};
use foldlock_version::routes::Engine;

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

/// The engines among which a long prompt is usually divided, where 18 serve short ones as well.
const USUAL_PARTS: f64 = 10.0;

/// The writers of the engine that answers a long prompt.
const USUAL_WRITERS: u32 = 4;

/// How much longer an answer takes for the reads in its passes: long answers had pauses of 100 to 500
/// ms now and then, at passes of 50 to 70 ms.
const STRETCH: f64 = 1.5;

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
    let turn = Turn::take(job);
    let patience = turn.as_ref().map_or(patience, |turn| turn.limit.saturating_sub(job.held()));
    let mut cause = None;
    loop {
        let moved = job.process.moved.notified();
        let now = job.process.now();
        let waited = now.saturating_duration_since(started);
        let ask = job.ask(avoid, turn.as_ref().map(|turn| turn.number));
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
        if cause.is_none() {
            cause = Some(Cause::Engines);
            if turn.is_some() {
                job.process.tell_all.store(true, Ordering::Relaxed);
                job.process.tell.notify_one();
            }
        }
        let _ = tokio::time::timeout(LOOK, moved).await;
    }
}

/// The time that a long prompt needs from its place to the end of its answer.
fn last_start(engine: &Engine, read_ms: f64) -> Duration {
    let passes = engine.usual_answer.0 as f64 / f64::from(engine.stride.max(1));
    let pass_ms = forecast::pass_ms(engine, USUAL_WRITERS, engine.memory.0 / 2);
    Duration::from_secs_f64((read_ms / USUAL_PARTS + passes * pass_ms * STRETCH) / 1e3)
}

/// The place of a long prompt in the line; it is given up when this is dropped.
struct Turn<'a, D: Dialect> {
    job: &'a Job<D>,
    number: u64,
    limit: Duration,
}

impl<'a, D: Dialect> Turn<'a, D> {
    fn take(job: &'a Job<D>) -> Option<Turn<'a, D>> {
        let engine = job.service.engine.as_ref()?;
        let read_ms = job.long_read_ms(engine)?;
        let limit = (job.deadline - job.arrived).saturating_sub(last_start(engine, read_ms));
        let waiting = Waiting {
            service: service_tag(&job.service.name),
            arrived: job.arrived,
            read_ms,
            objective: job.route.objective,
            limit,
            own: None,
        };
        let number = job.process.board.lock().unwrap().wait(waiting);
        Some(Turn { job, number, limit })
    }
}

impl<D: Dialect> Drop for Turn<'_, D> {
    fn drop(&mut self) {
        self.job.process.board.lock().unwrap().waited(self.number);
        self.job.process.moved.notify_waiters();
        self.job.process.tell.notify_one();
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
        engines: place.flight.helpers.len() as u32 + 1,
        part_ms: f64::from(place.flight.part_ms),
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
