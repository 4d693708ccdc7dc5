//! Finds the parts of prompts that crash upstreams.
//!
//! A request that had not begun to respond when its upstream crashed may have caused the crash, and so may each part of
//! its prompt. Nearly all of them have not: the request shared the upstream with the cause, or the part is in sound
//! requests as well. Two observations tell the cause apart. A request with the cause never begins to respond, so a part
//! with which any request has begun since a crash is cleared of that crash. And the cause crashes the next upstream too,
//! so crashes count in rounds: a crash starts a new round for a part if it interrupted another request than those of the
//! rounds before, which was sent after the last of them. Upstreams that crash together, whatever the reason, are one round.
//!
//! A part with [`ROUNDS`] rounds or more is a culprit if that is unlikely for a sound one, by one of three tests. The
//! number of its rounds is compared with the share of other requests that crashes interrupt before they begin, which is
//! high when few upstreams are left. And the crashes that interrupted requests with it are compared with those expected by
//! its share in all interrupted requests. And a part with twice as many rounds is one if no request began with it lately
//! and no other part is in all crashes. Where several parts qualify, those that tell requests apart best come first: not
//! the first part of a prompt, which most requests have, then the one with most rounds, then the latest one in the prompt.
//! The crashes that a culprit explains count for no other part.
//!
//! Each VM announces the crashes that it observes, which of the parts in question its requests have begun with, and the
//! culprits that it finds. No scheduler takes part in that.

mod announcement;

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use foldlock_base::id;

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::part::Part;
use crate::tag::Tag;

pub use announcement::{Announcement, Merged};

/// Minimum number of rounds of a culprit.
const ROUNDS: usize = 3;

/// Probability of its rounds below which a part is not taken for sound.
const MAX_PROBABILITY: f64 = 0.05;

/// The same for a part with which requests began recently: that it crashes upstreams now is less likely beforehand.
const MAX_PROBABILITY_IF_BEGUN: f64 = 0.0025;

/// Number of rounds after which a part is a culprit if it is the only one that explains all crashes.
const SOLE_ROUNDS: usize = 6;

/// Share of the crashes that are expected to interrupt a request with their cause: there may be other causes.
const CAUSE_COVERAGE: f64 = 0.9;

/// Time for which it counts that requests began with a part.
const BEGUN_MEMORY: Duration = Duration::from_secs(60);

/// Time from which a crash counts: another request that was sent at that time has begun, and all VMs have received that
/// it has.
pub const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Time for which crashes count. Any request that begins clears its parts, so old crashes only count for parts with which
/// none has begun since.
const RETENTION: Duration = Duration::from_secs(3_600);

/// Maximum number of crashes on record. The oldest are dropped first.
const MAX_CRASHES: usize = 256;

/// Maximum number of requests that are kept for one crash.
const MAX_REQUESTS: usize = 32;

/// Maximum number of requests of this VM on record that began while crashes are on record.
const MAX_WITNESSES: usize = 512;

/// Maximum number of parts in each of the two generations of [`Begun`].
const MAX_BEGUN: usize = 2_048;

/// A request that had not begun to respond when its upstream crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Interrupted {
    /// Its id.
    pub request: id::Request,
    /// Its service.
    pub service: Tag,
    /// The shared parts of its prompt, in their order.
    pub parts: Vec<Part>,
    /// When it was sent.
    pub sent: Instant,
}

impl Interrupted {
    fn has_part(&self, part: Fingerprint) -> bool {
        self.positions().any(|(found, _)| found == part)
    }

    /// The position of each part.
    fn positions(&self) -> impl Iterator<Item = (Fingerprint, usize)> {
        let parts = self.parts.iter().enumerate();
        parts.map(|(position, part)| (part.fingerprint(self.service), position))
    }
}

#[derive(Debug, Clone)]
struct Crash {
    upstream: Tag,
    /// When it was first observed.
    at: Instant,
    requests: Vec<(Interrupted, Origin)>,
}

impl Crash {
    /// Whether it interrupted a request with this part.
    fn has_part(&self, part: Fingerprint) -> bool {
        self.requests.iter().any(|(request, _)| request.has_part(part))
    }
}

