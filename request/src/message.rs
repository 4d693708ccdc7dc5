//! Messages between VMs, sent over UDP, one message a datagram.
//!
//! A heartbeat carries the sender's complete state, and grant requests are resent until a reply
//! arrives, so a lost message only causes delay.

use std::time::{Duration, Instant};

use bytes::Bytes;
use foldlock_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::budget::Charge;
use crate::caller::{Caller, Priority};
use crate::cluster::{Completion, Dispatch, Load, Restart};
use crate::fingerprint::Fingerprint;
use crate::placement::{Rejection, Requirements};
use crate::rate_limit::Limit;
use crate::revision::Revision;
use crate::scheduler::order::Reason;
use crate::tag::Tag;
use crate::{crash_log, flight, promise, quarantine, rate_limit, report};

/// Maximum size of an encoded message in bytes; it fits a UDP datagram.
pub const MAX_BYTES: usize = 60_000;

/// A message from one VM to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's state.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Requests a placement from the scheduler.
    #[serde(rename = "Asked")]
    GrantRequest(GrantRequest),
    /// Cancels a grant request.
    Cancelled(Number),
    /// The scheduler's reply to a grant request.
    #[serde(rename = "Answered")]
    GrantReply(GrantReply),
    /// Asks the receiver to fetch the report of this engine.
    Poll(Tag),
    /// Rate limits that the receiver needs before its next grant.
    RateLimits(Vec<rate_limit::Entry>),
    /// Crashes of upstreams, and parts of prompts that are cleared of them. VMs of the previous release cannot decode it,
    /// and ignore it.
    Crashes(Vec<crash_log::Announcement>),
}

/// The state of a VM, as sent to one peer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The latest stamp that the sender received from the receiver: the state was taken after it.
    pub echo: Option<u64>,
    /// The incarnation of the receiver that the echoed stamp belongs to.
    pub echo_of: u64,
    /// The number of the latest grant from the receiver that has reached the sender.
    #[serde(rename = "granted")]
    pub last_grant: u64,
    /// Whether the sender requests heartbeats from the receiver, which is its scheduler or a
    /// standby scheduler.
    #[serde(rename = "wants")]
    pub requests_heartbeats: bool,
    /// The part of the heartbeat that is the same for all receivers.
    pub state: State,
    /// Whether the sender is a client of the receiver, which then manages the sender's share of the
    /// retry budget.
    #[serde(default)]
    pub is_client: bool,
}

/// The state of a VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The VM that this state describes.
    pub vm: id::Vm,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// The sender's monotonic clock, in microseconds since its process started.
    pub stamp: u64,
    /// The number of its settings version, 0 if it has no settings.
    pub version: u64,
    /// Time since that version was confirmed as the newest, in milliseconds.
    pub age_ms: Option<u64>,
    /// The revision up to which it has the directory's listings.
    #[serde(rename = "at")]
    pub revision: Revision,
    /// A digest of those listings, equal on two VMs that have the same listings.
    pub digest: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether its watch on the directory works.
    pub watching: bool,
    /// Whether it has run for long enough to have received the in-flight attempts of all peers.
    #[serde(rename = "settled")]
    pub synced: bool,
    /// Restarts of upstreams that it learned from the upstreams themselves.
    #[serde(rename = "starts")]
    pub restarts: Vec<Restart>,
    /// Upstream incarnations whose responses say that they are leaving and which the directory does
    /// not list as leaving yet. Sent only in heartbeats to all peers, five a second plus one
    /// immediately on a change: in every heartbeat, 45 of them would take 80 kB/s of a busy VM.
    #[serde(rename = "departures")]
    pub leaving_upstreams: Vec<Tag>,
    /// Recent changes of the listings for VMs that do not watch the directory, encoded by
    /// [`crate::step::encode`] and deflated; empty if there are none. Sent only in heartbeats to
    /// all peers.
    pub steps: Bytes,
    /// Its in-flight attempts and observations; `None` if the receiver does not schedule its
    /// requests.
    #[serde(rename = "work")]
    pub activity: Option<Activity>,
    /// Whether it is shutting down and asks the receiver to withdraw its directory entry.
    #[serde(default)]
    pub withdraw: bool,
    /// Recently observed rate limits, and rate limits that were recently lifted. Sent only in
    /// heartbeats to all peers.
    #[serde(default)]
    pub rate_limits: Vec<rate_limit::Entry>,
}

