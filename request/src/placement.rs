//! Where a request runs.
//!
//! Short prompts fill engines one after the other; long prompts are read in even parts by the engines
//! at the other end of that order. So the border between the two moves with the demand, and few long
//! reads fall beside short answers.
//!
//! A short prompt opens one engine more only where it were late on those that write already: an
//! engine with a single short answer is lost to long prompts for as long as that answer lasts.

mod candidate;
mod group;
mod share;

use std::fmt;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_version::routes::{Engine, Route, Service, Shape};
use serde::{Deserialize, Serialize};

use crate::budget::{Charge, Exhausted};
use crate::cluster::{BRISK_MS, Cluster, Load};
use crate::fingerprint::Fingerprint;
use crate::flight::{Flight, Helping};
use crate::forecast;
use crate::quarantine::Verdict;
use crate::rate_limit::Limit;
use crate::tag::Tag;

use candidate::{Candidate, candidates, rejection};
pub use group::{DEMAND_WINDOW, Line, Turn, is_too_long, line};

/// The part of the objective within which a short prompt's first event has to be predicted for an
/// engine to be filled further before others are compared.
const IN_TIME: f64 = 0.6;

/// The part of the objective beyond which a short prompt goes to an engine without short answers
/// rather than beside others: one prediction in ten is a third too low.
const BESIDE: f64 = 0.85;

/// The part of the objective within which the first event of the prompt has to come that waits longest
/// for the pass that would read this one, too: each read that is added holds up those before it. Where
/// many short prompts come at once, one in ten was late without it.
const FIRST: f64 = 0.9;

/// A prompt that is read in this part of its objective stays whole on one engine.
const WHOLE: f64 = 0.55;

/// What is to be placed.
#[derive(Debug, Clone, PartialEq)]
pub struct Requirements {
    /// The prompt.
    pub prompt: Tokens,
    /// Memory for prompt and answer.
    pub memory: Tokens,
    /// The time from its arrival within which its first event is in time.
    pub objective: Duration,
    /// The longest pause of a stream in time; none for whole answers.
    pub pause: Option<Duration>,
    /// When the request arrived.
    pub arrived: Instant,
    /// The time from its arrival after which it is of no use to be placed.
    pub limit: Duration,
    /// Upstreams that failed this request, and those that asked its VM for a rest.
    pub avoid: Vec<Tag>,
    /// Upstreams to which its VM has a connection, which come first among equals.
    pub connected: Vec<Tag>,
    /// The hall whose upstreams come first.
    pub hall: String,
    /// How long a first event may take for which several engines hold memory.
    pub hold_limit: Duration,
    /// By which it is known again when it comes again.
    pub fingerprint: Fingerprint,
    /// How far on in the order of upstreams to begin: VMs that each place their own begin anywhere,
    /// so that they do not all meet at the first.
    pub offset: usize,
    /// The VMs that may place at the same time without hearing of each other: what a cold upstream bears is
    /// divided among them. One where a VM places for all.
    pub schedulers: usize,
    /// What it is to the fleet's retry budget.
    pub charge: Charge,
}

impl Requirements {
    /// The longest pause, milliseconds.
    fn pause_ms(&self) -> u32 {
        self.pause.map_or(u32::MAX, |pause| pause.as_millis() as u32)
    }

    /// Whether its answer has short pauses.
    fn is_brisk(&self) -> bool {
        self.pause_ms() <= BRISK_MS
    }

    /// Milliseconds left for a first event in time; negative once it is late.
    fn left_ms(&self, now: Instant) -> f64 {
        let waited = now.saturating_duration_since(self.arrived);
        (self.objective.as_secs_f64() - waited.as_secs_f64()) * 1e3
    }

    /// Milliseconds of reading if this is a long prompt, which waits in the line; none for others.
    pub fn long_read_ms(&self, engine: &Engine) -> Option<f64> {
        let read = forecast::read_ms(engine, self.prompt.0);
        let objective = self.objective.as_secs_f64() * 1e3;
        let short = read <= objective * WHOLE && self.is_brisk() && self.memory <= engine.memory;
        (!short).then_some(read)
    }
}

/// The longest pause with which a route's streams are in time; none for whole answers.
pub fn pause(route: &Route) -> Option<Duration> {
    match route.shape {
        Shape::Events { pause } => Some(pause),
        Shape::Whole => None,
    }
}

/// A placement.
#[derive(Debug, Clone)]
pub struct Placement {
    /// How it counts in the cluster state.
    pub flight: Flight,
    /// The predicted time to the first event, milliseconds; 0 where there is no model.
    pub predicted_ms: f64,
    /// The load that decided it.
    pub load: Load,
    /// The helpers with the most ahead, and their loads.
    pub slowest: Vec<(id::Upstream, Load)>,
    /// The upstreams among which it was chosen.
    pub open: usize,
    /// Upstreams that were at their rate limits.
    pub limited: usize,
    /// The upstream's rate limit as known to the VM that granted the placement.
    pub limit: Option<Limit>,
}

