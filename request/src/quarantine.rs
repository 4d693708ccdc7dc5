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
use crate::quarantine::case::{Case, Proofs};
use crate::tag::Tag;

/// Requests that are remembered. A crash cuts some sixteen, so these are 250 crashes in the time for which
/// they count; at some 250 bytes each, 1 MB. The one that was quiet for longest goes first, those that are
/// held last.
const MOST: usize = 4_096;

/// How long news is told with each message: some beats, of which one arrives.
const FRESH: Duration = Duration::from_millis(200);

/// How long it is told again after that, for a VM that begins to place requests later.
const TOLD: Duration = Duration::from_secs(20);

/// How often all of it is told again: with each slow beat it would be ten times as many bytes at the VM
/// that places for a fleet.
const AGAIN: Duration = Duration::from_secs(2);

/// News that is told at most.
const MOST_TOLD: usize = 64;

/// What is to become of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It runs beside others.
    Beside,
    /// It runs alone, one copy at a time.
    Alone,
    /// It is kept from all upstreams for this long.
    Held(Duration),
}

/// What was learnt of a request, as VMs tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    fingerprint: Fingerprint,
    what: What,
    age_ms: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum What {
    /// An upstream ended under it.
    Ended(Ending),
    /// It was answered whole.
    Answered,
}

/// The end of an upstream under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ending {
    /// The upstream, one start of its program.
    pub upstream: Tag,
    /// Whether the request ran alone there.
    pub alone: bool,
}

/// A request that is kept from all upstreams, as it is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// How often it ended an upstream while it ran alone.
    pub proofs: u32,
    /// For how long from now.
    pub time: Duration,
    /// Upstreams that ended under it.
    pub ended: usize,
}

/// All requests that are remembered for what they did.
#[derive(Debug, Default)]
pub struct Quarantine {
    cases: HashMap<Fingerprint, Case>,
    news: VecDeque<(Instant, Fingerprint, What)>,
    /// When all of it was last told.
    told: Option<Instant>,
}

impl Quarantine {
    /// What is to become of a request.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> Verdict {
        self.cases.get(&fingerprint).map_or(Verdict::Beside, |case| case.verdict(now))
    }

    /// An upstream ended under a request of this VM. Answers for how long it is held if that is new.
    pub fn ended(
        &mut self,
        fingerprint: Fingerprint,
        ending: Ending,
        now: Instant,
    ) -> Option<Held> {
        self.note(fingerprint, What::Ended(ending), now);
        self.take_ending(fingerprint, ending, now, now)
    }

    /// A request of this VM was answered whole. Answers whether anything was held against it.
    pub fn answered(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        if !self.cases.get(&fingerprint).is_some_and(Case::is_suspected) {
            return false;
        }
        self.note(fingerprint, What::Answered, now);
        self.take_answer(fingerprint, now)
    }

    /// A request is let go, whatever it did.
    pub fn release(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.take_answer(fingerprint, now)
    }

    /// A request is known elsewhere to be held, after as many proofs, for this long by that VM's time of
    /// day: never longer than so many proofs hold it, whatever the two clocks say.
    pub fn hold(&mut self, fingerprint: Fingerprint, proofs: u32, time: Duration, now: Instant) {
        let proofs = Proofs { count: proofs, until: None };
        let until = Some(now + time.min(proofs.time()));
        self.case(fingerprint, now).hear(Proofs { until, ..proofs }, now);
    }

    /// The upstreams that ended under a request.
    pub fn ended_under(&self, fingerprint: Fingerprint) -> usize {
        self.cases.get(&fingerprint).map_or(0, |case| case.ended.len())
    }

    /// The requests that are held or run alone.
    pub fn suspects(&self, now: Instant) -> impl Iterator<Item = (Fingerprint, Held, Verdict)> {
        let suspects = self.cases.iter().map(move |(fingerprint, case)| {
            let time = case.left(now).unwrap_or_default();
            let held = Held { proofs: case.proofs.count, time, ended: case.ended.len() };
            (*fingerprint, held, case.verdict(now))
        });
        suspects.filter(|(_, _, verdict)| *verdict != Verdict::Beside)
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
    pub fn told(&mut self, to_all: bool, now: Instant) -> Vec<News> {
        let due = self.told.is_none_or(|told| now.saturating_duration_since(told) >= AGAIN);
        if to_all && due {
            self.told = Some(now);
            return self.recent(TOLD, now);
        }
        self.recent(FRESH, now)
    }

    /// What was learnt within this time.
    pub fn recent(&mut self, within: Duration, now: Instant) -> Vec<News> {
        let age = |at: Instant| now.saturating_duration_since(at);
        while self.news.front().is_some_and(|(at, ..)| age(*at) > TOLD) {
            self.news.pop_front();
        }
        let recent = self.news.iter().filter(|(at, ..)| age(*at) <= within);
        recent
            .map(|(at, fingerprint, what)| News {
                fingerprint: *fingerprint,
                what: *what,
                age_ms: age(*at).as_millis() as u32,
            })
            .collect()
    }

    /// Takes what a peer told; the same again changes nothing.
    pub fn hear(&mut self, told: &[News], now: Instant) {
        for News { fingerprint, what, age_ms } in told {
            let age = Duration::from_millis(u64::from(*age_ms));
            let at = now.checked_sub(age).unwrap_or(now);
            match what {
                What::Ended(ending) => {
                    self.take_ending(*fingerprint, *ending, at, now);
                }
                What::Answered => {
                    self.take_answer(*fingerprint, at);
                }
            }
        }
    }

    fn note(&mut self, fingerprint: Fingerprint, what: What, now: Instant) {
        if self.news.len() == MOST_TOLD {
            self.news.pop_front();
        }
        self.news.push_back((now, fingerprint, what));
    }

    fn take_ending(
        &mut self,
        fingerprint: Fingerprint,
        ending: Ending,
        at: Instant,
        now: Instant,
    ) -> Option<Held> {
        let case = self.case(fingerprint, now);
        let is_old = case.cleared.is_some_and(|cleared| at <= cleared);
        if is_old || !case.add(ending, at) {
            return None;
        }
        let time = case.left(now).unwrap_or_default();
        Some(Held { proofs: case.proofs.count, time, ended: case.ended.len() })
    }

    fn take_answer(&mut self, fingerprint: Fingerprint, at: Instant) -> bool {
        let Some(case) = self.cases.get_mut(&fingerprint) else { return false };
        if case.cleared.is_some_and(|cleared| at <= cleared) {
            return false;
        }
        case.clear(at);
        true
    }

    /// The case of a request, begun if there is none.
    fn case(&mut self, fingerprint: Fingerprint, now: Instant) -> &mut Case {
        if !self.cases.contains_key(&fingerprint) && self.cases.len() >= MOST {
            self.make_room(now);
        }
        let case = self.cases.entry(fingerprint).or_insert_with(|| Case::new(now));
        if case.is_over(now) {
            *case = case.begun_anew(now);
        }
        case.touched = now;
        case
    }

    fn make_room(&mut self, now: Instant) {
        self.cases.retain(|_, case| !case.is_over(now));
        if self.cases.len() < MOST {
            return;
        }
        let rank = |case: &Case| (case.left(now).is_some(), case.touched);
        let first = self.cases.iter().min_by_key(|(_, case)| rank(case)).map(|(first, _)| *first);
        if let Some(first) = first {
            self.cases.remove(&first);
        }
    }
}
