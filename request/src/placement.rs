//! Where a request runs.
//!
//! Short prompts fill engines one after the other in an order that all VMs compute alike; long
//! prompts are read in even parts by the engines at the other end of that order. So the border
//! between the two moves with the demand, and few long reads fall beside short answers.

mod group;
mod share;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_version::routes::{Engine, Route, Shape};

use crate::board::{Board, Flight, Helping, Load, Upstream};
use crate::forecast;

/// The part of the slots of an engine that short prompts fill before they go on to the next one:
/// the rest takes what other VMs place there before it is heard.
const FILL: f64 = 0.75;

/// The part of the objective within which a short prompt's first event has to be predicted for an
/// engine to be filled further.
const IN_TIME: f64 = 0.6;

/// A prompt that is read in this part of its objective stays whole on one engine.
const WHOLE: f64 = 0.55;

/// Kept from a pause, milliseconds, for one more short prompt that comes in.
const PAUSE_MARGIN_MS: f64 = 30.0;

/// A pause at or under this is short: no long read belongs beside such an answer.
const BRISK_MS: u32 = 400;

/// What is to be placed.
#[derive(Debug, Clone)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a str,
    /// The figures of its engines, where it has any.
    pub engine: Option<&'a Engine>,
    /// The route.
    pub route: &'a Route,
    /// The prompt.
    pub prompt: Tokens,
    /// Memory for prompt and answer.
    pub memory: Tokens,
    /// The hall whose upstreams come first; none where all are told at once.
    pub hall: Option<&'a str>,
    /// Upstreams that failed this request.
    pub avoid: &'a [id::Upstream],
    /// How long ago the request arrived.
    pub waited: Duration,
    /// Its number in the line of long prompts; none where it does not wait in it.
    pub turn: Option<u64>,
    /// How long a first event may take for which several engines hold memory.
    pub hold_limit: Duration,
}

/// A place.
#[derive(Debug, Clone)]
pub struct Place {
    /// How it counts on the board.
    pub flight: Flight,
    /// Where the upstream listens.
    pub address: String,
    /// Where the helpers of the flight listen, in the same order.
    pub helpers: Vec<String>,
    /// The predicted time to the first event, milliseconds; 0 where there is no model.
    pub predicted_ms: f64,
    /// The load that decided it.
    pub load: Load,
    /// The helpers with the most ahead, and their loads.
    pub slowest: Vec<(id::Upstream, Load)>,
    /// The upstreams among which it was chosen.
    pub open: usize,
}

/// Why there is no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Nowhere {
    /// No upstream of the service is known to be open.
    Closed,
    /// All have as much as they take; it may change soon.
    Full,
    /// The request is larger than the memory of any engine.
    TooLarge,
}

#[derive(Clone)]
struct Candidate<'a> {
    upstream: &'a Upstream,
    load: Load,
    /// In another hall, from which little is heard.
    away: bool,
    /// How many times longer its work takes than its figures say.
    pace: f64,
}

impl Candidate<'_> {
    fn predicted_ms(&self, engine: &Engine, part_ms: f64) -> f64 {
        let writers = self.load.writers + 1;
        let pass = forecast::pass_ms(engine, writers, self.load.memory);
        self.ahead_ms(engine) + (part_ms + pass) * self.pace
    }

    /// What a new read waits for: reads that came before it and, where some request writes, the
    /// rest of the pass that runs.
    fn ahead_ms(&self, engine: &Engine) -> f64 {
        let load = &self.load;
        let pass = forecast::pass_ms(engine, load.writers, load.memory);
        let running = if load.writers > 0 { pass / 2.0 } else { 0.0 };
        running * self.pace + load.backlog_ms
    }

    /// The milliseconds of reading that one pass may hold so that no answer here pauses for too
    /// long, with one more whose pause is `pause_ms`.
    fn allowance_ms(&self, engine: &Engine, pause_ms: u32) -> f64 {
        let pause = self.load.pause_ms.map_or(pause_ms, |ms| ms.min(pause_ms));
        let pass = forecast::pass_ms(engine, self.load.writers + 1, self.load.memory);
        (f64::from(pause) - PAUSE_MARGIN_MS) / self.pace - pass
    }

    /// Whether an answer with short pauses is under way here.
    fn is_brisk(&self) -> bool {
        self.load.pause_ms.is_some_and(|ms| ms <= BRISK_MS)
    }

    fn has_room(&self, memory: u64, engine: &Engine) -> bool {
        self.load.requests < self.upstream.listed.slots
            && self.load.memory + memory <= engine.memory.0
    }
}

/// Milliseconds of reading if this is a long prompt, which waits in the line; none for others.
pub fn long_read_ms(engine: &Engine, route: &Route, prompt: Tokens, memory: Tokens) -> Option<f64> {
    let read = forecast::read_ms(engine, prompt.0);
    let objective = route.objective.as_secs_f64() * 1e3;
    let short = read <= objective * WHOLE && is_brisk(route) && memory <= engine.memory;
    (!short).then_some(read)
}

