//! Requests under which upstreams ended: which of them run alone, and which are kept from all upstreams
//! for a while.
//!
//! When an upstream ends, each request that it worked on may be the cause, and nearly all are not. So
//! none is held for what it was beside. One under which two upstreams ended runs alone next: an upstream
//! to itself, and no other copy of it meanwhile. If that is answered, it was not the cause and all is
//! forgotten. If that upstream ends as well, it is kept from all for a time that grows with each such
//! proof; after it, it may prove itself alone again.
//!
//! What counts is that a process ended and its port closed. A connection that is reset, a wrong or
//! broken answer, a silent upstream and one that said that it leaves count for nothing.

mod case;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::quarantine::case::{Case, SoloCrashes};
use crate::tag::Tag;

/// Requests that are remembered. A crash cuts some sixteen, so these are 250 crashes in the time for which
/// they count; at some 250 bytes each, 1 MB. The one that was quiet for longest goes first, those that are
/// held last.
const MAX_CASES: usize = 4_096;

/// How long news is told with each message: some beats, of which one arrives.
const FRESH_WINDOW: Duration = Duration::from_millis(200);

/// How long it is told again after that, for a VM that begins to place requests later.
const ANNOUNCE_WINDOW: Duration = Duration::from_secs(20);

/// How often all of it is told again: with each slow beat it would be ten times as many bytes at the VM
/// that places for a fleet.
const FULL_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);

/// News that is told at most.
const MAX_ANNOUNCEMENTS: usize = 64;

/// What is to become of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It runs beside others.
    Shared,
    /// It runs alone, one copy at a time.
    Isolated,
    /// It is kept from all upstreams for this long.
    Quarantined(Duration),
}

/// What was learnt of a request, as VMs tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    fingerprint: Fingerprint,
    event: Event,
    age_ms: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum Event {
    /// An upstream ended under it.
    #[serde(rename = "Ended")]
    Crashed(Crash),
    /// It was answered whole.
    #[serde(rename = "Answered")]
    Completed,
}

/// The end of an upstream under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The upstream, one start of its program.
    pub upstream: Tag,
    /// Whether the request ran alone there.
    pub isolated: bool,
}

/// A request that is kept from all upstreams, as it is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// How often it ended an upstream while it ran alone.
    pub solo_crashes: u32,
    /// For how long from now.
    pub remaining: Duration,
    /// Upstreams that ended under it.
    pub crashes: usize,
}

/// All requests that are remembered for what they did.
#[derive(Debug, Default)]
pub struct Quarantine {
    cases: HashMap<Fingerprint, Case>,
    announcements: VecDeque<(Instant, Fingerprint, Event)>,
    /// When all of it was last told.
    last_full: Option<Instant>,
}

