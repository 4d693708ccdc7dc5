//! Where a request runs.
//!
//! Short prompts fill engines one after the other in an order that all VMs compute alike; long
//! prompts are read in even parts by the engines at the other end of that order. So the border
//! between the two moves with the demand, and few long reads fall beside short answers.

use std::collections::HashMap;
use std::time::Instant;

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

/// The shortest part of a long read, milliseconds: under it the steps of each pass cost more than
/// the split gains.
const LEAST_PART_MS: f64 = 30.0;

/// The longest part, milliseconds, that may be read beside short answers: their pass of about 50 ms
/// and this stay within a pause of 250 ms with one more short prompt.
const BESIDE_BRISK_MS: f64 = 110.0;

/// The longest part, milliseconds, that engines without short answers read: what other long
/// prompts wait behind it has to leave them the most of their objective of 1.5 s and more.
const MOST_PART_MS: f64 = 700.0;

/// The most engines that help with one prompt; the platform's limit.
const MOST_HELPERS: usize = 16;

/// A pause at or under this is short: no long read belongs beside such an answer.
const BRISK_MS: u128 = 400;

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
    /// Upstreams that failed this request.
    pub avoid: &'a [id::Upstream],
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

struct Candidate<'a> {
    upstream: &'a Upstream,
    load: Load,
}

impl Candidate<'_> {
    fn predicted_ms(&self, engine: &Engine, part_ms: f64) -> f64 {
        let writers = self.load.writers + 1;
        let pass = forecast::pass_ms(engine, writers, self.load.memory);
        let running = if self.load.writers > 0 { pass / 2.0 } else { 0.0 };
        running + self.load.backlog_ms + part_ms + pass
    }

    fn has_room(&self, memory: u64, engine: &Engine) -> bool {
        self.load.requests < self.upstream.listed.slots
            && self.load.memory + memory <= engine.memory.0
    }
}

/// Finds a place.
pub fn place(board: &Board, ask: &Ask<'_>, now: Instant) -> Result<Place, Nowhere> {
    let candidates = candidates(board, ask, now);
    if candidates.is_empty() {
        return Err(Nowhere::Closed);
    }
    let Some(engine) = ask.engine else { return plain(ask, candidates) };
    let read = forecast::read_ms(engine, ask.prompt.0);
    let objective = ask.route.objective.as_secs_f64() * 1e3;
    if read <= objective * WHOLE && is_brisk(ask.route) {
        short(ask, engine, candidates, read, objective)
    } else {
        long(ask, engine, candidates, read)
    }
}

/// The part of an engine's free memory that is asked for: what other VMs have just placed there
/// takes the rest.
const SPARE: f64 = 0.97;

/// The least memory worth setting aside at one engine, tokens.
const LEAST_HELD: u64 = 8_000;

/// Whether a route's answers have short pauses.
pub fn is_brisk(route: &Route) -> bool {
    match route.shape {
        Shape::Events { pause } => pause.as_millis() <= BRISK_MS,
        Shape::Whole => false,
    }
}

