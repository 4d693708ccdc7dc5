//! Isolation and quarantine of requests during which upstreams crashed.
//!
//! When an upstream crashes, each request that it processed may be the cause, and nearly all are not. So no request is
//! quarantined for a crash on a shared upstream. A request with two crashes is isolated: it runs on an upstream without
//! other requests, and one copy at a time. If it completes, it was not the cause, and its crashes are cleared. If that
//! upstream crashes too (a solo crash), the request is quarantined, that is kept from all upstreams, for a time that
//! grows with each solo crash. Afterwards it runs isolated again.
//!
//! Parts of prompts that crash upstreams are found by [`crate::crash_log`] and quarantined in the same way, each under a
//! fingerprint of its own.
//!
//! A crash is a process that ended and whose port is closed. A reset connection, an invalid or truncated response, an
//! upstream that does not respond and one that announced that it is leaving are not crashes.

mod case;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::quarantine::case::{Case, SoloCrashes};
use crate::tag::Tag;

/// Upper bound on recorded requests. A crash interrupts some sixteen, so this is 250 crashes within their retention
/// time; at some 250 bytes each, 1 MB. The request whose last event is oldest is evicted first, quarantined ones last.
const MAX_CASES: usize = 4_096;

/// Time for which an event is announced with each message: a few heartbeats, so that one of them arrives.
const FRESH_WINDOW: Duration = Duration::from_millis(200);

/// Time for which an event is included in full announcements, for VMs that become scheduler later.
const ANNOUNCE_WINDOW: Duration = Duration::from_secs(20);

/// Interval between full announcements. With one in each slow heartbeat, the scheduler would receive ten times as many
/// bytes.
const FULL_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(2);

/// Upper bound on the events that are announced.
const MAX_ANNOUNCEMENTS: usize = 64;

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// On an upstream shared with other requests.
    Shared,
    /// Without other requests on its upstream, one copy at a time.
    Isolated,
    /// On no upstream for this long.
    Quarantined(Duration),
}

/// An event of a request, as announced between VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    fingerprint: Fingerprint,
    event: Event,
    age_ms: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum Event {
    /// An upstream crashed during the request.
    #[serde(rename = "Ended")]
    Crashed(Crash),
    /// The request completed.
    #[serde(rename = "Answered")]
    Completed,
}

/// A crash of an upstream during a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The incarnation of the upstream.
    pub upstream: Tag,
    /// Whether the request ran isolated there.
    pub isolated: bool,
}

/// The crashes of a request and its quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Number of solo crashes.
    pub solo_crashes: u32,
    /// Remaining time of the quarantine; zero if it is not quarantined.
    pub remaining: Duration,
    /// Upstreams that crashed during it.
    pub crashes: usize,
}

/// All requests with recorded crashes.
#[derive(Debug, Default)]
pub struct Quarantine {
    cases: HashMap<Fingerprint, Case>,
    announcements: VecDeque<(Instant, Fingerprint, Event)>,
    /// Time of the last full announcement.
    last_full: Option<Instant>,
}

impl Quarantine {
    /// Returns how a request may run.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> Verdict {
        self.cases.get(&fingerprint).map_or(Verdict::Shared, |case| case.verdict(now))
    }

    /// Records a crash during a request of this VM. Returns the status if this is a new solo crash.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash: Crash,
        now: Instant,
    ) -> Option<Status> {
        self.enqueue(fingerprint, Event::Crashed(crash), now);
        self.apply_crash(fingerprint, crash, now, now)
    }

    /// Quarantines a part of prompts during whose requests these upstreams crashed, the last of them most recently. Returns
    /// the status if it was not quarantined for that crash before.
    pub fn impose(
        &mut self,
        fingerprint: Fingerprint,
        upstreams: &[Tag],
        now: Instant,
    ) -> Option<Status> {
        let (last, others) = upstreams.split_last()?;
        let case = self.case(fingerprint, now);
        if case.crashes.iter().any(|crash| crash.upstream == *last) {
            return None;
        }
        let was_quarantined = case.remaining(now).is_some();
        for upstream in others {
            self.apply_crash(fingerprint, Crash { upstream: *upstream, isolated: false }, now, now);
        }
        let status = self.record_crash(fingerprint, Crash { upstream: *last, isolated: true }, now);
        status.filter(|_| !was_quarantined)
    }

    /// Records that a request of this VM completed. Returns whether crashes were cleared.
    pub fn record_completion(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        if !self.cases.get(&fingerprint).is_some_and(Case::is_suspected) {
            return false;
        }
        self.enqueue(fingerprint, Event::Completed, now);
        self.apply_completion(fingerprint, now)
    }

    /// Releases a request and clears its crashes. Returns whether it was recorded.
    pub fn release(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.apply_completion(fingerprint, now)
    }

    /// Merges a quarantine that another VM imposed after `count` solo crashes and that lasts for `duration` by the wall
    /// clock of that VM. The duration is capped to that for `count`, so that a clock difference does not lengthen it.
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

    /// Returns the number of upstreams that crashed during a request.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        self.cases.get(&fingerprint).map_or(0, |case| case.crashes.len())
    }

    /// Returns the requests that are quarantined or run isolated.
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

    /// Returns the number of recorded requests.
    pub fn len(&self) -> usize {
        self.cases.len()
    }

    /// Returns whether no request is recorded.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Returns the events to announce: fresh ones in each message, and periodically all recent ones in a message that
    /// goes to all VMs.
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

    /// Returns the events of this VM within a time before now.
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

    /// Merges the events that a peer announced. Merging is idempotent.
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

    /// Returns the case of a request, and creates it if there is none or it has expired.
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
