//! The VMs that are to be withdrawn from the directory, and whether this one was.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use foldlock_base::prelude::*;
use foldlock_request::directory::WITHDRAW_BATCH_SIZE;
use tokio::sync::Notify;

/// The VMs that are to be withdrawn, and whether this one was.
#[derive(Debug, Default)]
pub struct Withdrawals {
    pending: Mutex<BTreeSet<id::Vm>>,
    added: Notify,
    withdrawn: Notify,
    /// Whether this VM stops and asks to be withdrawn.
    delegated: AtomicBool,
}

impl Withdrawals {
    /// A VM leaves.
    pub fn push(&self, vm: id::Vm) {
        self.pending.lock().unwrap().insert(vm);
        self.added.notify_one();
    }

    /// Waits until one leaves.
    pub async fn wait_pending(&self) {
        self.added.notified().await;
    }

    /// This VM stops, and asks to be withdrawn or does it itself.
    pub fn set_delegated(&self, delegated: bool) {
        self.delegated.store(delegated, Ordering::Relaxed);
    }

    /// Whether this VM stops and asks to be withdrawn: it was one of a large fleet then.
    pub fn is_delegated(&self) -> bool {
        self.delegated.load(Ordering::Relaxed)
    }

    /// This VM's own entry is gone.
    pub fn on_withdrawn(&self) {
        self.withdrawn.notify_one();
    }

    /// Waits until this VM's own entry is gone.
    pub async fn wait_withdrawn(&self) {
        self.withdrawn.notified().await;
    }

    /// As many as go with one call.
    pub fn next_batch(&self) -> Vec<id::Vm> {
        let mut pending = self.pending.lock().unwrap();
        std::iter::from_fn(|| pending.pop_first()).take(WITHDRAW_BATCH_SIZE).collect()
    }
}
