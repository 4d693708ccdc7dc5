//! Detects whether an upstream crashed during a request, and quarantines requests that caused crashes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_connection::channel::Channel;
use foldlock_request::decision::Decision;
use foldlock_request::dialect::Dialect;
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::flight::Flight;
use foldlock_request::quarantine::{Crash, Status};
use foldlock_request::quarantine_entry;
use foldlock_request::reachability::Verdict;
use foldlock_request::suspicion::{Failure as Cause, Outcome};
use foldlock_request::tag::Tag;

use crate::fleet::announce;
use crate::fleet::crash_sync;
use crate::fleet::dial;
use crate::fleet::job::Job;
use crate::fleet::write_queue::Write;

/// How long the connection of a successful check is kept for another request.
const PROBE_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a connection to an upstream has to stay open to show that the upstream runs. The system closes the
/// connections of a killed process before its listener, and resets what the listener has accepted meanwhile; a busy machine may
/// take some milliseconds for that.
const TEARDOWN_TIME: Duration = Duration::from_millis(100);

/// What broke the connection of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The upstream, whether it crashed or not.
    Upstream,
    /// The path of this VM.
    Path,
}

/// Time after its first event for which a response may still be the one that crashed its upstream: the event can be on
/// its way when the crash begins.
pub const MIN_DECODING: Duration = Duration::from_millis(200);

/// An attempt whose connection broke.
#[derive(Debug, Clone, Copy)]
pub struct Interrupted<'a> {
    /// The attempt.
    pub flight: &'a Flight,
    /// The incarnation of the upstream that the request was sent to.
    pub incarnation: Tag,
    /// When the request was sent.
    pub sent: Instant,
    /// When the first event of the response was received; none if none was.
    pub first_event: Option<Instant>,
}

impl Interrupted<'_> {
    /// Whether the response had begun, so that the request did not cause a crash at this time.
    fn had_begun(&self, at: Instant) -> bool {
        self.first_event.is_some_and(|first| at.saturating_duration_since(first) >= MIN_DECODING)
    }
}

/// Checks, after the connection of an attempt broke, whether its upstream crashed, and records the crash for the
/// request. The attempt must still be in the cluster state, so that no second copy of an isolated request is placed
/// before the result is known.
pub async fn detect<D: Dialect>(job: &Job<D>, attempt: Interrupted<'_>) -> Finding {
    let at = job.process.now();
    match state(job, attempt).await {
        State::Crashed => record(job, attempt, at),
        State::Unknown => return Finding::Path,
        State::Running(channel) => keep(job, attempt, channel),
        State::Leaving | State::Unreachable => {}
    }
    Finding::Upstream
}

/// Whether the upstream of an attempt at `address` no longer runs, so that what it sent until its connection ended may be a
/// part. An upstream that leaves ends its responses before it ends itself, but may be gone sooner.
pub async fn has_ended<D: Dialect>(job: &Job<D>, attempt: Interrupted<'_>, address: &str) -> bool {
    let channel = match state(job, attempt).await {
        State::Crashed => return true,
        State::Unreachable | State::Unknown => return false,
        State::Running(channel) => channel,
        State::Leaving => {
            match dial::connect(&job.process, &attempt.flight.upstream, address).await {
                Ok(channel) => channel,
                Err(failure) => return failure.verdict == Verdict::Refused,
            }
        }
    };
    tokio::time::sleep(TEARDOWN_TIME).await;
    let has_ended = channel.is_closed();
    keep(job, attempt, channel);
    has_ended
}

/// Keeps the connection of a check for another request.
fn keep<D: Dialect>(job: &Job<D>, attempt: Interrupted<'_>, channel: Channel) {
    job.process.pool.put(&attempt.flight.upstream, channel, PROBE_IDLE_TIMEOUT, job.process.now());
}

/// The state of an upstream after a connection to it ended.
enum State {
    Crashed,
    /// It accepts connections.
    Running(Channel),
    /// It is leaving or no longer listed, and exits without a crash.
    Leaving,
    /// It does not respond: it may be partitioned, which no request causes.
    Unreachable,
    /// The path of this VM has failed.
    Unknown,
}

/// A crashed process has a closed port, which refuses connections, or has restarted already.
async fn state<D: Dialect>(job: &Job<D>, attempt: Interrupted<'_>) -> State {
    let upstream = &attempt.flight.upstream;
    let entry = {
        let cluster = job.process.cluster.lock().unwrap();
        let entry = cluster.get(upstream).filter(|u| u.is_open() && u.unlisted.is_none());
        entry.map(|entry| (entry.listed.address.clone(), entry.tag))
    };
    let Some((address, tag)) = entry else { return State::Leaving };
    if tag != attempt.incarnation {
        return State::Crashed;
    }
    match dial::connect(&job.process, upstream, &address).await {
        Err(dial::Failure { verdict: Verdict::Refused, .. }) => State::Crashed,
        Err(dial::Failure { verdict: Verdict::Unreachable, .. }) => State::Unreachable,
        Err(dial::Failure { verdict: Verdict::Unknown, .. }) => State::Unknown,
        Ok(channel) if channel.via().is_some() => State::Unknown,
        Ok(channel) => State::Running(channel),
    }
}

