//! The head: the one key that says which version of the settings is accepted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::branch::Name;

/// The key of the head in the store.
pub const KEY: &str = "settings/head";

/// How many changes the head's tail holds. A writer whose answer was lost finds its change there.
pub const MAX_TAIL_LEN: usize = 64;

/// The content hash of a branch's text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Hash(pub String);

impl Hash {
    /// The hash of a text: the first 16 bytes of its SHA-256, hexadecimal.
    pub fn of(text: &str) -> Hash {
        Hash(Sha256::digest(text.as_bytes())[..16].iter().map(|b| format!("{b:02x}")).collect())
    }

    /// The key of the text in the store. What stands there never changes.
    pub fn key(&self) -> String {
        format!("settings/branch/{}", self.0)
    }
}

/// One accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The version it made.
    pub version: u64,
    /// Its id, unique to the attempt.
    pub id: String,
    /// Who made it.
    pub author: String,
    /// The branches it changed.
    pub branches: Vec<Name>,
}

/// An accepted version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Grows by one with each accepted change.
    pub version: u64,
    /// The text of each branch, by hash.
    pub branches: BTreeMap<Name, Hash>,
    /// The newest changes, oldest first.
    pub tail: Vec<Change>,
}

impl Head {
    /// The head after a change that leads to `branches`.
    pub fn next(&self, id: &str, author: &str, branches: BTreeMap<Name, Hash>) -> Head {
        let version = self.version + 1;
        let changed = changed_branches(&self.branches, &branches);
        let change =
            Change { version, id: id.to_owned(), author: author.to_owned(), branches: changed };
        let keep = self.tail.len().saturating_sub(MAX_TAIL_LEN - 1);
        let tail = self.tail[keep..].iter().cloned().chain([change]).collect();
        Head { version, branches, tail }
    }

    /// The change with this id, if it was accepted of late.
    pub fn change(&self, id: &str) -> Option<&Change> {
        self.tail.iter().find(|c| c.id == id)
    }

    /// The changes after `version` that touched `branch`.
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
