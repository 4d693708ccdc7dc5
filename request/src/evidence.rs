//! When an engine has to be asked for a report, by what its recent attempts have shown.
//!
//! Load pattern B on a quiet day: 69 engines, most of them in use now and then, are asked every 600 ms each. Events at the
//! predicted pace show the same. An engine that turns four times slower or dark while it is used is asked no later
//! than 600 ms after that, as with polling.

use std::time::{Duration, Instant};

use foldlock_base::clock::from_millis;
use foldlock_version::routes::Engine;

use crate::forecast;
use crate::report::Observed;

/// Interval between report requests to an engine in doubt, and the age up to which evidence counts for an engine in use. A
/// slow or unresponsive engine delays most prompts that are split over several engines, and these arrive several times a
/// second.
pub const POLL_INTERVAL: Duration = Duration::from_millis(600);

/// Interval between decisions. A report is requested one such interval before a limit is reached.
pub const TICK: Duration = Duration::from_millis(50);

/// Interval between report requests to engines that are unused, or whose first events are in time. Reports count for 2.5 s,
/// so a slowdown too small to be visible in first events is known in the same way as with polling, but up to 2.4 s later.
const ROUTINE_INTERVAL: Duration = Duration::from_millis(2_400);

/// Minimum time between two report requests to an engine. Late events of many attempts come together.
const MIN_GAP: Duration = Duration::from_millis(150);

/// How long an engine is in doubt after the last sign of a fault, if no later first event is in time. Engines that failed are
/// avoided for about as long, so that there is no other evidence.
const DOUBT_TIME: Duration = Duration::from_secs(5);

/// Ratio of measured to predicted time up to which a first event is in time. One in ten takes 1.3 times as long as
/// predicted. An engine that is four times slower exceeds this even if the prediction is 2.6 times too high.
const MAX_RATIO: f64 = 1.5;

/// Added to the time of a first event: announcement to the scheduler (5 ms), and delays on VMs with an eighth of a core.
const SLACK: Duration = Duration::from_millis(20);

/// Maximum time to a first event that is judged. No caller waits longer.
const MAX_PREDICTED: Duration = Duration::from_secs(3_600);

/// The slowdown that must be detected within [`POLL_INTERVAL`]: that of a third of the engines of load pattern B.
const SLOWDOWN: f64 = 4.0;

/// The predicted first event of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Expectation {
    sent: Instant,
    predicted: Duration,
}

impl Expectation {
    /// The expectation for an attempt that is sent now; none without a prediction.
    pub fn new(predicted_ms: f64, sent: Instant) -> Option<Expectation> {
        let predicted = Duration::try_from_secs_f64(predicted_ms / 1e3).ok()?;
        let is_plausible = !predicted.is_zero() && predicted < MAX_PREDICTED;
        is_plausible.then_some(Expectation { sent, predicted })
    }

    /// Time after which the first event is late.
    pub fn late_after(&self) -> Instant {
        self.sent + self.predicted.mul_f64(MAX_RATIO) + SLACK
    }

    /// Until when a first event at this time shows that the engine was not slow; none if the event is late. With
    /// `s` the time until the engine turned slow, the event takes `s + SLOWDOWN * (predicted - s)`.
    fn shown_until(&self, at: Instant) -> Option<Instant> {
        if at > self.late_after() {
            return None;
        }
        let measured = at.saturating_duration_since(self.sent).as_secs_f64();
        let sound = (SLOWDOWN * self.predicted.as_secs_f64() - measured) / (SLOWDOWN - 1.0);
        Some(self.sent + Duration::from_secs_f64(sound.clamp(0.0, measured)))
    }
}

/// The pace of the events of one response after the first, as its VM receives them.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    limit: Duration,
    last: Option<Instant>,
}

impl Pace {
    /// The pace of an engine with these figures. None if it could be four times slower while it runs a single request, and
    /// still as fast as when it is full.
    pub fn new(engine: &Engine) -> Option<Pace> {
        let full_ms = forecast::pass_ms(engine, engine.slots, engine.memory.0);
        let full = from_millis(full_ms);
        let limit = full.mul_f64(MAX_RATIO) + SLACK;
        let slow_ms = forecast::pass_ms(engine, 1, 0) * SLOWDOWN;
        (slow_ms > limit.as_secs_f64() * 1e3).then_some(Pace { limit, last: None })
    }

    /// Records events that arrived together. Returns until when they show that the engine was not slow: the arrival of
    /// the previous ones, since it may have turned slow after these.
    pub fn on_events(&mut self, now: Instant) -> Option<Instant> {
        self.last.replace(now).filter(|last| age(*last, now) <= self.limit)
    }
}

/// A sign of a fault in attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// An attempt failed.
    Failure,
    /// A first event came late.
    Late,
    /// A first event has not come in time.
    Missing,
}

impl Doubt {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Doubt::Failure => "failure",
            Doubt::Late => "late",
            Doubt::Missing => "missing",
        }
    }
}

/// Why an engine is asked for a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Nothing is known of it.
    Unknown,
    /// It did not respond to the last request for a report.
    Unresponsive,
    /// The last request for a report had no result.
    Lost,
    /// It was slow by its last report.
    Slow,
    /// Attempts are a reason for doubt.
    Doubt(Doubt),
    /// It is part of a long prompt, and its evidence is old.
    LongPrompt,
    /// It was used after its last evidence, which is old.
    Used,
    /// Its last report is old, though it is unused or has evidence.
    Routine,
}

