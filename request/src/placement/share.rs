//! Splits the prefill of a long prompt over engines: which engines read it, and when, in equal
//! parts, finished as early as possible.
//!
//! The total prefill work does not depend on how many engines share it, so more engines finish
//! sooner. But each part is read inside the passes of its engine, so engines without short
//! responses come first.

use std::cell::LazyCell;
use std::cmp::{Ordering, Reverse};

use foldlock_version::routes::Engine;

use super::candidate::Candidate;
use super::{Kept, Placement, Requirements};
use crate::forecast;

/// The shortest part of a long prefill, milliseconds: below it, the decode steps of each pass cost
/// more than splitting gains.
const MIN_PART_MS: f64 = 25.0;

/// The maximum number of engines that read one prompt: the one that generates the response and 16
/// helpers, the platform's limit.
pub(super) const MAX_ENGINES: usize = 17;

/// The largest prefill backlog, milliseconds, with which an engine may take a part now: less than
/// one short prompt takes.
const MAX_BACKLOG_MS: f64 = 20.0;

/// The maximum number of unread parts of other prompts with which an engine may take one more: it
/// reads the newest part first, so each added part delays all earlier ones.
const MAX_UNREAD_PARTS: u32 = 3;

/// Share of the time left for the first event within which engines without short responses must
/// finish; otherwise engines with short responses read the prompt too.
const IN_TIME_SHARE: f64 = 0.8;

/// How much later than by waiting a prompt may finish if it is placed at once, milliseconds: less
/// than the decode steps that one part costs.
const MAX_IMMEDIATE_LOSS_MS: f64 = 20.0;

/// A typical part, milliseconds, with which engines are ordered so that slow ones come later.
const TYPICAL_PART_MS: f64 = 100.0;

/// How much earlier than others an engine without requests must be free to be chosen to generate
/// the response, milliseconds. An engine that is decoding already loses nothing by one more
/// request. An engine with a single request cannot read parts longer than the pauses that this
/// request allows, and reads each of them with a pass of decode steps. This keeps long responses on
/// a few engines instead of all.
const IDLE_PENALTY_MS: f64 = 200.0;

/// How much later than others an engine may be free and still be chosen to generate the response,
/// for each request that it is serving, milliseconds.
const PER_REQUEST_BONUS_MS: f64 = 10.0;

/// An engine, with the planned prefills of prompts that are earlier in the queue.
pub(super) struct EnginePlan<'a> {
    /// The engine and its load.
    pub(super) candidate: Candidate<'a>,
    /// Whether long prompts are preferably read here: it has at most one interactive response and
    /// is not kept for short prompts.
    pub(super) for_long: bool,
    /// When the engine has finished all planned prefills, milliseconds from now.
    pub(super) free_ms: f64,
    /// When the first planned prefill begins, milliseconds from now; infinite if there is none.
    planned_ms: f64,
    /// What the decode steps of its requests add to a prefill, milliseconds. Without it, parts
    /// would be sent to engines with unread parts.
    steps_ms: f64,
    /// The longest part that the responses on this engine allow, milliseconds.
    max_part_ms: f64,
    /// Whether it is kept free for short prompts.
    short_only: bool,
}

/// Engines that read one prompt in equal parts.
pub(super) struct Share {
    /// When the last engine finishes, milliseconds from now.
    pub(super) done_ms: f64,
    /// The prefill time of each part, milliseconds.
    pub(super) part_ms: f64,
    /// The indices of the engines.
    pub(super) engines: Vec<usize>,
}

/// A prompt to be read.
#[derive(Debug, Clone, Copy)]
pub(super) struct Prompt {
    /// Prefill time on one engine, milliseconds.
    pub(super) prefill_ms: f64,
    /// Milliseconds until the deadline of the first event; negative once it has passed.
    pub(super) left_ms: f64,
}

