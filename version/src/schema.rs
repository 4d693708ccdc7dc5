//! Structure of the sources of branches. The JSON schemas against which sources are validated are
//! derived from these types.

use std::collections::BTreeMap;

use foldlock_base::id;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::policy::Policy;

/// Settings of the whole fleet (the root branch).
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Settings that all requests inherit.
    #[schemars(with = "Policy")]
    pub policy: Map<String, Value>,
    /// Data halls, by name.
    pub halls: BTreeMap<id::Hall, Hall>,
    /// Models, by name.
    pub models: BTreeMap<id::Model, Model>,
    /// Model engines, by id.
    pub engines: BTreeMap<id::Upstream, Engine>,
    /// Plain services, by name.
    pub services: BTreeMap<id::Service, Service>,
    /// Secret with which stream cursors are signed; the same on all VMs.
    pub cursor_secret: String,
}

/// A data hall.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Hall {
    /// Region of the data hall.
    pub region: String,
}

/// A model.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Average number of bytes of text per token, for estimates.
    #[schemars(range(min = 1, max = 64))]
    pub bytes_per_token: u32,
    /// Maximum length of a prompt together with its answer, in tokens.
    #[schemars(range(min = 1, max = 100_000_000))]
    pub context_tokens: u64,
}

/// A model engine.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Address of the engine, `IP:port`.
    #[schemars(regex(pattern = r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$"))]
    pub address: String,
    /// Data hall of the engine.
    pub hall: id::Hall,
    /// Models that the engine serves.
    pub models: Vec<id::Model>,
    /// Memory capacity of the engine, in tokens.
    #[schemars(range(min = 1, max = 100_000_000))]
    pub memory_tokens: u64,
}

/// A plain service.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Path prefix of the service's calls.
    #[schemars(regex(pattern = r"^/[a-z0-9._/-]+$"))]
    pub path: String,
    /// Servers of the service, by id.
    pub servers: BTreeMap<id::Upstream, Server>,
    /// Paths below `path` whose calls must not be retried, regardless of the method.
    #[serde(default)]
    pub once: Vec<String>,
}

/// A server of a plain service.
#[derive(Debug, Clone, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Address of the server, `IP:port`.
    #[schemars(regex(pattern = r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$"))]
    pub address: String,
    /// Data hall of the server.
    pub hall: id::Hall,
}

/// Settings of an organisation (its branch).
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Organisation {
    /// SHA-256 hashes of the organisation's bearer keys, hexadecimal.
    #[schemars(inner(regex(pattern = r"^[0-9a-f]{64}$")))]
    pub keys: Vec<String>,
    /// Settings that the organisation overrides.
    #[schemars(with = "Policy")]
    pub policy: Map<String, Value>,
    /// Kinds of requests of the organisation, by name.
    pub kinds: BTreeMap<id::Kind, Kind>,
}

/// A kind of requests.
#[derive(Debug, Clone, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Kind {
    /// Settings that this kind overrides.
    #[schemars(with = "Policy")]
    pub policy: Map<String, Value>,
}
