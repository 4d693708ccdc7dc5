//! A VM that starts and waits for its peers: how long, also where it stands still meanwhile.
//!
//! Seen: on a busy machine a VM that had stood still for longer than it waits read the directory, though the word of
//! its peers lay in its socket.

use std::cell::Cell;
use std::time::{Duration, Instant};

use foldlockd::fleet::join;

const PATIENCE: Duration = Duration::from_millis(50);

/// The thread does nothing else for twice as long as the VM waits.
fn stall() {
    let began = Instant::now();
    while began.elapsed() < PATIENCE * 2 {}
}

#[tokio::test]
async fn a_vm_that_stood_still_hears_what_it_was_told_meanwhile() {
    let looks = Cell::new(0);
    let heard = || {
        looks.set(looks.get() + 1);
        if looks.get() == 1 {
            stall();
        }
        looks.get() > 2
    };
    assert!(join::comes_about(PATIENCE, heard).await);
}

#[tokio::test]
async fn a_vm_that_hears_nobody_ends_its_wait() {
    let looks = Cell::new(0);
    let heard = || {
        looks.set(looks.get() + 1);
        false
    };
    assert!(!join::comes_about(PATIENCE, heard).await);
    assert_eq!(looks.get(), 6, "one more than pauses");
}
