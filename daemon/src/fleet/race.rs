//! The open attempts of a request, of which the first that responds is used.
//!
//! Load patterns: engines are silent for a second or so while they read long prompts or run out of memory, many of their
//! requests at once; an upstream that is asked instead may be silent as well, refuse, fail or crash. Silence is a suspicion only,
//! so a silent attempt stays open until another one has responded: with the first events of a stream, or a whole response. The
//! others are cancelled then. A failure ends only its own attempt.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_base::clock::from_millis;
use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::placement::Placement;
use foldlock_request::quarantine::Verdict;
use foldlock_request::suspicion::Failure as Cause;
use foldlock_request::tag::Tag;
use foldlock_version::routes::Delivery;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::Response;

use crate::fleet::answer::Body;
use crate::fleet::attempt::{self, Connection, End};
use crate::fleet::grant_requests::Grant;
use crate::fleet::job::Job;
use crate::fleet::metrics::Phase;
use crate::fleet::outcome::{self, record_failure};
use crate::fleet::queue;
use crate::fleet::retry::{self, Failure, History};
use crate::fleet::unsent::OUT_OF_MEMORY;

/// Share of the objective after which another upstream is requested for a complete response.
const COMPLETE_TIMEOUT_SHARE: f64 = 0.6;

/// Added to the timeout of the first event of a stream that may be sent to another upstream,
/// milliseconds.
const FIRST_EVENT_SLACK_MS: f64 = 400.0;

/// Timeout of a first event as a ratio of its predicted time.
const FIRST_EVENT_TIMEOUT_RATIO: f64 = 2.5;

/// Minimum timeout of a first event, in objectives of its route. Beyond one objective the response is
/// late anyway, and with a shorter timeout several engines would repeat the prefill of a long prompt.
const MIN_FIRST_EVENT_OBJECTIVES: f64 = 2.0;

/// The attempts of a request from a grant to a response.
pub struct Race<'a, D: Dialect> {
    /// The request.
    pub job: &'a Arc<Job<D>>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// Whether events of the response have been delivered.
    pub is_resuming: bool,
}

/// The attempt that responded, or the last one that failed. No other is open.
pub struct Ended<D: Dialect> {
    /// Its upstream.
    pub upstream: id::Upstream,
    /// How it ended.
    pub end: End<D>,
    /// Whether an attempt that ended before it may have run.
    pub others_may_have_run: bool,
}

/// The result of a request for another placement.
enum Asked<D: Dialect> {
    Granted(Grant),
    Rejected,
    /// The attempt with this number responded meanwhile.
    Responded(u64, End<D>),
    Deadline,
}

/// When another placement is requested.
struct Schedule {
    due: Instant,
    /// Time without activity of the upstreams after which one that sends a whole response counts as silent.
    timeout: Duration,
    /// Time after which it is requested again if none is granted; doubles each time.
    pause: Duration,
}

impl Schedule {
    /// The schedule after an attempt began with this timeout.
    fn begin(&mut self, now: Instant, timeout: Duration) {
        self.due = now + timeout;
        self.timeout = timeout;
    }

    fn postpone(&mut self, now: Instant) {
        self.due = now + self.pause;
        self.pause *= 2;
    }
}

