//! Data halls that an operator has drained. The upstreams of a drained hall get no new requests until it is
//! undrained.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use serde::{Deserialize, Serialize};

use super::{Cluster, Upstream};
use crate::revision::Revision;

/// Most halls that are remembered. Names are not checked, so those of no existing hall count too.
const MOST_HALLS: usize = 256;

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
    read_at: Revision,
}

impl Halls {
    /// Applies a state of a hall if it is newer. Returns whether the hall became drained or undrained.
    pub fn note(&mut self, hall: Hall) -> bool {
        match self.halls.entry(hall.name.clone()) {
            Entry::Vacant(entry) => {
                let drained = hall.drained;
                entry.insert(hall);
                self.forget_one();
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
    pub fn read(&mut self, drained: &[&str], at: Revision) -> Vec<String> {
        self.read_at = self.read_at.max(at);
        let unlisted = |hall: &&mut Hall| {
            hall.drained && hall.revision < at && !drained.contains(&hall.name.as_str())
        };
        let take_back = |hall: &mut Hall| {
            *hall = Hall { drained: false, revision: at, ..hall.clone() };
            hall.name.clone()
        };
        self.halls.values_mut().filter(unlisted).map(take_back).collect()
    }

    /// Merges the halls of a peer. Returns those that became drained or undrained.
    pub fn merge(&mut self, told: &Halls) -> Vec<Hall> {
        let mut news: Vec<Hall> =
            told.halls.values().filter(|hall| self.note((*hall).clone())).cloned().collect();
        let known: Vec<&str> = told.halls.keys().map(String::as_str).collect();
        for name in self.read(&known, told.read_at) {
            news.extend(self.halls.get(&name).cloned());
        }
        news
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
    fn forget_one(&mut self) {
        if self.halls.len() <= MOST_HALLS {
            return;
        }
        let open = self.halls.values().filter(|hall| !hall.drained);
        let first = open.min_by_key(|hall| hall.revision).map(|hall| hall.name.clone());
        if let Some(name) = first {
            self.halls.remove(&name);
        }
    }
}

impl Cluster {
    /// Applies a change of a hall in the directory. Returns whether the hall became drained or undrained.
    pub fn note_hall(&mut self, hall: Hall) -> bool {
        let news = self.halls.note(hall);
        if news {
            self.halls_changed();
        }
        news
    }

    /// Applies a full sync of the directory at this revision, which listed these halls as drained. Returns the
    /// names of the halls that became undrained.
    pub fn read_halls(&mut self, drained: &[&str], at: Revision) -> Vec<String> {
        let taken_back = self.halls.read(drained, at);
        self.halls_changed();
        taken_back
    }

    /// Merges the halls of a peer. Returns those that became drained or undrained.
    pub fn hear_halls(&mut self, told: &Halls) -> Vec<Hall> {
        let news = self.halls.merge(told);
        self.halls_changed();
        news
    }

    /// The drained and undrained halls.
    pub fn halls(&self) -> &Halls {
        &self.halls
    }

    fn halls_changed(&mut self) {
        self.digest.set(None);
        for upstream in self.upstreams.values_mut() {
            upstream.drained = self.halls.is_drained(&upstream.listed.hall);
        }
    }

    /// Whether a service has upstreams that are not leaving, and all of these are in drained halls.
    pub fn is_drained(&self, service: &str) -> bool {
        let staying = |u: &&Upstream| u.listed.service == service && !u.is_leaving();
        let mut staying = self.upstreams.values().filter(staying).peekable();
        staying.peek().is_some() && staying.all(|upstream| upstream.drained)
    }
}
