//! What is under way at one upstream, kept up to date by what begins and ends there.

use std::cell::Cell;
use std::time::{Duration, Instant};

use foldlock_version::routes::Engine;
use serde::{Deserialize, Serialize};

use crate::flight::Tracked;
use crate::forecast;

/// A pause at or under this is short: no long read belongs beside such an answer.
pub const BRISK_MS: u32 = 400;

/// What is under way at one upstream, summed up.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that it answers.
    pub requests: u32,
    /// Those of them that write.
    pub writers: u32,
    /// The shortest pause that one of them may have, milliseconds; none where there are none.
    pub pause_ms: Option<u32>,
    /// Requests among them whose pauses are to be short, at most [`BRISK_MS`].
    pub brisk: u32,
    /// The shortest pause that one of the others may have, milliseconds.
    pub calm_ms: Option<u32>,
    /// Parts of other upstreams' prompts that it still has to read.
    pub helping: u32,
    /// Tokens of memory.
    pub memory: u64,
    /// Milliseconds of reading still ahead.
    pub backlog_ms: f64,
    /// Milliseconds until the pass that runs is over: what is sent now is read in the next one.
    pub pass_ms: f64,
    /// Milliseconds of reading that the next pass holds by now.
    pub next_ms: f64,
    /// How long the first of the prompts that it answers waits for that pass, milliseconds.
    pub waited_ms: f64,
}

/// The number of a flight in this cluster state.
pub(super) type Serial = u64;

/// A request that the upstream answers, or a part that it reads for another one.
#[derive(Debug)]
struct Entry {
    serial: Serial,
    sent: Instant,
    /// Milliseconds of reading.
    part_ms: f64,
    memory: u64,
    pause_ms: u32,
    /// Whether it answers; else it helps.
    answers: bool,
    /// Whether the prompt is read by now.
    read: bool,
    /// Whether several upstreams read the prompt.
    shared: bool,
}

/// What is under way at one upstream.
#[derive(Debug, Default)]
pub(super) struct Work {
    entries: Vec<Entry>,
    /// When a pass is known to have begun: the first and the last event of an answer come at the end
    /// of one.
    boundary: Option<Instant>,
    /// The sum, until something changes: a look at 150 upstreams takes a tenth of the time that
    /// adding them up each time does.
    known: Cell<Option<Known>>,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    engine: bool,
    pace: f64,
    sum: Sum,
}

#[derive(Debug, Clone, Copy)]
struct Sum {
    requests: u32,
    writers: u32,
    pause_ms: Option<u32>,
    brisk: u32,
    calm_ms: Option<u32>,
    helping: u32,
    memory: u64,
    free_at: Option<Instant>,
    pass: Pass,
}

/// The pass that runs.
#[derive(Debug, Clone, Copy, Default)]
struct Pass {
    /// When it is over; none where nothing runs.
    ends: Option<Instant>,
    /// Milliseconds of reading that wait for the next one.
    next_ms: f64,
    /// Since when the first prompt to be answered waits for it.
    waits: Option<Instant>,
}

impl Work {
    /// A flight that this upstream answers begins.
    pub(super) fn answer(&mut self, serial: Serial, tracked: &Tracked) {
        let flight = &tracked.flight;
        self.add(Entry {
            serial,
            sent: tracked.sent,
            part_ms: f64::from(flight.part_ms),
            memory: flight.memory,
            pause_ms: flight.pause_ms,
            answers: true,
            read: flight.writing,
            shared: !flight.helpers.is_empty(),
        });
    }

    /// A flight begins for which this upstream reads a part and holds that much memory.
    pub(super) fn help(&mut self, serial: Serial, tracked: &Tracked, held: u64) {
        self.add(Entry {
            serial,
            sent: tracked.sent,
            part_ms: f64::from(tracked.flight.part_ms),
            memory: held,
            pause_ms: u32::MAX,
            answers: false,
            read: tracked.flight.writing,
            shared: true,
        });
    }

    fn add(&mut self, entry: Entry) {
        if self.entries.is_empty() {
            self.boundary = Some(entry.sent);
        }
        self.entries.push(entry);
        self.known.set(None);
    }

    /// A flight has its first event: its prompt is read, and who only read is done.
    pub(super) fn began(&mut self, serial: Serial, now: Instant) {
        if self.entries.iter().any(|e| e.serial == serial && e.answers) {
            self.boundary = Some(now);
        }
        self.entries.retain(|e| e.serial != serial || e.answers || e.memory > 0);
        for entry in self.entries.iter_mut().filter(|entry| entry.serial == serial) {
            entry.read = true;
        }
        self.known.set(None);
    }

