//! Requests of services whose upstreams all name rate limits: how long each would wait, and when those that would wait
//! too long are told to come back.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;

use crate::placement::{Ask, Rejection};
use crate::tag::Tag;

/// How long the first request in the queue may wait beyond its objective: its turn is next.
const FIRST_WAIT: Duration = Duration::from_millis(1_500);

/// The time over which the return of rejected callers is spread at most.
const LONGEST_SPREAD: Duration = Duration::from_secs(10);

/// The time until a request is sent that has so many ahead of it.
fn wait(rate: Rate, ahead: usize) -> Duration {
    let seconds = (ahead + 1) as f64 / rate.as_f64().max(f64::MIN_POSITIVE);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// How long a request may wait to be sent.
fn longest_wait(ask: &Ask, ahead: usize, now: Instant) -> Duration {
    let left = |time: Duration| (ask.arrived + time).saturating_duration_since(now);
    let in_time = left(ask.objective);
    let longest = if ahead == 0 { in_time.max(FIRST_WAIT) } else { in_time };
    longest.min(left(ask.limit))
}

/// When rejected callers come back, by service.
#[derive(Debug, Default)]
pub(super) struct Backlog {
    /// When the next one that is rejected is to come back.
    next: HashMap<Tag, Instant>,
}

impl Backlog {
    /// Rejects a request that would wait too long, with so many ahead of it; `waits` says that it was let wait before,
    /// when its turn seemed near enough.
    pub(super) fn check(
        &mut self,
        service: Tag,
        rate: Rate,
        ask: &Ask,
        ahead: usize,
        waits: bool,
        now: Instant,
    ) -> Result<(), Rejection> {
        let wait = wait(rate, ahead);
        let turn = if waits { self::wait(rate, 0) } else { Duration::ZERO };
        if wait <= longest_wait(ask, ahead, now).saturating_add(turn) {
            return Ok(());
        }
        let after_ms = self.come_back(service, rate, wait, now).as_millis() as u64;
        Err(Rejection::Limited { after_ms })
    }

    /// The turns after those that wait, one caller at a time; from the first one again where they reach too far.
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
