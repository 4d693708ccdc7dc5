//! Records of the decisions of admission by forecasts, for log lines and counters.
//!
//! Load patterns A and B (`docs/design/overload.md`): with tripled traffic, hundreds of requests a second are queued and
//! rejected, and operators have to find the figures that decided on one of them. The number of records is bounded, and
//! all decisions are counted.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use foldlock_version::routes::Table;

use super::by_forecast::speed;
use super::forecast::{Error, Kind};
use super::order::Basis;
use super::{Key, Scheduler, find};
use crate::cluster::Cluster;
use crate::tag::Tag;

/// Maximum number of decisions that are kept until they are taken. Rounds of placement are at most 250 ms apart, and
/// 286 requests a second arrive at tripled traffic on A: each is decided on at most three times.
pub const MAX_RECORDS: usize = 1_024;

/// Maximum number of forecast errors that are kept until they are collected.
const MAX_ERRORS: usize = 1_024;

/// Minimum time between two records of the engines that a service keeps: their number follows the arrivals of the last
/// second and may change with each of them.
pub const KEPT_INTERVAL: Duration = Duration::from_millis(250);

/// What was decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A new request was queued.
    Queued,
    /// A new request was rejected.
    RejectedNew,
    /// A queued request was rejected, since it cannot be served even if no more requests arrive.
    RejectedQueued,
    /// A queued request was granted a placement.
    Granted(Basis),
    /// A caller has returned at its promised time.
    Redeemed,
}

impl Outcome {
    /// Its name in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Queued => "queued",
            Outcome::RejectedNew => "rejected_new",
            Outcome::RejectedQueued => "rejected_queued",
            Outcome::Granted(Basis::Turn) => "granted_turn",
            Outcome::Granted(Basis::Aged) => "granted_aged",
            Outcome::Granted(Basis::Returned) => "granted_returned",
            Outcome::Redeemed => "redeemed",
        }
    }
}

/// The forecast on which a decision was based.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// When it was made.
    pub at: Instant,
    /// Forecast time until the start; for a rejection from the queue, until the earliest start.
    pub wait: Duration,
    /// Work served per second: short prompts, or milliseconds of prefill.
    pub rate: f64,
    /// The length of the backlog from which the rate was measured; zero if it is the engine model's.
    pub measured: Duration,
}

/// The Retry-After of a rejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Return {
    /// Time until then.
    pub after: Duration,
    /// Whether the caller was promised to be served then.
    pub promised: bool,
}

/// A decision on a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// The request.
    pub key: Key,
    /// When it was decided on.
    pub at: Instant,
    /// The kind of request.
    pub kind: Kind,
    /// The number of requests of its service that were queued before it. Of a new request, it is counted without shares
    /// and ageing.
    pub rank: usize,
    /// Time since its arrival.
    pub waited: Duration,
    /// The forecast; for a grant, the one with which it was queued.
    pub forecast: Option<Forecast>,
    /// Whether its first event could be in time.
    pub in_time: bool,
    /// When a rejected caller may return.
    pub returns: Option<Return>,
    /// What was decided.
    pub outcome: Outcome,
}

impl Record {
    /// Age of the forecast at the time of the decision.
    pub fn forecast_age(&self) -> Option<Duration> {
        self.forecast.map(|forecast| self.at.saturating_duration_since(forecast.at))
    }
}

/// A change of the number of engines that are kept free of long prompts.
#[derive(Debug, Clone, PartialEq)]
pub struct KeptChange {
    /// The service.
    pub service: String,
    /// The number before.
    pub previous: usize,
    /// The number now.
    pub engines: usize,
    /// Engines that short prompts need, by the arrivals of the last second.
    pub short: f64,
    /// Engines that long prompts need.
    pub long: f64,
    /// All engines of the service, weighted by speed.
    pub all: f64,
}

/// Decisions since the last time that they were taken.
#[derive(Debug, Default)]
pub struct Taken {
    /// Decisions on requests, oldest first.
    pub decisions: Vec<Record>,
    /// The number of further decisions, beyond [`MAX_RECORDS`].
    pub left_out: u64,
    /// Changes of kept engines.
    pub kept: Vec<KeptChange>,
}

/// The engines that a service keeps free for short prompts.
#[derive(Debug, Clone, Copy)]
struct Kept {
    engines: usize,
    recorded: Instant,
}