/// The VM that observed something.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    Own,
    Peer,
}

/// A request of this VM that began to respond.
#[derive(Debug)]
struct Witness {
    at: Instant,
    service: Tag,
    parts: Vec<Fingerprint>,
}

/// When requests last began to respond, by part. When the newer generation is full it replaces the older one, so the
/// memory is bounded and recent parts are kept.
#[derive(Debug, Default)]
struct Begun {
    newer: HashMap<Fingerprint, (Instant, Origin)>,
    older: HashMap<Fingerprint, (Instant, Origin)>,
}

impl Begun {
    fn get(&self, part: Fingerprint) -> Option<(Instant, Origin)> {
        self.newer.get(&part).or_else(|| self.older.get(&part)).copied()
    }

    fn at(&self, part: Fingerprint) -> Option<Instant> {
        self.get(part).map(|(at, _)| at)
    }

    fn record(&mut self, part: Fingerprint, at: Instant, origin: Origin) {
        if self.at(part).is_some_and(|last| last >= at) {
            return;
        }
        if self.newer.len() >= MAX_BEGUN && !self.newer.contains_key(&part) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(part, (at, origin));
    }
}

/// A part that crashes upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Culprit {
    /// The service whose upstreams it crashes.
    pub service: Tag,
    /// The part.
    pub part: Part,
    /// The last request with it that was interrupted.
    pub request: id::Request,
    /// The upstreams that crashed, in the order of time.
    pub upstreams: Vec<Tag>,
}

impl Culprit {
    /// The key of its quarantine.
    pub fn fingerprint(&self) -> Fingerprint {
        self.part.fingerprint(self.service)
    }
}

/// The evidence against a part.
#[derive(Debug)]
struct Evidence<'a> {
    service: Tag,
    rounds: usize,
    last_round: Option<Instant>,
    /// The requests that started the rounds.
    counted: Vec<&'a id::Request>,
    /// The lowest position in a prompt.
    position: usize,
    /// Indices of the crashes.
    crashes: Vec<usize>,
}

impl<'a> Evidence<'a> {
    fn new(service: Tag, position: usize) -> Evidence<'a> {
        let (counted, crashes) = (Vec::new(), Vec::new());
        Evidence { service, rounds: 0, last_round: None, counted, position, crashes }
    }

    /// Whether an interrupted request starts a new round. The attempts of one request do not: it may be retried on the
    /// same upstream as the cause.
    fn starts_round(&self, request: &Interrupted) -> bool {
        self.last_round.is_none_or(|last| request.sent >= last)
            && !self.counted.contains(&&request.request)
    }

    /// The order in which parts are tried as an explanation, the best last.
    fn rank(&self) -> (bool, usize, usize) {
        (self.position > 0, self.rounds, self.position)
    }
}

/// All recent crashes of upstreams, and the parts that are cleared of them.
#[derive(Debug, Default)]
pub struct Log {
    crashes: VecDeque<Crash>,
    begun: Begun,
    /// Parts that are not cleared of their last crash, with its time.
    uncleared: HashMap<Fingerprint, Instant>,
    /// Requests of this VM that began while crashes were on record, the newest last.
    witnesses: VecDeque<Witness>,
    /// The upstreams whose crashes interrupted requests of this VM, the newest last.
    own: VecDeque<Tag>,
    outbox: announcement::Outbox,
}

impl Log {
    /// Records a request of this VM that a crash interrupted before it began to respond. Requests without shared parts
    /// are not recorded.
    pub fn record_crash(&mut self, upstream: Tag, request: Interrupted, now: Instant) {
        if request.parts.is_empty() {
            return;
        }
        self.outbox.add_crash(upstream, request.clone(), now);
        if self.own.len() == MAX_CRASHES {
            self.own.pop_front();
        }
        self.own.push_back(upstream);
        self.insert(upstream, (request, Origin::Own), now, now);
    }

