//! Quarantined requests, as the directory lists them.

use std::time::{Duration, Instant};

use super::Cluster;
use crate::fingerprint::Fingerprint;
use crate::part::Part;
use crate::quarantine::Verdict;
use crate::quarantine_entry;
use crate::tag::Tag;

/// Maximum number of released requests that are remembered, in case a restored copy of the directory still lists
/// them: as many as an operator releases within some seconds.
const MAX_RELEASED: usize = 256;

/// Retry-After of a request with several parts that have to be probed: until then a request with one of them alone has
/// probably shown whether it is sound.
const AMBIGUOUS_RETRY: Duration = Duration::from_secs(15);

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
        if entry.part.is_some() {
            self.crash_log.record_culprit(entry.fingerprint);
        }
        self.digest.set(None);
        self.quarantined.insert(entry.fingerprint, entry.clone()).as_ref() != Some(&entry)
    }

    /// How requests with these shared parts may run, if not like others: the strictest verdict, with its part. One with
    /// several parts that each have to be probed is no probe, since its crash would not tell which part caused it.
    pub fn part_verdict(
        &self,
        service: Tag,
        parts: &[Part],
        now: Instant,
    ) -> Option<(Part, Verdict)> {
        if self.quarantine.is_empty() {
            return None;
        }
        let verdicts: Vec<(Part, Verdict)> = parts
            .iter()
            .map(|part| (*part, self.quarantine.verdict(part.fingerprint(service), now)))
            .filter(|(_, verdict)| *verdict != Verdict::Shared)
            .collect();
        let strictest = verdicts.iter().max_by_key(|(_, verdict)| match verdict {
            Verdict::Quarantined(left) => *left,
            Verdict::Shared | Verdict::Isolated => Duration::ZERO,
        });
        match strictest {
            Some((part, Verdict::Isolated)) if verdicts.len() > 1 => {
                Some((*part, Verdict::Quarantined(AMBIGUOUS_RETRY)))
            }
            strictest => strictest.copied(),
        }
    }

    /// Releases a request that the directory no longer lists as quarantined. Returns whether it was listed.
    pub fn unlist_quarantined(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let was_listed = self.quarantined.remove(&fingerprint).is_some();
        if was_listed {
            self.digest.set(None);
            self.quarantine.release(fingerprint, now);
            self.crash_log.release(fingerprint, now);
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
