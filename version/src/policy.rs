//! Settings of a request, which branches inherit and override value by value.

use std::time::Duration;

use foldlock_base::size::Tokens;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Policy by which an upstream is selected.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Route {
    /// Upstreams in turn.
    RoundRobin,
    /// The upstream with the fewest outstanding requests of the own VM.
    LeastOutstanding,
    /// The less loaded of two random upstreams, according to their reports, which lag.
    TwoChoices,
    /// As `two_choices`, with the in-flight load that all VMs announce in place of the reports.
    Shared,
    /// The upstream with the lowest sum of predicted time to first token and added delay of other
    /// requests; long prompts are placed by grants.
    LengthAware,
}

impl Route {
    /// All policies.
    pub const ALL: &'static [Route] = &[
        Route::RoundRobin,
        Route::LeastOutstanding,
        Route::TwoChoices,
        Route::Shared,
        Route::LengthAware,
    ];
}

/// Class of a prompt by its length: 0 for short prompts, 1 for less than 4 times and 2 for less
/// than 16 times the length from which a prompt counts as long, 3 for all others. Lower classes go
/// first.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class(u8);

impl Class {
    /// Number of classes.
    pub const COUNT: usize = 4;

    /// Number of this class.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Whether prompts of this class are long.
    pub fn is_long(self) -> bool {
        self.0 > 0
    }
}

impl std::fmt::Display for Class {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Settings of a request. A branch may set any of them. Others are inherited from the parent
/// branch, and finally from the built-in defaults.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Policy by which an upstream is selected.
    pub route: Route,
    /// Timeout of requests that do not specify one, and upper limit for those that do, in
    /// milliseconds.
    #[schemars(range(min = 1, max = 86_400_000))]
    pub timeout_ms: u64,
    /// Engine priority of requests with short prompts. Lower values go first.
    #[schemars(range(min = 0, max = 9))]
    pub priority: u8,
    /// Prompts of at least this many tokens count as long.
    #[schemars(range(min = 1, max = 10_000_000))]
    pub long_tokens: u64,
    /// Maximum size of a request body, in bytes.
    #[schemars(range(min = 1, max = 67_108_864))]
    pub max_body_bytes: usize,
    /// Maximum number of tokens in an answer.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub max_answer_tokens: u64,
    /// Whether a request may be run more than once.
    pub repeatable: bool,
    /// Whether an interrupted answer is continued on another engine, after the tokens generated so
    /// far.
    pub resume: bool,
    /// Maximum number of retries of a request.
    #[schemars(range(min = 0, max = 10))]
    pub retries: u32,
    /// Maximum share of recent requests that may be retried, in percent.
    #[schemars(range(min = 0, max = 100))]
    pub retry_budget_percent: u8,
    /// Weight of the organisation when queued requests are scheduled.
    #[schemars(range(min = 1, max = 1000))]
    pub weight: u32,
    /// Maximum number of concurrent requests over the whole fleet; 0 means no limit.
    pub concurrency: u32,
    /// Maximum number of requests per second over the whole fleet; 0 means no limit.
    pub requests_per_s: u32,
    /// Maximum number of prompt tokens per second over the whole fleet; 0 means no limit.
    pub prompt_tokens_per_s: u64,
    /// Time for which an engine keeps a stream after its reader has disconnected, in milliseconds.
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
    /// Timeout of a request: the one that the caller requested, limited by `timeout_ms`.
    pub fn timeout(&self, requested: Option<Duration>) -> Duration {
        let cap = Duration::from_millis(self.timeout_ms);
        requested.map_or(cap, |requested| requested.min(cap))
    }

    /// Class of a prompt of this length.
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
