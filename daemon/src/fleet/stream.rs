//! A stream at an upstream, read event by event.

use std::time::{Duration, Instant};

use foldlock_connection::channel::Channel;
use foldlock_connection::http::chain;
use foldlock_connection::sse::{Cutter, Event};
use foldlock_request::dialect::Dialect;
use foldlock_request::flight::Flight;
use foldlock_request::suspicion::{Failure, Outcome};
use foldlock_request::tag::Tag;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::fleet::crash;
use crate::fleet::hold::Hold;
use crate::fleet::job::Job;
use crate::fleet::outcome;
use crate::fleet::process::Entered;

/// A stream that has begun.
pub struct Started<D: Dialect> {
    /// The head of the answer.
    pub head: http::response::Parts,
    /// The events to pass on first.
    pub first: Vec<Event>,
    /// The rest.
    pub stream: Stream<D>,
}

/// A stream at an upstream.
pub struct Stream<D: Dialect> {
    /// The attempt: where it runs, and beside what.
    pub flight: Flight,
    /// The start of the upstream that it was sent to.
    pub incarnation: Tag,
    /// When the request was sent.
    pub sent: Instant,
    /// The predicted time to the first event, milliseconds.
    pub predicted_ms: f64,
    pub(super) entered: Entered<D>,
    pub(super) reservations: Hold<D>,
    pub(super) channel: Channel,
    pub(super) idle_timeout: Duration,
    pub(super) body: Incoming,
    pub(super) cutter: Cutter,
}

/// What comes next in a stream.
pub enum Item {
    /// Whole events.
    Events(Vec<Event>),
    /// The stream has its end.
    End,
    /// It broke off.
    Broken(String),
}

impl<D: Dialect> Stream<D> {
    /// The next events, as soon as there are some.
    pub async fn next(&mut self) -> Item {
        loop {
            let frame = match self.body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(e)) => return Item::Broken(chain(&e)),
                None if self.cutter.rest() == 0 => return Item::End,
                None => return Item::Broken("it ended inside an event".to_owned()),
            };
            let Ok(bytes) = frame.into_data() else { continue };
            self.cutter.push(&bytes);
            let mut events = Vec::new();
            loop {
                match self.cutter.cut() {
                    Ok(Some(event)) => events.push(event),
                    Ok(None) => break,
                    Err(_) => return Item::Broken("an event is too long".to_owned()),
                }
            }
            if !events.is_empty() {
                return Item::Events(events);
            }
        }
    }

    /// The stream has been read to its end: its connection may serve again.
    pub fn complete(self, job: &Job<D>) {
        let now = job.process.now();
        let upstream = &self.flight.upstream;
        outcome::record(job, upstream, Outcome::Answered);
        if !self.idle_timeout.is_zero() {
            job.process.pool.keep(upstream, self.channel, self.idle_timeout, now);
        }
    }

    /// The stream broke off.
    pub async fn fail(self, job: &Job<D>, unresponsive: bool) {
        let failure = if unresponsive { Failure::Unresponsive } else { Failure::Malformed };
        outcome::record_failure(job, &self.flight.upstream, failure);
        if !unresponsive {
            crash::detect(job, &self.flight, self.incarnation).await;
        }
    }
}
