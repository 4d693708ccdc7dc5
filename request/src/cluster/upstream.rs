//! The state of one upstream.

use std::time::{Duration, Instant};

use super::Listed;
use crate::evidence::{Doubt, Evidence};
use crate::rate_limit;
use crate::report::Observed;
use crate::suspicion::{Outcome, Suspicion};
use crate::tag::Tag;

/// How long a report is fresh. An engine whose reports are no longer fetched counts as healthy again.
pub(super) const REPORT_FRESHNESS_WINDOW: Duration = Duration::from_millis(2_500);

/// The state of one upstream, as recorded by this VM.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Its directory listing.
    pub listed: Listed,
    /// The tag of its incarnation, by which VMs refer to it in messages.
    pub tag: Tag,
    /// Whether it reported in a response that it is leaving. This holds for the rest of its incarnation, whatever
    /// the directory lists: its entry may be older, and the directory may be unavailable in the same incident.
    pub reported_leaving: bool,
    /// Whether its hall is drained: requests that run there finish, and no new ones are sent.
    pub drained: bool,
    /// Weight of its recent failures.
    pub suspicion: Suspicion,
    /// The newest report, fetched by this VM or received from a peer.
    pub observed: Option<Observed>,
    /// Whether this VM fetched that report.
    pub is_own_report: bool,
    /// Until when it is cold, if it is.
    pub cold_until: Option<Instant>,
    /// Its rate limit, if it ever stated one.
    pub rate_limit: Option<rate_limit::State>,
    /// When its listing lapsed while the directory was unavailable; it may still run.
    pub unlisted: Option<Instant>,
    /// What attempts have shown of it.
    pub evidence: Evidence,
}

impl Upstream {
    /// Measured over expected time of its engine by a fresh report, at least 1; 1 without one.
    pub fn slowdown(&self, now: Instant) -> f64 {
        let is_fresh = |o: &Observed| now.saturating_duration_since(o.at) < REPORT_FRESHNESS_WINDOW;
        let report = self.observed.filter(is_fresh).and_then(|o| o.report);
        report.map_or(1.0, |report| report.slowdown.max(1.0))
    }

    /// Whether it accepts new requests.
    pub fn is_open(&self) -> bool {
        !self.is_leaving() && !self.drained
    }

    /// Whether it is shutting down, by the directory or by its own report.
    pub fn is_leaving(&self) -> bool {
        self.listed.leaving || self.reported_leaving
    }

    /// Records the outcome of an attempt at this upstream.
    pub(super) fn record_outcome(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Answered => self.suspicion.record_success(now),
            Outcome::Failed(failure) => {
                self.suspicion.record_failure(failure, now);
                self.evidence.on_doubt(Doubt::Failure, now);
            }
        }
    }

    /// Whether it is cold, after its start or after idle time: slow, and unable to take many requests.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Whether it has a rate limit.
    pub fn is_limited(&self) -> bool {
        self.rate_limit.as_ref().is_some_and(|state| state.limit.rate.is_some())
    }

    /// Whether it is avoided for its silence alone, and has responded to a request for a report since.
    pub fn has_returned(&self, now: Instant) -> bool {
        let is_fresh = |o: &Observed| now.saturating_duration_since(o.at) < REPORT_FRESHNESS_WINDOW;
        let responded = self.observed.filter(|o| o.report.is_some() && is_fresh(o)).map(|o| o.at);
        let silent = self.suspicion.silent_since(now);
        silent.zip(responded).is_some_and(|(silent, responded)| responded > silent)
    }

    /// Whether it did not respond to the latest request for a report, if that is fresh.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let is_fresh = |o: &Observed| now.saturating_duration_since(o.at) < REPORT_FRESHNESS_WINDOW;
        self.observed.is_some_and(|o| o.report.is_none() && is_fresh(&o))
    }
}
