//! The routing table of a settings version: which service a request is sent to, with which timeouts
//! and retries, and which organisation a key belongs to.
//!
//! A table is immutable. A process replaces its table only by one with a higher number.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use foldlock_base::prelude::*;

/// Whether requests of a route may be retried after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// A request may run any number of times.
    Safe,
    /// A request runs at most once.
    Never,
    /// A stream may be resumed at another upstream, after the last event that was delivered.
    Resume,
}

/// How the responses of a route are delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// As one body.
    Complete,
    /// As a stream of events.
    Streaming {
        /// Longest pause between two events that still meets the objective.
        max_pause: Duration,
    },
}

/// A service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// A route, for requests to a host whose path begins with a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: String,
    /// Host, in lower case.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether requests may be retried.
    pub retry: Retry,
    /// How responses are delivered.
    pub delivery: Delivery,
    /// Timeout of a request, from its arrival.
    pub timeout: Duration,
    /// Latency target for the response, or for the first event of a stream.
    pub objective: Duration,
    /// Longest time without an event of a stream, the first one included, after which callers
    /// disconnect; none if they wait until the timeout.
    pub patience: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that requests are sent to.
    pub targets: Vec<Target>,
    /// Maximum number of upstreams that a request is sent to.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
}

/// Performance figures of an engine, as stated by its operator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// Maximum number of requests that the engine processes at the same time.
    pub slots: u32,
    /// Memory capacity, in tokens of prompts and answers.
    pub memory: Tokens,
    /// Base duration of a decode step, which yields one token per decoding request, milliseconds.
    pub step_ms: f64,
    /// Milliseconds that each decoding request adds to a step.
    pub per_request_ms: f64,
    /// Milliseconds that 1,000 tokens of context of decoding requests add to a step.
    pub per_context_ms: f64,
    /// Prefill rate, prompt tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds of prefill per million pairs of a token and an earlier one (attention).
    pub ms_per_million_pairs: f64,
    /// Number of decode steps in a pass while any request is decoding.
    pub stride: u32,
    /// Maximum number of prompt tokens that are prefilled in one step.
    pub chunk: u32,
    /// Mean length of an answer, tokens.
    pub mean_answer: Tokens,
}

/// A service: a set of upstreams that run the same program.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Number of connections that one upstream accepts from all clients together.
    pub max_connections: u32,
    /// Performance figures of its engines, if this is a model service.
    pub engine: Option<Engine>,
    /// Requests per second that one upstream sustains while it is cold; none if a cold start makes
    /// no difference.
    pub cold_per_s: Option<f64>,
}

/// An organisation and its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: String,
    /// Priority, which is compared before that of the route.
    pub priority: u8,
}

/// Limits on the size and duration of what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum size of a request head, bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request head.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// The routing table of a settings version.
#[derive(Debug, Clone)]
pub struct Table {
    number: u64,
    bounds: Bounds,
    requires_key: bool,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<String, Arc<Service>>,
    organisations: Vec<Arc<Organisation>>,
    keys: HashMap<String, usize>,
}

impl Table {
    /// Returns a [`Builder`] of a table with this version number.
    pub fn builder(number: u64, bounds: Bounds) -> Builder {
        Builder(Table {
            number,
            bounds,
            requires_key: false,
            hosts: HashMap::new(),
            services: HashMap::new(),
            organisations: Vec::new(),
            keys: HashMap::new(),
        })
    }

    /// Number of the settings version.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Limits on what callers send.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// The route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Whether requests need an API key, except on public routes.
    pub fn requires_key(&self) -> bool {
        self.requires_key
    }

    /// All organisations, in the order of the settings.
    pub fn organisations(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.organisations.iter()
    }

    /// The organisation that a key belongs to.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key).map(|index| &self.organisations[*index])
    }
}

/// Builder of a [`Table`].
pub struct Builder(Table);

impl Builder {
    /// Adds a route.
    pub fn route(mut self, mut route: Route) -> Builder {
        route.host.make_ascii_lowercase();
        self.0.hosts.entry(route.host.clone()).or_default().push(Arc::new(route));
        self
    }

    /// Adds a service.
    pub fn service(mut self, service: Service) -> Builder {
        self.0.services.insert(service.name.clone(), Arc::new(service));
        self
    }

    /// Requires keys, also while there is no organisation that has one.
    pub fn require_keys(mut self) -> Builder {
        self.0.requires_key = true;
        self
    }

    /// Adds an organisation with its keys. A table with an organisation requires keys.
    pub fn organisation(
        mut self,
        organisation: Organisation,
        keys: impl IntoIterator<Item = String>,
    ) -> Builder {
        let index = self.0.organisations.len();
        self.0.keys.extend(keys.into_iter().map(|key| (key, index)));
        self.0.organisations.push(Arc::new(organisation));
        self.require_keys()
    }

    /// Builds the table.
    pub fn build(mut self) -> Table {
        for routes in self.0.hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        self.0
    }
}
