//! The listings as this VM has them, and the directory revision that they correspond to.

use std::time::{Duration, Instant};

use foldlock_request::dialect::Dialect;
use foldlock_request::directory::Listing;
use foldlock_request::revision::Revision;

use super::Process;
use crate::fleet::metrics::Step;

impl<D: Dialect> Process<D> {
    /// The directory revision up to which changes of the listings have been received. Unset before the first
    /// listing.
    pub fn revision(&self) -> Revision {
        *self.revision.lock().unwrap()
    }

    /// Records that changes of the listings were received up to this revision. Returns the revision before.
    pub fn advance_revision(&self, revision: Revision) -> Revision {
        let mut current = self.revision.lock().unwrap();
        let before = *current;
        *current = before.max(revision);
        if before.is_none() && !revision.is_none() {
            self.observe_startup(Step::Listings);
        }
        before
    }

    /// Records that the directory was restored from an older copy.
    pub fn record_restored(&self) {
        *self.restored.lock().unwrap() = Some(self.now());
    }

    /// When the directory was restored from an older copy, if that was less than `within` ago.
    pub fn restored_within(&self, within: Duration) -> Option<Instant> {
        let at = (*self.restored.lock().unwrap())?;
        (self.now().saturating_duration_since(at) < within).then_some(at)
    }

    /// The listings as this VM has them: upstreams, VMs, quarantined requests and halls.
    pub fn listing(&self) -> Listing {
        let cluster = self.cluster.lock().unwrap();
        let upstreams = cluster.peer_listings(self.now()).collect();
        let quarantined = cluster.quarantined().cloned().collect();
        let halls = cluster.halls().clone();
        let unlisted = cluster.unlisted().cloned().collect();
        drop(cluster);
        let members = self.peers.members();
        Listing { revision: self.revision(), upstreams, members, quarantined, halls, unlisted }
    }
}
