//! Backoffs that upstreams request from this VM, which sends them nothing until the backoff ends.
//!
//! A backoff is requested by one incarnation of an upstream and applies only to the VM that received it: the upstream
//! did not request it from the others, and may be serving them. Time for which the machine is suspended counts, since
//! the backoff continues at the upstream.

use std::collections::HashMap;
use std::time::Duration;

use foldlock_base::clock::Moment;

use crate::tag::Tag;

/// The backoffs requested from this VM, at most one for each incarnation of an upstream. Expired ones are removed when
/// another is requested.
#[derive(Debug, Default)]
pub struct Backoffs {
    until: HashMap<Tag, Moment>,
}

impl Backoffs {
    /// Starts a backoff that an upstream requests. If one is active already, the later end applies. Returns whether
    /// none was active.
    pub fn begin(&mut self, upstream: Tag, duration: Duration, now: Moment) -> bool {
        self.until.retain(|_, until| *until > now);
        let until = now.after(duration);
        let earlier = self.until.insert(upstream, until);
        if let Some(earlier) = earlier.filter(|earlier| *earlier > until) {
            self.until.insert(upstream, earlier);
        }
        earlier.is_none()
    }

    /// Returns the remaining backoff of an upstream; none if it has none.
    pub fn remaining(&self, upstream: Tag, now: Moment) -> Option<Duration> {
        let until = self.until.get(&upstream).filter(|until| **until > now)?;
        Some(until.since(now))
    }

    /// Returns the upstreams with an active backoff, ordered by tag.
    pub fn active(&self, now: Moment) -> Vec<Tag> {
        let active = self.until.iter().filter(|(_, until)| **until > now);
        let mut tags: Vec<Tag> = active.map(|(tag, _)| *tag).collect();
        tags.sort_unstable();
        tags
    }

    /// Returns the shortest remaining backoff if all of these upstreams have one; none if one has not, or if there are
    /// no upstreams.
    pub fn shortest_remaining(
        &self,
        upstreams: impl Iterator<Item = Tag>,
        now: Moment,
    ) -> Option<Duration> {
        let mut shortest = None;
        for upstream in upstreams {
            let remaining = self.remaining(upstream, now)?;
            shortest =
                Some(shortest.map_or(remaining, |shortest: Duration| shortest.min(remaining)));
        }
        shortest
    }
}
