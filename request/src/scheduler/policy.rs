//! How the scheduler admits and orders requests, from the configuration of its VM.

use serde::{Deserialize, Serialize};

use crate::placement::Deadline;
use crate::scheduler::Scheduler;

/// Which requests are queued.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// All that may be placed before their queue timeout.
    #[default]
    Timeout,
    /// Those that are served within their callers' time by the forecast of their wait; the others are rejected at
    /// once.
    Forecast,
}

/// The scheduling policy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Which requests are queued, and in which order.
    #[serde(default)]
    pub admission: Admission,
    /// Whether organisations have equal shares of the capacity while requests are queued. Requires
    /// [`Admission::Forecast`].
    #[serde(default)]
    pub fair_shares: bool,
}

impl Policy {
    /// Checks the combination of values. The error begins with the key that is wrong.
    pub fn check(self) -> Result<(), String> {
        if self.fair_shares && !self.is_forecast() {
            return Err("fair_shares: requires `\"admission\": \"forecast\"`".to_owned());
        }
        Ok(())
    }

    /// Whether requests are admitted and ordered by forecasts.
    pub fn is_forecast(self) -> bool {
        self.admission == Admission::Forecast
    }

    /// The deadline by which long prompts are too long.
    pub fn deadline(self) -> Deadline {
        match self.admission {
            Admission::Timeout => Deadline::Objective,
            Admission::Forecast => Deadline::TimeLimit,
        }
    }
}

impl Scheduler {
    /// The policy in force.
    pub fn policy(&self) -> Policy {
        self.policy
    }
}
