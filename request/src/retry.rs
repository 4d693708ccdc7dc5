//! The retry budget of a process: retries are limited to a share of the recent requests, so that a
//! failing upstream does not double the load on the others.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use foldlock_base::clock::Clock;

/// Time constant of the decay by which old requests and retries lose their weight.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Retries that are allowed in addition to the share, so that a VM with few requests can retry at
/// all.
const MIN_RETRIES: f64 = 3.0;

/// A retry budget. Counts requests and retries with exponential decay.
pub struct Budget<C> {
    clock: C,
    counts: Mutex<Counts>,
}

struct Counts {
    requests: f64,
    retries: f64,
    updated: Instant,
}

impl<C: Clock> Budget<C> {
    /// A budget without any requests or retries.
    pub fn new(clock: C) -> Budget<C> {
        let counts = Counts { requests: 0.0, retries: 0.0, updated: clock.now() };
        Budget { clock, counts: Mutex::new(counts) }
    }

    /// Counts a request.
    pub fn request(&self) {
        self.with_decayed(|c| c.requests += 1.0);
    }

    /// Takes a retry from the budget. Returns whether one was left, with retries limited to
    /// `percent` of the recent requests.
    pub fn retry(&self, percent: u8) -> bool {
        self.with_decayed(|c| {
            let limit = c.requests * f64::from(percent) / 100.0 + MIN_RETRIES;
            let allowed = percent > 0 && c.retries + 1.0 <= limit;
            if allowed {
                c.retries += 1.0;
            }
            allowed
        })
    }

    fn with_decayed<R>(&self, f: impl FnOnce(&mut Counts) -> R) -> R {
        let mut counts = self.counts.lock().unwrap();
        let now = self.clock.now();
        let elapsed = now.saturating_duration_since(counts.updated).as_secs_f64();
        let factor = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        counts.requests *= factor;
        counts.retries *= factor;
        counts.updated = now;
        f(&mut counts)
    }
}
