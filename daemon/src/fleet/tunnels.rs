//! The tunnels that this VM carries for peers, and which peers open tunnels for it.

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

/// How long a peer that opened a tunnel to a service is preferred.
const PREFERENCE: Duration = Duration::from_secs(5);

/// What a peer last did when it was asked for a tunnel to a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It opened one.
    Preferred,
    /// It has not been asked of late.
    Unknown,
    /// It opened none.
    Paused,
}

/// The tunnels that this VM carries, and the standing of its peers.
#[derive(Debug)]
pub struct Tunnels {
    /// The standing of peers for a service, until when.
    standings: Mutex<HashMap<(id::Vm, String), (Standing, Instant)>>,
    carried: AtomicUsize,
    max_carried: usize,
}

impl Tunnels {
    /// Creates the state of a VM with this much memory, bytes.
    pub fn new(memory: usize) -> Tunnels {
        let max_carried = (memory as f64 * MEMORY_SHARE) as usize / tunnel::MAX_MEMORY_BYTES;
        Tunnels { standings: Mutex::default(), carried: AtomicUsize::new(0), max_carried }
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

    /// The standing of a peer for a service.
    pub fn standing(&self, vm: &id::Vm, service: &str, now: Instant) -> Standing {
        let key = (vm.clone(), service.to_owned());
        let standings = self.standings.lock().unwrap();
        let current = standings.get(&key).filter(|(_, until)| *until > now);
        current.map_or(Standing::Unknown, |(standing, _)| *standing)
    }

    /// The peers that opened a tunnel to a service of late.
    pub fn preferred(&self, service: &str, now: Instant) -> Vec<id::Vm> {
        let standings = self.standings.lock().unwrap();
        let preferred = standings.iter().filter(|((_, of), (standing, until))| {
            of == service && *standing == Standing::Preferred && *until > now
        });
        preferred.map(|((vm, _), _)| vm.clone()).collect()
    }

    /// Records whether a peer opened a tunnel to a service.
    pub fn record(&self, vm: &id::Vm, service: &str, opened: bool, now: Instant) {
        let (standing, time) =
            if opened { (Standing::Preferred, PREFERENCE) } else { (Standing::Paused, PAUSE) };
        let mut standings = self.standings.lock().unwrap();
        standings.retain(|_, (_, until)| *until > now);
        standings.insert((vm.clone(), service.to_owned()), (standing, now + time));
    }
}
