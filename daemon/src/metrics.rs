//! Metrics, with units in their names.

use foldlock_base::error::Kind;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// The label of an organisation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByOrganisation {
    /// The organisation.
    pub organisation: String,
}

/// The label of an error kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByKind {
    /// The kind.
    pub kind: &'static str,
}

/// The label of a band of prompt lengths.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByLength {
    /// The band's upper end, tokens.
    pub prompt_tokens: &'static str,
}

/// The metrics of a process.
pub struct Metrics {
    registry: Registry,
    /// Requests that arrived.
    pub requests: Family<ByOrganisation, Counter>,
    /// Answers that are not a success.
    pub errors: Family<ByKind, Counter>,
    /// Tokens sent to callers.
    pub tokens: Counter,
    /// Streams open to callers.
    pub streams: Gauge,
    /// Seconds to the first token, by prompt length.
    pub first_token: Family<ByLength, Histogram>,
    /// Predicted over real time to the first token.
    pub prediction: Histogram,
    /// Requests sent again.
    pub retries: Counter,
    /// Answers that went on elsewhere.
    pub resumed: Counter,
    /// Bytes sent and received between VMs, estimated from messages.
    pub peer_calls: Counter,
    /// The settings version in force.
    pub version: Gauge,
}

fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(0.005, 2.0, 16))
}

fn ratio() -> Histogram {
    Histogram::new(exponential_buckets(0.0625, 1.414, 20))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut m = Metrics {
            registry: Registry::with_prefix("foldlock"),
            requests: Family::default(),
            errors: Family::default(),
            tokens: Counter::default(),
            streams: Gauge::default(),
            first_token: Family::new_with_constructor(seconds),
            prediction: ratio(),
            retries: Counter::default(),
            resumed: Counter::default(),
            peer_calls: Counter::default(),
            version: Gauge::default(),
        };
        m.register();
        m
    }
}

impl Metrics {
    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests that arrived", self.requests.clone());
        r.register("errors", "Answers that are not a success", self.errors.clone());
        r.register("answer_tokens", "Tokens sent to callers", self.tokens.clone());
        r.register("open_streams", "Streams open to callers", self.streams.clone());
        r.register(
            "first_token_seconds",
            "Time from arrival to the first token",
            self.first_token.clone(),
        );
        r.register(
            "prediction_ratio",
            "Predicted over real time to the first token",
            self.prediction.clone(),
        );
        r.register("retries", "Requests sent again", self.retries.clone());
        r.register("resumed_answers", "Answers that went on elsewhere", self.resumed.clone());
        r.register("peer_calls", "Calls between VMs", self.peer_calls.clone());
        r.register("settings_version", "The settings version in force", self.version.clone());
    }

    /// Counts an answer that is not a success.
    pub fn error(&self, kind: Kind) {
        self.errors.get_or_create(&ByKind { kind: kind.as_str() }).inc();
    }

    /// Observes a time to the first token.
    pub fn first_token(&self, prompt_tokens: u64, seconds: f64) {
        let band = ByLength { prompt_tokens: band(prompt_tokens) };
        self.first_token.get_or_create(&band).observe(seconds);
    }

    /// The metrics as text, in the OpenMetrics format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        let encoded = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        encoded.expect("strings take all text");
        text
    }
}

/// The band of prompt lengths that the users measure by.
pub fn band(prompt_tokens: u64) -> &'static str {
    match prompt_tokens {
        0..=4_000 => "4k",
        4_001..=32_000 => "32k",
        32_001..=100_000 => "100k",
        100_001..=400_000 => "400k",
        _ => "more",
    }
}
