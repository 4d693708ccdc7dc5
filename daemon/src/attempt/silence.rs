//! When the silence of an engine is a reason to ask for another one.
//!
//! Load pattern: sound engines send nothing for a second or so, many of their streams at once, while they read long prompts
//! or move memory. The same is seen of an engine that is dead behind a connection that hangs. So a silence is a
//! suspicion: another engine is asked while the attempt stays open, where the settings allow a retry.

use std::time::{Duration, Instant};

use foldlock_base::clock::from_millis;
use foldlock_base::id;
use foldlock_version::policy::Policy;

use crate::gate::Placement;
use crate::serve::Progress;

/// Time without an event after the start of an answer: sound engines are rarely silent for longer, and with the time that
/// another one needs to begin, callers see a pause of less than 3 s.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum time to wait for the first token: predictions of short prompts are exact to some hundred milliseconds.
const MIN_FIRST_TOKEN_TIMEOUT: Duration = Duration::from_millis(750);

/// The time to wait for the first token, as a ratio of the predicted time: a second attempt costs another prefill.
const FIRST_TOKEN_TIMEOUT_RATIO: f64 = 4.0;

/// What is expected of an engine.
pub enum Phase {
    /// The first token of an answer, predicted to take so many seconds.
    First(f64),
    /// The first token of a group, whose engines read the prompt in turn: for this no time is predicted.
    FirstOfGroup,
    /// The next event of an answer that has begun.
    Begun,
}

/// An attempt whose engine may be silent.
pub struct Suspect {
    pub(super) phase: Phase,
    pub(super) engine: id::Upstream,
    /// When the attempt was placed.
    pub(super) since: Instant,
}

impl Suspect {
    /// An attempt that is about to be sent.
    pub fn first(placement: &Placement) -> Suspect {
        let phase = match placement {
            Placement::Engine(flight) => Phase::First(flight.predicted),
            Placement::Group(_) => Phase::FirstOfGroup,
        };
        Suspect { phase, ..Suspect::begun(placement) }
    }

    /// An attempt whose answer has begun.
    pub fn begun(placement: &Placement) -> Suspect {
        let flight = placement.flight();
        Suspect { phase: Phase::Begun, engine: flight.engine.clone(), since: flight.sent }
    }

    /// The engine.
    pub fn engine(&self) -> &id::Upstream {
        &self.engine
    }
}

/// Time without an event after which another engine is considered; none if it never is.
pub fn timeout(phase: &Phase) -> Option<Duration> {
    match phase {
        Phase::First(predicted) => Some(
            from_millis(predicted * FIRST_TOKEN_TIMEOUT_RATIO * 1e3).max(MIN_FIRST_TOKEN_TIMEOUT),
        ),
        Phase::FirstOfGroup => None,
        Phase::Begun => Some(STALL_TIMEOUT),
    }
}

/// The time in seconds within which another engine has to be predicted to begin, so that it is worth asking after a
/// wait for the first token; none if any is.
pub fn worthwhile(phase: &Phase, waited: Duration) -> Option<f64> {
    match phase {
        Phase::First(_) | Phase::FirstOfGroup => Some(waited.as_secs_f64() / 2.0),
        Phase::Begun => None,
    }
}

/// Whether the settings allow another attempt, after or beside those so far. `not_run` states that none of them ran.
pub fn may_repeat(policy: &Policy, progress: &Progress, not_run: bool) -> bool {
    (not_run || policy.repeatable)
        && (progress.tokens == 0 || policy.resume)
        && progress.attempts <= policy.retries
}
