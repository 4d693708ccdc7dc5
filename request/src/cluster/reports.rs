//! Reports of engines, fetched by this VM or received from a peer.

use std::time::Instant;

use foldlock_base::id;

use super::Cluster;
use super::upstream::REPORT_FRESHNESS_WINDOW;
use crate::report::{self, Observed};

impl Cluster {
    /// Records a report that this VM fetched from an engine. Returns the previous one.
    pub fn record_report(&mut self, id: &id::Upstream, observed: Observed) -> Option<Observed> {
        let upstream = self.upstreams.get_mut(id)?;
        upstream.is_own_report = true;
        upstream.observed.replace(observed)
    }

    /// The reports that this VM fetched and that are fresh, as announced to peers.
    pub fn announced_reports(&self, now: Instant) -> Vec<report::Announcement> {
        let is_fresh = |o: &Observed| now.saturating_duration_since(o.at) < REPORT_FRESHNESS_WINDOW;
        let own = self.upstreams.values().filter(|u| u.is_own_report);
        own.filter_map(|u| u.observed.filter(is_fresh).map(|o| o.announcement(u.tag, now)))
            .collect()
    }

    /// Merges the reports that a peer announced, where they are newer.
    pub fn merge_reports(&mut self, announced: &[report::Announcement], now: Instant) {
        for announcement in announced {
            let Some(id) = self.tags.get(&announcement.upstream) else { continue };
            let Some(upstream) = self.upstreams.get_mut(id) else { continue };
            let observed = Observed::from_announcement(announcement, now);
            if upstream.observed.is_none_or(|current| current.at < observed.at) {
                upstream.observed = Some(observed);
                upstream.is_own_report = false;
            }
        }
    }
}
