//! Which VMs a scheduler serves, and which scheduler a VM is a client of.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use foldlock_base::id;

use crate::cluster::Holder;

/// How long a scheduler counts a VM after its last message, as a share of the budget's window.
const CLIENT_TIMEOUT: f64 = 0.4;

/// How long a VM stays a client of a scheduler after its last message to it, as a share of the budget's
/// window: longer than it counts there, so that it never counts at two.
const AFFILIATION_TIMEOUT: f64 = 0.45;

/// A process of a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Process {
    /// The VM.
    pub vm: id::Vm,
    /// The start of the process.
    pub incarnation: u64,
}

/// The scheduler that counts this VM as its client.
#[derive(Debug, Default)]
pub struct Affiliation {
    scheduler: Option<(Process, Instant)>,
}

impl Affiliation {
    /// Records a message to a scheduler. Returns whether this VM is its client: it changes to another one
    /// when the former has ended, as `has_ended` says, or no longer counts it.
    pub fn contact(
        &mut self,
        scheduler: &Process,
        window: Duration,
        now: Instant,
        has_ended: impl FnOnce(&Process) -> bool,
    ) -> bool {
        let timeout = window.mul_f64(AFFILIATION_TIMEOUT);
        let is_bound = self.scheduler.as_ref().is_some_and(|(former, at)| {
            former != scheduler
                && now.saturating_duration_since(*at) < timeout
                && !has_ended(former)
        });
        if !is_bound {
            self.scheduler = Some((scheduler.clone(), now));
        }
        !is_bound
    }
}

#[derive(Debug)]
struct Seen {
    at: Instant,
    client: Option<Since>,
}

/// The time for which a VM is a client without a break.
#[derive(Debug)]
struct Since {
    first: Instant,
    last: Instant,
}

/// The VMs that a scheduler serves.
#[derive(Debug, Default)]
pub(super) struct Clients {
    seen: HashMap<Holder, Seen>,
    settled: usize,
    swept: Option<Instant>,
}

impl Clients {
    /// Time between two sweeps for expired VMs, as a share of `CLIENT_TIMEOUT`.
    const SWEEP_INTERVAL: f64 = 0.05;

    /// Records a message from a VM.
    pub(super) fn record(&mut self, vm: &Holder, is_client: bool, now: Instant) {
        if !self.seen.contains_key(vm) {
            self.seen.insert(vm.clone(), Seen { at: now, client: None });
        }
        let seen = self.seen.get_mut(vm).expect("just inserted");
        seen.at = now;
        if is_client {
            seen.client.get_or_insert(Since { first: now, last: now }).last = now;
        }
    }

    /// Forgets VMs that have sent nothing of late, if that was not done just now. Returns whether it was done.
    pub(super) fn expire(&mut self, window: Duration, now: Instant) -> bool {
        let timeout = window.mul_f64(CLIENT_TIMEOUT);
        let age = |at: Instant| now.saturating_duration_since(at);
        if self.swept.is_some_and(|at| age(at) < timeout.mul_f64(Self::SWEEP_INTERVAL)) {
            return false;
        }
        self.swept = Some(now);
        self.seen.retain(|_, seen| {
            seen.client.take_if(|client| age(client.last) >= timeout);
            age(seen.at) < timeout
        });
        let is_settled =
            |seen: &&Seen| seen.client.as_ref().is_some_and(|client| age(client.first) > window);
        self.settled = self.seen.values().filter(is_settled).count();
        true
    }

    /// The clients of longer than a window: what another scheduler spent for them before is out of the
    /// window.
    pub(super) fn settled(&self) -> usize {
        self.settled
    }

    /// The VMs that sent something of late, as clients or not.
    pub(super) fn contacts(&self) -> usize {
        self.seen.len()
    }
}
