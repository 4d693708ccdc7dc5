//! Forecasts when a queued request starts, from the capacity that recent grants show.
//!
//! Answers load pattern A (`docs/design/overload.md`): capacity is scarce for some seconds, and whether a
//! request can be served has to be decided at once. Alternatives are in `docs/design/admission.md`.

use std::collections::VecDeque;
use std::fmt;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_version::routes::Engine;

use crate::forecast;

/// Share of the rate that is left to requests that cannot be in time, as one grant in eight goes to
/// them. A late response is worth a tenth to four tenths of one in time, so most of the capacity
/// belongs to the others.
pub const LATE_SHARE: f64 = 1.0 / 8.0;

/// Time with a backlog over which the rate is measured, and time over which arrivals are counted.
/// Callers of short prompts wait for 10 s: a fifth of that is lost at most before a loss of capacity
/// is known.
const WINDOW: Duration = Duration::from_secs(2);

/// Length of one measurement: the longest pass of an engine, which frees its slots at its end.
const SEGMENT: Duration = Duration::from_millis(100);

/// Shortest backlog that is measured: five passes, or one usual part of a long prompt. A shorter one
/// ends with the next pass or part, whose grants show the demand, not the capacity.
const MIN_BACKLOG: Duration = Duration::from_millis(500);

/// Age after which a measurement is discarded: the time limit of short prompts. All requests that
/// ran then have ended.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Longest time between two calls during a backlog. The scheduler places queued requests every
/// 20 ms; after a longer gap the process was suspended, and the time says nothing about capacity.
const MAX_GAP: Duration = Duration::from_millis(500);

/// A measured rate above this multiple of the engine model's is not capacity: upstreams that refuse
/// all requests at once cause it. Responses of a quarter of the usual length do not.
const MAX_RATIO: f64 = 4.0;

/// Lowest measured rate, as a share of the engine model's. At this rate a full queue is rejected, but
/// single requests stay queued and show when capacity is back.
const MIN_RATIO: f64 = 0.01;

/// Rate where neither data nor an engine model exists: no request is rejected for lack of data.
const UNKNOWN_RATE: f64 = 1e9;

/// Longest forecast. No caller waits for as long.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// Share of the time left within which a request must be forecast to start to count as in time: one
/// prediction in ten is a third too low.
const IN_TIME_SHARE: f64 = 0.75;

/// Milliseconds in a second, the prefill that an engine at its stated speed does.
const MS_PER_S: f64 = 1e3;

/// The kinds of requests whose capacity is measured separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Short requests. Work is their number.
    Short,
    /// Long prompts. Work is their prefill time on one engine, milliseconds.
    Long,
}

impl Kind {
    /// Its name in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Short => "short",
            Kind::Long => "long",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A forecast start and the actual one, both as time from the forecast.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Error {
    /// The kind of request.
    pub kind: Kind,
    /// Forecast time until the start.
    pub forecast: Duration,
    /// Actual time until the start.
    pub actual: Duration,
}

impl Error {
    /// Difference between the forecast and the actual start.
    pub fn difference(&self) -> Duration {
        self.actual.abs_diff(self.forecast)
    }

    /// Whether the request started later than forecast.
    pub fn is_late(&self) -> bool {
        self.actual > self.forecast
    }
}

/// Work that was granted in a time during which the queue was not empty.
#[derive(Debug, Clone, Copy)]
struct Segment {
    end: Instant,
    length: Duration,
    work: f64,
}

/// The segment that is being measured.
#[derive(Debug, Clone, Copy)]
struct OpenSegment {
    start: Instant,
    min_length: Duration,
    last_call: Instant,
    work: f64,
}

impl OpenSegment {
    /// The first segment of a backlog, which counts only if the backlog is long enough.
    fn first(now: Instant) -> OpenSegment {
        OpenSegment { start: now, min_length: MIN_BACKLOG, last_call: now, work: 0.0 }
    }