    /// A flight ends.
    pub(super) fn end(&mut self, serial: Serial, now: Instant) {
        if self.entries.iter().any(|e| e.serial == serial && e.answers && e.read) {
            self.boundary = Some(now);
        }
        self.entries.retain(|entry| entry.serial != serial);
        self.known.set(None);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The load now, of an engine with these figures that takes `pace` times as long as they say.
    pub(super) fn load(&self, engine: Option<&Engine>, pace: f64, now: Instant) -> Load {
        let known = self.known.get().filter(|k| k.engine == engine.is_some() && k.pace == pace);
        let known = known.filter(|k| k.sum.pass.ends.is_none_or(|ends| ends > now));
        let sum = known.map_or_else(|| self.sum(engine, pace, now), |known| known.sum);
        self.known.set(Some(Known { engine: engine.is_some(), pace, sum }));
        let ahead = |free: Instant| millis(free, now);
        Load {
            requests: sum.requests,
            writers: sum.writers,
            pause_ms: sum.pause_ms,
            brisk: sum.brisk,
            calm_ms: sum.calm_ms,
            helping: sum.helping,
            memory: sum.memory,
            backlog_ms: sum.free_at.map_or(0.0, ahead),
            pass_ms: sum.pass.ends.map_or(0.0, ahead),
            next_ms: sum.pass.next_ms,
            waited_ms: sum.pass.waits.map_or(0.0, |since| millis(now, since)),
        }
    }

    fn sum(&self, engine: Option<&Engine>, pace: f64, now: Instant) -> Sum {
        let answers = || self.entries.iter().filter(|entry| entry.answers);
        let mut sum = Sum {
            requests: answers().count() as u32,
            writers: answers().filter(|entry| entry.read).count() as u32,
            pause_ms: answers().map(|entry| entry.pause_ms).min(),
            brisk: answers().filter(|entry| entry.pause_ms <= BRISK_MS).count() as u32,
            calm_ms: answers().map(|entry| entry.pause_ms).filter(|ms| *ms > BRISK_MS).min(),
            helping: self.entries.iter().filter(|e| !e.answers && !e.read).count() as u32,
            memory: self.entries.iter().map(|entry| entry.memory).sum(),
            free_at: None,
            pass: Pass::default(),
        };
        // A part ends with the pass that reads it, where some request writes.
        let pass_ms = match engine {
            Some(engine) if sum.writers > 0 => forecast::pass_ms(engine, sum.writers, sum.memory),
            _ => 0.0,
        };
        sum.free_at = self.free_at(pass_ms, pace);
        if let Some(engine) = engine {
            sum.pass = self.pass(engine, &sum, pace, now);
        }
        sum
    }

    /// Plays the passes from the last known beginning of one on: each reads what was sent before it
    /// began, and plays the steps of those who write.
    ///
    /// With the reads ahead and half a pass in its place, one first event in ten took 1.9 times as long
    /// as predicted; so it is 1.3 times (900 short prompts in a burst).
    fn pass(&self, engine: &Engine, sum: &Sum, pace: f64, now: Instant) -> Pass {
        let Some(mut at) = self.boundary else { return Pass::default() };
        let mut unread: Vec<&Entry> = self.entries.iter().filter(|entry| !entry.read).collect();
        unread.sort_by_key(|entry| entry.sent);
        let mut unread = unread.into_iter().peekable();
        let mut writers = sum.writers;
        loop {
            let mut reads_ms = 0.0;
            let mut begin = 0;
            while let Some(entry) = unread.next_if(|entry| entry.sent <= at) {
                reads_ms += entry.part_ms;
                begin += u32::from(entry.answers);
            }
            if reads_ms == 0.0 && writers == 0 {
                match unread.peek() {
                    Some(entry) => at = entry.sent,
                    None => return Pass::default(),
                }
                continue;
            }
            let writing = writers + begin;
            let steps_ms =
                if writing > 0 { forecast::pass_ms(engine, writing, sum.memory) } else { 0.0 };
            let lasts = Duration::from_secs_f64(((steps_ms + reads_ms) * pace / 1e3).max(1e-3));
            if at + lasts > now {
                let next: Vec<&Entry> = unread.collect();
                let waits = next.iter().find(|entry| entry.answers).map(|entry| entry.sent);
                let next_ms = next.iter().map(|entry| entry.part_ms).sum();
                return Pass { ends: Some(at + lasts), next_ms, waits };
            }
            writers += begin;
            at += lasts;
            if unread.peek().is_none() && begin == 0 {
                // Nothing changes from here on: the passes that are over are left out.
                let over = now.saturating_duration_since(at).as_nanos() / lasts.as_nanos().max(1);
                at += lasts * over as u32;
            }
        }
    }

    /// When all prompts are read: one after the other, in the order in which they were sent.
    fn free_at(&self, pass_ms: f64, pace: f64) -> Option<Instant> {
        let mut unread: Vec<&Entry> = self.entries.iter().filter(|entry| !entry.read).collect();
        unread.sort_by_key(|entry| entry.sent);
        let mut free_at = unread.first()?.sent;
        for entry in unread {
            let steps_ms = if entry.shared { pass_ms } else { 0.0 };
            let read = Duration::from_secs_f64((entry.part_ms + steps_ms) * pace / 1e3);
            free_at = free_at.max(entry.sent) + read;
        }
        Some(free_at)
    }
}

/// Milliseconds from `earlier` to `later`, 0 where that is past.
fn millis(later: Instant, earlier: Instant) -> f64 {
    later.saturating_duration_since(earlier).as_secs_f64() * 1e3
}
