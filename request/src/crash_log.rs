//! Finds the parts of prompts that crash upstreams.
//!
//! A request that had not begun to respond when its upstream crashed may have caused the crash, and so may each part of
//! its prompt. Nearly all of them have not: the request shared the upstream with the cause, or the part is in sound
//! requests as well. Two observations tell the cause apart. A request with the cause never begins to respond, so a part
//! with which any request has begun since a crash is cleared of that crash. And the cause crashes the next upstream too,
//! so crashes count in rounds: a crash starts a new round for a part if it interrupted another request than those of the
//! rounds before, which was sent after the last of them. Upstreams that crash together, whatever the reason, are one round.
//!
//! A part with three rounds or more is a culprit if that is unlikely for a sound one, by one of four tests. The
//! number of its rounds is compared with the share of all requests that crashes interrupt before they begin, which
//! is high when few upstreams are left. And the crashes that interrupted requests with it are compared with those
//! expected by its share in all interrupted requests. And a part with twice as many rounds is one if no request began
//! with it lately, no other part is in all crashes, and most interrupted requests do not have it. And where few requests
//! come, each crash came soon after one with the part was sent, and none in the much longer time before. Where several parts
//! qualify, those that tell requests apart best come first: not the first part of a prompt, which most requests have,
//! then the one with most rounds, then the latest one in the prompt. The crashes that a culprit explains count for no
//! other part.
//!
//! Each VM announces the crashes that it observes, which of the parts in question its requests have begun with, and the
//! culprits that it finds. No scheduler takes part in that.

mod announcement;
mod evidence;

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

use foldlock_base::id;
use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::part::Part;
use crate::tag::Tag;

pub use announcement::{Announcement, Merged};

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

/// Maximum number of culprits on record.
const MAX_KNOWN: usize = 1_024;

/// Maximum number of upstreams that are named for a culprit.
const MAX_UPSTREAMS: usize = 16;

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

/// An interrupted request on record.
#[derive(Debug, Clone)]
struct Record {
    request: Interrupted,
    /// The fingerprints of its parts, in their order.
    parts: Vec<Fingerprint>,
    origin: Origin,
}

impl Record {
    fn new(request: Interrupted, origin: Origin) -> Record {
        let parts = request.parts.iter().map(|part| part.fingerprint(request.service)).collect();
        Record { request, parts, origin }
    }

    fn has_part(&self, part: Fingerprint) -> bool {
        self.parts.contains(&part)
    }
}

#[derive(Debug, Clone)]
struct Crash {
    upstream: Tag,
    /// When it was first observed.
    at: Instant,
    requests: Vec<Record>,
}

impl Crash {
    /// Whether it interrupted a request with this part.
    fn has_part(&self, part: Fingerprint) -> bool {
        self.requests.iter().any(|record| record.has_part(part))
    }

    /// The interrupted requests for a service.
    fn of_service(&self, service: Tag) -> impl Iterator<Item = &Record> + Clone {
        self.requests.iter().filter(move |record| record.request.service == service)
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
    /// The last upstreams that crashed, in the order of time.
    pub upstreams: Vec<Tag>,
}

impl Culprit {
    /// The key of its quarantine.
    pub fn fingerprint(&self) -> Fingerprint {
        self.part.fingerprint(self.service)
    }
}

/// All recent crashes of upstreams, and the parts that are cleared of them.
#[derive(Debug, Default)]
pub struct Log {
    crashes: VecDeque<Crash>,
    begun: Begun,
    /// Parts that are not cleared of their last crash, with its time.
    uncleared: HashMap<Fingerprint, Instant>,
    /// The parts that were found to be culprits.
    known: HashSet<Fingerprint>,
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
        self.insert(upstream, Record::new(request, Origin::Own), now, now);
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
        self.known.remove(&fingerprint);
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

