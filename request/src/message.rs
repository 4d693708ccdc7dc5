//! What VMs of a fleet tell each other, by UDP: one message a datagram.
//!
//! A beat holds the sender's whole state, and who asks for a placement asks again until there is an
//! answer, so a message that is lost costs nothing but time.

use std::time::{Duration, Instant};

use bytes::Bytes;
use foldlock_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::budget::Charge;
use crate::cluster::{AttemptOutcome, Dispatch, Load, Restart};
use crate::fingerprint::Fingerprint;
use crate::placement::{Rejection, Requirements};
use crate::rate_limit::Limit;
use crate::revision::Revision;
use crate::tag::Tag;
use crate::{flight, quarantine, rate_limit, report};

/// The longest message, bytes: what one UDP datagram holds.
pub const MOST: usize = 60_000;

/// A message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's state.
    Beat(Beat),
    /// A request asks for a placement.
    Asked(Asked),
    /// It asks no more.
    Cancelled(Number),
    /// The answer to a request that asked.
    Answered(Answered),
    /// The receiver is to ask an engine for its report.
    Poll(Tag),
    /// Rate limits that the receiver needs before its next grant.
    RateLimits(Vec<rate_limit::Entry>),
}

/// The state of a VM, as one peer is told of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// The newest stamp that the sender has from the receiver: what this says was so after it.
    pub echo: Option<u64>,
    /// The incarnation of the receiver that the echoed stamp belongs to.
    pub echo_of: u64,
    /// The newest placement that the receiver gave which the sender has heard of.
    pub granted: u64,
    /// Whether the sender wants to hear from the receiver, which places its requests, or might.
    pub wants: bool,
    /// The rest, the same for all receivers.
    pub state: State,
    /// Whether the sender is a client of the receiver, which then holds its share of the retry budget.
    #[serde(default)]
    pub is_client: bool,
}

/// The state of a VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The sender.
    pub vm: id::Vm,
    /// The start of its process.
    pub incarnation: u64,
    /// The sender's steady clock, microseconds since its start.
    pub stamp: u64,
    /// The number of its settings version; 0 for none.
    pub version: u64,
    /// How long ago that version was confirmed to be the newest, milliseconds.
    pub age_ms: Option<u64>,
    /// The revision up to which it knows the directory's listings.
    pub at: Revision,
    /// A digest of those listings: two VMs that know the same have the same.
    pub digest: u64,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Whether the directory answers it.
    pub watching: bool,
    /// Whether it has run for long enough to have heard of all that is under way.
    pub settled: bool,
    /// New starts of upstreams that it learnt from themselves.
    pub starts: Vec<Restart>,
    /// Starts of upstreams that say by their answers that they leave, which the directory does not list as
    /// leaving yet. They go with the beats to all, five a second and one at once when there is news; with
    /// each beat, 45 of them would be 80 kB/s of a busy VM.
    pub departures: Vec<Tag>,
    /// What changed in the listings of late, for those that do not watch the directory, as
    /// [`crate::step::encode`] gives it, deflated; empty for nothing. It goes with the beats to all.
    pub steps: Bytes,
    /// What it has under way; none where the receiver does not place its requests.
    pub work: Option<Work>,
    /// Whether it stops and asks the receiver to withdraw it from the directory.
    #[serde(default)]
    pub withdraw: bool,
    /// Recently observed rate limits, and recent ends of rate limits. Sent in heartbeats to all.
    #[serde(default)]
    pub rate_limits: Vec<rate_limit::Entry>,
}

impl State {
    /// The state of a VM that knows nothing yet and has nothing under way.
    pub fn new(vm: id::Vm, incarnation: u64) -> State {
        State {
            vm,
            incarnation,
            stamp: 0,
            version: 0,
            age_ms: None,
            at: Revision::default(),
            digest: 0,
            leaving: false,
            watching: false,
            settled: false,
            starts: Vec::new(),
            departures: Vec::new(),
            steps: Bytes::new(),
            work: None,
            withdraw: false,
            rate_limits: Vec::new(),
        }
    }
}

/// What a VM has under way and has learnt.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Its attempts.
    pub flights: Vec<flight::Announcement>,
    /// How attempts of late have ended.
    pub outcomes: Vec<AttemptOutcome>,
    /// The reports that it has of engines.
    pub reports: Vec<report::Announcement>,
    /// What it learnt of requests under which upstreams ended.
    pub suspects: Vec<quarantine::Announcement>,
    /// Recent messages to rate-limited upstreams.
    #[serde(default)]
    pub dispatches: Vec<Dispatch>,
}

