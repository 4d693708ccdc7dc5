//! Several attempts of a request that are open at once, since the engine of the first one is silent. Whichever sends
//! events first goes on with the answer; the others are cancelled.

use std::pin::Pin;
use std::time::{Duration, Instant};

use foldlock_base::clock::{Clock as _, millis};
use foldlock_connection::engine::Job as Order;
use foldlock_request::decision::Decision;
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;

use crate::attempt::End;
use crate::attempt::silence::{Suspect, may_repeat};
use crate::attempt::source::{self, Failed, Source};
use crate::gate::{self, Placement};
use crate::metrics::Silence;
use crate::serve::{Job, Progress, Sink};

/// What follows in an answer.
pub enum Next<T> {
    /// The engine sent events.
    Events(T),
    /// Another engine sent events first.
    Superseded(Box<Source>),
    /// The attempt ended.
    End(End),
}

/// Waits for `events` of an engine. While it is silent, other engines are asked to take over.
pub async fn next<S, T, F>(
    job: &Job,
    mut events: Pin<&mut F>,
    suspect: &Suspect,
    sink: &S,
    progress: &mut Progress,
) -> Next<T>
where
    S: Sink,
    F: Future<Output = Result<T, End>>,
{
    let started = Instant::now();
    tokio::select! {
        result = events.as_mut() => return Next::from(result),
        () = sink.caller_gone() => return Next::End(End::Gone),
        () = tokio::time::sleep(suspect.timeout(job)) => {}
    }
    if job.left().is_zero() {
        return Next::End(End::Deadline);
    }
    let begin = |placement, order| source::begin(job, placement, order);
    let mut contest = Contest { events, broken: None, others: FuturesUnordered::new() };
    let next = tokio::select! {
        next = contest.run(job, suspect, started, progress, begin) => next,
        () = sink.caller_gone() => Next::End(End::Gone),
        () = tokio::time::sleep_until(job.deadline.instant().into()) => Next::End(End::Deadline),
    };
    // Others that are still open may have run.
    progress.another_ran |= !contest.others.is_empty();
    progress.open.clear();
    job.process.metrics.count_silence(match next {
        Next::Events(_) => Silence::Continued,
        Next::Superseded(_) => Silence::Resumed,
        Next::End(_) => Silence::Failed,
    });
    match next {
        Next::Events(_) => job.process.engines.on_events(suspect.engine()),
        Next::Superseded(_) => job.process.engines.on_superseded(suspect.engine()),
        Next::End(_) => {}
    }
    next
}

impl<T> From<Result<T, End>> for Next<T> {
    fn from(result: Result<T, End>) -> Next<T> {
        match result {
            Ok(events) => Next::Events(events),
            Err(end) => Next::End(end),
        }
    }
}

/// The attempts that are open.
struct Contest<'a, F, O> {
    /// The events of the silent engine.
    events: Pin<&'a mut F>,
    /// How the attempt at the silent engine ended, if it did.
    broken: Option<End>,
    /// The attempts beside it, without an event so far.
    others: FuturesUnordered<O>,
}

/// What happens while attempts are open.
enum Step<T> {
    Next(Next<T>),
    /// One of the others failed.
    Failed(Failed),
}

/// Whether another engine may be asked.
enum Asked<T> {
    Granted(Placement),
    Rejected(String),
    Next(Next<T>),
}

