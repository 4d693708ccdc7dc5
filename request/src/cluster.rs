//! The cluster state: every upstream that is known, and every attempt that is under way at one, of this VM
//! and of the VMs that tell it theirs.
//!
//! What a VM tells is the whole of its attempts each time, so a lost message costs accuracy for one
//! interval and nothing else; what is kept for each upstream changes only with what begins and ends
//! there.

mod flights;
mod halls;
mod held;
mod limits;
mod listed;
mod load;
mod outcomes;
mod reports;
mod starts;
mod upstream;

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use xxhash_rust::xxh3::Xxh3;

use crate::fingerprint::Fingerprint;
use crate::quarantine::Quarantine;
use crate::quarantine_entry::QuarantineEntry;
use crate::revision::Revision;
use crate::suspicion::Suspicion;
use crate::tag::Tag;

pub use flights::Holder;
pub use halls::{Hall, Halls};
pub use limits::Dispatch;
pub use listed::{Listed, Start};
pub use load::{BRISK_MS, Load};
pub use outcomes::Ended;
pub use upstream::Upstream;

/// Ended upstreams that are remembered: no message is on its way for as long as this many upstreams take
/// to end.
const ENDED: usize = 1_024;

/// The cluster state.
#[derive(Debug, Default)]
pub struct Cluster {
    upstreams: BTreeMap<id::Upstream, Upstream>,
    halls: Halls,
    /// Those that are gone, with the revision up to which that is known.
    ended: VecDeque<(id::Upstream, Revision)>,
    starts: VecDeque<(Instant, Start)>,
    tags: HashMap<Tag, id::Upstream>,
    flights: flights::Flights,
    /// Requests under which upstreams ended.
    pub quarantine: Quarantine,
    /// Those of them that the directory lists.
    held: BTreeMap<Fingerprint, QuarantineEntry>,
    /// Those that it listed once and that were let go.
    released: VecDeque<Fingerprint>,
    outcomes: VecDeque<(Instant, Ended)>,
    heard_outcomes: HashMap<id::Vm, u64>,
    own_dispatches: limits::OwnDispatches,
    /// The upstreams that name a rate limit.
    limited: usize,
    next: u64,
    /// The digest of the listings, until one changes: it is asked for with each beat.
    digest: Cell<Option<u64>>,
}

impl Cluster {
    /// Takes a listing. Answers whether it is new or says something new. A later start ends all that was
    /// believed of the one before it.
    pub fn list(&mut self, listed: Listed) -> bool {
        self.digest.set(None);
        let Some(known) = self.upstreams.get_mut(&listed.id) else {
            self.insert(listed);
            return true;
        };
        known.unlisted = None;
        if listed.is_other_start(&known.listed) {
            // The entry of the start before, read again after the upstream told of its new one.
            let is_late = listed.revision <= known.listed.revision;
            if is_late && listed.born < known.listed.born {
                return false;
            }
            self.forget(&listed.id.clone());
            self.insert(listed);
            return true;
        }
        let changed = !listed.says_the_same(&known.listed);
        // A start that the upstream itself told stays known until the directory tells one.
        let born = listed.born.or(known.listed.born);
        known.drained = self.halls.is_drained(&listed.hall);
        known.listed = Listed { born, ..listed };
        changed
    }

    /// Takes a listing of a directory that has come back from a copy of itself, which is older than what is
    /// known. What ended since does not come back, nor an earlier start, and who leaves goes on leaving;
    /// their own words reach the directory again. Answers whether it says something new.
    pub fn list_copy(&mut self, listed: Listed) -> bool {
        if self.ended.iter().any(|(id, _)| *id == listed.id) {
            return false;
        }
        let Some(known) = self.upstreams.get(&listed.id).map(|known| &known.listed) else {
            return self.list(listed);
        };
        let is_other = listed.is_other_start(known);
        if is_other && listed.born < known.born {
            return false;
        }
        let leaving = listed.leaving || !is_other && known.leaving;
        self.list(Listed { leaving, ..listed })
    }

    fn insert(&mut self, listed: Listed) {
        let (id, tag) = (listed.id.clone(), listed.tag());
        self.tags.insert(tag, id.clone());
        let drained = self.halls.is_drained(&listed.hall);
        let upstream = Upstream {
            listed,
            tag,
            told_leaving: false,
            drained,
            suspicion: Suspicion::default(),
            observed: None,
            asked: false,
            cold_until: None,
            rate_limit: None,
            unlisted: None,
        };
        self.upstreams.insert(id, upstream);
    }

    fn forget(&mut self, id: &id::Upstream) -> Option<Upstream> {
        let known = self.upstreams.remove(id)?;
        self.tags.remove(&known.tag);
        self.flights.restarted(id);
        self.limited -= usize::from(known.is_limited());
        Some(known)
    }

    /// How VMs name the start of an upstream that is known here.
    pub fn tag_of(&self, id: &id::Upstream) -> Tag {
        self.upstreams.get(id).map_or_else(|| Tag::of(id.as_str()), |known| known.tag)
    }

