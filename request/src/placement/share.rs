//! Which engines read a long prompt, and when: in even parts, done as soon as possible.
//!
//! The reading is the same however many engines share it, so more of them are done sooner; but each
//! part is read inside the passes of its engine, so engines apart from short answers come first.

use std::cmp::Ordering;

use foldlock_version::routes::Engine;

use super::candidate::Candidate;
use super::{Placement, Requirements};
use crate::forecast;

/// The shortest part of a long read, milliseconds: under it the steps of each pass cost more than
/// the split gains.
const LEAST_PART_MS: f64 = 25.0;

/// The most engines that read one prompt: the one that answers and 16 helpers, the platform's limit.
pub(super) const MOST_ENGINES: usize = 17;

/// The most reading that an engine may have ahead, milliseconds, to take a part now: under one short
/// prompt's.
const FREE_MS: f64 = 20.0;

/// The most parts of other prompts that an engine may still have to read to take one more: it reads
/// the newest part first, so each one that is added holds up all that came before it.
const MOST_UNREAD: u32 = 3;

/// The part of the time left for a first event within which engines apart from short answers have to
/// be done; else the prompt is read beside them.
const IN_TIME: f64 = 0.8;

/// How much later than by waiting a prompt may be done to be placed at once, milliseconds: under one
/// part's cost in steps.
const WORTH_WAITING_MS: f64 = 20.0;

/// A usual part, milliseconds, by which engines that are slow are put back in the order.
const USUAL_PART_MS: f64 = 100.0;

/// How much sooner an engine that answers nothing has to be free to be the one that answers,
/// milliseconds. An engine that plays steps anyway loses nothing by one writer more; one with a single
/// writer cannot read parts longer than that one's pauses may be, and reads each with a pass of steps. So long
/// answers write on a few engines, and not on all of them.
const WRITERS_APART_MS: f64 = 200.0;

/// The same for each request more that it answers, milliseconds.
const FULLER_MS: f64 = 10.0;

/// An engine, with what the prompts before this one in the line will read there.
pub(super) struct Reader<'a> {
    /// The engine and its load.
    pub(super) candidate: Candidate<'a>,
    /// Whether it is apart from short answers, but for a lone one.
    pub(super) apart: bool,
    /// When it is free of all that is planned, milliseconds from now.
    pub(super) free_ms: f64,
    /// When the first read that is planned begins there; infinite while none is.
    planned_ms: f64,
    /// What the steps of its writers add to a read, milliseconds. Without it parts come to lie on
    /// parts that are unread.
    steps_ms: f64,
    /// The longest part that fits between the answers here, milliseconds.
    most_ms: f64,
    /// Whether it is kept for short prompts.
    kept: bool,
}

/// Engines that read one prompt in even parts.
pub(super) struct Share {
    /// When the last of them is done, milliseconds from now.
    pub(super) done_ms: f64,
    /// Milliseconds that each reads.
    pub(super) part_ms: f64,
    /// Their indices.
    pub(super) engines: Vec<usize>,
}

/// A prompt to be read.
#[derive(Debug, Clone, Copy)]
pub(super) struct Prompt {
    /// Milliseconds of reading on one engine.
    pub(super) read_ms: f64,
    /// Milliseconds left for a first event in time; negative once it is late.
    pub(super) left_ms: f64,
}

impl<'a> Reader<'a> {
    fn new(candidate: Candidate<'a>, engine: &Engine) -> Reader<'a> {
        let load = &candidate.load;
        let pass_ms = forecast::pass_ms(engine, load.decoding, load.memory) * candidate.pace;
        Reader {
            apart: !candidate.is_crowded(),
            free_ms: load.backlog_ms,
            planned_ms: f64::INFINITY,
            steps_ms: if load.decoding > 0 { pass_ms } else { 0.0 },
            most_ms: candidate.part_allowance_ms(engine),
            kept: false,
            candidate,
        }
    }

    /// When it is done with a part that follows what is planned, milliseconds from now.
    fn done_ms(&self, part_ms: f64) -> f64 {
        self.free_ms + self.takes_ms(part_ms)
    }

    /// How long a part takes here, milliseconds.
    fn takes_ms(&self, part_ms: f64) -> f64 {
        part_ms * self.candidate.pace + self.steps_ms
    }

    /// When it would be done with a usual part.
    fn ready_ms(&self) -> f64 {
        self.done_ms(USUAL_PART_MS)
    }

    /// Whether a part fits between the answers here.
    fn fits(&self, part_ms: f64) -> bool {
        !self.kept && self.candidate.load.helper_parts < MOST_UNREAD && part_ms <= self.most_ms
    }

    /// Whether a part fits that begins now and ends before what is planned.
    fn fits_now(&self, part_ms: f64) -> bool {
        self.candidate.load.backlog_ms <= FREE_MS
            && self.takes_ms(part_ms) <= self.planned_ms
            && self.fits(part_ms)
    }

    /// Orders engines by how well they answer: those apart from short answers first, then those that
    /// are free soonest, one that writes anyway preferred.
    pub(super) fn compare_to_answer(&self, other: &Reader<'_>) -> Ordering {
        let rank = |reader: &Reader<'_>| {
            let load = &reader.candidate.load;
            let apart_ms = if load.requests > 0 { 0.0 } else { WRITERS_APART_MS };
            reader.free_ms + apart_ms - FULLER_MS * f64::from(load.requests)
        };
        other.apart.cmp(&self.apart).then(rank(self).total_cmp(&rank(other)))
    }
}