impl<T, F, O> Contest<'_, F, O>
where
    F: Future<Output = Result<T, End>>,
    O: Future<Output = Result<Source, Failed>>,
{
    /// Asks other engines until one of the attempts has events, or none is left.
    async fn run(
        &mut self,
        job: &Job,
        suspect: &Suspect,
        silent_since: Instant,
        progress: &mut Progress,
        begin: impl Fn(Placement, Order) -> O,
    ) -> Next<T> {
        let mut silent = Vec::new();
        let mut latest = None;
        let mut rejected = false;
        progress.open.push(suspect.engine().clone());
        loop {
            let current = latest.as_ref().unwrap_or(suspect);
            if current.is_overdue(job, progress) {
                if !silent.contains(current.engine()) {
                    silent.push(current.engine().clone());
                    record_silence(job, current, silent_since);
                }
                match self.ask(job, progress).await {
                    Asked::Next(next) => return next,
                    Asked::Rejected(reason) if rejected => drop(reason),
                    Asked::Rejected(reason) => {
                        rejected = true;
                        record_rejected(job, suspect, silent_since, reason);
                    }
                    Asked::Granted(placement) => {
                        record_sent(job, suspect, silent_since, &placement, progress);
                        latest = Some(Suspect::first(&placement));
                        self.others.push(begin(placement, job.order(progress)));
                    }
                }
            }
            let timeout = latest.as_ref().unwrap_or(suspect).timeout(job);
            let step = tokio::select! {
                step = self.step() => step,
                () = tokio::time::sleep(timeout) => continue,
            };
            match step {
                Step::Next(next) => return next,
                Step::Failed(failed) => {
                    record_failed(failed, progress);
                    latest = None;
                    if let Some(end) = self.end() {
                        return Next::End(end);
                    }
                }
            }
        }
    }

    /// Requests a placement beside the open attempts.
    async fn ask(&mut self, job: &Job, progress: &mut Progress) -> Asked<T> {
        if !may_repeat(&job.policy, progress, false) {
            return Asked::Rejected("the settings allow no further attempt".to_owned());
        }
        if !progress.take_retry(job) {
            return Asked::Rejected("the retry budget is exhausted".to_owned());
        }
        let mut failures = Vec::new();
        let asked = {
            let placing = gate::place(job, progress);
            tokio::pin!(placing);
            loop {
                tokio::select! {
                    biased;
                    step = self.step() => match step {
                        Step::Next(next) => break Asked::Next(next),
                        Step::Failed(failed) => {
                            failures.push(failed);
                            if let Some(end) = self.end() {
                                break Asked::Next(Next::End(end));
                            }
                        }
                    },
                    placed = placing.as_mut() => break match placed {
                        Ok(placement) => Asked::Granted(placement),
                        Err(rejection) => Asked::Rejected(rejection.why),
                    },
                }
            }
        };
        failures.into_iter().for_each(|failed| record_failed(failed, progress));
        asked
    }

    /// Waits until one of the attempts has events or fails. Nothing is lost if the future is dropped.
    async fn step(&mut self) -> Step<T> {
        loop {
            tokio::select! {
                biased;
                result = self.events.as_mut(), if self.broken.is_none() => match result {
                    // The others may still respond.
                    Err(end) if !self.others.is_empty() => self.broken = Some(end),
                    result => return Step::Next(Next::from(result)),
                },
                Some(result) = self.others.next(), if !self.others.is_empty() => {
                    return match result {
                        Ok(source) => Step::Next(Next::Superseded(Box::new(source))),
                        Err(failed) => Step::Failed(failed),
                    };
                }
            }
        }
    }

    /// How the first attempt ended, if no attempt is open any more.
    fn end(&mut self) -> Option<End> {
        if self.others.is_empty() { self.broken.take() } else { None }
    }
}

fn elapsed(job: &Job, since: Instant) -> Duration {
    job.process.clock.now().saturating_duration_since(since)
}

fn record_silence(job: &Job, suspect: &Suspect, since: Instant) {
    job.process.engines.on_silence(suspect.engine());
    let silent_ms = millis(elapsed(job, since));
    job.record(Decision::Silent {
        upstream: suspect.engine().clone(),
        silent_ms,
        evidence_age_ms: silent_ms,
        unanswered: 0,
        ending: None,
    });
}

fn why(job: &Job, since: Instant) -> String {
    format!("no event for {} ms", elapsed(job, since).as_millis())
}

fn record_rejected(job: &Job, suspect: &Suspect, since: Instant, reason: String) {
    let upstream = suspect.engine().clone();
    job.record(Decision::NotRetried { upstream, why: why(job, since), reason, budget: None });
}

fn record_sent(
    job: &Job,
    suspect: &Suspect,
    since: Instant,
    placement: &Placement,
    progress: &mut Progress,
) {
    progress.on_sent();
    progress.open.push(placement.engine().clone());
    job.process.metrics.retries.inc();
    job.record(Decision::Retried {
        upstream: suspect.engine().clone(),
        why: why(job, since),
        silent_ms: Some(millis(elapsed(job, since))),
    });
}

/// Records the failure of an attempt beside the first one.
fn record_failed(failed: Failed, progress: &mut Progress) {
    progress.another_ran |= !matches!(failed.end, End::NotRun { .. } | End::NotConnected(_));
    if let Some(at) = progress.open.iter().rposition(|engine| *engine == failed.engine) {
        progress.open.remove(at);
    }
    progress.avoid(&failed.engine);
}
