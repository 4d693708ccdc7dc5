//! What is known of one request: what ended under it, how often that was proved, what cleared it.

use std::time::{Duration, Instant};

use super::{Ending, Verdict};
use crate::tag::Tag;

/// Upstreams that ended under a request from which on it runs alone. Two in a row happen to a request that
/// is not the cause where it is sent on beside the one that is. With one, each request that any crash cuts would
/// ask for an engine of its own.
const ALONE_AFTER: usize = 2;

/// For how long a request is kept from all upstreams, by how often it ended one while it ran alone. The
/// first is short, for a request whose upstream ended at that moment for another reason: long enough for
/// the callers of the moment to have gone, since most give up within ten to fifteen seconds. The next
/// ones bound what a request may cost that is the cause: with the two first and the first run alone, five
/// upstreams in a day.
const HELD: [Duration; 3] =
    [Duration::from_secs(15), Duration::from_secs(120), Duration::from_secs(24 * 3_600)];

/// How long it counts that an upstream ended under a request, without another: callers try again for a
/// minute at most.
const REMEMBERED: Duration = Duration::from_secs(120);

/// The same for one that ended an upstream while it ran alone, after it was held: its callers may come
/// back from time to time, and each forgetting costs three upstreams more.
const PROVED: Duration = Duration::from_secs(3_600);

/// Upstreams that are remembered of one request: as many as may end under it while it is not yet known
/// for what it is, many times over.
const MOST_ENDED: usize = 16;

/// How often a request was proved to be the cause, and until when it is held for it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Proofs {
    pub(super) count: u32,
    pub(super) until: Option<Instant>,
}

impl Proofs {
    /// It ended an upstream while it ran alone. What runs on while it is held says nothing new.
    fn add(&mut self, at: Instant) {
        if self.until.is_some_and(|until| until > at) {
            return;
        }
        self.count += 1;
        self.until = Some(at + self.time());
    }

    /// For how long it is held after the last proof.
    pub(super) fn time(&self) -> Duration {
        HELD[(self.count.max(1) as usize - 1).min(HELD.len() - 1)]
    }
}

/// An upstream that ended under a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ended {
    upstream: Tag,
    /// When its end was last seen, under whichever copy.
    at: Instant,
    /// When it was seen under a copy that ran alone.
    alone: Option<Instant>,
}

#[derive(Debug, Clone)]
pub(super) struct Case {
    pub(super) ended: Vec<Ended>,
    /// What was heard from elsewhere without the endings behind it, and when.
    heard: Option<(Instant, Proofs)>,
    /// What is heard and what ended, in the order of time: so all VMs come to the same, in whichever
    /// order they hear.
    pub(super) proofs: Proofs,
    /// When it was last answered or let go: what happened before counts no more.
    pub(super) cleared: Option<Instant>,
    pub(super) touched: Instant,
}

impl Case {
    pub(super) fn new(now: Instant) -> Case {
        Case {
            ended: Vec::new(),
            heard: None,
            proofs: Proofs::default(),
            cleared: None,
            touched: now,
        }
    }

    /// The same with all forgotten but when it was last cleared.
    pub(super) fn begun_anew(&self, now: Instant) -> Case {
        Case { cleared: self.cleared, ..Case::new(now) }
    }

    pub(super) fn left(&self, now: Instant) -> Option<Duration> {
        let left = self.proofs.until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    pub(super) fn verdict(&self, now: Instant) -> Verdict {
        if self.is_over(now) {
            return Verdict::Beside;
        }
        if let Some(left) = self.left(now) {
            return Verdict::Held(left);
        }
        let alone = self.proofs.count > 0 || self.ended.len() >= ALONE_AFTER;
        if alone { Verdict::Alone } else { Verdict::Beside }
    }

    pub(super) fn is_suspected(&self) -> bool {
        !self.ended.is_empty() || self.proofs.count > 0
    }

    /// Adds an ending. Answers whether it is a new proof.
    pub(super) fn add(&mut self, ending: Ending, at: Instant) -> bool {
        let before = self.proofs.count;
        let alone = ending.alone.then_some(at);
        // Another copy may have run beside the one that ran alone, and one end may be seen twice.
        match self.ended.iter_mut().find(|known| known.upstream == ending.upstream) {
            Some(known) => {
                known.at = known.at.max(at);
                known.alone = known.alone.max(alone);
            }
            None => self.ended.push(Ended { upstream: ending.upstream, at, alone }),
        }
        if self.ended.len() > MOST_ENDED {
            let oldest = self.ended.iter().position(|ended| ended.alone.is_none()).unwrap_or(0);
            self.ended.remove(oldest);
        }
        self.count_proofs();
        self.proofs.count > before
    }

    pub(super) fn hear(&mut self, proofs: Proofs, at: Instant) {
        let known = self.heard.map_or(Proofs::default(), |(_, known)| known);
        let proofs =
            Proofs { count: known.count.max(proofs.count), until: known.until.max(proofs.until) };
        self.heard = Some((at, proofs));
        self.count_proofs();
    }

    /// Forgets what was before `at`.
    pub(super) fn clear(&mut self, at: Instant) {
        self.ended.retain(|ended| ended.at > at);
        for ended in &mut self.ended {
            ended.alone = ended.alone.filter(|alone| *alone > at);
        }
        self.heard = self.heard.filter(|(heard_at, _)| *heard_at > at);
        self.cleared = Some(at);
        self.count_proofs();
    }

    fn count_proofs(&mut self) {
        self.proofs = self.heard.map_or(Proofs::default(), |(_, heard)| heard);
        let mut alone: Vec<Instant> = self.ended.iter().filter_map(|ended| ended.alone).collect();
        alone.sort_unstable();
        alone.into_iter().for_each(|at| self.proofs.add(at));
    }

    pub(super) fn is_over(&self, now: Instant) -> bool {
        let since = self.proofs.until.map_or(self.touched, |until| until.max(self.touched));
        let quiet = now.saturating_duration_since(since);
        quiet >= if self.proofs.count > 0 { PROVED } else { REMEMBERED }
    }
}