    /// Records that a request of this VM began to respond at a time, and did not crash its upstream since. Returns whether
    /// that clears a part of a crash, which is to be announced.
    pub fn record_begun(&mut self, service: Tag, parts: &[Part], at: Instant) -> bool {
        let mut clears = false;
        for part in parts {
            clears |= self.begin(service, *part, at, Origin::Own);
        }
        if !self.crashes.is_empty() {
            if self.witnesses.len() == MAX_WITNESSES {
                self.witnesses.pop_front();
            }
            let parts = parts.iter().map(|part| part.fingerprint(service)).collect();
            self.witnesses.push_back(Witness { at, service, parts });
        }
        clears
    }

    fn begin(&mut self, service: Tag, part: Part, at: Instant, origin: Origin) -> bool {
        let fingerprint = part.fingerprint(service);
        self.begun.record(fingerprint, at, origin);
        let clears = self.uncleared.get(&fingerprint).is_some_and(|crash| *crash <= at);
        if clears {
            self.uncleared.remove(&fingerprint);
            if origin == Origin::Own {
                self.outbox.add_cleared(service, part, at);
            }
        }
        clears
    }

    /// Announces a culprit that this VM has found to all others.
    pub fn announce(&mut self, culprit: Culprit) {
        self.outbox.add_culprit(culprit);
    }

    /// Clears a part that was released, and drops the crashes during its requests: they count for no other part either.
    pub fn release(&mut self, part: Fingerprint, now: Instant) {
        self.begun.record(part, now, Origin::Peer);
        self.uncleared.remove(&part);
        self.crashes.retain(|crash| !crash.has_part(part));
    }

    /// Whether a request of this VM was interrupted by one of the culprit's crashes.
    pub fn has_observed(&self, culprit: &Culprit) -> bool {
        culprit.upstreams.iter().any(|upstream| self.own.contains(upstream))
    }

    /// Whether no crash is on record.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// The number of crashes on record.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// The parts that crash upstreams, by the evidence so far.
    pub fn culprits(&self, now: Instant) -> Vec<Culprit> {
        let mut culprits = Vec::new();
        let mut explained = HashSet::new();
        while let Some((part, crashes)) = self.best_explanation(&explained, now) {
            culprits.extend(self.culprit(part, &crashes));
            explained.extend(crashes);
        }
        culprits
    }

