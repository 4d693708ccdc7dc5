//! One request of a caller, with all that its steps share.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foldlock_base::clock::Moment;
use foldlock_base::prelude::*;
use foldlock_request::budget::Charge;
use foldlock_request::dialect::Dialect;
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::placement::{self, Requirements};
use foldlock_request::ring::Entry;
use foldlock_request::tag::Tag;
use foldlock_request::terms::Terms;
use foldlock_version::routes::{Organisation, Retry, Route, Service};

use crate::fleet::process::Process;

/// How long a connection may have rested for a request that must not be repeated: an upstream that
/// closes it meanwhile leaves open whether the request ran.
const FRESH_REST: Duration = Duration::from_millis(500);

/// Upstreams with a connection that a question names, 9 bytes each.
const MOST_CONNECTED: usize = 8;

/// The request.
pub struct Job<D: Dialect> {
    /// The process.
    pub process: Arc<Process<D>>,
    /// Its id in logs and records.
    pub id: id::Request,
    /// By which it is known again when it comes again.
    pub fingerprint: Fingerprint,
    /// What the caller asks for.
    pub terms: Terms,
    /// The route that it came by.
    pub route: Arc<Route>,
    /// The service that it goes to.
    pub service: Arc<Service>,
    /// Whose key it has.
    pub organisation: Option<Arc<Organisation>>,
    /// The number of the settings version that it was admitted under.
    pub version: u64,
    /// Its head.
    pub head: http::request::Parts,
    /// Its body.
    pub body: Bytes,
    /// When its head had arrived.
    pub arrived: Instant,
    /// When it has to have its answer.
    pub deadline: Instant,
    /// The same with the time for which the machine is suspended, which its caller counts.
    pub due: Moment,
    /// Its record.
    pub entry: Entry,
}

impl<D: Dialect> Job<D> {
    /// The time that is left.
    pub fn left(&self) -> Duration {
        let left = self.deadline.saturating_duration_since(self.process.now());
        left.min(self.due.since(self.process.moment()))
    }

    /// The time since it arrived.
    pub fn held(&self) -> Duration {
        self.process.now().saturating_duration_since(self.arrived)
    }

    /// Whether it may be sent to another upstream after one that may have run it.
    pub fn repeatable(&self) -> bool {
        self.route.retry != Retry::Never
    }

    /// The longest pause with which a stream is in time; none for whole answers.
    pub fn pause(&self) -> Option<Duration> {
        placement::pause(&self.route)
    }

    /// Memory for prompt and answer. A caller who tells no limit gets what answers usually take.
    fn memory(&self) -> Tokens {
        let usual = self.service.engine.as_ref().map_or(Tokens(0), |engine| engine.mean_answer);
        let most = if self.terms.max_answer.0 > 0 { self.terms.max_answer } else { usual };
        self.terms.prompt + most
    }

    /// How long a connection may have rested that is to take the request.
    pub fn most_rest(&self) -> Duration {
        match self.route.retry {
            Retry::Never => FRESH_REST,
            Retry::Safe | Retry::Resume => Duration::MAX,
        }
    }

    /// Upstreams to which there is a connection. Which engine takes a prompt is decided by other things.
    fn connected(&self) -> Vec<Tag> {
        if self.service.engine.is_some() {
            return Vec::new();
        }
        let kept = self.process.pool.idle_upstreams(self.most_rest(), self.process.now());
        let cluster = self.process.cluster.lock().unwrap();
        let of_service = |id: &id::Upstream| {
            let known = cluster.get(id).filter(|u| u.listed.service == self.service.name)?;
            Some(known.tag)
        };
        kept.iter().filter_map(of_service).take(MOST_CONNECTED).collect()
    }

    /// What is asked of the upstreams, those left out that failed it.
    pub fn requirements(&self, avoid: &[id::Upstream], charge: Charge) -> Requirements {
        let cluster = self.process.cluster.lock().unwrap();
        let excluded = avoid.iter().map(|id| cluster.tag_of(id)).collect();
        drop(cluster);
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
            reservation_timeout: self.process.config.fleet.held_silence(),
            fingerprint: self.fingerprint,
            offset: 0,
            schedulers: 1,
            charge,
        }
    }
}
