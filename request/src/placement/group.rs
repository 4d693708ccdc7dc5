//! Groups of engines for long prompts.
//!
//! The work of reading a prompt is the same however many engines share it, so a group is as large
//! as makes it fastest; but each part is read inside the passes of its engine, so engines without
//! short answers come first, and where they do not suffice the parts are small.

use std::cmp::Reverse;

use foldlock_version::routes::Engine;

use super::{Ask, BESIDE_BRISK_MS, Candidate, IN_TIME, Nowhere, Place, placed};
use crate::forecast;

/// The shortest part of a long read, milliseconds: under it the steps of each pass cost more than
/// the split gains.
const LEAST_PART_MS: f64 = 25.0;

/// The most engines that help with one prompt; the platform's limit.
const MOST_HELPERS: usize = 16;

/// A prompt whose reading takes more than this part of its objective on one engine is heavy: it
/// takes no more engines than it needs, and only while they have next to nothing ahead.
const HEAVY: f64 = 1.0;

/// The most that an engine may have ahead, milliseconds, to take a part of a heavy prompt.
const IDLE_MS: f64 = 120.0;

/// The longest part of a heavy prompt, milliseconds: others wait behind it, and their objectives
/// are 1.5 s and more.
const MOST_PART_MS: f64 = 700.0;

/// The most that an engine with short answers may have ahead, milliseconds, to take a part.
const BESIDE_AHEAD_MS: f64 = 60.0;

/// How much sooner an engine without writers has to be free to be the one that answers: an engine
/// that plays steps anyway loses nothing by one writer more, the others read faster without any.
const WRITERS_APART_MS: f64 = 60.0;

/// The part of an engine's free memory that is asked for: what other VMs have just placed there
/// takes the rest.
const SPARE: f64 = 0.97;

/// The least memory worth setting aside at one engine, tokens.
const LEAST_HELD: u64 = 8_000;

/// Engines that read one prompt together.
struct Group<'a, 'b> {
    main: &'a Candidate<'b>,
    helpers: Vec<(&'a Candidate<'b>, u64)>,
    part_ms: f64,
    predicted_ms: f64,
}

/// Which engine answers, and which set memory aside for it: indices and tokens.
struct Holding {
    main: usize,
    holders: Vec<(usize, u64)>,
}

/// Places a long prompt.
pub(super) fn long(
    ask: &Ask<'_>,
    engine: &Engine,
    mut candidates: Vec<Candidate<'_>>,
    read: f64,
) -> Result<Place, Nowhere> {
    let open = candidates.len();
    candidates.retain(|c| c.load.helping < c.upstream.listed.slots);
    candidates.reverse();
    candidates.sort_by(|a, b| a.ahead_ms(engine).total_cmp(&b.ahead_ms(engine)));
    let objective = ask.route.objective.as_secs_f64() * 1e3;
    let apart = apart(ask, engine, &candidates, read, objective);
    let chosen = match apart {
        Ok(group) if group.predicted_ms <= objective * IN_TIME => group,
        apart => match (apart, beside(ask, engine, &candidates, read)) {
            (Ok(a), Ok(b)) => {
                if a.predicted_ms <= b.predicted_ms {
                    a
                } else {
                    b
                }
            }
            (Ok(group), Err(_)) | (Err(_), Ok(group)) => group,
            (Err(nowhere), Err(_)) => return Err(nowhere),
        },
    };
    Ok(placed(ask, chosen.main, &chosen.helpers, chosen.part_ms, chosen.predicted_ms, open))
}

/// A group of engines without short answers.
fn apart<'a, 'b>(
    ask: &Ask<'_>,
    engine: &Engine,
    candidates: &'a [Candidate<'b>],
    read: f64,
    objective: f64,
) -> Result<Group<'a, 'b>, Nowhere> {
    let heavy = read > objective * HEAVY;
    let fits = |c: &&Candidate<'_>| c.load.brisk == 0 && (!heavy || c.ahead_ms(engine) <= IDLE_MS);
    let quiet: Vec<&Candidate<'_>> = candidates.iter().filter(fits).collect();
    let holding = holding(ask, engine, &quiet)?;
    let most = ((read / LEAST_PART_MS) as usize).clamp(1, MOST_HELPERS + 1);
    let sizes = holding.holders.len() + 1..=most.max(holding.holders.len() + 1);
    let groups = sizes.map(|parts| group(engine, &quiet, &holding, read, parts));
    if !heavy {
        let fastest = groups.min_by(|a, b| a.predicted_ms.total_cmp(&b.predicted_ms));
        return fastest.ok_or(Nowhere::Full);
    }
    let mut groups = groups.filter(|g| g.part_ms <= MOST_PART_MS);
    groups.find(|g| g.predicted_ms <= objective * IN_TIME).ok_or(Nowhere::Full)
}

