//! Restarts of upstreams and upstreams that are leaving, as reported by the upstreams themselves.

use std::time::{Duration, Instant};

use foldlock_base::prelude::*;

use super::{Cluster, Listed, Start};
use crate::tag::Tag;

/// How long a restart that the upstream reported itself is announced. After that the directory lists it, or the
/// next response of the upstream reports it again.
const START_TOLD: Duration = Duration::from_secs(10);

/// Most leaving upstreams that are announced, 9 bytes each. Further ones follow once the directory lists others
/// as leaving.
const MOST_DEPARTURES: usize = 256;

/// Most restarts that are announced.
const MOST_STARTS: usize = 64;

impl Cluster {
    /// Applies the start time that an upstream reports of itself. Returns whether it is later than the recorded
    /// one; an earlier one is from a delayed response.
    ///
    /// If an upstream's clock went back before a restart, the restart is not detected until the directory lists
    /// it. Requests sent meanwhile are refused or run there, and a prompt split among several upstreams that
    /// counts on memory of the previous incarnation is refused and placed anew.
    pub fn renew(&mut self, id: &id::Upstream, born: u64, now: Instant) -> bool {
        let Some(known) = self.upstreams.get(id).and_then(|known| known.listed.born) else {
            return false;
        };
        if born <= known {
            return false;
        }
        let Some(before) = self.forget(id) else { return false };
        self.insert(Listed { born: Some(born), ..before.listed });
        self.digest.set(None);
        if self.starts.len() == MOST_STARTS {
            self.starts.pop_front();
        }
        self.starts.push_back((now, Start { upstream: id.clone(), born }));
        true
    }

    /// Restarts that upstreams reported themselves, as announced to peers.
    pub fn told_starts(&mut self, now: Instant) -> Vec<Start> {
        let old = |at: &Instant| now.saturating_duration_since(*at) > START_TOLD;
        while self.starts.front().is_some_and(|(at, _)| old(at)) {
            self.starts.pop_front();
        }
        self.starts.iter().map(|(_, start)| start.clone()).collect()
    }

    /// Records that an incarnation of an upstream reported in a response, to this VM or to a peer, that it is
    /// leaving. Returns the upstream unless it was recorded before.
    pub fn depart(&mut self, start: Tag) -> Option<id::Upstream> {
        let id = self.tags.get(&start)?;
        let upstream = self.upstreams.get_mut(id)?;
        let known = std::mem::replace(&mut upstream.reported_leaving, true);
        (!known).then(|| id.clone())
    }

    /// Upstream incarnations that reported that they are leaving and that the directory does not list as leaving
    /// yet, as announced to peers.
    pub fn departures(&self) -> Vec<Tag> {
        let unheard = self.upstreams.values().filter(|u| u.reported_leaving && !u.listed.leaving);
        unheard.map(|u| u.tag).take(MOST_DEPARTURES).collect()
    }
}
