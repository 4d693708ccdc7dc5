//! The tunnels that this VM carries for peers, and the peers that open none for it now.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_connection::tunnel;

/// Share of the VM's memory for the tunnels that it carries.
const MEMORY_SHARE: f64 = 0.1;

/// How long a peer that opened no tunnel to a service is not asked again.
const PAUSE: Duration = Duration::from_millis(1_000);

/// The tunnels of this VM, and those that it carries.
#[derive(Debug)]
pub struct Tunnels {
    /// When peers that opened no tunnel to a service may be asked again.
    paused: Mutex<HashMap<(id::Vm, String), Instant>>,
    carried: AtomicUsize,
    max_carried: usize,
}

impl Tunnels {
    /// Creates the state of a VM with this much memory, bytes.
    pub fn new(memory: usize) -> Tunnels {
        let max_carried = (memory as f64 * MEMORY_SHARE) as usize / tunnel::MAX_MEMORY_BYTES;
        Tunnels { paused: Mutex::default(), carried: AtomicUsize::new(0), max_carried }
    }

    /// The number of tunnels that this VM carries for peers.
    pub fn carried(&self) -> usize {
        self.carried.load(Ordering::Relaxed)
    }

    /// Takes a place for a tunnel to be carried, unless all are taken. [`Tunnels::release`] returns it.
    pub fn take(&self) -> bool {
        let taken = self.carried.fetch_add(1, Ordering::Relaxed);
        let is_free = taken < self.max_carried;
        if !is_free {
            self.release();
        }
        is_free
    }

    /// Returns a place.
    pub fn release(&self) {
        self.carried.fetch_sub(1, Ordering::Relaxed);
    }

    /// Whether a peer is not asked for tunnels to a service now.
    pub fn is_paused(&self, vm: &id::Vm, service: &str, now: Instant) -> bool {
        let key = (vm.clone(), service.to_owned());
        self.paused.lock().unwrap().get(&key).is_some_and(|until| *until > now)
    }

    /// Records that a peer opens no tunnels to a service now.
    pub fn pause(&self, vm: &id::Vm, service: &str, now: Instant) {
        let mut paused = self.paused.lock().unwrap();
        paused.retain(|_, until| *until > now);
        paused.insert((vm.clone(), service.to_owned()), now + PAUSE);
    }
}