/// The engines among which a line of prompts is divided.
pub(super) struct Readers<'a> {
    all: Vec<Reader<'a>>,
    /// Indices, those that are ready soonest first. Kept in order, a prompt finds its engines in one
    /// walk for each number of parts, whatever the number of engines.
    order: Vec<usize>,
}

impl<'a> Readers<'a> {
    /// Engines with their load, those first that are to be taken first.
    pub(super) fn new(candidates: Vec<Candidate<'a>>, engine: &Engine) -> Readers<'a> {
        let all: Vec<Reader<'a>> =
            candidates.into_iter().map(|candidate| Reader::new(candidate, engine)).collect();
        let mut readers = Readers { order: (0..all.len()).collect(), all };
        readers.sort();
        readers
    }

    /// Keeps engines for short prompts: of those apart from short answers the ones that are free first.
    pub(super) fn keep(&mut self, engines: usize) {
        let apart = self.order.iter().copied().filter(|index| self.all[*index].apart);
        let kept: Vec<usize> = apart.take(engines).collect();
        for index in kept {
            self.all[index].kept = true;
            self.all[index].apart = false;
        }
    }

    /// All engines, by their index.
    pub(super) fn all(&self) -> &[Reader<'a>] {
        &self.all
    }

    fn sort(&mut self) {
        let all = &self.all;
        self.order.sort_by(|a, b| all[*a].ready_ms().total_cmp(&all[*b].ready_ms()));
    }

    /// The engines that are done with a prompt soonest, among those that `may` read a part of that
    /// many milliseconds; one of those that can answer it is among them, if any can.
    fn soonest(
        &self,
        read_ms: f64,
        may: impl Fn(&Reader<'_>, f64) -> bool,
        can_answer: impl Fn(&Reader<'_>) -> bool,
    ) -> Option<Share> {
        let useful = ((read_ms / LEAST_PART_MS) as usize).clamp(1, MOST_ENGINES);
        let answering = self.answering(can_answer);
        let share = |parts: usize| {
            let part_ms = read_ms / parts as f64;
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

    /// The engines that can answer, the best first.
    fn answering(&self, can_answer: impl Fn(&Reader<'_>) -> bool) -> Vec<usize> {
        let can = |index: &usize| can_answer(&self.all[*index]);
        let mut answering: Vec<usize> = (0..self.all.len()).filter(can).collect();
        answering.sort_by(|a, b| self.all[*a].compare_to_answer(&self.all[*b]));
        answering
    }

    /// The share that is done soonest, begun now or later, and whether it is of engines apart from
    /// short answers only: beside these a prompt is read only where the others are too late.
    fn any(
        &self,
        prompt: Prompt,
        may: impl Fn(&Reader<'_>) -> bool,
        can_answer: impl Fn(&Reader<'_>) -> bool,
    ) -> Option<(Share, bool)> {
        let Prompt { read_ms, left_ms } = prompt;
        let apart = |r: &Reader<'_>, part_ms: f64| r.apart && r.fits(part_ms) && may(r);
        let apart = self.soonest(read_ms, apart, &can_answer);
        if let Some(share) = apart.as_ref()
            && share.done_ms <= left_ms * IN_TIME
        {
            return apart.map(|share| (share, true));
        }
        let all = self.soonest(read_ms, |r, part_ms| r.fits(part_ms) && may(r), can_answer);
        match (apart, all) {
            (Some(apart), Some(all)) if apart.done_ms <= all.done_ms => Some((apart, true)),
            (_, all) => all.map(|all| (all, false)),
        }
    }

    /// Plans a prompt that cannot begin now: its engines are busy until they have read it. A prompt
    /// whose parts would be too long is passed over.
    pub(super) fn plan(&mut self, prompt: Prompt, most_part_ms: f64) {
        // Which engine answers is decided when its turn comes.
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

    /// The share of a prompt that begins now, unless it is done sooner by waiting for engines that
    /// are busy.
    pub(super) fn now(
        &self,
        prompt: Prompt,
        may: impl Fn(&Reader<'_>) -> bool,
        can_answer: impl Fn(&Reader<'_>) -> bool,
    ) -> Option<Share> {
        let (best, apart) = self.any(prompt, &may, &can_answer)?;
        let now =
            |r: &Reader<'_>, part_ms: f64| (r.apart || !apart) && r.fits_now(part_ms) && may(r);
        let share = self.soonest(prompt.read_ms, now, can_answer)?;
        (share.done_ms <= best.done_ms + WORTH_WAITING_MS).then_some(share)
    }

    /// A prompt begins: its engines read it from now on.
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
                load.helper_parts += 1;
                let helping =
                    placement.flight.helpers.iter().find(|helping| helping.upstream == *id);
                load.memory += helping.map_or(0, |helping| helping.reserved);
            }
            reader.apart = !reader.candidate.is_crowded();
        }
        self.sort();
    }
}
