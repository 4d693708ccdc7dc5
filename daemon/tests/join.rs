//! A VM that starts and waits for its peers: how long, also where it stands still meanwhile.
//!
//! Seen: on a busy machine a VM that had stood still for longer than it waits read the directory, though the word of
//! its peers lay in its socket.

use std::cell::Cell;
use std::time::{Duration, Instant};

use foldlockd::fleet::join;

const TIMEOUT: Duration = Duration::from_millis(50);

/// The thread does nothing else for twice as long as the VM waits.
fn stall() {
    let began = Instant::now();
    while began.elapsed() < TIMEOUT * 2 {}
}

#[tokio::test]
async fn messages_received_during_a_stall_count() {
    let polls = Cell::new(0);
    let is_up = || {
        polls.set(polls.get() + 1);
        if polls.get() == 1 {
            stall();
        }
        polls.get() > 2
    };
    assert!(join::poll_until(TIMEOUT, is_up).await);
}

#[tokio::test]
async fn the_wait_ends_after_a_fixed_number_of_polls() {
    let polls = Cell::new(0);
    let is_up = || {
        polls.set(polls.get() + 1);
        false
    };
    assert!(!join::poll_until(TIMEOUT, is_up).await);
    assert_eq!(polls.get(), 6, "one more than pauses");
}