    /// The part that explains crashes best, with their indices; none if no part does so far.
    fn best_explanation(
        &self,
        explained: &HashSet<usize>,
        now: Instant,
    ) -> Option<(Fingerprint, Vec<usize>)> {
        let mut evidence: Vec<(Fingerprint, Evidence<'_>)> = self
            .evidence(explained, now)
            .into_iter()
            .filter(|(_, evidence)| evidence.rounds >= ROUNDS)
            .collect();
        evidence.sort_by_key(|(part, evidence)| std::cmp::Reverse((evidence.rank(), *part)));
        // A first part is not tried before all others are cleared or explain crashes.
        let only_first = evidence.first().is_some_and(|(_, best)| best.position == 0);
        let equal = |found: &Evidence<'_>| {
            let is_equal = |e: &Evidence<'_>| e.position > 0 && e.rounds == found.rounds;
            evidence.iter().filter(|(_, e)| is_equal(e)).count()
        };
        // While nothing begins, the frequency of a part says little, but few parts are in all crashes.
        let is_sole = |part: Fingerprint, found: &Evidence<'_>| {
            let crashes = found.crashes.len();
            let explains_all = |(part, e): &&(Fingerprint, Evidence<'_>)| {
                e.position > 0 && e.crashes.len() >= crashes && !self.has_begun(*part, now)
            };
            found.rounds >= SOLE_ROUNDS
                && !self.has_begun(part, now)
                && self.covers_all(found, explained, now)
                && evidence.iter().filter(explains_all).count() == 1
        };
        let is_decided = |(part, found): &&(Fingerprint, Evidence<'_>)| {
            // One more round probably tells two equal parts apart.
            let is_tied = found.rounds == ROUNDS && equal(found) > 1;
            (only_first || found.position > 0)
                && !is_tied
                && (self.is_significant(*part, found, explained, now) || is_sole(*part, found))
        };
        let (part, found) = evidence.iter().find(is_decided)?;
        Some((*part, found.crashes.clone()))
    }

    /// Whether the evidence is unlikely for a sound part: by the number of its rounds, or by the crashes that interrupted
    /// requests with it.
    fn is_significant(
        &self,
        part: Fingerprint,
        evidence: &Evidence<'_>,
        explained: &HashSet<usize>,
        now: Instant,
    ) -> bool {
        let max =
            if self.has_begun(part, now) { MAX_PROBABILITY_IF_BEGUN } else { MAX_PROBABILITY };
        let share = self.interrupted_share(part, evidence, now);
        share.powi(evidence.rounds as i32) <= max
            || self.coverage_odds(part, evidence, explained, now) >= max.recip()
    }

    /// Whether a request with a part began recently.
    fn has_begun(&self, part: Fingerprint, now: Instant) -> bool {
        let since = |at: Instant| now.saturating_duration_since(at);
        self.begun.at(part).is_some_and(|at| since(at) < BEGUN_MEMORY)
    }

    /// Whether all crashes of the service, since the first that interrupted a request with a part, did so.
    fn covers_all(
        &self,
        evidence: &Evidence<'_>,
        explained: &HashSet<usize>,
        now: Instant,
    ) -> bool {
        let Some(first) = evidence.crashes.first() else { return false };
        let of_service =
            |crash: &Crash| crash.requests.iter().any(|(r, _)| r.service == evidence.service);
        let crashes = self.crashes.iter().enumerate().skip(*first);
        let counted = crashes.filter(|(index, crash)| {
            let is_settled = now.saturating_duration_since(crash.at) >= SETTLE_TIME;
            is_settled && !explained.contains(index) && of_service(crash)
        });
        counted.count() == evidence.crashes.len()
    }

    /// How much likelier it is that the crashes interrupted requests with a part if it is their cause than by the share
    /// that it has in all interrupted requests. This tells the cause apart also while all upstreams are down.
    fn coverage_odds(
        &self,
        part: Fingerprint,
        evidence: &Evidence<'_>,
        explained: &HashSet<usize>,
        now: Instant,
    ) -> f64 {
        let Some(first) = evidence.crashes.first() else { return 0.0 };
        let crashes = self.crashes.iter().enumerate().skip(*first);
        let settled = crashes.filter(|(index, crash)| {
            now.saturating_duration_since(crash.at) >= SETTLE_TIME && !explained.contains(index)
        });
        // Requests of each crash, and those of them with the part.
        let counts: Vec<(usize, usize)> = settled
            .map(|(_, crash)| {
                let of_service =
                    crash.requests.iter().filter(|(r, _)| r.service == evidence.service);
                let has_part = of_service.clone().filter(|(request, _)| request.has_part(part));
                (of_service.count(), has_part.count())
            })
            .filter(|(all, _)| *all > 0)
            .collect();
        let sum = |count: fn(&(usize, usize)) -> usize| counts.iter().map(count).sum::<usize>();
        let share = sum(|(_, with)| *with) as f64 / sum(|(all, _)| *all) as f64;
        let odds = counts.iter().map(|(all, with)| {
            let by_share = 1.0 - (1.0 - share).powi(*all as i32);
            if *with > 0 {
                CAUSE_COVERAGE / by_share
            } else {
                (1.0 - CAUSE_COVERAGE) / (1.0 - by_share)
            }
        });
        odds.product()
    }

    /// The share of the requests of this VM without a part that crashes interrupted before they began, since the first
    /// crash of its evidence. It starts from two interrupted requests of three, so few requests say little. Requests that began within [`SETTLE_TIME`] do not count yet,
    /// since one with the part may have begun as well.
    fn interrupted_share(&self, part: Fingerprint, evidence: &Evidence<'_>, now: Instant) -> f64 {
        let Some(first) = evidence.crashes.first().map(|index| self.crashes[*index].at) else {
            return 1.0;
        };
        let interrupted = self.crashes.iter().filter(|crash| crash.at >= first);
        let interrupted =
            interrupted.flat_map(|crash| &crash.requests).filter(|(request, origin)| {
                *origin == Origin::Own
                    && request.service == evidence.service
                    && !request.has_part(part)
            });
        let begun = self.witnesses.iter().filter(|witness| {
            witness.at >= first
                && now.saturating_duration_since(witness.at) >= SETTLE_TIME
                && witness.service == evidence.service
                && !witness.parts.contains(&part)
        });
        let (interrupted, begun) = (interrupted.count() as f64, begun.count() as f64);
        (interrupted + 2.0) / (interrupted + begun + 3.0)
    }

    fn culprit(&self, part: Fingerprint, crashes: &[usize]) -> Option<Culprit> {
        let last = self.crashes.get(*crashes.last()?)?;
        let (request, _) = last.requests.iter().find(|(request, _)| request.has_part(part))?;
        let id = request.parts.iter().find(|id| id.fingerprint(request.service) == part)?;
        Some(Culprit {
            service: request.service,
            part: *id,
            request: request.request.clone(),
            upstreams: crashes.iter().map(|index| self.crashes[*index].upstream).collect(),
        })
    }

    /// The evidence against each part, without the crashes that are explained and those that have not settled.
    fn evidence(
        &self,
        explained: &HashSet<usize>,
        now: Instant,
    ) -> HashMap<Fingerprint, Evidence<'_>> {
        let mut all: HashMap<Fingerprint, Evidence<'_>> = HashMap::new();
        let counts = |crash: &Crash| {
            (SETTLE_TIME..RETENTION).contains(&now.saturating_duration_since(crash.at))
        };
        let crashes = self.crashes.iter().enumerate();
        for (index, crash) in crashes.filter(|(i, c)| !explained.contains(i) && counts(c)) {
            for (request, _) in &crash.requests {
                for (part, position) in request.positions() {
                    if self.begun.at(part).is_some_and(|begun| begun >= crash.at) {
                        continue;
                    }
                    let evidence =
                        all.entry(part).or_insert_with(|| Evidence::new(request.service, position));
                    evidence.position = evidence.position.min(position);
                    if evidence.starts_round(request) {
                        evidence.rounds += 1;
                        evidence.last_round = Some(crash.at);
                        evidence.counted.push(&request.request);
                    }
                    if evidence.crashes.last() != Some(&index) {
                        evidence.crashes.push(index);
                    }
                }
            }
        }
        all
    }

    /// Marks the parts of a request that a crash interrupted, and announces those with which requests of this VM have
    /// begun since.
    fn mark_uncleared(&mut self, request: &Interrupted, crash: Instant) {
        for part in &request.parts {
            let fingerprint = part.fingerprint(request.service);
            match self.begun.get(fingerprint).filter(|(begun, _)| *begun >= crash) {
                Some((begun, Origin::Own)) => {
                    self.outbox.add_cleared(request.service, *part, begun);
                }
                Some((_, Origin::Peer)) => {}
                None => {
                    let last = self.uncleared.entry(fingerprint).or_insert(crash);
                    *last = crash.max(*last);
                }
            }
        }
        if self.uncleared.len() > MAX_CRASHES * MAX_REQUESTS {
            self.uncleared.clear();
        }
    }

    /// Adds a request to the crash of its upstream. Returns whether the crash is new.
    fn insert(
        &mut self,
        upstream: Tag,
        (request, origin): (Interrupted, Origin),
        at: Instant,
        now: Instant,
    ) -> bool {
        self.mark_uncleared(&request, at);
        while self
            .crashes
            .front()
            .is_some_and(|crash| now.saturating_duration_since(crash.at) >= RETENTION)
        {
            self.crashes.pop_front();
        }
        if let Some(crash) = self.crashes.iter_mut().find(|crash| crash.upstream == upstream) {
            crash.at = crash.at.min(at);
            let mut known = crash.requests.iter();
            let is_known = known.any(|(known, _)| known.request == request.request);
            if !is_known && crash.requests.len() < MAX_REQUESTS {
                crash.requests.push((request, origin));
            }
            return false;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.pop_front();
        }
        // Announcements of different VMs arrive in any order.
        let position = self.crashes.partition_point(|crash| crash.at <= at);
        self.crashes.insert(position, Crash { upstream, at, requests: vec![(request, origin)] });
        true
    }
}
