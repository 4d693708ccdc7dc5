//! Requests reports of the main engine of an attempt while it sends nothing and other engines reserve memory for it.
//!
//! The decisions are in [`foldlock_request::liveness`]. Takes effect with `admission = "forecast"`; without it, the silence
//! timeout ends the attempt.

use std::time::{Duration, Instant};

use foldlock_base::clock::millis;
use foldlock_request::cluster::Listed;
use foldlock_request::decision::Decision;
use foldlock_request::dialect::Dialect;
use foldlock_request::flight::Flight;
use foldlock_request::liveness::{Ending, Liveness, Reply};
use foldlock_request::report;
use foldlock_request::tag::Tag;
use tokio::sync::watch;

use crate::fleet::job::Job;
use crate::fleet::process::Process;
use crate::fleet::reports;

/// When the main engine of an attempt was last known to be alive.
#[derive(Clone)]
pub struct Evidence {
    at: watch::Receiver<Instant>,
    max_age: Duration,
}

impl Evidence {
    /// Waits until the evidence is recent enough to renew reservations: a renewal later than this after a crash would
    /// expire too late. Returns at once if the engine is no longer polled, since it has sent something.
    pub async fn wait_until_recent<D: Dialect>(&mut self, process: &Process<D>) {
        let is_recent = |at: &Instant| process.now().saturating_duration_since(*at) <= self.max_age;
        let _ = self.at.wait_for(is_recent).await;
    }
}

/// Requests the reports for one attempt.
pub struct Poller {
    liveness: Liveness,
    /// Whether the attempt has gone on for longer than the silence timeout.
    is_extended: bool,
    evidence: watch::Sender<Instant>,
}

impl Poller {
    /// A poller of the main engine of an attempt that begins now; none if the attempt has the silence timeout instead.
    pub fn new<D: Dialect>(job: &Job<D>, flight: &Flight) -> Option<Poller> {
        if !flight.has_reservations() || !job.process.is_forecast() {
            return None;
        }
        let began = job.process.now();
        let timeout = job.process.config.fleet.reserved_silence_timeout();
        let liveness = Liveness::new(timeout, began);
        Some(Poller { liveness, is_extended: false, evidence: watch::Sender::new(began) })
    }

    /// The evidence of this poller.
    pub fn evidence(&self) -> Evidence {
        Evidence { at: self.evidence.subscribe(), max_age: self.liveness.max_renewal_age() }
    }

    /// Polls until the attempt ends, and returns why it does.
    pub async fn run<D: Dialect>(mut self, job: &Job<D>, flight: &Flight, sent_to: Tag) -> Ending {
        loop {
            tokio::time::sleep_until(self.liveness.next_poll().into()).await;
            let asked = job.process.now();
            let timeout = self.liveness.interval();
            let reply = tokio::time::timeout(timeout, poll(job, flight, sent_to)).await;
            let reply = reply.unwrap_or(Reply::Unanswered);
            job.process.metrics.count_liveness_reply(reply);
            let ending = self.liveness.on_reply(reply, asked, job.process.now());
            self.evidence.send_replace(self.liveness.evidence());
            if let Some(ending) = ending {
                job.process.metrics.count_liveness_ending(ending);
                self.record(job, flight, Some(ending));
                return ending;
            }
            let is_extended = self.is_extended;
            self.is_extended = self.liveness.is_extended(job.process.now());
            if reply != Reply::Report || self.is_extended != is_extended {
                self.record(job, flight, None);
            }
        }
    }

    /// Records a decision, with the age of the evidence that led to it.
    fn record<D: Dialect>(&self, job: &Job<D>, flight: &Flight, ending: Option<Ending>) {
        let now = job.process.now();
        job.record(Decision::Silent {
            upstream: flight.upstream.clone(),
            silent_ms: millis(self.liveness.silence(now)),
            evidence_age_ms: millis(self.liveness.evidence_age(now)),
            unanswered: self.liveness.unanswered(),
            ending,
        });
    }
}

/// Requests one report of the main engine.
async fn poll<D: Dialect>(job: &Job<D>, flight: &Flight, sent_to: Tag) -> Reply {
    let Some((listed, _)) = entry(job, flight) else { return Reply::Inconclusive };
    let result = reports::fetch(job.process.clone(), listed).await;
    match entry(job, flight) {
        // It was removed from the directory, and a later incarnation would have another entry.
        None => return Reply::Inconclusive,
        Some((_, incarnation)) if incarnation != sent_to => return Reply::Restarted,
        Some(_) => {}
    }
    match result {
        Some(Ok(_)) => Reply::Report,
        Some(Err(report::Failure::Unresponsive(_))) => Reply::Unanswered,
        Some(Err(report::Failure::Unreadable(_))) | None => Reply::Inconclusive,
    }
}

/// The main engine as it is listed now, with its incarnation.
fn entry<D: Dialect>(job: &Job<D>, flight: &Flight) -> Option<(Listed, Tag)> {
    let cluster = job.process.cluster.lock().unwrap();
    cluster.get(&flight.upstream).map(|upstream| (upstream.listed.clone(), upstream.tag))
}
