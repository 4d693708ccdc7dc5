//! The load of one service: recent arrivals and grants, and the forecasts that follow from them.
//!
//! Brings together the order of the queue, the measured throughput and the demand of short prompts. The scheduler
//! updates it with each request; it has no clock and no network.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_version::routes::Engine;

use super::admission;
use super::forecast::{Departures, Throughput, Tiers, long_model_rate, short_model_rate};
use super::order::{self, Basis, Discipline, Item};
use super::overview::Rate;
use super::reserve::{self, CURRENT, Demand, MEAN_WINDOW};
use crate::caller::Priority;
use crate::forecast;
use crate::placement::{MAX_PREDICTED_SHARE, Requirements};

/// How far the typical delay moves with each placement. While requests are queued, ten placements take less than a
/// second, in which it can move by half a pass.
const TYPICAL_STEP: Duration = Duration::from_millis(4);

/// The typical delay is this quantile of the predicted ones. While all slots are in use, more than half of the placements
/// are predicted to be late; with their mean, no new request would count as one that can be in time, and all would be
/// served by arrival, late. A quarter of the placements are fast enough for those that go first.
const TYPICAL_QUANTILE: f64 = 0.25;

/// Number of engines among which a queued long prompt is expected to be divided.
const EXPECTED_PARTS: f64 = 10.0;

/// Time for which the current demand is expected to last. The mix of prompt lengths changes within a few seconds.
const BURST_TIME: Duration = Duration::from_secs(2);

/// Time for which the sum of the engines' speeds is reused: the longest time between two rounds of placement. Without
/// it, each new request would visit all engines.
const MAX_SPEED_AGE: Duration = Duration::from_millis(20);

/// Maximum number of priorities whose arrivals are counted: 0 to 9 for organisations and for routes.
const MAX_PRIORITIES: usize = 100;

/// Maximum number of long prompts whose arrivals are kept: 333 a second for the mean window, as many as 3,000 engines
/// read whose prefills take 9 s.
const MAX_LONG_ARRIVALS: usize = 10_000;

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
    /// Its prefill time on one engine, whether it is long or not.
    prefill: Duration,
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

/// Work that is queued before a request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Ahead {
    /// Short prompts that can be in time.
    in_time: f64,
    /// Short prompts that cannot.
    late: f64,
    /// Prefill of long prompts, milliseconds.
    prefill_ms: f64,
}

impl Ahead {
    /// Adds a request that is queued before others.
    pub(super) fn add(&mut self, prefill_ms: Option<f64>, in_time: bool) {
        match prefill_ms {
            Some(prefill_ms) => self.prefill_ms += prefill_ms,
            None if in_time => self.in_time += 1.0,
            None => self.late += 1.0,
        }
    }
}

/// Prefill of long prompts that arrive and are read before a request, milliseconds a second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Arriving {
    current: f64,
    mean: f64,
}

impl Arriving {
    fn add(&mut self, arrival: &Arrival, now: Instant) {
        let age = age(arrival.at, now);
        if age <= CURRENT {
            self.current += arrival.prefill_ms / CURRENT.as_secs_f64();
        }
        if age <= MEAN_WINDOW {
            self.mean += arrival.prefill_ms / MEAN_WINDOW.as_secs_f64();
        }
    }
}

/// What the forecasts of one time have in common.
#[derive(Debug, Clone, Copy)]
pub(super) struct Shared {
    /// The engines of the service, weighted by speed.
    engines: f64,
    /// The engines that short prompts need on average.
    mean_short: f64,
    /// Prefill of long prompts in a second at the moment, milliseconds.
    long_rate: f64,
    /// The mean length of recent short prompts. The rate is measured in prompts of any length, so the engine model's
    /// rate has to be that of the same mix, whatever the length of the prompt whose wait is forecast.
    mean_prompt: Option<Tokens>,
}

/// The long prompts that arrived, shortest ones of the most urgent priority first, for forecasts of many requests.
pub(super) struct LongArrivals {
    /// Priority and prefill of each, with the sum up to and including it.
    sums: Vec<(Priority, f64, Arriving)>,
}