impl Quarantine {
    /// What is to become of a request.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> Verdict {
        self.cases.get(&fingerprint).map_or(Verdict::Shared, |case| case.verdict(now))
    }

    /// An upstream ended under a request of this VM. Answers for how long it is held if that is new.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash: Crash,
        now: Instant,
    ) -> Option<Status> {
        self.enqueue(fingerprint, Event::Crashed(crash), now);
        self.apply_crash(fingerprint, crash, now, now)
    }

    /// A request of this VM was answered whole. Answers whether anything was held against it.
    pub fn record_completion(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        if !self.cases.get(&fingerprint).is_some_and(Case::is_suspected) {
            return false;
        }
        self.enqueue(fingerprint, Event::Completed, now);
        self.apply_completion(fingerprint, now)
    }

    /// A request is let go, whatever it did.
    pub fn release(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.apply_completion(fingerprint, now)
    }

    /// A request is known elsewhere to be held, after as many proofs, for this long by that VM's time of
    /// day: never longer than so many proofs hold it, whatever the two clocks say.
    pub fn merge_entry(
        &mut self,
        fingerprint: Fingerprint,
        count: u32,
        duration: Duration,
        now: Instant,
    ) {
        let solo_crashes = SoloCrashes { count, until: None };
        let until = Some(now + duration.min(solo_crashes.duration()));
        self.case(fingerprint, now).merge(SoloCrashes { until, ..solo_crashes }, now);
    }

    /// The upstreams that ended under a request.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        self.cases.get(&fingerprint).map_or(0, |case| case.crashes.len())
    }

    /// The requests that are held or run alone.
    pub fn suspects(&self, now: Instant) -> impl Iterator<Item = (Fingerprint, Status, Verdict)> {
        let suspects = self.cases.iter().map(move |(fingerprint, case)| {
            let remaining = case.remaining(now).unwrap_or_default();
            let status = Status {
                solo_crashes: case.solo_crashes.count,
                remaining,
                crashes: case.crashes.len(),
            };
            (*fingerprint, status, case.verdict(now))
        });
        suspects.filter(|(_, _, verdict)| *verdict != Verdict::Shared)
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.cases.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// What peers are told: what is new with each message, all that is recent now and then with one that
    /// goes to all.
    pub fn announced(&mut self, to_all: bool, now: Instant) -> Vec<Announcement> {
        let due = self
            .last_full
            .is_none_or(|at| now.saturating_duration_since(at) >= FULL_ANNOUNCE_INTERVAL);
        if to_all && due {
            self.last_full = Some(now);
            return self.announced_within(ANNOUNCE_WINDOW, now);
        }
        self.announced_within(FRESH_WINDOW, now)
    }

    /// What was learnt within this time.
    pub fn announced_within(&mut self, within: Duration, now: Instant) -> Vec<Announcement> {
        let age = |at: Instant| now.saturating_duration_since(at);
        while self.announcements.front().is_some_and(|(at, ..)| age(*at) > ANNOUNCE_WINDOW) {
            self.announcements.pop_front();
        }
        let within = self.announcements.iter().filter(|(at, ..)| age(*at) <= within);
        within
            .map(|(at, fingerprint, event)| Announcement {
                fingerprint: *fingerprint,
                event: *event,
                age_ms: age(*at).as_millis() as u32,
            })
            .collect()
    }

    /// Takes what a peer told; the same again changes nothing.
    pub fn merge(&mut self, announcements: &[Announcement], now: Instant) {
        for Announcement { fingerprint, event, age_ms } in announcements {
            let age = Duration::from_millis(u64::from(*age_ms));
            let at = now.checked_sub(age).unwrap_or(now);
            match event {
                Event::Crashed(crash) => {
                    self.apply_crash(*fingerprint, *crash, at, now);
                }
                Event::Completed => {
                    self.apply_completion(*fingerprint, at);
                }
            }
        }
    }

    fn enqueue(&mut self, fingerprint: Fingerprint, event: Event, now: Instant) {
        if self.announcements.len() == MAX_ANNOUNCEMENTS {
            self.announcements.pop_front();
        }
        self.announcements.push_back((now, fingerprint, event));
    }

    fn apply_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash: Crash,
        at: Instant,
        now: Instant,
    ) -> Option<Status> {
        let case = self.case(fingerprint, now);
        let is_old = case.cleared.is_some_and(|cleared| at <= cleared);
        if is_old || !case.add(crash, at) {
            return None;
        }
        let remaining = case.remaining(now).unwrap_or_default();
        Some(Status {
            solo_crashes: case.solo_crashes.count,
            remaining,
            crashes: case.crashes.len(),
        })
    }

    fn apply_completion(&mut self, fingerprint: Fingerprint, at: Instant) -> bool {
        let Some(case) = self.cases.get_mut(&fingerprint) else { return false };
        if case.cleared.is_some_and(|cleared| at <= cleared) {
            return false;
        }
        case.clear(at);
        true
    }

    /// The case of a request, begun if there is none.
    fn case(&mut self, fingerprint: Fingerprint, now: Instant) -> &mut Case {
        if !self.cases.contains_key(&fingerprint) && self.cases.len() >= MAX_CASES {
            self.make_room(now);
        }
        let case = self.cases.entry(fingerprint).or_insert_with(|| Case::new(now));
        if case.is_expired(now) {
            *case = case.reset(now);
        }
        case.last_event = now;
        case
    }

    fn make_room(&mut self, now: Instant) {
        self.cases.retain(|_, case| !case.is_expired(now));
        if self.cases.len() < MAX_CASES {
            return;
        }
        let rank = |case: &Case| (case.remaining(now).is_some(), case.last_event);
        let first = self.cases.iter().min_by_key(|(_, case)| rank(case)).map(|(first, _)| *first);
        if let Some(first) = first {
            self.cases.remove(&first);
        }
    }
}
