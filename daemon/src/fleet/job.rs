//! One request of a caller, with all that its steps share.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::placement::{self, Ask};
use foldlock_request::ring::Entry;
use foldlock_request::terms::Terms;
use foldlock_version::routes::{Engine, Organisation, Repeat, Route, Service, Shape};

use crate::fleet::process::Process;

/// The request.
pub struct Job<D: Dialect> {
    /// The process.
    pub process: Arc<Process<D>>,
    /// Its id in logs and records.
    pub id: id::Request,
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
    /// Its record.
    pub entry: Entry,
}

impl<D: Dialect> Job<D> {
    /// The time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(self.process.now())
    }

    /// The time since it arrived.
    pub fn held(&self) -> Duration {
        self.process.now().saturating_duration_since(self.arrived)
    }

    /// Whether it may be sent to another upstream after one that may have run it.
    pub fn repeatable(&self) -> bool {
        self.route.repeat != Repeat::Never
    }

    /// The longest pause with which a stream is in time; none for whole answers.
    pub fn pause(&self) -> Option<Duration> {
        match self.route.shape {
            Shape::Events { pause } => Some(pause),
            Shape::Whole => None,
        }
    }

    /// Milliseconds of reading on one engine, if this is a long prompt.
    pub fn long_read_ms(&self, engine: &Engine) -> Option<f64> {
        placement::long_read_ms(engine, &self.route, self.terms.prompt, self.memory())
    }

    /// Memory for prompt and answer. A caller who tells no limit gets what answers usually take.
    fn memory(&self) -> Tokens {
        let usual = self.service.engine.as_ref().map_or(Tokens(0), |engine| engine.usual_answer);
        let most = if self.terms.most.0 > 0 { self.terms.most } else { usual };
        self.terms.prompt + most
    }

    /// What is asked of the upstreams.
    pub fn ask<'a>(&'a self, avoid: &'a [id::Upstream], turn: Option<u64>) -> Ask<'a> {
        Ask {
            service: &self.service.name,
            engine: self.service.engine.as_ref(),
            route: &self.route,
            prompt: self.terms.prompt,
            memory: self.memory(),
            hall: self.process.peers.in_cells().then_some(self.process.member.hall.as_str()),
            avoid,
            waited: self.held(),
            turn,
            hold_limit: self.process.config.fleet.held_silence(),
        }
    }
}
