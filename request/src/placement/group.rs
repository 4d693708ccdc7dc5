//! Groups of engines for long prompts.
//!
//! The work of reading a prompt is the same however many engines share it, so a group is as large
//! as makes it fastest; but each part is read inside the passes of its engine, so engines without
//! short answers come first, and where they do not suffice the parts are small.

use std::cmp::Reverse;

use foldlock_version::routes::Engine;

use super::{Ask, Candidate, Nowhere, Place, placed};
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

/// The part of the engines that are idle while parts may be longer than [`MOST_PART_MS`].
const IDLE_FLEET: f64 = 0.95;

/// The longest part of a heavy prompt, milliseconds: others wait behind it, and their objectives
/// are 1.5 s and more.
const MOST_PART_MS: f64 = 700.0;

/// The most parts of other prompts that an engine may still have to read to take one more: it reads
/// the newest part first, so each one that is added holds up all that came before it.
const MOST_UNREAD: u32 = 3;

/// The most reading that an engine may have ahead, milliseconds, to take a part of a prompt that is
/// not heavy: under one short prompt's.
const FREE_MS: f64 = 20.0;

/// By how much of the time that a prompt has waited it may wait behind other reads instead.
const AGING: f64 = 0.1;

/// The part of its objective after which a heavy prompt without a place settles for a late answer.
const LATE: f64 = 0.6;

/// The longest part of a prompt whose answer will be late, milliseconds. Its caller waits for some
/// 10 s, of which it has used a part by then.
const SLOW_PART_MS: f64 = 3_000.0;

/// The part of the engines that stay empty beside a prompt whose answer will be late.
const KEPT_EMPTY: f64 = 0.25;

/// The part of the time for a first event whose prompt several engines hold that may be predicted.
const HOLD_MARGIN: f64 = 0.85;

/// How much sooner an engine with short answers has to be free to read a part: its passes get
/// longer by the part, and short prompts that come in wait for it.
const BRISK_APART_MS: f64 = 80.0;

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
    cost_ms: f64,
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
    let objective = ask.route.objective.as_secs_f64() * 1e3;
    candidates.retain(|c| c.load.helping < c.upstream.listed.slots.min(MOST_UNREAD));
    candidates.reverse();
    candidates.sort_by(|a, b| rank_ms(a, engine).total_cmp(&rank_ms(b, engine)));
    let place = if read <= objective * HEAVY {
        light(ask, engine, candidates, read, open)
    } else {
        heavy(ask, engine, &candidates, read, open)
            .or_else(|| slow(ask, engine, &candidates, read, open))
    };
    place.ok_or(Nowhere::Full)
}

/// The group that is done first.
fn light(
    ask: &Ask<'_>,
    engine: &Engine,
    mut candidates: Vec<Candidate<'_>>,
    read: f64,
    open: usize,
) -> Option<Place> {
    let waited_ms = ask.waited.as_secs_f64() * 1e3;
    let ahead_ms = FREE_MS.max(waited_ms * AGING);
    candidates.retain(|c| c.load.backlog_ms <= ahead_ms);
    groups(ask, engine, &candidates, read, MOST_HELPERS + 1)
        .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
        .map(|group| group.place(ask, open))
}