/// Why there is no placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// No upstream of the service is known to be open.
    Closed,
    /// All upstreams of the service are in data halls that an operator has drained.
    Drained,
    /// All have as much as they take; it may change soon.
    Full,
    /// The request is longer than all engines of the service together read in time.
    TooLarge,
    /// All upstreams of the service asked the VM for a rest, the first of them for this long.
    Resting {
        /// Milliseconds.
        left_ms: u64,
    },
    /// All upstreams of the service are rate-limited, and the request would queue for too long.
    Limited {
        /// Retry-After, milliseconds.
        after_ms: u64,
    },
    /// The fleet's retry budget for the service is spent.
    OverBudget(Exhausted),
    /// The request ended upstreams and is kept from all for this long.
    Quarantined {
        /// Milliseconds.
        left_ms: u64,
    },
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::Closed => f.write_str("no upstream takes requests now"),
            Rejection::Drained => {
                f.write_str("an operator has drained the data halls of all upstreams")
            }
            Rejection::Full => f.write_str("all upstreams have as much as they take"),
            Rejection::TooLarge => {
                f.write_str("a prompt this long is beyond all upstreams together")
            }
            Rejection::Resting { left_ms } => {
                write!(f, "all upstreams asked for a rest, the first for {left_ms} ms more")
            }
            Rejection::Limited { after_ms } => {
                write!(f, "all upstreams are at their rate limits, come back in {after_ms} ms")
            }
            Rejection::OverBudget(_) => f.write_str("the fleet's retry budget is spent"),
            Rejection::Quarantined { left_ms } => {
                write!(f, "the request is kept from all upstreams for {left_ms} ms more")
            }
        }
    }
}

/// Finds a placement for a request that does not wait in a line of others.
pub fn place(
    cluster: &Cluster,
    service: &Service,
    requirements: &Requirements,
    now: Instant,
) -> Result<Placement, Rejection> {
    let isolated = requires_isolation(cluster, requirements.fingerprint, now)?;
    let (candidates, limited) = candidates(cluster, service, requirements, now);
    if candidates.is_empty() {
        return Err(rejection(cluster, service, requirements, now));
    }
    let engine = service.engine.as_ref();
    let Some(engine) = engine.filter(|engine| requirements.long_read_ms(engine).is_some()) else {
        let placement = match engine {
            _ if isolated => apart(requirements, engine, candidates),
            Some(engine) => short(requirements, engine, candidates),
            None => plain(requirements, candidates),
        };
        return placement.map(|placement| Placement { limited, ..placement });
    };
    let turns = [Turn { requirements, index: 0 }];
    let line = Line { turns: &turns, demand: 0.0, offset: requirements.offset, kept: 0 };
    let placed = group::line(cluster, service, engine, line, now).pop();
    let (_, mut placement) = placed.ok_or(Rejection::Full)?;
    placement.flight.isolated = isolated.then_some(requirements.fingerprint);
    Ok(placement)
}

/// Finds a placement for a long prompt on a single rate-limited upstream, if all are limited or one is due for a probe. Limited
/// upstreams take no parts of a split prompt.
pub fn place_whole(
    cluster: &Cluster,
    service: &Service,
    requirements: &Requirements,
    now: Instant,
) -> Result<Placement, Rejection> {
    let isolated = requires_isolation(cluster, requirements.fingerprint, now)?;
    let all = cluster.limited_rate(&service.name).is_some();
    let (mut candidates, _) = candidates(cluster, service, requirements, now);
    candidates.retain(|c| c.upstream.is_limited() && (all || c.is_due));
    let mut placement = apart(requirements, service.engine.as_ref(), candidates)?;
    if !all && placement.predicted_ms > requirements.left_ms(now) {
        return Err(Rejection::Full);
    }
    placement.flight.isolated = isolated.then_some(requirements.fingerprint);
    Ok(placement)
}

/// Whether a request is to run alone, if it may run now at all: one copy at a time does.
pub fn requires_isolation(
    cluster: &Cluster,
    fingerprint: Fingerprint,
    now: Instant,
) -> Result<bool, Rejection> {
    match cluster.quarantine.verdict(fingerprint, now) {
        Verdict::Shared => Ok(false),
        Verdict::Isolated if cluster.has_isolated_copy(fingerprint) => Err(Rejection::Full),
        Verdict::Isolated => Ok(true),
        Verdict::Quarantined(left) => {
            Err(Rejection::Quarantined { left_ms: left.as_millis() as u64 })
        }
    }
}

