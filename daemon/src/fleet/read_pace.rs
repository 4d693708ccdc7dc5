//! When a VM reads settings and listings from peers.
//!
//! Load patterns: after the loss of all VMs, all of them read both texts from the few that have
//! them, while callers wait; after a change in a running fleet, all of them read one text, and
//! nobody waits.

use std::time::Duration;

use crate::fleet::metrics::Text;

/// Timeout of a read from a peer.
pub const READ_TIMEOUT: Duration = Duration::from_millis(800);

/// Time between the reads of two VMs.
const DELAY_PER_VM: Duration = Duration::from_millis(2);

/// Maximum delay of a VM: settings have to be in force everywhere in 2 s.
const MAX_DELAY: Duration = Duration::from_millis(400);

/// Pause between two reads of the same text, and after a failed read.
const READ_INTERVAL: Duration = Duration::from_millis(100);

/// Time that a text takes on the smallest link.
const TEXT_TIME: Duration = Duration::from_millis(10);

/// Number of VMs that may read a text from one peer at once: it takes as long as the timeout to send
/// the text to all of them.
const MAX_READERS: u32 = (READ_TIMEOUT.as_millis() / TEXT_TIME.as_millis()) as u32;

/// What a VM has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holdings {
    /// Settings are in force.
    pub settings: bool,
    /// Listings have been received.
    pub listings: bool,
}

impl Holdings {
    /// Delay before the first of several reads. `turn` is a random number below the number of listed
    /// VMs. A VM that has just started serves no caller before it has both texts.
    pub fn initial_delay(self, turn: u32) -> Duration {
        if !self.settings {
            Duration::ZERO
        } else if !self.listings {
            first_listings_delay(turn)
        } else {
            (DELAY_PER_VM * turn).min(MAX_DELAY)
        }
    }

    /// Pause after a read of `text`. The VM has these texts after the read.
    pub fn pause_after(self, text: Text, succeeded: bool, turn: u32) -> Duration {
        let needs_listings = text == Text::Settings && !self.listings;
        if succeeded && needs_listings { first_listings_delay(turn) } else { READ_INTERVAL }
    }
}

/// Delay of a VM that has settings and no listings: none up to the fleet size at which one peer could
/// send them to all at once.
fn first_listings_delay(turn: u32) -> Duration {
    (DELAY_PER_VM * (turn + 1).saturating_sub(MAX_READERS)).min(MAX_DELAY)
}