impl<'a> EnginePlan<'a> {
    fn new(candidate: Candidate<'a>, engine: &Engine) -> EnginePlan<'a> {
        let load = &candidate.load;
        let pass_ms = forecast::pass_ms(engine, load.decoding, load.memory) * candidate.slowdown;
        EnginePlan {
            for_long: !candidate.is_crowded(),
            free_ms: load.backlog_ms,
            planned_ms: f64::INFINITY,
            steps_ms: if load.decoding > 0 { pass_ms } else { 0.0 },
            max_part_ms: candidate.max_part_ms(engine),
            short_only: false,
            candidate,
        }
    }

    /// When the engine finishes a part that follows the planned prefills, milliseconds from now.
    fn done_ms(&self, part_ms: f64) -> f64 {
        self.free_ms + self.part_time_ms(part_ms)
    }

    /// How long the engine takes for a part, milliseconds.
    fn part_time_ms(&self, part_ms: f64) -> f64 {
        part_ms * self.candidate.slowdown + self.steps_ms
    }

    /// When the engine would finish a part of typical length, milliseconds from now.
    fn ready_ms(&self) -> f64 {
        self.done_ms(TYPICAL_PART_MS)
    }

    /// Whether the responses on this engine allow a part of this length.
    fn fits(&self, part_ms: f64) -> bool {
        !self.short_only
            && self.candidate.load.helper_parts < MAX_UNREAD_PARTS
            && part_ms <= self.max_part_ms
    }

    /// Whether a part can begin now and end before the first planned prefill.
    fn fits_now(&self, part_ms: f64) -> bool {
        self.candidate.load.backlog_ms <= MAX_BACKLOG_MS
            && self.part_time_ms(part_ms) <= self.planned_ms
            && self.fits(part_ms)
    }

    /// Orders engines by how well suited they are to generate the response: engines for long
    /// prompts first, then those that are free soonest, with a preference for engines that are
    /// decoding already.
    pub(super) fn compare_as_main(&self, other: &EnginePlan<'_>) -> Ordering {
        let rank = |plan: &EnginePlan<'_>| {
            let load = &plan.candidate.load;
            let idle_ms = if load.requests > 0 { 0.0 } else { IDLE_PENALTY_MS };
            plan.free_ms + idle_ms - PER_REQUEST_BONUS_MS * f64::from(load.requests)
        };
        other.for_long.cmp(&self.for_long).then(rank(self).total_cmp(&rank(other)))
    }
}

/// The engines over which queued prompts are split.
pub(super) struct EnginePlans<'a> {
    all: Vec<EnginePlan<'a>>,
    /// Indices, those that are ready soonest first. With this order, the engines for a prompt are
    /// found in one pass for each number of parts, however many engines there are.
    order: Vec<usize>,
}