/// The fewest engines whose parts are short: the others stay free. The longest prompts take as many
/// as may help, and their parts are as long as they are, while next to nothing else is under way.
fn heavy(
    ask: &Ask<'_>,
    engine: &Engine,
    candidates: &[Candidate<'_>],
    read: f64,
    open: usize,
) -> Option<Place> {
    let idle = |c: &&Candidate<'_>| !c.is_brisk() && c.ahead_ms(engine) <= IDLE_MS;
    let candidates: Vec<Candidate<'_>> = candidates.iter().filter(idle).cloned().collect();
    let fleet_is_idle = candidates.len() as f64 >= open as f64 * IDLE_FLEET;
    let longest_ms = if fleet_is_idle { read / (MOST_HELPERS + 1) as f64 } else { 0.0 };
    let most_ms = longest_ms.max(MOST_PART_MS);
    groups(ask, engine, &candidates, read, MOST_HELPERS + 1)
        .find(|group| group.part_ms <= most_ms)
        .map(|group| group.place(ask, open))
}

/// A few engines with nothing else under way, which read long parts: the answer will be late, and
/// the rest of the fleet goes on as if it were not there.
fn slow(
    ask: &Ask<'_>,
    engine: &Engine,
    candidates: &[Candidate<'_>],
    read: f64,
    open: usize,
) -> Option<Place> {
    if ask.waited < ask.route.objective.mul_f64(LATE) {
        return None;
    }
    let empty = |c: &&Candidate<'_>| c.load.requests == 0 && c.load.helping == 0;
    let candidates: Vec<Candidate<'_>> = candidates.iter().filter(empty).cloned().collect();
    let kept = (open as f64 * KEPT_EMPTY).ceil() as usize;
    let most = candidates.len().saturating_sub(kept);
    groups(ask, engine, &candidates, read, most)
        .find(|group| group.part_ms <= SLOW_PART_MS)
        .map(|group| group.place(ask, open))
}

/// The groups of 1 to `most` engines that may read a prompt.
fn groups<'a, 'b>(
    ask: &'a Ask<'_>,
    engine: &'a Engine,
    candidates: &'a [Candidate<'b>],
    read: f64,
    most: usize,
) -> impl Iterator<Item = Group<'a, 'b>> {
    let useful = ((read / LEAST_PART_MS) as usize).clamp(1, MOST_HELPERS + 1);
    (1..=useful.min(most)).filter_map(move |parts| group(ask, engine, candidates, read, parts))
}

impl Group<'_, '_> {
    fn place(&self, ask: &Ask<'_>, open: usize) -> Place {
        placed(ask, self.main, &self.helpers, self.part_ms, self.predicted_ms, open)
    }
}

/// When an engine has read a part, beside the part itself: where some request writes, a part is done
/// with the pass that reads it.
fn read_ms(candidate: &Candidate<'_>, engine: &Engine) -> f64 {
    let load = &candidate.load;
    let pass = forecast::pass_ms(engine, load.writers, load.memory);
    let pass = if load.writers > 0 { pass } else { 0.0 };
    candidate.ahead_ms(engine) + pass
}

/// The order in which engines read: those that are free soonest, short answers spared.
fn rank_ms(candidate: &Candidate<'_>, engine: &Engine) -> f64 {
    let spared = if candidate.is_brisk() { BRISK_APART_MS } else { 0.0 };
    read_ms(candidate, engine) + spared
}

/// The group of `parts` engines, if so many may read parts of that size: those that answer and hold
/// memory, and then those that are free soonest.
fn group<'a, 'b>(
    ask: &Ask<'_>,
    engine: &Engine,
    candidates: &'a [Candidate<'b>],
    read: f64,
    parts: usize,
) -> Option<Group<'a, 'b>> {
    let part_ms = read / parts as f64;
    let fits = |c: &&Candidate<'_>| c.load.backlog_ms + part_ms <= c.allowance_ms(engine, u32::MAX);
    let readers: Vec<&Candidate<'_>> = candidates.iter().filter(fits).collect();
    if readers.len() < parts {
        return None;
    }
    let Holding { main, holders } = match main_engine(engine, &readers, ask.memory.0) {
        Some(main) => Holding { main, holders: Vec::new() },
        None => spread(&readers, engine, ask.memory.0)?,
    };
    if holders.len() >= parts {
        return None;
    }
    let is_holder = |index: usize| holders.iter().any(|(holder, _)| *holder == index);
    let others = (0..readers.len()).filter(|index| *index != main && !is_holder(*index));
    let others = others.take(parts - 1 - holders.len()).map(|index| (index, 0));
    let helpers: Vec<(&Candidate<'_>, u64)> =
        holders.iter().copied().chain(others).map(|(index, held)| (readers[index], held)).collect();
    let main = readers[main];
    let ahead = helpers.iter().map(|(c, _)| read_ms(c, engine));
    let ahead = ahead.fold(read_ms(main, engine), f64::max);
    let pass = forecast::pass_ms(engine, main.load.writers + 1, main.load.memory);
    let predicted_ms = ahead + part_ms + pass;
    let hold_limit_ms = ask.hold_limit.as_secs_f64() * 1e3 * HOLD_MARGIN;
    if !holders.is_empty() && predicted_ms > hold_limit_ms {
        return None;
    }
    let brisk = main.is_brisk() || helpers.iter().any(|(c, _)| c.is_brisk());
    let cost_ms = if brisk { predicted_ms + BRISK_APART_MS } else { predicted_ms };
    Some(Group { main, helpers, part_ms, predicted_ms, cost_ms })
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
        .min_by(|(_, a), (_, b)| a.is_brisk().cmp(&b.is_brisk()).then(rank(a).total_cmp(&rank(b))))
        .map(|(index, _)| index)
}

/// Spreads a prompt over the memory of several engines: the one with the most room answers, the
/// others set aside what it lacks.
fn spread(candidates: &[&Candidate<'_>], engine: &Engine, memory: u64) -> Option<Holding> {
    let free = |c: &Candidate<'_>| {
        let left = engine.memory.0.saturating_sub(c.load.memory);
        (left as f64 * SPARE) as u64
    };
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|index| Reverse(free(candidates[*index])));
    let takes = |c: &Candidate<'_>| c.load.requests < c.upstream.listed.slots;
    let main = order.iter().copied().find(|i| takes(candidates[*i]))?;
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
    (missing == 0).then_some(Holding { main, holders })
}
