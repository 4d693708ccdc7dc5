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

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::tag::Tag;

/// Upstreams that ended under a request from which on it runs alone. Two in a row happen to a request that
/// is not the cause where it is sent on beside the one that is. With one, a request that ends its engines
/// costs 3.8 of them in place of 5.8, but each request that any crash cuts asks for an engine of its own,
/// and 0.3 that did nothing wrong are held; with three, 6.4. Holding at three endings without the proof
/// holds 1.0 (mean of 20 plays of 20 s before 18 engines).
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

/// Requests that are remembered. A crash cuts some sixteen, so these are 250 crashes in the time for which
/// they count; at some 250 bytes each, 1 MB. The one that was quiet for longest goes first, those that are
/// held last.
const MOST: usize = 4_096;

/// Upstreams that are remembered of one request: as many as may end under it while it is not yet known
/// for what it is, many times over.
const MOST_ENDED: usize = 16;

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

/// How often a request was proved to be the cause, and until when it is held for it.
#[derive(Debug, Clone, Copy, Default)]
struct Proofs {
    count: u32,
    until: Option<Instant>,
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
    fn time(&self) -> Duration {
        HELD[(self.count.max(1) as usize - 1).min(HELD.len() - 1)]
    }
}

/// An upstream that ended under a request.
#[derive(Debug, Clone, Copy)]
struct Ended {
    upstream: Tag,
    /// When its end was last seen, under whichever copy.
    at: Instant,
    /// When it was seen under a copy that ran alone.
    alone: Option<Instant>,
}

#[derive(Debug, Clone)]
struct Case {
    ended: Vec<Ended>,
    /// What was heard from elsewhere without the endings behind it, and when.
    heard: Option<(Instant, Proofs)>,
    /// What is heard and what ended, in the order of time: so all VMs come to the same, in whichever
    /// order they hear.
    proofs: Proofs,
    /// When it was last answered or let go: what happened before counts no more.
    cleared: Option<Instant>,
    touched: Instant,
}

impl Case {
    fn new(now: Instant) -> Case {
        Case {
            ended: Vec::new(),
            heard: None,
            proofs: Proofs::default(),
            cleared: None,
            touched: now,
        }
    }

    fn left(&self, now: Instant) -> Option<Duration> {
        let left = self.proofs.until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    fn verdict(&self, now: Instant) -> Verdict {
        if self.is_over(now) {
            return Verdict::Beside;
        }
        if let Some(left) = self.left(now) {
            return Verdict::Held(left);
        }
        let alone = self.proofs.count > 0 || self.ended.len() >= ALONE_AFTER;
        if alone { Verdict::Alone } else { Verdict::Beside }
    }

    fn is_suspected(&self) -> bool {
        !self.ended.is_empty() || self.proofs.count > 0
    }

    /// Adds an ending. Answers whether it is a new proof.
    fn add(&mut self, ending: Ending, at: Instant) -> bool {
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

    fn hear(&mut self, proofs: Proofs, at: Instant) {
        let known = self.heard.map_or(Proofs::default(), |(_, known)| known);
        let proofs =
            Proofs { count: known.count.max(proofs.count), until: known.until.max(proofs.until) };
        self.heard = Some((at, proofs));
        self.count_proofs();
    }

    /// Forgets what was before `at`.
    fn clear(&mut self, at: Instant) {
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

    fn is_over(&self, now: Instant) -> bool {
        let since = self.proofs.until.map_or(self.touched, |until| until.max(self.touched));
        let quiet = now.saturating_duration_since(since);
        quiet >= if self.proofs.count > 0 { PROVED } else { REMEMBERED }
    }
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
            *case = Case { cleared: case.cleared, ..Case::new(now) };
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
