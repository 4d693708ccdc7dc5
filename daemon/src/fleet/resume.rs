//! Resumes a stream at another upstream, after the last event that was relayed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use foldlock_base::prelude::*;
use foldlock_connection::sse;
use foldlock_request::decision::Decision;
use foldlock_request::dialect::Dialect;
use foldlock_version::routes::Retry;

use crate::fleet::attempt::End;
use crate::fleet::job::Job;
use crate::fleet::queue;
use crate::fleet::race::{self, Ended, Race};
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
    let is_open = AtomicBool::new(false);
    run(job, history, last_event, (from, why), writer, &is_open).await
}

/// Resumes a stream that one upstream has not sent completely, for the reason `why`. Returns none if no other upstream may
/// or can resume it. While the stream `is_open` at that upstream, a request that may run at one upstream only is not sent to
/// another.
pub async fn run<D: Dialect>(
    job: &Arc<Job<D>>,
    history: &mut History,
    last_event: Option<u64>,
    (from, why): (id::Upstream, String),
    writer: &Writer,
    is_open: &AtomicBool,
) -> Option<Resumed<D>> {
    let last = last_event?;
    history.failure = Some(Failure::new(job, from, why));
    let race = Race { job, last_event, is_resuming: true };
    loop {
        if job.route.retry != Retry::Resume || !retry::may_retry(job, history, false) {
            return None;
        }
        let grant = tokio::select! {
            grant = queue::wait_for_grant(job, history, true) => grant.ok()?,
            _ = writer.closed() => return None,
            () = job.body.dropped() => return None,
        };
        if is_open.load(Ordering::Acquire) && race::is_exclusive(job) {
            return None;
        }
        let Ended { upstream, end, .. } = tokio::select! {
            ended = race.run(grant, history) => ended,
            _ = writer.closed() => return None,
        };
        match end {
            End::Streaming(started) => {
                job.record(Decision::Resumed { index: last, upstream });
                return Some(Resumed { stream: started.stream, first: started.first });
            }
            End::Deadline | End::Aborted { .. } => return None,
            end => history.failure = Some(race::count_failure(job, history, upstream, end)),
        }
    }
}
