//! Work at an engine of which no VM tells: what dead VMs began and the engine goes on with.
//!
//! A VM that begins to place after many have died hears only of what the living have under way. What an
//! engine reports beyond that counts as taken, until a later report says otherwise.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::report::Report;

/// How old the state is that a report tells, at most: what ended in this time may still be in it.
const LAG: Duration = Duration::from_millis(600);

/// How long a report's surplus counts: two rounds of reports, so that an engine that is asked no more is
/// soon taken at what VMs tell.
const LASTS: Duration = Duration::from_millis(1_300);

/// What one flight takes at an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Share {
    /// Requests that it answers, 0 or 1.
    pub(super) requests: u32,
    /// Tokens of memory.
    pub(super) memory: u64,
}

/// A flight that ended.
#[derive(Debug)]
struct Ended {
    sent: Instant,
    at: Instant,
    share: Share,
}

/// What is known of work that nobody tells of.
#[derive(Debug, Default)]
pub(super) struct Untold {
    ended: VecDeque<Ended>,
    surplus: Share,
    until: Option<Instant>,
}

impl Untold {
    /// A flight that was sent then has ended.
    pub(super) fn ended(&mut self, sent: Instant, share: Share, now: Instant) {
        self.forget(now);
        self.ended.push_back(Ended { sent, at: now, share });
    }

    /// Takes a report that was asked for at `asked`, while `told` is under way, each with the time at
    /// which it was sent.
    pub(super) fn report(
        &mut self,
        report: &Report,
        asked: Instant,
        told: impl Iterator<Item = (Instant, Share)>,
    ) {
        let since = asked.checked_sub(LAG).unwrap_or(asked);
        let ended = self.ended.iter().filter(|ended| ended.at >= since);
        let ended = ended.map(|ended| (ended.sent, ended.share));
        let mut known = Share::default();
        for (_, share) in told.chain(ended).filter(|(sent, _)| *sent <= asked) {
            known.requests += share.requests;
            known.memory += share.memory;
        }
        self.surplus = Share {
            requests: report.running.saturating_sub(known.requests),
            memory: report.memory.0.saturating_sub(known.memory),
        };
        self.until = Some(asked + LASTS);
    }

    /// What counts as taken now.
    pub(super) fn taken(&self, now: Instant) -> Share {
        let counts = self.until.is_some_and(|until| now < until);
        if counts { self.surplus } else { Share::default() }
    }

    /// Whether there is nothing to be kept.
    pub(super) fn is_empty(&self) -> bool {
        self.ended.is_empty() && self.surplus == Share::default()
    }

    /// Forgets what no report can hold any more.
    pub(super) fn forget(&mut self, now: Instant) {
        let old = |ended: &Ended| now.saturating_duration_since(ended.at) > 2 * LAG;
        while self.ended.front().is_some_and(old) {
            self.ended.pop_front();
        }
        if self.until.is_some_and(|until| now >= until) {
            self.surplus = Share::default();
            self.until = None;
        }
    }
}