/// Finds a place.
pub fn place(board: &Board, ask: &Ask<'_>, now: Instant) -> Result<Place, Nowhere> {
    let candidates = candidates(board, ask, now);
    if candidates.is_empty() {
        return Err(Nowhere::Closed);
    }
    let Some(engine) = ask.engine else { return plain(ask, candidates) };
    match long_read_ms(engine, ask.route, ask.prompt, ask.memory) {
        Some(read) => {
            let line = group::Line {
                waiting: board.line(ask.service, now),
                demand: board.demand(ask.service, engine, group::DEMAND_WINDOW, now),
            };
            group::long(ask, engine, candidates, read, line, now)
        }
        None => short(ask, engine, candidates),
    }
}

/// The longest pause of a route's answers, milliseconds.
fn pause_ms(route: &Route) -> u32 {
    match route.shape {
        Shape::Events { pause } => pause.as_millis() as u32,
        Shape::Whole => u32::MAX,
    }
}

/// Whether a route's answers have short pauses.
fn is_brisk(route: &Route) -> bool {
    pause_ms(route) <= BRISK_MS
}

fn candidates<'a>(board: &'a Board, ask: &Ask<'a>, now: Instant) -> Vec<Candidate<'a>> {
    let mut loads: HashMap<&id::Upstream, Load> = board.loads(ask.engine, now);
    let open: Vec<&Upstream> =
        board.open(ask.service).filter(|u| !ask.avoid.contains(&u.listed.id)).collect();
    let trusted: Vec<&Upstream> = open
        .iter()
        .copied()
        .filter(|u| u.unlisted.is_none() && !u.suspicion.avoided(now) && !u.silent(now))
        .collect();
    let chosen = if trusted.is_empty() { open } else { trusted };
    let candidate = |upstream: &'a Upstream| Candidate {
        upstream,
        load: loads.remove(&upstream.listed.id).unwrap_or_default(),
        away: ask.hall.is_some_and(|hall| upstream.listed.hall != hall),
        pace: upstream.pace(now),
    };
    let mut candidates: Vec<Candidate<'_>> = chosen.into_iter().map(candidate).collect();
    candidates.sort_by_key(|c| c.away);
    candidates
}

fn plain(ask: &Ask<'_>, candidates: Vec<Candidate<'_>>) -> Result<Place, Nowhere> {
    let open = candidates.len();
    let relative =
        |c: &Candidate<'_>| f64::from(c.load.requests) / f64::from(c.upstream.listed.slots.max(1));
    let best = candidates
        .into_iter()
        .min_by(|a, b| relative(a).total_cmp(&relative(b)))
        .ok_or(Nowhere::Closed)?;
    Ok(placed(ask, &best, &[], 0.0, 0.0, open))
}

fn short(ask: &Ask<'_>, engine: &Engine, candidates: Vec<Candidate<'_>>) -> Result<Place, Nowhere> {
    let read = forecast::read_ms(engine, ask.prompt.0);
    let objective = ask.route.objective.as_secs_f64() * 1e3;
    let open = candidates.len();
    let memory = ask.memory.0;
    let fits = |c: &&Candidate<'_>| {
        f64::from(c.load.requests) < f64::from(c.upstream.listed.slots) * FILL
            && c.has_room(memory, engine)
            && c.load.backlog_ms + read <= c.allowance_ms(engine, pause_ms(ask.route))
            && c.predicted_ms(engine, read) <= objective * IN_TIME
    };
    let first = candidates.iter().position(|c| fits(&c));
    let index = first.or_else(|| least(&candidates, engine, memory, read)).ok_or(Nowhere::Full)?;
    let best = &candidates[index];
    let predicted = best.predicted_ms(engine, read);
    Ok(placed(ask, best, &[], read, predicted, open))
}

/// The engine with room whose first event is predicted soonest.
fn least(
    candidates: &[Candidate<'_>],
    engine: &Engine,
    memory: u64,
    part_ms: f64,
) -> Option<usize> {
    let predicted = |c: &Candidate<'_>| c.predicted_ms(engine, part_ms);
    candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| c.has_room(memory, engine))
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
    ask: &Ask<'_>,
    best: &Candidate<'_>,
    helpers: &[(&Candidate<'_>, u64)],
    part_ms: f64,
    predicted_ms: f64,
    open: usize,
) -> Place {
    let listed = &best.upstream.listed;
    let held: u64 = helpers.iter().map(|(_, held)| held).sum();
    let helping = |(c, held): &(&Candidate<'_>, u64)| Helping {
        upstream: c.upstream.listed.id.clone(),
        held: *held,
    };
    Place {
        flight: Flight {
            upstream: listed.id.clone(),
            helpers: helpers.iter().map(helping).collect(),
            part_ms: part_ms as f32,
            memory: ask.memory.0.saturating_sub(held),
            pause_ms: pause_ms(ask.route),
            writing: false,
            long: ask.turn.is_some(),
        },
        address: listed.address.clone(),
        helpers: helpers.iter().map(|(c, _)| c.upstream.listed.address.clone()).collect(),
        predicted_ms,
        load: best.load.clone(),
        slowest: slowest(helpers),
        open,
    }
}