/// A request by the number that its VM gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Number {
    /// The start of the VM's process.
    pub incarnation: u64,
    /// The number.
    pub number: u64,
}

/// A request that asks for a placement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Asked {
    /// The request.
    pub request: Number,
    /// The service.
    pub service: Tag,
    prompt: u64,
    memory: u64,
    objective_ms: u32,
    pause_ms: Option<u32>,
    waited_ms: u32,
    limit_ms: u32,
    hold_limit_ms: u32,
    avoid: Vec<Tag>,
    fingerprint: Fingerprint,
    #[serde(default)]
    connected: Vec<Tag>,
    #[serde(default)]
    charge: Charge,
    /// Whether its VM asks as a client of the scheduler, which then holds its share of the retry budget.
    #[serde(default)]
    pub is_client: bool,
}

impl Asked {
    /// What is sent.
    pub fn new(
        request: Number,
        service: Tag,
        requirements: &Requirements,
        is_client: bool,
        now: Instant,
    ) -> Asked {
        Asked {
            request,
            service,
            prompt: requirements.prompt.0,
            memory: requirements.memory.0,
            objective_ms: requirements.objective.as_millis() as u32,
            pause_ms: requirements.pause.map(|pause| pause.as_millis() as u32),
            waited_ms: now.saturating_duration_since(requirements.arrived).as_millis() as u32,
            limit_ms: requirements.queue_timeout.as_millis() as u32,
            hold_limit_ms: requirements.reservation_timeout.as_millis() as u32,
            avoid: requirements.excluded.clone(),
            fingerprint: requirements.fingerprint,
            connected: requirements.connected.clone(),
            charge: requirements.charge,
            is_client,
        }
    }

    /// What is asked for, by this process's clock, by a VM of that hall.
    pub fn requirements(&self, hall: String, now: Instant) -> Requirements {
        let millis = |ms: u32| Duration::from_millis(u64::from(ms));
        Requirements {
            prompt: Tokens(self.prompt),
            memory: Tokens(self.memory),
            objective: millis(self.objective_ms),
            pause: self.pause_ms.map(millis),
            arrived: now.checked_sub(millis(self.waited_ms)).unwrap_or(now),
            queue_timeout: millis(self.limit_ms),
            excluded: self.avoid.clone(),
            connected: self.connected.clone(),
            hall,
            reservation_timeout: millis(self.hold_limit_ms),
            fingerprint: self.fingerprint,
            offset: 0,
            schedulers: 1,
            charge: self.charge,
        }
    }
}

/// The answer to a request that asked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answered {
    /// The request.
    pub request: Number,
    /// What it is told.
    pub answer: Answer,
}

/// What a request is told.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// It has a placement.
    Placed(Placed),
    /// It waits for one.
    Waits,
    /// There is none, and waiting brings none.
    #[serde(rename = "Nowhere")]
    Rejected(Rejection),
}

/// A placement, upstreams by their tags.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Placed {
    /// The number of the message by which it is given; each is higher than the one before.
    pub grant: u64,
    /// The upstream that answers.
    pub upstream: Tag,
    /// Those that read a part, with the memory that is set aside there.
    pub helpers: Vec<(Tag, u64)>,
    /// Milliseconds that each of them reads.
    pub part_ms: f32,
    /// Tokens of prompt and answer that the upstream that answers holds itself.
    pub memory: u64,
    /// The longest pause between events that its caller takes for in time, milliseconds.
    pub pause_ms: u32,
    /// The predicted time to the first event, milliseconds.
    pub predicted_ms: f64,
    /// The load that decided it.
    pub load: Load,
    /// The helpers with the most ahead, and their loads.
    pub slowest: Vec<(Tag, Load)>,
    /// The upstreams among which it was chosen.
    pub open: usize,
    /// The request, if it runs alone there.
    pub isolated: Option<Fingerprint>,
    /// Upstreams that were at their rate limits.
    #[serde(default)]
    pub limited: usize,
    /// The upstream's rate limit as known to the sender.
    #[serde(default)]
    pub limit: Option<Limit>,
}

/// Encodes a message.
pub fn encode(message: &Message) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("plain data")
}

/// Reads a message.
pub fn decode(bytes: &[u8]) -> Result<Message, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}
