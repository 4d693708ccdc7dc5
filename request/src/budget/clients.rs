//! Which VMs a scheduler serves, and which scheduler a VM is a client of.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use foldlock_base::id;

use crate::board::Holder;

/// How long a VM counts at a scheduler after it asked, as a part of the budget's window.
const CLIENT_TIMEOUT: f64 = 0.4;

/// How long a VM stays a client of the scheduler that it asked last as one, as a part of the budget's
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
    /// Notes that this VM asks a scheduler. Answers whether it does so as its client: it changes to another
    /// scheduler once the former has ended, which `has_ended` tells, or no longer counts it.
    pub fn asks(
        &mut self,
        scheduler: &Process,
        window: Duration,
        now: Instant,
        has_ended: impl FnOnce(&Process) -> bool,
    ) -> bool {
        let stays = window.mul_f64(AFFILIATION_TIMEOUT);
        let is_bound = self.scheduler.as_ref().is_some_and(|(former, at)| {
            former != scheduler && now.saturating_duration_since(*at) < stays && !has_ended(former)
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
    /// How often all are looked through, as a part of the time that one counts.
    const SWEEP_INTERVAL: f64 = 0.05;

    /// Notes that a VM is heard.
    pub(super) fn note(&mut self, vm: &Holder, is_client: bool, now: Instant) {
        if !self.seen.contains_key(vm) {
            self.seen.insert(vm.clone(), Seen { at: now, client: None });
        }
        let seen = self.seen.get_mut(vm).expect("just inserted");
        seen.at = now;
        if is_client {
            seen.client.get_or_insert(Since { first: now, last: now }).last = now;
        }
    }

    /// Forgets VMs that were not heard of late.
    pub(super) fn expire(&mut self, window: Duration, now: Instant) {
        let lasts = window.mul_f64(CLIENT_TIMEOUT);
        let age = |at: Instant| now.saturating_duration_since(at);
        if self.swept.is_some_and(|at| age(at) < lasts.mul_f64(Self::SWEEP_INTERVAL)) {
            return;
        }
        self.swept = Some(now);
        self.seen.retain(|_, seen| {
            seen.client.take_if(|client| age(client.last) >= lasts);
            age(seen.at) < lasts
        });
        let is_settled =
            |seen: &&Seen| seen.client.as_ref().is_some_and(|client| age(client.first) > window);
        self.settled = self.seen.values().filter(is_settled).count();
    }

    /// The clients that have been here for a window: what they held at another scheduler before is spent
    /// or lost by now.
    pub(super) fn settled(&self) -> usize {
        self.settled
    }

    /// The VMs that are heard, as clients or not.
    pub(super) fn heard(&self) -> usize {
        self.seen.len()
    }
}
