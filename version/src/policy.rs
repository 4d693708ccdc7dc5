//! The settings of a request, which branches inherit and override value by value.

use std::time::Duration;

use foldlock_base::size::Tokens;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How an upstream is chosen.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Route {
    /// Each upstream in turn.
    RoundRobin,
    /// The fewest of this VM's own requests outstanding.
    LeastOutstanding,
    /// The less loaded of two at random, by the lagged reports.
    TwoChoices,
    /// As `two_choices`, with the work in flight that all VMs announce in place of reports.
    Shared,
    /// The least predicted time to first token plus delay put on others; long prompts by grant.
    LengthAware,
}

impl Route {
    /// Each route.
    pub const ALL: &'static [Route] = &[
        Route::RoundRobin,
        Route::LeastOutstanding,
        Route::TwoChoices,
        Route::Shared,
        Route::LengthAware,
    ];
}

/// A class of prompt lengths: 0 for short ones, then up to 4 and 16 times the length at which a
/// prompt counts as long, then all others. A lower class goes first.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class(u8);

impl Class {
    /// How many there are.
    pub const COUNT: usize = 4;

    /// Its number.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Whether its prompts are long.
    pub fn is_long(self) -> bool {
        self.0 > 0
    }
}

impl std::fmt::Display for Class {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The settings of a request. A branch may set any of them; what it leaves out it inherits, at
/// last from the defaults built in here.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How an upstream is chosen.
    pub route: Route,
    /// The time-out of a request that names none, and the cap for one that does, milliseconds.
    #[schemars(range(min = 1, max = 86_400_000))]
    pub timeout_ms: u64,
    /// The engine priority of short requests; lower goes first.
    #[schemars(range(min = 0, max = 9))]
    pub priority: u8,
    /// A prompt of at least this many tokens counts as long.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub long_tokens: u64,
    /// The largest body, bytes.
    #[schemars(range(min = 1, max = 67_108_864))]
    pub max_body_bytes: usize,
    /// The most tokens of an answer.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub max_answer_tokens: u64,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Whether a broken answer goes on at another engine from the tokens so far.
    pub resume: bool,
    /// The most times a request is sent again.
    #[schemars(range(min = 0, max = 10))]
    pub retries: u32,
    /// The share of recent requests that may be sent again, percent.
    #[schemars(range(min = 0, max = 100))]
    pub retry_budget_percent: u8,
    /// The weight of the organisation where requests wait for engines.
    #[schemars(range(min = 1, max = 1000))]
    pub weight: u32,
    /// The most requests at a time over the whole fleet; 0 for no limit.
    pub concurrency: u32,
    /// The most requests a second over the whole fleet; 0 for no limit.
    pub requests_per_s: u32,
    /// The most prompt tokens a second over the whole fleet; 0 for no limit.
    pub prompt_tokens_per_s: u64,
    /// How long an engine keeps a stream whose reader is gone, milliseconds.
    #[schemars(range(min = 0, max = 600_000))]
    pub resume_window_ms: u64,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            route: Route::LengthAware,
            timeout_ms: 30_000,
            priority: 3,
            long_tokens: 16_000,
            max_body_bytes: 8 << 20,
            max_answer_tokens: 4096,
            repeatable: true,
            resume: true,
            retries: 2,
            retry_budget_percent: 20,
            weight: 1,
            concurrency: 0,
            requests_per_s: 0,
            prompt_tokens_per_s: 0,
            resume_window_ms: 5_000,
        }
    }
}

impl Policy {
    /// The time a request has: what the caller asks for, capped by the settings.
    pub fn timeout(&self, asked: Option<Duration>) -> Duration {
        let cap = Duration::from_millis(self.timeout_ms);
        asked.map_or(cap, |asked| asked.min(cap))
    }

    /// The class of a prompt of this length.
    pub fn class(&self, prompt: Tokens) -> Class {
        let ratio = prompt.0 / self.long_tokens.max(1);
        Class(match ratio {
            0 => 0,
            1..=3 => 1,
            4..=15 => 2,
            _ => 3,
        })
    }
}
