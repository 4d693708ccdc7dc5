//! Quarantined requests, as the directory lists them.

use std::time::{Duration, Instant};

use super::Cluster;
use crate::fingerprint::Fingerprint;
use crate::quarantine_entry;

/// Maximum number of released requests that are remembered, in case a restored copy of the directory still lists
/// them: as many as an operator releases within some seconds.
const MAX_RELEASED: usize = 256;

impl Cluster {
    /// Applies a directory entry of a quarantined request. Returns whether it is new or has changed.
    pub fn list_quarantined(
        &mut self,
        entry: quarantine_entry::Entry,
        now: Instant,
        wall_ms: u64,
    ) -> bool {
        let remaining = Duration::from_millis(entry.until_ms.saturating_sub(wall_ms));
        self.quarantine.merge_entry(entry.fingerprint, entry.proofs, remaining, now);
        self.digest.set(None);
        self.quarantined.insert(entry.fingerprint, entry.clone()).as_ref() != Some(&entry)
    }

    /// Releases a request that the directory no longer lists as quarantined. Returns whether it was listed.
    pub fn unlist_quarantined(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let was_listed = self.quarantined.remove(&fingerprint).is_some();
        if was_listed {
            self.digest.set(None);
            self.quarantine.release(fingerprint, now);
            if self.released.len() == MAX_RELEASED {
                self.released.pop_front();
            }
            self.released.push_back(fingerprint);
        }
        was_listed
    }

    /// Whether a request was listed as quarantined, has been released and is not listed again.
    pub fn is_released(&self, fingerprint: Fingerprint) -> bool {
        self.released.contains(&fingerprint) && !self.quarantined.contains_key(&fingerprint)
    }

    /// The requests that the directory lists as quarantined.
    pub fn quarantined(&self) -> impl Iterator<Item = &quarantine_entry::Entry> {
        self.quarantined.values()
    }
}