impl Reason {
    /// The name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Unknown => "unknown",
            Reason::Unresponsive => "unresponsive",
            Reason::Lost => "lost",
            Reason::Slow => "slow",
            Reason::Doubt(doubt) => doubt.as_str(),
            Reason::LongPrompt => "long_prompt",
            Reason::Used => "used",
            Reason::Routine => "routine",
        }
    }
}

/// The signs of faults that put an engine in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Signs {
    first: Doubt,
    since: Instant,
    last: Instant,
    /// Whether [`Evidence::take_doubt`] has returned them.
    taken: bool,
}

/// What is known of one incarnation of an engine besides its last report.
#[derive(Debug, Clone, Copy, Default)]
pub struct Evidence {
    /// Until when events show that it was neither slow nor dark.
    sound: Option<Instant>,
    signs: Option<Signs>,
    asked: Option<Instant>,
    /// Begin of its current use. Uses that are less than [`POLL_INTERVAL`] apart are one.
    used_since: Option<Instant>,
    last_used: Option<Instant>,
    /// When a long prompt last relied on it.
    relied: Option<Instant>,
}

impl Evidence {
    /// Records the first event of an attempt.
    pub fn on_first_event(&mut self, expected: Expectation, now: Instant) {
        let Some(until) = expected.shown_until(now) else {
            return self.on_doubt(Doubt::Late, now);
        };
        self.on_sound(until);
        // First events of requests that were sent before the fault may still be in time.
        if self.signs.is_some_and(|signs| signs.last < expected.sent) {
            self.signs = None;
        }
    }

    /// Records a sign of a fault.
    pub fn on_doubt(&mut self, doubt: Doubt, now: Instant) {
        let new = Signs { first: doubt, since: now, last: now, taken: false };
        self.signs = Some(Signs { last: now, ..self.signs(now).unwrap_or(new) });
    }

    /// Records that a long prompt relies on it, or may do so soon.
    pub fn on_long_prompt(&mut self, now: Instant) {
        self.relied = Some(now);
    }

    /// Records that it was neither slow nor dark at a time.
    pub fn on_sound(&mut self, at: Instant) {
        self.sound = self.sound.max(Some(at));
    }

    /// Records that it has attempts now.
    pub fn on_use(&mut self, now: Instant) {
        if self.last_used.is_none_or(|last| age(last, now) >= POLL_INTERVAL) {
            self.used_since = Some(now);
        }
        self.last_used = Some(now);
    }

    /// Records that its report is requested.
    pub fn on_asked(&mut self, now: Instant) {
        self.asked = Some(now);
    }

    /// The doubt that attempts give reason for, once for each time that the engine comes into doubt.
    pub fn take_doubt(&mut self, now: Instant) -> Option<Doubt> {
        let signs = self.signs(now).filter(|signs| !signs.taken)?;
        self.signs = Some(Signs { taken: true, ..signs });
        Some(signs.first)
    }

    fn signs(&self, now: Instant) -> Option<Signs> {
        self.signs.filter(|signs| age(signs.last, now) < DOUBT_TIME)
    }

    /// Until when events and the last report show that it was neither slow nor dark.
    pub fn sound_until(&self, observed: Option<Observed>) -> Option<Instant> {
        let is_healthy = |o: &Observed| o.report.is_some_and(|report| report.slowdown <= 1.0);
        self.sound.max(observed.filter(is_healthy).map(|o| o.at))
    }

    /// Why its report has to be requested now; none if that is not necessary. `observed` is its last report.
    pub fn due(&self, observed: Option<Observed>, now: Instant) -> Option<Reason> {
        if self.asked.is_some_and(|asked| age(asked, now) < MIN_GAP) {
            return None;
        }
        let is_over = |last: Option<Instant>, interval| {
            last.is_none_or(|last| age(last, now) + TICK > interval)
        };
        let is_asked_again = is_over(self.asked, POLL_INTERVAL);
        let is_asked_since = |at: Instant| self.asked.is_some_and(|asked| asked >= at);
        let sound = self.sound_until(observed);
        if let Some(signs) = self.signs(now) {
            let is_due = is_asked_again || !is_asked_since(signs.since);
            return is_due.then_some(Reason::Doubt(signs.first));
        }
        let report = observed.map(|observed| observed.report);
        let in_doubt = match report {
            None => Some(Reason::Unknown),
            Some(None) => Some(Reason::Unresponsive),
            Some(Some(report)) if report.slowdown > 1.0 => Some(Reason::Slow),
            Some(Some(_)) if observed.is_some_and(|o| self.asked > Some(o.at)) => {
                Some(Reason::Lost)
            }
            Some(Some(_)) => None,
        };
        if in_doubt.is_some() {
            return in_doubt.filter(|_| is_asked_again);
        }
        let relies = |at: &Instant| {
            !is_asked_since(*at) && sound.is_none_or(|sound| age(sound, *at) + TICK > POLL_INTERVAL)
        };
        if self.relied.is_some_and(|at| relies(&at)) {
            return Some(Reason::LongPrompt);
        }
        // A fault since then would be unknown, and the attempts would have met it.
        let known = sound.max(self.asked);
        if self.last_used > known && is_over(known.max(self.used_since), POLL_INTERVAL) {
            return Some(Reason::Used);
        }
        let last = observed.map(|observed| observed.at).max(self.asked);
        is_over(last, ROUTINE_INTERVAL).then_some(Reason::Routine)
    }
}

fn age(at: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(at)
}