/// Records a crash, which broke the connection of an attempt `at` this time.
fn record<D: Dialect>(job: &Job<D>, attempt: Interrupted<'_>, at: Instant) {
    let now = job.process.now();
    let Interrupted { flight, incarnation, .. } = attempt;
    let begun = attempt.had_begun(at);
    let upstream = flight.upstream.clone();
    // A probe of a part runs isolated under the key of the part, which is cleared once it has begun.
    let suspect = flight.isolated.filter(|_| !begun).unwrap_or(job.fingerprint);
    let isolated = flight.isolated == Some(suspect);
    let crash = Crash { upstream: incarnation, isolated };
    let mut cluster = job.process.cluster.lock().unwrap();
    if cluster.tag_of(&upstream) == incarnation {
        cluster.record_outcome(&upstream, Outcome::Failed(Cause::Unresponsive), now);
    }
    let status = cluster.quarantine.record_crash(suspect, crash, now);
    let crashes = cluster.quarantine.crash_count(suspect) as u32;
    drop(cluster);
    if !begun {
        crash_sync::record(job, incarnation, attempt.sent);
    }
    announce::to_scheduler(&job.process);
    job.process.close_idle(&upstream);
    job.process.metrics.crashes.inc();
    job.record(Decision::Crashed { upstream, crashes, isolated, begun });
    if let Some(status) = status {
        quarantine(job, suspect, status);
    }
    job.process.announce.notify_one();
    job.process.cluster_changed.notify_one();
}

/// Quarantines the request. The entry in the directory reaches all VMs, also those that start later.
fn quarantine<D: Dialect>(job: &Job<D>, suspect: Fingerprint, status: Status) {
    let Status { solo_crashes, remaining, crashes } = status;
    let quarantine_ms = remaining.as_millis() as u64;
    job.process.metrics.quarantined.inc();
    job.record(Decision::Quarantined { quarantine_ms, solo_crashes });
    let service = Tag::of(&job.service.name);
    let part = job.terms.parts.iter().copied().find(|part| part.fingerprint(service) == suspect);
    job.process.quarantine_changed.notify_waiters();
    job.process.directory_writes.push(Write::Quarantine(quarantine_entry::Entry {
        fingerprint: suspect,
        organisation: job.organisation.as_ref().map_or_else(String::new, |o| o.name.clone()),
        path: job.head.uri.path().to_owned(),
        service: job.service.name.clone(),
        request: job.id.clone(),
        vm: job.process.member.vm.clone(),
        ended: crashes as u32,
        proofs: solo_crashes,
        until_ms: job.process.clock.wall_millis() + quarantine_ms,
        part,
    }));
}

/// Records that the response began at a time and did not crash its upstream, so neither did the parts of its prompt.
pub fn record_begun<D: Dialect>(job: &Job<D>, at: Instant) {
    if job.terms.parts.is_empty() {
        return;
    }
    let service = Tag::of(&job.service.name);
    let mut cluster = job.process.cluster.lock().unwrap();
    let clears = cluster.crash_log.record_begun(service, &job.terms.parts, at);
    let is_suspected = !cluster.quarantine.is_empty();
    drop(cluster);
    if clears {
        job.process.crash_logged.notify_one();
    }
    if is_suspected {
        job.terms.parts.iter().for_each(|part| clear(job, part.fingerprint(service)));
    }
}

/// Records that the request completed, so it did not cause the crashes during it: clears them and releases its
/// quarantine.
pub fn record_completion<D: Dialect>(job: &Arc<Job<D>>) {
    clear(job, job.fingerprint);
}

fn clear<D: Dialect>(job: &Job<D>, fingerprint: Fingerprint) {
    let mut cluster = job.process.cluster.lock().unwrap();
    if !cluster.quarantine.record_completion(fingerprint, job.process.now()) {
        return;
    }
    let listed = cluster.quarantined().any(|entry| entry.fingerprint == fingerprint);
    drop(cluster);
    job.record(Decision::Cleared);
    if listed {
        job.process.directory_writes.push(Write::Release(fingerprint));
    }
    job.process.announce.notify_one();
    job.process.cluster_changed.notify_one();
}
