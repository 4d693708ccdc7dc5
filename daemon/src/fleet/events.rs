//! Relays streams event by event, and resumes them at another upstream after a failure.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use foldlock_base::prelude::*;
use foldlock_connection::sse;
use foldlock_request::decision::Decision;
use foldlock_request::dialect::Dialect;
use foldlock_request::evidence::Pace;
use foldlock_version::routes::Retry;
use hyper::Response;
use hyper::header;

use crate::fleet::answer::Body;
use crate::fleet::attempt::{self, End};
use crate::fleet::crash;
use crate::fleet::job::Job;
use crate::fleet::outcome::{self, Stats};
use crate::fleet::queue;
use crate::fleet::reservations;
use crate::fleet::retry::{self, Failure, History};
use crate::fleet::stream::{Item, Started, Stream};
use crate::fleet::unread::{Closed, Writer};
use crate::fleet::unsent::OUT_OF_MEMORY;

/// Number of pauses of the route without an event after which a stream is resumed at another upstream.
const SILENCE_TIMEOUT_PAUSES: u32 = 3;

/// Minimum of that timeout: a pass that shares its engine with a long prefill takes up to half a second.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The events relayed so far.
#[derive(Debug, Default)]
struct Progress {
    last_id: Option<u64>,
    count: u64,
    last_at: Option<Instant>,
    longest_pause: Duration,
}

/// An event is missing.
#[derive(Debug)]
struct Gap {
    expected: u64,
    got: u64,
}

impl Progress {
    /// Records the time at which events were received.
    fn record_time(&mut self, now: Instant) {
        if let Some(at) = self.last_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now.saturating_duration_since(at));
        }
    }

    /// Returns the bytes of events that the caller does not have yet.
    fn new_bytes(&mut self, events: &[sse::Event]) -> Result<Bytes, Gap> {
        let mut new = BytesMut::new();
        for event in events {
            if let (Some(last), Some(id)) = (self.last_id, event.id) {
                if id <= last {
                    continue;
                }
                if id > last + 1 {
                    return Err(Gap { expected: last + 1, got: id });
                }
            }
            self.last_id = event.id.or(self.last_id);
            self.count += u64::from(!event.is_blank());
            new.extend_from_slice(&event.bytes);
        }
        Ok(new.freeze())
    }
}

/// Responds with a stream that has started, and relays the rest of it in a task.
pub fn relay<D: Dialect>(
    job: Arc<Job<D>>,
    started: Started<D>,
    history: History,
) -> Response<Body> {
    let Started { mut head, first, stream } = started;
    head.headers.remove(header::CONTENT_LENGTH);
    let (writer, reader) = job.process.unread.open(&job.id);
    let tracker = job.process.tasks.clone();
    tracker.spawn(relay_all(job, stream, first, history, writer));
    Response::from_parts(head, Body::Buffered(reader))
}

/// How the part of a stream that one upstream sent ended.
enum RelayEnd {
    Complete,
    Closed(Closed),
    Deadline,
    /// The request's body was dropped to free memory before the upstream had read it.
    Aborted,
    Broken {
        why: String,
        unresponsive: bool,
    },
}

async fn relay_all<D: Dialect>(
    job: Arc<Job<D>>,
    mut stream: Stream<D>,
    first: Vec<sse::Event>,
    mut history: History,
    writer: Writer,
) {
    let mut progress = Progress { last_id: job.terms.last_event, ..Progress::default() };
    let first_event = job.elapsed();
    let engine = job.process.now().saturating_duration_since(stream.sent);
    job.process.metrics.observe_prediction(stream.predicted_ms, engine);
    let mut events = first;
    loop {
        let end = pump(&job, &mut stream, events, &mut progress, &writer).await;
        let upstream = stream.flight.upstream.clone();
        let (why, unresponsive) = match end {
            RelayEnd::Complete => {
                writer.end();
                if let Some(first_event) = stream.take_start() {
                    crash::record_begun(&job, first_event);
                }
                stream.complete(&job);
                let stats = Stats {
                    first_event,
                    engine,
                    events: progress.count,
                    longest_pause: progress.longest_pause,
                };
                outcome::record_completion(&job, Some(stats));
                return;
            }
            RelayEnd::Closed(Closed::Disconnected) => {
                record_failed(&job, Kind::UpstreamFailed, "caller disconnected".to_owned());
                return;
            }
            RelayEnd::Closed(Closed::Aborted) => {
                let why = "caller reads too slowly, response aborted to free memory of this VM";
                record_failed(&job, Kind::UpstreamFailed, why.to_owned());
                return;
            }
            RelayEnd::Deadline => {
                record_failed(
                    &job,
                    Kind::DeadlineExceeded,
                    "stream exceeded the request deadline".to_owned(),
                );
                return;
            }
            RelayEnd::Aborted => {
                record_failed(&job, Kind::UpstreamFailed, OUT_OF_MEMORY.to_owned());
                return;
            }
            RelayEnd::Broken { why, unresponsive } => (why, unresponsive),
        };
        let silent_since = progress.last_at.filter(|_| unresponsive);
        stream.fail(&job, silent_since).await;
        history.ran += 1;
        history.excluded.push(upstream.clone());
        let resumed = resume(&job, &mut history, &progress, upstream, &why, &writer).await;
        let Some((next, first)) = resumed else {
            record_failed(&job, Kind::UpstreamFailed, why);
            return;
        };
        (stream, events) = (next, first);
    }
}

