//! What the order of queued requests depends on besides their deadlines: who sends them, and how long that caller
//! waits.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::tag::Tag;

/// The priority of a request; lower values are more urgent. The organisation's priority is compared first, then the
/// route's.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Priority {
    /// Priority of the organisation.
    pub organisation: u8,
    /// Priority of the route.
    pub route: u8,
}

/// The caller of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Caller {
    /// Its organisation; none for requests without an API key.
    pub organisation: Option<Tag>,
    /// The priority of the request.
    pub priority: Priority,
    /// Time from arrival after which the caller no longer waits for the response.
    pub time_limit: Duration,
    /// Longest time without an event, the first one included, after which the caller disconnects.
    pub patience: Duration,
}

impl Caller {
    /// The caller of a response whose first events have been delivered. Its limits are not compared with forecasts, which
    /// are of whole responses: the rest takes less time, and only this VM can resume it.
    pub fn without_limits(self) -> Caller {
        Caller { time_limit: Duration::MAX, patience: Duration::MAX, ..self }
    }
}

impl Default for Caller {
    fn default() -> Caller {
        Caller {
            organisation: None,
            priority: Priority::default(),
            time_limit: Duration::MAX,
            patience: Duration::MAX,
        }
    }
}
