//! Promised return times that a VM received for its callers, and their announcement to the schedulers.
//!
//! Load patterns A and B: while capacity is scarce, rejected callers return at promised times. A
//! scheduler that takes over must know these, so the VM announces them until they end.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use foldlock_version::routes::Service;
use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::placement::Requirements;
use crate::tag::Tag;

/// Maximum number of promises that a VM keeps and announces: 1.8 kB of a heartbeat.
pub const MAX_ANNOUNCED: usize = 64;

/// How long a promise is kept after its time. Callers add random delays of up to a second, and may
/// have to open a connection.
pub const GRACE: Duration = Duration::from_secs(2);

/// The longest time ahead for which a return is promised. The longest time limit of callers is
/// 15 s, a third of which is 5 s; longer times come from callers that state no limit, or from
/// faulty clocks.
pub const MAX_AHEAD: Duration = Duration::from_secs(10);

/// Identifies the capacity of a service for such a request. The capacities for short and for long
/// prompts are measured separately, and so are the promises spaced.
pub fn capacity(service: &Service, requirements: &Requirements) -> Tag {
    let engine = service.engine.as_ref();
    if engine.is_some_and(|engine| requirements.long_prefill_ms(engine).is_some()) {
        Tag::of(&format!("{} long", service.name))
    } else {
        Tag::of(&service.name)
    }
}

/// A promise as announced to the schedulers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The request that was rejected.
    pub fingerprint: Fingerprint,
    /// Identifies the capacity of which it is a part, see [`capacity`].
    pub service: Tag,
    /// Milliseconds until the promised time; negative once it has passed.
    pub until_ms: i64,
}

impl Announcement {
    /// The promised time on this process's clock; none if the promise has ended or its time is
    /// implausible.
    pub fn at(&self, now: Instant) -> Option<Instant> {
        let distance = Duration::from_millis(self.until_ms.unsigned_abs());
        if self.until_ms >= 0 {
            (distance <= MAX_AHEAD).then(|| now + distance)
        } else {
            now.checked_sub(distance).filter(|_| distance < GRACE)
        }
    }
}

#[derive(Debug)]
struct Promise {
    fingerprint: Fingerprint,
    service: Tag,
    at: Instant,
}

impl Promise {
    fn announcement(&self, now: Instant) -> Announcement {
        let ahead = self.at.saturating_duration_since(now).as_millis() as i64;
        let passed = now.saturating_duration_since(self.at).as_millis() as i64;
        Announcement {
            fingerprint: self.fingerprint,
            service: self.service,
            until_ms: ahead - passed,
        }
    }
}

/// The promises that a VM received for its callers.
#[derive(Debug, Default)]
pub struct Received {
    /// The newest ones, in the order in which they were received.
    promises: VecDeque<Promise>,
}

impl Received {
    /// Adds a promise, in place of an earlier one to the same request. Returns its announcement;
    /// none if the time is implausible.
    pub fn add(
        &mut self,
        fingerprint: Fingerprint,
        service: Tag,
        after: Duration,
        now: Instant,
    ) -> Option<Announcement> {
        if after > MAX_AHEAD {
            return None;
        }
        let promise = Promise { fingerprint, service, at: now + after };
        let announcement = promise.announcement(now);
        self.promises.retain(|kept| kept.fingerprint != fingerprint);
        if self.promises.len() >= MAX_ANNOUNCED {
            self.promises.pop_front();
        }
        self.promises.push_back(promise);
        Some(announcement)
    }

    /// The promises that have not ended, in the order in which they were received.
    pub fn announced(&mut self, now: Instant) -> Vec<Announcement> {
        self.promises.retain(|promise| now.saturating_duration_since(promise.at) < GRACE);
        self.promises.iter().map(|promise| promise.announcement(now)).collect()
    }
}
