//! Measures the capacity and the demand of a service from recent grants and arrivals.
//!
//! Answers load pattern A (`docs/design/overload.md`): the engine model does not see slow engines, other schedulers or
//! long prompts beside short ones. Alternatives are in `docs/design/admission.md`.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

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
        let count = f64::from(count) + self.overdue(residence, begin);
        Some(count / Departures::HORIZON.min(residence).as_secs_f64())
    }

    /// Requests that should have ended before, as their engines stood still for a while. While requests are queued, all
    /// slots are taken; those that were not granted since `begin` are overdue, and end next.
    fn overdue(&self, residence: Duration, begin: Instant) -> f64 {
        let (mut in_flight, mut most) = (0, 0);
        let mut oldest = self.granted.iter();
        let mut next = oldest.next();
        for (at, count) in &self.granted {
            in_flight += count;
            while let Some((_, ended)) = next.filter(|(old, _)| *old + residence <= *at) {
                in_flight -= ended;
                next = oldest.next();
            }
            most = most.max(in_flight);
        }
        let recent = self.granted.iter().filter(|(at, _)| *at > begin);
        let recent: u32 = recent.map(|(_, count)| count).sum();
        // The number of grants in a time varies by about its root.
        let variation = 2.0 * f64::from(most).sqrt();
        (f64::from(most) - f64::from(recent) - variation).max(0.0)
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
