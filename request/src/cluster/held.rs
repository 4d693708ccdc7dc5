//! Requests that the directory lists as held.

use std::time::{Duration, Instant};

use super::Cluster;
use crate::fingerprint::Fingerprint;
use crate::quarantine_entry::QuarantineEntry;

/// Requests that were let go and are remembered: what a copy of the directory may still list, some seconds
/// of an operator's work.
const RELEASED: usize = 256;

impl Cluster {
    /// The directory lists a request that is held. Answers whether that says something new.
    pub fn list_held(&mut self, entry: QuarantineEntry, now: Instant, wall_ms: u64) -> bool {
        let time = Duration::from_millis(entry.until_ms.saturating_sub(wall_ms));
        self.quarantine.merge_entry(entry.fingerprint, entry.proofs, time, now);
        self.digest.set(None);
        self.held.insert(entry.fingerprint, entry.clone()).as_ref() != Some(&entry)
    }

    /// The directory no longer lists a request as held. Answers whether it did.
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

    /// Whether a request was let go that the directory listed as held, and was not held again.
    pub fn is_released(&self, fingerprint: Fingerprint) -> bool {
        self.released.contains(&fingerprint) && !self.held.contains_key(&fingerprint)
    }

    /// The requests that the directory lists as held.
    pub fn held(&self) -> impl Iterator<Item = &QuarantineEntry> {
        self.held.values()
    }
}
