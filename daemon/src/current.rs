//! The settings version in force. Its number only increases.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, RwLock};

use foldlock_request::cursor::Key;
use foldlock_version::check::Fault;
use foldlock_version::head::{Hash, Head};
use foldlock_version::tree::{Texts, Tree};
use tokio::sync::watch;

/// A settings version and what is derived from it.
pub struct Version {
    /// The head of this version.
    pub head: Head,
    /// The texts of the branches.
    pub texts: Texts,
    /// The resolved settings.
    pub tree: Tree,
    /// The key that signs cursors.
    pub key: Key,
}

impl Version {
    fn empty() -> Version {
        Version {
            head: Head::default(),
            texts: Texts::new(),
            tree: Tree::default(),
            key: Key::new(""),
        }
    }

    /// The texts of the branches, by hash.
    pub fn texts_by_hash(&self) -> BTreeMap<Hash, Arc<str>> {
        let hashed = |(name, text): (_, &Arc<str>)| (self.head.branches.get(name), text.clone());
        self.texts.iter().map(hashed).filter_map(|(h, t)| Some((h?.clone(), t))).collect()
    }
}

/// Result of an attempt to put a version in force.
#[derive(Debug)]
pub enum Outcome {
    /// The version is in force.
    Advanced,
    /// The version is not newer than the one in force, or was refused before.
    Stale,
    /// The version has faults by the checks of this release; the previous one stays in force.
    Refused(Vec<Fault>),
}

/// Holds the version in force.
pub struct Current {
    version: RwLock<Arc<Version>>,
    /// Held while a version is put in force, so that versions are prepared in their order.
    advancing: Mutex<()>,
    newest_refused: RwLock<u64>,
    number: watch::Sender<u64>,
}

impl Default for Current {
    fn default() -> Self {
        Current {
            version: RwLock::new(Arc::new(Version::empty())),
            advancing: Mutex::new(()),
            newest_refused: RwLock::new(0),
            number: watch::Sender::new(0),
        }
    }
}

impl Current {
    /// The version in force.
    pub fn get(&self) -> Arc<Version> {
        self.version.read().unwrap().clone()
    }

    /// The number of the version in force; 0 before the first.
    pub fn number(&self) -> u64 {
        *self.number.borrow()
    }

    /// Number of the newest version that this release refused; 0 if there is none.
    pub fn newest_refused(&self) -> u64 {
        *self.newest_refused.read().unwrap()
    }

    /// Whether a version is newer than both the one in force and the newest refused one.
    pub fn should_fetch(&self, number: u64) -> bool {
        number > self.number() && number > self.newest_refused()
    }

    /// Puts a version in force if it is newer and has no faults. `prepare` runs before the version
    /// becomes visible, so that a request that is admitted under it finds its engines.
    pub fn advance(&self, head: Head, texts: Texts, prepare: impl FnOnce(&Version)) -> Outcome {
        if !self.should_fetch(head.version) {
            return Outcome::Stale;
        }
        let tree = match Tree::build(&texts) {
            Ok(tree) => tree,
            Err(faults) => {
                let mut newest = self.newest_refused.write().unwrap();
                *newest = (*newest).max(head.version);
                return Outcome::Refused(faults);
            }
        };
        let key = Key::new(&tree.fleet.cursor_secret);
        let number = head.version;
        let next = Arc::new(Version { head, texts, tree, key });
        let _advancing = self.advancing.lock().unwrap();
        if self.get().head.version >= number {
            return Outcome::Stale;
        }
        prepare(&next);
        *self.version.write().unwrap() = next;
        self.number.send_if_modified(|n| {
            let newer = number > *n;
            *n = (*n).max(number);
            newer
        });
        Outcome::Advanced
    }
}
