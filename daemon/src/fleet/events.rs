//! Streams, passed on event by event, and gone on with at another upstream where one breaks off.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use foldlock_base::prelude::*;
use foldlock_connection::sse::Event as Part;
use foldlock_request::decision::Decision;
use foldlock_request::dialect::Dialect;
use foldlock_version::routes::Retry;
use hyper::Response;
use hyper::header;

use crate::fleet::answer::Body;
use crate::fleet::attempt::{self, End};
use crate::fleet::gate;
use crate::fleet::hold::ReservationLost;
use crate::fleet::job::Job;
use crate::fleet::outcome::{self, Streamed};
use crate::fleet::source::{Begun, Next, Source};
use crate::fleet::tries::{self, Failure, Tries};
use crate::fleet::unread::{Closed, Writer};

/// How many of the route's pauses an upstream may be silent before its stream goes on elsewhere.
const SILENT_PAUSES: u32 = 3;

/// The least such silence: a pass with a long read beside takes up to half a second.
const LEAST_SILENCE: Duration = Duration::from_millis(1_000);

/// The events that were passed on.
#[derive(Debug, Default)]
struct Passed {
    last: Option<u64>,
    count: u64,
    at: Option<Instant>,
    pause: Duration,
}

/// An event is not the one that comes next.
#[derive(Debug)]
struct Gap {
    expected: u64,
    got: u64,
}

impl Passed {
    /// Notes the time at which events came.
    fn note(&mut self, now: Instant) {
        if let Some(at) = self.at.replace(now) {
            self.pause = self.pause.max(now.saturating_duration_since(at));
        }
    }

    /// The bytes that are new to the caller.
    fn take(&mut self, parts: &[Part]) -> Result<Bytes, Gap> {
        let mut fresh = BytesMut::new();
        for part in parts {
            if let (Some(last), Some(id)) = (self.last, part.id) {
                if id <= last {
                    continue;
                }
                if id > last + 1 {
                    return Err(Gap { expected: last + 1, got: id });
                }
            }
            self.last = part.id.or(self.last);
            self.count += 1;
            fresh.extend_from_slice(&part.bytes);
        }
        Ok(fresh.freeze())
    }
}

/// Answers with a stream that has begun, and passes on the rest of it.
pub fn relay<D: Dialect>(job: Arc<Job<D>>, begun: Begun<D>, tries: Tries) -> Response<Body> {
    let Begun { mut head, first, source } = begun;
    head.headers.remove(header::CONTENT_LENGTH);
    let (sink, unread) = job.process.unread.begin(&job.id);
    let tracker = job.process.tasks.clone();
    tracker.spawn(pass_on(job, source, first, tries, sink));
    Response::from_parts(head, Body::Unread(unread))
}

/// How a part of a stream, that of one upstream, ended.
enum Ended {
    Whole,
    Closed(Closed),
    Deadline,
    Broken { why: String, silent: bool },
}

async fn pass_on<D: Dialect>(
    job: Arc<Job<D>>,
    mut source: Source<D>,
    first: Vec<Part>,
    mut tries: Tries,
    sink: Writer,
) {
    let mut passed = Passed { last: job.terms.last_event, ..Passed::default() };
    let first_token = job.held();
    let engine = job.process.now().saturating_duration_since(source.sent);
    job.process.metrics.predicted(source.predicted_ms, engine);
    let mut parts = first;
    loop {
        let ended = pump(&job, &mut source, parts, &mut passed, &sink).await;
        let upstream = source.flight.upstream.clone();
        let (why, silent) = match ended {
            Ended::Whole => {
                sink.end();
                source.finish(&job);
                let (events, pause) = (passed.count, passed.pause);
                let streamed = Streamed { first: first_token, engine, events, pause };
                outcome::finished(&job, Some(streamed));
                return;
            }
            Ended::Closed(Closed::Gone) => {
                failed(&job, Kind::UpstreamFailed, "the caller went away".to_owned());
                return;
            }
            Ended::Closed(Closed::GivenUp) => {
                let why = "the caller reads too slowly for the memory of this VM";
                failed(&job, Kind::UpstreamFailed, why.to_owned());
                return;
            }
            Ended::Deadline => {
                failed(&job, Kind::DeadlineExceeded, "the stream outlasted its time".to_owned());
                return;
            }
            Ended::Broken { why, silent } => (why, silent),
        };
        source.broke(&job, silent).await;
        tries.ran += 1;
        tries.avoid.push(upstream.clone());
        let resumed = resume(&job, &mut tries, &passed, upstream, &why, &sink).await;
        let Some((next, events)) = resumed else {
            failed(&job, Kind::UpstreamFailed, why);
            return;
        };
        (source, parts) = (next, events);
    }
}

