//! The evidence against each part: rounds of crashes, and whether they are unlikely for a sound part.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use foldlock_base::id;

use super::{Crash, Interrupted, Log, Origin, RETENTION, Record, SETTLE_TIME};
use crate::fingerprint::Fingerprint;
use crate::tag::Tag;

/// Minimum number of rounds of a culprit.
const ROUNDS: usize = 3;

/// Probability of its rounds below which a part is not taken for sound.
const MAX_PROBABILITY: f64 = 0.05;

/// The same for a part with which requests began recently: that it crashes upstreams now is less likely beforehand.
const MAX_PROBABILITY_IF_BEGUN: f64 = 0.0025;

/// Number of rounds after which a part is a culprit if it is the only one that explains all crashes.
const SOLE_ROUNDS: usize = 6;

/// The highest share of such a part in the interrupted requests: one that most requests have is in all crashes anyway.
const MAX_SOLE_SHARE: f64 = 0.5;

/// Share of the crashes that are expected to interrupt a request with their cause: there may be other causes.
const CAUSE_COVERAGE: f64 = 0.9;

/// The share of interrupted requests where no request without the part is known.
const UNKNOWN_SHARE: f64 = 2.0 / 3.0;

/// Least time for which a request counts as exposed to a crash that interrupted it: a crash is observed when a connection
/// breaks, which takes a moment, and by the clocks of several VMs.
const MIN_EXPOSURE: Duration = Duration::from_millis(200);

/// Time for which it counts that requests began with a part.
const BEGUN_MEMORY: Duration = Duration::from_secs(60);

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
    /// Indices of the crashes that are the first of a round.
    round_crashes: Vec<usize>,
}

impl<'a> Evidence<'a> {
    fn new(service: Tag, position: usize) -> Evidence<'a> {
        let (counted, crashes, round_crashes) = (Vec::new(), Vec::new(), Vec::new());
        Evidence { service, rounds: 0, last_round: None, counted, position, crashes, round_crashes }
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

impl Log {
    /// The part that explains crashes best, with their indices; none if no part does so far.
    pub(super) fn best_explanation(
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
                && self.covers_all(part, found, explained, now)
                && evidence.iter().filter(explains_all).count() == 1
        };
        // The times of the crashes are the same for parts that were in all of them together.
        let is_timed = |part: Fingerprint, found: &Evidence<'_>| {
            equal(found) <= 1 && self.coincidence(part, found) <= self.max_probability(part, now)
        };
        let is_decided = |(part, found): &&(Fingerprint, Evidence<'_>)| {
            // One more round probably tells two equal parts apart.
            let is_tied = found.rounds == ROUNDS && equal(found) > 1;
            (only_first || found.position > 0)
                && !is_tied
                && (self.is_significant(*part, found, explained, now)
                    || is_sole(*part, found)
                    || is_timed(*part, found))
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
        let max = self.max_probability(part, now);
        let share = self.interrupted_share(part, evidence, now);
        share.powi(evidence.rounds as i32) <= max
            || self.coverage_odds(part, evidence, explained, now) >= max.recip()
    }

    /// The probability of the evidence below which a part is not taken for sound.
    fn max_probability(&self, part: Fingerprint, now: Instant) -> f64 {
        if self.has_begun(part, now) { MAX_PROBABILITY_IF_BEGUN } else { MAX_PROBABILITY }
    }

    /// The probability that crashes with another cause came while requests with a part were exposed to them. Since the
    /// crash before it, each came at any time, so the probability is the share of that time for which a request had been
    /// sent. It is low where few requests come, for which counts are too small. The first round is no
    /// evidence.
    fn coincidence(&self, part: Fingerprint, evidence: &Evidence<'_>) -> f64 {
        let rounds = evidence.round_crashes.iter().skip(1);
        rounds.map(|index| self.exposed_share(part, evidence.service, *index)).product()
    }

    /// The share of the time since the previous crash of the service for which a request with a part had been sent to the
    /// upstream that then crashed.
    fn exposed_share(&self, part: Fingerprint, service: Tag, index: usize) -> f64 {
        let crash = &self.crashes[index];
        let sent = crash.requests.iter().filter(|record| record.has_part(part));
        let exposed =
            sent.filter_map(|record| crash.at.checked_duration_since(record.request.sent));
        let before = self.crashes.range(..index).rev();
        let previous = before.into_iter().find(|crash| crash.of_service(service).next().is_some());
        let (Some(exposed), Some(previous)) = (exposed.max(), previous) else {
            // It was sent after the crash, or there was none before.
            return 1.0;
        };
        let since_previous = crash.at.saturating_duration_since(previous.at);
        let exposed = exposed.max(MIN_EXPOSURE);
        if exposed < since_previous { exposed.div_duration_f64(since_previous) } else { 1.0 }
    }

