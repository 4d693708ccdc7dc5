//! Groups of engines for long prompts: which of them answers, and which hold memory for it.
//!
//! All VMs compute the same line of what waits. The prompts before one's own are planned on the
//! engines that are done with them soonest; one's own is placed if its engines are free now. So no
//! part is put on one that is unread, and first events come when they are predicted.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use foldlock_version::routes::Engine;

use super::share::{self, MOST_ENGINES, Prompt, Reader, Share};
use super::{Ask, Candidate, Nowhere, Place, placed};
use crate::forecast;
use crate::line::{self, Capacity, Waiting};

/// The longest part, milliseconds, where all engines were busy of late: all that comes meanwhile
/// waits for it. Twice that where none was, so that the longest prompts find a place on a calm fleet
/// (0.01 of what callers' requests are worth).
const MOST_PART_MS: f64 = 1_000.0;

/// The time over which the demand of long prompts is taken: the mix of lengths turns within some
/// seconds.
pub(super) const DEMAND_WINDOW: Duration = Duration::from_millis(2_000);

/// The most prompts of the line that are planned before one's own: beyond it their engines are busy
/// for longer than callers wait.
const MOST_PLANNED: usize = 32;

/// The part of the time for a first event whose prompt several engines hold that may be predicted.
const HOLD_MARGIN: f64 = 0.85;

/// The part of an engine's free memory that is asked for: what other VMs have just placed there
/// takes the rest.
const SPARE: f64 = 0.97;

/// The least memory worth setting aside at one engine, tokens.
const LEAST_HELD: u64 = 8_000;

/// Which engine answers, and which set memory aside for it: indices and tokens.
struct Holding {
    main: usize,
    holders: Vec<(usize, u64)>,
}

/// The line that a long prompt waits in.
pub(super) struct Line {
    /// All prompts that wait, in no order.
    pub waiting: Vec<Waiting>,
    /// The engines that long prompts kept busy of late.
    pub demand: f64,
}

/// Places a long prompt whose reading takes `read_ms` on one engine.
pub(super) fn long(
    ask: &Ask<'_>,
    engine: &Engine,
    candidates: Vec<Candidate<'_>>,
    read_ms: f64,
    line: Line,
    now: Instant,
) -> Result<Place, Nowhere> {
    let open = candidates.len();
    let mut readers = share::readers(candidates, engine);
    let most_part_ms = MOST_PART_MS * (1.0 + idle(&readers, line.demand));
    for waiting in ahead(line.waiting, ask.turn, &readers, now).iter().take(MOST_PLANNED) {
        let left_ms = waiting.left_ms(waiting.objective, now);
        let prompt = Prompt { read_ms: waiting.read_ms, left_ms };
        share::plan(&mut readers, engine, prompt, most_part_ms);
    }
    let left_ms = (ask.route.objective.as_secs_f64() - ask.waited.as_secs_f64()) * 1e3;
    let can_answer = |r: &Reader<'_>| r.candidate.has_room(ask.memory.0, engine);
    share::now(&readers, engine, Prompt { read_ms, left_ms }, can_answer)
        .filter(|share| share.part_ms <= most_part_ms)
        .and_then(|share| group(ask, engine, &readers, &share, open))
        .ok_or(Nowhere::Full)
}

