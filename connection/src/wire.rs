//! Messages between VMs, encoded as MessagePack over a connection that is opened by an HTTP
//! upgrade. Fields may only be added at the end of a structure and with a default, since they are
//! encoded by position. A release that has to make any other change uses a new protocol name.

use std::collections::BTreeMap;

use foldlock_base::id;
use foldlock_base::size::Tokens;
use foldlock_version::head::Head;
use foldlock_version::policy::Class;
use serde::{Deserialize, Serialize};

/// Protocol name in the HTTP upgrade.
pub const PROTOCOL: &str = "foldlock/1";

/// Path of the upgrade request.
pub const PATH: &str = "/peer";

/// Load of an engine: requests that were sent to it and are not finished.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests.
    pub requests: u32,
    /// Number of these that have long prompts.
    pub long: u32,
    /// Prompt tokens of requests without a first token yet, by prompt length class.
    pub prefill: [Tokens; Class::COUNT],
    /// Memory for prompts and answers, tokens.
    pub memory: Tokens,
}

impl Load {
    /// The load of one request.
    pub fn of(class: Class, uncached: Tokens, memory: Tokens) -> Load {
        let mut load =
            Load { requests: 1, long: u32::from(class.is_long()), memory, ..Load::default() };
        load.prefill[class.index()] = uncached;
        load
    }

    /// This load with its prompt tokens only.
    pub fn prefill_only(self) -> Load {
        Load { prefill: self.prefill, ..Load::default() }
    }

    /// Prompt tokens of this class and of all classes that go before it.
    pub fn ahead(&self, class: Class) -> Tokens {
        self.prefill[..=class.index()].iter().copied().sum()
    }

    /// Prompt tokens of all classes together.
    pub fn queued(&self) -> Tokens {
        self.prefill.iter().copied().sum()
    }

    /// Whether a long prompt waits for its prefill or is in it.
    pub fn has_long_prefill(&self) -> bool {
        self.prefill[1..].iter().any(|t| t.0 > 0)
    }

    /// Adds another load.
    pub fn plus(self, other: Load) -> Load {
        Load {
            requests: self.requests + other.requests,
            long: self.long + other.long,
            prefill: std::array::from_fn(|c| self.prefill[c] + other.prefill[c]),
            memory: self.memory + other.memory,
        }
    }

    /// Subtracts another load.
    pub fn minus(self, other: Load) -> Load {
        Load {
            requests: self.requests.saturating_sub(other.requests),
            long: self.long.saturating_sub(other.long),
            prefill: std::array::from_fn(|c| self.prefill[c] - other.prefill[c]),
            memory: self.memory - other.memory,
        }
    }
}

/// Membership entry of a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the VM.
    pub vm: id::Vm,
    /// Data hall of the VM.
    pub hall: id::Hall,
    /// Control address of the VM.
    pub address: String,
    /// Incarnation number, which grows with each start of the process.
    pub incarnation: u64,
    /// Whether the VM is shutting down.
    pub leaving: bool,
    /// Whether the VM is considered down. Only the VM itself reverts this, by a higher incarnation.
    pub down: bool,
}

/// Load of an engine according to its own report, which lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reported {
    /// Prompt tokens whose prefill is not finished.
    pub prefill: Tokens,
    /// Number of running and waiting requests.
    pub requests: u32,
    /// Memory in use, tokens.
    pub used: Tokens,
}

/// State of an engine, announced by its home.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Id of the engine.
    pub engine: id::Upstream,
    /// Load according to its latest report, if there is a recent one.
    pub reported: Option<Reported>,
    /// Load from all VMs, according to their last announcements.
    pub load: Load,
    /// Share of `load` that comes from the receiver of this message.
    #[serde(rename = "yours")]
    pub receiver_load: Load,
    /// Whether the engine is shutting down and gets no new requests.
    pub leaving: bool,
}

