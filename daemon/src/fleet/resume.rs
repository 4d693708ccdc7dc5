//! Resumes a stream at another upstream, after the last event that was relayed.

use std::sync::Arc;

use foldlock_base::prelude::*;
use foldlock_connection::sse;
use foldlock_request::decision::Decision;
use foldlock_request::dialect::Dialect;
use foldlock_version::routes::Retry;

use crate::fleet::attempt::{self, End};
use crate::fleet::job::Job;
use crate::fleet::queue;
use crate::fleet::reservations;
use crate::fleet::retry::{self, Failure, History};
use crate::fleet::stream::Stream;
use crate::fleet::unread::Writer;

/// A stream at the upstream that resumes it.
pub struct Resumed<D: Dialect> {
    /// The rest of the stream.
    pub stream: Stream<D>,
    /// Its first events, not yet sent to the caller.
    pub first: Vec<sse::Event>,
}

/// Resumes a stream whose connection broke, for the reason `why`, like [`run`].
pub async fn after_failure<D: Dialect>(
    job: &Arc<Job<D>>,
    mut stream: Stream<D>,
    history: &mut History,
    last_event: Option<u64>,
    why: String,
    writer: &Writer,
) -> Option<Resumed<D>> {
    let from = stream.flight.upstream.clone();
    stream.count(history);
    stream.fail(job).await;
    run(job, history, last_event, from, why, writer).await
}

/// Resumes a stream that one upstream has not sent completely, for the reason `why`. Returns none if no other upstream may
/// or can resume it.
pub async fn run<D: Dialect>(
    job: &Arc<Job<D>>,
    history: &mut History,
    last_event: Option<u64>,
    from: id::Upstream,
    why: String,
    writer: &Writer,
) -> Option<Resumed<D>> {
    let last = last_event?;
    history.failure = Some(Failure::new(job, from, why));
    let mut granted = None;
    loop {
        let grant = match granted.take() {
            Some(grant) => grant,
            None => {
                if job.route.retry != Retry::Resume || !retry::may_retry(job, history, false) {
                    return None;
                }
                tokio::select! {
                    grant = queue::wait_for_grant(job, history, true) => grant.ok()?,
                    _ = writer.closed() => return None,
                    () = job.body.dropped() => return None,
                }
            }
        };
        job.process.metrics.resumed_streams.inc();
        let mut from = grant.placement.flight.upstream.clone();
        job.body.begin_attempt();
        history.begin_attempt(from.clone());
        let end = tokio::select! {
            end = attempt::run(job, grant, Some(last), history) => end,
            _ = writer.closed() => return None,
        };
        history.attempt = None;
        let why = match end {
            End::Streaming(started) => {
                job.record(Decision::Resumed { index: last, upstream: from });
                return Some(Resumed { stream: started.stream, first: started.first });
            }
            End::Superseded(grant) => {
                granted = Some(*grant);
                continue;
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
        history.failure = Some(Failure::new(job, from, why));
    }
}
