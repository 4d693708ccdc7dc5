//! What first events of attempts show of their engines, and the engines that have to be asked for a report.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use foldlock_base::id;

use super::{Cluster, Holder, Listed, Upstream};
use crate::evidence::{Doubt, Evidence, Expectation, POLL_INTERVAL, Reason};
use crate::flight::{Announcement, Tracked};
use crate::report::Observed;
use crate::tag::Tag;

/// Maximum number of first events that are awaited: more than 3,000 engines run. Beyond it, the oldest ones are not judged.
const MAX_AWAITED: usize = 65_536;

/// An engine that has to be asked for its report.
#[derive(Debug, Clone, PartialEq)]
pub struct Due {
    /// The engine.
    pub listed: Listed,
    /// Why it is asked.
    pub reason: Reason,
}

/// An engine that came into doubt.
#[derive(Debug, Clone, PartialEq)]
pub struct Doubted {
    /// The engine.
    pub upstream: id::Upstream,
    /// The first sign of a fault.
    pub doubt: Doubt,
    /// Age of the last evidence that it is neither slow nor dark; none if there is none.
    pub evidence_age: Option<Duration>,
    /// Its last report.
    pub observed: Option<Observed>,
}

/// An attempt whose first event is awaited.
#[derive(Debug)]
struct Awaited {
    holder: Holder,
    number: u64,
    expected: Expectation,
}

/// The first events that are awaited, by the time after which they are late. To go through all attempts each time would
/// take 3 ms at 3,000 engines with 12 attempts each.
#[derive(Debug, Default)]
pub(super) struct Queue {
    by_time: BTreeMap<(Instant, u64), Awaited>,
    last: u64,
}

impl Queue {
    fn push(&mut self, late_after: Instant, awaited: Awaited) {
        if self.by_time.len() == MAX_AWAITED {
            self.by_time.pop_first();
        }
        self.last += 1;
        self.by_time.insert((late_after, self.last), awaited);
    }

    /// Removes and returns those that are late.
    fn take_late(&mut self, now: Instant) -> impl Iterator<Item = Awaited> + use<> {
        let later = self.by_time.split_off(&(now, 0));
        std::mem::replace(&mut self.by_time, later).into_values()
    }
}

impl Doubted {
    /// The inputs of the decision, for the log.
    pub fn describe(&self, now: Instant) -> String {
        let Doubted { upstream, doubt, evidence_age, observed } = self;
        let age_ms = evidence_age.map_or(-1, |age| age.as_millis() as i64);
        let report = match observed {
            None => "none".to_owned(),
            Some(Observed { report, at }) => {
                let slowdown = report
                    .map_or("no response".to_owned(), |r| format!("slowdown {:.2}", r.slowdown));
                format!("{slowdown}, {} ms old", now.saturating_duration_since(*at).as_millis())
            }
        };
        format!("{upstream}: {}, evidence_age_ms {age_ms}, last report {report}", doubt.as_str())
    }
}

/// The result of one round of decisions.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Round {
    /// The engines to ask now.
    pub due: Vec<Due>,
    /// The engines that came into doubt since the last round.
    pub doubted: Vec<Doubted>,
}

impl Cluster {
    /// Sets the predicted time to the first event of a placement that was granted now. Without it, the attempt shows
    /// nothing of its engines. Responses that are sent whole have no first event.
    pub fn expect_first_event(
        &mut self,
        holder: &Holder,
        number: u64,
        predicted_ms: f64,
        now: Instant,
    ) {
        let Some(entry) = self.flights.entry_mut(holder, number) else { return };
        let is_stream = entry.tracked.flight.pause_ms != u32::MAX;
        entry.expected = Expectation::new(predicted_ms, now).filter(|_| is_stream);
        if let Some(expected) = entry.expected {
            let awaited = Awaited { holder: holder.clone(), number, expected };
            self.awaited.push(expected.late_after(), awaited);
        }
    }

