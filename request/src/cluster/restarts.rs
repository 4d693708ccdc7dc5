//! Restarts of upstreams and upstreams that are leaving, as reported by the upstreams themselves.

use std::time::{Duration, Instant};

use foldlock_base::prelude::*;

use super::{Cluster, Listed, Restart};
use crate::tag::Tag;

/// How long a restart that the upstream reported itself is announced. After that the directory lists it, or the
/// next response of the upstream reports it again.
const RESTART_ANNOUNCE_WINDOW: Duration = Duration::from_secs(10);

/// Maximum number of leaving upstreams that are announced, 9 bytes each. Further ones follow once the directory lists
/// others as leaving.
const MAX_LEAVING: usize = 256;

/// Maximum number of restarts that are announced.
const MAX_RESTARTS: usize = 64;

impl Cluster {
    /// Applies the start time that an upstream reports of itself. Returns whether it is later than the recorded
    /// one; an earlier one is from a delayed response.
    ///
    /// If an upstream's clock went back before a restart, the restart is not detected until the directory lists
    /// it. Requests sent meanwhile are refused or run there, and a prompt split among several upstreams that
    /// counts on memory of the previous incarnation is refused and placed anew.
    pub fn observe_restart(&mut self, id: &id::Upstream, born: u64, now: Instant) -> bool {
        let Some(current) = self.upstreams.get(id).and_then(|current| current.listed.born) else {
            return false;
        };
        if born <= current {
            return false;
        }
        let Some(previous) = self.take_upstream(id) else { return false };
        self.insert(Listed { born: Some(born), ..previous.listed });
        self.digest.set(None);
        if self.restarts.len() == MAX_RESTARTS {
            self.restarts.pop_front();
        }
        self.restarts.push_back((now, Restart { upstream: id.clone(), born }));
        true
    }

    /// Restarts that upstreams reported themselves, as announced to peers.
    pub fn announced_restarts(&mut self, now: Instant) -> Vec<Restart> {
        let old = |at: &Instant| now.saturating_duration_since(*at) > RESTART_ANNOUNCE_WINDOW;
        while self.restarts.front().is_some_and(|(at, _)| old(at)) {
            self.restarts.pop_front();
        }
        self.restarts.iter().map(|(_, restart)| restart.clone()).collect()
    }

    /// Records that an incarnation of an upstream reported in a response, to this VM or to a peer, that it is
    /// leaving. Returns the upstream unless it was recorded before.
    pub fn mark_leaving(&mut self, incarnation: Tag) -> Option<id::Upstream> {
        let id = self.tags.get(&incarnation)?;
        let upstream = self.upstreams.get_mut(id)?;
        let was_reported = std::mem::replace(&mut upstream.reported_leaving, true);
        (!was_reported).then(|| id.clone())
    }

    /// Upstream incarnations that reported that they are leaving and that the directory does not list as leaving
    /// yet, as announced to peers.
    pub fn announced_leaving(&self) -> Vec<Tag> {
        let unlisted = self.upstreams.values().filter(|u| u.reported_leaving && !u.listed.leaving);
        unlisted.map(|u| u.tag).take(MAX_LEAVING).collect()
    }
}
