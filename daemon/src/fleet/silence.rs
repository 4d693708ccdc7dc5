//! A stream whose upstream sends nothing for a while: it stays open while another upstream is asked to resume it.
//!
//! Load patterns: engines are silent for a second or so while they read long prompts or run out of memory, many of their
//! streams at once, often when there is no capacity or retry budget to resume them elsewhere. Silence is a suspicion only:
//! the upstream may also be dead behind a connection that hangs. So whichever upstream sends events first goes on with the
//! stream, and the other attempt is cancelled.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_connection::sse;
use foldlock_request::dialect::Dialect;
use foldlock_request::suspicion;

use crate::fleet::job::Job;
use crate::fleet::liveness::{self, Crashed, Poller};
use crate::fleet::metrics::{OpenSilence, Phase, Silence};
use crate::fleet::outcome;
use crate::fleet::race;
use crate::fleet::resume::{self, Resumed};
use crate::fleet::retry::History;
use crate::fleet::stream::{Item, Stream};
use crate::fleet::unread::{Closed, Writer};
use crate::fleet::unsent::{Loan, OUT_OF_MEMORY};

/// How the silence of an upstream ended.
pub enum End<D: Dialect> {
    /// It sent events again.
    Continued(Stream<D>, Vec<sse::Event>),
    /// Another upstream resumed the stream.
    Resumed(Resumed<D>),
    /// It ended the stream, which is complete.
    Complete(Stream<D>),
    /// Its connection broke, for this reason, and no other upstream resumed the stream.
    Broken(String),
    /// The connection to the caller ended.
    Closed(Closed),
    /// The deadline of the request passed.
    Deadline,
    /// The body of the request was dropped to free memory before the upstream had read it.
    Aborted,
}

/// A stream whose upstream has sent nothing since a time.
pub struct Silent<'a, D: Dialect> {
    /// The request.
    pub job: &'a Arc<Job<D>>,
    /// Where the response goes.
    pub writer: &'a Writer,
    /// The last event that was relayed, after which another upstream resumes; none if the events have no ids.
    pub last_event: Option<u64>,
    /// When the upstream last sent events.
    pub since: Instant,
    /// Time without an event after which another upstream is asked for, and again if none is granted.
    pub timeout: Duration,
}

