//! The state of admission by forecasts for operators: who is queued, at which rate the queue is served, and which engines
//! are kept free.
//!
//! Load patterns A and B: while capacity is scarce, operators have to see which organisation and kind of request takes
//! it. Computed on request only; its size is bounded by the number of organisations.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use foldlock_version::routes::{Service, Table};

use super::forecast::Kind;
use super::{Counts, Scheduler, by_forecast};
use crate::cluster::Cluster;
use crate::tag::Tag;

/// The queued requests of one kind of one organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Queued {
    /// The organisation; none for requests without an API key.
    pub organisation: Option<Tag>,
    /// The kind of request.
    pub kind: Kind,
    /// Their number.
    pub count: usize,
    /// The time since the first of them arrived.
    pub longest_wait: Duration,
}

/// The rate at which queued short prompts are served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    /// Short prompts per second.
    pub per_s: f64,
    /// The length of the backlog from which it was measured; zero if it is the engine model's.
    pub measured: Duration,
}

/// The state of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Overview {
    /// The name of the service.
    pub service: String,
    /// Queued requests, by organisation and kind, most first.
    pub queued: Vec<Queued>,
    /// The rate for short prompts; none if none has arrived in the last 30 s.
    pub rate: Option<Rate>,
    /// Open engines, weighted by speed.
    pub engines: f64,
    /// Engines that short prompts need, by the arrivals of the last second.
    pub short: f64,
    /// Engines that long prompts need.
    pub long: f64,
    /// Engines that are kept free of long prompts.
    pub kept: usize,
}

impl Scheduler {
    /// The state of the services whose requests are admitted by forecasts, by name; none with another policy.
    pub fn overview(&self, cluster: &Cluster, table: &Table, now: Instant) -> Vec<Overview> {
        let services = table.services();
        let mut overviews: Vec<Overview> =
            services.filter_map(|service| self.overview_of(cluster, service, now)).collect();
        overviews.sort_by(|one, other| one.service.cmp(&other.service));
        overviews
    }

    /// The number of stored promises, and counts of promises since the process started.
    pub fn promise_counts(&self) -> (usize, Counts) {
        (self.promises.len(), self.promises.counts())
    }

    fn overview_of(&self, cluster: &Cluster, service: &Service, now: Instant) -> Option<Overview> {
        let engine = self.forecast_engine(service)?;
        let tag = Tag::of(&service.name);
        let outlook = self.outlooks.get(&tag)?;
        let engines = by_forecast::speed(cluster, service, now);
        let mut queued: BTreeMap<(Option<Tag>, bool), Queued> = BTreeMap::new();
        for request in self.queue.iter().filter(|queued| queued.service == tag) {
            let organisation = request.requirements.caller.organisation;
            let is_long = request.is_long(service);
            let kind = if is_long { Kind::Long } else { Kind::Short };
            let waited = now.saturating_duration_since(request.requirements.arrived);
            let none = Queued { organisation, kind, count: 0, longest_wait: Duration::ZERO };
            let group = queued.entry((organisation, is_long)).or_insert(none);
            group.count += 1;
            group.longest_wait = group.longest_wait.max(waited);
        }
        let mut queued: Vec<Queued> = queued.into_values().collect();
        queued.sort_by_key(|group| std::cmp::Reverse((group.count, group.longest_wait)));
        let long = self.demand(tag);
        Some(Overview {
            service: service.name.clone(),
            queued,
            rate: outlook.short_rate(engine, engines, now),
            engines,
            short: outlook.short_demand(engine, now),
            long,
            kept: outlook.kept_for_short(engine, engines, long, now),
        })
    }
}
