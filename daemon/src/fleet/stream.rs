//! Reads a stream of an upstream event by event.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_connection::channel::Channel;
use foldlock_connection::framing::BodyEnd;
use foldlock_connection::http::chain;
use foldlock_connection::sse::{Decoder, Event};
use foldlock_request::dialect::Dialect;
use foldlock_request::flight::Flight;
use foldlock_request::suspicion::Outcome;
use foldlock_request::tag::Tag;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::fleet::activity::Activity;
use crate::fleet::crash::{self, Interrupted, MIN_DECODING};
use crate::fleet::job::Job;
use crate::fleet::liveness::Poller;
use crate::fleet::outcome;
use crate::fleet::process::Guard;
use crate::fleet::reservations::Reservations;
use crate::fleet::retry::History;
use crate::fleet::unsent::Loan;

/// A stream whose first events were received.
pub struct Started<D: Dialect> {
    /// The head of the response.
    pub head: http::response::Parts,
    /// The first events, not yet sent to the caller.
    pub first: Vec<Event>,
    /// The rest of the stream.
    pub stream: Stream<D>,
}

/// A stream at an upstream.
pub struct Stream<D: Dialect> {
    /// The attempt.
    pub flight: Flight,
    /// The incarnation of the upstream that the request was sent to.
    pub incarnation: Tag,
    /// The address of the upstream, `IP:port`.
    pub(super) address: String,
    /// When the request was sent.
    pub sent: Instant,
    /// When its first event was received.
    pub first_event: Option<Instant>,
    /// Whether it was recorded that the response began and did not crash its upstream.
    pub(super) is_start_recorded: bool,
    /// Whether the attempt is counted in the history of its request.
    pub(super) is_counted: bool,
    /// Polls the engines while the main engine is silent and others reserve memory.
    pub(super) poller: Option<Poller>,
    /// Events that were received and not returned yet: empty lines are returned with the next event.
    pub(super) pending: Vec<Event>,
    /// The predicted time to the first event, milliseconds.
    pub predicted_ms: f64,
    pub(super) activity: Activity,
    pub(super) loan: Arc<Loan>,
    pub(super) attempt_guard: Guard<D>,
    pub(super) reservations: Reservations<D>,
    pub(super) channel: Channel,
    /// How long the connection may be idle afterwards; zero if it cannot be reused.
    pub(super) idle_timeout: Duration,
    /// What determines the end of the response.
    pub(super) body_end: BodyEnd,
    pub(super) body: Incoming,
    pub(super) decoder: Decoder,
}

/// The next item of a stream.
pub enum Item {
    /// Complete events.
    Events(Vec<Event>),
    /// The end of a complete stream.
    End,
    /// The stream was truncated or is malformed; the reason.
    Broken(String),
}

impl<D: Dialect> Stream<D> {
    /// The attempt, after its connection broke.
    pub fn interrupted(&self) -> Interrupted<'_> {
        Interrupted {
            flight: &self.flight,
            incarnation: self.incarnation,
            sent: self.sent,
            first_event: self.first_event,
        }
    }

    /// When the response began, once it has outlived the time in which it would have crashed its upstream. Returns it
    /// once.
    pub fn take_sound_start(&mut self, now: Instant) -> Option<Instant> {
        let first = self.first_event?;
        let has_outlived = now.saturating_duration_since(first) >= MIN_DECODING;
        has_outlived.then(|| self.take_start()).flatten()
    }

    /// When the response began, if that was not recorded yet.
    pub fn take_start(&mut self) -> Option<Instant> {
        let first = self.first_event.filter(|_| !self.is_start_recorded);
        self.is_start_recorded = true;
        first
    }

    /// Waits for the next item. A stream that ends with its connection is complete only if its upstream still runs:
    /// the connection of a process that has ended ends in the same way.
    pub async fn next_item(&mut self, job: &Job<D>) -> Item {
        match self.next(job).await {
            Item::End
                if self.body_end.is_close()
                    && crash::has_ended(job, self.interrupted(), &self.address).await =>
            {
                Item::Broken("the upstream ended between two events".to_owned())
            }
            Item::End => match self.channel.check_end(self.body_end) {
                Ok(()) => Item::End,
                Err(fault) => Item::Broken(fault.to_string()),
            },
            Item::Events(events) if self.first_event.is_none() => {
                let start: Vec<u8> = events.iter().flat_map(|e| e.bytes.iter().copied()).collect();
                match self.body_end.check(&start) {
                    Ok(()) => Item::Events(events),
                    Err(fault) => Item::Broken(fault.to_string()),
                }
            }
            item => item,
        }
    }

    /// Keeps what it has received if it is cancelled.
    async fn next(&mut self, job: &Job<D>) -> Item {
        loop {
            let frame = match self.body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(e)) => return Item::Broken(chain(&e)),
                None if self.decoder.buffered() > 0 => {
                    return Item::Broken("stream ended inside an event".to_owned());
                }
                // Empty lines alone are no response.
                None if self.pending.is_empty() || self.first_event.is_none() => return Item::End,
                None => return Item::Events(std::mem::take(&mut self.pending)),
            };
            self.channel.record_progress();
            self.activity.record(job.process.now());
            let Ok(bytes) = frame.into_data() else { continue };
            self.decoder.push(&bytes);
            loop {
                match self.decoder.next_event() {
                    Ok(Some(event)) => self.pending.push(event),
                    Ok(None) => break,
                    Err(_) => return Item::Broken("event exceeds the maximum length".to_owned()),
                }
            }
            if !self.pending.iter().all(Event::is_blank) {
                return Item::Events(std::mem::take(&mut self.pending));
            }
        }
    }

    /// Records that the stream was read to its end and returns its connection to the pool.
    pub fn complete(self, job: &Job<D>) {
        let now = job.process.now();
        let upstream = &self.flight.upstream;
        outcome::record(job, upstream, Outcome::Answered);
        if !self.idle_timeout.is_zero() && !self.loan.is_unread() {
            job.process.pool.put(upstream, self.channel, self.idle_timeout, now);
        }
    }

    /// Records that the stream was truncated, and checks whether its upstream crashed.
    pub async fn fail(self, job: &Job<D>) {
        outcome::record_broken(job, self.interrupted()).await;
    }

    /// Counts the attempt in the history of its request: another one is asked for. An upstream that is silent several times
    /// counts once.
    pub fn count(&mut self, history: &mut History) {
        if !std::mem::replace(&mut self.is_counted, true) {
            history.count_run(self.flight.upstream.clone());
        }
    }
}
