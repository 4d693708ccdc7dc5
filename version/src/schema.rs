//! The shape of a branch's source. The JSON schema that sources are checked against is derived
//! from these types.

use std::collections::BTreeMap;

use foldlock_base::id;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::policy::Policy;

/// The root branch.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// What each request inherits.
    #[schemars(with = "Policy")]
    pub policy: Map<String, Value>,
    /// The data halls.
    pub halls: BTreeMap<id::Hall, Hall>,
    /// The models.
    pub models: BTreeMap<id::Model, Model>,
    /// The model engines.
    pub engines: BTreeMap<id::Upstream, Engine>,
    /// The plain services.
    pub services: BTreeMap<id::Service, Service>,
    /// The secret that signs the cursors of streams; the same on each VM.
    pub cursor_secret: String,
}

/// A data hall.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Hall {
    /// The region that the hall is in.
    pub region: String,
}

/// A model.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Bytes of text a token, for estimates.
    #[schemars(range(min = 1, max = 64))]
    pub bytes_per_token: u32,
    /// The longest prompt with its answer that the model takes, tokens.
    #[schemars(range(min = 1, max = 100_000_000))]
    pub context_tokens: u64,
}

/// A model engine.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// `IP:port`.
    #[schemars(regex(pattern = r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$"))]
    pub address: String,
    /// The data hall that it is in.
    pub hall: id::Hall,
    /// The models that it serves.
    pub models: Vec<id::Model>,
    /// The tokens that its memory holds.
    #[schemars(range(min = 1, max = 100_000_000))]
    pub memory_tokens: u64,
}

/// A plain service.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The path that its calls begin with.
    #[schemars(regex(pattern = r"^/[a-z0-9._/-]+$"))]
    pub path: String,
    /// Its servers.
    pub servers: BTreeMap<id::Upstream, Server>,
    /// Paths below `path` whose calls may not be repeated, for any method.
    #[serde(default)]
    pub once: Vec<String>,
}

/// A server of a plain service.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// `IP:port`.
    #[schemars(regex(pattern = r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$"))]
    pub address: String,
    /// The data hall that it is in.
    pub hall: id::Hall,
}

/// An organisation's branch.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Organisation {
    /// SHA-256 hashes of its bearer keys, hexadecimal.
    #[schemars(inner(regex(pattern = r"^[0-9a-f]{64}$")))]
    pub keys: Vec<String>,
    /// What the organisation overrides.
    #[schemars(with = "Policy")]
    pub policy: Map<String, Value>,
    /// Its kinds of request.
    pub kinds: BTreeMap<id::Kind, Kind>,
}

/// A kind of request.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Kind {
    /// What the kind overrides.
    #[schemars(with = "Policy")]
    pub policy: Map<String, Value>,
}