impl State {
    /// The state of a VM without settings, listings or in-flight attempts.
    pub fn new(vm: id::Vm, incarnation: u64) -> State {
        State {
            vm,
            incarnation,
            stamp: 0,
            version: 0,
            age_ms: None,
            revision: Revision::default(),
            digest: 0,
            leaving: false,
            watching: false,
            synced: false,
            restarts: Vec::new(),
            leaving_upstreams: Vec::new(),
            steps: Bytes::new(),
            activity: None,
            withdraw: false,
            rate_limits: Vec::new(),
        }
    }
}

/// In-flight attempts of a VM, and its recent observations.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Activity {
    /// Its in-flight attempts.
    pub flights: Vec<flight::Announcement>,
    /// Outcomes of recent attempts.
    pub outcomes: Vec<Completion>,
    /// Its latest reports of engines.
    pub reports: Vec<report::Announcement>,
    /// Its data on requests during which upstreams crashed.
    pub suspects: Vec<quarantine::Announcement>,
    /// Recent messages to rate-limited upstreams.
    #[serde(default)]
    pub dispatches: Vec<Dispatch>,
    /// Promised return times of its callers, at most [`promise::MAX_ANNOUNCED`], the newest. Not
    /// sent in heartbeats to the scheduler alone, which made the promises. Omitted if there are none,
    /// as VMs of the previous release cannot decode further fields; the fields are identified by
    /// position, so no field may follow.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub promises: Vec<promise::Announcement>,
}

/// Identifies a request by the number that its VM assigned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Number {
    /// The incarnation of the VM's process.
    pub incarnation: u64,
    /// The number, unique within the incarnation.
    pub number: u64,
}

/// A request for a placement. Times are sent as durations, since the clocks of VMs differ.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The request.
    pub request: Number,
    /// The service that it is for.
    pub service: Tag,
    prompt: u64,
    memory: u64,
    objective_ms: u32,
    pause_ms: Option<u32>,
    waited_ms: u32,
    #[serde(rename = "limit_ms")]
    queue_timeout_ms: u32,
    #[serde(rename = "hold_limit_ms")]
    reservation_timeout_ms: u32,
    #[serde(rename = "avoid")]
    excluded: Vec<Tag>,
    fingerprint: Fingerprint,
    #[serde(default)]
    connected: Vec<Tag>,
    #[serde(default)]
    charge: Charge,
    /// Whether its VM is a client of the scheduler, which then manages the VM's share of the retry
    /// budget.
    #[serde(default)]
    pub is_client: bool,
    /// Absent if the caller has no effect. The message is then the one of the previous release, which cannot decode
    /// more fields than it has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    caller: Option<CallerTerms>,
}

/// A caller, with times as durations.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct CallerTerms {
    organisation: Option<Tag>,
    priority: Priority,
    time_limit_ms: Option<u32>,
    patience_ms: Option<u32>,
    resumes: bool,
}

impl CallerTerms {
    fn new(caller: &Caller) -> Option<CallerTerms> {
        let millis = |time: Duration| u32::try_from(time.as_millis()).ok();
        let terms = CallerTerms {
            organisation: caller.organisation,
            priority: caller.priority,
            time_limit_ms: millis(caller.time_limit),
            patience_ms: millis(caller.patience),
            resumes: caller.resumes,
        };
        (*caller != Caller::default()).then_some(terms)
    }

    fn caller(self) -> Caller {
        let time =
            |ms: Option<u32>| ms.map_or(Duration::MAX, |ms| Duration::from_millis(ms.into()));
        Caller {
            organisation: self.organisation,
            priority: self.priority,
            time_limit: time(self.time_limit_ms),
            patience: time(self.patience_ms),
            resumes: self.resumes,
        }
    }
}