/// The prompts that go before the one whose number is `turn`.
fn ahead(
    line: Vec<Waiting>,
    turn: Option<u64>,
    readers: &[Reader<'_>],
    now: Instant,
) -> Vec<Waiting> {
    let Some(turn) = turn else { return Vec::new() };
    let usable: Vec<&Reader<'_>> = readers.iter().filter(|r| r.apart).collect();
    let busy_ms: f64 = usable.iter().map(|r| r.free_ms).sum();
    let capacity = Capacity {
        engines: usable.iter().map(|r| 1.0 / r.candidate.pace).sum(),
        most: MOST_ENGINES as f64,
        busy_ms: busy_ms / (usable.len() as f64).max(1.0),
    };
    let mut order = line::order(line, capacity, now);
    let own = order.iter().position(|waiting| waiting.own == Some(turn));
    order.truncate(own.unwrap_or(0));
    order
}

/// The part of the engines apart from short answers that long prompts left idle of late.
fn idle(readers: &[Reader<'_>], demand: f64) -> f64 {
    let apart = readers.iter().filter(|r| r.apart).count() as f64;
    (1.0 - demand / apart.max(1.0)).clamp(0.0, 1.0)
}

/// When an engine has read a part, beside the part itself: where some request writes, a part is done
/// with the pass that reads it.
fn read_ms(candidate: &Candidate<'_>, engine: &Engine) -> f64 {
    let load = &candidate.load;
    let pass = forecast::pass_ms(engine, load.writers, load.memory);
    let pass = if load.writers > 0 { pass * candidate.pace } else { 0.0 };
    candidate.ahead_ms(engine) + pass
}

/// The place of a prompt at the engines that share it, if they have the memory.
fn group(
    ask: &Ask<'_>,
    engine: &Engine,
    readers: &[Reader<'_>],
    share: &Share,
    open: usize,
) -> Option<Place> {
    let of: Vec<&Reader<'_>> = share.engines.iter().map(|index| &readers[*index]).collect();
    let Holding { main, holders } = match main_engine(engine, &of, ask.memory.0) {
        Some(main) => Holding { main, holders: Vec::new() },
        None => spread(&of, engine, ask.memory.0)?,
    };
    let held = |index: usize| holders.iter().find(|(holder, _)| *holder == index);
    let others = (0..of.len()).filter(|index| *index != main);
    let helpers: Vec<(&Candidate<'_>, u64)> = others
        .map(|index| (&of[index].candidate, held(index).map_or(0, |(_, tokens)| *tokens)))
        .collect();
    let main = &of[main].candidate;
    let done = |c: &Candidate<'_>| read_ms(c, engine) + share.part_ms * c.pace;
    let read = helpers.iter().map(|(c, _)| done(c)).fold(done(main), f64::max);
    let pass = forecast::pass_ms(engine, main.load.writers + 1, main.load.memory);
    let predicted_ms = read + pass * main.pace;
    let hold_limit_ms = ask.hold_limit.as_secs_f64() * 1e3 * HOLD_MARGIN;
    if !holders.is_empty() && predicted_ms > hold_limit_ms {
        return None;
    }
    Some(placed(ask, main, &helpers, share.part_ms, predicted_ms, open))
}

/// The engine that answers, among those with the memory.
fn main_engine(engine: &Engine, readers: &[&Reader<'_>], memory: u64) -> Option<usize> {
    readers
        .iter()
        .enumerate()
        .filter(|(_, r)| r.candidate.has_room(memory, engine))
        .min_by(|(_, a), (_, b)| a.compare_to_answer(b))
        .map(|(index, _)| index)
}

/// Spreads a prompt over the memory of several engines: the one with the most room answers, the
/// others set aside what it lacks.
fn spread(readers: &[&Reader<'_>], engine: &Engine, memory: u64) -> Option<Holding> {
    let free = |c: &Candidate<'_>| {
        let left = engine.memory.0.saturating_sub(c.load.memory);
        (left as f64 * SPARE) as u64
    };
    let mut order: Vec<usize> = (0..readers.len()).collect();
    order.sort_by_key(|index| Reverse(free(&readers[*index].candidate)));
    let takes = |c: &Candidate<'_>| c.load.requests < c.upstream.listed.slots;
    let main = order.iter().copied().find(|i| takes(&readers[*i].candidate))?;
    let mut missing = memory.saturating_sub(free(&readers[main].candidate));
    let mut holders = Vec::new();
    for index in order.into_iter().filter(|index| *index != main) {
        if missing == 0 || holders.len() + 1 == MOST_ENGINES {
            break;
        }
        let room = free(&readers[index].candidate);
        if room < LEAST_HELD {
            continue;
        }
        let held = room.min(missing.max(LEAST_HELD));
        missing = missing.saturating_sub(held);
        holders.push((index, held));
    }
    (missing == 0).then_some(Holding { main, holders })
}