    /// Forgets an upstream that is gone by what is known up to a revision. Answers whether it was known.
    pub fn remove(&mut self, id: &id::Upstream, revision: Revision) -> bool {
        self.digest.set(None);
        let known = self.forget(id).is_some();
        if known {
            self.end(id.clone(), revision);
        }
        known
    }

    /// All listings as a peer is told of them. A revision goes with those alone that were gone or bad before
    /// and came back, since only these need it: with one for each entry, what 3,000 upstreams take is 49
    /// kB in place of 37, for each VM that reads it.
    pub fn relayed(&self, now: Instant) -> impl Iterator<Item = Listed> {
        self.upstreams.values().map(move |upstream| {
            let listed = &upstream.listed;
            let came_back = self.ended.iter().any(|(id, _)| *id == listed.id);
            let revision = if came_back { listed.revision } else { Revision::default() };
            let cold = upstream.cold_until.map(|until| until.saturating_duration_since(now));
            let cold_ms = cold.map_or(0, |left| left.as_millis() as u32);
            Listed { revision, cold_ms, ..listed.clone() }
        })
    }

    /// An upstream was said to be cold for so much longer.
    pub fn note_cold(&mut self, id: &id::Upstream, left: Duration, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.cold_until = (!left.is_zero()).then(|| now + left);
        }
    }

    /// Whether a peer's word of a listing may be taken: nothing that ended comes back but by a higher
    /// revision, and nothing that is leaving stays but by one.
    pub fn accepts(&self, listed: &Listed) -> bool {
        let ended = self.ended.iter().find(|(id, _)| *id == listed.id);
        if ended.is_some_and(|(_, revision)| listed.revision <= *revision) {
            return false;
        }
        let Some(known) = self.upstreams.get(&listed.id).map(|known| &known.listed) else {
            return true;
        };
        if listed.is_other_start(known) {
            let ordered =
                listed.revision != known.revision && !listed.revision.min(known.revision).is_none();
            return if ordered {
                listed.revision > known.revision
            } else {
                listed.born > known.born
            };
        }
        listed.leaving || !known.leaving || listed.revision > known.revision
    }

    fn end(&mut self, id: id::Upstream, revision: Revision) {
        self.ended.retain(|(known, _)| *known != id);
        if self.ended.len() >= ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back((id, revision));
    }

    /// The listing of an upstream ended while the directory was away: it may still live, and is
    /// kept until [`Cluster::expire`].
    pub fn unlist(&mut self, id: &id::Upstream, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.unlisted.get_or_insert(now);
        }
    }

    /// Forgets upstreams that have been without a listing for `grace`, as is known up to a revision, and
    /// names them.
    pub fn expire(
        &mut self,
        grace: Duration,
        revision: Revision,
        now: Instant,
    ) -> Vec<id::Upstream> {
        let over = |u: &Upstream| {
            u.unlisted.is_some_and(|since| now.saturating_duration_since(since) >= grace)
        };
        let gone: Vec<id::Upstream> =
            self.upstreams.iter().filter(|(_, u)| over(u)).map(|(id, _)| id.clone()).collect();
        gone.iter().for_each(|id| {
            self.remove(id, revision);
        });
        gone
    }

    /// An upstream by id.
    pub fn get(&self, id: &id::Upstream) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// All listings, in the order of their ids.
    pub fn listings(&self) -> impl Iterator<Item = &Listed> {
        self.upstreams.values().map(|u| &u.listed)
    }

    /// The upstream with this id, or at this address.
    pub fn find(&self, name: &str) -> Option<id::Upstream> {
        let mut upstreams = self.upstreams.values().map(|u| &u.listed);
        let found = upstreams.find(|l| l.id.as_str() == name || l.address == name);
        found.map(|listed| listed.id.clone())
    }

    /// The ids of all upstreams.
    pub fn ids(&self) -> impl Iterator<Item = &id::Upstream> {
        self.upstreams.keys()
    }

    /// The upstreams of a service that take new work, in the order of their ids, which is the same
    /// on all VMs.
    pub fn open<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams.values().filter(move |u| u.listed.service == service && u.is_open())
    }

    /// A digest of all listings: two cluster states with the same have the same.
    pub fn digest(&self) -> u64 {
        if let Some(digest) = self.digest.get() {
            return digest;
        }
        let mut hasher = Xxh3::new();
        self.listings().for_each(|listed| listed.hash(&mut hasher));
        self.held().for_each(|entry| entry.hash(&mut hasher));
        self.halls.drained().for_each(|hall| hall.name.hash(&mut hasher));
        let digest = hasher.finish();
        self.digest.set(Some(digest));
        digest
    }

    /// A number for an attempt, never used again.
    pub fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// The upstream with this tag.
    pub fn by_tag(&self, tag: Tag) -> Option<&Upstream> {
        self.upstreams.get(self.tags.get(&tag)?)
    }

    /// A peer is no longer heard, or has started anew: what it had under way ends with it.
    pub fn peer_lost(&mut self, vm: &id::Vm, now: Instant) {
        self.heard_outcomes.remove(vm);
        self.flights.lost(vm, now);
    }
}
