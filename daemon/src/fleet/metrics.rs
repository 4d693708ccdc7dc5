//! Metrics of a VM in a fleet, with units in their names.

use std::time::Duration;

use foldlock_base::error::Kind;
use foldlock_request::evidence::{Doubt, Reason};
use foldlock_request::liveness::{Ending, Reply};
use foldlock_request::scheduler::{Counts, Promises, Scheduler, forecast};
use foldlock_version::routes::Service;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::metrics::{ByKind, band};

/// Labels of a request with a response.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByLength {
    /// `model` if the service has an engine, otherwise `plain`.
    pub target: &'static str,
    /// Upper end of the band of prompt lengths.
    pub prompt_tokens: &'static str,
}

/// A call to the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Call {
    /// Reads the listed VMs; the response may be seconds old.
    Look,
    /// Reads all listings.
    Read,
    /// Waits for changes.
    Watch,
    /// Writes an entry.
    Write,
}

/// Label of a call to the directory.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByCall {
    /// The call.
    pub call: Call,
}

/// A document that is read from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Text {
    /// The settings.
    Settings,
    /// The listings.
    Listing,
}

/// Label of a read from a peer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByText {
    /// The document.
    pub text: Text,
}

/// A message to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Sent {
    /// A request of a caller, first attempt or retry.
    Request,
    /// A prefill part of a prompt whose response another engine generates.
    Part,
    /// An order that reserves memory, renews a reservation or releases it.
    Order,
}

/// Label of a message to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct BySent {
    /// The kind of message.
    pub sent: Sent,
}

/// A step from the start of the process to the first request that it can serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Step {
    /// Settings are in force.
    Settings,
    /// The settings are confirmed as the newest ones.
    Confirmed,
    /// The listings have been received.
    Listings,
    /// The first VM in the order has replied, or has not replied in time.
    Scheduler,
}

/// Label of a step of the start.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByStep {
    /// The step.
    pub step: Step,
}

/// Outcome of a request when upstreams were at their rate limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Limited {
    /// Sent to another upstream.
    Elsewhere,
    /// Rejected because all upstreams were at their rate limits.
    Rejected,
}

/// Label of an outcome under rate limits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByLimited {
    /// The outcome.
    pub limited: Limited,
}

/// Labels of report requests about the main engine of an attempt that sends nothing.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByReply {
    /// The result.
    pub reply: &'static str,
}

/// Label of an attempt that ended since its main engine counted as crashed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByEnding {
    /// Why it counted as crashed.
    pub ending: &'static str,
}

/// Label of a report request that evidence gave reason for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByReason {
    /// Why the engine was asked.
    pub reason: &'static str,
}

/// Label of an engine that came into doubt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByDoubt {
    /// The first sign of a fault.
    pub doubt: &'static str,
}

/// Label of a decision on a retry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByVerdict {
    /// Whether the retry budget granted it.
    pub granted: &'static str,
}

/// Labels of a forecast start.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByStart {
    /// The kind of request.
    pub kind: &'static str,
    /// `late` if it started later than forecast, otherwise `early`.
    pub start: &'static str,
}

/// Outcome of a promised return time of a rejected caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Promised {
    /// Promised.
    Made,
    /// Not promised, as no time was free.
    Declined,
    /// The caller returned in time.
    Redeemed,
    /// The caller did not return in time.
    Expired,
}

/// Label of an outcome of a promise.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByPromised {
    /// The outcome.
    pub promised: Promised,
}

/// Labels of a decision of the scheduler by a forecast.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByDecision {
    /// The outcome.
    pub outcome: &'static str,
    /// The kind of request.
    pub kind: &'static str,
}

