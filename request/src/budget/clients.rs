//! The clients of a scheduler, and the scheduler that a VM is a client of.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use foldlock_base::id;

use crate::cluster::Holder;

/// Time after its last message for which a scheduler counts a VM, as a share of the budget's window.
const CLIENT_TIMEOUT_SHARE: f64 = 0.4;

/// Time after its last message for which a VM stays a client of a scheduler, as a share of the budget's window.
/// Longer than `CLIENT_TIMEOUT_SHARE`, so that no VM counts at two schedulers.
const AFFILIATION_TIMEOUT_SHARE: f64 = 0.45;

/// One process of a VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Process {
    /// The VM.
    pub vm: id::Vm,
    /// The incarnation of the process.
    pub incarnation: u64,
}

/// The scheduler of which this VM is a client.
#[derive(Debug, Default)]
pub struct Affiliation {
    scheduler: Option<(Process, Instant)>,
}

impl Affiliation {
    /// Records a message to a scheduler. Returns whether this VM is its client. A VM becomes the client of another
    /// scheduler once its former one has ended, according to `has_ended`, or no longer counts it.
    pub fn contact(
        &mut self,
        scheduler: &Process,
        window: Duration,
        now: Instant,
        has_ended: impl FnOnce(&Process) -> bool,
    ) -> bool {
        let timeout = window.mul_f64(AFFILIATION_TIMEOUT_SHARE);
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
    client: Option<Period>,
}

/// An uninterrupted period in which a VM is a client.
#[derive(Debug)]
struct Period {
    first: Instant,
    last: Instant,
}

/// The VMs from which a scheduler receives messages.
#[derive(Debug, Default)]
pub(super) struct Clients {
    seen: HashMap<Holder, Seen>,
    settled: usize,
    swept: Option<Instant>,
}

impl Clients {
    /// Time between two sweeps for expired VMs, as a share of the time after which a VM no longer counts.
    const SWEEP_INTERVAL_SHARE: f64 = 0.05;

    /// Records a message from a VM.
    pub(super) fn record(&mut self, vm: &Holder, is_client: bool, now: Instant) {
        if !self.seen.contains_key(vm) {
            self.seen.insert(vm.clone(), Seen { at: now, client: None });
        }
        let seen = self.seen.get_mut(vm).expect("just inserted");
        seen.at = now;
        if is_client {
            seen.client.get_or_insert(Period { first: now, last: now }).last = now;
        }
    }

    /// Removes VMs that have timed out, unless the last sweep was within the sweep interval. Returns whether it swept.
    pub(super) fn expire(&mut self, window: Duration, now: Instant) -> bool {
        let timeout = window.mul_f64(CLIENT_TIMEOUT_SHARE);
        let age = |at: Instant| now.saturating_duration_since(at);
        if self.swept.is_some_and(|at| age(at) < timeout.mul_f64(Self::SWEEP_INTERVAL_SHARE)) {
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

    /// Returns the number of VMs that have been clients for longer than a window. What other schedulers spent for
    /// them before is older than the window.
    pub(super) fn settled(&self) -> usize {
        self.settled
    }

    /// Returns the number of VMs that have not timed out, clients or not.
    pub(super) fn contacts(&self) -> usize {
        self.seen.len()
    }

    /// Returns the number of other VMs that have not timed out.
    pub(super) fn peers(&self) -> usize {
        self.seen.len() - usize::from(self.seen.contains_key(&Holder::Own))
    }
}
