//! Metrics of a fleet's VM, with units in their names.

use std::time::Duration;

use foldlock_base::error::Kind;
use foldlock_version::routes::Service;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::metrics::{ByKind, band};

/// The labels of an answered request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByLength {
    /// Whether a model answered, or a plain service.
    pub target: &'static str,
    /// The upper end of the band of prompt lengths.
    pub prompt_tokens: &'static str,
}

/// A call to the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Call {
    /// A look who is listed, which may be seconds old.
    Look,
    /// All that is listed is read.
    Read,
    /// Changes are waited for.
    Watch,
    /// Something is written.
    Write,
}

/// The label of a call to the directory.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByCall {
    /// The call.
    pub call: Call,
}

/// What is read from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Text {
    /// The settings.
    Settings,
    /// The listings.
    Listing,
}

/// The label of a read from a peer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByText {
    /// What is read.
    pub text: Text,
}

/// What is sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Sent {
    /// A request of a caller, whichever attempt it is.
    Request,
    /// A part of a prompt that another engine answers.
    Part,
    /// An order to set memory aside, renew it or give it back.
    Order,
}

/// The label of what is sent to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct BySent {
    /// What is sent.
    pub sent: Sent,
}

/// Outcome of a request for which upstreams were at their rate limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Limited {
    /// Placed at another upstream.
    Elsewhere,
    /// Rejected, since all upstreams were.
    Rejected,
}

/// The label of such an outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByLimited {
    /// The outcome.
    pub limited: Limited,
}

/// The label of a decision on a repeat.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByVerdict {
    /// Whether the budget granted it.
    pub granted: &'static str,
}

