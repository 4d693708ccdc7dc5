//! Groups of engines for long prompts: which engine generates the response, and which reserve
//! memory for it.
//!
//! The queued prompts are taken in order. A prompt is placed if its engines are free now, and
//! otherwise planned on the engines that finish it soonest. Thus no part is sent to an engine with
//! an unread part, and first events come when they are predicted.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use foldlock_version::routes::{Engine, Service};

use super::candidate::{Candidate, accepts_more, healthy};
use super::share::{EnginePlan, EnginePlans, MAX_ENGINES, Prompt, Share};
use super::{Placement, Requirements, build_placement};
use crate::cluster::{Cluster, Upstream};
use crate::forecast;
use crate::long_queue::{self, Capacity, Entry};

/// The longest part, milliseconds, where all engines were busy recently: everything that arrives
/// meanwhile waits for it. Up to twice that where engines were idle, so that the longest prompts
/// can be placed on an idle fleet.
const MAX_PART_MS: f64 = 1_000.0;

/// The window over which the demand of long prompts is measured: the mix of lengths changes within
/// a few seconds.
pub const DEMAND_WINDOW: Duration = Duration::from_millis(2_000);

/// The maximum number of queued prompts that are planned in one run: later ones would find their
/// engines busy for longer than callers wait.
const MAX_PLANNED: usize = 32;

/// The remaining engines must cover the demand of other long prompts by this factor for a prompt to
/// be read in longer parts.
const SPARE_CAPACITY_FACTOR: f64 = 1.5;

/// Share of the reservation timeout within which the first event must be predicted of a prompt for
/// which several engines reserve memory.
const RESERVATION_SHARE: f64 = 0.85;

/// The longest part of a prompt that cannot be in time, as a ratio of its shortest possible parts. Few engines that
/// are free now would read it for several times as long as more engines do a moment later.
const MAX_PART_RATIO: f64 = 1.5;

/// Share of an engine's free memory that is used: requests that other VMs have just placed there
/// may take the rest.
const FREE_MEMORY_SHARE: f64 = 0.97;

/// The smallest useful reservation on one engine, tokens.
const MIN_RESERVED_TOKENS: u64 = 8_000;

/// The engine that generates the response, and the engines that reserve memory for it: indices and
/// tokens.
struct MemorySplit {
    main: usize,
    reservations: Vec<(usize, u64)>,
}

/// A queued long prompt.
#[derive(Debug, Clone, Copy)]
pub struct LongPrompt<'a> {
    /// What the prompt needs.
    pub requirements: &'a Requirements,
    /// Index that is returned with the placement.
    pub index: usize,
    /// Prompts of lower classes are placed first.
    pub class: u32,
}

/// The engines that long prompts leave to short ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Kept {
    /// Their number.
    pub engines: usize,
    /// Whether engines with short responses count among them. They then read no parts of long prompts.
    pub crowded: bool,
}

/// The deadline up to which a long prompt within one engine's memory may be read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Deadline {
    /// Its objective: a prompt that cannot meet it on idle engines is too long.
    #[default]
    Objective,
    /// The caller's time limit less the time for the shortest response. A late response is worth less than one
    /// in time, but more than a rejection.
    TimeLimit,
}

/// The queued long prompts of one service.
#[derive(Debug, Clone, Copy)]
pub struct LongQueue<'a> {
    /// The prompts, in any order.
    pub prompts: &'a [LongPrompt<'a>],
    /// The mean number of engines that long prompts recently kept busy.
    pub demand: f64,
    /// Where to begin in the order of engines, as [`Requirements::offset`].
    pub offset: usize,
    /// The engines to keep free for short prompts.
    pub kept: Kept,
    /// The deadline up to which a prompt may be read where nothing else waits for its engines.
    pub deadline: Deadline,
}

/// Places those queued prompts whose engines are free now, each with its index. The others are
/// planned, so that no later prompt takes the engines that an earlier one needs.
pub fn place_long(
    cluster: &Cluster,
    service: &Service,
    engine: &Engine,
    queue: LongQueue<'_>,
    now: Instant,
) -> Vec<(usize, Placement)> {
    // Parts of split prompts would count against the rate limit.
    let unlimited = cluster.open(&service.name).filter(|upstream| !upstream.is_limited());
    let open = healthy(cluster, unlimited.collect(), now);
    let candidate = |upstream| Candidate::new(cluster, upstream, Some(engine), now);
    let mut candidates: Vec<Candidate<'_>> = open.into_iter().map(candidate).collect();
    candidates.reverse();
    let offset = queue.offset % candidates.len().max(1);
    candidates.rotate_left(offset);
    let mut plans = EnginePlans::new(candidates, engine);
    plans.keep_for_short(queue.kept);
    let max_part_ms = MAX_PART_MS * (1.0 + idle_share(&plans, queue.demand));
    let mut placed = Vec::new();
    for entry in queue_order(queue.prompts, engine, &plans, now).into_iter().take(MAX_PLANNED) {
        let long = &queue.prompts[entry.index];
        let prompt =
            Prompt { prefill_ms: entry.prefill_ms, left_ms: long.requirements.left_ms(now) };
        let accepts =
            |u: &Upstream| accepts_more(cluster, service, u, long.requirements.schedulers, now);
        let demand = demand_of_others(&queue, prompt, long.requirements, now);
        let left_ms = match queue.deadline {
            Deadline::Objective => prompt.left_ms,
            Deadline::TimeLimit => {
                let left = long.requirements.left_for_prefill(engine, now).as_secs_f64() * 1e3;
                let parts = MAX_ENGINES.min(plans.all().len()).max(1);
                let shortest_ms = prompt.prefill_ms / parts as f64;
                prompt.left_ms.max(left.min(shortest_ms * MAX_PART_RATIO))
            }
        };
        let max_ms = |share: &Share| longest_part_ms(&plans, demand, left_ms, share);
        match place_now(long.requirements, engine, &plans, prompt, max_ms, accepts) {
            Some((share, placement)) => {
                plans.start(&share, &placement, long.requirements);
                placed.push((long.index, placement));
            }
            None => plans.plan_later(prompt, max_part_ms),
        }
    }
    placed
}