    /// Whether a request with a part began recently.
    fn has_begun(&self, part: Fingerprint, now: Instant) -> bool {
        let since = |at: Instant| now.saturating_duration_since(at);
        self.begun.at(part).is_some_and(|at| since(at) < BEGUN_MEMORY)
    }

    /// The crashes from an index on that are not explained and have settled.
    fn settled<'a>(
        &'a self,
        first: usize,
        explained: &'a HashSet<usize>,
        now: Instant,
    ) -> impl Iterator<Item = &'a Crash> {
        let is_settled =
            move |crash: &Crash| now.saturating_duration_since(crash.at) >= SETTLE_TIME;
        let crashes = self.crashes.iter().enumerate().skip(first);
        let settled =
            crashes.filter(move |(index, crash)| !explained.contains(index) && is_settled(crash));
        settled.map(|(_, crash)| crash)
    }

    /// Whether all crashes of the service, since the first that interrupted a request with a part, did so, although most
    /// requests do not have it.
    fn covers_all(
        &self,
        part: Fingerprint,
        evidence: &Evidence<'_>,
        explained: &HashSet<usize>,
        now: Instant,
    ) -> bool {
        let counts = self.counts(part, evidence, explained, now);
        counts.iter().all(|(_, with)| *with > 0) && share_of(&counts) <= MAX_SOLE_SHARE
    }

    /// The interrupted requests of each crash, from the first that interrupted a request with a part, and those of them
    /// with the part.
    fn counts(
        &self,
        part: Fingerprint,
        evidence: &Evidence<'_>,
        explained: &HashSet<usize>,
        now: Instant,
    ) -> Vec<(usize, usize)> {
        let Some(first) = evidence.crashes.first() else { return Vec::new() };
        let count = |crash: &Crash| {
            let requests = crash.of_service(evidence.service);
            let with_part = requests.clone().filter(|record| record.has_part(part));
            (requests.count(), with_part.count())
        };
        let counts = self.settled(*first, explained, now).map(count);
        counts.filter(|(all, _)| *all > 0).collect()
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
        let counts = self.counts(part, evidence, explained, now);
        let share = share_of(&counts);
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

    /// The share of the requests of this VM that crashes interrupted before they began, since the first crash of the
    /// evidence against a part. Those with the part count as well, as they would if it were sound, and two of three more,
    /// so few requests say little. Requests that began within [`SETTLE_TIME`] do not count yet, since one with the part may
    /// have begun as well.
    fn interrupted_share(&self, part: Fingerprint, evidence: &Evidence<'_>, now: Instant) -> f64 {
        let Some(first) = evidence.crashes.first().map(|index| self.crashes[*index].at) else {
            return 1.0;
        };
        let crashes = self.crashes.iter().filter(|crash| crash.at >= first);
        let interrupted = crashes
            .flat_map(|crash| crash.of_service(evidence.service))
            .filter(|record| record.origin == Origin::Own);
        let (with_part, others): (Vec<&Record>, Vec<&Record>) =
            interrupted.partition(|record| record.has_part(part));
        let begun = self.witnesses.iter().filter(|witness| {
            witness.at >= first
                && now.saturating_duration_since(witness.at) >= SETTLE_TIME
                && witness.service == evidence.service
                && !witness.parts.contains(&part)
        });
        let begun = begun.count();
        if others.is_empty() && begun == 0 {
            return UNKNOWN_SHARE;
        }
        let interrupted = (with_part.len() + others.len()) as f64;
        (interrupted + 2.0) / (interrupted + begun as f64 + 3.0)
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
            for Record { request, parts, .. } in &crash.requests {
                for (position, part) in parts.iter().copied().enumerate() {
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
                        evidence.round_crashes.push(index);
                    }
                    if evidence.crashes.last() != Some(&index) {
                        evidence.crashes.push(index);
                    }
                }
            }
        }
        all
    }
}

/// The share of the requests with a part in all that were counted.
fn share_of(counts: &[(usize, usize)]) -> f64 {
    let (all, with) = counts.iter().fold((0, 0), |(a, w), (all, with)| (a + all, w + with));
    with as f64 / f64::from(all.max(1) as u32)
}