/// The metrics.
pub struct Metrics {
    registry: Registry,
    /// Requests that arrived.
    pub requests: Counter,
    /// Answers that are not a success, by kind.
    pub errors: Family<ByKind, Counter>,
    /// Seconds to the first event or whole answer.
    pub first: Family<ByLength, Histogram>,
    /// Predicted over real time to the first event.
    pub prediction: Histogram,
    /// Requests sent again.
    pub retries: Counter,
    /// Repeats that the fleet's retry budget granted or refused.
    pub budgeted: Family<ByVerdict, Counter>,
    /// Streams that went on elsewhere.
    pub resumed: Counter,
    /// Connections opened to upstreams.
    pub connections: Counter,
    /// Calls to the directory, by kind; a range of many pages is one.
    pub directory_calls: Family<ByCall, Counter>,
    /// Calls to the directory that failed.
    pub directory_failures: Counter,
    /// Messages sent to peers.
    pub beats: Counter,
    /// Bytes of the datagrams sent to peers.
    pub peer_bytes: Counter,
    /// Texts read from peers.
    pub peer_reads: Family<ByText, Counter>,
    /// Reports asked for at engines.
    pub reports: Counter,
    /// What else is sent to upstreams, by kind.
    pub upstream_messages: Family<BySent, Counter>,
    /// Times that the directory came back from an older copy of itself.
    pub restored: Counter,
    /// Requests for which upstreams were at their rate limits.
    pub rate_limited: Family<ByLimited, Counter>,
    /// Upstreams that name a rate limit.
    pub limited_upstreams: Gauge,
    /// Answers in which an upstream says of itself that it leaves, wants a rest or takes only so much.
    pub notices: Counter,
    /// Upstreams that ended under a request of this VM; one counts for each request.
    pub ended_under: Counter,
    /// Requests that were held since an upstream ended which they had to themselves.
    pub held: Counter,
    /// Requests that are held or run alone, as far as this VM knows.
    pub suspects: Gauge,
    /// Entries of the directory that name nothing to use, each version of one.
    pub unreadable: Counter,
    /// Data halls that are drained.
    pub drained_halls: Gauge,
    /// Answers given up since their callers read too slowly.
    pub given_up: Counter,
    /// Bytes of answers that callers have not read.
    pub unread: Gauge,
    /// Requests that wait for this VM to place them.
    pub line: Gauge,
    /// The settings version in force.
    pub version: Gauge,
    /// The age of the settings, ms.
    pub age_ms: Gauge,
    /// Attempts under way.
    pub flights: Gauge,
    /// Peers that are heard.
    pub peers: Gauge,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let seconds = || Histogram::new(exponential_buckets(0.005, 2.0, 14));
        let mut metrics = Metrics {
            registry: Registry::with_prefix("foldlock"),
            requests: Counter::default(),
            errors: Family::default(),
            first: Family::new_with_constructor(seconds),
            prediction: Histogram::new(exponential_buckets(0.0625, 1.414, 20)),
            retries: Counter::default(),
            budgeted: Family::default(),
            resumed: Counter::default(),
            connections: Counter::default(),
            directory_calls: Family::default(),
            directory_failures: Counter::default(),
            beats: Counter::default(),
            peer_bytes: Counter::default(),
            peer_reads: Family::default(),
            reports: Counter::default(),
            upstream_messages: Family::default(),
            restored: Counter::default(),
            rate_limited: Family::default(),
            limited_upstreams: Gauge::default(),
            notices: Counter::default(),
            ended_under: Counter::default(),
            held: Counter::default(),
            suspects: Gauge::default(),
            unreadable: Counter::default(),
            drained_halls: Gauge::default(),
            given_up: Counter::default(),
            unread: Gauge::default(),
            line: Gauge::default(),
            version: Gauge::default(),
            age_ms: Gauge::default(),
            flights: Gauge::default(),
            peers: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// A call to the directory begins.
    pub fn called(&self, call: Call) {
        self.directory_calls.get_or_create(&ByCall { call }).inc();
    }

    /// Calls to the directory of a kind.
    pub fn calls(&self, call: Call) -> u64 {
        self.directory_calls.get_or_create(&ByCall { call }).get()
    }

    /// Messages of a kind are sent to upstreams.
    pub fn sent(&self, sent: Sent, count: usize) {
        self.upstream_messages.get_or_create(&BySent { sent }).inc_by(count as u64);
    }

    /// Texts read from peers of a kind.
    pub fn reads(&self, text: Text) -> u64 {
        self.peer_reads.get_or_create(&ByText { text }).get()
    }

    /// A text is read from a peer.
    pub fn peer_read(&self, text: Text) {
        self.peer_reads.get_or_create(&ByText { text }).inc();
    }

    /// The budget has granted or refused a repeat.
    pub fn repeat_decided(&self, granted: bool) {
        let granted = if granted { "true" } else { "false" };
        self.budgeted.get_or_create(&ByVerdict { granted }).inc();
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests that arrived", self.requests.clone());
        r.register("errors", "Answers that are not a success", self.errors.clone());
        r.register("first_event_seconds", "Time to the first event", self.first.clone());
        r.register("prediction_ratio", "Predicted over real time", self.prediction.clone());
        r.register("retries", "Requests sent again", self.retries.clone());
        let what = "Repeats that the fleet's retry budget granted or refused";
        r.register("budgeted_repeats", what, self.budgeted.clone());
        r.register("resumed_streams", "Streams that went on elsewhere", self.resumed.clone());
        r.register("connections", "Connections opened to upstreams", self.connections.clone());
        r.register("directory_calls", "Calls to the directory", self.directory_calls.clone());
        r.register("directory_failures", "Failed calls to it", self.directory_failures.clone());
        r.register("peer_messages", "Messages sent to peers", self.beats.clone());
        let what = "Bytes of the datagrams sent to peers";
        r.register("peer_sent_bytes", what, self.peer_bytes.clone());
        r.register("peer_reads", "Texts read from peers", self.peer_reads.clone());
        r.register("engine_reports", "Reports asked for at engines", self.reports.clone());
        let what = "Requests, parts and orders sent to upstreams";
        r.register("upstream_messages", what, self.upstream_messages.clone());
        let what = "Times that the directory came back from an older copy";
        r.register("directory_restored", what, self.restored.clone());
        let what = "Requests for which upstreams were at their rate limits";
        r.register("rate_limited_requests", what, self.rate_limited.clone());
        let what = "Upstreams that name a rate limit";
        r.register("limited_upstreams", what, self.limited_upstreams.clone());
        let what = "Answers whose upstream says that it leaves, wants a rest or takes only so much";
        r.register("upstream_notices", what, self.notices.clone());
        let what = "Requests under which an upstream ended";
        r.register("upstream_endings", what, self.ended_under.clone());
        r.register("quarantined", "Requests kept from all upstreams", self.held.clone());
        r.register("suspects", "Requests that are held or run alone", self.suspects.clone());
        let what = "Entries of the directory that name nothing to use";
        r.register("unreadable_entries", what, self.unreadable.clone());
        r.register("drained_halls", "Data halls that are drained", self.drained_halls.clone());
        let what = "Answers given up since their callers read too slowly";
        r.register("answers_given_up", what, self.given_up.clone());
        r.register("unread_bytes", "Bytes that callers have not read", self.unread.clone());
        r.register("waiting", "Requests of all VMs that wait for a place here", self.line.clone());
        r.register("settings_version", "The settings version in force", self.version.clone());
        r.register("settings_age_ms", "Age of the settings", self.age_ms.clone());
        r.register("attempts", "Attempts under way", self.flights.clone());
        r.register("peers", "Peers that are heard", self.peers.clone());
    }

    /// Counts an answer that is not a success.
    pub fn error(&self, kind: Kind) {
        self.errors.get_or_create(&ByKind { kind: kind.as_str() }).inc();
    }

    /// Observes the time to the first event, or to a whole answer.
    pub fn answered(&self, service: &Service, prompt_tokens: u64, first: Duration) {
        let target = if service.engine.is_some() { "model" } else { "plain" };
        let labels = ByLength { target, prompt_tokens: band(prompt_tokens) };
        self.first.get_or_create(&labels).observe(first.as_secs_f64());
    }

    /// Observes a prediction against what came.
    pub fn predicted(&self, predicted_ms: f64, real: Duration) {
        let real_ms = real.as_secs_f64() * 1e3;
        if real_ms > 0.0 {
            self.prediction.observe(predicted_ms / real_ms);
        }
    }

    /// The metrics as text, in the OpenMetrics format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        let encoded = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        encoded.expect("strings take all text");
        text
    }
}
