//! When the reservations of an attempt are renewed.
//!
//! Load pattern A: a prompt for which up to 16 engines reserve memory. Each of them may be silent for a second or so, and an
//! order may be lost, while the request runs. A renewal that fails is repeated for as long as the reservation lasts: an engine
//! whose reservation expires ends the request. After that it would reserve memory that no request uses.

use std::time::{Duration, Instant};

/// Minimum interval between an order that failed and its repetition. One without a response takes 250 ms.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Result of an order to renew a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The engine has renewed it.
    Renewed,
    /// The engine has refused to.
    Refused,
    /// No response: the engine may have renewed it.
    Unconfirmed,
}

/// The renewals of one reservation.
#[derive(Debug, Clone, Copy)]
pub struct Renewal {
    lifetime: Duration,
    interval: Duration,
    due: Instant,
    confirmed: Instant,
    /// When the last order ended that may have renewed it.
    possible: Instant,
}

impl Renewal {
    /// The renewals of a reservation that was confirmed now. Each lasts for `lifetime`.
    pub fn new(lifetime: Duration, interval: Duration, now: Instant) -> Renewal {
        Renewal { lifetime, interval, due: now + interval, confirmed: now, possible: now }
    }

    /// When the next order is due.
    pub fn due(&self) -> Instant {
        self.due
    }

    /// The time after which it is not renewed any more: it has expired, unless an order without a response was carried out.
    pub fn limit(&self) -> Instant {
        self.confirmed + self.lifetime
    }

    /// When it has expired in any case, if it is not renewed any more.
    pub fn expires(&self) -> Instant {
        self.possible + self.lifetime
    }

    /// Begins again after the limit: an event shows that the request runs, so the engine has carried out an order since.
    pub fn resume(&mut self, now: Instant) {
        (self.due, self.confirmed, self.possible) = (now, now, now);
    }

    /// Records an order that was sent at a time and ended now.
    pub fn on_order(&mut self, outcome: Outcome, sent: Instant, now: Instant) {
        self.due = now.max(sent + RETRY_INTERVAL);
        match outcome {
            Outcome::Renewed => {
                self.due = now + self.interval;
                self.confirmed = now;
                self.possible = now;
            }
            Outcome::Refused => {}
            Outcome::Unconfirmed => self.possible = now,
        }
    }
}
