//! Finds the parts of prompts that crash upstreams.
//!
//! A request that had not begun to respond when its upstream crashed may have caused the crash, and so may each part of
//! its prompt. Nearly all of them have not: the request shared the upstream with the cause, or the part is in sound
//! requests as well. Two observations tell the cause apart. A request with the cause never begins to respond, so a part
//! with which any request has begun since a crash is cleared of that crash. And the cause crashes the next upstream too,
//! so crashes count in rounds: a crash starts a new round for a part if the request was sent after the previous round.
//! Upstreams that crash together, whatever the reason, are one round.
//!
//! A part with [`ROUNDS`] rounds is a culprit. Where several parts have as many, those that tell requests apart best come
//! first: not the first part of a prompt, which most requests have, and the latest one in the prompt. The crashes that a
//! culprit explains count for no other part.
//!
//! Each VM announces the crashes that it observes, and which of the parts in question its requests have begun with. All
//! VMs so reach the same result without a scheduler.

mod announcement;

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use foldlock_base::id;

use crate::fingerprint::Fingerprint;
use crate::part::Part;
use crate::tag::Tag;

pub use announcement::Announcement;

/// Number of rounds after which a part is a culprit.
const ROUNDS: usize = 3;

/// Time from the last crash to the decision: a request that is sent at that time has begun to respond, and all VMs have
/// received that it has.
pub const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Time for which crashes count. Any request that begins clears its parts, so old crashes only count for parts with which
/// none has begun since.
const RETENTION: Duration = Duration::from_secs(3_600);

/// Maximum number of crashes on record. The oldest are dropped first.
const MAX_CRASHES: usize = 256;

/// Maximum number of requests that are kept for one crash.
const MAX_REQUESTS: usize = 32;

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
    requests: Vec<Interrupted>,
}

impl Crash {
    /// Whether it interrupted a request with this part.
    fn has_part(&self, part: Fingerprint) -> bool {
        self.requests.iter().flat_map(Interrupted::positions).any(|(found, _)| found == part)
    }
}

/// When a request with a part last began to respond.
#[derive(Debug, Clone, Copy)]
struct Begin {
    at: Instant,
    /// The last one of this VM.
    own: Option<Instant>,
}

/// When requests last began to respond, by part. When the newer generation is full it replaces the older one, so the
/// memory is bounded and recent parts are kept.
#[derive(Debug, Default)]
struct Begun {
    newer: HashMap<Fingerprint, Begin>,
    older: HashMap<Fingerprint, Begin>,
}

impl Begun {
    fn get(&self, part: Fingerprint) -> Option<Begin> {
        self.newer.get(&part).or_else(|| self.older.get(&part)).copied()
    }

    fn at(&self, part: Fingerprint) -> Option<Instant> {
        self.get(part).map(|begin| begin.at)
    }

    fn own_at(&self, part: Fingerprint) -> Option<Instant> {
        self.get(part).and_then(|begin| begin.own)
    }

    fn record(&mut self, part: Fingerprint, at: Instant) {
        self.insert(part, at, None);
    }

    fn record_own(&mut self, part: Fingerprint, at: Instant) {
        self.insert(part, at, Some(at));
    }

    fn insert(&mut self, part: Fingerprint, at: Instant, own: Option<Instant>) {
        let begin = match self.get(part) {
            Some(last) => Begin { at: last.at.max(at), own: last.own.max(own) },
            None => Begin { at, own },
        };
        if self.newer.len() >= MAX_BEGUN && !self.newer.contains_key(&part) {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(part, begin);
    }
}

/// A part that crashes upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
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
#[derive(Debug, Default)]
struct Evidence {
    rounds: usize,
    last_round: Option<Instant>,
    /// The lowest position in a prompt.
    position: usize,
    /// Indices of the crashes.
    crashes: Vec<usize>,
}

impl Evidence {
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
        self.outbox.add(upstream, request.clone(), now);
        if self.own.len() == MAX_CRASHES {
            self.own.pop_front();
        }
        self.own.push_back(upstream);
        self.insert(upstream, request, now, now);
    }

    /// Records that a request of this VM began to respond at a time, and did not crash its upstream since.
    pub fn record_begun(&mut self, service: Tag, parts: &[Part], at: Instant) {
        parts.iter().for_each(|part| self.begun.record_own(part.fingerprint(service), at));
    }

