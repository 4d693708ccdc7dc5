//! VMs to withdraw from the directory, and the withdrawal of this VM.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use foldlock_base::prelude::*;
use foldlock_request::directory::WITHDRAW_BATCH_SIZE;
use tokio::sync::Notify;

/// The VMs that this one is to withdraw, and the state of its own withdrawal.
#[derive(Debug, Default)]
pub struct Withdrawals {
    pending: Mutex<BTreeSet<id::Vm>>,
    added: Notify,
    withdrawn: Notify,
    /// Whether this VM is stopping and asks another VM to withdraw it.
    delegated: AtomicBool,
}

impl Withdrawals {
    /// Adds a VM to withdraw.
    pub fn push(&self, vm: id::Vm) {
        self.pending.lock().unwrap().insert(vm);
        self.added.notify_one();
    }

    /// Waits until a VM was added.
    pub async fn wait_pending(&self) {
        self.added.notified().await;
    }

    /// Records that this VM is stopping, and whether it asks another VM to withdraw it or does so
    /// itself.
    pub fn set_delegated(&self, delegated: bool) {
        self.delegated.store(delegated, Ordering::Relaxed);
    }

    /// Whether this VM is stopping and asks another VM to withdraw it. It was part of a large fleet
    /// when it began to stop.
    pub fn is_delegated(&self) -> bool {
        self.delegated.load(Ordering::Relaxed)
    }

    /// Notifies that this VM's own entry was removed.
    pub fn on_withdrawn(&self) {
        self.withdrawn.notify_one();
    }

    /// Waits until this VM's own entry was removed.
    pub async fn wait_withdrawn(&self) {
        self.withdrawn.notified().await;
    }

    /// Takes the VMs for the next call, at most [`WITHDRAW_BATCH_SIZE`].
    pub fn next_batch(&self) -> Vec<id::Vm> {
        let mut pending = self.pending.lock().unwrap();
        std::iter::from_fn(|| pending.pop_first()).take(WITHDRAW_BATCH_SIZE).collect()
    }
}
