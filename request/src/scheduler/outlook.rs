//! The load of one service: recent arrivals and grants, and the forecasts that follow from them.
//!
//! Brings together the order of the queue, the measured throughput and the demand of short prompts. The scheduler
//! updates it with each request; it has no clock and no network.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_version::routes::Engine;

use super::admission;
use super::forecast::{Throughput, Tiers, long_model_rate, short_model_rate};
use super::order::{self, Basis, Discipline, Item};
use super::overview::Rate;
use super::reserve::{self, CURRENT, Demand, MEAN_WINDOW};
use crate::caller::Priority;
use crate::forecast;
use crate::placement::{MAX_PREDICTED_SHARE, Requirements};

/// Weight of the latest placement in the typical time from grant to first event. While requests are queued, ten
/// placements take less than a second.
const TYPICAL_WEIGHT: f64 = 0.1;

/// Number of engines among which a queued long prompt is expected to be divided.
const EXPECTED_PARTS: f64 = 10.0;

/// Time for which the current demand is expected to last. The mix of prompt lengths changes within a few seconds.
const BURST_TIME: Duration = Duration::from_secs(2);

/// Milliseconds in a second.
const MS_PER_S: f64 = 1e3;

/// A request as the forecast sees it.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    /// What its place in the order depends on.
    pub(super) item: Item,
    /// Its prefill time on one engine if it is a long prompt, milliseconds.
    pub(super) prefill_ms: Option<f64>,
    /// The time that it has waited, and its limits.
    pub(super) request: admission::Request,
    /// Time within which a short prompt has to start to be in time.
    in_time_left: Duration,
    prompt: Tokens,
}

impl Candidate {
    pub(super) fn is_long(&self) -> bool {
        self.prefill_ms.is_some()
    }

    /// Time for which its caller still waits.
    pub(super) fn remaining(&self, time_limit: Duration) -> Duration {
        time_limit.saturating_sub(self.request.waited)
    }
}

/// Work that is queued before a request: numbers of short prompts, or prefill milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Ahead {
    in_time: f64,
    late: f64,
}

/// The forecast wait of a request, and the rate at which requests like it can return.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wait {
    /// Time until its start.
    pub(super) wait: Duration,
    /// Work served per second: short prompts, or milliseconds of prefill.
    pub(super) rate: f64,
    /// Returning requests of its size that can be served in a second.
    pub(super) returns_per_s: f64,
}

/// A long prompt that arrived.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Instant,
    priority: Priority,
    prefill_ms: f64,
}

/// The load of one service.
#[derive(Debug, Default)]
pub(super) struct Outlook {
    pub(super) discipline: Discipline,
    short: Throughput,
    demand: Demand,
    long_arrivals: VecDeque<Arrival>,
    /// Typical time from grant to first event of short prompts.
    typical: Option<Duration>,
}

impl Outlook {
    /// The request as the forecast sees it. `returned`: its caller has returned at a promised time.
    pub(super) fn candidate(
        &self,
        engine: &Engine,
        requirements: &Requirements,
        returned: bool,
        now: Instant,
    ) -> Candidate {
        let waited = now.saturating_duration_since(requirements.arrived);
        let prefill_ms = requirements.long_prefill_ms(engine);
        let objective = requirements.objective;
        let typical = match prefill_ms {
            Some(prefill_ms) => Some(long_first_event(engine, prefill_ms)),
            None => self.typical,
        };
        let service_time = requirements.service_time(engine);
        let first_event = typical.unwrap_or_default();
        // The caller also disconnects if the first event takes too long.
        let by_patience = requirements.caller.patience.saturating_sub(first_event);
        let start_limit = requirements.caller.time_limit.saturating_sub(service_time);
        let in_time = order::can_be_in_time(waited, typical, objective);
        let in_time_left = objective
            .mul_f64(MAX_PREDICTED_SHARE)
            .saturating_sub(first_event)
            .saturating_sub(waited);
        Candidate {
            item: Item {
                organisation: requirements.caller.organisation,
                priority: requirements.caller.priority,
                arrived: requirements.arrived,
                deadline: now + urgency_time(in_time_left, objective),
                in_time,
                cost_ms: order::cost_ms(engine, requirements.prompt),
                returned,
            },
            prefill_ms,
            request: admission::Request {
                waited,
                time_limit: start_limit.min(by_patience).saturating_add(service_time),
                service_time,
                in_time,
            },
            in_time_left,
            prompt: requirements.prompt,
        }
    }

