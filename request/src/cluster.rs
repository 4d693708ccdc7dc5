//! The cluster state: all upstreams, and the in-flight attempts at them of this VM and of the peers that
//! announce theirs.
//!
//! A VM announces all of its attempts each time, so a lost message costs accuracy for one heartbeat interval
//! and nothing else. The load of each upstream is updated incrementally as attempts begin and end.

mod evidence;
mod flights;
mod halls;
mod limits;
mod listed;
mod load;
mod outcomes;
mod quarantined;
mod reports;
mod restarts;
mod upstream;

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use xxhash_rust::xxh3::Xxh3;

use crate::crash_log;
use crate::evidence::Evidence;
use crate::fingerprint::Fingerprint;
use crate::quarantine::Quarantine;
use crate::quarantine_entry;
use crate::revision::Revision;
use crate::suspicion::Suspicion;
use crate::tag::Tag;

pub use evidence::{Doubted, Due, Round};
pub use flights::Holder;
pub use halls::{Hall, Halls};
pub use limits::Dispatch;
pub use listed::{Listed, Restart};
pub use load::{INTERACTIVE_PAUSE_MS, Load};
pub use outcomes::Completion;
pub use upstream::Upstream;

/// Maximum number of removed upstreams that are remembered. No message is delayed for as long as it takes for this many
/// upstreams to be removed.
const MAX_REMOVED: usize = 1_024;

/// The upstreams and in-flight attempts, as this VM has received them.
#[derive(Debug, Default)]
pub struct Cluster {
    upstreams: BTreeMap<id::Upstream, Upstream>,
    halls: Halls,
    /// Removed upstreams, each with the revision at which it was absent.
    removed: VecDeque<(id::Upstream, Revision)>,
    restarts: VecDeque<(Instant, Restart)>,
    tags: HashMap<Tag, id::Upstream>,
    flights: flights::Flights,
    /// First events that are awaited, where this VM asks for reports by evidence.
    awaited: evidence::Queue,
    /// Requests during which upstreams crashed.
    pub quarantine: Quarantine,
    /// Crashes of upstreams by the parts of the prompts that they interrupted.
    pub crash_log: crash_log::Log,
    /// Quarantined requests that the directory lists.
    quarantined: BTreeMap<Fingerprint, quarantine_entry::Entry>,
    /// Requests that the directory listed as quarantined and that have been released.
    released: VecDeque<Fingerprint>,
    outcomes: VecDeque<(Instant, Completion)>,
    merged_outcomes: HashMap<id::Vm, u64>,
    own_dispatches: limits::OwnDispatches,
    /// Number of upstreams with a rate limit.
    limited_count: usize,
    last_number: u64,
    /// The digest of the listings, cached until one changes, since every heartbeat includes it.
    digest: Cell<Option<u64>>,
}

impl Cluster {
    /// Applies a listing. Returns whether it is new or has changed. A later incarnation of the upstream discards
    /// all state of the one before.
    pub fn list(&mut self, listed: Listed) -> bool {
        self.digest.set(None);
        let Some(current) = self.upstreams.get_mut(&listed.id) else {
            self.insert(listed);
            return true;
        };
        current.unlisted = None;
        if listed.is_other_incarnation(&current.listed) {
            // The entry of the previous incarnation, read again after the upstream itself reported its restart.
            let is_late = listed.revision <= current.listed.revision;
            if is_late && listed.born < current.listed.born {
                return false;
            }
            self.take_upstream(&listed.id.clone());
            self.insert(listed);
            return true;
        }
        let changed = !listed.is_equivalent(&current.listed);
        // A start time reported by the upstream itself is kept until the directory lists one.
        let born = listed.born.or(current.listed.born);
        current.drained = self.halls.is_drained(&listed.hall);
        current.listed = Listed { born, ..listed };
        changed
    }

    /// Applies a listing of a directory that was restored from an older copy. Upstreams removed since that copy
    /// stay removed, earlier incarnations are ignored, and leaving upstreams stay leaving: the upstreams that
    /// still run write their entries again. Returns whether the listing has changed.
    pub fn list_restored(&mut self, listed: Listed) -> bool {
        if self.removed.iter().any(|(id, _)| *id == listed.id) {
            return false;
        }
        let Some(current) = self.upstreams.get(&listed.id).map(|current| &current.listed) else {
            return self.list(listed);
        };
        let is_other = listed.is_other_incarnation(current);
        if is_other && listed.born < current.born {
            return false;
        }
        let leaving = listed.leaving || !is_other && current.leaving;
        self.list(Listed { leaving, ..listed })
    }

    fn insert(&mut self, listed: Listed) {
        let (id, tag) = (listed.id.clone(), listed.tag());
        self.tags.insert(tag, id.clone());
        let drained = self.halls.is_drained(&listed.hall);
        let upstream = Upstream {
            listed,
            tag,
            reported_leaving: false,
            drained,
            suspicion: Suspicion::default(),
            observed: None,
            is_own_report: false,
            cold_until: None,
            rate_limit: None,
            unlisted: None,
            evidence: Evidence::default(),
        };
        self.upstreams.insert(id, upstream);
    }

