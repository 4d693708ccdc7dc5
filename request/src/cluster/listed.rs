//! An upstream as the directory lists it, and which start of its program that is.

use std::hash::{Hash, Hasher};

use foldlock_base::id;
use serde::{Deserialize, Serialize};

use crate::revision::Revision;
use crate::tag::Tag;

/// An upstream as the directory lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The instance. It may start again under the same id; then it is another one, see `born`.
    pub id: id::Upstream,
    /// When this start of its program was, milliseconds since 1970 by its own clock; none where it does
    /// not say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<u64>,
    /// The directory's revision of this entry: of two words of one upstream the higher is the newer one,
    /// whoever brings it. None where there are none.
    #[serde(default, skip_serializing_if = "Revision::is_none")]
    pub revision: Revision,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens, `IP:port`.
    pub address: String,
    /// The data hall that it is in.
    pub hall: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to leave and takes no new work.
    pub leaving: bool,
    /// How much longer it is cold, milliseconds from when this was said: slow, and it bears few requests.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_ms: u32,
}

fn is_zero(ms: &u32) -> bool {
    *ms == 0
}

impl Listed {
    /// How VMs name this start of it to each other.
    pub fn tag(&self) -> Tag {
        match self.born {
            Some(born) => Tag::of(&format!("{} {born}", self.id)),
            None => Tag::of(self.id.as_str()),
        }
    }

    /// Whether this is another start of the program than `other`: work, memory and counts of one say
    /// nothing of the other.
    pub fn is_other_start(&self, other: &Listed) -> bool {
        self.born.is_some() && other.born.is_some() && self.born != other.born
    }

    /// Whether it says the same as `other`, under whatever revision and for however long it is cold.
    pub(super) fn says_the_same(&self, other: &Listed) -> bool {
        *self == Listed { revision: self.revision, cold_ms: self.cold_ms, ..other.clone() }
    }
}

impl Hash for Listed {
    /// Two words that say the same are alike, whatever their revisions.
    fn hash<H: Hasher>(&self, state: &mut H) {
        (&self.id, self.born, &self.service, &self.address).hash(state);
        (&self.hall, self.slots, self.leaving).hash(state);
    }
}

/// A start of an upstream that was learnt from its own word before the directory told of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The upstream.
    pub upstream: id::Upstream,
    /// When it was, milliseconds since 1970 by the upstream's clock.
    pub born: u64,
}
