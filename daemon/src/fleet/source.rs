//! A stream at an upstream, read event by event.

use std::time::{Duration, Instant};

use foldlock_connection::channel::Channel;
use foldlock_connection::http::chain;
use foldlock_connection::sse::{Decoder, Event as Part};
use foldlock_request::dialect::Dialect;
use foldlock_request::flight::Flight;
use foldlock_request::suspicion::{Failure, Outcome};
use foldlock_request::tag::Tag;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::fleet::ending;
use crate::fleet::hold::Hold;
use crate::fleet::job::Job;
use crate::fleet::outcome::{note, tell};
use crate::fleet::process::Entered;

/// A stream that has begun.
pub struct Begun<D: Dialect> {
    /// The head of the answer.
    pub head: http::response::Parts,
    /// The events to pass on first.
    pub first: Vec<Part>,
    /// The rest.
    pub source: Source<D>,
}

/// A stream at an upstream.
pub struct Source<D: Dialect> {
    /// The attempt: where it runs, and beside what.
    pub flight: Flight,
    /// The start of the upstream that it was sent to.
    pub start: Tag,
    /// When the request was sent.
    pub sent: Instant,
    /// The predicted time to the first event, milliseconds.
    pub predicted_ms: f64,
    pub(super) entered: Entered<D>,
    pub(super) hold: Hold<D>,
    pub(super) channel: Channel,
    pub(super) rest: Duration,
    pub(super) body: Incoming,
    pub(super) decoder: Decoder,
}

/// What comes next in a stream.
pub enum Next {
    /// Whole events.
    Parts(Vec<Part>),
    /// The stream has its end.
    End,
    /// It broke off.
    Broken(String),
}

impl<D: Dialect> Source<D> {
    /// The next events, as soon as there are some.
    pub async fn next(&mut self) -> Next {
        loop {
            let frame = match self.body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(e)) => return Next::Broken(chain(&e)),
                None if self.decoder.buffered() == 0 => return Next::End,
                None => return Next::Broken("it ended inside an event".to_owned()),
            };
            let Ok(bytes) = frame.into_data() else { continue };
            self.decoder.push(&bytes);
            let mut parts = Vec::new();
            loop {
                match self.decoder.next_event() {
                    Ok(Some(part)) => parts.push(part),
                    Ok(None) => break,
                    Err(_) => return Next::Broken("an event is too long".to_owned()),
                }
            }
            if !parts.is_empty() {
                return Next::Parts(parts);
            }
        }
    }

    /// The stream has been read to its end: its connection may serve again.
    pub fn finish(self, job: &Job<D>) {
        let now = job.process.now();
        let upstream = &self.flight.upstream;
        tell(job, upstream, Outcome::Answered);
        if !self.rest.is_zero() {
            job.process.pool.put(upstream, self.channel, self.rest, now);
        }
    }

    /// The stream broke off.
    pub async fn broke(self, job: &Job<D>, silent: bool) {
        let failure = if silent { Failure::Unresponsive } else { Failure::Malformed };
        note(job, &self.flight.upstream, failure);
        if !silent {
            ending::examine(job, &self.flight, self.start).await;
        }
    }
}
