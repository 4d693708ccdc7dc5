//! Requests reports of the engines of an attempt while the main engine sends nothing and others reserve memory for it:
//! before the first event, and during a silence in the middle of the stream.
//!
//! The decisions are in [`foldlock_request::liveness`].

use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_base::clock::millis;
use foldlock_base::prelude::*;
use foldlock_request::cluster::Listed;
use foldlock_request::decision::Decision;
use foldlock_request::dialect::Dialect;
use foldlock_request::liveness::{Ending, Liveness, Reply};
use foldlock_request::placement::Placement;
use foldlock_request::report;
use foldlock_request::tag::Tag;
use futures::future::join_all;
use tokio::sync::watch;

use crate::fleet::job::Job;
use crate::fleet::notices;
use crate::fleet::process::Process;
use crate::fleet::reports;

/// An engine of an attempt, as of when the attempt began.
#[derive(Clone)]
struct Target {
    upstream: id::Upstream,
    /// The incarnation that the attempt is sent to.
    incarnation: Tag,
}

/// What the poller of an attempt and its renewals tell each other.
struct Shared {
    main: Target,
    /// When the main engine was last known to be alive.
    evidence: watch::Sender<Instant>,
    /// Why the attempt ends, as found by the renewals.
    ending: watch::Sender<Option<(id::Upstream, Ending)>>,
    interval: Duration,
    max_renewal_age: Duration,
}

impl Shared {
    /// Records that the main engine was alive at a time.
    fn record(&self, alive: Instant) {
        self.evidence.send_if_modified(|evidence| {
            let is_later = alive > *evidence;
            *evidence = alive.max(*evidence);
            is_later
        });
    }

    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(*self.evidence.borrow()) <= self.max_renewal_age
    }
}

/// When the main engine of an attempt was last known to be alive.
#[derive(Clone)]
pub struct Evidence(Arc<Shared>);

impl Evidence {
    /// Waits until the evidence is recent enough to renew reservations, and requests reports meanwhile: a renewal later
    /// than this after a crash would expire too late.
    pub async fn wait_until_recent<D: Dialect>(&self, process: &Arc<Process<D>>) {
        let shared = &self.0;
        let mut evidence = shared.evidence.subscribe();
        while !shared.is_recent(process.now()) {
            let asked = process.now();
            evidence.mark_unchanged();
            let reply = shared.main.poll(process, shared.interval).await;
            process.metrics.count_liveness_reply(reply);
            match reply {
                Reply::Report => shared.record(asked),
                Reply::Restarted => self.end(&shared.main.upstream, Ending::Restarted),
                Reply::Unanswered | Reply::Inconclusive => {
                    let next = asked + shared.max_renewal_age;
                    let _ = tokio::time::timeout_at(next.into(), evidence.changed()).await;
                }
            }
        }
    }

    /// Records that the memory reserved at a helper has expired.
    pub fn record_expired<D: Dialect>(&self, process: &Process<D>, helper: &id::Upstream) {
        let is_alive = self.0.is_recent(process.now());
        self.end(if is_alive { helper } else { &self.0.main.upstream }, Ending::Expired);
    }

    fn end(&self, upstream: &id::Upstream, ending: Ending) {
        self.0.ending.send_if_modified(|found| {
            let is_first = found.is_none();
            found.get_or_insert_with(|| (upstream.clone(), ending));
            is_first
        });
    }
}

/// An engine of an attempt, with the evidence that it is alive.
struct Engine {
    target: Target,
    liveness: Liveness,
}

/// An engine that counts as crashed.
pub struct Crashed {
    /// The engine.
    pub upstream: id::Upstream,
    /// Why it counts as crashed.
    pub ending: Ending,
}

/// Requests the reports for one attempt.
pub struct Poller {
    /// The main engine, then its helpers.
    engines: Vec<Engine>,
    /// The silence timeout.
    timeout: Duration,
    /// Whether the attempt has gone on for longer than the silence timeout.
    is_extended: bool,
    shared: Arc<Shared>,
}

impl Poller {
    /// A poller for an attempt that begins now; none if no other engines reserve memory for it.
    pub fn new<D: Dialect>(job: &Job<D>, placement: &Placement) -> Option<Poller> {
        let flight = &placement.flight;
        if !flight.has_reservations() {
            return None;
        }
        let now = job.process.now();
        let timeout = job.process.config.fleet.reserved_silence_timeout();
        let predicted = Duration::from_secs_f64(placement.predicted_ms.max(0.0) / 1e3);
        let liveness = Liveness::new(timeout, predicted, now);
        let helpers = flight.helpers.iter().map(|helper| &helper.upstream);
        let target = |upstream: &id::Upstream| Target {
            upstream: upstream.clone(),
            incarnation: notices::incarnation(&job.process, upstream),
        };
        let engine = |upstream| Engine { target: target(upstream), liveness };
        let engines = std::iter::once(&flight.upstream).chain(helpers).map(engine).collect();
        let shared = Arc::new(Shared {
            main: target(&flight.upstream),
            evidence: watch::Sender::new(now),
            ending: watch::Sender::new(None),
            interval: liveness.interval(),
            max_renewal_age: liveness.max_renewal_age(),
        });
        Some(Poller { engines, timeout, is_extended: false, shared })
    }

