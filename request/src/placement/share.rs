//! Splits the prefill of a long prompt over engines: which engines read it, and when, in equal
//! parts, finished as early as possible.
//!
//! The total prefill work does not depend on how many engines share it, so more engines finish
//! sooner. But each part is read inside the passes of its engine, so engines without short
//! responses come first.

use std::cmp::Ordering;

use foldlock_version::routes::Engine;

use super::candidate::Candidate;
use super::{Placement, Requirements};
use crate::forecast;

/// The shortest part of a long prefill, milliseconds: below it, the decode steps of each pass cost
/// more than splitting gains.
const LEAST_PART_MS: f64 = 25.0;

/// The maximum number of engines that read one prompt: the one that generates the response and 16
/// helpers, the platform's limit.
pub(super) const MOST_ENGINES: usize = 17;

/// The largest prefill backlog, milliseconds, with which an engine may take a part now: less than
/// one short prompt takes.
const FREE_MS: f64 = 20.0;

/// The maximum number of unread parts of other prompts with which an engine may take one more: it
/// reads the newest part first, so each added part delays all earlier ones.
const MOST_UNREAD: u32 = 3;

/// Share of the time left for the first event within which engines without short responses must
/// finish; otherwise engines with short responses read the prompt too.
const IN_TIME: f64 = 0.8;

/// How much later than by waiting a prompt may finish if it is placed at once, milliseconds: less
/// than the decode steps that one part costs.
const WORTH_WAITING_MS: f64 = 20.0;

/// A typical part, milliseconds, which ranks slow engines later in the order.
const USUAL_PART_MS: f64 = 100.0;

/// How much earlier than others an engine without requests must be free to be chosen to generate
/// the response, milliseconds. An engine that is decoding already loses nothing by one more
/// request. An engine with a single request cannot read parts longer than the pauses that this
/// request allows, and reads each of them with a pass of decode steps. This keeps long responses on
/// a few engines instead of all.
const WRITERS_APART_MS: f64 = 200.0;

/// The same for each additional request that the engine is serving, milliseconds.
const FULLER_MS: f64 = 10.0;

/// An engine, with the planned prefills of prompts that are earlier in the queue.
pub(super) struct Reader<'a> {
    /// The engine and its load.
    pub(super) candidate: Candidate<'a>,
    /// Whether long prompts are preferably read here: it has at most one interactive response and
    /// is not kept for short prompts.
    pub(super) apart: bool,
    /// When the engine has finished all planned prefills, milliseconds from now.
    pub(super) free_ms: f64,
    /// When the first planned prefill begins, milliseconds from now; infinite if there is none.
    planned_ms: f64,
    /// What the decode steps of its requests add to a prefill, milliseconds. Without it, parts
    /// would be sent to engines with unread parts.
    steps_ms: f64,
    /// The longest part that the responses on this engine allow, milliseconds.
    most_ms: f64,
    /// Whether it is kept free for short prompts.
    kept: bool,
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

