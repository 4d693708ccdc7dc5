//! Requests reports of the engines of an attempt while the main engine sends nothing and others reserve memory for it:
//! before the first event, and during a silence in the middle of the stream.
//!
//! The decisions are in [`foldlock_request::liveness`] and [`foldlock_request::usage`].

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use foldlock_base::clock::{from_millis, millis};
use foldlock_base::prelude::*;
use foldlock_request::cluster::Listed;
use foldlock_request::decision::Decision;
use foldlock_request::dialect::Dialect;
use foldlock_request::liveness::{Ending, Liveness, Reply};
use foldlock_request::memory::Reservation;
use foldlock_request::placement::Placement;
use foldlock_request::report::{self, Fetched};
use foldlock_request::tag::Tag;
use foldlock_request::usage::{State, Usage};
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
    /// Its entry, with which it is asked after the entry is removed: engines serve on after that.
    listed: Option<Listed>,
}

/// State shared by the poller of an attempt and its renewals.
struct Shared {
    main: Target,
    /// When the main engine was last known to be alive.
    evidence: watch::Sender<Instant>,
    /// When it last sent events.
    events: watch::Sender<Instant>,
    /// Why the attempt ends, as found by the renewals.
    ending: watch::Sender<Option<(id::Upstream, Ending)>>,
    /// Whether the VM waits for its caller, and not for the engine.
    is_caller_awaited: AtomicBool,
    /// The reservations, once they are confirmed.
    reservations: OnceLock<Arc<Vec<Reservation>>>,
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

    /// Whether a helper reports that a request uses the memory. The reservations are filled in turn.
    async fn is_used<D: Dialect>(&self, process: &Arc<Process<D>>) -> bool {
        let Some(first) = self.reservations.get().and_then(|r| r.first()) else { return false };
        let helper = Target::new(process, &first.upstream);
        let (reply, fetched) = helper.poll(process, self.interval).await;
        process.metrics.count_liveness_reply(reply);
        fetched.is_some_and(|fetched| state(&fetched, first) == State::Used)
    }

    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(*self.evidence.borrow()) <= self.max_renewal_age
    }
}

/// When the main engine of an attempt was last known to be alive.
#[derive(Clone)]
pub struct Evidence(Arc<Shared>);

impl Evidence {
    /// Records the reservations that the helpers have confirmed.
    pub fn record_reserved(&self, reservations: Arc<Vec<Reservation>>) {
        let _ = self.0.reservations.set(reservations);
    }

    /// Waits until the evidence is recent enough to renew reservations, and requests reports meanwhile: a renewal later
    /// than this after a crash would expire too late.
    ///
    /// While the VM waits for its caller, the request may have ended with events that it has not read. So it has to be in
    /// use by the helpers' reports as well.
    pub async fn wait_until_recent<D: Dialect>(&self, process: &Arc<Process<D>>) {
        let shared = &self.0;
        let mut evidence = shared.evidence.subscribe();
        while !shared.is_recent(process.now()) {
            let asked = process.now();
            evidence.mark_unchanged();
            let (reply, _) = shared.main.poll(process, shared.interval).await;
            process.metrics.count_liveness_reply(reply);
            match reply {
                Reply::Report
                    if !shared.is_caller_awaited.load(Ordering::Relaxed)
                        || shared.is_used(process).await =>
                {
                    shared.record(asked);
                }
                Reply::Restarted => {
                    self.end(&shared.main.upstream, Ending::Restarted);
                    std::future::pending::<()>().await;
                }
                Reply::Report | Reply::Unanswered | Reply::Inconclusive => {
                    let next = asked + shared.max_renewal_age;
                    let _ = tokio::time::timeout_at(next.into(), evidence.changed()).await;
                }
            }
        }
    }

    /// Waits for events of the main engine after `at`. Returns whether there were any before `until`.
    pub async fn has_events(&self, at: Instant, until: Instant) -> bool {
        let mut events = self.0.events.subscribe();
        let later = events.wait_for(|events| *events > at);
        tokio::time::timeout_at(until.into(), later).await.is_ok()
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
    /// The result of the last report request.
    last: Reply,
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
    usage: Usage,
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
        let predicted = from_millis(placement.predicted_ms);
        let liveness = Liveness::new(timeout, now);
        let usage = Usage::new(timeout, predicted, flight.helpers.len());
        let helpers = flight.helpers.iter().map(|helper| &helper.upstream);
        let target = |upstream| Target::new(&job.process, upstream);
        let engine = |upstream| Engine { target: target(upstream), liveness, last: Reply::Report };
        let engines = std::iter::once(&flight.upstream).chain(helpers).map(engine).collect();
        let shared = Arc::new(Shared {
            main: target(&flight.upstream),
            evidence: watch::Sender::new(now),
            events: watch::Sender::new(now),
            ending: watch::Sender::new(None),
            is_caller_awaited: AtomicBool::new(false),
            reservations: OnceLock::new(),
            interval: liveness.interval(),
            max_renewal_age: liveness.max_renewal_age(),
        });
        Some(Poller { engines, timeout, is_extended: false, usage, shared })
    }

    /// Records that the main engine has sent events, which shows that it is alive.
    pub fn record_events(&self, now: Instant) {
        self.shared.record(now);
        self.shared.events.send_replace(now);
    }