impl GrantRequest {
    /// The grant request for these requirements, as of `now`.
    pub fn new(
        request: Number,
        service: Tag,
        requirements: &Requirements,
        is_client: bool,
        now: Instant,
    ) -> GrantRequest {
        GrantRequest {
            request,
            service,
            prompt: requirements.prompt.0,
            memory: requirements.memory.0,
            objective_ms: requirements.objective.as_millis() as u32,
            pause_ms: requirements.pause.map(|pause| pause.as_millis() as u32),
            waited_ms: now.saturating_duration_since(requirements.arrived).as_millis() as u32,
            queue_timeout_ms: requirements.queue_timeout.as_millis() as u32,
            reservation_timeout_ms: requirements.reservation_timeout.as_millis() as u32,
            excluded: requirements.excluded.clone(),
            fingerprint: requirements.fingerprint,
            connected: requirements.connected.clone(),
            charge: requirements.charge,
            is_client,
            caller: CallerTerms::new(&requirements.caller),
        }
    }

    /// The requirements of a request from a VM in `hall`, with times on this process's clock.
    pub fn requirements(&self, hall: String, now: Instant) -> Requirements {
        let millis = |ms: u32| Duration::from_millis(u64::from(ms));
        Requirements {
            prompt: Tokens(self.prompt),
            memory: Tokens(self.memory),
            objective: millis(self.objective_ms),
            pause: self.pause_ms.map(millis),
            arrived: now.checked_sub(millis(self.waited_ms)).unwrap_or(now),
            queue_timeout: millis(self.queue_timeout_ms),
            excluded: self.excluded.clone(),
            connected: self.connected.clone(),
            hall,
            reservation_timeout: millis(self.reservation_timeout_ms),
            fingerprint: self.fingerprint,
            offset: 0,
            schedulers: 1,
            charge: self.charge,
            caller: self.caller.map_or_else(Caller::default, CallerTerms::caller),
        }
    }
}

/// The reply to a grant request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantReply {
    /// The request.
    pub request: Number,
    /// The reply.
    #[serde(rename = "answer")]
    pub reply: Reply,
}

/// The scheduler's decision on a grant request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// A placement is reserved for the request.
    #[serde(rename = "Placed")]
    Granted(Grant),
    /// The request is queued.
    #[serde(rename = "Waits")]
    Queued,
    /// The request is rejected: there is no placement for it, and queuing would not help.
    #[serde(rename = "Nowhere")]
    Rejected(Rejection),
}

/// A placement; upstreams are identified by their tags.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The number of the grant, higher than that of each grant before.
    #[serde(rename = "grant")]
    pub number: u64,
    /// The upstream that generates the response.
    pub upstream: Tag,
    /// The upstreams that prefill a part of the prompt, each with the number of tokens reserved
    /// there.
    pub helpers: Vec<(Tag, u64)>,
    /// Prefill time of one part, in milliseconds.
    pub part_ms: f32,
    /// Tokens of prompt and answer that are kept in the memory of `upstream` itself.
    pub memory: u64,
    /// The longest pause between events that still meets the caller's latency target, in
    /// milliseconds.
    pub pause_ms: u32,
    /// The predicted time to the first event, in milliseconds.
    pub predicted_ms: f64,
    /// The load of the upstream on which the decision was based.
    pub load: Load,
    /// The helpers with the longest backlog, and their loads.
    #[serde(rename = "slowest")]
    pub busiest_helpers: Vec<(Tag, Load)>,
    /// The number of upstreams that were candidates.
    #[serde(rename = "open")]
    pub candidates: usize,
    /// The request's fingerprint, if it runs isolated.
    #[serde(rename = "alone")]
    pub isolated: Option<Fingerprint>,
    /// Upstreams that were at their rate limits.
    #[serde(default)]
    pub limited: usize,
    /// The upstream's rate limit, if the sender has one on record.
    #[serde(default)]
    pub limit: Option<Limit>,
    /// Why it was granted, if the request was queued by a forecast. Omitted otherwise, as VMs of the previous release
    /// cannot decode further fields; no field may follow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Reason>,
}

/// Encodes a message.
pub fn encode(message: &Message) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("plain data")
}

/// Decodes a message.
pub fn decode(bytes: &[u8]) -> Result<Message, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}
