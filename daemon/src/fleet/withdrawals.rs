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
    waiting: Mutex<BTreeSet<id::Vm>>,
    came: Notify,
    withdrawn: Notify,
    /// Whether this VM stops and asks to be withdrawn.
    asks: AtomicBool,
}

impl Withdrawals {
    /// A VM leaves.
    pub fn note(&self, vm: id::Vm) {
        self.waiting.lock().unwrap().insert(vm);
        self.came.notify_one();
    }

    /// Waits until one leaves.
    pub async fn came(&self) {
        self.came.notified().await;
    }

    /// This VM stops, and asks to be withdrawn or does it itself.
    pub fn stops(&self, asks: bool) {
        self.asks.store(asks, Ordering::Relaxed);
    }

    /// Whether this VM stops and asks to be withdrawn: it was one of a large fleet then.
    pub fn asks(&self) -> bool {
        self.asks.load(Ordering::Relaxed)
    }

    /// This VM's own entry is gone.
    pub fn withdrawn(&self) {
        self.withdrawn.notify_one();
    }

    /// Waits until this VM's own entry is gone.
    pub async fn gone(&self) {
        self.withdrawn.notified().await;
    }

    /// As many as go with one call.
    pub fn some(&self) -> Vec<id::Vm> {
        let mut waiting = self.waiting.lock().unwrap();
        std::iter::from_fn(|| waiting.pop_first()).take(WITHDRAW_BATCH_SIZE).collect()
    }
}
