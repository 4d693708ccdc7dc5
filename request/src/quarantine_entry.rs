//! The directory entry of a quarantined request or part of prompts.

use std::hash::{Hash, Hasher};

use foldlock_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::part::Part;

/// The directory entry of a quarantined request or part of prompts, read by all VMs and by operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The fingerprint, which is the same for all copies of the request.
    pub fingerprint: Fingerprint,
    /// The organisation of its key; empty if it had none, and for a part.
    pub organisation: String,
    /// Its path; empty for a part.
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
    /// The part, if requests with it are quarantined whatever else they hold.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<Part>,
}

/// Without the part, which VMs of the previous release do not have and the fingerprint determines: the digest of the
/// listings is equal on all VMs.
impl Hash for Entry {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.fingerprint.hash(state);
        self.organisation.hash(state);
        self.path.hash(state);
        self.service.hash(state);
        self.request.hash(state);
        self.vm.hash(state);
        self.ended.hash(state);
        self.proofs.hash(state);
        self.until_ms.hash(state);
    }
}
