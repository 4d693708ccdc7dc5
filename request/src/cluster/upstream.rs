//! One upstream, as the cluster state has it.

use std::time::{Duration, Instant};

use super::Listed;
use crate::rate_limit;
use crate::report::Observed;
use crate::suspicion::{Outcome, Suspicion};
use crate::tag::Tag;

/// How long a report counts: an engine that is asked no more is taken for sound again.
pub(super) const REPORT_LASTS: Duration = Duration::from_millis(2_500);

/// An upstream, as the cluster state has it.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// How it is listed.
    pub listed: Listed,
    /// How VMs name it to each other.
    pub tag: Tag,
    /// It said itself, by an answer, that it is leaving. This holds for as long as this start of it is known,
    /// whatever the directory lists: that may be older, and is away just when much else happens.
    pub told_leaving: bool,
    /// Whether its hall is drained: what runs there ends in peace, and nothing new is sent.
    pub drained: bool,
    /// Failures of late.
    pub suspicion: Suspicion,
    /// The newest report, of this VM or a peer.
    pub observed: Option<Observed>,
    /// Whether this VM asked for it.
    pub asked: bool,
    /// Until when it is cold.
    pub cold_until: Option<Instant>,
    /// The rate limit that it names, if it ever did.
    pub rate_limit: Option<rate_limit::State>,
    /// When its listing ended while the directory was away; it may still live.
    pub unlisted: Option<Instant>,
}

impl Upstream {
    /// How many times longer its work takes than its figures say, as far as is known.
    pub fn pace(&self, now: Instant) -> f64 {
        let fresh = |o: &Observed| now.saturating_duration_since(o.at) < REPORT_LASTS;
        let report = self.observed.filter(fresh).and_then(|o| o.report);
        report.map_or(1.0, |report| report.pace.max(1.0))
    }

    /// Whether it takes new work.
    pub fn is_open(&self) -> bool {
        !self.is_leaving() && !self.drained
    }

    /// Whether it is about to end, by the directory or by its own word.
    pub fn is_leaving(&self) -> bool {
        self.listed.leaving || self.told_leaving
    }

    /// Notes how an attempt ended here.
    pub(super) fn note(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Answered => self.suspicion.record_success(now),
            Outcome::Failed(failure) => self.suspicion.record_failure(failure, now),
        }
    }

    /// Whether it is slow from its start, or from having been left idle, and bears few requests.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Whether it names a rate limit.
    pub fn is_limited(&self) -> bool {
        self.rate_limit.as_ref().is_some_and(|known| known.limit.rate.is_some())
    }

    /// Whether it did not answer when it was last asked for a report.
    pub fn silent(&self, now: Instant) -> bool {
        let fresh = |o: &Observed| now.saturating_duration_since(o.at) < REPORT_LASTS;
        self.observed.is_some_and(|o| o.report.is_none() && fresh(&o))
    }
}
