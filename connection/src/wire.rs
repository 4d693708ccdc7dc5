//! Messages between VMs: typed structures in MessagePack over a connection that an HTTP upgrade
//! opened. Each field list only grows at its end, behind a default; a release that must change
//! one takes a new protocol name.

use std::collections::BTreeMap;

use foldlock_base::id;
use foldlock_base::size::Tokens;
use foldlock_version::head::Head;
use foldlock_version::policy::Class;
use serde::{Deserialize, Serialize};

/// The protocol's name in the HTTP upgrade.
pub const PROTOCOL: &str = "foldlock/1";

/// The path of the upgrade request.
pub const PATH: &str = "/peer";

/// Work that has been given to an engine and is not finished.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests.
    pub requests: u32,
    /// Long requests among them.
    pub long: u32,
    /// Prompt tokens of requests whose first token has not come, by class of length.
    pub prefill: [Tokens; Class::COUNT],
    /// Memory for prompts and answers.
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

    /// Only the prompt tokens.
    pub fn prefill_only(self) -> Load {
        Load { prefill: self.prefill, ..Load::default() }
    }

    /// Prompt tokens that go before a request of this class, or beside it.
    pub fn ahead(&self, class: Class) -> Tokens {
        self.prefill[..=class.index()].iter().copied().sum()
    }

    /// Prompt tokens of all classes.
    pub fn queued(&self) -> Tokens {
        self.prefill.iter().copied().sum()
    }

    /// Whether the prompt of a long request is being computed.
    pub fn has_long_prefill(&self) -> bool {
        self.prefill[1..].iter().any(|t| t.0 > 0)
    }

    /// The sum with another load.
    pub fn plus(self, other: Load) -> Load {
        Load {
            requests: self.requests + other.requests,
            long: self.long + other.long,
            prefill: std::array::from_fn(|c| self.prefill[c] + other.prefill[c]),
            memory: self.memory + other.memory,
        }
    }

    /// What is left without another load.
    pub fn minus(self, other: Load) -> Load {
        Load {
            requests: self.requests.saturating_sub(other.requests),
            long: self.long.saturating_sub(other.long),
            prefill: std::array::from_fn(|c| self.prefill[c] - other.prefill[c]),
            memory: self.memory - other.memory,
        }
    }
}

/// A VM as its peers know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub vm: id::Vm,
    /// Its data hall.
    pub hall: id::Hall,
    /// Its control address.
    pub address: String,
    /// Grows with each start of the process.
    pub incarnation: u64,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Whether it is no longer heard. The member itself undoes this with a higher incarnation.
    pub down: bool,
}

/// The load of an engine by its own report, which lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reported {
    /// Prompt tokens to be computed.
    pub prefill: Tokens,
    /// Requests running and waiting.
    pub requests: u32,
    /// Memory in use.
    pub used: Tokens,
}

/// What the home of an engine knows of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The engine.
    pub engine: id::Upstream,
    /// Its load by its newest report, if it answered one of late.
    pub reported: Option<Reported>,
    /// The work that all VMs gave to it, by their last announcements.
    pub load: Load,
    /// The receiver's own part of `load`.
    pub yours: Load,
    /// Whether it gets no new work.
    pub leaving: bool,
}

/// One VM's demand of an organisation, or of a kind of request in it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests at the moment, waiting ones among them.
    pub concurrency: u32,
    /// Requests a second, lately.
    pub requests_per_s: f32,
    /// Prompt tokens a second, lately.
    pub prompt_tokens_per_s: f32,
}

/// The part of a limit that a VM may use for a while.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Of the concurrency, in requests.
    pub concurrency: u32,
    /// The share of the requests a second.
    pub requests: f32,
    /// The share of the prompt tokens a second.
    pub prompt_tokens: f32,
}

/// A heartbeat with the soft state that the receiver needs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// The sender.
    pub from: Member,
    /// The settings version in force at the sender.
    pub version: u64,
    /// Members that the sender heard of, a few at a time.
    pub members: Vec<Member>,
    /// The sender's work on the engines whose home the receiver is.
    pub loads: BTreeMap<id::Upstream, Load>,
    /// The engines whose home the sender is and which the receiver uses.
    pub states: Vec<State>,
    /// The sender's demand of the limits whose home the receiver is.
    pub demand: BTreeMap<String, Demand>,
    /// The receiver's quota of the limits whose home the sender is.
    pub quota: BTreeMap<String, Quota>,
    /// Upstreams of plain services that refused work because they leave.
    pub leaving: Vec<id::Upstream>,
}

/// Asks the home of a shard for a place for a long prompt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The VM that asks.
    pub vm: id::Vm,
    /// The request.
    pub request: id::Request,
    /// The model.
    pub model: id::Model,
    /// The prompt's tokens.
    pub prompt: Tokens,
    /// Memory for prompt and answer.
    pub memory: Tokens,
    /// Engines that failed it before.
    pub avoid: Vec<id::Upstream>,
}

/// A segment of a prompt and the engine that holds memory for it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// The engine.
    pub engine: id::Upstream,
    /// The tokens of the segment.
    pub tokens: Tokens,
    /// The hold; absent where the prompt fits one engine.
    pub hold: Option<id::Reservation>,
}

/// A home's answer to an [`Ask`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Grant {
    /// The engines, in the order of the segments: one, or a group whose memory is held.
    Given(Vec<Segment>),
    /// No place now; ask again after these milliseconds.
    Wait(u64),
    /// The answerer is not the home, or knows no engine for it.
    Unknown,
}

/// Asks for a claim of an idempotency key, or says what became of one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The hash of organisation and key.
    pub key: u128,
    /// The attempt's own number.
    pub nonce: u128,
    /// What is said.
    pub word: Word,
}

/// What a claim entry says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// The attempt wants to run.
    Claim,
    /// The attempt was never sent: the key is free again.
    Release,
    /// The attempt ran to its end.
    Done,
}

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The attempt holds the key, and it alone.
    Won,
    /// Another attempt holds it, and what became of that one is not known.
    Taken,
    /// Another attempt ran to its end.
    Ran,
    /// The store cannot be reached; nothing is known to be claimed.
    Unavailable,
}

/// The head of the settings with the branch texts that the asker lacks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The head.
    pub head: Head,
    /// Texts by hash.
    pub texts: BTreeMap<String, String>,
}

/// The calls between VMs.
#[tarpc::service]
pub trait Peer {
    /// Exchanges heartbeats.
    async fn exchange(beat: Beat) -> Beat;
    /// Asks the home of a shard for a place.
    async fn grant(shard: String, ask: Ask) -> Grant;
    /// Asks the writer of a shard of claims to write a batch.
    async fn claim(shard: u32, claims: Vec<Claim>) -> Vec<Verdict>;
    /// Asks for the settings in force, less the texts that are known.
    async fn settings(known: Vec<String>) -> Settings;
}
