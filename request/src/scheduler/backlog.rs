//! Queueing for services whose upstreams are all rate-limited: expected waiting times, and Retry-After of rejections.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;

use crate::placement::{Rejection, Requirements};
use crate::tag::Tag;

/// Longest wait of the request at the head of the queue, even beyond its objective.
const MAX_HEAD_WAIT: Duration = Duration::from_millis(1_500);

/// Longest time over which retries of rejected callers are spread.
const MAX_RETRY_SPREAD: Duration = Duration::from_secs(10);

/// Expected waiting time behind `ahead` requests.
fn expected_wait(rate: Rate, ahead: usize) -> Duration {
    let seconds = (ahead + 1) as f64 / rate.as_f64().max(f64::MIN_POSITIVE);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Longest acceptable waiting time.
fn max_wait(requirements: &Requirements, ahead: usize, now: Instant) -> Duration {
    let left = |time: Duration| (requirements.arrived + time).saturating_duration_since(now);
    let until_deadline = left(requirements.objective);
    let max_wait = if ahead == 0 { until_deadline.max(MAX_HEAD_WAIT) } else { until_deadline };
    max_wait.min(left(requirements.queue_timeout))
}

/// Retry times handed out to rejected callers, by service.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    /// The next free retry time.
    next: HashMap<Tag, Instant>,
}

impl Backlog {
    /// Rejects a request that would wait too long behind `ahead` others. A request that is already
    /// queued may wait longer by the time between two requests at this rate.
    pub(super) fn check(
        &mut self,
        service: Tag,
        rate: Rate,
        requirements: &Requirements,
        ahead: usize,
        is_queued: bool,
        now: Instant,
    ) -> Result<(), Rejection> {
        let wait = expected_wait(rate, ahead);
        let tolerance = if is_queued { expected_wait(rate, 0) } else { Duration::ZERO };
        if wait <= max_wait(requirements, ahead, now).saturating_add(tolerance) {
            return Ok(());
        }
        let after_ms = self.next_retry_after(service, rate, wait, now).as_millis() as u64;
        Err(Rejection::RateLimited { after_ms })
    }

    /// Returns the next retry time. The first one is after the expected wait, and the others follow
    /// at this rate; beyond the longest spread they begin again after the expected wait.
    fn next_retry_after(
        &mut self,
        service: Tag,
        rate: Rate,
        wait: Duration,
        now: Instant,
    ) -> Duration {
        let first = wait.min(MAX_RETRY_SPREAD);
        let next = self.next.entry(service).or_insert(now);
        if *next < now + first || *next > now + first + MAX_RETRY_SPREAD {
            *next = now + first;
        }
        let after = next.saturating_duration_since(now);
        *next += expected_wait(rate, 0).min(MAX_RETRY_SPREAD);
        after
    }
}
