//! The budget of retries: a share of recent requests, so that a failing upstream does not double
//! the load on the others.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use foldlock_base::clock::Clock;

/// Requests older than this no longer count.
const WINDOW: Duration = Duration::from_secs(10);

/// Retries that are allowed whatever the share, so that a quiet VM can retry at all.
const FLOOR: f64 = 3.0;

/// Counts requests and retries with exponential decay over the window.
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
    /// An unused budget.
    pub fn new(clock: C) -> Budget<C> {
        let counts = Counts { requests: 0.0, retries: 0.0, at: clock.now() };
        Budget { clock, counts: Mutex::new(counts) }
    }

    /// Counts a request.
    pub fn request(&self) {
        self.decayed(|c| c.requests += 1.0);
    }

    /// Takes a retry, if it is within `percent` of recent requests.
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
