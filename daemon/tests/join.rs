//! How long a starting VM waits for its peers, also if it is stalled meanwhile.
//!
//! Guards against a needless read of the directory: on a busy machine a VM that was stalled for
//! longer than it waits read the directory, although heartbeats of its peers were in its socket
//! buffer.

use std::cell::Cell;
use std::time::{Duration, Instant};

use foldlockd::fleet::join;

const TIMEOUT: Duration = Duration::from_millis(50);

/// Blocks the thread for twice as long as the VM waits.
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
    assert_eq!(polls.get(), 6, "one more than the number of sleeps");
}