/// Collects decisions until they are taken, and counts them.
#[derive(Debug, Default)]
pub struct Log {
    taken: Taken,
    counts: HashMap<(Outcome, Kind), u64>,
    kept: HashMap<Tag, Kept>,
}

impl Log {
    /// Adds a decision.
    pub fn add(&mut self, record: Record) {
        *self.counts.entry((record.outcome, record.kind)).or_default() += 1;
        if self.taken.decisions.len() < MAX_RECORDS {
            self.taken.decisions.push(record);
        } else {
            self.taken.left_out += 1;
        }
    }

    /// Whether the kept engines of a service may be recorded again.
    pub fn is_kept_due(&self, service: Tag, now: Instant) -> bool {
        let age = |kept: &Kept| now.saturating_duration_since(kept.recorded);
        self.kept.get(&service).is_none_or(|kept| age(kept) >= KEPT_INTERVAL)
    }

    /// Records the kept engines of a service if their number has changed.
    pub fn set_kept(&mut self, service: Tag, change: KeptChange, now: Instant) {
        let engines = change.engines;
        let previous = self.kept.insert(service, Kept { engines, recorded: now });
        let previous = previous.map_or(0, |kept| kept.engines);
        // One service has four changes a second at most.
        if previous != engines && self.taken.kept.len() < MAX_RECORDS {
            self.taken.kept.push(KeptChange { previous, ..change });
        }
    }

    /// The engines that all services together keep.
    pub fn kept_engines(&self) -> usize {
        self.kept.values().map(|kept| kept.engines).sum()
    }

    /// Forgets the kept engines of a service that no longer exists.
    pub fn remove_kept(&mut self, service: Tag) {
        self.kept.remove(&service);
    }

    /// Forgets the kept engines, as none are kept any more.
    pub fn clear_kept(&mut self) {
        self.kept.clear();
    }

    /// Removes and returns what was recorded since the last call.
    pub fn take(&mut self) -> Taken {
        std::mem::take(&mut self.taken)
    }

    /// Decisions since the process started.
    pub fn counts(&self) -> impl Iterator<Item = (Outcome, Kind, u64)> {
        self.counts.iter().map(|((outcome, kind), count)| (*outcome, *kind, *count))
    }
}

impl Scheduler {
    /// Records the grant of a request that was queued by a forecast.
    pub(super) fn record_grant(&mut self, record: Record) {
        if let Some(Forecast { wait, .. }) = record.forecast
            && self.forecast_errors.len() < MAX_ERRORS
        {
            let actual = record.forecast_age().unwrap_or_default();
            self.forecast_errors.push(Error { kind: record.kind, forecast: wait, actual });
        }
        self.log.add(record);
    }

    /// Removes and returns the decisions since the last call. There are none unless requests are admitted by forecasts.
    pub fn take_decisions(&mut self) -> Taken {
        self.log.take()
    }

    /// Decisions since the process started, by outcome and kind of request.
    pub fn decision_counts(&self) -> impl Iterator<Item = (Outcome, Kind, u64)> {
        self.log.counts()
    }

    /// The engines that are kept free for short prompts, as last recorded.
    pub fn kept_engines(&self) -> usize {
        self.log.kept_engines()
    }

    /// Records the engines that are kept free of long prompts, where their number has changed.
    pub(super) fn record_kept(&mut self, cluster: &Cluster, table: &Table, now: Instant) {
        if !self.policy.is_forecast() {
            return self.log.clear_kept();
        }
        for (tag, outlook) in &self.outlooks {
            if !self.log.is_kept_due(*tag, now) {
                continue;
            }
            let service = find(table, *tag);
            let Some((service, engine)) = service.and_then(|s| Some((s, s.engine.as_ref()?)))
            else {
                self.log.remove_kept(*tag);
                continue;
            };
            let (all, long) = (speed(cluster, service, now), self.demand(*tag));
            let change = KeptChange {
                service: service.name.clone(),
                previous: 0,
                engines: outlook.kept_for_short(engine, all, long, now),
                short: outlook.short_demand(engine, now),
                long,
                all,
            };
            self.log.set_kept(*tag, change, now);
        }
    }

    /// Removes and returns the errors of the forecasts of requests that were granted since the last call.
    pub fn take_forecast_errors(&mut self) -> Vec<Error> {
        std::mem::take(&mut self.forecast_errors)
    }
}
