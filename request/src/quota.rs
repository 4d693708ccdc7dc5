//! Allocation of a limit to VMs by their demand. The limit's home, the VM that coordinates it, does
//! this at each heartbeat exchange.
//!
//! A quota is valid for [`LEASE`], and the home grants only what is not leased to other VMs. So
//! under one home the quotas never sum to more than the limit, even if VMs join, crash or are
//! partitioned. The quota of a crashed VM becomes available when its lease expires. A VM that gets
//! no quota from a home falls back to an equal share among the VMs in its member list; a new home
//! starts with an empty ledger. In both cases the sum can reach twice the limit, for the time of
//! one lease.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use foldlock_base::id;
use foldlock_connection::wire::{Demand, Quota};

/// How long a quota is valid without renewal.
pub const LEASE: Duration = Duration::from_secs(3);

/// How much longer than [`LEASE`] the home counts a lease, to allow for messages in transit.
const LEASE_MARGIN: Duration = Duration::from_secs(1);

/// Minimum demand that each VM is counted with, as a share of the mean, so that a VM without demand
/// can admit a first request.
const MIN_DEMAND_SHARE: f64 = 0.1;

/// The limits to allocate. Of the rates only shares are allocated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum concurrent requests; 0 for no limit.
    pub concurrency: u32,
}

/// Allocates the limits to the VMs in `demands`.
pub fn allocate(limits: Limits, demands: &BTreeMap<id::Vm, Demand>) -> BTreeMap<id::Vm, Quota> {
    let slots = slots(limits.concurrency, demands);
    let requests = shares(demands, |d| f64::from(d.requests_per_s));
    let tokens = shares(demands, |d| f64::from(d.prompt_tokens_per_s));
    demands
        .keys()
        .enumerate()
        .map(|(i, vm)| {
            let quota = Quota {
                concurrency: slots[i],
                requests: requests[i] as f32,
                prompt_tokens: tokens[i] as f32,
            };
            (vm.clone(), quota)
        })
        .collect()
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    demand: Demand,
    quota: Quota,
    at: Instant,
}

/// The leases that the home of a limit granted and still counts, by VM.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    leases: BTreeMap<id::Vm, Lease>,
}

impl Ledger {
    /// Renews a VM's lease: records its demand and grants its share, less what is still leased to
    /// other VMs.
    pub fn renew(&mut self, limits: Limits, vm: &id::Vm, demand: Demand, now: Instant) -> Quota {
        self.leases.retain(|_, l| now < l.at + LEASE + LEASE_MARGIN);
        let mut demands: BTreeMap<id::Vm, Demand> =
            self.leases.iter().map(|(vm, l)| (vm.clone(), l.demand)).collect();
        demands.insert(vm.clone(), demand);
        let ideal = allocate(limits, &demands).remove(vm).expect("`demands` contains the VM");
        let others = || self.leases.iter().filter(|(other, _)| *other != vm).map(|(_, l)| l.quota);
        let slots: u32 = others().map(|q| q.concurrency).sum();
        let requests: f32 = others().map(|q| q.requests).sum();
        let tokens: f32 = others().map(|q| q.prompt_tokens).sum();
        let quota = Quota {
            concurrency: ideal.concurrency.min(limits.concurrency.saturating_sub(slots)),
            requests: ideal.requests.min((1.0 - requests).max(0.0)),
            prompt_tokens: ideal.prompt_tokens.min((1.0 - tokens).max(0.0)),
        };
        self.leases.insert(vm.clone(), Lease { demand, quota, at: now });
        quota
    }
}

/// Shares that sum to 1, in proportion to demand plus the floor.
fn shares(demands: &BTreeMap<id::Vm, Demand>, of: impl Fn(&Demand) -> f64) -> Vec<f64> {
    let total: f64 = demands.values().map(&of).sum();
    let floor = if total > 0.0 { MIN_DEMAND_SHARE * total / demands.len() as f64 } else { 1.0 };
    let raised: Vec<f64> = demands.values().map(|d| of(d).max(0.0) + floor).collect();
    let sum: f64 = raised.iter().sum();
    raised.iter().map(|r| r / sum).collect()
}

/// Integer slots that sum to the limit, rounded by the largest remainder method.
fn slots(limit: u32, demands: &BTreeMap<id::Vm, Demand>) -> Vec<u32> {
    let shares = shares(demands, |d| f64::from(d.concurrency));
    let exact: Vec<f64> = shares.iter().map(|s| s * f64::from(limit)).collect();
    let mut slots: Vec<u32> = exact.iter().map(|e| e.floor() as u32).collect();
    let mut left = limit.saturating_sub(slots.iter().sum());
    let mut order: Vec<usize> = (0..exact.len()).collect();
    order.sort_by(|a, b| exact[*b].fract().total_cmp(&exact[*a].fract()));
    for i in order {
        if left == 0 {
            break;
        }
        slots[i] += 1;
        left -= 1;
    }
    slots
}

/// The equal share that a VM without a valid quota uses. At least one slot if there is a
/// concurrency limit.
pub fn equal_share(limits: Limits, vms: usize) -> Quota {
    let vms = vms.max(1);
    Quota {
        concurrency: (limits.concurrency / vms as u32).max(u32::from(limits.concurrency > 0)),
        requests: 1.0 / vms as f32,
        prompt_tokens: 1.0 / vms as f32,
    }
}
