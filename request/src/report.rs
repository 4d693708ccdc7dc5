//! Reports of engines about their own load and speed.

use std::future::Future;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::notice::Annotated;
use crate::tag::Tag;
use crate::transport::Transport;

/// The report of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Measured over expected time of its work; 1 for a healthy engine.
    pub slowdown: f64,
    /// Requests that it processes.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Memory in use, tokens.
    pub memory: Tokens,
    /// When its process started, milliseconds since 1970 by its own clock; none if it does not report that.
    #[serde(default)]
    pub born: Option<u64>,
}

/// A reservation of memory that an engine lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reserved {
    /// The reservation id.
    pub reservation_id: String,
    /// Whether a request uses it.
    pub is_used: bool,
}

/// A report with the reservations that the engine lists.
#[derive(Debug, Clone, PartialEq)]
pub struct Fetched {
    /// The report.
    pub report: Report,
    /// The reservations; none if the engine does not list them.
    pub reservations: Vec<Reserved>,
}

/// Why a report could not be fetched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The engine did not respond.
    Unresponsive(String),
    /// The response is not a valid report.
    Unreadable(String),
}

/// Fetches reports of engines. Implemented by the adapter of a platform.
pub trait Reports: Clone + Send + Sync + 'static {
    /// Fetches the report of the engine at `address`, `IP:port`.
    fn report<T: Transport>(
        &self,
        transport: &T,
        upstream: &id::Upstream,
        address: &str,
    ) -> impl Future<Output = Annotated<Result<Fetched, Failure>>> + Send;
}

/// The result of fetching a report, with its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observed {
    /// The report; none if the engine did not respond.
    pub report: Option<Report>,
    /// When it was fetched, by the clock of this process.
    pub at: Instant,
}

/// A report as announced to peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The engine's tag.
    pub upstream: Tag,
    report: Option<Report>,
    age_ms: u32,
}

impl Observed {
    /// The announcement of this report, of the engine with this tag.
    pub fn announcement(&self, upstream: Tag, now: Instant) -> Announcement {
        let age_ms = now.saturating_duration_since(self.at).as_millis() as u32;
        Announcement { upstream, report: self.report, age_ms }
    }

    /// The report that a peer announced.
    pub fn from_announcement(announced: &Announcement, now: Instant) -> Observed {
        let age = Duration::from_millis(u64::from(announced.age_ms));
        Observed { report: announced.report, at: now.checked_sub(age).unwrap_or(now) }
    }
}
