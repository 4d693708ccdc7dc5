//! Relays streams event by event. After a failure or a long silence they are resumed at another upstream.

use std::sync::Arc;
use std::time::Duration;

use foldlock_base::prelude::*;
use foldlock_connection::sse;
use foldlock_request::dialect::Dialect;
use foldlock_request::evidence::Pace;
use foldlock_version::routes::Retry;
use hyper::Response;
use hyper::header;

use crate::fleet::answer::Body;
use crate::fleet::crash;
use crate::fleet::job::Job;
use crate::fleet::outcome::{self, Stats};
use crate::fleet::progress::{New, Progress};
use crate::fleet::resume::{self, Resumed};
use crate::fleet::retry::History;
use crate::fleet::silence::{End as Next, Silent};
use crate::fleet::stream::{Item, Started, Stream};
use crate::fleet::unread::{Closed, Writer};
use crate::fleet::unsent::OUT_OF_MEMORY;

/// Number of pauses of the route without an event after which another upstream is asked to resume a stream.
const SILENCE_TIMEOUT_PAUSES: u32 = 3;

/// Minimum of that timeout: a pass that shares its engine with a long prefill takes up to half a second.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

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
    Broken(String),
    /// No event was received for the silence timeout.
    Silent,
}

async fn relay_all<D: Dialect>(
    job: Arc<Job<D>>,
    mut stream: Stream<D>,
    first: Vec<sse::Event>,
    mut history: History,
    writer: Writer,
) {
    let mut progress = Progress::after(job.terms.last_event);
    let first_event = job.elapsed();
    let engine = job.process.now().saturating_duration_since(stream.sent);
    job.process.metrics.observe_prediction(stream.predicted_ms, engine);
    let mut events = first;
    loop {
        let end = match pump(&job, &mut stream, events, &mut progress, &writer).await {
            RelayEnd::Complete => Next::Complete(stream),
            RelayEnd::Silent => {
                let silent = Silent {
                    job: &job,
                    writer: &writer,
                    last_event: progress.last_id,
                    since: progress.last_at.unwrap_or(stream.sent),
                    timeout: silence_timeout(&job, &stream),
                };
                silent.wait(stream, &mut history).await
            }
            RelayEnd::Broken(why) => {
                let last = progress.last_id;
                resume::after_failure(&job, stream, &mut history, last, why.clone(), &writer)
                    .await
                    .map_or(Next::Broken(why), Next::Resumed)
            }
            RelayEnd::Closed(closed) => Next::Closed(closed),
            RelayEnd::Deadline => Next::Deadline,
            RelayEnd::Aborted => Next::Aborted,
        };
        (stream, events) = match end {
            Next::Continued(stream, events) => (stream, events),
            Next::Resumed(Resumed { stream, first }) => (stream, first),
            Next::Complete(stream) => {
                writer.end();
                complete(
                    &job,
                    stream,
                    Stats {
                        first_event,
                        engine,
                        events: progress.count,
                        longest_pause: progress.longest_pause,
                    },
                );
                return;
            }
            Next::Broken(why) => return record_failed(&job, Kind::UpstreamFailed, &why),
            Next::Closed(Closed::Disconnected) => {
                return record_failed(&job, Kind::UpstreamFailed, "caller disconnected");
            }
            Next::Closed(Closed::Aborted) => {
                let why = "caller reads too slowly, response aborted to free memory of this VM";
                return record_failed(&job, Kind::UpstreamFailed, why);
            }
            Next::Deadline => {
                let why = "stream exceeded the request deadline";
                return record_failed(&job, Kind::DeadlineExceeded, why);
            }
            Next::Aborted => return record_failed(&job, Kind::UpstreamFailed, OUT_OF_MEMORY),
        };
    }
}

fn complete<D: Dialect>(job: &Arc<Job<D>>, mut stream: Stream<D>, stats: Stats) {
    if let Some(first_event) = stream.take_start() {
        crash::record_begun(job, first_event);
    }
    stream.complete(job);
    outcome::record_completion(job, Some(stats));
}

fn record_failed<D: Dialect>(job: &Job<D>, kind: Kind, why: &str) {
    job.process.metrics.count_error(kind);
    outcome::record_cut(job, kind, why);
}

/// Relays the events of one upstream.
async fn pump<D: Dialect>(
    job: &Arc<Job<D>>,
    stream: &mut Stream<D>,
    first: Vec<sse::Event>,
    progress: &mut Progress,
    writer: &Writer,
) -> RelayEnd {
    let timeout = silence_timeout(job, stream);
    let loan = stream.loan.clone();
    let mut pace = pace(job);
    let mut events = first;
    loop {
        let New { bytes, gap } = progress.new_events(&events);
        let now = job.process.now();
        progress.record_time(now);
        stream.poller.iter().for_each(|poller| poller.record_events(now));
        if let Some(first_event) = stream.take_sound_start(now) {
            crash::record_begun(job, first_event);
        }
        if let Some(sound_until) = pace.as_mut().and_then(|pace| pace.on_events(now)) {
            stream.attempt_guard.record_pace(sound_until);
        }
        if !bytes.is_empty() {
            stream.poller.iter().for_each(|poller| poller.record_caller_awaited(true));
            let pushed = tokio::select! {
                pushed = tokio::time::timeout_at(job.deadline.into(), writer.push(bytes)) => pushed,
                () = loan.aborted() => return RelayEnd::Aborted,
            };
            stream.poller.iter().for_each(|poller| poller.record_caller_awaited(false));
            match pushed {
                Ok(Ok(aborted)) => outcome::record_aborted(&job.process, aborted),
                Ok(Err(closed)) => return RelayEnd::Closed(closed),
                Err(_) => return RelayEnd::Deadline,
            }
        }
        if let Some(gap) = gap {
            return RelayEnd::Broken(gap.to_string());
        }
        let last_received = job.process.now();
        let until = (last_received + timeout).min(job.deadline);
        let next = tokio::select! {
            next = tokio::time::timeout_at(until.into(), stream.next_item(job)) => next,
            closed = writer.closed() => return RelayEnd::Closed(closed),
            () = loan.aborted() => return RelayEnd::Aborted,
        };
        events = match next {
            Ok(Item::Events(events)) => events,
            Ok(Item::End) => return RelayEnd::Complete,
            Ok(Item::Broken(why)) => return RelayEnd::Broken(why),
            Err(_) if job.remaining().is_zero() => return RelayEnd::Deadline,
            Err(_) => return RelayEnd::Silent,
        };
    }
}

/// The pace of the engine as evidence for the scheduler, if the policy in force when the engine starts to respond asks
/// for reports by evidence.
fn pace<D: Dialect>(job: &Job<D>) -> Option<Pace> {
    let is_forecast = job.process.is_forecast();
    job.service.engine.as_ref().filter(|_| is_forecast).and_then(Pace::new)
}

/// Time without an event after which another upstream is asked to resume the stream.
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