    /// Records the arrival of a request.
    pub(super) fn record_arrival(&mut self, candidate: &Candidate, now: Instant) {
        let Some(prefill_ms) = candidate.prefill_ms else {
            self.demand.record(candidate.prompt, now);
            return self.short.record_arrival(1.0, candidate.item.in_time, now);
        };
        while self.long_arrivals.front().is_some_and(|first| age(first.at, now) > MEAN_WINDOW) {
            self.long_arrivals.pop_front();
        }
        let priority = candidate.item.priority;
        self.long_arrivals.push_back(Arrival { at: now, priority, prefill_ms });
    }

    /// Records a placement, with the predicted time to its first event. Returns why it was granted before the others.
    pub(super) fn record_grant(
        &mut self,
        candidate: &Candidate,
        predicted_ms: f64,
        now: Instant,
    ) -> Basis {
        let basis = self.discipline.on_granted(&candidate.item, now).basis;
        if !candidate.is_long() {
            self.short.record_grant(1.0, now);
            self.record_predicted(predicted_ms);
        }
        basis
    }

    fn record_predicted(&mut self, predicted_ms: f64) {
        let Ok(predicted) = Duration::try_from_secs_f64(predicted_ms / MS_PER_S) else { return };
        let typical = self.typical.unwrap_or(predicted);
        let weighted = typical.mul_f64(1.0 - TYPICAL_WEIGHT) + predicted.mul_f64(TYPICAL_WEIGHT);
        self.typical = Some(weighted);
    }

    /// Records the end of a round of placement.
    pub(super) fn end_round(&mut self, are_short_queued: bool, now: Instant) {
        self.short.set_backlogged(are_short_queued, now);
        self.discipline.expire(now);
    }

    /// The forecast wait of a request behind others, which are given in the order of the queue. `engines` are those
    /// of the service, weighted by speed.
    pub(super) fn wait(
        &self,
        engine: &Engine,
        engines: f64,
        queued: &[Candidate],
        candidate: &Candidate,
        now: Instant,
    ) -> Wait {
        match candidate.prefill_ms {
            Some(prefill_ms) => self.long_wait(engine, engines, queued, candidate, prefill_ms, now),
            None => self.short_wait(engine, engines, queued, candidate, now),
        }
    }

    fn short_wait(
        &self,
        engine: &Engine,
        engines: f64,
        queued: &[Candidate],
        candidate: &Candidate,
        now: Instant,
    ) -> Wait {
        let model_rate =
            short_model_rate(engine, engines * f64::from(engine.slots), candidate.prompt);
        let rate = self.short.rate(model_rate, now);
        let mut ahead = Ahead::default();
        for other in queued.iter().filter(|other| !other.is_long()) {
            if other.item.in_time { ahead.in_time += 1.0 } else { ahead.late += 1.0 }
        }
        let tiers = Tiers {
            rate,
            in_time_arrivals: self.short.in_time_arrivals(now),
            ahead_in_time: ahead.in_time,
            ahead_late: ahead.late,
        };
        let wait = if candidate.item.in_time {
            tiers.wait_within(candidate.in_time_left)
        } else {
            tiers.wait(false)
        };
        Wait { wait, rate, returns_per_s: rate * super::forecast::LATE_SHARE }
    }