impl<'a, D: Dialect> Race<'a, D> {
    /// Sends the request to its placement, and to others while the upstreams are silent, until one has responded or all have
    /// failed.
    pub async fn run(&self, grant: Grant, history: &mut History) -> Ended<D> {
        let job = self.job;
        let now = || job.process.now();
        let timeout = self.response_timeout(&grant.placement, history);
        let mut schedule = Schedule { due: now() + timeout, timeout, pause: timeout };
        let mut open = FuturesUnordered::new();
        open.push(self.begin(grant, history));
        let mut others_may_have_run = false;
        loop {
            let ended = tokio::select! {
                // A response that is complete by now is delivered, whatever else happened at the same moment.
                biased;
                Some(ended) = open.next() => Some(ended),
                () = tokio::time::sleep_until(schedule.due.min(job.deadline).into()) => None,
            };
            match ended {
                Some((number, end)) if open.is_empty() || self.is_response(&end) => {
                    return self.finish(number, end, others_may_have_run, history);
                }
                Some((number, end)) => {
                    others_may_have_run |= end.may_have_run();
                    let failure = self.count_failure(number, end, history);
                    if !history.are_all_silent() {
                        // The request is being retried already.
                        continue;
                    }
                    history.failure = Some(failure);
                }
                None if job.remaining().is_zero() => return self.on_deadline(history),
                None => {
                    let rest = schedule.timeout.saturating_sub(self.shortest_silence(history));
                    if !rest.is_zero() {
                        schedule.due = now() + rest;
                        continue;
                    }
                    self.record_silence(history);
                }
            }
            if is_exclusive(job) || !retry::may_retry(job, history, false) {
                schedule.postpone(now());
                continue;
            }
            let mut failed = Vec::new();
            let asked = self.ask(history, &mut open, &mut failed).await;
            let is_failed = matches!(asked, Asked::Rejected | Asked::Deadline) && open.is_empty();
            let last = if is_failed { failed.pop() } else { None };
            for (number, end) in failed {
                others_may_have_run |= end.may_have_run();
                self.count_failure(number, end, history);
            }
            match (asked, last) {
                (Asked::Responded(number, end), _) | (_, Some((number, end))) => {
                    return self.finish(number, end, others_may_have_run, history);
                }
                (Asked::Deadline, None) => return self.on_deadline(history),
                // It was suspected after the request for the placement.
                (Asked::Granted(_), None) if !open.is_empty() && is_exclusive(job) => {
                    schedule.postpone(now());
                }
                (Asked::Granted(grant), None) => {
                    schedule.begin(now(), self.response_timeout(&grant.placement, history));
                    open.push(self.begin(grant, history));
                }
                (Asked::Rejected, None) => schedule.postpone(now()),
            }
        }
    }

    /// Begins an attempt, which sends nothing until it is polled.
    fn begin(
        &self,
        grant: Grant,
        history: &mut History,
    ) -> impl Future<Output = (u64, End<D>)> + use<'a, D> {
        let (job, last_event, number) = (self.job, self.last_event, grant.number);
        if self.is_resuming {
            job.process.metrics.resumed_streams.inc();
        }
        let upstream = grant.placement.flight.upstream.clone();
        let activity = job.activity.begin(upstream.clone());
        let may_have_failed_path = history.ran > 0 || history.unsent > 0;
        let connection = if may_have_failed_path { Connection::New } else { Connection::Any };
        history.begin_attempt(number, upstream, activity.clone(), job.process.now());
        async move { (number, attempt::run(job, grant, last_event, connection, activity).await) }
    }

    /// Requests another placement until an attempt has responded. Attempts that fail meanwhile are added to `failed`.
    async fn ask(
        &self,
        history: &mut History,
        open: &mut FuturesUnordered<impl Future<Output = (u64, End<D>)>>,
        failed: &mut Vec<(u64, End<D>)>,
    ) -> Asked<D> {
        let job = self.job;
        let asking = queue::wait_for_grant(job, history, self.is_resuming);
        tokio::pin!(asking);
        loop {
            tokio::select! {
                biased;
                Some((number, end)) = open.next() => {
                    if self.is_response(&end) {
                        return Asked::Responded(number, end);
                    }
                    failed.push((number, end));
                }
                granted = &mut asking => {
                    return granted.map_or(Asked::Rejected, Asked::Granted);
                }
                () = job.body.dropped() => return Asked::Rejected,
                () = tokio::time::sleep_until(job.deadline.into()) => return Asked::Deadline,
            }
        }
    }

    /// Whether an attempt responded, so that the others are cancelled.
    fn is_response(&self, end: &End<D>) -> bool {
        match end {
            End::Streaming(_) => true,
            End::Complete(response) => !self.is_resuming && !response.status().is_server_error(),
            _ => false,
        }
    }

    /// Ends the race with the last attempt, or with the one that responded.
    fn finish(
        &self,
        number: u64,
        end: End<D>,
        others_may_have_run: bool,
        history: &mut History,
    ) -> Ended<D> {
        let is_response = self.is_response(&end);
        let upstream = history.end_attempt(number, is_response);
        history.cancel_attempts(is_response);
        Ended { upstream, end, others_may_have_run }
    }

    /// Counts an attempt that failed while others are open.
    fn count_failure(&self, number: u64, end: End<D>, history: &mut History) -> Failure {
        let upstream = history.end_attempt(number, false);
        count_failure(self.job, history, upstream, end)
    }

    fn on_deadline(&self, history: &mut History) -> Ended<D> {
        let job = self.job;
        let upstream = history.open[0].upstream.clone();
        record_failure(job, &upstream, Cause::ServerError);
        let now = job.process.now();
        if let Some(attempt) = history.begin_silence(&job.process.metrics, self.phase()) {
            outcome::record_silent(job, &attempt.upstream, attempt.silence(now));
        }
        history.cancel_attempts(false);
        Ended { upstream, end: End::Deadline, others_may_have_run: true }
    }

    /// Records that the attempt that began last is silent, and counts it: another placement is requested.
    fn record_silence(&self, history: &mut History) {
        let job = self.job;
        let now = job.process.now();
        if let Some(attempt) = history.begin_silence(&job.process.metrics, self.phase()) {
            outcome::record_silence(job, &attempt.upstream, attempt.began);
            outcome::record_silent(job, &attempt.upstream, attempt.silence(now));
        }
        let Some(attempt) = history.open.last() else { return };
        let ms = now.saturating_duration_since(attempt.began).as_millis();
        let why = format!("no response within {ms} ms");
        history.failure = Some(Failure::new(job, attempt.upstream.clone(), why));
    }

    /// Time since an upstream last sent a piece of a whole response. Streams are expected to send events: other activity does
    /// not count.
    fn shortest_silence(&self, history: &History) -> Duration {
        let now = self.job.process.now();
        let silences = history.open.iter().map(|attempt| attempt.silence(now));
        match self.job.route.delivery {
            Delivery::Complete => silences.min().unwrap_or(Duration::MAX),
            Delivery::Streaming { .. } => Duration::MAX,
        }
    }

    /// What a silent upstream is expected to send.
    fn phase(&self) -> Phase {
        match self.job.route.delivery {
            Delivery::Complete => Phase::Whole,
            Delivery::Streaming { .. } => Phase::FirstEvent,
        }
    }

    /// Time to wait for the response or its first event before another placement is requested.
    fn response_timeout(&self, placement: &Placement, history: &History) -> Duration {
        let job = self.job;
        let last = history.ran + 1 >= job.route.max_attempts || placement.candidates < 2;
        if last || !job.is_retryable() {
            return job.remaining();
        }
        match job.route.delivery {
            Delivery::Complete => job.route.objective.mul_f64(COMPLETE_TIMEOUT_SHARE),
            Delivery::Streaming { .. } => {
                let ms = placement.predicted_ms * FIRST_EVENT_TIMEOUT_RATIO + FIRST_EVENT_SLACK_MS;
                from_millis(ms).max(job.route.objective.mul_f64(MIN_FIRST_EVENT_OBJECTIVES))
            }
        }
    }
}

