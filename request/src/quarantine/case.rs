//! The record of one request: the crashes during it, its solo crashes and its last completion.

use std::time::{Duration, Instant};

use super::{Crash, Verdict};
use crate::tag::Tag;

/// Number of crashes from which a request is isolated. Two in a row also happen to an innocent request that is retried
/// on the same upstream as the cause. With one, each request that any crash interrupts would need an engine of its own.
const ISOLATE_AFTER: usize = 2;

/// Duration of the quarantine by number of solo crashes. The first is short, because the upstream may have crashed at
/// that time for another reason; it is long enough for the current callers to be gone, since most give up within ten to
/// fifteen seconds. The next ones bound the cost of a request that is the cause: two shared and three solo crashes, so
/// five upstreams in a day.
const QUARANTINE_DURATIONS: [Duration; 3] =
    [Duration::from_secs(15), Duration::from_secs(120), Duration::from_secs(24 * 3_600)];

/// Time after the last event for which crashes are kept: callers retry for a minute at most.
const CRASH_RETENTION: Duration = Duration::from_secs(120);

/// The same for a request with a solo crash, after its quarantine. Its callers may retry from time to time, and each
/// time that the crashes expire costs three more upstreams.
const SOLO_CRASH_RETENTION: Duration = Duration::from_secs(3_600);

/// Upper bound on the recorded crashes of one request: many times the number that can occur before it is isolated.
const MAX_CRASHES: usize = 16;

/// The number of solo crashes of a request, and the end of the quarantine that follows from them.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SoloCrashes {
    pub(super) count: u32,
    pub(super) until: Option<Instant>,
}

impl SoloCrashes {
    /// Adds a solo crash. Those during the quarantine, of copies that still run, do not count.
    fn add(&mut self, at: Instant) {
        if self.until.is_some_and(|until| until > at) {
            return;
        }
        self.count = self.count.saturating_add(1);
        self.until = Some(at + self.duration());
    }

    /// Returns the duration of the quarantine after the last solo crash.
    pub(super) fn duration(&self) -> Duration {
        QUARANTINE_DURATIONS[(self.count.max(1) as usize - 1).min(QUARANTINE_DURATIONS.len() - 1)]
    }
}

/// The crash of an upstream during a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct UpstreamCrash {
    pub(super) upstream: Tag,
    /// When it was last observed, by any copy of the request.
    at: Instant,
    /// When it was observed by an isolated copy.
    isolated: Option<Instant>,
}

#[derive(Debug, Clone)]
pub(super) struct Case {
    pub(super) crashes: Vec<UpstreamCrash>,
    /// Solo crashes merged from a quarantine entry, without the crashes themselves, and the time of the merge.
    merged: Option<(Instant, SoloCrashes)>,
    /// The merged solo crashes and those in `crashes`, counted in the order of time, so that all VMs get the same
    /// result in any order of messages.
    pub(super) solo_crashes: SoloCrashes,
    /// When it last completed or was released. Earlier events are ignored.
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

    /// Returns a new case that keeps only the time of the last clearing.
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

    /// Adds a crash. Returns whether it is a new solo crash.
    pub(super) fn add(&mut self, crash: Crash, at: Instant) -> bool {
        let before = self.solo_crashes.count;
        let isolated = crash.isolated.then_some(at);
        // A shared copy may have run on the upstream of the isolated one, and one crash may be observed twice.
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

    /// Clears everything up to `at`.
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