/// The metrics.
pub struct Metrics {
    registry: Registry,
    /// Requests that arrived.
    pub requests: Counter,
    /// Error responses by kind.
    pub errors: Family<ByKind, Counter>,
    /// Seconds to the first event or the complete response.
    pub first_event_seconds: Family<ByLength, Histogram>,
    /// Predicted divided by measured time to the first event.
    pub prediction_ratio: Histogram,
    /// Seconds between the forecast and the actual start of queued requests.
    pub forecast_error_seconds: Family<ByStart, Histogram>,
    /// Retries.
    pub retries: Counter,
    /// Retries that the fleet's retry budget granted or denied.
    pub budgeted_retries: Family<ByVerdict, Counter>,
    /// Report requests about main engines that send nothing while memory is reserved.
    pub liveness_replies: Family<ByReply, Counter>,
    /// Attempts that ended since their main engine counted as crashed by its reports.
    pub liveness_endings: Family<ByEnding, Counter>,
    /// Report requests that this VM decided on as the scheduler, by reason, where evidence decides.
    pub report_requests: Family<ByReason, Counter>,
    /// Engines that came into doubt by attempts, as decided by this VM as the scheduler.
    pub engine_doubts: Family<ByDoubt, Counter>,
    /// Streams resumed at another upstream.
    pub resumed_streams: Counter,
    /// Connections opened to upstreams.
    pub connections: Counter,
    /// Calls to the directory by kind. A range of several pages counts as one.
    pub directory_calls: Family<ByCall, Counter>,
    /// Calls to the directory that failed.
    pub directory_failures: Counter,
    /// Heartbeats sent to peers.
    pub heartbeats: Counter,
    /// Bytes of the datagrams sent to peers.
    pub peer_bytes: Counter,
    /// Documents read from peers.
    pub peer_reads: Family<ByText, Counter>,
    /// Seconds from the start of the process to the first completion of each step.
    pub startup_seconds: Family<ByStep, Histogram>,
    /// Requests that waited for a step of the start.
    pub startup_waits: Family<ByStep, Counter>,
    /// Reports requested from engines.
    pub engine_reports: Counter,
    /// Other messages to upstreams by kind.
    pub upstream_messages: Family<BySent, Counter>,
    /// Times that the directory was restored from an older copy.
    pub directory_restores: Counter,
    /// Requests for which upstreams were at their rate limits, by outcome.
    pub rate_limited: Family<ByLimited, Counter>,
    /// Upstreams with a rate limit.
    pub limited_upstreams: Gauge,
    /// Responses in which an upstream announces that it is leaving, requests a backoff or sets a rate limit.
    pub upstream_notices: Counter,
    /// Crashes of upstreams during requests of this VM, counted once for each request.
    pub crashes: Counter,
    /// Requests that were quarantined after a solo crash.
    pub quarantined: Counter,
    /// Requests that are quarantined or run isolated, as recorded on this VM.
    pub suspects: Gauge,
    /// Directory entries that cannot be decoded; each version of an entry counts.
    pub unreadable_entries: Counter,
    /// Data halls that are drained.
    pub drained_halls: Gauge,
    /// Responses aborted because their callers read too slowly.
    pub aborted_responses: Counter,
    /// Response bytes that callers have not read.
    pub unread_bytes: Gauge,
    /// Requests aborted because all bodies exceeded their bound.
    pub aborted_requests: Counter,
    /// Bodies dropped for the same reason whose requests continued without retries.
    pub released_bodies: Counter,
    /// Bytes of request bodies that are held for upstreams, and of responses that are collected.
    pub unsent_bytes: Gauge,
    /// Requests queued at this VM's scheduler.
    pub queue_len: Gauge,
    /// Promised return times of rejected callers at this VM's scheduler, by outcome.
    pub promises: Family<ByPromised, Counter>,
    /// Promised return times that this VM's scheduler stores, including those announced by peers.
    pub stored_promises: Gauge,
    /// Decisions by forecasts of this VM's scheduler.
    pub decisions: Family<ByDecision, Counter>,
    /// Engines that this VM's scheduler keeps free of long prompts.
    pub kept_engines: Gauge,
    /// Settings version in force.
    pub settings_version: Gauge,
    /// Age of the settings, ms; -1 before they are first confirmed.
    pub settings_age_ms: Gauge,
    /// In-flight attempts of this VM.
    pub attempts: Gauge,
    /// Peers that are up and not leaving.
    pub peers: Gauge,
}