/// Whether the request may run at one upstream at a time only: it or a part of its prompt is suspected of crashing upstreams.
/// Another placement is requested once the open attempt has ended.
pub fn is_exclusive<D: Dialect>(job: &Job<D>) -> bool {
    let now = job.process.now();
    let cluster = job.process.cluster.lock().unwrap();
    let service = Tag::of(&job.service.name);
    cluster.quarantine.verdict(job.fingerprint, now) != Verdict::Shared
        || cluster.part_verdict(service, &job.terms.parts, now).is_some()
}

/// Counts an attempt that ended without a usable response. Returns the failure.
pub fn count_failure<D: Dialect>(
    job: &Job<D>,
    history: &mut History,
    mut upstream: id::Upstream,
    end: End<D>,
) -> Failure {
    let count = match end {
        End::Unsent(_) | End::ReservationFailed { .. } | End::Aborted { is_sent: false } => {
            &mut history.unsent
        }
        End::NotRun { .. } => &mut history.refused,
        _ => &mut history.ran,
    };
    *count += 1;
    let why = match end {
        End::Unsent(why) | End::Broken(why) => why,
        End::ReservationFailed { failure, .. } => {
            upstream = failure.upstream;
            failure.cause.to_string()
        }
        End::NotRun { why, at_fault } => {
            upstream = at_fault;
            why
        }
        End::ServerError(response) => keep_response(history, *response),
        End::Complete(response) => keep_response(history, response),
        End::Aborted { .. } => OUT_OF_MEMORY.to_owned(),
        End::Deadline => "no response before the deadline".to_owned(),
        End::Streaming(_) => "its stream is not used".to_owned(),
    };
    history.excluded.push(upstream.clone());
    Failure::new(job, upstream, why)
}

/// Keeps a failure response for the caller. Returns it as a reason.
fn keep_response(history: &mut History, response: Response<Body>) -> String {
    let why = format!("upstream responded {}", response.status());
    history.upstream_response = Some(response);
    why
}
