//! Reports of engines, fetched by this VM or received from a peer.

use std::time::Instant;

use foldlock_base::id;

use super::Cluster;
use super::upstream::REPORT_LASTS;
use crate::report::{self, Observed};

impl Cluster {
    /// Records a report that this VM fetched from an engine. Returns the previous one.
    pub fn observe(&mut self, id: &id::Upstream, observed: Observed) -> Option<Observed> {
        let upstream = self.upstreams.get_mut(id)?;
        upstream.is_own_report = true;
        upstream.observed.replace(observed)
    }

    /// The reports that this VM fetched and that are fresh, as announced to peers.
    pub fn told_reports(&self, now: Instant) -> Vec<report::Announcement> {
        let fresh = |o: &Observed| now.saturating_duration_since(o.at) < REPORT_LASTS;
        let asked = self.upstreams.values().filter(|u| u.is_own_report);
        asked.filter_map(|u| u.observed.filter(fresh).map(|o| o.announcement(u.tag, now))).collect()
    }

    /// Merges the reports that a peer announced, where they are newer.
    pub fn hear_reports(&mut self, told: &[report::Announcement], now: Instant) {
        for told in told {
            let Some(id) = self.tags.get(&told.upstream) else { continue };
            let Some(upstream) = self.upstreams.get_mut(id) else { continue };
            let observed = Observed::from_announcement(told, now);
            if upstream.observed.is_none_or(|known| known.at < observed.at) {
                upstream.observed = Some(observed);
                upstream.is_own_report = false;
            }
        }
    }
}
