//! Data halls that an operator has drained. The upstreams of a drained hall get no new requests until it is
//! undrained.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use serde::{Deserialize, Serialize};

use super::{Cluster, Upstream};
use crate::revision::Revision;

/// Maximum number of halls that are remembered. Names are not checked, so those of no existing hall count too.
const MAX_HALLS: usize = 256;

/// The newest state of a hall in the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hall {
    /// The hall's name.
    pub name: String,
    /// Whether it is drained; otherwise it has been undrained.
    pub drained: bool,
    /// The directory's revision of this state. Of two states of one hall the one with the higher revision is
    /// newer, whatever its source.
    pub revision: Revision,
}

/// All halls that the directory has listed as drained or undrained.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Halls {
    halls: BTreeMap<String, Hall>,
    /// The revision of the newest full sync. A hall that it did not list was not drained at that revision.
    #[serde(rename = "read_at")]
    synced_at: Revision,
}

impl Halls {
    /// Applies a state of a hall if it is newer. Returns whether the hall became drained or undrained.
    pub fn update(&mut self, hall: Hall) -> bool {
        match self.halls.entry(hall.name.clone()) {
            Entry::Vacant(entry) => {
                let drained = hall.drained;
                entry.insert(hall);
                self.evict_one();
                drained
            }
            Entry::Occupied(mut entry) => {
                if hall.revision <= entry.get().revision {
                    return false;
                }
                entry.insert(hall.clone()).drained != hall.drained
            }
        }
    }

    /// Applies a full sync at this revision, which listed these halls as drained and so all others as undrained.
    /// Returns the names of the halls that became undrained.
    pub fn sync(&mut self, drained: &[&str], at: Revision) -> Vec<String> {
        self.synced_at = self.synced_at.max(at);
        let unlisted = |hall: &&mut Hall| {
            hall.drained && hall.revision < at && !drained.contains(&hall.name.as_str())
        };
        let undrain = |hall: &mut Hall| {
            *hall = Hall { drained: false, revision: at, ..hall.clone() };
            hall.name.clone()
        };
        self.halls.values_mut().filter(unlisted).map(undrain).collect()
    }

    /// Merges the halls of a peer. Returns those that became drained or undrained.
    pub fn merge(&mut self, announced: &Halls) -> Vec<Hall> {
        let mut changed: Vec<Hall> =
            announced.halls.values().filter(|hall| self.update((*hall).clone())).cloned().collect();
        let listed: Vec<&str> = announced.halls.keys().map(String::as_str).collect();
        for name in self.sync(&listed, announced.synced_at) {
            changed.extend(self.halls.get(&name).cloned());
        }
        changed
    }

    /// Whether a hall is drained.
    pub fn is_drained(&self, name: &str) -> bool {
        self.halls.get(name).is_some_and(|hall| hall.drained)
    }

    /// The drained halls, ordered by name.
    pub fn drained(&self) -> impl Iterator<Item = &Hall> {
        self.halls.values().filter(|hall| hall.drained)
    }

    /// Drops the hall that was undrained first if there are too many.
    fn evict_one(&mut self) {
        if self.halls.len() <= MAX_HALLS {
            return;
        }
        let undrained = self.halls.values().filter(|hall| !hall.drained);
        let oldest = undrained.min_by_key(|hall| hall.revision).map(|hall| hall.name.clone());
        if let Some(name) = oldest {
            self.halls.remove(&name);
        }
    }
}

impl Cluster {
    /// Applies a change of a hall in the directory. Returns whether the hall became drained or undrained.
    pub fn update_hall(&mut self, hall: Hall) -> bool {
        let changed = self.halls.update(hall);
        if changed {
            self.apply_halls();
        }
        changed
    }

    /// Applies a full sync of the directory at this revision, which listed these halls as drained. Returns the
    /// names of the halls that became undrained.
    pub fn sync_halls(&mut self, drained: &[&str], at: Revision) -> Vec<String> {
        let undrained = self.halls.sync(drained, at);
        self.apply_halls();
        undrained
    }

    /// Merges the halls of a peer. Returns those that became drained or undrained.
    pub fn merge_halls(&mut self, announced: &Halls) -> Vec<Hall> {
        let changed = self.halls.merge(announced);
        self.apply_halls();
        changed
    }

    /// The drained and undrained halls.
    pub fn halls(&self) -> &Halls {
        &self.halls
    }

    fn apply_halls(&mut self) {
        self.digest.set(None);
        for upstream in self.upstreams.values_mut() {
            upstream.drained = self.halls.is_drained(&upstream.listed.hall);
        }
    }

    /// Whether a service has upstreams that are not leaving, and all of these are in drained halls.
    pub fn is_drained(&self, service: &str) -> bool {
        let remaining = |u: &&Upstream| u.listed.service == service && !u.is_leaving();
        let mut remaining = self.upstreams.values().filter(remaining).peekable();
        remaining.peek().is_some() && remaining.all(|upstream| upstream.drained)
    }
}
