//! A throttle of log lines: a maximum number per second, and a count of the suppressed ones.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Maximum lines per second for routine decisions: all decisions of 50 requests per second, six times the load of a VM
/// at the users' sites. Each line costs some 10 microseconds.
pub const ROUTINE_PER_S: u32 = 200;

/// Maximum lines per second for rejections, failures and retries, which should still be logged completely at loads at
/// which routine lines are suppressed.
pub const PROBLEM_PER_S: u32 = 400;

/// Maximum changes of the listings per second that are logged one by one. More of them occur when this VM or many
/// others start. Then each batch is one line, since lines for each peer and upstream at each VM would grow with the
/// square of the fleet size.
pub const LISTING_PER_S: u32 = 8;

/// Maximum lines per second for the scheduler's decisions by forecasts, for rejections and for other decisions each. At
/// tripled traffic on load pattern A, some 70 requests a second of all VMs are rejected.
pub const SCHEDULING_PER_S: u32 = 200;

const SECOND: Duration = Duration::from_secs(1);

/// A throttle of log lines.
#[derive(Debug)]
pub struct Throttle {
    max_per_s: u32,
    counts: Mutex<Counts>,
}

#[derive(Debug)]
struct Counts {
    since: Instant,
    written: u32,
    suppressed: u64,
}

impl Throttle {
    /// Creates a throttle that admits at most this many lines in each second, counted from `now`.
    pub fn new(max_per_s: u32, now: Instant) -> Throttle {
        Throttle { max_per_s, counts: Mutex::new(Counts { since: now, written: 0, suppressed: 0 }) }
    }

    /// Admits a line and returns how many were suppressed since the last one; none if this line is suppressed.
    pub fn admit(&self, now: Instant) -> Option<u64> {
        let mut counts = self.counts.lock().unwrap();
        if now.saturating_duration_since(counts.since) >= SECOND {
            counts.since = now;
            counts.written = 0;
        }
        if counts.written >= self.max_per_s {
            counts.suppressed += 1;
            return None;
        }
        counts.written += 1;
        Some(std::mem::take(&mut counts.suppressed))
    }
}