    /// Records that the main engine has sent events, which shows that it is alive.
    pub fn record_events(&self, now: Instant) {
        self.shared.record(now);
    }

    /// Begins anew for a silence in the middle of the stream: the main engine has sent nothing since this time.
    pub fn restart(&mut self, since: Instant) {
        let liveness = Liveness::new(self.timeout, Duration::ZERO, since);
        self.engines.iter_mut().for_each(|engine| engine.liveness = liveness);
        self.is_extended = false;
    }

    /// The evidence of this poller.
    pub fn evidence(&self) -> Evidence {
        Evidence(self.shared.clone())
    }

    /// Polls until the attempt ends, and returns why it does. Goes on where it was if it is cancelled.
    ///
    /// The helpers are polled only after the silence timeout: the main engine may be silent since it waits for the part of a
    /// helper that crashed.
    pub async fn run<D: Dialect>(&mut self, job: &Job<D>) -> Crashed {
        let mut found = self.shared.ending.subscribe();
        loop {
            let main = &self.engines[0].liveness;
            tokio::select! {
                found = found.wait_for(Option::is_some) => {
                    let found = found.ok().and_then(|found| found.clone());
                    if let Some((upstream, ending)) = found {
                        self.engines[0].record(job, Some(ending));
                        job.process.metrics.count_liveness_ending(ending);
                        return Crashed { upstream, ending };
                    }
                }
                () = tokio::time::sleep_until(main.next_poll().into()) => {}
            }
            let asked = job.process.now();
            let was_extended = std::mem::replace(&mut self.is_extended, main.is_extended(asked));
            let polled = if self.is_extended { self.engines.len() } else { 1 };
            let replies = join_all(self.engines[..polled].iter().map(|engine| engine.poll(job)));
            for (index, reply) in replies.await.into_iter().enumerate() {
                let engine = &mut self.engines[index];
                let ending = engine.liveness.on_reply(reply, asked);
                job.process.metrics.count_liveness_reply(reply);
                let is_first_extension = index == 0 && self.is_extended && !was_extended;
                if reply != Reply::Report || is_first_extension {
                    engine.record(job, ending);
                }
                if let Some(ending) = ending {
                    job.process.metrics.count_liveness_ending(ending);
                    let upstream = engine.target.upstream.clone();
                    return Crashed { upstream, ending };
                }
            }
            self.shared.record(self.engines[0].liveness.evidence());
        }
    }
}

/// Waits until an engine of an attempt counts as crashed by its reports; forever if they are not polled.
pub async fn detect_crash<D: Dialect>(poller: &mut Option<Poller>, job: &Job<D>) -> Crashed {
    match poller {
        Some(poller) => poller.run(job).await,
        None => std::future::pending().await,
    }
}

impl Target {
    /// Requests one report, which takes at most `timeout`.
    async fn poll<D: Dialect>(&self, process: &Arc<Process<D>>, timeout: Duration) -> Reply {
        let Some((listed, _)) = self.entry(process) else { return Reply::Inconclusive };
        let fetch = reports::fetch(process.clone(), listed);
        let Ok(result) = tokio::time::timeout(timeout, fetch).await else {
            return Reply::Unanswered;
        };
        match self.entry(process) {
            // It was removed from the directory.
            None => return Reply::Inconclusive,
            Some((_, incarnation)) if incarnation != self.incarnation => return Reply::Restarted,
            Some(_) => {}
        }
        match result {
            Some(Ok(_)) => Reply::Report,
            Some(Err(report::Failure::Unresponsive(_))) => Reply::Unanswered,
            Some(Err(report::Failure::Unreadable(_))) | None => Reply::Inconclusive,
        }
    }

    /// The engine as it is listed now, with its incarnation.
    fn entry<D: Dialect>(&self, process: &Process<D>) -> Option<(Listed, Tag)> {
        let cluster = process.cluster.lock().unwrap();
        cluster.get(&self.upstream).map(|upstream| (upstream.listed.clone(), upstream.tag))
    }
}

impl Engine {
    async fn poll<D: Dialect>(&self, job: &Job<D>) -> Reply {
        self.target.poll(&job.process, self.liveness.interval()).await
    }

    /// Records a decision, with the age of the evidence that led to it.
    fn record<D: Dialect>(&self, job: &Job<D>, ending: Option<Ending>) {
        let now = job.process.now();
        job.record(Decision::Silent {
            upstream: self.target.upstream.clone(),
            silent_ms: millis(self.liveness.silence(now)),
            evidence_age_ms: millis(self.liveness.evidence_age(now)),
            unanswered: self.liveness.unanswered(),
            ending,
        });
    }
}