    /// Records that a long prompt relies on these engines.
    pub fn rely_on<'a>(&mut self, engines: impl Iterator<Item = &'a id::Upstream>, now: Instant) {
        for id in engines {
            if let Some(upstream) = self.upstreams.get_mut(id) {
                upstream.evidence.on_long_prompt(now);
            }
        }
    }

    /// Records that a queued long prompt may rely on any engine of a service.
    pub fn rely_on_service(&mut self, service: &str, now: Instant) {
        let open = |u: &&mut Upstream| u.listed.service == service && u.is_open();
        self.upstreams.values_mut().filter(open).for_each(|u| u.evidence.on_long_prompt(now));
    }

    pub(super) fn judge_first_event(&mut self, holder: &Holder, number: u64, now: Instant) {
        let Some(entry) = self.flights.entry_mut(holder, number) else { return };
        let Some(expected) = entry.expected.take() else { return };
        let engines = incarnations(&entry.tracked);
        self.update(&engines, |evidence| evidence.on_first_event(expected, now));
    }

    /// Records until when the events of an attempt of this VM show that its engine was not slow.
    pub fn record_pace(&mut self, number: u64, sound_until: Instant) {
        let Some(entry) = self.flights.entry_mut(&Holder::Own, number) else { return };
        entry.sound_until = Some(sound_until);
        let engine = entry.tracked.tag;
        self.update(&[engine], |evidence| evidence.on_sound(sound_until));
    }

    /// Merges what a peer announced of the pace of an attempt.
    pub(super) fn merge_pace(&mut self, announced: &Announcement, now: Instant) {
        let Some(age_ms) = announced.sound_age_ms else { return };
        let age = Duration::from_millis(u64::from(age_ms));
        if let Some(sound_until) = now.checked_sub(age) {
            self.update(&[announced.upstream], |evidence| evidence.on_sound(sound_until));
        }
    }

    /// The engines to ask for their reports, which count as asked now. Engines of other services, and those with a rate
    /// limit, to which the requests may count, are not among them.
    pub fn due_reports(&mut self, is_engine: impl Fn(&Listed) -> bool, now: Instant) -> Round {
        self.record_missing_events(now);
        let mut round = Round::default();
        let works = &self.flights.works;
        for upstream in self.upstreams.values_mut() {
            if upstream.is_limited() || !is_engine(&upstream.listed) {
                continue;
            }
            let evidence = &mut upstream.evidence;
            if works.contains_key(&upstream.listed.id) {
                evidence.on_use(now);
            }
            if let Some(doubt) = evidence.take_doubt(now) {
                let age = |sound: Instant| now.saturating_duration_since(sound);
                round.doubted.push(Doubted {
                    upstream: upstream.listed.id.clone(),
                    doubt,
                    evidence_age: evidence.sound_until(upstream.observed).map(age),
                    observed: upstream.observed,
                });
            }
            if let Some(reason) = evidence.due(upstream.observed, now) {
                evidence.on_asked(now);
                round.due.push(Due { listed: upstream.listed.clone(), reason });
            }
        }
        round
    }

    /// Puts the engines of attempts in doubt whose first event has not come in time. A placement that its VM has not
    /// announced may not have been sent.
    fn record_missing_events(&mut self, now: Instant) {
        for awaited in self.awaited.take_late(now) {
            let entry = self.flights.entry_mut(&awaited.holder, awaited.number);
            let Some(entry) = entry.filter(|entry| entry.expected == Some(awaited.expected)) else {
                // The event has arrived, or the attempt has ended.
                continue;
            };
            if entry.grant.is_none() {
                let engines = incarnations(&entry.tracked);
                self.update(&engines, |evidence| evidence.on_doubt(Doubt::Missing, now));
            }
            // Its engines stay in doubt for longer than this interval.
            self.awaited.push(now + POLL_INTERVAL, awaited);
        }
    }

    /// Updates the evidence of those incarnations that are the current ones.
    fn update(&mut self, engines: &[Tag], update: impl Fn(&mut Evidence)) {
        for tag in engines {
            let current = self.tags.get(tag).and_then(|id| self.upstreams.get_mut(id));
            if let Some(upstream) = current.filter(|upstream| upstream.tag == *tag) {
                update(&mut upstream.evidence);
            }
        }
    }
}

/// The engines of an attempt: the one that responds and those that read a part.
fn incarnations(tracked: &Tracked) -> Vec<Tag> {
    std::iter::once(tracked.tag).chain(tracked.helper_tags.iter().copied()).collect()
}
