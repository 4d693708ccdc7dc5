//! The retry budget of a process: retries are limited to a share of the recent requests, so that a
//! failing upstream does not double the load on the others.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use foldlock_base::clock::Clock;

/// Time constant of the decay by which old requests and retries lose their weight.
const WINDOW: Duration = Duration::from_secs(10);

/// Retries that are allowed in addition to the share, so that a VM with few requests can retry at
/// all.
const FLOOR: f64 = 3.0;

/// A retry budget. Counts requests and retries with exponential decay.
pub struct Budget<C> {
    clock: C,
    counts: Mutex<Counts>,
}

struct Counts {
    requests: f64,
    retries: f64,
    at: Instant,
}

impl<C: Clock> Budget<C> {
    /// A budget without any requests or retries.
    pub fn new(clock: C) -> Budget<C> {
        let counts = Counts { requests: 0.0, retries: 0.0, at: clock.now() };
        Budget { clock, counts: Mutex::new(counts) }
    }

    /// Counts a request.
    pub fn request(&self) {
        self.decayed(|c| c.requests += 1.0);
    }

    /// Takes a retry from the budget. Returns whether one was left, with retries limited to
    /// `percent` of the recent requests.
    pub fn retry(&self, percent: u8) -> bool {
        self.decayed(|c| {
            let allowed = c.requests * f64::from(percent) / 100.0 + FLOOR;
            let within = percent > 0 && c.retries + 1.0 <= allowed;
            if within {
                c.retries += 1.0;
            }
            within
        })
    }

    fn decayed<R>(&self, f: impl FnOnce(&mut Counts) -> R) -> R {
        let mut counts = self.counts.lock().unwrap();
        let now = self.clock.now();
        let passed = now.saturating_duration_since(counts.at).as_secs_f64();
        let factor = (-passed / WINDOW.as_secs_f64()).exp();
        counts.requests *= factor;
        counts.retries *= factor;
        counts.at = now;
        f(&mut counts)
    }
}