impl Default for Metrics {
    fn default() -> Metrics {
        let seconds = || Histogram::new(exponential_buckets(0.005, 2.0, 14));
        let mut metrics = Metrics {
            registry: Registry::with_prefix("foldlock"),
            requests: Counter::default(),
            errors: Family::default(),
            first_event_seconds: Family::new_with_constructor(seconds),
            prediction_ratio: Histogram::new(exponential_buckets(0.0625, 1.414, 20)),
            forecast_error_seconds: Family::new_with_constructor(seconds),
            retries: Counter::default(),
            budgeted_retries: Family::default(),
            liveness_replies: Family::default(),
            liveness_endings: Family::default(),
            report_requests: Family::default(),
            engine_doubts: Family::default(),
            resumed_streams: Counter::default(),
            connections: Counter::default(),
            directory_calls: Family::default(),
            directory_failures: Counter::default(),
            heartbeats: Counter::default(),
            peer_bytes: Counter::default(),
            peer_reads: Family::default(),
            startup_seconds: Family::new_with_constructor(seconds),
            startup_waits: Family::default(),
            engine_reports: Counter::default(),
            upstream_messages: Family::default(),
            directory_restores: Counter::default(),
            rate_limited: Family::default(),
            limited_upstreams: Gauge::default(),
            upstream_notices: Counter::default(),
            crashes: Counter::default(),
            quarantined: Counter::default(),
            suspects: Gauge::default(),
            unreadable_entries: Counter::default(),
            drained_halls: Gauge::default(),
            aborted_responses: Counter::default(),
            unread_bytes: Gauge::default(),
            aborted_requests: Counter::default(),
            released_bodies: Counter::default(),
            unsent_bytes: Gauge::default(),
            queue_len: Gauge::default(),
            promises: Family::default(),
            stored_promises: Gauge::default(),
            decisions: Family::default(),
            kept_engines: Gauge::default(),
            settings_version: Gauge::default(),
            settings_age_ms: Gauge::default(),
            attempts: Gauge::default(),
            peers: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// Counts a call to the directory.
    pub fn count_directory_call(&self, call: Call) {
        self.directory_calls.get_or_create(&ByCall { call }).inc();
    }

    /// Returns the number of calls of a kind to the directory.
    pub fn directory_call_count(&self, call: Call) -> u64 {
        self.directory_calls.get_or_create(&ByCall { call }).get()
    }

    /// Counts messages of a kind to upstreams.
    pub fn count_upstream_messages(&self, sent: Sent, count: usize) {
        self.upstream_messages.get_or_create(&BySent { sent }).inc_by(count as u64);
    }

    /// Returns the number of documents of a kind read from peers.
    pub fn peer_read_count(&self, text: Text) -> u64 {
        self.peer_reads.get_or_create(&ByText { text }).get()
    }

    /// Counts a document read from a peer.
    pub fn count_peer_read(&self, text: Text) {
        self.peer_reads.get_or_create(&ByText { text }).inc();
    }

    /// Counts a report request about a main engine that sends nothing.
    pub fn count_liveness_reply(&self, reply: Reply) {
        self.liveness_replies.get_or_create(&ByReply { reply: reply.as_str() }).inc();
    }

    /// Counts an attempt that ended since its main engine counted as crashed.
    pub fn count_liveness_ending(&self, ending: Ending) {
        self.liveness_endings.get_or_create(&ByEnding { ending: ending.as_str() }).inc();
    }

    /// Counts a report request that evidence gave reason for.
    pub fn count_report_request(&self, reason: Reason) {
        self.report_requests.get_or_create(&ByReason { reason: reason.as_str() }).inc();
    }

    /// Counts an engine that came into doubt.
    pub fn count_doubt(&self, doubt: Doubt) {
        self.engine_doubts.get_or_create(&ByDoubt { doubt: doubt.as_str() }).inc();
    }

    /// Counts a request that waits for a step of the start.
    pub fn count_startup_wait(&self, step: Step) {
        self.startup_waits.get_or_create(&ByStep { step }).inc();
    }

    /// Observes the time from the start of the process to a step.
    pub fn observe_startup(&self, step: Step, since_start: Duration) {
        self.startup_seconds.get_or_create(&ByStep { step }).observe(since_start.as_secs_f64());
    }

    /// Counts a retry that the retry budget granted or denied.
    pub fn count_retry_decision(&self, granted: bool) {
        let granted = if granted { "true" } else { "false" };
        self.budgeted_retries.get_or_create(&ByVerdict { granted }).inc();
    }

    /// Updates the metrics of promises to the counts of the scheduler.
    pub fn update_promises(&self, promises: &Promises) {
        let Counts { made, declined, redeemed, expired } = promises.counts();
        for (promised, count) in [
            (Promised::Made, made),
            (Promised::Declined, declined),
            (Promised::Redeemed, redeemed),
            (Promised::Expired, expired),
        ] {
            let counter = self.promises.get_or_create(&ByPromised { promised });
            counter.inc_by(count.saturating_sub(counter.get()));
        }
        self.stored_promises.set(promises.len() as i64);
    }

    /// Updates the metrics of decisions by forecasts to the counts of the scheduler.
    pub fn update_decisions(&self, scheduler: &Scheduler) {
        for (outcome, kind, count) in scheduler.decision_counts() {
            let labels = ByDecision { outcome: outcome.as_str(), kind: kind.as_str() };
            let counter = self.decisions.get_or_create(&labels);
            counter.inc_by(count.saturating_sub(counter.get()));
        }
        self.kept_engines.set(scheduler.kept_engines() as i64);
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests", "Requests that arrived", self.requests.clone());
        r.register("errors", "Answers that are not a success", self.errors.clone());
        r.register(
            "first_event_seconds",
            "Time to the first event",
            self.first_event_seconds.clone(),
        );
        r.register("prediction_ratio", "Predicted over real time", self.prediction_ratio.clone());
        let what = "Time between forecast and actual start of queued requests";
        r.register("forecast_error_seconds", what, self.forecast_error_seconds.clone());
        r.register("retries", "Requests sent again", self.retries.clone());
        let what = "Repeats that the fleet's retry budget granted or refused";
        r.register("budgeted_repeats", what, self.budgeted_retries.clone());
        r.register(
            "resumed_streams",
            "Streams that went on elsewhere",
            self.resumed_streams.clone(),
        );
        r.register("connections", "Connections opened to upstreams", self.connections.clone());
        r.register("directory_calls", "Calls to the directory", self.directory_calls.clone());
        r.register("directory_failures", "Failed calls to it", self.directory_failures.clone());
        r.register("peer_messages", "Messages sent to peers", self.heartbeats.clone());
        let what = "Bytes of the datagrams sent to peers";
        r.register("peer_sent_bytes", what, self.peer_bytes.clone());
        r.register("peer_reads", "Texts read from peers", self.peer_reads.clone());
        let what = "Time from the start of the process to each step of it";
        r.register("startup_seconds", what, self.startup_seconds.clone());
        let what = "Requests that waited for a step of the start";
        r.register("startup_waits", what, self.startup_waits.clone());
        r.register("engine_reports", "Reports asked for at engines", self.engine_reports.clone());
        let what = "Report requests about engines that send nothing while memory is reserved";
        r.register("liveness_replies", what, self.liveness_replies.clone());
        let what =
            "Attempts that ended since the reports of their engine did not show that it is alive";
        r.register("liveness_endings", what, self.liveness_endings.clone());
        let what = "Report requests of the scheduler by reason, where evidence decides on them";
        r.register("report_requests", what, self.report_requests.clone());
        let what = "Engines that attempts put in doubt, by the first sign of a fault";
        r.register("engine_doubts", what, self.engine_doubts.clone());
        let what = "Requests, parts and orders sent to upstreams";
        r.register("upstream_messages", what, self.upstream_messages.clone());
        let what = "Times that the directory came back from an older copy";
        r.register("directory_restored", what, self.directory_restores.clone());
        let what = "Requests for which upstreams were at their rate limits";
        r.register("rate_limited_requests", what, self.rate_limited.clone());
        let what = "Upstreams that name a rate limit";
        r.register("limited_upstreams", what, self.limited_upstreams.clone());
        let what = "Answers whose upstream says that it leaves, wants a rest or takes only so much";
        r.register("upstream_notices", what, self.upstream_notices.clone());
        let what = "Requests under which an upstream ended";
        r.register("upstream_endings", what, self.crashes.clone());
        r.register("quarantined", "Requests kept from all upstreams", self.quarantined.clone());
        r.register("suspects", "Requests that are held or run alone", self.suspects.clone());
        let what = "Entries of the directory that name nothing to use";
        r.register("unreadable_entries", what, self.unreadable_entries.clone());
        r.register("drained_halls", "Data halls that are drained", self.drained_halls.clone());
        let what = "Answers given up since their callers read too slowly";
        r.register("answers_given_up", what, self.aborted_responses.clone());
        r.register("unread_bytes", "Bytes that callers have not read", self.unread_bytes.clone());
        let what = "Requests aborted since bodies of requests and responses used too much memory";
        r.register("aborted_requests", what, self.aborted_requests.clone());
        let what =
            "Request bodies dropped since bodies used too much memory, of requests that went on";
        r.register("released_bodies", what, self.released_bodies.clone());
        let what =
            "Bytes of request bodies held for upstreams, and of responses that are collected";
        r.register("unsent_bytes", what, self.unsent_bytes.clone());
        r.register(
            "waiting",
            "Requests of all VMs that wait for a place here",
            self.queue_len.clone(),
        );
        let what = "Times for rejected callers to return that were promised, not promised, kept or passed unused";
        r.register("promises", what, self.promises.clone());
        let what = "Promised times that the scheduler of this VM stores";
        r.register("stored_promises", what, self.stored_promises.clone());
        let what = "Decisions of this VM's scheduler by forecasts";
        r.register("scheduler_decisions", what, self.decisions.clone());
        let what = "Engines that this VM's scheduler keeps free of long prompts";
        r.register("kept_engines", what, self.kept_engines.clone());
        r.register(
            "settings_version",
            "The settings version in force",
            self.settings_version.clone(),
        );
        r.register("settings_age_ms", "Age of the settings", self.settings_age_ms.clone());
        r.register("attempts", "Attempts under way", self.attempts.clone());
        r.register("peers", "Peers that are heard", self.peers.clone());
    }

    /// Counts an error response.
    pub fn count_error(&self, kind: Kind) {
        self.errors.get_or_create(&ByKind { kind: kind.as_str() }).inc();
    }

    /// Observes the time to the first event or the complete response.
    pub fn observe_response(&self, service: &Service, prompt_tokens: u64, first: Duration) {
        let target = if service.engine.is_some() { "model" } else { "plain" };
        let labels = ByLength { target, prompt_tokens: band(prompt_tokens) };
        self.first_event_seconds.get_or_create(&labels).observe(first.as_secs_f64());
    }

    /// Observes the predicted relative to the measured time to the first event.
    pub fn observe_prediction(&self, predicted_ms: f64, real: Duration) {
        let real_ms = real.as_secs_f64() * 1e3;
        if real_ms > 0.0 {
            self.prediction_ratio.observe(predicted_ms / real_ms);
        }
    }

    /// Observes the forecast relative to the actual start of a queued request.
    pub fn observe_forecast(&self, error: forecast::Error) {
        let start = if error.is_late() { "late" } else { "early" };
        let labels = ByStart { kind: error.kind.as_str(), start };
        let difference = error.difference().as_secs_f64();
        self.forecast_error_seconds.get_or_create(&labels).observe(difference);
    }

    /// Encodes the metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        let encoded = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        encoded.expect("writing to a string cannot fail");
        text
    }
}
