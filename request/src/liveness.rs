//! Liveness of the main engine of an attempt for which other engines reserve memory.
//!
//! Load pattern A: prompts of about 590,000 tokens and more are read for longer than an engine may be silent while others
//! reserve memory. The engine's reports show that it is alive meanwhile. The memory must be released within the release
//! time of a crash, and a reservation lasts for 0.85 of that time after its last renewal. All times are relative to the
//! silence timeout, 0.6 of the release time.

use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Number of report requests in a silence timeout. A quarter of it is the 0.15 of the release time that a reservation
/// does not last for: a renewal within that time after the last evidence expires in time if the engine crashed.
pub(crate) const POLLS_PER_TIMEOUT: u32 = 4;

/// Share of the interval up to which evidence allows a renewal. The rest, 300 ms where memory must be released within 4 s,
/// is left for the order: a reservation lasts from the arrival of the order, and an order takes at most 250 ms.
const RENEWAL_AGE_SHARE: f64 = 0.5;

/// Result of a report request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// A report of the incarnation that the attempt was sent to.
    Report,
    /// A report of a later incarnation, which does not run the attempt.
    Restarted,
    /// No response in time.
    Unanswered,
    /// A response without a readable report, or the engine must not be sent report requests.
    Inconclusive,
}

/// Why an attempt ends before its request's time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The engine restarted.
    Restarted,
    /// The memory that the engine reserved has expired, so the engines have ended the request.
    // The aliases are the names in records of the previous release.
    #[serde(alias = "unanswered")]
    Expired,
    /// The engines report that no request has used the memory for long.
    #[serde(alias = "silent")]
    Unused,
}

/// The evidence that the engine of one attempt is alive.
#[derive(Debug, Clone, Copy)]
pub struct Liveness {
    timeout: Duration,
    began: Instant,
    evidence: Instant,
    asked: Instant,
    unanswered: u32,
}

impl Liveness {
    /// Liveness of an engine that is sent an attempt now.
    pub fn new(timeout: Duration, now: Instant) -> Liveness {
        Liveness { timeout, began: now, evidence: now, asked: now, unanswered: 0 }
    }

    /// Interval between report requests. One that takes longer is unanswered.
    pub fn interval(&self) -> Duration {
        self.timeout / POLLS_PER_TIMEOUT
    }

    /// Maximum age of the evidence with which a renewal of a reservation may be sent.
    pub fn max_renewal_age(&self) -> Duration {
        self.interval().mul_f64(RENEWAL_AGE_SHARE)
    }

    /// When the next report is to be requested.
    pub fn next_poll(&self) -> Instant {
        self.asked + self.interval()
    }

    /// Records the result of a report request that was sent at `asked`. Returns why the attempt ends, if it does.
    pub fn on_reply(&mut self, reply: Reply, asked: Instant) -> Option<Ending> {
        self.asked = asked;
        match reply {
            Reply::Report => {
                // The engine may have crashed since it responded, but not before it was asked.
                self.evidence = asked;
                self.unanswered = 0;
                None
            }
            Reply::Restarted => Some(Ending::Restarted),
            Reply::Unanswered => {
                // The engine may be stopped for a while. Without evidence, its reservations expire.
                self.unanswered += 1;
                None
            }
            Reply::Inconclusive => None,
        }
    }

    /// Time since the attempt began.
    pub fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.began)
    }

    /// Whether the attempt goes on only since the engine reports: it would have ended by the silence timeout.
    pub fn is_extended(&self, now: Instant) -> bool {
        self.silence(now) >= self.timeout
    }

    /// When the engine was last known to be alive.
    pub fn evidence(&self) -> Instant {
        self.evidence
    }

    /// Time since then.
    pub fn evidence_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.evidence)
    }

    /// Number of unanswered report requests in a row.
    pub fn unanswered(&self) -> u32 {
        self.unanswered
    }
}

impl Reply {
    /// The label of metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Reply::Report => "report",
            Reply::Restarted => "restarted",
            Reply::Unanswered => "unanswered",
            Reply::Inconclusive => "inconclusive",
        }
    }
}

impl Ending {
    /// The label of metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Ending::Restarted => "restarted",
            Ending::Expired => "expired",
            Ending::Unused => "unused",
        }
    }
}

impl fmt::Display for Ending {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Ending::Restarted => "restarted",
            Ending::Expired => {
                "did not confirm that it is alive, or a renewal, before reserved memory expired"
            }
            Ending::Unused => "reports, and its request does not use the reserved memory",
        })
    }
}
