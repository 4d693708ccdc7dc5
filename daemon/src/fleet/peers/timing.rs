//! The heartbeat interval, and the timeouts that are derived from it.

use std::time::Duration;

/// The heartbeat interval of a small fleet.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// The heartbeats per second that a scheduler receives from all other VMs together, and sends to
/// them. With an interval that does not grow with the fleet, a scheduler would spend all of its
/// processor time on idle heartbeats.
const MAX_HEARTBEATS_PER_S: u32 = 2_000;

/// The heartbeat intervals after which a VM is no longer used as scheduler: two heartbeats may be
/// lost, and the third may still be in transit.
const SCHEDULER_TIMEOUT_HEARTBEATS: u32 = 3;

/// The time that the third heartbeat may be in transit.
const MAX_TRANSIT_TIME: Duration = Duration::from_millis(50);

/// The heartbeat intervals after which a subscription to heartbeats ends.
const SUBSCRIPTION_HEARTBEATS: u32 = 5;

/// The heartbeat intervals without a heartbeat after which a VM counts as down, and the minimum
/// time for that.
const DOWN_TIMEOUT_HEARTBEATS: u32 = 5;
const MIN_DOWN_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The heartbeat intervals until a VM that starts has received all in-flight attempts: the others
/// discover it within two, and some heartbeats are lost.
const SYNC_HEARTBEATS: u32 = 5;

/// The heartbeat interval and timeouts for a fleet size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    heartbeat_interval: Duration,
    /// The time that a VM takes to send one heartbeat to each other VM.
    broadcast_time: Duration,
}

impl Timing {
    /// Returns the times for a fleet of this many VMs.
    pub fn of(vms: usize) -> Timing {
        let broadcast_time = Duration::from_secs(1) * vms as u32 / MAX_HEARTBEATS_PER_S;
        Timing { heartbeat_interval: broadcast_time.max(MIN_HEARTBEAT_INTERVAL), broadcast_time }
    }

    /// The maximum time between two heartbeats.
    pub fn heartbeat_interval(self) -> Duration {
        self.heartbeat_interval
    }

    /// The minimum time between two heartbeats to all subscribers. Changes within it are announced
    /// together.
    pub fn broadcast_interval(self) -> Duration {
        self.broadcast_time / 2
    }

    /// A VM without a heartbeat for this long is not used as scheduler.
    pub fn scheduler_timeout(self) -> Duration {
        self.heartbeat_interval * SCHEDULER_TIMEOUT_HEARTBEATS + MAX_TRANSIT_TIME
    }

    /// How long a VM receives heartbeats after it last requested them.
    pub fn subscription_timeout(self) -> Duration {
        self.heartbeat_interval * SUBSCRIPTION_HEARTBEATS
    }

    /// How long after its start a VM has received all in-flight attempts.
    pub fn sync_time(self) -> Duration {
        self.heartbeat_interval * SYNC_HEARTBEATS
    }

    /// A peer without a heartbeat for this long counts as down.
    pub fn down_timeout(self) -> Duration {
        (self.heartbeat_interval * DOWN_TIMEOUT_HEARTBEATS).max(MIN_DOWN_TIMEOUT)
    }
}