    /// Records whether the VM waits for its caller, and not for the engine.
    pub fn record_caller_awaited(&self, is_awaited: bool) {
        self.shared.is_caller_awaited.store(is_awaited, Ordering::Relaxed);
    }

    /// Begins anew for a silence in the middle of the stream: the main engine has sent nothing since this time.
    pub fn restart(&mut self, since: Instant) {
        let liveness = Liveness::new(self.timeout, since);
        self.engines.iter_mut().for_each(|engine| engine.liveness = liveness);
        self.usage.restart();
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
            let replies = replies.await;
            let states = replies.iter().enumerate().skip(1);
            let states: Vec<_> =
                states.map(|(index, (_, fetched))| self.state(index, fetched.as_ref())).collect();
            let main = replies[0].0;
            for (index, (reply, _)) in replies.into_iter().enumerate() {
                let engine = &mut self.engines[index];
                let ending = engine.liveness.on_reply(reply, asked);
                job.process.metrics.count_liveness_reply(reply);
                let is_first_extension = index == 0 && self.is_extended && !was_extended;
                let is_changed = reply != std::mem::replace(&mut engine.last, reply);
                if is_changed && reply != Reply::Report || is_first_extension || ending.is_some() {
                    engine.record(job, ending);
                }
                if let Some(ending) = ending {
                    job.process.metrics.count_liveness_ending(ending);
                    let upstream = engine.target.upstream.clone();
                    return Crashed { upstream, ending };
                }
            }
            self.shared.record(self.engines[0].liveness.evidence());
            if let Some((helper, ending)) = self.usage.on_reports(main, &states) {
                let engine = &self.engines[helper.map_or(0, |helper| helper + 1)];
                engine.record(job, Some(ending));
                job.process.metrics.count_liveness_ending(ending);
                return Crashed { upstream: engine.target.upstream.clone(), ending };
            }
        }
    }

    /// What an engine reports about the reservation of this attempt; none if it is unknown.
    fn state(&self, engine: usize, fetched: Option<&Fetched>) -> Option<State> {
        let upstream = &self.engines[engine].target.upstream;
        let reservations = self.shared.reservations.get()?;
        let own = reservations.iter().find(|reservation| reservation.upstream == *upstream)?;
        Some(state(fetched?, own))
    }
}

/// Waits until an engine of an attempt counts as crashed by its reports; forever if they are not polled.
pub async fn detect_crash<D: Dialect>(poller: &mut Option<Poller>, job: &Job<D>) -> Crashed {
    match poller {
        Some(poller) => poller.run(job).await,
        None => std::future::pending().await,
    }
}

/// What a helper reports about a reservation.
fn state(fetched: &Fetched, own: &Reservation) -> State {
    let id = &own.reservation_id;
    match fetched.reservations.iter().find(|listed| listed.reservation_id == *id) {
        None => State::Unlisted,
        Some(reserved) if reserved.is_used => State::Used,
        Some(_) => State::Unused,
    }
}

impl Target {
    fn new<D: Dialect>(process: &Process<D>, upstream: &id::Upstream) -> Target {
        let incarnation = notices::incarnation(process, upstream);
        let mut target = Target { upstream: upstream.clone(), incarnation, listed: None };
        target.listed = target.entry(process).map(|(listed, _)| listed);
        target
    }

    /// Requests one report, which takes at most `timeout`. Returns it if it is evidence.
    async fn poll<D: Dialect>(
        &self,
        process: &Arc<Process<D>>,
        timeout: Duration,
    ) -> (Reply, Option<Fetched>) {
        let Some(listed) = self.listing(process) else { return (Reply::Inconclusive, None) };
        let fetch = reports::fetch(process.clone(), listed);
        let Ok(result) = tokio::time::timeout(timeout, fetch).await else {
            return (Reply::Unanswered, None);
        };
        if self.entry(process).is_some_and(|(_, incarnation)| incarnation != self.incarnation) {
            return (Reply::Restarted, None);
        }
        match result {
            Some(Ok(fetched)) => (Reply::Report, Some(fetched)),
            Some(Err(report::Failure::Unresponsive(_))) => (Reply::Unanswered, None),
            Some(Err(report::Failure::Unreadable(_))) | None => (Reply::Inconclusive, None),
        }
    }

    /// The engine as it is listed now, or was; none if it must not be asked.
    fn listing<D: Dialect>(&self, process: &Process<D>) -> Option<Listed> {
        if let Some((listed, _)) = self.entry(process) {
            return Some(listed);
        }
        let backoffs = process.backoffs.lock().unwrap();
        let remaining = backoffs.remaining(self.incarnation, process.moment());
        self.listed.clone().filter(|_| remaining.is_none())
    }

    /// The engine as it is listed now, with its incarnation.
    fn entry<D: Dialect>(&self, process: &Process<D>) -> Option<(Listed, Tag)> {
        let cluster = process.cluster.lock().unwrap();
        cluster.get(&self.upstream).map(|upstream| (upstream.listed.clone(), upstream.tag))
    }
}

impl Engine {
    async fn poll<D: Dialect>(&self, job: &Job<D>) -> (Reply, Option<Fetched>) {
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
