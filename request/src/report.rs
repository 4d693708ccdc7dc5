//! What an engine tells of itself when it is asked.

use std::future::Future;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::notice::Annotated;
use crate::tag::Tag;

/// What one engine told.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// How many times longer its work takes than its figures say; 1 where it is sound.
    pub pace: f64,
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Tokens of its memory that are in use.
    pub memory: Tokens,
    /// When it started, milliseconds since 1970 by its own clock; none where it does not say.
    #[serde(default)]
    pub born: Option<u64>,
}

/// Why there is no report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The engine did not answer.
    Silent(String),
    /// It answered what is no report.
    Unreadable(String),
}

/// Engines that tell of themselves. An adapter implements this.
pub trait Reports: Clone + Send + Sync + 'static {
    /// Asks the engine that listens at `address`, `IP:port`.
    fn report(
        &self,
        upstream: &id::Upstream,
        address: &str,
    ) -> impl Future<Output = Annotated<Result<Report, Fault>>> + Send;
}

/// A report, or that there was none, with the time at which it was asked for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observed {
    /// What the engine told; none where it did not answer.
    pub report: Option<Report>,
    /// When it was asked, by this process's clock.
    pub at: Instant,
}

/// A report as peers are told of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// The engine's tag.
    pub upstream: Tag,
    report: Option<Report>,
    age_ms: u32,
}

impl Observed {
    /// What peers are told of the engine with this tag.
    pub fn told(&self, upstream: Tag, now: Instant) -> Told {
        let age_ms = now.saturating_duration_since(self.at).as_millis() as u32;
        Told { upstream, report: self.report, age_ms }
    }

    /// What a peer told.
    pub fn heard(told: &Told, now: Instant) -> Observed {
        let age = Duration::from_millis(u64::from(told.age_ms));
        Observed { report: told.report, at: now.checked_sub(age).unwrap_or(now) }
    }
}
