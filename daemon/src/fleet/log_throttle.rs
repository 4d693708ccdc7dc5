//! The bound on log lines of decisions: so many a second, and a count of what was left out.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Lines a second for decisions that went well: 50 requests a second with all their decisions, six
/// times what a VM of the users' sites serves. Each costs some 10 microseconds.
pub const ROUTINE_PER_S: u32 = 200;

/// Lines a second for refusals, failures and repeats, which are wanted whole for longer.
pub const PROBLEM_PER_S: u32 = 400;

/// Changes of the listings that are logged one by one in a second. More than that come with a start, or of
/// many that start at once: then each batch is one line, since a line for each peer and upstream at each VM
/// grows with the square of the fleet.
pub const LISTING_PER_S: u32 = 8;

const SECOND: Duration = Duration::from_secs(1);

/// A bound on lines.
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
    /// At most so many lines in each second from `now` on.
    pub fn new(max_per_s: u32, now: Instant) -> Throttle {
        Throttle { max_per_s, counts: Mutex::new(Counts { since: now, written: 0, suppressed: 0 }) }
    }

    /// Whether a line may be written; if so, how many were left out since the last one.
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