    fn take_upstream(&mut self, id: &id::Upstream) -> Option<Upstream> {
        let upstream = self.upstreams.remove(id)?;
        self.tags.remove(&upstream.tag);
        self.flights.clear_upstream(id);
        self.limited_count -= usize::from(upstream.is_limited());
        Some(upstream)
    }

    /// The tag of the current incarnation of an upstream, or of its id if the upstream is unknown.
    pub fn tag_of(&self, id: &id::Upstream) -> Tag {
        self.upstreams.get(id).map_or_else(|| Tag::of(id.as_str()), |current| current.tag)
    }

    /// Removes an upstream that is absent from the listings at a revision. Returns whether it was listed.
    pub fn remove(&mut self, id: &id::Upstream, revision: Revision) -> bool {
        self.digest.set(None);
        let was_listed = self.take_upstream(id).is_some();
        if was_listed {
            self.record_removal(id.clone(), revision);
        }
        was_listed
    }

    /// All listings, as sent to a peer. Only upstreams that were removed or unreadable and came back carry a
    /// revision, since only these need it: with a revision in each entry, 3,000 upstreams take 49 kB in place
    /// of 37 for each VM that reads them.
    pub fn peer_listings(&self, now: Instant) -> impl Iterator<Item = Listed> {
        self.upstreams.values().map(move |upstream| {
            let listed = &upstream.listed;
            let came_back = self.removed.iter().any(|(id, _)| *id == listed.id);
            let revision = if came_back { listed.revision } else { Revision::default() };
            let cold = upstream.cold_until.map(|until| until.saturating_duration_since(now));
            let cold_ms = cold.map_or(0, |left| left.as_millis() as u32);
            Listed { revision, cold_ms, ..listed.clone() }
        })
    }

    /// Sets for how much longer an upstream is cold.
    pub fn set_cold(&mut self, id: &id::Upstream, left: Duration, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.cold_until = (!left.is_zero()).then(|| now + left);
        }
    }

    /// Whether a listing received from a peer may be applied. Only a higher revision restores a removed upstream,
    /// or lists a leaving one as not leaving.
    pub fn accepts(&self, listed: &Listed) -> bool {
        let removed = self.removed.iter().find(|(id, _)| *id == listed.id);
        if removed.is_some_and(|(_, revision)| listed.revision <= *revision) {
            return false;
        }
        let Some(current) = self.upstreams.get(&listed.id).map(|current| &current.listed) else {
            return true;
        };
        if listed.is_other_incarnation(current) {
            let ordered = listed.revision != current.revision
                && !listed.revision.min(current.revision).is_none();
            return if ordered {
                listed.revision > current.revision
            } else {
                listed.born > current.born
            };
        }
        listed.leaving || !current.leaving || listed.revision > current.revision
    }

    fn record_removal(&mut self, id: id::Upstream, revision: Revision) {
        self.removed.retain(|(removed, _)| *removed != id);
        if self.removed.len() >= MAX_REMOVED {
            self.removed.pop_front();
        }
        self.removed.push_back((id, revision));
    }

    /// Marks an upstream whose listing lapsed while the directory was unavailable. It may still run, and is kept
    /// until [`Cluster::expire`].
    pub fn unlist(&mut self, id: &id::Upstream, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.unlisted.get_or_insert(now);
        }
    }

    /// The ids of upstreams that [`Cluster::unlist`] has marked.
    pub fn unlisted(&self) -> impl Iterator<Item = &id::Upstream> {
        self.upstreams.iter().filter(|(_, u)| u.unlisted.is_some()).map(|(id, _)| id)
    }

    /// Removes upstreams that have had no listing for `grace`, as of a revision, and returns their ids.
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

    /// The upstream with this id.
    pub fn get(&self, id: &id::Upstream) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// All listings, ordered by id.
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

    /// The upstreams of a service that accept new requests, ordered by id, so that the order is the same on all
    /// VMs.
    pub fn open<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams.values().filter(move |u| u.listed.service == service && u.is_open())
    }

    /// A digest of all listings, equal on VMs with the same listings.
    pub fn digest(&self) -> u64 {
        if let Some(digest) = self.digest.get() {
            return digest;
        }
        let mut hasher = Xxh3::new();
        self.listings().for_each(|listed| listed.hash(&mut hasher));
        self.quarantined().for_each(|entry| entry.hash(&mut hasher));
        self.halls.drained().for_each(|hall| hall.name.hash(&mut hasher));
        let digest = hasher.finish();
        self.digest.set(Some(digest));
        digest
    }

    /// Allocates a number for an attempt, unique within this process.
    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// The upstream with this tag.
    pub fn by_tag(&self, tag: Tag) -> Option<&Upstream> {
        self.upstreams.get(self.tags.get(&tag)?)
    }

    /// Drops the state of a peer that is down or has restarted, its in-flight attempts included.
    pub fn remove_peer(&mut self, vm: &id::Vm, now: Instant) {
        self.merged_outcomes.remove(vm);
        self.flights.clear_peer(vm, now);
    }
}
