//! A request that is held, as the directory lists it.

use foldlock_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;

/// A request that is kept from all upstreams, as the directory lists it for all VMs and for operators.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// The request, however often it comes.
    pub fingerprint: Fingerprint,
    /// Whose key it had; empty where it had none.
    pub organisation: String,
    /// Its path.
    pub path: String,
    /// The service that it went to.
    pub service: String,
    /// The arrival that was the last proof.
    pub request: id::Request,
    /// The VM that it came to.
    pub vm: id::Vm,
    /// Upstreams that are known to have ended under it.
    pub ended: u32,
    /// How often it ended one while it ran alone.
    pub proofs: u32,
    /// Until when it is held, milliseconds since 1970.
    pub until_ms: u64,
}
