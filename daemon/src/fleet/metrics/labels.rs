//! Labels of the metrics.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};

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
    /// Reads the settings.
    Settings,
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

/// How a peer responded to a request for a tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum TunnelResult {
    /// It reaches the upstream.
    Opened,
    /// It does not reach the upstream either.
    Unreachable,
    /// It does not reach the upstream, and may have lost its own path.
    Unknown,
    /// It did not respond, or carries no tunnels now.
    Unavailable,
}

/// Label of a request for a tunnel.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ByTunnel {
    /// The response.
    pub result: TunnelResult,
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

/// What an upstream that is silent is expected to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Phase {
    /// The first event of a stream.
    FirstEvent,
    /// A response that is not a stream.
    Whole,
    /// Further events of a stream.
    Midway,
}

/// How the silence of an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Silence {
    /// It responded, sent events again, or ended the stream.
    Continued,
    /// Another upstream responded, or resumed the stream.
    Replaced,
    /// The upstream failed, or the request ended without a complete response.
    Failed,
}

/// Label of a silence.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct BySilence {
    /// What was expected of the upstream.
    pub phase: Phase,
    /// How it ended.
    pub ended: Silence,
}