fn failed<D: Dialect>(job: &Job<D>, kind: Kind, why: String) {
    job.process.metrics.error(kind);
    job.record(Decision::Failed { kind, ran: Ran::Yes, why });
}

/// Passes on the events of one upstream.
async fn pump<D: Dialect>(
    job: &Job<D>,
    source: &mut Source<D>,
    first: Vec<Part>,
    passed: &mut Passed,
    sink: &Writer,
) -> Ended {
    let silence = silence(job, source);
    let mut parts = first;
    loop {
        let bytes = match passed.take(&parts) {
            Ok(bytes) => bytes,
            Err(Gap { expected, got }) => {
                let why = format!("event {got} came in place of {expected}");
                return Ended::Broken { why, silent: false };
            }
        };
        passed.note(job.process.now());
        if !bytes.is_empty() {
            match tokio::time::timeout_at(job.deadline.into(), sink.push(bytes)).await {
                Ok(Ok(given_up)) => outcome::given_up(&job.process, given_up),
                Ok(Err(closed)) => return Ended::Closed(closed),
                Err(_) => return Ended::Deadline,
            }
        }
        let heard = job.process.now();
        let until = (heard + silence).min(job.deadline);
        let next = tokio::select! {
            next = tokio::time::timeout_at(until.into(), source.next()) => next,
            closed = sink.closed() => return Ended::Closed(closed),
        };
        parts = match next {
            Ok(Next::Parts(parts)) => parts,
            Ok(Next::End) => return Ended::Whole,
            Ok(Next::Broken(why)) => return Ended::Broken { why, silent: false },
            Err(_) if job.left().is_zero() => return Ended::Deadline,
            Err(_) => return silent(job, heard),
        };
    }
}

fn silent<D: Dialect>(job: &Job<D>, heard: Instant) -> Ended {
    let ms = job.process.now().saturating_duration_since(heard).as_millis();
    Ended::Broken { why: format!("silent for {ms} ms"), silent: true }
}

/// How long an upstream may be silent within a stream.
fn silence<D: Dialect>(job: &Job<D>, source: &Source<D>) -> Duration {
    let silence = match (job.pause(), job.route.retry) {
        (Some(pause), Retry::Resume) => (pause * SILENT_PAUSES).max(LEAST_SILENCE),
        _ => job.left(),
    };
    if source.hold.is_empty() {
        silence
    } else {
        silence.min(job.process.config.fleet.held_silence())
    }
}

/// Goes on at another upstream after the last event that was passed on.
async fn resume<D: Dialect>(
    job: &Arc<Job<D>>,
    tries: &mut Tries,
    passed: &Passed,
    mut from: id::Upstream,
    why: &str,
    sink: &Writer,
) -> Option<(Source<D>, Vec<Part>)> {
    let mut why = why.to_owned();
    let last = passed.last?;
    loop {
        if job.route.retry != Retry::Resume || !tries::may_repeat(job, tries, false) {
            return None;
        }
        tries.failure = Some(Failure { upstream: from, why });
        let grant = tokio::select! {
            grant = gate::place(job, tries, true) => grant.ok()?,
            _ = sink.closed() => return None,
        };
        job.process.metrics.resumed.inc();
        from = grant.placement.flight.upstream.clone();
        let end = tokio::select! {
            end = attempt::run(job, grant, Some(last), tries) => end,
            _ = sink.closed() => return None,
        };
        why = match end {
            End::Events(begun) => {
                job.record(Decision::Resumed { index: last, upstream: from });
                return Some((begun.source, begun.first));
            }
            End::Deadline => return None,
            End::Unsent(why) => {
                tries.unsent += 1;
                why
            }
            End::NoMemory(ReservationLost { upstream, fault }) => {
                tries.unsent += 1;
                from = upstream;
                fault.to_string()
            }
            End::NotRun { why, at_fault } => {
                tries.refused += 1;
                from = at_fault;
                why
            }
            End::Own(answer) => {
                tries.ran += 1;
                format!("it answered {}", answer.status())
            }
            End::Whole(answer) => {
                tries.ran += 1;
                format!("it answered {}", answer.status())
            }
            End::Broken(why) => {
                tries.ran += 1;
                why
            }
        };
        tries.avoid.push(from.clone());
    }
}
