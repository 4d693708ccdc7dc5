//! How long a VM waits before it reads settings and listings from peers.
//!
//! Guards against a starting VM that has settings but waits for 100 to 330 ms until it reads the
//! listings, without which it routes no request.

use std::time::Duration;

use foldlockd::fleet::metrics::Text;
use foldlockd::fleet::read_pace::{Holdings, READ_TIMEOUT};

const NONE: Holdings = Holdings { settings: false, listings: false };
const SETTINGS: Holdings = Holdings { settings: true, listings: false };
const ALL: Holdings = Holdings { settings: true, listings: true };

/// The size of the fleet in load pattern B.
const VMS: u32 = 77;

#[test]
fn a_starting_vm_reads_settings_and_listings_without_a_delay() {
    for turn in 0..VMS {
        assert_eq!(NONE.initial_delay(turn), Duration::ZERO);
        assert_eq!(SETTINGS.initial_delay(turn), Duration::ZERO);
        assert_eq!(SETTINGS.pause_after(Text::Settings, true, turn), Duration::ZERO);
    }
}

/// A text takes 10 ms on the smallest link, so reads of more than 80 VMs at once would time out at a
/// peer that sends to all of them.
#[test]
fn in_a_large_fleet_few_vms_read_the_first_listings_at_once() {
    let delays = (0..1_000).map(|turn| SETTINGS.initial_delay(turn));
    let at_once = delays.filter(Duration::is_zero).count();
    assert_eq!(Duration::from_millis(10) * at_once as u32, READ_TIMEOUT);
    assert_eq!(SETTINGS.initial_delay(999), Duration::from_millis(400));
    let pause = SETTINGS.pause_after(Text::Settings, true, 999);
    assert_eq!(pause, Duration::from_millis(400));
}

/// A change in a running fleet is read in turns, and a failed or repeated read after a pause, as
/// before.
#[test]
fn a_running_vm_waits_for_its_turn() {
    assert_eq!(ALL.initial_delay(50), Duration::from_millis(100));
    assert_eq!(ALL.initial_delay(1_000), Duration::from_millis(400));
    for holdings in [SETTINGS, ALL] {
        for (text, succeeded) in
            [(Text::Settings, false), (Text::Listing, true), (Text::Listing, false)]
        {
            assert_eq!(holdings.pause_after(text, succeeded, 0), Duration::from_millis(100));
        }
    }
    assert_eq!(ALL.pause_after(Text::Settings, true, 0), Duration::from_millis(100));
}
