//! Queueing for services whose upstreams are all rate-limited: expected waiting times, and Retry-After of rejections.
//!
//! The load pattern is that of callers that send more than the rate for longer than their objective. A request that cannot
//! be sent in time is rejected when it arrives; one that is queued is rejected only if the capacity falls meanwhile, for
//! instance since another scheduler has used it.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::placement::{Rejection, Requirements};
use crate::rate_limit::Capacity;
use crate::tag::Tag;

/// Longest wait of the request at the head of the queue for the next burst, even beyond its objective. Otherwise a rate
/// whose bursts are further apart than the objective would not be used.
const MAX_HEAD_WAIT: Duration = Duration::from_millis(1_500);

/// Share of the time left for which a new request may be expected to wait. Upstreams get 0.8 to 1 of their rate, since a
/// round of placement takes place up to 20 ms after a request is allowed, and up to 40 ms on a busy VM.
const MAX_NEW_SHARE: f64 = 0.8;

/// Share of its objective by which a request that has waited for as long may be late. A response that is late by less has
/// more value than a rejection that comes after a part of the objective.
const MAX_LATE_SHARE: f64 = 0.25;

/// Longest time over which retries of rejected callers are spread.
const MAX_RETRY_SPREAD: Duration = Duration::from_secs(10);

/// Longest acceptable waiting time.
fn max_wait(
    capacity: &Capacity<'_>,
    requirements: &Requirements,
    ahead: usize,
    is_queued: bool,
    now: Instant,
) -> Duration {
    let left = |time: Duration| (requirements.arrived + time).saturating_duration_since(now);
    let max_late = requirements.objective.mul_f64(MAX_LATE_SHARE);
    // Another scheduler may have queued it before.
    let has_waited = is_queued || left(max_late).is_zero();
    let mut max_wait = if has_waited {
        left(requirements.objective.saturating_add(max_late))
    } else {
        left(requirements.objective).mul_f64(MAX_NEW_SHARE)
    };
    if ahead == 0 {
        max_wait = max_wait.max(capacity.burst_interval().min(MAX_HEAD_WAIT));
    }
    max_wait.min(left(requirements.queue_timeout))
}

/// Retry times handed out to rejected callers, by service.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    /// The next free retry time.
    next: HashMap<Tag, Instant>,
}

impl Backlog {
    /// Rejects a request that would wait too long behind `ahead` others.
    pub(super) fn check(
        &mut self,
        service: Tag,
        capacity: &Capacity<'_>,
        requirements: &Requirements,
        ahead: usize,
        is_queued: bool,
        now: Instant,
    ) -> Result<(), Rejection> {
        let max_wait = max_wait(capacity, requirements, ahead, is_queued, now);
        if capacity.allowed_within(max_wait, now) > ahead {
            return Ok(());
        }
        let wait = capacity.wait(ahead, MAX_RETRY_SPREAD, now);
        let after = self.next_retry_after(service, capacity.interval(), wait, now);
        Err(Rejection::RateLimited { after_ms: after.as_millis() as u64 })
    }

    /// Returns the next retry time. The first one is after the expected wait, and the others follow
    /// at this rate; beyond the longest spread they begin again after the expected wait.
    fn next_retry_after(
        &mut self,
        service: Tag,
        interval: Duration,
        wait: Duration,
        now: Instant,
    ) -> Duration {
        let first = wait.min(MAX_RETRY_SPREAD);
        let next = self.next.entry(service).or_insert(now);
        if *next < now + first || *next > now + first + MAX_RETRY_SPREAD {
            *next = now + first;
        }
        let after = next.saturating_duration_since(now);
        *next += interval.min(MAX_RETRY_SPREAD);
        after
    }
}