/// The placement of a request that runs alone: where least is under way, which is nothing as a rule.
fn apart(
    requirements: &Requirements,
    engine: Option<&Engine>,
    candidates: Vec<Candidate<'_>>,
) -> Result<Placement, Rejection> {
    let open = candidates.len();
    let has_room = |c: &Candidate<'_>| engine.is_none_or(|e| c.has_room(requirements.memory.0, e));
    let under_way = |c: &Candidate<'_>| (c.load.requests + c.load.helping, c.load.memory);
    let best = candidates.into_iter().filter(has_room).min_by_key(under_way);
    let best = best.ok_or(Rejection::Full)?;
    let read_ms = engine.map_or(0.0, |engine| forecast::read_ms(engine, requirements.prompt.0));
    let predicted_ms = engine.map_or(0.0, |engine| best.predicted_ms(engine, read_ms));
    let mut placement = placed(requirements, &best, &[], read_ms, predicted_ms, open);
    placement.flight.isolated = Some(requirements.fingerprint);
    Ok(placement)
}

fn plain(
    requirements: &Requirements,
    candidates: Vec<Candidate<'_>>,
) -> Result<Placement, Rejection> {
    let open = candidates.len();
    let relative =
        |c: &Candidate<'_>| f64::from(c.load.requests) / f64::from(c.upstream.listed.slots.max(1));
    let is_new = |c: &Candidate<'_>| !requirements.connected.contains(&c.upstream.tag);
    let compare = |a: &Candidate<'_>, b: &Candidate<'_>| {
        relative(a).total_cmp(&relative(b)).then(is_new(a).cmp(&is_new(b)))
    };
    let best = candidates.into_iter().min_by(compare).ok_or(Rejection::Closed)?;
    Ok(placed(requirements, &best, &[], 0.0, 0.0, open))
}

fn short(
    requirements: &Requirements,
    engine: &Engine,
    candidates: Vec<Candidate<'_>>,
) -> Result<Placement, Rejection> {
    let read = forecast::read_ms(engine, requirements.prompt.0);
    let objective = requirements.objective.as_secs_f64() * 1e3;
    let open = candidates.len();
    let memory = requirements.memory.0;
    let fits = |c: &Candidate<'_>, part: f64| {
        c.has_room(memory, engine)
            && c.load.next_ms + read <= c.allowance_ms(engine, requirements.pause_ms())
            && c.predicted_ms(engine, read) <= objective * part
            && c.load.waited_ms + c.predicted_ms(engine, read) <= objective * FIRST
    };
    let index = candidates
        .iter()
        .position(|c| c.is_due && fits(c, BESIDE))
        .or_else(|| candidates.iter().position(|c| c.is_brisk() && fits(c, IN_TIME)))
        .or_else(|| least(&candidates, engine, read, |c| c.is_brisk() && fits(c, BESIDE)))
        .or_else(|| candidates.iter().position(|c| fits(c, BESIDE)))
        .or_else(|| least(&candidates, engine, read, |c| c.has_room(memory, engine)))
        .ok_or(Rejection::Full)?;
    let best = &candidates[index];
    let predicted = best.predicted_ms(engine, read);
    Ok(placed(requirements, best, &[], read, predicted, open))
}

/// The engine among those that `may` whose first event is predicted soonest.
fn least(
    candidates: &[Candidate<'_>],
    engine: &Engine,
    part_ms: f64,
    may: impl Fn(&Candidate<'_>) -> bool,
) -> Option<usize> {
    let predicted = |c: &Candidate<'_>| c.predicted_ms(engine, part_ms);
    candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| may(c))
        .min_by(|(_, a), (_, b)| predicted(a).total_cmp(&predicted(b)))
        .map(|(index, _)| index)
}

/// Helpers that are named in the record of a decision.
const NAMED: usize = 4;

fn slowest(helpers: &[(&Candidate<'_>, u64)]) -> Vec<(id::Upstream, Load)> {
    let mut order: Vec<&Candidate<'_>> = helpers.iter().map(|(c, _)| *c).collect();
    order.sort_by(|a, b| b.load.backlog_ms.total_cmp(&a.load.backlog_ms));
    order.into_iter().take(NAMED).map(|c| (c.upstream.listed.id.clone(), c.load.clone())).collect()
}

fn placed(
    requirements: &Requirements,
    best: &Candidate<'_>,
    helpers: &[(&Candidate<'_>, u64)],
    part_ms: f64,
    predicted_ms: f64,
    open: usize,
) -> Placement {
    let listed = &best.upstream.listed;
    let held: u64 = helpers.iter().map(|(_, held)| held).sum();
    let helping = |(c, held): &(&Candidate<'_>, u64)| Helping {
        upstream: c.upstream.listed.id.clone(),
        held: *held,
    };
    Placement {
        flight: Flight {
            upstream: listed.id.clone(),
            helpers: helpers.iter().map(helping).collect(),
            part_ms: part_ms as f32,
            memory: requirements.memory.0.saturating_sub(held),
            pause_ms: requirements.pause_ms(),
            writing: false,
            isolated: None,
        },
        predicted_ms,
        load: best.load.clone(),
        slowest: slowest(helpers),
        open,
        limited: 0,
        limit: best.upstream.rate_limit.as_ref().map(|known| known.limit),
    }
}
