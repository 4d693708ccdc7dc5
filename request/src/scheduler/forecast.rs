//! Forecasts when a queued request starts, from the capacity that recent grants show.
//!
//! Answers load pattern A (`docs/design/overload.md`): capacity is scarce for some seconds, and whether a
//! request can be served has to be decided at once. Alternatives are in `docs/design/admission.md`.

use std::fmt;
use std::time::Duration;

use foldlock_base::prelude::*;
use foldlock_version::routes::Engine;

pub use super::throughput::{Departures, Throughput};
use crate::forecast;

/// Share of the rate that is left to requests that cannot be in time, as one grant in eight goes to
/// them. A late response is worth a tenth to four tenths of one in time, so most of the capacity
/// belongs to the others.
pub const LATE_SHARE: f64 = 1.0 / 8.0;

/// Longest forecast. No caller waits for as long.
pub(super) const MAX_WAIT: Duration = Duration::from_secs(3_600);

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
