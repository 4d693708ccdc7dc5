//! How often VMs tell each other that nothing happened, and the times that follow from it.

use std::time::Duration;

/// The longest time between two beats of a small fleet.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Beats a second that a VM which places takes from all others together, and sends them. A period that does
/// not grow with the fleet would have it spend all of its processor on what did not happen.
const MAX_HEARTBEATS_PER_S: u32 = 2_000;

/// Lost beats that are borne before a VM is asked no more to place: two, and the way of the third.
const SCHEDULER_TIMEOUT_HEARTBEATS: u32 = 3;

/// The time that the third may take.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(50);

/// Beats after which a VM that asked to hear is told no more.
const SUBSCRIPTION_HEARTBEATS: u32 = 5;

/// Beats after which a silent VM is taken for down, and the least time for that.
const DOWN_TIMEOUT_HEARTBEATS: u32 = 5;
const MIN_DOWN_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Beats until a VM that starts has heard of all that is under way: the others find it within two, and some of
/// these are lost.
const SYNC_HEARTBEATS: u32 = 5;

/// The times of a fleet of some size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    heartbeat_interval: Duration,
    /// The time in which a VM may tell all others once.
    broadcast_time: Duration,
}

impl Timing {
    /// The times of a fleet of this many VMs.
    pub fn of(vms: usize) -> Timing {
        let broadcast_time = Duration::from_secs(1) * vms as u32 / MAX_HEARTBEATS_PER_S;
        Timing { heartbeat_interval: broadcast_time.max(MIN_HEARTBEAT_INTERVAL), broadcast_time }
    }

    /// The longest time between two beats.
    pub fn heartbeat_interval(self) -> Duration {
        self.heartbeat_interval
    }

    /// The least time between two rounds to all that a VM has news for: what comes meanwhile gathers.
    pub fn broadcast_interval(self) -> Duration {
        self.broadcast_time / 2
    }

    /// A VM that was not heard for this long places nothing.
    pub fn scheduler_timeout(self) -> Duration {
        self.heartbeat_interval * SCHEDULER_TIMEOUT_HEARTBEATS + MAX_TRANSIT_TIME
    }

    /// How long a VM that asked to hear from another is told.
    pub fn subscription_timeout(self) -> Duration {
        self.heartbeat_interval * SUBSCRIPTION_HEARTBEATS
    }

    /// How long a VM runs until it has heard of all that is under way.
    pub fn sync_time(self) -> Duration {
        self.heartbeat_interval * SYNC_HEARTBEATS
    }

    /// A peer that was not heard for this long is taken for down.
    pub fn down_timeout(self) -> Duration {
        (self.heartbeat_interval * DOWN_TIMEOUT_HEARTBEATS).max(MIN_DOWN_TIMEOUT)
    }
}