fn candidates<'a>(board: &'a Board, ask: &Ask<'a>, now: Instant) -> Vec<Candidate<'a>> {
    let mut loads: HashMap<&id::Upstream, Load> = board.loads(now);
    let open: Vec<&Upstream> =
        board.open(ask.service).filter(|u| !ask.avoid.contains(&u.listed.id)).collect();
    let trusted: Vec<&Upstream> = open
        .iter()
        .copied()
        .filter(|u| u.unlisted.is_none() && !u.suspicion.avoided(now))
        .collect();
    let chosen = if trusted.is_empty() { open } else { trusted };
    chosen
        .into_iter()
        .map(|upstream| Candidate {
            upstream,
            load: loads.remove(&upstream.listed.id).unwrap_or_default(),
        })
        .collect()
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

fn short(
    ask: &Ask<'_>,
    engine: &Engine,
    candidates: Vec<Candidate<'_>>,
    read: f64,
    objective: f64,
) -> Result<Place, Nowhere> {
    let open = candidates.len();
    let memory = ask.memory.0;
    let fits = |c: &&Candidate<'_>| {
        f64::from(c.load.requests) < f64::from(c.upstream.listed.slots) * FILL
            && c.has_room(memory, engine)
            && c.load.longest_ms <= BESIDE_BRISK_MS
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

fn long(
    ask: &Ask<'_>,
    engine: &Engine,
    mut candidates: Vec<Candidate<'_>>,
    read: f64,
) -> Result<Place, Nowhere> {
    let open = candidates.len();
    candidates.retain(|c| c.load.helping < c.upstream.listed.slots);
    candidates.reverse();
    candidates.sort_by(|a, b| a.load.backlog_ms.total_cmp(&b.load.backlog_ms));
    let quiet: Vec<&Candidate<'_>> = candidates.iter().filter(|c| c.load.brisk == 0).collect();
    let all: Vec<&Candidate<'_>> = candidates.iter().collect();
    let objective = ask.route.objective.as_secs_f64() * 1e3;
    let apart = group(ask, engine, &quiet, read, f64::INFINITY);
    let beside = group(ask, engine, &all, read, BESIDE_BRISK_MS);
    let in_time = |g: &Group<'_, '_>| g.predicted_ms <= objective * IN_TIME;
    let chosen = match (apart, beside) {
        (Ok(apart), _) if in_time(&apart) => apart,
        (Ok(apart), Ok(beside)) if apart.predicted_ms <= beside.predicted_ms => apart,
        (_, Ok(beside)) => beside,
        (Ok(apart), Err(_)) if apart.part_ms <= MOST_PART_MS => apart,
        (Ok(_), Err(_)) => return Err(Nowhere::Full),
        (Err(nowhere), Err(_)) => return Err(nowhere),
    };
    Ok(placed(ask, chosen.main, &chosen.helpers, chosen.part_ms, chosen.predicted_ms, open))
}

/// Engines that read one prompt together.
struct Group<'a, 'b> {
    main: &'a Candidate<'b>,
    helpers: Vec<(&'a Candidate<'b>, u64)>,
    part_ms: f64,
    predicted_ms: f64,
}

/// The group among `candidates`, which are in the order of what they have ahead, whose parts are
/// no longer than `most_ms`.
fn group<'a, 'b>(
    ask: &Ask<'_>,
    engine: &Engine,
    candidates: &[&'a Candidate<'b>],
    read: f64,
    most_ms: f64,
) -> Result<Group<'a, 'b>, Nowhere> {
    let useful = ((read / LEAST_PART_MS) as usize).clamp(1, MOST_HELPERS + 1);
    let gentle = (read / most_ms).ceil().max(1.0) as usize;
    let parts = if most_ms.is_finite() { gentle } else { useful };
    let (main, holders) = match main_engine(candidates, engine, ask.memory.0) {
        Some(main) => (main, Vec::new()),
        None => spread(candidates, engine, ask.memory.0)?,
    };
    let helpers = helpers(candidates.len(), main, &holders, parts);
    let part_ms = read / (helpers.len() + 1) as f64;
    if part_ms > most_ms {
        return Err(Nowhere::Full);
    }
    let ahead = |(index, _): &(usize, u64)| candidates[*index].load.backlog_ms + part_ms;
    let own = candidates[main].predicted_ms(engine, part_ms);
    let predicted_ms = helpers.iter().map(ahead).fold(own, f64::max);
    let helpers = helpers.iter().map(|(index, held)| (candidates[*index], *held)).collect();
    Ok(Group { main: candidates[main], helpers, part_ms, predicted_ms })
}

/// The holders, and then others in their order up to `parts` readers.
fn helpers(all: usize, main: usize, holders: &[(usize, u64)], parts: usize) -> Vec<(usize, u64)> {
    let mut helpers = holders.to_vec();
    for index in 0..all {
        if helpers.len() + 1 >= parts.min(MOST_HELPERS + 1) {
            break;
        }
        if index != main && !holders.iter().any(|(holder, _)| *holder == index) {
            helpers.push((index, 0));
        }
    }
    helpers
}

/// Spreads a prompt over the memory of several engines: the one with the most room answers, the
/// others set aside what it lacks.
fn spread(
    candidates: &[&Candidate<'_>],
    engine: &Engine,
    memory: u64,
) -> Result<(usize, Vec<(usize, u64)>), Nowhere> {
    let free = |c: &Candidate<'_>| {
        let left = engine.memory.0.saturating_sub(c.load.memory);
        (left as f64 * SPARE) as u64
    };
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|index| {
        let c = candidates[*index];
        (c.load.brisk > 0, std::cmp::Reverse(free(c)))
    });
    let takes = |c: &Candidate<'_>| c.load.requests < c.upstream.listed.slots;
    let main = order.iter().copied().find(|i| takes(candidates[*i])).ok_or(Nowhere::Full)?;
    let mut missing = memory.saturating_sub(free(candidates[main]));
    let mut holders = Vec::new();
    for index in order.into_iter().filter(|index| *index != main) {
        if missing == 0 || holders.len() == MOST_HELPERS {
            break;
        }
        let room = free(candidates[index]);
        if room < LEAST_HELD {
            continue;
        }
        let held = room.min(missing.max(LEAST_HELD));
        missing = missing.saturating_sub(held);
        holders.push((index, held));
    }
    if missing == 0 {
        return Ok((main, holders));
    }
    let all = engine.memory.0 * candidates.len().min(MOST_HELPERS + 1) as u64;
    Err(if memory > all { Nowhere::TooLarge } else { Nowhere::Full })
}

/// The engine that answers a long prompt: the first in the order with room, so that answers stay
/// away from those with short ones; the memory that stays free there decides among the quiet.
fn main_engine(candidates: &[&Candidate<'_>], engine: &Engine, memory: u64) -> Option<usize> {
    candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| c.has_room(memory, engine))
        .min_by_key(|(_, c)| (c.load.brisk, c.load.memory, c.load.backlog_ms as u64))
        .map(|(index, _)| index)
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
            brisk: is_brisk(ask.route),
            writing: false,
        },
        address: listed.address.clone(),
        helpers: helpers.iter().map(|(c, _)| c.upstream.listed.address.clone()).collect(),
        predicted_ms,
        load: best.load.clone(),
        open,
    }
}
