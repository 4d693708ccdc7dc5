//! When a refused caller is told to come back.

use std::time::Duration;

/// Why a request is refused that has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// This VM is about to end.
    Stopping,
    /// This VM has no settings, and others may serve without a word of the directory.
    NoSettings,
    /// No VM serves the caller's key before the directory confirms it: the settings of this VM are too
    /// old, or it has none.
    OldSettings,
    /// No upstream has a placement for it.
    Full,
    /// No upstreams have a placement for a long prompt.
    FullForLong,
}

/// A new connection reaches another VM.
const STOPPING: Duration = Duration::from_millis(50);

/// The part of the caller's time, where there are no settings: all VMs have started while the directory
/// is away, which takes seconds as a rule. Most callers ask once more, so they had better not do it
/// while it still is; the rest of the time is for their answer.
const NO_SETTINGS: f64 = 1.0 / 3.0;

/// All VMs refuse until the directory is back. With a third of the caller's time, the callers of an
/// outage come back together with as many who are new, and both are late.
const OLD_SETTINGS: Duration = Duration::from_millis(500);

/// Short requests end within a second or two.
const FULL: Duration = Duration::from_millis(500);

/// The mix of lengths changes within seconds.
const FULL_FOR_LONG: Duration = Duration::from_secs(3);

impl Cause {
    /// When a caller that has this much time is told to come back.
    pub fn retry_after(self, time: Duration) -> Duration {
        match self {
            Cause::Stopping => STOPPING,
            Cause::NoSettings => time.mul_f64(NO_SETTINGS),
            Cause::OldSettings => OLD_SETTINGS,
            Cause::Full => FULL,
            Cause::FullForLong => FULL_FOR_LONG,
        }
    }
}
