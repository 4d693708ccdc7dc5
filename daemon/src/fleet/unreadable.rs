//! Directory entries that cannot be decoded, each with its revision and the reason.

use std::collections::BTreeMap;
use std::sync::Mutex;

use foldlock_request::revision::Revision;
use serde::Serialize;

/// Maximum number of recorded entries. Further ones are logged each time they are read.
const MAX_ENTRIES: usize = 256;

/// A directory entry that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// The revision at which it was written.
    pub revision: Revision,
    /// Why it cannot be decoded.
    pub why: String,
}

/// The entries by key.
#[derive(Debug, Default)]
pub struct Entries(Mutex<BTreeMap<String, Entry>>);

impl Entries {
    /// Records an entry. Returns whether this version of it was not recorded yet.
    pub fn insert(&self, key: &str, revision: Revision, why: &str) -> bool {
        let mut entries = self.0.lock().unwrap();
        if entries.get(key).is_some_and(|entry| entry.revision == revision) {
            return false;
        }
        if entries.len() < MAX_ENTRIES || entries.contains_key(key) {
            entries.insert(key.to_owned(), Entry { revision, why: why.to_owned() });
        }
        true
    }

    /// Removes an entry that can be decoded again.
    pub fn remove(&self, key: &str) {
        self.0.lock().unwrap().remove(key);
    }

    /// All entries, for a dump.
    pub fn all(&self) -> BTreeMap<String, Entry> {
        self.0.lock().unwrap().clone()
    }
}
