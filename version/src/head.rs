//! The head: the key in the store that determines which version of the settings is in force.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::branch::Name;

/// Key of the head in the store.
pub const KEY: &str = "settings/head";

/// Maximum number of changes in the tail of the head. A writer that got no response to its write
/// looks its change up there.
pub const MAX_TAIL_LEN: usize = 64;

/// Content hash of the text of a branch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Hash(pub String);

impl Hash {
    /// Hash of a text: the first 16 bytes of its SHA-256, hexadecimal.
    pub fn of(text: &str) -> Hash {
        Hash(Sha256::digest(text.as_bytes())[..16].iter().map(|b| format!("{b:02x}")).collect())
    }

    /// Key of the text in the store. The value of this key never changes.
    pub fn key(&self) -> String {
        format!("settings/branch/{}", self.0)
    }
}

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version that it created.
    pub version: u64,
    /// Id, unique to the attempt to publish.
    pub id: String,
    /// Operator that made the change.
    pub author: String,
    /// Branches that it changed.
    pub branches: Vec<Name>,
}

/// An accepted version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Version number; increases by one with each accepted change.
    pub version: u64,
    /// Hash of the text of each branch.
    pub branches: BTreeMap<Name, Hash>,
    /// Most recent changes, oldest first.
    pub tail: Vec<Change>,
}

impl Head {
    /// The next head, in which the branches are `branches`.
    pub fn next(&self, id: &str, author: &str, branches: BTreeMap<Name, Hash>) -> Head {
        let version = self.version + 1;
        let changed = changed_branches(&self.branches, &branches);
        let change =
            Change { version, id: id.to_owned(), author: author.to_owned(), branches: changed };
        let dropped = self.tail.len().saturating_sub(MAX_TAIL_LEN - 1);
        let tail = self.tail[dropped..].iter().cloned().chain([change]).collect();
        Head { version, branches, tail }
    }

    /// The change with this id, if it is among the most recent ones.
    pub fn change(&self, id: &str) -> Option<&Change> {
        self.tail.iter().find(|c| c.id == id)
    }

    /// The recent changes after `version` that changed `branch`.
    pub fn since<'a>(
        &'a self,
        version: u64,
        branch: &'a Name,
    ) -> impl Iterator<Item = &'a Change> + 'a {
        self.tail.iter().filter(move |c| c.version > version && c.branches.contains(branch))
    }
}

/// The branches that differ between two versions.
pub fn changed_branches(a: &BTreeMap<Name, Hash>, b: &BTreeMap<Name, Hash>) -> Vec<Name> {
    let mut names: Vec<Name> = a.keys().chain(b.keys()).cloned().collect();
    names.sort();
    names.dedup();
    names.retain(|n| a.get(n) != b.get(n));
    names
}
