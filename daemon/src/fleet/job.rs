//! A caller's request, with the state that all stages of its handling share.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_base::clock::Moment;
use foldlock_base::prelude::*;
use foldlock_request::budget::Charge;
use foldlock_request::caller::{Caller, Priority};
use foldlock_request::dialect::Dialect;
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::placement::{self, Requirements};
use foldlock_request::ring::Entry;
use foldlock_request::tag::Tag;
use foldlock_request::terms::Terms;
use foldlock_version::routes::{Organisation, Retry, Route, Service};

use crate::fleet::activity;
use crate::fleet::process::Process;
use crate::fleet::unsent::Body;

/// Maximum idle time of a connection for a request that must not be retried: if the upstream closes
/// an idle connection just then, it is unknown whether the request ran.
const NON_RETRYABLE_MAX_IDLE: Duration = Duration::from_millis(500);

/// Maximum number of connected upstreams in a grant request, 9 bytes each.
const MAX_CONNECTED: usize = 8;

/// The request.
pub struct Job<D: Dialect> {
    /// The process.
    pub process: Arc<Process<D>>,
    /// Its id in logs and records.
    pub id: id::Request,
    /// Identifies copies of the same request.
    pub fingerprint: Fingerprint,
    /// Terms from the caller's headers.
    pub terms: Terms,
    /// The route that it matched.
    pub route: Arc<Route>,
    /// The service that serves it.
    pub service: Arc<Service>,
    /// The organisation of its API key; none where no key is required.
    pub organisation: Option<Arc<Organisation>>,
    /// Version of the settings under which it was admitted.
    pub version: u64,
    /// Its method, target and headers.
    pub head: http::request::Parts,
    /// Its body.
    pub body: Body,
    /// When its headers had arrived.
    pub arrived: Instant,
    /// When the response has to be complete.
    pub deadline: Instant,
    /// The deadline by a clock that also counts the time for which the machine is suspended, as the
    /// caller's clock does.
    pub due: Moment,
    /// When its upstreams last sent something.
    pub activity: activity::Log,
    /// Its record in the decision ring.
    pub entry: Entry,
}

impl<D: Dialect> Job<D> {
    /// Whether the request has not been sent to any upstream and would probably be cut if it were sent now, as this VM stops.
    /// Its caller can send it to another VM.
    pub fn is_too_late_to_send(&self) -> bool {
        self.process.rejects_new_requests() && self.activity.silence(self.process.now()).is_none()
    }

    /// Time until the deadline.
    pub fn remaining(&self) -> Duration {
        let remaining = self.deadline.saturating_duration_since(self.process.now());
        remaining.min(self.due.since(self.process.moment()))
    }

    /// Time since the arrival.
    pub fn elapsed(&self) -> Duration {
        self.process.now().saturating_duration_since(self.arrived)
    }

    /// Whether it may be sent to another upstream after an attempt that may have run.
    pub fn is_retryable(&self) -> bool {
        self.route.retry != Retry::Never
    }

    /// Longest pause between events that meets the objective; none if the response is not streamed.
    pub fn pause(&self) -> Option<Duration> {
        placement::pause(&self.route)
    }

    /// Engine memory for prompt and response. If the caller sets no limit, the response is assumed to
    /// have the usual length.
    fn memory(&self) -> Tokens {
        let usual = self.service.engine.as_ref().map_or(Tokens(0), |engine| engine.mean_answer);
        let answer = if self.terms.max_answer.0 > 0 { self.terms.max_answer } else { usual };
        self.terms.prompt + answer
    }

    /// Maximum idle time of a connection that may carry the request.
    pub fn max_connection_idle(&self) -> Duration {
        match self.route.retry {
            Retry::Never => NON_RETRYABLE_MAX_IDLE,
            Retry::Safe | Retry::Resume => Duration::MAX,
        }
    }

    /// Upstreams with an open connection; none for engines, whose placement does not depend on it.
    fn connected(&self) -> Vec<Tag> {
        if self.service.engine.is_some() {
            return Vec::new();
        }
        let kept = self.process.pool.idle_upstreams(self.max_connection_idle(), self.process.now());
        let cluster = self.process.cluster.lock().unwrap();
        let of_service = |id: &id::Upstream| {
            let upstream = cluster.get(id).filter(|u| u.listed.service == self.service.name)?;
            Some(upstream.tag)
        };
        kept.iter().filter_map(of_service).take(MAX_CONNECTED).collect()
    }

    /// The requirements for the next placement, without the excluded upstreams.
    pub fn requirements(&self, excluded: &[id::Upstream], charge: Charge) -> Requirements {
        let cluster = self.process.cluster.lock().unwrap();
        let excluded = excluded.iter().map(|id| cluster.tag_of(id)).collect();
        // A request with a part whose quarantine is over runs isolated in place of all others with that part.
        let service = Tag::of(&self.service.name);
        let suspect = cluster.part_verdict(service, &self.terms.parts, self.process.now());
        drop(cluster);
        let fingerprint = suspect.map_or(self.fingerprint, |(part, _)| part.fingerprint(service));
        Requirements {
            prompt: self.terms.prompt,
            memory: self.memory(),
            objective: self.route.objective,
            pause: self.pause(),
            arrived: self.arrived,
            queue_timeout: self.deadline.saturating_duration_since(self.arrived),
            excluded,
            connected: self.connected(),
            hall: self.process.member.hall.clone(),
            reservation_timeout: self.reservation_timeout(),
            fingerprint,
            offset: 0,
            schedulers: 1,
            charge,
            caller: self.caller(),
        }
    }

    /// The longest time to the first event while several engines reserve memory. An engine whose reports show that it is
    /// alive may be silent for the caller's time.
    fn reservation_timeout(&self) -> Duration {
        if self.process.is_forecast() {
            self.time_limit()
        } else {
            self.process.config.fleet.reserved_silence_timeout()
        }
    }

    /// Time from the arrival after which the caller no longer waits.
    fn time_limit(&self) -> Duration {
        self.deadline.saturating_duration_since(self.arrived)
    }

    /// The caller, if requests are admitted by forecasts; otherwise it has no effect.
    fn caller(&self) -> Caller {
        if !self.process.is_forecast() {
            return Caller::default();
        }
        let organisation = self.organisation.as_deref();
        Caller {
            organisation: organisation.map(|organisation| Tag::of(&organisation.name)),
            priority: Priority {
                organisation: organisation.map_or(0, |organisation| organisation.priority),
                route: self.route.priority,
            },
            time_limit: self.time_limit(),
            patience: self.route.patience.unwrap_or(Duration::MAX),
            resumes: false,
        }
    }
}
