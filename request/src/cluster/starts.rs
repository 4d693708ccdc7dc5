//! What upstreams say of themselves: that they have started again, and that they leave.

use std::time::{Duration, Instant};

use foldlock_base::prelude::*;

use super::{Cluster, Listed, Start};
use crate::tag::Tag;

/// How long a new start of an upstream is told that was not learnt from the directory: by then the
/// directory has told it, or the next answer does again.
const START_TOLD: Duration = Duration::from_secs(10);

/// Departures that are told at most, 9 bytes each. Those beyond it are told when the directory has told of
/// others.
const MOST_DEPARTURES: usize = 256;

/// New starts that are told at most.
const MOST_STARTS: usize = 64;

impl Cluster {
    /// An upstream says itself that it has started at this moment. Answers whether that is a later start
    /// than the one that is known; an earlier one is an answer that came late.
    ///
    /// An upstream whose clock went back before it started again is taken for the earlier start until the
    /// directory tells of it: what it is sent meanwhile is refused or runs there, and a group that counts
    /// on memory of before is refused and placed anew.
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

    /// New starts that were not learnt from the directory, as peers are told of them.
    pub fn told_starts(&mut self, now: Instant) -> Vec<Start> {
        let old = |at: &Instant| now.saturating_duration_since(*at) > START_TOLD;
        while self.starts.front().is_some_and(|(at, _)| old(at)) {
            self.starts.pop_front();
        }
        self.starts.iter().map(|(_, start)| start.clone()).collect()
    }

    /// An upstream says by an answer, to this VM or to a peer, that this start of it is leaving. Names it, if
    /// that is news.
    pub fn depart(&mut self, start: Tag) -> Option<id::Upstream> {
        let id = self.tags.get(&start)?;
        let upstream = self.upstreams.get_mut(id)?;
        let known = std::mem::replace(&mut upstream.told_leaving, true);
        (!known).then(|| id.clone())
    }

    /// The starts of upstreams that said so and that the directory does not list as leaving yet, as peers
    /// are told of them.
    pub fn departures(&self) -> Vec<Tag> {
        let unheard = self.upstreams.values().filter(|u| u.told_leaving && !u.listed.leaving);
        unheard.map(|u| u.tag).take(MOST_DEPARTURES).collect()
    }
}
