//! Queueing for services whose upstreams are all rate-limited: expected waiting times, and Retry-After of rejections.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;

use crate::placement::{Rejection, Requirements};
use crate::tag::Tag;

/// Longest wait of the request at the head of the queue, even beyond its objective.
const FIRST_WAIT: Duration = Duration::from_millis(1_500);

/// Longest time over which retries of rejected callers are spread.
const LONGEST_SPREAD: Duration = Duration::from_secs(10);

/// Expected waiting time with so many requests ahead.
fn wait(rate: Rate, ahead: usize) -> Duration {
    let seconds = (ahead + 1) as f64 / rate.as_f64().max(f64::MIN_POSITIVE);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Longest acceptable waiting time.
fn longest_wait(requirements: &Requirements, ahead: usize, now: Instant) -> Duration {
    let left = |time: Duration| (requirements.arrived + time).saturating_duration_since(now);
    let in_time = left(requirements.objective);
    let longest = if ahead == 0 { in_time.max(FIRST_WAIT) } else { in_time };
    longest.min(left(requirements.queue_timeout))
}

/// Retry times handed out to rejected callers, by service.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    /// The next free retry time.
    next: HashMap<Tag, Instant>,
}

impl Backlog {
    /// Rejects a request that would wait too long behind `ahead` others. A request that is already
    /// queued is allowed one more service interval of the queue.
    pub(super) fn check(
        &mut self,
        service: Tag,
        rate: Rate,
        requirements: &Requirements,
        ahead: usize,
        is_queued: bool,
        now: Instant,
    ) -> Result<(), Rejection> {
        let wait = wait(rate, ahead);
        let turn = if is_queued { self::wait(rate, 0) } else { Duration::ZERO };
        if wait <= longest_wait(requirements, ahead, now).saturating_add(turn) {
            return Ok(());
        }
        let after_ms = self.come_back(service, rate, wait, now).as_millis() as u64;
        Err(Rejection::RateLimited { after_ms })
    }

    /// Hands out one retry time per service interval behind the queue, and wraps around at the
    /// longest spread.
    fn come_back(&mut self, service: Tag, rate: Rate, wait: Duration, now: Instant) -> Duration {
        let first = wait.min(LONGEST_SPREAD);
        let next = self.next.entry(service).or_insert(now);
        if *next < now + first || *next > now + first + LONGEST_SPREAD {
            *next = now + first;
        }
        let after = next.saturating_duration_since(now);
        *next += self::wait(rate, 0).min(LONGEST_SPREAD);
        after
    }
}
