//! The routing table of a settings version: which service a request goes to, under which terms,
//! and which organisation a key belongs to.
//!
//! A table is read whole and never changed; processes only ever move to a table with a higher
//! number.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use foldlock_base::prelude::*;

/// What may be done with a request of a route when an attempt has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retry {
    /// It may run any number of times.
    Safe,
    /// It runs at most once for each request of a caller.
    Never,
    /// Its stream may go on at another upstream after the last event that was delivered.
    Resume,
}

/// How a route's answers are shaped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// One body.
    Complete,
    /// A stream of events.
    Streaming {
        /// The longest pause between two events with which an answer is still in time.
        max_pause: Duration,
    },
}

/// A service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service's name.
    pub service: String,
    /// Its share, relative to the other targets.
    pub weight: u32,
}

/// A route: requests to a host whose path begins with a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The prefix, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub retry: Retry,
    /// How answers look.
    pub delivery: Delivery,
    /// The longest that a request may be held.
    pub timeout: Duration,
    /// The time within which an answer (a stream's first event) is wanted.
    pub objective: Duration,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// Where requests go.
    pub targets: Vec<Target>,
    /// The most upstreams that one request is sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// An engine's figures, as its operator states them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Engine {
    /// Requests that it works on at once.
    pub slots: u32,
    /// Its memory, in tokens of prompt and answer.
    pub memory: Tokens,
    /// Milliseconds of a step that yields one token for each request that writes.
    pub step_ms: f64,
    /// Milliseconds that each writing request adds to a step.
    pub per_request_ms: f64,
    /// Milliseconds that 1,000 tokens of context of a writing request add to a step.
    pub per_context_ms: f64,
    /// Prompt tokens read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds for a million pairs of a token and an earlier one.
    pub ms_per_million_pairs: f64,
    /// Steps in one pass while some request writes.
    pub stride: u32,
    /// Prompt tokens that one step reads at most.
    pub chunk: u32,
    /// The mean answer, in tokens.
    pub mean_answer: Tokens,
}

/// A service: the upstreams that run the same program.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that one upstream accepts from all callers together.
    pub connections: u32,
    /// The figures of its engines, where it is a model service.
    pub engine: Option<Engine>,
    /// Requests a second that one of its upstreams bears while it is cold; none where it does not matter.
    pub cold_per_s: Option<f64>,
}

/// An organisation and its keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// Its rank, before the route's.
    pub priority: u8,
}

/// What callers may send and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// The longest head of a request, bytes.
    pub header_bytes: usize,
    /// The longest body, bytes.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub header_time: Duration,
    /// How long a connection may rest between requests.
    pub idle_time: Duration,
}

/// The whole table of one settings version.
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
    /// Starts a table with this number; see [`Builder`].
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

    /// The version's number.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The bounds on callers.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// The route with the longest prefix that begins `path`, among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// All routes, in no order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Whether requests need a key, except on public routes.
    pub fn requires_key(&self) -> bool {
        self.requires_key
    }

    /// The organisation that holds a key.
    pub fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.keys.get(key).map(|index| &self.organisations[*index])
    }
}

/// Puts a [`Table`] together.
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

    /// Adds an organisation with its keys. From then on requests need a key.
    pub fn organisation(
        mut self,
        organisation: Organisation,
        keys: impl IntoIterator<Item = String>,
    ) -> Builder {
        let index = self.0.organisations.len();
        self.0.keys.extend(keys.into_iter().map(|key| (key, index)));
        self.0.organisations.push(Arc::new(organisation));
        self.0.requires_key = true;
        self
    }

    /// The table.
    pub fn build(mut self) -> Table {
        for routes in self.0.hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        self.0
    }
}