    /// More urgent and shorter prompts are read first, those that are queued and those that arrive meanwhile. The current demand is expected to last for `BURST_TIME`, and the mean demand to return after it.
    fn long_wait(
        &self,
        engine: &Engine,
        engines: f64,
        queued: &[Candidate],
        candidate: &Candidate,
        prefill_ms: f64,
        now: Instant,
    ) -> Wait {
        let priority = candidate.item.priority;
        let goes_first =
            |other: Priority, other_ms: f64| (other, other_ms) < (priority, prefill_ms);

        let ahead: f64 = queued
            .iter()
            .filter_map(|other| Some((other.item.priority, other.prefill_ms?)))
            .filter(|(other, other_ms)| goes_first(*other, *other_ms))
            .map(|(_, other_ms)| other_ms)
            .sum();
        let tiers = |window: Duration, work: f64| {
            let short = self.demand.engines(engine, window, now);
            let arrivals = self.long_arrivals.iter().rev();
            let arriving: f64 = arrivals
                .take_while(|arrival| age(arrival.at, now) <= window)
                .filter(|arrival| goes_first(arrival.priority, arrival.prefill_ms))
                .map(|arrival| arrival.prefill_ms)
                .sum();
            Tiers {
                rate: long_model_rate(reserve::left_for_long(short, engines)),
                in_time_arrivals: arriving / window.as_secs_f64(),
                ahead_in_time: 0.0,
                ahead_late: work,
            }
        };
        let work = ahead + prefill_ms;
        let current = tiers(CURRENT, work);
        let mut wait = current.wait(false);
        if wait > BURST_TIME {
            let left = work * (1.0 - BURST_TIME.as_secs_f64() / wait.as_secs_f64());
            wait = wait.min(BURST_TIME + tiers(MEAN_WINDOW, left).wait(false));
        }
        let returns_per_s = current.rate * super::forecast::LATE_SHARE / prefill_ms.max(1.0);
        Wait { wait, rate: current.rate, returns_per_s }
    }

    /// The length of the backlog from which the rate for a request was measured. The rate for long prompts is the engine
    /// model's.
    pub(super) fn measured(&self, candidate: &Candidate, now: Instant) -> Duration {
        if candidate.is_long() { Duration::ZERO } else { self.short.measured(now) }
    }

    /// The rate at which queued short prompts are served, if any arrived in the last 30 s; the engine model's rate is that
    /// for prompts of their mean length.
    pub(super) fn short_rate(&self, engine: &Engine, engines: f64, now: Instant) -> Option<Rate> {
        let prompt = self.demand.mean_prompt(MEAN_WINDOW, now)?;
        let model_rate = short_model_rate(engine, engines * f64::from(engine.slots), prompt);
        Some(Rate { per_s: self.short.rate(model_rate, now), measured: self.short.measured(now) })
    }

    /// Engines that short prompts need, by the arrivals of the last second.
    pub(super) fn short_demand(&self, engine: &Engine, now: Instant) -> f64 {
        self.demand.engines(engine, CURRENT, now)
    }

    /// The number of engines to keep free of long prompts, which themselves need `long` engines.
    pub(super) fn kept_for_short(
        &self,
        engine: &Engine,
        engines: f64,
        long: f64,
        now: Instant,
    ) -> usize {
        reserve::kept(self.demand.engines(engine, CURRENT, now), long, engines)
    }
}

/// Scales the time within which a request has to start to objectives of one second. By the time itself, a prompt with
/// a long objective would wait behind all short ones until it has no time left at all, and be late by any delay.
fn urgency_time(left: Duration, objective: Duration) -> Duration {
    let share = left.as_secs_f64() / objective.as_secs_f64().max(1e-3);
    Duration::from_secs_f64(share.min(1.0))
}

/// The typical time from grant to first event of a long prompt.
fn long_first_event(engine: &Engine, prefill_ms: f64) -> Duration {
    let pass_ms = forecast::pass_ms(engine, engine.slots, engine.memory.0 / 2);
    Duration::try_from_secs_f64((prefill_ms / EXPECTED_PARTS + 2.0 * pass_ms) / MS_PER_S)
        .unwrap_or(Duration::MAX)
}

fn age(at: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(at)
}
