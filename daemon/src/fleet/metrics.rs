//! Metrics of a VM in a fleet, with units in their names.

mod labels;
mod registration;
mod silences;

use std::time::Duration;

use foldlock_base::error::Kind;
use foldlock_request::budget::Charge;
use foldlock_request::evidence::{Doubt, Reason};
use foldlock_request::liveness::{Ending, Reply};
use foldlock_request::scheduler::{Counts, Promises, Scheduler, forecast};
use foldlock_version::routes::Service;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::metrics::{ByKind, band};
pub use labels::{
    ByCall, ByDecision, ByDoubt, ByEnding, ByLength, ByLimited, ByPromised, ByReason, ByReply,
    BySent, BySilence, ByStart, ByStep, ByText, ByTunnel, ByVerdict, Call, Limited, Phase,
    Promised, Sent, Silence, Step, Text, TunnelResult,
};
pub use silences::OpenSilence;

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
    /// Those among them that run beside a silent attempt.
    pub budgeted_hedges: Family<ByVerdict, Counter>,
    /// Report requests about main engines that send nothing while memory is reserved.
    pub liveness_replies: Family<ByReply, Counter>,
    /// Attempts that ended since their main engine counted as crashed by its reports.
    pub liveness_endings: Family<ByEnding, Counter>,
    /// Report requests that this VM decided on as the scheduler, by reason, where evidence decides.
    pub report_requests: Family<ByReason, Counter>,
    /// Engines that came into doubt by attempts, as decided by this VM as the scheduler.
    pub engine_doubts: Family<ByDoubt, Counter>,
    /// Placements at upstreams that have failed recently, since no others have room.
    pub suspected_placements: Counter,
    /// Streams resumed at another upstream.
    pub resumed_streams: Counter,
    /// Silences of upstreams, by what was expected of them and how they ended.
    pub silences: Family<BySilence, Counter>,
    /// Connections opened to upstreams.
    pub connections: Counter,
    /// Requests for tunnels to upstreams through peers.
    pub tunnels: Family<ByTunnel, Counter>,
    /// Tunnels that this VM carries for peers.
    pub carried_tunnels: Gauge,
    /// Groups of upstreams (service, data hall) that this VM cannot connect to while peers can.
    pub partitions: Gauge,
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
    /// Tasks that were started again after a panic.
    pub restarted_tasks: Counter,
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
            budgeted_hedges: Family::default(),
            liveness_replies: Family::default(),
            liveness_endings: Family::default(),
            report_requests: Family::default(),
            engine_doubts: Family::default(),
            suspected_placements: Counter::default(),
            resumed_streams: Counter::default(),
            silences: Family::default(),
            connections: Counter::default(),
            tunnels: Family::default(),
            carried_tunnels: Gauge::default(),
            partitions: Gauge::default(),
            directory_calls: Family::default(),
            directory_failures: Counter::default(),
            heartbeats: Counter::default(),
            peer_bytes: Counter::default(),
            peer_reads: Family::default(),
            startup_seconds: Family::new_with_constructor(seconds),
            startup_waits: Family::default(),
            engine_reports: Counter::default(),
            upstream_messages: Family::default(),
            restarted_tasks: Counter::default(),
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
    pub fn count_retry_decision(&self, charge: Charge, granted: bool) {
        let granted = if granted { "true" } else { "false" };
        self.budgeted_retries.get_or_create(&ByVerdict { granted }).inc();
        if charge == Charge::Hedge {
            self.budgeted_hedges.get_or_create(&ByVerdict { granted }).inc();
        }
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