/// The placement of a prompt whose engines are free now.
fn place_now(
    requirements: &Requirements,
    engine: &Engine,
    plans: &EnginePlans<'_>,
    prompt: Prompt,
    max_part_ms: impl Fn(&Share) -> f64,
    accepts: impl Fn(&Upstream) -> bool,
) -> Option<(Share, Placement)> {
    let may = |r: &EnginePlan<'_>| !requirements.excluded.contains(&r.candidate.upstream.tag);
    let can_be_main = |r: &EnginePlan<'_>| {
        r.candidate.has_room(requirements.memory.0, engine) && accepts(r.candidate.upstream)
    };
    let share = plans.share_now(prompt, may, can_be_main)?;
    if share.part_ms > max_part_ms(&share) {
        return None;
    }
    let placement = place_group(requirements, engine, plans, &share)?;
    Some((share, placement))
}

/// The longest part of a prompt that these engines may read. Where the remaining engines cover the
/// demand of other long prompts, nothing waits for it, and it may take all the time that is left
/// until its deadline.
fn longest_part_ms(plans: &EnginePlans<'_>, demand: f64, left_ms: f64, share: &Share) -> f64 {
    let usual_max_ms = MAX_PART_MS * (1.0 + idle_share(plans, demand));
    let for_long = plans.all().iter().filter(|r| r.for_long).count() as f64;
    let left = for_long - share.engines.len() as f64;
    if left >= demand * SPARE_CAPACITY_FACTOR { usual_max_ms.max(left_ms) } else { usual_max_ms }
}

/// Whether a prompt is too long for a service's engines even if all of them were idle: its parts
/// would be longer than the longest part allowed by the deadline, or would take longer than memory
/// may be reserved.
pub fn is_too_long(
    cluster: &Cluster,
    service: &Service,
    engine: &Engine,
    requirements: &Requirements,
    deadline: Deadline,
    now: Instant,
) -> bool {
    let Some(prefill_ms) = requirements.long_prefill_ms(engine) else { return false };
    if cluster.limited_rate(&service.name).is_some() && requirements.memory > engine.memory {
        return true;
    }
    let unlimited = cluster.open(&service.name).filter(|upstream| !upstream.is_limited());
    let engines = unlimited.count().clamp(1, MAX_ENGINES);
    let max_ms = if requirements.memory > engine.memory {
        requirements.reservation_timeout.as_secs_f64() * 1e3 * RESERVATION_SHARE
    } else {
        match deadline {
            Deadline::Objective => {
                (MAX_PART_MS * 2.0).max(requirements.objective.as_secs_f64() * 1e3)
            }
            Deadline::TimeLimit => requirements.left_for_prefill(engine, now).as_secs_f64() * 1e3,
        }
    };
    prefill_ms / engines as f64 > max_ms
}

/// The demand of the other long prompts, in engines: a prompt does not compete with its own
/// prefill.
fn demand_of_others(
    queue: &LongQueue<'_>,
    prompt: Prompt,
    requirements: &Requirements,
    now: Instant,
) -> f64 {
    let is_counted = now.saturating_duration_since(requirements.arrived) < DEMAND_WINDOW;
    let own =
        if is_counted { prompt.prefill_ms / (DEMAND_WINDOW.as_secs_f64() * 1e3) } else { 0.0 };
    (queue.demand - own).max(0.0)
}

