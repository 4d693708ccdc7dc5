//! The `retry-after` time of rejected requests.

use std::time::Duration;

/// Why a request is rejected before it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// This VM is shutting down.
    Stopping,
    /// This VM has no settings; other VMs may serve the request with settings that the directory
    /// has not confirmed.
    NoSettings,
    /// No VM serves requests with this key until the directory confirms the settings: those of this
    /// VM are too old, or it has none.
    StaleSettings,
    /// No upstream has capacity for the request.
    Full,
    /// No group of upstreams has capacity for a long prompt.
    FullForLongPrompts,
    /// Bodies of requests and responses exceeded their bound in the VM's memory, and the request had the largest.
    Memory,
}

/// Short, since a new connection reaches another VM.
const STOPPING: Duration = Duration::from_millis(50);

/// Share of the caller's remaining time. This happens when all VMs have started during an outage of
/// the directory, which usually lasts seconds. Most callers retry once, so the retry should come
/// after the outage; two thirds of the time are left for the response.
const NO_SETTINGS_SHARE: f64 = 1.0 / 3.0;

/// All VMs reject until the directory is back. With a third of the caller's time instead, the
/// callers rejected in an outage would return together, on top of as many new requests, and both
/// would be late.
const STALE_SETTINGS: Duration = Duration::from_millis(500);

/// Short requests finish within a second or two, which frees capacity.
const FULL: Duration = Duration::from_millis(500);

/// The mix of prompt lengths changes within seconds.
const FULL_FOR_LONG_PROMPTS: Duration = Duration::from_secs(3);

/// Bodies are held until their responses are complete, for most of them within a second or two, as for
/// [`FULL`].
const MEMORY: Duration = Duration::from_millis(500);

impl Cause {
    /// The retry time for a caller that has `time` left.
    pub fn retry_after(self, time: Duration) -> Duration {
        match self {
            Cause::Stopping => STOPPING,
            Cause::NoSettings => time.mul_f64(NO_SETTINGS_SHARE),
            Cause::StaleSettings => STALE_SETTINGS,
            Cause::Full => FULL,
            Cause::FullForLongPrompts => FULL_FOR_LONG_PROMPTS,
            Cause::Memory => MEMORY,
        }
    }
}