impl<'a> Reader<'a> {
    fn new(candidate: Candidate<'a>, engine: &Engine) -> Reader<'a> {
        let load = &candidate.load;
        let pass_ms = forecast::pass_ms(engine, load.writers, load.memory) * candidate.pace;
        Reader {
            apart: !candidate.is_crowded(),
            free_ms: load.backlog_ms,
            planned_ms: f64::INFINITY,
            steps_ms: if load.writers > 0 { pass_ms } else { 0.0 },
            most_ms: candidate.part_allowance_ms(engine),
            kept: false,
            candidate,
        }
    }

    /// When the engine finishes a part that follows the planned prefills, milliseconds from now.
    fn done_ms(&self, part_ms: f64) -> f64 {
        self.free_ms + self.takes_ms(part_ms)
    }

    /// How long the engine takes for a part, milliseconds.
    fn takes_ms(&self, part_ms: f64) -> f64 {
        part_ms * self.candidate.pace + self.steps_ms
    }

    /// When the engine would finish a part of typical length, milliseconds from now.
    fn ready_ms(&self) -> f64 {
        self.done_ms(USUAL_PART_MS)
    }

    /// Whether the responses on this engine allow a part of this length.
    fn fits(&self, part_ms: f64) -> bool {
        !self.kept && self.candidate.load.helping < MOST_UNREAD && part_ms <= self.most_ms
    }

    /// Whether a part can begin now and end before the first planned prefill.
    fn fits_now(&self, part_ms: f64) -> bool {
        self.candidate.load.backlog_ms <= FREE_MS
            && self.takes_ms(part_ms) <= self.planned_ms
            && self.fits(part_ms)
    }

    /// Orders engines by how well suited they are to generate the response: engines for long
    /// prompts first, then those that are free soonest, with a preference for engines that are
    /// decoding already.
    pub(super) fn compare_to_answer(&self, other: &Reader<'_>) -> Ordering {
        let rank = |reader: &Reader<'_>| {
            let load = &reader.candidate.load;
            let apart_ms = if load.requests > 0 { 0.0 } else { WRITERS_APART_MS };
            reader.free_ms + apart_ms - FULLER_MS * f64::from(load.requests)
        };
        other.apart.cmp(&self.apart).then(rank(self).total_cmp(&rank(other)))
    }
}

/// The engines over which queued prompts are split.
pub(super) struct Readers<'a> {
    all: Vec<Reader<'a>>,
    /// Indices, those that are ready soonest first. With this order, the engines for a prompt are
    /// found in one pass for each number of parts, however many engines there are.
    order: Vec<usize>,
}

