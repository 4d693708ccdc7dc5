//! How often VMs tell each other that nothing happened, and the times that follow from it.

use std::time::Duration;

/// The longest time between two beats of a small fleet.
const IDLE: Duration = Duration::from_millis(200);

/// Beats a second that a VM which places takes from all others together, and sends them. A period that does
/// not grow with the fleet would have it spend all of its processor on what did not happen.
const BEATS_PER_S: u32 = 2_000;

/// Lost beats that are borne before a VM is asked no more to place: two, and the way of the third.
const PLACES: u32 = 3;

/// The time that the third may take.
const ON_ITS_WAY: Duration = Duration::from_millis(50);

/// Beats after which a VM that asked to hear is told no more.
const WANTS: u32 = 5;

/// Beats after which a silent VM is taken for down, and the least time for that.
const SILENT: u32 = 5;
const LEAST_SILENT: Duration = Duration::from_millis(2_000);

/// Beats until a VM that starts has heard of all that is under way: the others find it within two, and some of
/// these are lost.
const SETTLES: u32 = 5;

/// The times of a fleet of some size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cadence {
    idle: Duration,
    /// The time in which a VM may tell all others once.
    shared: Duration,
}

impl Cadence {
    /// The times of a fleet of this many VMs.
    pub fn of(vms: usize) -> Cadence {
        let shared = Duration::from_secs(1) * vms as u32 / BEATS_PER_S;
        Cadence { idle: shared.max(IDLE), shared }
    }

    /// The longest time between two beats.
    pub fn idle(self) -> Duration {
        self.idle
    }

    /// The least time between two rounds to all that a VM has news for: what comes meanwhile gathers.
    pub fn gather(self) -> Duration {
        self.shared / 2
    }

    /// A VM that was not heard for this long places nothing.
    pub fn places(self) -> Duration {
        self.idle * PLACES + ON_ITS_WAY
    }

    /// How long a VM that asked to hear from another is told.
    pub fn wants(self) -> Duration {
        self.idle * WANTS
    }

    /// How long a VM runs until it has heard of all that is under way.
    pub fn settles(self) -> Duration {
        self.idle * SETTLES
    }

    /// A peer that was not heard for this long is taken for down.
    pub fn silent(self) -> Duration {
        (self.idle * SILENT).max(LEAST_SILENT)
    }
}