    fn next(now: Instant) -> OpenSegment {
        OpenSegment { min_length: SEGMENT, ..OpenSegment::first(now) }
    }
}

/// Work that arrived within `SEGMENT` of `start`.
#[derive(Debug, Clone, Copy)]
struct Arrivals {
    start: Instant,
    work: f64,
}

/// The throughput of one kind of request of one service.
#[derive(Debug, Clone, Default)]
pub struct Throughput {
    /// The latest segments, which together are as long as `WINDOW`.
    segments: VecDeque<Segment>,
    /// None while the queue is empty.
    open: Option<OpenSegment>,
    /// Work that could be in time when it arrived.
    arrivals: VecDeque<Arrivals>,
}

impl Throughput {
    /// Records that work was granted a placement. Without a backlog it is not counted: it then
    /// shows the demand, not the capacity.
    pub fn record_grant(&mut self, work: f64, now: Instant) {
        self.advance(now);
        if let Some(open) = &mut self.open
            && is_plausible(work)
        {
            open.work += work;
        }
    }

    /// Records that work arrived, and whether it could still be in time.
    pub fn record_arrival(&mut self, work: f64, in_time: bool, now: Instant) {
        self.advance(now);
        if !in_time || !is_plausible(work) {
            return;
        }
        let is_old = |arrivals: &Arrivals| now.saturating_duration_since(arrivals.start) > WINDOW;
        while self.arrivals.front().is_some_and(is_old) {
            self.arrivals.pop_front();
        }
        match self.arrivals.back_mut() {
            Some(last) if now.saturating_duration_since(last.start) < SEGMENT => last.work += work,
            _ => self.arrivals.push_back(Arrivals { start: now, work }),
        }
    }

    /// Records whether requests are queued for lack of capacity. To be called at the end of each round of
    /// placement, also if nothing has changed.
    pub fn set_backlogged(&mut self, backlogged: bool, now: Instant) {
        self.advance(now);
        if backlogged {
            self.open.get_or_insert(OpenSegment::first(now));
        } else if let Some(open) = self.open.take()
            && open.min_length == SEGMENT
        {
            self.close(open, now);
        }
    }

    /// Work per second: measured over the last two seconds of backlog, and the engine model's rate
    /// for the part of them that is not measured. Never zero.
    pub fn rate(&self, model_rate: f64, now: Instant) -> f64 {
        self.rate_expecting(model_rate, model_rate, now)
    }

    /// As [`Throughput::rate`], with another expected rate for the part that is not measured.
    pub fn rate_expecting(&self, model_rate: f64, expected_rate: f64, now: Instant) -> f64 {
        let (mut length, mut work) = (Duration::ZERO, 0.0);
        for segment in self.segments.iter().filter(|segment| segment.is_usable(now)) {
            length += segment.length;
            work += segment.work;
        }
        let missing = WINDOW.saturating_sub(length).as_secs_f64();
        let window = WINDOW.max(length).as_secs_f64();
        if !(model_rate.is_finite() && model_rate > 0.0) {
            let measured = if missing > 0.0 { UNKNOWN_RATE } else { work / window };
            return measured.clamp(UNKNOWN_RATE.recip(), UNKNOWN_RATE);
        }
        let rate = (work + expected_rate * missing) / window;
        if rate > model_rate * MAX_RATIO {
            return model_rate;
        }
        rate.max(model_rate * MIN_RATIO)
    }

    /// The length of the backlog from which the rate is measured; for log lines.
    pub fn measured(&self, now: Instant) -> Duration {
        let usable = self.segments.iter().filter(|segment| segment.is_usable(now));
        usable.map(|segment| segment.length).sum()
    }

    /// Work per second that arrived in the last two seconds and could be in time.
    pub fn in_time_arrivals(&self, now: Instant) -> f64 {
        let recent = self.arrivals.iter().filter(|arrivals| {
            now.saturating_duration_since(arrivals.start) <= WINDOW
                && arrivals.start.saturating_duration_since(now) <= MAX_GAP
        });
        recent.map(|arrivals| arrivals.work).sum::<f64>() / WINDOW.as_secs_f64()
    }