impl<'a> Readers<'a> {
    /// Creates the plan from engines with their load, preferred ones first.
    pub(super) fn new(candidates: Vec<Candidate<'a>>, engine: &Engine) -> Readers<'a> {
        let all: Vec<Reader<'a>> =
            candidates.into_iter().map(|candidate| Reader::new(candidate, engine)).collect();
        let mut readers = Readers { order: (0..all.len()).collect(), all };
        readers.sort();
        readers
    }

    /// Keeps engines free for short prompts: of the engines for long prompts, those that are free
    /// soonest.
    pub(super) fn keep(&mut self, engines: usize) {
        let apart = self.order.iter().copied().filter(|index| self.all[*index].apart);
        let kept: Vec<usize> = apart.take(engines).collect();
        for index in kept {
            self.all[index].kept = true;
            self.all[index].apart = false;
        }
    }

    /// All engines, by index.
    pub(super) fn all(&self) -> &[Reader<'a>] {
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
        may: impl Fn(&Reader<'_>, f64) -> bool,
        can_answer: impl Fn(&Reader<'_>) -> bool,
    ) -> Option<Share> {
        let useful = ((prefill_ms / LEAST_PART_MS) as usize).clamp(1, MOST_ENGINES);
        let answering = self.answering(can_answer);
        let share = |parts: usize| {
            let part_ms = prefill_ms / parts as f64;
            let may = |index: &usize| may(&self.all[*index], part_ms);
            let free = self.order.iter().copied().filter(may);
            let mut engines: Vec<usize> = free.take(parts).collect();
            if engines.len() < parts {
                return None;
            }
            if let Some(answers) = answering.iter().copied().find(may)
                && !engines.contains(&answers)
            {
                engines[parts - 1] = answers;
            }
            let done = |index: &usize| self.all[*index].done_ms(part_ms);
            let done_ms = engines.iter().map(done).fold(0.0, f64::max);
            Some(Share { done_ms, part_ms, engines })
        };
        let shares = (1..=useful.min(self.all.len())).filter_map(share);
        shares.min_by(|a, b| a.done_ms.total_cmp(&b.done_ms))
    }

    /// The engines that can generate the response, best first.
    fn answering(&self, can_answer: impl Fn(&Reader<'_>) -> bool) -> Vec<usize> {
        let can = |index: &usize| can_answer(&self.all[*index]);
        let mut answering: Vec<usize> = (0..self.all.len()).filter(can).collect();
        answering.sort_by(|a, b| self.all[*a].compare_to_answer(&self.all[*b]));
        answering
    }

    /// The share that finishes soonest, begun now or later, and whether it has only engines for
    /// long prompts: the others are used only where these would finish too late.
    fn any(
        &self,
        prompt: Prompt,
        may: impl Fn(&Reader<'_>) -> bool,
        can_answer: impl Fn(&Reader<'_>) -> bool,
    ) -> Option<(Share, bool)> {
        let Prompt { prefill_ms, left_ms } = prompt;
        let apart = |r: &Reader<'_>, part_ms: f64| r.apart && r.fits(part_ms) && may(r);
        let apart = self.soonest(prefill_ms, apart, &can_answer);
        if let Some(share) = apart.as_ref()
            && share.done_ms <= left_ms * IN_TIME
        {
            return apart.map(|share| (share, true));
        }
        let all = self.soonest(prefill_ms, |r, part_ms| r.fits(part_ms) && may(r), can_answer);
        match (apart, all) {
            (Some(apart), Some(all)) if apart.done_ms <= all.done_ms => Some((apart, true)),
            (_, all) => all.map(|all| (all, false)),
        }
    }

    /// Plans a prompt that cannot begin now: its engines are busy until they have read it. A prompt
    /// whose parts would be too long is skipped.
    pub(super) fn plan(&mut self, prompt: Prompt, most_part_ms: f64) {
        // The engine that generates the response is chosen when the prompt is placed.
        let Some((share, _)) = self.any(prompt, |_| true, |_| false) else { return };
        if share.part_ms > most_part_ms {
            return;
        }
        for index in &share.engines {
            let reader = &mut self.all[*index];
            let begins = share.done_ms - share.part_ms * reader.candidate.pace;
            reader.planned_ms = reader.planned_ms.min(begins);
            reader.free_ms = share.done_ms;
        }
        self.sort();
    }

    /// The share of a prompt that can begin now, unless waiting for busy engines would finish it
    /// sooner.
    pub(super) fn now(
        &self,
        prompt: Prompt,
        may: impl Fn(&Reader<'_>) -> bool,
        can_answer: impl Fn(&Reader<'_>) -> bool,
    ) -> Option<Share> {
        let (best, apart) = self.any(prompt, &may, &can_answer)?;
        let now =
            |r: &Reader<'_>, part_ms: f64| (r.apart || !apart) && r.fits_now(part_ms) && may(r);
        let share = self.soonest(prompt.prefill_ms, now, can_answer)?;
        (share.done_ms <= best.done_ms + WORTH_WAITING_MS).then_some(share)
    }

    /// Records that the engines of a share begin to read a prompt.
    pub(super) fn begin(
        &mut self,
        share: &Share,
        placement: &Placement,
        requirements: &Requirements,
    ) {
        for index in &share.engines {
            let reader = &mut self.all[*index];
            reader.free_ms = reader.done_ms(share.part_ms);
            let load = &mut reader.candidate.load;
            load.backlog_ms = reader.free_ms;
            let id = &reader.candidate.upstream.listed.id;
            if *id == placement.flight.upstream {
                load.requests += 1;
                load.memory += placement.flight.memory;
                let pause_ms = load
                    .pause_ms
                    .map_or(requirements.pause_ms(), |ms| ms.min(requirements.pause_ms()));
                load.pause_ms = Some(pause_ms);
            } else {
                load.helping += 1;
                let helping =
                    placement.flight.helpers.iter().find(|helping| helping.upstream == *id);
                load.memory += helping.map_or(0, |helping| helping.held);
            }
            reader.apart = !reader.candidate.is_crowded();
        }
        self.sort();
    }
}
