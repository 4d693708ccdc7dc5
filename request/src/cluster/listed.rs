//! An upstream as the directory lists it, and its incarnation.

use std::hash::{Hash, Hasher};

use foldlock_base::id;
use serde::{Deserialize, Serialize};

use crate::revision::Revision;
use crate::tag::Tag;

/// An upstream as the directory lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The upstream. It may restart under the same id; `born` tells its incarnations apart.
    pub id: id::Upstream,
    /// When its process started, milliseconds since 1970 by its own clock; none if it does not report that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<u64>,
    /// The directory's revision of this entry. Of two entries of one upstream the one with the higher revision is
    /// newer, whatever its source. Default if unknown.
    #[serde(default, skip_serializing_if = "Revision::is_none")]
    pub revision: Revision,
    /// Its service.
    pub service: String,
    /// The address that it listens on, `IP:port`.
    pub address: String,
    /// Its data hall.
    pub hall: String,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new requests.
    pub leaving: bool,
    /// For how much longer it is cold, milliseconds from when this was written. A cold upstream is slow and crashes
    /// under more than a few requests.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_ms: u32,
}

fn is_zero(ms: &u32) -> bool {
    *ms == 0
}

impl Listed {
    /// The tag of this incarnation, by which VMs refer to it in messages.
    pub fn tag(&self) -> Tag {
        match self.born {
            Some(born) => Tag::of(&format!("{} {born}", self.id)),
            None => Tag::of(self.id.as_str()),
        }
    }

    /// Whether this is another incarnation than `other`. Load, memory and counters of one do not apply to the
    /// other.
    pub fn is_other_incarnation(&self, other: &Listed) -> bool {
        self.born.is_some() && other.born.is_some() && self.born != other.born
    }

    /// Whether it equals `other` apart from the revision and the time for which it is cold.
    pub(super) fn is_equivalent(&self, other: &Listed) -> bool {
        *self == Listed { revision: self.revision, cold_ms: self.cold_ms, ..other.clone() }
    }
}

impl Hash for Listed {
    /// Ignores the revision and the time for which the upstream is cold, so that equivalent entries hash alike.
    fn hash<H: Hasher>(&self, state: &mut H) {
        (&self.id, self.born, &self.service, &self.address).hash(state);
        (&self.hall, self.slots, self.leaving).hash(state);
    }
}

/// A restart of an upstream that it reported itself, before the directory listed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Restart {
    /// The upstream.
    pub upstream: id::Upstream,
    /// The time of the restart, milliseconds since 1970 by the upstream's clock.
    pub born: u64,
}
