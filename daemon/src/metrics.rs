//! Prometheus metrics; their names include the unit.

use foldlock_base::error::Kind;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Label: organisation.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByOrganisation {
    /// Id of the organisation.
    pub organisation: String,
}

/// Label: kind of error.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByKind {
    /// The kind, as in the body of the response.
    pub kind: &'static str,
}

/// Label: band of prompt lengths.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByLength {
    /// Upper bound of the band, in tokens.
    pub prompt_tokens: &'static str,
}

/// How the silence of an engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Silence {
    /// The engine sent events again.
    Continued,
    /// Another engine went on with the answer.
    Resumed,
    /// The answer failed.
    Failed,
}

/// Label: how the silence of an engine ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct BySilence {
    /// How it ended.
    pub ended: Silence,
}

/// Metrics of the process.
pub struct Metrics {
    registry: Registry,
    /// Number of requests received.
    pub requests: Family<ByOrganisation, Counter>,
    /// Number of error responses.
    pub errors: Family<ByKind, Counter>,
    /// Number of tokens sent to callers.
    pub answer_tokens: Counter,
    /// Number of open streams to callers.
    pub open_streams: Gauge,
    /// Time to first token in seconds, by prompt length.
    pub first_token_seconds: Family<ByLength, Histogram>,
    /// Predicted over actual time to first token.
    pub prediction_ratio: Histogram,
    /// Number of retries.
    pub retries: Counter,
    /// Number of answers resumed on another upstream.
    pub resumed_answers: Counter,
    /// Silences of engines for which another engine was considered, by how they ended.
    pub silences: Family<BySilence, Counter>,
    /// Number of calls to peers.
    pub peer_calls: Counter,
    /// Number of the settings version in force.
    pub settings_version: Gauge,
}

fn seconds_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.005, 2.0, 16))
}

fn ratio_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.0625, 1.414, 20))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut m = Metrics {
            registry: Registry::with_prefix("foldlock"),
            requests: Family::default(),
            errors: Family::default(),
            answer_tokens: Counter::default(),
            open_streams: Gauge::default(),
            first_token_seconds: Family::new_with_constructor(seconds_histogram),
            prediction_ratio: ratio_histogram(),
            retries: Counter::default(),
            resumed_answers: Counter::default(),
            silences: Family::default(),
            peer_calls: Counter::default(),
            settings_version: Gauge::default(),
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
        r.register("answer_tokens", "Tokens sent to callers", self.answer_tokens.clone());
        r.register("open_streams", "Streams open to callers", self.open_streams.clone());
        r.register(
            "first_token_seconds",
            "Time from arrival to the first token",
            self.first_token_seconds.clone(),
        );
        r.register(
            "prediction_ratio",
            "Predicted over real time to the first token",
            self.prediction_ratio.clone(),
        );
        r.register("retries", "Requests sent again", self.retries.clone());
        r.register(
            "resumed_answers",
            "Answers that went on elsewhere",
            self.resumed_answers.clone(),
        );
        r.register("silences", "Silences of engines, by how they ended", self.silences.clone());
        r.register("peer_calls", "Calls between VMs", self.peer_calls.clone());
        r.register(
            "settings_version",
            "The settings version in force",
            self.settings_version.clone(),
        );
    }

    /// Counts an error response.
    pub fn count_error(&self, kind: Kind) {
        self.errors.get_or_create(&ByKind { kind: kind.as_str() }).inc();
    }

    /// Counts a silence of an engine.
    pub fn count_silence(&self, ended: Silence) {
        self.silences.get_or_create(&BySilence { ended }).inc();
    }

    /// Observes a time to first token.
    pub fn observe_first_token(&self, prompt_tokens: u64, seconds: f64) {
        let band = ByLength { prompt_tokens: band(prompt_tokens) };
        self.first_token_seconds.get_or_create(&band).observe(seconds);
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        let encoded = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        encoded.expect("strings take all text");
        text
    }
}

/// The band of a prompt length. The bands are those by which users specify latency.
pub fn band(prompt_tokens: u64) -> &'static str {
    match prompt_tokens {
        0..=4_000 => "4k",
        4_001..=32_000 => "32k",
        32_001..=100_000 => "100k",
        100_001..=400_000 => "400k",
        _ => "more",
    }
}