fn record_failed<D: Dialect>(job: &Job<D>, kind: Kind, why: String) {
    job.process.metrics.count_error(kind);
    job.record(Decision::Failed { kind, ran: Ran::Yes, why });
}

/// Relays the events of one upstream.
async fn pump<D: Dialect>(
    job: &Job<D>,
    stream: &mut Stream<D>,
    first: Vec<sse::Event>,
    progress: &mut Progress,
    writer: &Writer,
) -> RelayEnd {
    let timeout = silence_timeout(job, stream);
    let mut pace = pace(job);
    let mut events = first;
    loop {
        let bytes = match progress.new_bytes(&events) {
            Ok(bytes) => bytes,
            Err(Gap { expected, got }) => {
                let why = format!("received event {got}, expected {expected}");
                return RelayEnd::Broken { why, unresponsive: false };
            }
        };
        let now = job.process.now();
        progress.record_time(now);
        if let Some(first_event) = stream.take_sound_start(now) {
            crash::record_begun(job, first_event);
        }
        if let Some(sound_until) = pace.as_mut().and_then(|pace| pace.on_events(now)) {
            stream.attempt_guard.record_pace(sound_until);
        }
        if !bytes.is_empty() {
            let pushed = tokio::select! {
                pushed = tokio::time::timeout_at(job.deadline.into(), writer.push(bytes)) => pushed,
                () = job.body.aborted() => return RelayEnd::Aborted,
            };
            match pushed {
                Ok(Ok(aborted)) => outcome::record_aborted(&job.process, aborted),
                Ok(Err(closed)) => return RelayEnd::Closed(closed),
                Err(_) => return RelayEnd::Deadline,
            }
        }
        let last_received = job.process.now();
        let until = (last_received + timeout).min(job.deadline);
        let next = tokio::select! {
            next = tokio::time::timeout_at(until.into(), stream.next_item(job)) => next,
            closed = writer.closed() => return RelayEnd::Closed(closed),
            () = job.body.aborted() => return RelayEnd::Aborted,
        };
        events = match next {
            Ok(Item::Events(events)) => events,
            Ok(Item::End) => return RelayEnd::Complete,
            Ok(Item::Broken(why)) => return RelayEnd::Broken { why, unresponsive: false },
            Err(_) if job.remaining().is_zero() => return RelayEnd::Deadline,
            Err(_) => return timed_out(job, last_received),
        };
    }
}

/// The pace of the engine as evidence for the scheduler, if the policy in force when the engine starts to respond asks
/// for reports by evidence.
fn pace<D: Dialect>(job: &Job<D>) -> Option<Pace> {
    let is_forecast = job.process.is_forecast();
    job.service.engine.as_ref().filter(|_| is_forecast).and_then(Pace::new)
}

fn timed_out<D: Dialect>(job: &Job<D>, last_received: Instant) -> RelayEnd {
    let ms = job.process.now().saturating_duration_since(last_received).as_millis();
    RelayEnd::Broken { why: format!("no event for {ms} ms"), unresponsive: true }
}

/// Time without an event after which the upstream of a stream counts as unresponsive.
fn silence_timeout<D: Dialect>(job: &Job<D>, stream: &Stream<D>) -> Duration {
    let timeout = match (job.pause(), job.route.retry) {
        (Some(pause), Retry::Resume) => (pause * SILENCE_TIMEOUT_PAUSES).max(MIN_SILENCE_TIMEOUT),
        _ => job.remaining(),
    };
    if stream.reservations.is_empty() {
        timeout
    } else {
        timeout.min(job.process.config.fleet.reserved_silence_timeout())
    }
}

/// Resumes the stream at another upstream after the last relayed event. Returns none if it cannot be resumed.
async fn resume<D: Dialect>(
    job: &Arc<Job<D>>,
    history: &mut History,
    progress: &Progress,
    mut from: id::Upstream,
    why: &str,
    writer: &Writer,
) -> Option<(Stream<D>, Vec<sse::Event>)> {
    let mut why = why.to_owned();
    let last = progress.last_id?;
    loop {
        if job.route.retry != Retry::Resume || !retry::may_retry(job, history, false) {
            return None;
        }
        history.failure = Some(Failure { upstream: from, why });
        job.body.begin_attempt();
        let grant = tokio::select! {
            grant = queue::wait_for_grant(job, history, true) => grant.ok()?,
            _ = writer.closed() => return None,
            () = job.body.dropped() => return None,
        };
        job.process.metrics.resumed_streams.inc();
        from = grant.placement.flight.upstream.clone();
        let end = tokio::select! {
            end = attempt::run(job, grant, Some(last), history) => end,
            _ = writer.closed() => return None,
        };
        why = match end {
            End::Streaming(started) => {
                job.record(Decision::Resumed { index: last, upstream: from });
                return Some((started.stream, started.first));
            }
            End::Deadline | End::Aborted { .. } => return None,
            End::Unsent(why) => {
                history.unsent += 1;
                why
            }
            End::ReservationFailed(reservations::Failure { upstream, cause }) => {
                history.unsent += 1;
                from = upstream;
                cause.to_string()
            }
            End::NotRun { why, at_fault } => {
                history.refused += 1;
                from = at_fault;
                why
            }
            End::ServerError(answer) => {
                history.ran += 1;
                format!("responded with status {}", answer.status())
            }
            End::Complete(answer) => {
                history.ran += 1;
                format!("responded with status {}", answer.status())
            }
            End::Broken(why) => {
                history.ran += 1;
                why
            }
        };
        history.excluded.push(from.clone());
    }
}