    /// Records that a part is a culprit, whoever found it: it explains its crashes until a request with it begins.
    pub fn record_culprit(&mut self, part: Fingerprint) {
        if self.known.len() < MAX_KNOWN {
            self.known.insert(part);
        }
    }

    /// Clears a part that was released, and drops the crashes during its requests: they count for no other part either.
    pub fn release(&mut self, part: Fingerprint, now: Instant) {
        self.begun.record(part, now, Origin::Peer);
        self.uncleared.remove(&part);
        self.known.remove(&part);
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
        for part in &self.known {
            let crashes = self.crashes_with(*part);
            culprits.extend(self.culprit(*part, &crashes));
            explained.extend(crashes);
        }
        while let Some((part, crashes)) = self.best_explanation(&explained, now) {
            culprits.extend(self.culprit(part, &crashes));
            explained.extend(crashes);
        }
        culprits
    }

    /// The indices of the crashes that interrupted requests with a part and of which it is not cleared.
    fn crashes_with(&self, part: Fingerprint) -> Vec<usize> {
        let begun = self.begun.at(part);
        let counts = |crash: &Crash| begun.is_none_or(|begun| begun < crash.at);
        let crashes = self.crashes.iter().enumerate();
        let with_part = crashes.filter(|(_, crash)| counts(crash) && crash.has_part(part));
        with_part.map(|(index, _)| index).collect()
    }

    fn culprit(&self, part: Fingerprint, crashes: &[usize]) -> Option<Culprit> {
        let last = self.crashes.get(*crashes.last()?)?;
        let recent = &crashes[crashes.len().saturating_sub(MAX_UPSTREAMS)..];
        let record = last.requests.iter().find(|record| record.has_part(part))?;
        let position = record.parts.iter().position(|found| *found == part)?;
        let Interrupted { request, service, parts, .. } = &record.request;
        Some(Culprit {
            service: *service,
            part: parts[position],
            request: request.clone(),
            upstreams: recent.iter().map(|index| self.crashes[*index].upstream).collect(),
        })
    }

    /// Marks the parts of a request that a crash interrupted, and announces those with which requests of this VM have
    /// begun since.
    fn mark_uncleared(&mut self, record: &Record, crash: Instant) {
        let Interrupted { service, parts, .. } = &record.request;
        for (part, fingerprint) in parts.iter().zip(&record.parts) {
            match self.begun.get(*fingerprint).filter(|(begun, _)| *begun >= crash) {
                Some((begun, Origin::Own)) => self.outbox.add_cleared(*service, *part, begun),
                Some((_, Origin::Peer)) => {}
                None => {
                    let last = self.uncleared.entry(*fingerprint).or_insert(crash);
                    *last = crash.max(*last);
                }
            }
        }
        if self.uncleared.len() > MAX_CRASHES * MAX_REQUESTS {
            self.uncleared.clear();
        }
    }

    /// Adds a request to the crash of its upstream. Returns whether the crash is new.
    fn insert(&mut self, upstream: Tag, record: Record, at: Instant, now: Instant) -> bool {
        self.mark_uncleared(&record, at);
        while self
            .crashes
            .front()
            .is_some_and(|crash| now.saturating_duration_since(crash.at) >= RETENTION)
        {
            self.crashes.pop_front();
        }
        if let Some(crash) = self.crashes.iter_mut().find(|crash| crash.upstream == upstream) {
            crash.at = crash.at.min(at);
            let id = &record.request.request;
            let is_known = crash.requests.iter().any(|known| known.request.request == *id);
            if !is_known && crash.requests.len() < MAX_REQUESTS {
                crash.requests.push(record);
            }
            return false;
        }
        if self.crashes.len() == MAX_CRASHES {
            self.crashes.pop_front();
        }
        // Announcements of different VMs arrive in any order.
        let position = self.crashes.partition_point(|crash| crash.at <= at);
        self.crashes.insert(position, Crash { upstream, at, requests: vec![record] });
        true
    }
}