impl<D: Dialect> Silent<'_, D> {
    /// Waits until the upstream or another one goes on with the stream, at most until the deadline of the request.
    pub async fn wait(self, mut stream: Stream<D>, history: &mut History) -> End<D> {
        let job = self.job;
        let upstream = &stream.flight.upstream;
        outcome::record_silence(job, upstream, self.since);
        outcome::record_silent(job, upstream, self.elapsed());
        let mut silence = OpenSilence::begin(&job.process.metrics, Phase::Midway);
        stream.count(history);
        let mut poller = stream.poller.take();
        poller.iter_mut().for_each(|poller| poller.restart(self.since));
        let mut end = loop {
            if !race::is_exclusive(job) {
                match self.race(stream, &mut poller, history).await {
                    Raced::End(end) => break end,
                    Raced::Broken(from, why) => break self.resume(history, from, why).await,
                    Raced::NotResumed(open) => stream = open,
                }
            }
            match self.next(&mut stream, &mut poller).await {
                Next::Item(Item::Events(events)) => break End::Continued(stream, events),
                Next::Item(Item::End) => break End::Complete(stream),
                Next::Item(Item::Broken(why)) => break self.replace(stream, history, why).await,
                Next::Crashed(crashed) => {
                    break self.replace_crashed(stream, history, crashed).await;
                }
                Next::End(end) => break *end,
                Next::Nothing => {}
            }
        };
        if let End::Continued(stream, _) = &mut end {
            stream.poller = poller;
            // It is alive, so the suspicion that its silence raised is lowered.
            outcome::record(job, &stream.flight.upstream, suspicion::Outcome::Answered);
        }
        match end {
            End::Continued(..) | End::Complete(_) => silence.end(Silence::Continued),
            End::Resumed(_) => silence.end(Silence::Replaced),
            _ => {}
        }
        end
    }

    fn elapsed(&self) -> Duration {
        self.job.process.now().saturating_duration_since(self.since)
    }

    /// Asks for another upstream while the silent one may still send events.
    async fn race(
        &self,
        stream: Stream<D>,
        poller: &mut Option<Poller>,
        history: &mut History,
    ) -> Raced<D> {
        let job = self.job;
        let from = stream.flight.upstream.clone();
        let why = format!("no event for {} ms", self.elapsed().as_millis());
        let mut open = Some(stream);
        let mut broken = String::new();
        history.open_stream = Some(from.clone());
        let is_open = AtomicBool::new(true);
        let raced = {
            let (last, failed) = (self.last_event, (from.clone(), why));
            let resuming = resume::run(job, history, last, failed, self.writer, &is_open);
            tokio::pin!(resuming);
            loop {
                let loan = open.as_ref().map(|stream| stream.loan.clone());
                tokio::select! {
                    biased;
                    (item, stream) = next_of(&mut open, job) => match item {
                        Item::Events(events) => break Raced::End(End::Continued(stream, events)),
                        Item::End => break Raced::End(End::Complete(stream)),
                        Item::Broken(why) => {
                            stream.fail(job).await;
                            is_open.store(false, Ordering::Release);
                            broken = why;
                        }
                    },
                    () = aborted(loan) => {
                        // The attempt to resume it may have sent the body.
                        open = None;
                        is_open.store(false, Ordering::Release);
                        broken = OUT_OF_MEMORY.to_owned();
                    }
                    crashed = liveness::detect_crash(poller, job), if open.is_some() => {
                        if let Some(stream) = open.take() {
                            let attempt = stream.interrupted();
                            broken = outcome::record_crashed(job, crashed, attempt).await;
                            is_open.store(false, Ordering::Release);
                        }
                    }
                    resumed = &mut resuming => break match (resumed, open.take()) {
                        (Some(resumed), _) => Raced::End(End::Resumed(resumed)),
                        (None, Some(stream)) => Raced::NotResumed(stream),
                        (None, None) => Raced::Broken(from, broken),
                    },
                    closed = self.writer.closed() => break Raced::End(End::Closed(closed)),
                    () = tokio::time::sleep_until(job.deadline.into()) => {
                        break Raced::End(End::Deadline);
                    }
                }
            }
        };
        history.open_stream = None;
        // Attempts to resume that have not ended were cancelled.
        let is_continued = matches!(raced, Raced::End(End::Continued(..) | End::Complete(_)));
        history.cancel_attempts(is_continued);
        raced
    }

    /// Resumes the stream elsewhere after its connection broke.
    async fn replace(&self, stream: Stream<D>, history: &mut History, why: String) -> End<D> {
        resume::after_failure(self.job, stream, history, self.last_event, why.clone(), self.writer)
            .await
            .map_or(End::Broken(why), End::Resumed)
    }

    /// The same after an engine has crashed behind an open connection.
    async fn replace_crashed(
        &self,
        stream: Stream<D>,
        history: &mut History,
        crashed: Crashed,
    ) -> End<D> {
        let from = stream.flight.upstream.clone();
        let why = outcome::record_crashed(self.job, crashed, stream.interrupted()).await;
        drop(stream);
        self.resume(history, from, why).await
    }

    /// Resumes the stream elsewhere after its upstream has failed.
    async fn resume(&self, history: &mut History, from: id::Upstream, why: String) -> End<D> {
        let failed = (from, why.clone());
        let is_open = AtomicBool::new(false);
        resume::run(self.job, history, self.last_event, failed, self.writer, &is_open)
            .await
            .map_or(End::Broken(why), End::Resumed)
    }

    /// Waits for the next item of the stream, for as long as the timeout.
    async fn next(&self, stream: &mut Stream<D>, poller: &mut Option<Poller>) -> Next<D> {
        let job = self.job;
        let loan = stream.loan.clone();
        let until = (job.process.now() + self.timeout).min(job.deadline);
        tokio::select! {
            item = stream.next_item(job) => Next::Item(item),
            crashed = liveness::detect_crash(poller, job) => Next::Crashed(crashed),
            closed = self.writer.closed() => Next::End(Box::new(End::Closed(closed))),
            () = loan.aborted() => Next::End(Box::new(End::Aborted)),
            () = tokio::time::sleep_until(until.into()) => {
                if job.remaining().is_zero() { Next::End(Box::new(End::Deadline)) } else { Next::Nothing }
            }
        }
    }
}

/// What follows on a silence while no other upstream may resume the stream.
enum Next<D: Dialect> {
    Item(Item),
    Crashed(Crashed),
    End(Box<End<D>>),
    /// The upstream is still silent.
    Nothing,
}

/// What ended first: the silence, or the attempt to resume the stream elsewhere.
enum Raced<D: Dialect> {
    End(End<D>),
    /// No upstream may resume the stream now. The silent one is still open.
    NotResumed(Stream<D>),
    /// The connection of this upstream broke, for this reason, and there was no other upstream as long as it was silent. The
    /// retry budget may allow one after a failure.
    Broken(id::Upstream, String),
}

/// The next item of a stream, which is taken with it; waits forever if there is no stream.
async fn next_of<D: Dialect>(open: &mut Option<Stream<D>>, job: &Job<D>) -> (Item, Stream<D>) {
    let Some(stream) = open else { return std::future::pending().await };
    let item = stream.next_item(job).await;
    (item, open.take().expect("it is open"))
}

/// Waits until an attempt is aborted since the body was dropped before its upstream had read it; forever without one.
async fn aborted(loan: Option<Arc<Loan>>) {
    let Some(loan) = loan else { return std::future::pending().await };
    loan.aborted().await;
}