/// Demand at one VM from an organisation, or from one kind of its requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Current number of requests, including queued ones.
    pub concurrency: u32,
    /// Recent rate of requests per second.
    pub requests_per_s: f32,
    /// Recent rate of prompt tokens per second.
    pub prompt_tokens_per_s: f32,
}

/// Share of a limit that a VM may use for some time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Maximum number of concurrent requests.
    pub concurrency: u32,
    /// Share of the limit on requests per second.
    pub requests: f32,
    /// Share of the limit on prompt tokens per second.
    pub prompt_tokens: f32,
}

/// A heartbeat, with the soft state that the receiver needs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Membership entry of the sender.
    pub from: Member,
    /// Settings version in force at the sender.
    pub version: u64,
    /// Some of the membership entries that the sender has, a few per heartbeat.
    pub members: Vec<Member>,
    /// Load from the sender on the engines whose home is the receiver.
    pub loads: BTreeMap<id::Upstream, Load>,
    /// Engines whose home is the sender and which the receiver uses.
    pub states: Vec<State>,
    /// Demand at the sender for the limits whose home is the receiver.
    pub demand: BTreeMap<String, Demand>,
    /// Quotas of the receiver for the limits whose home is the sender.
    pub quota: BTreeMap<String, Quota>,
    /// Servers of plain services that refused requests because they are shutting down.
    pub leaving: Vec<id::Upstream>,
}

/// Asks the home of a shard to place a long prompt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Id of the requesting VM.
    pub vm: id::Vm,
    /// Id of the request.
    pub request: id::Request,
    /// Id of the model.
    pub model: id::Model,
    /// Number of prompt tokens.
    pub prompt: Tokens,
    /// Memory for prompt and answer, tokens.
    pub memory: Tokens,
    /// Engines at which earlier attempts of the request failed.
    pub avoid: Vec<id::Upstream>,
}

/// A segment of a prompt and the engine that it is placed on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// Id of the engine.
    pub engine: id::Upstream,
    /// Number of tokens in the segment.
    pub tokens: Tokens,
    /// Id of the memory reservation; absent if the prompt fits on one engine.
    pub hold: Option<id::Reservation>,
}

/// Reply of a home to a [`GrantRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Grant {
    /// The segments of the prompt in order: one, or several on engines that have reserved memory.
    #[serde(rename = "Given")]
    Granted(Vec<Segment>),
    /// There is no room now; the grant request may be sent again after this many milliseconds.
    Wait(u64),
    /// The receiver is not the home of the shard, or has no engine for the request.
    Unknown,
}

/// Claims an idempotency key for an attempt, or settles such a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of organisation and idempotency key.
    pub key: u128,
    /// Number that identifies the attempt.
    pub nonce: u128,
    /// Whether the key is claimed, released or marked as done.
    #[serde(rename = "word")]
    pub action: Action,
}

/// Action on a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Action {
    /// Claims the key, before the attempt is sent.
    Claim,
    /// Releases the key: the attempt was never sent.
    Release,
    /// Marks the claim as done: the attempt has completed.
    Done,
}

/// Outcome of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The attempt holds the key exclusively.
    Won,
    /// Another attempt holds the key, and its outcome is unknown.
    Taken,
    /// Another attempt has completed.
    Ran,
    /// The store is unavailable; whether the key is claimed is unknown.
    Unavailable,
}

/// The settings head, with the branch texts that the requesting VM lacks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Head of the settings.
    pub head: Head,
    /// Branch texts by hash.
    pub texts: BTreeMap<String, String>,
}

/// RPC interface between VMs.
#[tarpc::service]
pub trait Peer {
    /// Exchanges heartbeats.
    async fn exchange(beat: Heartbeat) -> Heartbeat;
    /// Asks the home of a shard to place a request.
    async fn grant(shard: String, ask: GrantRequest) -> Grant;
    /// Asks the VM that writes a shard of the claims to write a batch.
    async fn claim(shard: u32, claims: Vec<Claim>) -> Vec<Verdict>;
    /// Returns the settings in force, without the texts whose hashes are in `known`.
    async fn settings(known: Vec<String>) -> Settings;
}
