//! What is known of one request: what ended under it, how often that was proved, what cleared it.

use std::time::{Duration, Instant};

use super::{Crash, Verdict};
use crate::tag::Tag;

/// Upstreams that ended under a request from which on it runs alone. Two in a row happen to a request that
/// is not the cause where it is sent on beside the one that is. With one, each request that any crash cuts would
/// ask for an engine of its own.
const ISOLATE_AFTER: usize = 2;

/// For how long a request is kept from all upstreams, by how often it ended one while it ran alone. The
/// first is short, for a request whose upstream ended at that moment for another reason: long enough for
/// the callers of the moment to have gone, since most give up within ten to fifteen seconds. The next
/// ones bound what a request may cost that is the cause: with the two first and the first run alone, five
/// upstreams in a day.
const QUARANTINE_DURATIONS: [Duration; 3] =
    [Duration::from_secs(15), Duration::from_secs(120), Duration::from_secs(24 * 3_600)];

/// How long it counts that an upstream ended under a request, without another: callers try again for a
/// minute at most.
const CRASH_RETENTION: Duration = Duration::from_secs(120);

/// The same for one that ended an upstream while it ran alone, after it was held: its callers may come
/// back from time to time, and each forgetting costs three upstreams more.
const SOLO_CRASH_RETENTION: Duration = Duration::from_secs(3_600);

/// Upstreams that are remembered of one request: as many as may end under it while it is not yet known
/// for what it is, many times over.
const MAX_CRASHES: usize = 16;

/// How often a request was proved to be the cause, and until when it is held for it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SoloCrashes {
    pub(super) count: u32,
    pub(super) until: Option<Instant>,
}

impl SoloCrashes {
    /// It ended an upstream while it ran alone. What runs on while it is held says nothing new.
    fn add(&mut self, at: Instant) {
        if self.until.is_some_and(|until| until > at) {
            return;
        }
        self.count += 1;
        self.until = Some(at + self.duration());
    }

    /// For how long it is held after the last proof.
    pub(super) fn duration(&self) -> Duration {
        QUARANTINE_DURATIONS[(self.count.max(1) as usize - 1).min(QUARANTINE_DURATIONS.len() - 1)]
    }
}

/// An upstream that ended under a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct UpstreamCrash {
    upstream: Tag,
    /// When its end was last seen, under whichever copy.
    at: Instant,
    /// When it was seen under a copy that ran alone.
    isolated: Option<Instant>,
}

#[derive(Debug, Clone)]
pub(super) struct Case {
    pub(super) crashes: Vec<UpstreamCrash>,
    /// What was heard from elsewhere without the endings behind it, and when.
    merged: Option<(Instant, SoloCrashes)>,
    /// What is heard and what ended, in the order of time: so all VMs come to the same, in whichever
    /// order they hear.
    pub(super) solo_crashes: SoloCrashes,
    /// When it was last answered or let go: what happened before counts no more.
    pub(super) cleared: Option<Instant>,
    pub(super) last_event: Instant,
}

impl Case {
    pub(super) fn new(now: Instant) -> Case {
        Case {
            crashes: Vec::new(),
            merged: None,
            solo_crashes: SoloCrashes::default(),
            cleared: None,
            last_event: now,
        }
    }

    /// The same with all forgotten but when it was last cleared.
    pub(super) fn reset(&self, now: Instant) -> Case {
        Case { cleared: self.cleared, ..Case::new(now) }
    }

    pub(super) fn remaining(&self, now: Instant) -> Option<Duration> {
        let remaining = self.solo_crashes.until?.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }

    pub(super) fn verdict(&self, now: Instant) -> Verdict {
        if self.is_expired(now) {
            return Verdict::Shared;
        }
        if let Some(remaining) = self.remaining(now) {
            return Verdict::Quarantined(remaining);
        }
        let isolated = self.solo_crashes.count > 0 || self.crashes.len() >= ISOLATE_AFTER;
        if isolated { Verdict::Isolated } else { Verdict::Shared }
    }

    pub(super) fn is_suspected(&self) -> bool {
        !self.crashes.is_empty() || self.solo_crashes.count > 0
    }

    /// Adds an ending. Answers whether it is a new proof.
    pub(super) fn add(&mut self, crash: Crash, at: Instant) -> bool {
        let before = self.solo_crashes.count;
        let isolated = crash.isolated.then_some(at);
        // Another copy may have run beside the one that ran alone, and one end may be seen twice.
        match self.crashes.iter_mut().find(|existing| existing.upstream == crash.upstream) {
            Some(existing) => {
                existing.at = existing.at.max(at);
                existing.isolated = existing.isolated.max(isolated);
            }
            None => self.crashes.push(UpstreamCrash { upstream: crash.upstream, at, isolated }),
        }
        if self.crashes.len() > MAX_CRASHES {
            let oldest =
                self.crashes.iter().position(|crash| crash.isolated.is_none()).unwrap_or(0);
            self.crashes.remove(oldest);
        }
        self.update_solo_crashes();
        self.solo_crashes.count > before
    }

    pub(super) fn merge(&mut self, solo_crashes: SoloCrashes, at: Instant) {
        let previous = self.merged.map_or(SoloCrashes::default(), |(_, previous)| previous);
        let solo_crashes = SoloCrashes {
            count: previous.count.max(solo_crashes.count),
            until: previous.until.max(solo_crashes.until),
        };
        self.merged = Some((at, solo_crashes));
        self.update_solo_crashes();
    }

    /// Forgets what was before `at`.
    pub(super) fn clear(&mut self, at: Instant) {
        self.crashes.retain(|crash| crash.at > at);
        for crash in &mut self.crashes {
            crash.isolated = crash.isolated.filter(|isolated| *isolated > at);
        }
        self.merged = self.merged.filter(|(merged_at, _)| *merged_at > at);
        self.cleared = Some(at);
        self.update_solo_crashes();
    }

    fn update_solo_crashes(&mut self) {
        self.solo_crashes = self.merged.map_or(SoloCrashes::default(), |(_, merged)| merged);
        let mut isolated: Vec<Instant> =
            self.crashes.iter().filter_map(|crash| crash.isolated).collect();
        isolated.sort_unstable();
        isolated.into_iter().for_each(|at| self.solo_crashes.add(at));
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let since =
            self.solo_crashes.until.map_or(self.last_event, |until| until.max(self.last_event));
        let quiet = now.saturating_duration_since(since);
        quiet >= if self.solo_crashes.count > 0 { SOLO_CRASH_RETENTION } else { CRASH_RETENTION }
    }
}
