//! Whether a request uses the memory that engines reserve for it, by their reports.
//!
//! Load pattern A: prompts for which up to 16 engines reserve memory, and whose main engine is silent for long. It may read
//! the prompt, or read it again. Or the attempt never reached it, or was cut without notice: then it reports as well, and
//! the reserved memory is not used. Memory that no request uses must be released within 9 s. The helpers' reports tell the
//! two apart, the silence does not.

use std::time::Duration;

use crate::liveness::{Ending, POLLS_PER_TIMEOUT, Reply};

/// Longest time without use, in silence timeouts: 7.2 s where memory must be released within 4 s. The rest of the 9 s is for
/// reports, which show the state of some hundred ms before, and for the orders.
const MAX_UNUSED_TIMEOUTS: u32 = 3;

/// The same as a ratio of the predicted time to the first event, where no report shows whether the memory is used: an engine
/// may be half as fast.
const MAX_PREDICTED_RATIO: f64 = 2.0;

/// What a helper reports about its reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It lists no such reservation: it has ended, or engines of this version list none.
    Unlisted,
    /// No request uses it.
    Unused,
    /// A request uses it.
    Used,
}

/// The use of the reservations of one attempt.
#[derive(Debug, Clone)]
pub struct Usage {
    /// Whether each helper has listed its reservation.
    is_listed: Vec<bool>,
    was_used: bool,
    /// Rounds of reports in a row that show no use. They are counted and not the time, since a stall of this VM is not a
    /// silence of the engines.
    unused: u32,
    max_unused: u32,
    /// The same where no report shows whether the memory is used.
    max_unknown: u32,
}

impl Usage {
    /// The use of reservations at `helpers` engines by an attempt that begins now. `predicted`: the time to its first event.
    pub fn new(timeout: Duration, predicted: Duration, helpers: usize) -> Usage {
        let max_unused = MAX_UNUSED_TIMEOUTS * POLLS_PER_TIMEOUT;
        let interval = timeout / POLLS_PER_TIMEOUT;
        let longest = predicted.mul_f64(MAX_PREDICTED_RATIO).div_duration_f64(interval);
        Usage {
            is_listed: vec![false; helpers],
            was_used: false,
            unused: 0,
            max_unused,
            max_unknown: max_unused.max(longest.ceil() as u32),
        }
    }

    /// Begins anew for a silence in the middle of the stream: the request has used the memory until now.
    pub fn restart(&mut self) {
        self.unused = 0;
        self.max_unknown = self.max_unused;
    }

    /// Records a round of reports: of the main engine, and of its helpers about their reservations, none if it is unknown.
    /// Returns why the attempt ends, if it does, with the helper that showed it.
    pub fn on_reports(
        &mut self,
        main: Reply,
        states: &[Option<State>],
    ) -> Option<(Option<usize>, Ending)> {
        let mut is_unused = false;
        let mut is_used = false;
        for (helper, (state, is_listed)) in states.iter().zip(&mut self.is_listed).enumerate() {
            match state {
                Some(State::Unlisted) if *is_listed => {
                    return Some((Some(helper), Ending::Expired));
                }
                Some(State::Unlisted) | None => continue,
                Some(State::Unused) => is_unused = true,
                Some(State::Used) => is_used = true,
            }
            *is_listed = true;
        }
        if is_used {
            (self.was_used, self.unused) = (true, 0);
        } else if is_unused || (main == Reply::Report && !self.was_used) {
            self.unused += 1;
        }
        let limit = if is_unused { self.max_unused } else { self.max_unknown };
        (self.unused >= limit).then_some((None, Ending::Unused))
    }
}
