//! Data halls that an operator has drained: nothing new is sent to the upstreams of such a hall until it
//! is taken back.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use serde::{Deserialize, Serialize};

use super::{Cluster, Upstream};
use crate::revision::Revision;

/// Halls that are remembered at most. A name that nobody has is kept like any other.
const MOST_HALLS: usize = 256;

/// What is known of one hall: the newest word of the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hall {
    /// Its name.
    pub name: String,
    /// Whether it is drained; else it has been taken back.
    pub drained: bool,
    /// The directory's revision of this word. Of two words of one hall the higher is the newer one, whoever
    /// brings it.
    pub revision: Revision,
}

/// All halls of which the directory said something.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Halls {
    halls: BTreeMap<String, Hall>,
    /// The revision of the newest whole read: a hall that it did not list was not drained then.
    read_at: Revision,
}

impl Halls {
    /// Takes a word of a hall. Answers whether it is drained or taken back by it.
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

    /// A whole read, of this revision, listed these halls as drained: all others are not. Names those that
    /// are taken back by it.
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

    /// Takes what a peer knows. Answers the halls that are drained or taken back by it.
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

    /// The halls that are drained, in the order of their names.
    pub fn drained(&self) -> impl Iterator<Item = &Hall> {
        self.halls.values().filter(|hall| hall.drained)
    }

    /// Forgets the hall that was taken back first, where there are too many.
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
    /// The directory says that a hall is drained, or taken back. Answers whether that is news.
    pub fn note_hall(&mut self, hall: Hall) -> bool {
        let news = self.halls.note(hall);
        if news {
            self.halls_changed();
        }
        news
    }

    /// A whole read of the directory, of this revision, listed these halls as drained. Names those that are
    /// taken back by it.
    pub fn read_halls(&mut self, drained: &[&str], at: Revision) -> Vec<String> {
        let taken_back = self.halls.read(drained, at);
        self.halls_changed();
        taken_back
    }

    /// Takes what a peer knows of halls. Answers what is news in that.
    pub fn hear_halls(&mut self, told: &Halls) -> Vec<Hall> {
        let news = self.halls.merge(told);
        self.halls_changed();
        news
    }

    /// What is known of halls.
    pub fn halls(&self) -> &Halls {
        &self.halls
    }

    fn halls_changed(&mut self) {
        self.digest.set(None);
        for upstream in self.upstreams.values_mut() {
            upstream.drained = self.halls.is_drained(&upstream.listed.hall);
        }
    }

    /// Whether a service has upstreams that would take new work, and all of them are in drained halls.
    pub fn is_drained(&self, service: &str) -> bool {
        let staying = |u: &&Upstream| u.listed.service == service && !u.is_leaving();
        let mut staying = self.upstreams.values().filter(staying).peekable();
        staying.peek().is_some() && staying.all(|upstream| upstream.drained)
    }
}
