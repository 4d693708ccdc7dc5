//! Upstreams that asked this VM for a rest: they get nothing from it until their rest is over.
//!
//! A rest is asked of one VM by one start of an upstream. It binds that VM alone: the others were not told,
//! and may have been served just now. Its end counts the time for which the machine was suspended, since
//! the upstream went on resting meanwhile.

use std::collections::HashMap;
use std::time::Duration;

use foldlock_base::clock::Moment;

use crate::tag::Tag;

/// The rests that were asked of this VM. At most one is kept for each start of an upstream, and none that
/// is over when another is asked for.
#[derive(Debug, Default)]
pub struct Backoffs {
    until: HashMap<Tag, Moment>,
}

impl Backoffs {
    /// An upstream asks for a rest from now on. Of two that overlap the later end holds. Answers whether it
    /// was not resting before.
    pub fn begin(&mut self, upstream: Tag, duration: Duration, now: Moment) -> bool {
        self.until.retain(|_, until| *until > now);
        let until = now.after(duration);
        let earlier = self.until.insert(upstream, until);
        if let Some(earlier) = earlier.filter(|earlier| *earlier > until) {
            self.until.insert(upstream, earlier);
        }
        earlier.is_none()
    }

    /// How long an upstream still rests; none where it does not.
    pub fn remaining(&self, upstream: Tag, now: Moment) -> Option<Duration> {
        let until = self.until.get(&upstream).filter(|until| **until > now)?;
        Some(until.since(now))
    }

    /// The upstreams that rest, in the order of their tags.
    pub fn active(&self, now: Moment) -> Vec<Tag> {
        let active = self.until.iter().filter(|(_, until)| **until > now);
        let mut tags: Vec<Tag> = active.map(|(tag, _)| *tag).collect();
        tags.sort_unstable();
        tags
    }

    /// The soonest end of a rest, where all of these rest; none where one does not, or there are none.
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
