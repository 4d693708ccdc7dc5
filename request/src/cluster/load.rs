//! The load of one upstream, updated as attempts begin and end there.

use std::cell::Cell;
use std::time::{Duration, Instant};

use foldlock_version::routes::Engine;
use serde::{Deserialize, Serialize};

use crate::flight::Tracked;
use crate::forecast;

/// Responses whose callers allow at most this pause between events are interactive: a long prefill on the same
/// upstream would exceed it.
pub const BRISK_MS: u32 = 400;

/// Summary of the in-flight work of one upstream.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// In-flight requests to which it responds, prefill or decode.
    pub requests: u32,
    /// Those of them that are decoding.
    pub writers: u32,
    /// The shortest pause between events that one of their callers allows, milliseconds; none without requests.
    pub pause_ms: Option<u32>,
    /// Interactive ones among them, whose callers allow pauses of at most [`BRISK_MS`].
    pub brisk: u32,
    /// The shortest pause that a caller of the others allows, milliseconds.
    pub calm_ms: Option<u32>,
    /// Prefill parts that it still has to read for prompts of other upstreams.
    pub helping: u32,
    /// Memory in use, tokens.
    pub memory: u64,
    /// Predicted time until all prompts are read, milliseconds.
    pub backlog_ms: f64,
    /// Predicted time until the current pass ends, milliseconds. A prompt sent now is read in the next pass.
    pub pass_ms: f64,
    /// Prefill already due in the next pass, milliseconds.
    pub next_ms: f64,
    /// How long the first request among those has waited for the next pass, milliseconds.
    pub waited_ms: f64,
}

/// The number of a flight, unique within this process.
pub(super) type Serial = u64;

/// A request to which the upstream responds, or a prefill part that it reads for another upstream.
#[derive(Debug)]
struct Entry {
    serial: Serial,
    sent: Instant,
    /// Prefill time, milliseconds.
    part_ms: f64,
    memory: u64,
    pause_ms: u32,
    /// Whether the upstream responds to the request; otherwise it reads a part for another one.
    answers: bool,
    /// Whether the prefill is done.
    read: bool,
    /// Whether the prompt is split among several upstreams.
    shared: bool,
}

/// The in-flight work of one upstream.
#[derive(Debug, Default)]
pub(super) struct Work {
    entries: Vec<Entry>,
    /// The start of a recent pass, derived from events: the first and the last event of a response are sent at the
    /// end of a pass.
    boundary: Option<Instant>,
    /// The sum, cached until an entry changes. The loads of 150 upstreams take a tenth of the time that they take
    /// without the cache.
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

/// The current pass.
#[derive(Debug, Clone, Copy, Default)]
struct Pass {
    /// When it ends; none if the upstream is idle.
    ends: Option<Instant>,
    /// Prefill due in the next pass, milliseconds.
    next_ms: f64,
    /// Since when the first request that this upstream responds to has waited for the next pass.
    waits: Option<Instant>,
}

impl Work {
    /// Adds a flight to which this upstream responds.
    pub(super) fn answer(&mut self, serial: Serial, tracked: &Tracked) {
        let flight = &tracked.flight;
        self.add(Entry {
            serial,
            sent: tracked.sent,
            part_ms: f64::from(flight.part_ms),
            memory: flight.memory,
            pause_ms: flight.pause_ms,
            answers: true,
            read: flight.decoding,
            shared: !flight.helpers.is_empty(),
        });
    }

    /// Adds a flight for which this upstream reads a prefill part and reserves that much memory.
    pub(super) fn help(&mut self, serial: Serial, tracked: &Tracked, held: u64) {
        self.add(Entry {
            serial,
            sent: tracked.sent,
            part_ms: f64::from(tracked.flight.part_ms),
            memory: held,
            pause_ms: u32::MAX,
            answers: false,
            read: tracked.flight.decoding,
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

    /// Records the first event of a flight: its prefill is done. Parts without reserved memory are removed.
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

    /// Removes a flight that has ended.
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

    /// The current load, predicted for an engine with these figures that takes `pace` times as long as they state.
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
        // While requests decode, a prefill part is done at the end of the pass that reads it.
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

    /// Simulates the passes from the last recorded start of a pass on. Each pass reads the prompts that were sent
    /// before it began, and runs the steps of the decoding requests.
    ///
    /// An estimate from the prefill ahead and half a pass is less accurate: in a burst of 900 short prompts, one
    /// first event in ten took 1.9 times as long as that predicted. With the simulation it is 1.3 times.
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
                // All further passes are equal: skip those that have ended.
                let over = now.saturating_duration_since(at).as_nanos() / lasts.as_nanos().max(1);
                at += lasts * over as u32;
            }
        }
    }

    /// When all prompts are read, one after the other in the order in which they were sent.
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

/// Milliseconds from `earlier` to `later`, 0 if `later` is before `earlier`.
fn millis(later: Instant, earlier: Instant) -> f64 {
    later.saturating_duration_since(earlier).as_secs_f64() * 1e3
}