/// A group of any engines with parts so small that short answers there stay in time.
fn beside<'a, 'b>(
    ask: &Ask<'_>,
    engine: &Engine,
    candidates: &'a [Candidate<'b>],
    read: f64,
) -> Result<Group<'a, 'b>, Nowhere> {
    let fits = |c: &&Candidate<'_>| c.load.brisk == 0 || c.load.backlog_ms <= BESIDE_AHEAD_MS;
    let all: Vec<&Candidate<'_>> = candidates.iter().filter(fits).collect();
    let main = main_engine(engine, &all, ask.memory.0).ok_or(Nowhere::Full)?;
    let parts = (read / BESIDE_BRISK_MS).ceil().max(1.0) as usize;
    if parts > all.len().min(MOST_HELPERS + 1) {
        return Err(Nowhere::Full);
    }
    let holding = Holding { main, holders: Vec::new() };
    Ok(group(engine, &all, &holding, read, parts))
}

/// The group of `parts` engines, or as many as there are: those that answer and hold memory, and
/// then those with the least ahead.
fn group<'a, 'b>(
    engine: &Engine,
    candidates: &[&'a Candidate<'b>],
    holding: &Holding,
    read: f64,
    parts: usize,
) -> Group<'a, 'b> {
    let Holding { main, holders } = holding;
    let is_holder = |index: usize| holders.iter().any(|(holder, _)| *holder == index);
    let others = (0..candidates.len()).filter(|index| index != main && !is_holder(*index));
    let readers = others.take(parts.saturating_sub(holders.len() + 1)).map(|index| (index, 0));
    let helpers: Vec<(&Candidate<'_>, u64)> = holders
        .iter()
        .copied()
        .chain(readers)
        .map(|(index, held)| (candidates[index], held))
        .collect();
    let part_ms = read / (helpers.len() + 1) as f64;
    let main = candidates[*main];
    let ahead = helpers.iter().map(|(c, _)| c.ahead_ms(engine));
    let ahead = ahead.fold(main.ahead_ms(engine), f64::max);
    let pass = forecast::pass_ms(engine, main.load.writers + 1, main.load.memory);
    Group { main, helpers, part_ms, predicted_ms: ahead + part_ms + pass }
}

fn holding(
    ask: &Ask<'_>,
    engine: &Engine,
    candidates: &[&Candidate<'_>],
) -> Result<Holding, Nowhere> {
    match main_engine(engine, candidates, ask.memory.0) {
        Some(main) => Ok(Holding { main, holders: Vec::new() }),
        None => spread(candidates, engine, ask.memory.0),
    }
}

/// The engine that answers: one that writes anyway, unless another is free much sooner.
fn main_engine(engine: &Engine, candidates: &[&Candidate<'_>], memory: u64) -> Option<usize> {
    let rank = |c: &Candidate<'_>| {
        let apart = if c.load.writers == 0 { WRITERS_APART_MS } else { 0.0 };
        c.load.backlog_ms + apart
    };
    candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| c.has_room(memory, engine))
        .min_by(|(_, a), (_, b)| {
            (a.load.brisk > 0).cmp(&(b.load.brisk > 0)).then(rank(a).total_cmp(&rank(b)))
        })
        .map(|(index, _)| index)
}

/// Spreads a prompt over the memory of several engines: the one with the most room answers, the
/// others set aside what it lacks.
fn spread(candidates: &[&Candidate<'_>], engine: &Engine, memory: u64) -> Result<Holding, Nowhere> {
    let free = |c: &Candidate<'_>| {
        let left = engine.memory.0.saturating_sub(c.load.memory);
        (left as f64 * SPARE) as u64
    };
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|index| Reverse(free(candidates[*index])));
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
    if missing == 0 { Ok(Holding { main, holders }) } else { Err(Nowhere::Full) }
}
