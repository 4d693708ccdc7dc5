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
    /// Whether events of its response have been delivered already. The rest goes before new requests of the same
    /// priority, since the caller disconnects soon.
    pub resumes: bool,
}

impl Default for Caller {
    fn default() -> Caller {
        Caller {
            organisation: None,
            priority: Priority::default(),
            time_limit: Duration::MAX,
            patience: Duration::MAX,
            resumes: false,
        }
    }
}