/// The prompts in the order of the long queue.
fn queue_order(
    prompts: &[LongPrompt<'_>],
    engine: &Engine,
    plans: &EnginePlans<'_>,
    now: Instant,
) -> Vec<Entry> {
    let entry = |(index, long): (usize, &LongPrompt<'_>)| Entry {
        arrived: long.requirements.arrived,
        prefill_ms: forecast::prefill_ms(engine, long.requirements.prompt.0),
        objective: long.requirements.objective,
        queue_timeout: long.requirements.queue_timeout,
        class: long.class,
        index,
    };
    let entries = prompts.iter().enumerate().map(entry).collect();
    long_queue::order(entries, capacity(plans), now)
}

/// The capacity of the engines for long prompts.
fn capacity(plans: &EnginePlans<'_>) -> Capacity {
    let for_long = || plans.all().iter().filter(|r| r.for_long);
    let busy_ms: f64 = for_long().map(|r| r.free_ms).sum();
    Capacity {
        engines: for_long().map(|r| 1.0 / r.candidate.slowdown).sum(),
        max_per_prompt: MAX_ENGINES as f64,
        busy_ms: busy_ms / (for_long().count() as f64).max(1.0),
    }
}

/// The share of the engines for long prompts that was idle recently.
fn idle_share(plans: &EnginePlans<'_>, demand: f64) -> f64 {
    let for_long = plans.all().iter().filter(|r| r.for_long).count() as f64;
    (1.0 - demand / for_long.max(1.0)).clamp(0.0, 1.0)
}

/// The delay of a prefill in addition to its own time. On an engine that is decoding, a part is
/// finished at the end of the pass that reads it.
fn prefill_delay_ms(candidate: &Candidate<'_>, engine: &Engine) -> f64 {
    let load = &candidate.load;
    let pass = forecast::pass_ms(engine, load.decoding, load.memory);
    let pass = if load.decoding > 0 { pass * candidate.slowdown } else { 0.0 };
    candidate.queueing_delay_ms(engine) + pass
}

/// The placement of a prompt on the engines that share it, if they have enough memory.
fn place_group(
    requirements: &Requirements,
    engine: &Engine,
    plans: &EnginePlans<'_>,
    share: &Share,
) -> Option<Placement> {
    let of: Vec<&EnginePlan<'_>> = share.engines.iter().map(|index| &plans.all()[*index]).collect();
    let MemorySplit { main, reservations } = match main_engine(engine, &of, requirements.memory.0) {
        Some(main) => MemorySplit { main, reservations: Vec::new() },
        None => split_memory(&of, engine, requirements.memory.0)?,
    };
    let reserved = |index: usize| reservations.iter().find(|(engine, _)| *engine == index);
    let others = (0..of.len()).filter(|index| *index != main);
    let helpers: Vec<(&Candidate<'_>, u64)> = others
        .map(|index| (&of[index].candidate, reserved(index).map_or(0, |(_, tokens)| *tokens)))
        .collect();
    let main = &of[main].candidate;
    let done = |c: &Candidate<'_>| prefill_delay_ms(c, engine) + share.part_ms * c.slowdown;
    let finish_ms = helpers.iter().map(|(c, _)| done(c)).fold(done(main), f64::max);
    let pass = forecast::pass_ms(engine, main.load.decoding + 1, main.load.memory);
    let predicted_ms = finish_ms + pass * main.slowdown;
    let max_predicted_ms = requirements.reservation_timeout.as_secs_f64() * 1e3 * RESERVATION_SHARE;
    if !reservations.is_empty() && predicted_ms > max_predicted_ms {
        return None;
    }
    let candidate_count = plans.all().len();
    Some(build_placement(
        requirements,
        main,
        &helpers,
        share.part_ms,
        predicted_ms,
        candidate_count,
    ))
}

/// The engine that generates the response, among those with enough memory.
fn main_engine(engine: &Engine, plans: &[&EnginePlan<'_>], memory: u64) -> Option<usize> {
    plans
        .iter()
        .enumerate()
        .filter(|(_, r)| r.candidate.has_room(memory, engine))
        .min_by(|(_, a), (_, b)| a.compare_as_main(b))
        .map(|(index, _)| index)
}

/// Splits the memory of a prompt over several engines: the one with the most free memory generates
/// the response, the others reserve the missing memory.
fn split_memory(plans: &[&EnginePlan<'_>], engine: &Engine, memory: u64) -> Option<MemorySplit> {
    let free = |c: &Candidate<'_>| {
        let left = engine.memory.0.saturating_sub(c.load.memory);
        (left as f64 * FREE_MEMORY_SHARE) as u64
    };
    let mut order: Vec<usize> = (0..plans.len()).collect();
    order.sort_by_key(|index| Reverse(free(&plans[*index].candidate)));
    let has_slot = |c: &Candidate<'_>| c.load.requests < c.upstream.listed.slots;
    let main = order.iter().copied().find(|i| has_slot(&plans[*i].candidate))?;
    let mut missing = memory.saturating_sub(free(&plans[main].candidate));
    let mut reservations = Vec::new();
    for index in order.into_iter().filter(|index| *index != main) {
        if missing == 0 || reservations.len() + 1 == MAX_ENGINES {
            break;
        }
        let room = free(&plans[index].candidate);
        if room < MIN_RESERVED_TOKENS {
            continue;
        }
        let reserved = room.min(missing.max(MIN_RESERVED_TOKENS));
        missing = missing.saturating_sub(reserved);
        reservations.push((index, reserved));
    }
    (missing == 0).then_some(MemorySplit { main, reservations })
}
