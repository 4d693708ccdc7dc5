//! Quarantined requests, as the directory lists them.

use std::time::{Duration, Instant};

use super::Cluster;
use crate::fingerprint::Fingerprint;
use crate::held::Quarantined;

/// Most released requests that are remembered, in case a restored copy of the directory still lists them: as
/// many as an operator releases within some seconds.
const RELEASED: usize = 256;

impl Cluster {
    /// Applies a directory entry of a quarantined request. Returns whether it is new or has changed.
    pub fn list_held(&mut self, entry: Quarantined, now: Instant, wall_ms: u64) -> bool {
        let time = Duration::from_millis(entry.until_ms.saturating_sub(wall_ms));
        self.quarantine.hold(entry.fingerprint, entry.proofs, time, now);
        self.digest.set(None);
        self.held.insert(entry.fingerprint, entry.clone()).as_ref() != Some(&entry)
    }

    /// Releases a request that the directory no longer lists as quarantined. Returns whether it was listed.
    pub fn unlist_held(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let known = self.held.remove(&fingerprint).is_some();
        if known {
            self.digest.set(None);
            self.quarantine.release(fingerprint, now);
            if self.released.len() == RELEASED {
                self.released.pop_front();
            }
            self.released.push_back(fingerprint);
        }
        known
    }

    /// Whether a request was listed as quarantined, has been released and is not listed again.
    pub fn is_released(&self, fingerprint: Fingerprint) -> bool {
        self.released.contains(&fingerprint) && !self.held.contains_key(&fingerprint)
    }

    /// The requests that the directory lists as quarantined.
    pub fn held(&self) -> impl Iterator<Item = &Quarantined> {
        self.held.values()
    }
}