impl<'a> EnginePlans<'a> {
    /// Creates the plan from engines with their load, preferred ones first.
    pub(super) fn new(candidates: Vec<Candidate<'a>>, engine: &Engine) -> EnginePlans<'a> {
        let all: Vec<EnginePlan<'a>> =
            candidates.into_iter().map(|candidate| EnginePlan::new(candidate, engine)).collect();
        let mut plans = EnginePlans { order: (0..all.len()).collect(), all };
        plans.sort();
        plans
    }

    /// Keeps engines free for short prompts: those with the most short responses if they count, then, of the
    /// engines for long prompts, those that are free soonest.
    pub(super) fn keep_for_short(&mut self, kept: Kept) {
        let Kept { mut engines, crowded } = kept;
        if crowded {
            let mut with_short: Vec<usize> =
                (0..self.all.len()).filter(|index| !self.all[*index].for_long).collect();
            with_short.sort_by_key(|index| Reverse(self.all[*index].candidate.load.interactive));
            with_short.truncate(engines);
            engines -= with_short.len();
            for index in with_short {
                self.all[index].short_only = true;
            }
        }
        let for_long = self.order.iter().copied().filter(|index| self.all[*index].for_long);
        let kept: Vec<usize> = for_long.take(engines).collect();
        for index in kept {
            self.all[index].short_only = true;
            self.all[index].for_long = false;
        }
    }

    /// All engines, by index.
    pub(super) fn all(&self) -> &[EnginePlan<'a>] {
        &self.all
    }

    fn sort(&mut self) {
        let all = &self.all;
        self.order.sort_by(|a, b| all[*a].ready_ms().total_cmp(&all[*b].ready_ms()));
    }

    /// The engines that finish a prompt soonest, among those that `may` read a part of that many
    /// milliseconds. Includes an engine that can generate the response, if there is one.
    fn soonest(
        &self,
        prefill_ms: f64,
        may: impl Fn(&EnginePlan<'_>, f64) -> bool,
        can_be_main: impl Fn(&EnginePlan<'_>) -> bool,
    ) -> Option<Share> {
        let max_parts = ((prefill_ms / MIN_PART_MS) as usize).clamp(1, MAX_ENGINES);
        let max_parts = max_parts.min(self.all.len());
        // An engine that may read no part of the shortest length may read no longer one. While most engines are busy,
        // the others are visited once instead of for each number of parts.
        let min_part_ms = prefill_ms / max_parts as f64;
        let order = self.order.iter().copied();
        let usable: Vec<usize> = order.filter(|i| may(&self.all[*i], min_part_ms)).collect();
        let main_candidates = LazyCell::new(|| self.main_candidates(can_be_main));
        let share = |parts: usize| {
            let part_ms = prefill_ms / parts as f64;
            let may = |index: &usize| may(&self.all[*index], part_ms);
            let free = usable.iter().copied().filter(may);
            let mut engines: Vec<usize> = free.take(parts).collect();
            if engines.len() < parts {
                return None;
            }
            if let Some(main) = main_candidates.iter().copied().find(may)
                && !engines.contains(&main)
            {
                engines[parts - 1] = main;
            }
            let done = |index: &usize| self.all[*index].done_ms(part_ms);
            let done_ms = engines.iter().map(done).fold(0.0, f64::max);
            Some(Share { done_ms, part_ms, engines })
        };
        let shares = (1..=max_parts.min(usable.len())).filter_map(share);
        shares.min_by(|a, b| a.done_ms.total_cmp(&b.done_ms))
    }

    /// The engines that can generate the response, best first.
    fn main_candidates(&self, can_be_main: impl Fn(&EnginePlan<'_>) -> bool) -> Vec<usize> {
        let can = |index: &usize| can_be_main(&self.all[*index]);
        let mut main_candidates: Vec<usize> = (0..self.all.len()).filter(can).collect();
        main_candidates.sort_by(|a, b| self.all[*a].compare_as_main(&self.all[*b]));
        main_candidates
    }

    /// The share that finishes soonest, begun now or later, and whether it has only engines for
    /// long prompts: the others are used only where these would finish too late.
    fn best_share(
        &self,
        prompt: Prompt,
        may: impl Fn(&EnginePlan<'_>) -> bool,
        can_be_main: impl Fn(&EnginePlan<'_>) -> bool,
    ) -> Option<(Share, bool)> {
        let Prompt { prefill_ms, left_ms } = prompt;
        let is_candidate =
            |r: &EnginePlan<'_>, part_ms: f64| r.for_long && r.fits(part_ms) && may(r);
        let separate = self.soonest(prefill_ms, is_candidate, &can_be_main);
        if let Some(share) = separate.as_ref()
            && share.done_ms <= left_ms * IN_TIME_SHARE
        {
            return separate.map(|share| (share, true));
        }
        let all = self.soonest(prefill_ms, |r, part_ms| r.fits(part_ms) && may(r), can_be_main);
        match (separate, all) {
            (Some(separate), Some(all)) if separate.done_ms <= all.done_ms => {
                Some((separate, true))
            }
            (_, all) => all.map(|all| (all, false)),
        }
    }

    /// Plans a prompt that cannot begin now: its engines are busy until they have read it. A prompt
    /// whose parts would be too long is skipped.
    pub(super) fn plan_later(&mut self, prompt: Prompt, max_part_ms: f64) {
        // The engine that generates the response is chosen when the prompt is placed.
        let Some((share, _)) = self.best_share(prompt, |_| true, |_| false) else { return };
        if share.part_ms > max_part_ms {
            return;
        }
        for index in &share.engines {
            let plan = &mut self.all[*index];
            let begins = share.done_ms - share.part_ms * plan.candidate.slowdown;
            plan.planned_ms = plan.planned_ms.min(begins);
            plan.free_ms = share.done_ms;
        }
        self.sort();
    }

    /// The share of a prompt that can begin now, unless waiting for busy engines would finish it
    /// sooner.
    pub(super) fn share_now(
        &self,
        prompt: Prompt,
        may: impl Fn(&EnginePlan<'_>) -> bool,
        can_be_main: impl Fn(&EnginePlan<'_>) -> bool,
    ) -> Option<Share> {
        let (best, separate_only) = self.best_share(prompt, &may, &can_be_main)?;
        let now = |r: &EnginePlan<'_>, part_ms: f64| {
            (r.for_long || !separate_only) && r.fits_now(part_ms) && may(r)
        };
        let share = self.soonest(prompt.prefill_ms, now, can_be_main)?;
        (share.done_ms <= best.done_ms + MAX_IMMEDIATE_LOSS_MS).then_some(share)
    }

    /// Records that the engines of a share begin to read a prompt.
    pub(super) fn start(
        &mut self,
        share: &Share,
        placement: &Placement,
        requirements: &Requirements,
    ) {
        for index in &share.engines {
            let plan = &mut self.all[*index];
            plan.free_ms = plan.done_ms(share.part_ms);
            let load = &mut plan.candidate.load;
            load.backlog_ms = plan.free_ms;
            let id = &plan.candidate.upstream.listed.id;
            if *id == placement.flight.upstream {
                load.requests += 1;
                load.memory += placement.flight.memory;
                let pause_ms = load
                    .pause_ms
                    .map_or(requirements.pause_ms(), |ms| ms.min(requirements.pause_ms()));
                load.pause_ms = Some(pause_ms);
            } else {
                load.helper_parts += 1;
                let helping =
                    placement.flight.helpers.iter().find(|helping| helping.upstream == *id);
                load.memory += helping.map_or(0, |helping| helping.reserved);
            }
            plan.for_long = !plan.candidate.is_crowded();
        }
        self.sort();
    }
}