    /// Closes the open segment if it is long enough, and discards it if the clock jumped.
    fn advance(&mut self, now: Instant) {
        let Some(open) = &mut self.open else { return };
        let jump = now.max(open.last_call) - now.min(open.last_call);
        if jump > MAX_GAP {
            self.open = Some(OpenSegment::first(now));
            return;
        }
        open.last_call = open.last_call.max(now);
        if now.saturating_duration_since(open.start) >= open.min_length {
            let closed = std::mem::replace(open, OpenSegment::next(now));
            self.close(closed, now);
        }
    }

    /// Adds a segment, and removes the oldest ones beyond the window.
    fn close(&mut self, open: OpenSegment, now: Instant) {
        let length = now.saturating_duration_since(open.start);
        self.segments.push_back(Segment { end: now, length, work: open.work });
        let mut length: Duration = self.segments.iter().map(|segment| segment.length).sum();
        while let Some(oldest) = self.segments.front()
            && length - oldest.length >= WINDOW
        {
            length -= oldest.length;
            self.segments.pop_front();
        }
    }
}

/// Recent grants of short requests, from which follows how many of them end within the next second.
///
/// After a sudden rise of the traffic, all slots are taken by requests that have just begun. For as long as one of them
/// takes, fewer slots become free than the engine model expects of a steady load.
#[derive(Debug, Clone, Default)]
pub struct Departures {
    /// Start and number of the grants within `SEGMENT` of it, oldest first.
    granted: VecDeque<(Instant, u32)>,
    /// When the first grant was recorded.
    first: Option<Instant>,
}

impl Departures {
    /// Time over which departures are expected.
    const HORIZON: Duration = Duration::from_secs(1);

    /// Records a grant.
    pub fn record_grant(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        let age = |at: Instant| now.saturating_duration_since(at);
        while self.granted.front().is_some_and(|(at, _)| age(*at) > MAX_AGE) {
            self.granted.pop_front();
        }
        match self.granted.back_mut() {
            Some((at, count)) if age(*at) < SEGMENT => *count += 1,
            _ => self.granted.push_back((now, 1)),
        }
    }

    /// Requests that end in a second, of those that take the residence time; none if grants were recorded for a shorter
    /// time, as by a new scheduler.
    pub fn rate(&self, residence: Duration, now: Instant) -> Option<f64> {
        let begin = now.checked_sub(residence)?;
        self.first.filter(|first| *first <= begin && residence < MAX_AGE)?;
        let ending = self.granted.iter().filter(|(at, _)| {
            *at + SEGMENT > begin && *at < begin + Departures::HORIZON.min(residence)
        });
        let count: u32 = ending.map(|(_, count)| count).sum();
        Some(f64::from(count) / Departures::HORIZON.min(residence).as_secs_f64())
    }
}

impl Segment {
    fn is_usable(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.end) <= MAX_AGE
            && self.end.saturating_duration_since(now) <= MAX_GAP
    }
}

fn is_plausible(work: f64) -> bool {
    work.is_finite() && work >= 0.0
}

/// What is queued ahead of a request. Work that can be in time is served first; the rest gets what
/// this leaves of the rate, at least [`LATE_SHARE`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tiers {
    /// Work served per second.
    pub rate: f64,
    /// Work per second that arrives and can be in time.
    pub in_time_arrivals: f64,
    /// Queued work that can be in time and goes before the request; for a request that cannot, all
    /// of it.
    pub ahead_in_time: f64,
    /// Queued work that cannot be in time and goes before the request among such; for a request that
    /// can be in time, all of it.
    pub ahead_late: f64,
}

impl Tiers {
    /// Time until a request starts that can be in time, or that cannot.
    pub fn wait(&self, in_time: bool) -> Duration {
        let Some(tiers) = self.plausible() else { return Duration::ZERO };
        duration(if in_time { tiers.in_time_wait_s() } else { tiers.late_wait_s() })
    }

