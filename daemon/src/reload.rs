//! The signal to reload the configuration file, SIGHUP, while the process starts.
//!
//! The signal ends a process without a handler. An operator may send it as soon as the process exists, so it is blocked
//! first and stays pending until its handler is installed. Threads that are started in between inherit the mask, and the
//! main thread receives the signal.

use nix::sys::signal::{SigSet, Signal};

/// Blocks the signal in this thread.
pub fn block_signal() -> std::io::Result<()> {
    Ok(SigSet::from(Signal::SIGHUP).thread_block()?)
}

/// Unblocks the signal in this thread, which delivers a pending one.
pub fn unblock_signal() -> std::io::Result<()> {
    Ok(SigSet::from(Signal::SIGHUP).thread_unblock()?)
}
