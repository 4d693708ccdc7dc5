//! Entries of the directory that name nothing to use: which, since which version, and why.

use std::collections::BTreeMap;
use std::sync::Mutex;

use foldlock_request::revision::Revision;
use serde::Serialize;

/// Entries that are remembered; one more is logged each time that it is read.
const MAX_ENTRIES: usize = 256;

/// An entry that names nothing to use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// The directory's revision of it.
    pub revision: Revision,
    /// Why.
    pub why: String,
}

/// The entries, by their keys.
#[derive(Debug, Default)]
pub struct Entries(Mutex<BTreeMap<String, Entry>>);

impl Entries {
    /// Notes an entry. Answers whether this version of it is news.
    pub fn insert(&self, key: &str, revision: Revision, why: &str) -> bool {
        let mut entries = self.0.lock().unwrap();
        if entries.get(key).is_some_and(|known| known.revision == revision) {
            return false;
        }
        if entries.len() < MAX_ENTRIES || entries.contains_key(key) {
            entries.insert(key.to_owned(), Entry { revision, why: why.to_owned() });
        }
        true
    }

    /// An entry can be used again.
    pub fn remove(&self, key: &str) {
        self.0.lock().unwrap().remove(key);
    }

    /// All of them, for a dump.
    pub fn all(&self) -> BTreeMap<String, Entry> {
        self.0.lock().unwrap().clone()
    }
}