    /// Clears a part that was released, and drops the crashes during its requests: they count for no other part either.
    pub fn release(&mut self, part: Fingerprint, now: Instant) {
        self.begun.record(part, now);
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

    /// Whether one of these parts may turn out to be a culprit within [`SETTLE_TIME`]. Requests with it wait for that.
    pub fn is_pending(&self, service: Tag, parts: &[Part], now: Instant) -> bool {
        if self.is_empty() || parts.is_empty() {
            return false;
        }
        let evidence = self.evidence(&HashSet::new(), now);
        let is_pending = |part: &Part| {
            let evidence = evidence.get(&part.fingerprint(service));
            evidence.is_some_and(|e| e.rounds >= ROUNDS && !is_settled(e, now))
        };
        parts.iter().any(is_pending)
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
        let evidence = self.evidence(explained, now);
        let candidates = || evidence.iter().filter(|(_, e)| e.rounds >= ROUNDS);
        let (part, best) = candidates().max_by_key(|(part, e)| (e.rank(), **part))?;
        // One more round probably tells two equal parts apart.
        let is_equal = |e: &Evidence| e.position > 0 && e.rounds == best.rounds;
        let is_tied =
            best.rounds == ROUNDS && candidates().filter(|(_, e)| is_equal(e)).count() > 1;
        (is_settled(best, now) && !is_tied).then(|| (*part, best.crashes.clone()))
    }

    fn culprit(&self, part: Fingerprint, crashes: &[usize]) -> Option<Culprit> {
        let last = self.crashes.get(*crashes.last()?)?;
        let with_part =
            |r: &&Interrupted| r.parts.iter().any(|id| id.fingerprint(r.service) == part);
        let request = last.requests.iter().find(with_part)?;
        let id = request.parts.iter().find(|id| id.fingerprint(request.service) == part)?;
        Some(Culprit {
            service: request.service,
            part: *id,
            request: request.request.clone(),
            upstreams: crashes.iter().map(|index| self.crashes[*index].upstream).collect(),
        })
    }

    /// The evidence against each part, without the crashes that are explained.
    fn evidence(&self, explained: &HashSet<usize>, now: Instant) -> HashMap<Fingerprint, Evidence> {
        let mut all: HashMap<Fingerprint, Evidence> = HashMap::new();
        let recent = |crash: &Crash| now.saturating_duration_since(crash.at) < RETENTION;
        let crashes = self.crashes.iter().enumerate();
        for (index, crash) in crashes.filter(|(i, c)| !explained.contains(i) && recent(c)) {
            for request in &crash.requests {
                for (part, position) in request.positions() {
                    if self.begun.at(part).is_some_and(|begun| begun >= crash.at) {
                        continue;
                    }
                    let evidence = all
                        .entry(part)
                        .or_insert_with(|| Evidence { position, ..Evidence::default() });
                    evidence.position = evidence.position.min(position);
                    if evidence.last_round.is_none_or(|last| request.sent >= last) {
                        evidence.rounds += 1;
                        evidence.last_round = Some(crash.at);
                    }
                    if evidence.crashes.last() != Some(&index) {
                        evidence.crashes.push(index);
                    }
                }
            }
        }
        all
    }

    /// Adds a request to the crash of its upstream. Returns whether the crash is new.
    fn insert(&mut self, upstream: Tag, request: Interrupted, at: Instant, now: Instant) -> bool {
        while self
            .crashes
            .front()
            .is_some_and(|crash| now.saturating_duration_since(crash.at) >= RETENTION)
        {
            self.crashes.pop_front();
        }
        if let Some(crash) = self.crashes.iter_mut().find(|crash| crash.upstream == upstream) {
            crash.at = crash.at.min(at);
            let is_known = crash.requests.iter().any(|known| known.request == request.request);
            if !is_known && crash.requests.len() < MAX_REQUESTS {
                crash.requests.push(request);
            }
            return false;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.pop_front();
        }
        // Announcements of different VMs arrive in any order.
        let position = self.crashes.partition_point(|crash| crash.at <= at);
        self.crashes.insert(position, Crash { upstream, at, requests: vec![request] });
        true
    }
}

fn is_settled(evidence: &Evidence, now: Instant) -> bool {
    let since = |at| now.saturating_duration_since(at);
    evidence.last_round.is_some_and(|at| since(at) >= SETTLE_TIME)
}