impl LongArrivals {
    /// The arrivals that are read before a prompt.
    pub(super) fn before(&self, priority: Priority, prefill_ms: f64) -> Arriving {
        let count =
            self.sums.partition_point(|(other, ms, _)| (*other, *ms) < (priority, prefill_ms));
        count.checked_sub(1).map_or_else(Arriving::default, |last| self.sums[last].2)
    }
}

/// The forecast wait of a request, and the rate at which requests like it can return.
#[derive(Debug, Clone, Copy)]
pub(super) struct Wait {
    /// Time until its start.
    pub(super) wait: Duration,
    /// Time until its start if no more requests go before it. A long prompt then has the engines that the mean demand of
    /// short ones leaves.
    pub(super) earliest: Duration,
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
    /// Of the present backlog: what short prompts leave to long ones changes within seconds.
    long: Throughput,
    departures: Departures,
    /// The arrivals of short prompts, by priority.
    short_arrivals: BTreeMap<Priority, Throughput>,
    demand: Demand,
    long_arrivals: VecDeque<Arrival>,
    /// Typical time from grant to first event of short prompts, less their own prefill.
    typical: Option<Duration>,
    /// The engines, weighted by speed, and when that was computed.
    engines: Option<(Instant, f64)>,
}

impl Outlook {
    /// The request as the forecast sees it. `returned`: its caller has returned at a promised time, or is reading its
    /// response already.
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
            None => self.typical_first_event(engine, requirements.prompt),
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
            prefill: prefill(engine, requirements.prompt),
        }
    }

    /// The typical time from grant to first event of a short prompt; none without placements.
    fn typical_first_event(&self, engine: &Engine, prompt: Tokens) -> Option<Duration> {
        Some(self.typical?.saturating_add(prefill(engine, prompt)))
    }

    /// Records the arrival of a request.
    pub(super) fn record_arrival(&mut self, candidate: &Candidate, now: Instant) {
        let Some(prefill_ms) = candidate.prefill_ms else {
            self.demand.record(candidate.prompt, now);
            let priority = candidate.item.priority;
            let has_room = self.short_arrivals.len() < MAX_PRIORITIES;
            if has_room || self.short_arrivals.contains_key(&priority) {
                let arrivals = self.short_arrivals.entry(priority).or_default();
                arrivals.record_arrival(1.0, candidate.item.in_time, now);
            }
            return;
        };
        let is_old = |arrival: &Arrival| age(arrival.at, now) > MEAN_WINDOW;
        while self.long_arrivals.len() >= MAX_LONG_ARRIVALS
            || self.long_arrivals.front().is_some_and(is_old)
        {
            self.long_arrivals.pop_front();
        }
        let priority = candidate.item.priority;
        self.long_arrivals.push_back(Arrival { at: now, priority, prefill_ms });
    }

    /// Records a placement, with the predicted time to its first event.
    pub(super) fn record_grant(&mut self, candidate: &Candidate, predicted_ms: f64, now: Instant) {
        self.discipline.on_granted(&candidate.item, now);
        if let Some(prefill_ms) = candidate.prefill_ms {
            self.long.record_grant(prefill_ms, now);
            return;
        }
        self.short.record_grant(1.0, now);
        self.departures.record_grant(now);
        let Ok(predicted) = Duration::try_from_secs_f64(predicted_ms / MS_PER_S) else { return };
        let delay = predicted.saturating_sub(candidate.prefill);
        self.typical = Some(match self.typical {
            None => delay,
            Some(typical) if delay > typical => {
                typical.saturating_add(TYPICAL_STEP.mul_f64(TYPICAL_QUANTILE)).min(delay)
            }
            Some(typical) => {
                typical.saturating_sub(TYPICAL_STEP.mul_f64(1.0 - TYPICAL_QUANTILE)).max(delay)
            }
        });
    }

    /// Records the end of a round of placement.
    pub(super) fn end_round(
        &mut self,
        are_short_queued: bool,
        are_long_queued: bool,
        now: Instant,
    ) {
        self.short.set_backlogged(are_short_queued, now);
        if are_long_queued {
            self.long.set_backlogged(true, now);
        } else {
            self.long = Throughput::default();
        }
        self.discipline.expire(now);
    }

    /// The engines, weighted by speed, which `speed` computes.
    pub(super) fn engines(&mut self, now: Instant, speed: impl FnOnce() -> f64) -> f64 {
        match self.engines {
            Some((at, engines)) if at <= now && age(at, now) < MAX_SPEED_AGE => engines,
            _ => self.engines.insert((now, speed())).1,
        }
    }

    /// What the forecasts of this time have in common. `engines` are those of the service, weighted by speed.
    pub(super) fn shared(&self, engine: &Engine, engines: f64, now: Instant) -> Shared {
        let short = self.demand.engines(engine, CURRENT, now);
        let long_rate = long_model_rate(reserve::left_for_long(short, engines));
        Shared {
            engines,
            mean_short: self.demand.engines(engine, MEAN_WINDOW, now),
            long_rate: self.long.rate(long_rate, now),
            mean_prompt: self.demand.mean_prompt(MEAN_WINDOW, now),
        }
    }

    /// Whether a queued request goes before a new one; with the values for [`Ahead::add`]. Costs less than a
    /// [`Candidate`] of each.
    pub(super) fn ahead_of(
        &self,
        candidate: &Candidate,
        engine: &Engine,
        queued: &Requirements,
        now: Instant,
    ) -> Option<(Option<f64>, bool)> {
        let priority = queued.caller.priority;
        match (queued.long_prefill_ms(engine), candidate.prefill_ms) {
            (Some(other_ms), Some(own_ms)) => {
                let first = (priority, other_ms) < (candidate.item.priority, own_ms);
                first.then_some((Some(other_ms), false))
            }
            (None, None) if priority <= candidate.item.priority => {
                let waited = now.saturating_duration_since(queued.arrived);
                let typical = self.typical_first_event(engine, queued.prompt);
                Some((None, order::can_be_in_time(waited, typical, queued.objective)))
            }
            _ => None,
        }
    }

    /// The long prompts that arrived and are read before this one.
    pub(super) fn arriving(&self, candidate: &Candidate, now: Instant) -> Arriving {
        let Some(prefill_ms) = candidate.prefill_ms else { return Arriving::default() };
        let goes_first = |arrival: &&Arrival| {
            (arrival.priority, arrival.prefill_ms) < (candidate.item.priority, prefill_ms)
        };
        let mut arriving = Arriving::default();
        self.long_arrivals.iter().filter(goes_first).for_each(|other| arriving.add(other, now));
        arriving
    }

    /// All long prompts that arrived, for [`LongArrivals::before`].
    pub(super) fn long_arrivals(&self, now: Instant) -> LongArrivals {
        let mut arrivals: Vec<&Arrival> = self.long_arrivals.iter().collect();
        arrivals.sort_by(|a, b| {
            a.priority.cmp(&b.priority).then(a.prefill_ms.total_cmp(&b.prefill_ms))
        });
        let mut sum = Arriving::default();
        let sums = arrivals.into_iter().map(|arrival| {
            sum.add(arrival, now);
            (arrival.priority, arrival.prefill_ms, sum)
        });
        LongArrivals { sums: sums.collect() }
    }

    /// The forecast wait of a request. `ahead` is queued before it, and `arriving` are the long prompts that arrive and
    /// are read before it.
    pub(super) fn wait(
        &self,
        engine: &Engine,
        shared: &Shared,
        ahead: &Ahead,
        arriving: &Arriving,
        candidate: &Candidate,
        now: Instant,
    ) -> Wait {
        match candidate.prefill_ms {
            Some(prefill_ms) => long_wait(shared, ahead, arriving, prefill_ms),
            None => self.short_wait(engine, shared, ahead, candidate, now),
        }
    }

    fn short_wait(
        &self,
        engine: &Engine,
        shared: &Shared,
        ahead: &Ahead,
        candidate: &Candidate,
        now: Instant,
    ) -> Wait {
        let slots = shared.engines * f64::from(engine.slots);
        let prompt = shared.mean_prompt.unwrap_or(candidate.prompt);
        let rate = self.short_rate_of(engine, slots, prompt, now);
        // Less urgent requests are served after it.
        let arrivals = self.short_arrivals.range(..=candidate.item.priority);
        let tiers = Tiers {
            rate,
            in_time_arrivals: arrivals.map(|(_, arrivals)| arrivals.in_time_arrivals(now)).sum(),
            ahead_in_time: ahead.in_time,
            ahead_late: ahead.late,
        };
        let wait = if candidate.item.in_time {
            tiers.wait_within(candidate.in_time_left)
        } else {
            tiers.wait(false)
        };
        let returns_per_s = rate * super::forecast::LATE_SHARE;
        Wait { wait, earliest: tiers.earliest(), rate, returns_per_s }
    }

    /// The rate at which queued short prompts of this length are served.
    fn short_rate_of(&self, engine: &Engine, slots: f64, prompt: Tokens, now: Instant) -> f64 {
        let model_rate = short_model_rate(engine, slots, prompt);
        let residence_ms = forecast::short_service_ms(engine, prompt, engine.mean_answer);
        let residence = Duration::try_from_secs_f64(residence_ms / MS_PER_S).ok();
        let departures = residence.and_then(|residence| self.departures.rate(residence, now));
        let expected_rate = departures.map_or(model_rate, |rate| rate.min(model_rate));
        self.short.rate_expecting(model_rate, expected_rate, now)
    }

    /// Why a request is granted before the others, if it is granted now.
    pub(super) fn basis(&self, candidate: &Candidate) -> Basis {
        self.discipline.basis(&candidate.item)
    }

    /// The length of the backlog from which the rate for a request was measured.
    pub(super) fn measured(&self, candidate: &Candidate, now: Instant) -> Duration {
        if candidate.is_long() { self.long.measured(now) } else { self.short.measured(now) }
    }

    /// The rate at which queued short prompts are served, if any arrived in the last 30 s; the engine model's rate is that
    /// for prompts of their mean length.
    pub(super) fn short_rate(&self, engine: &Engine, engines: f64, now: Instant) -> Option<Rate> {
        let prompt = self.demand.mean_prompt(MEAN_WINDOW, now)?;
        let per_s = self.short_rate_of(engine, engines * f64::from(engine.slots), prompt, now);
        Some(Rate { per_s, measured: self.short.measured(now) })
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

/// More urgent and shorter prompts are read first, those that are queued and those that arrive meanwhile. The current
/// demand is expected to last for `BURST_TIME`, and the mean demand to return after it.
fn long_wait(shared: &Shared, ahead: &Ahead, arriving: &Arriving, prefill_ms: f64) -> Wait {
    let tiers = |rate: f64, arriving: f64, work: f64| Tiers {
        rate,
        in_time_arrivals: arriving,
        ahead_in_time: 0.0,
        ahead_late: work,
    };
    let work = ahead.prefill_ms + prefill_ms;
    let current = tiers(shared.long_rate, arriving.current, work);
    let mean_rate = long_model_rate(reserve::left_for_long(shared.mean_short, shared.engines));
    let mut wait = current.wait(false);
    if wait > BURST_TIME {
        let left = work * (1.0 - BURST_TIME.as_secs_f64() / wait.as_secs_f64());
        let mean = tiers(mean_rate, arriving.mean, left);
        wait = wait.min(BURST_TIME + mean.wait(false));
    }
    // The request's own prefill is part of its service time.
    let earliest = tiers(mean_rate, 0.0, ahead.prefill_ms).earliest().min(wait);
    let returns_per_s = current.rate * super::forecast::LATE_SHARE / prefill_ms.max(1.0);
    Wait { wait, earliest, rate: current.rate, returns_per_s }
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

/// The prefill time of a prompt on one engine.
fn prefill(engine: &Engine, prompt: Tokens) -> Duration {
    let prefill_ms = forecast::prefill_ms(engine, prompt.0);
    Duration::try_from_secs_f64(prefill_ms / MS_PER_S).unwrap_or(Duration::MAX)
}

fn age(at: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(at)
}
