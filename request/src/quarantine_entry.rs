//! The directory entry of a quarantined request.

use foldlock_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;

/// The directory entry of a quarantined request, read by all VMs and by operators.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The fingerprint, which is the same for all copies of the request.
    pub fingerprint: Fingerprint,
    /// The organisation of its key; empty if it had none.
    pub organisation: String,
    /// Its path.
    pub path: String,
    /// Its service.
    pub service: String,
    /// The id of the copy under which the last solo crash occurred.
    pub request: id::Request,
    /// The VM that received that copy.
    pub vm: id::Vm,
    /// Upstreams that crashed during the request, as far as recorded.
    pub ended: u32,
    /// Number of solo crashes.
    pub proofs: u32,
    /// End of the quarantine, milliseconds since 1970.
    pub until_ms: u64,
}