    /// Time until a request starts that can be in time only if it starts within `left`. If its
    /// forecast is later, it counts as one that cannot, behind those that become late before it.
    pub fn wait_within(&self, left: Duration) -> Duration {
        let Some(tiers) = self.plausible() else { return Duration::ZERO };
        let in_time = tiers.in_time_wait_s();
        let left = left.as_secs_f64();
        if left <= 0.0 {
            return duration(tiers.late_wait_s());
        }
        if in_time <= left * IN_TIME_SHARE {
            return duration(in_time);
        }
        // Until then, late work gets what is left by the work that can be in time.
        let for_late = (tiers.rate - tiers.in_time_arrivals) * left - tiers.ahead_in_time;
        let late = tiers.ahead_late - for_late.max(tiers.rate * LATE_SHARE * left);
        let becoming_late = tiers.ahead_in_time - tiers.rate * (1.0 - LATE_SHARE) * left;
        duration(left + (late.max(0.0) + becoming_late.max(0.0)) / tiers.late_rate())
    }

    /// Time until a request starts that cannot be in time, if no more requests arrive. [`Tiers::wait`] expects the
    /// arrivals to continue, and is too long once they decrease.
    pub fn earliest(&self) -> Duration {
        let Some(tiers) = self.plausible() else { return Duration::ZERO };
        let all_ahead = duration((tiers.ahead_in_time + tiers.ahead_late) / tiers.rate);
        // The guaranteed share may serve it before those that can be in time.
        all_ahead.min(self.wait(false))
    }

    /// These tiers without implausible values; none if the rate is unknown.
    fn plausible(&self) -> Option<Tiers> {
        let work = |work: f64| if work >= 0.0 { work } else { 0.0 };
        (self.rate.is_finite() && self.rate > 0.0).then(|| Tiers {
            rate: self.rate,
            in_time_arrivals: work(self.in_time_arrivals),
            ahead_in_time: work(self.ahead_in_time),
            ahead_late: work(self.ahead_late),
        })
    }

    /// The rate of late work while none that can be in time is queued.
    fn late_rate(&self) -> f64 {
        (self.rate - self.in_time_arrivals).max(self.rate * LATE_SHARE)
    }

    /// Late work delays the request by its guaranteed share, until there is none left.
    fn in_time_wait_s(&self) -> f64 {
        let delay = self.ahead_in_time * LATE_SHARE / (1.0 - LATE_SHARE);
        (self.ahead_in_time + delay.min(self.ahead_late)) / self.rate
    }

    /// Late work gets its guaranteed share while work that can be in time is queued, and the
    /// remaining rate after that.
    fn late_wait_s(&self) -> f64 {
        let guaranteed = self.rate * LATE_SHARE;
        let surplus = self.rate - guaranteed - self.in_time_arrivals;
        let drained = if self.ahead_in_time <= 0.0 {
            0.0
        } else if surplus > 0.0 {
            self.ahead_in_time / surplus
        } else {
            f64::INFINITY
        };
        let served = guaranteed * drained;
        if self.ahead_late <= served {
            self.ahead_late / guaranteed
        } else {
            drained + (self.ahead_late - served) / self.late_rate()
        }
    }
}

fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
}

/// Short requests per second by the engine model. `slots` are weighted by the speed of their
/// engines; prompts are of the given length, responses of the usual one.
pub fn short_model_rate(engine: &Engine, slots: f64, prompt: Tokens) -> f64 {
    let fitting = forecast::fitting(engine, prompt, engine.mean_answer) as f64;
    let usable = slots * fitting / f64::from(engine.slots.max(1));
    usable / forecast::short_service_ms(engine, prompt, engine.mean_answer) * MS_PER_S
}

/// Prefill milliseconds per second by the engine model. `engines` are weighted by their speed.
pub fn long_model_rate(engines: f64) -> f64 {
    engines * MS_PER_S
}
