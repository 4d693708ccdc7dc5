//! Splitting a limit among VMs by their demand. The home of a limit does this at each exchange.
//!
//! What a VM is told it keeps for [`LEASE`], and the home gives out only what no other VM holds.
//! So under one home the parts that VMs hold never sum to more than the limit, whoever joins, dies
//! or is cut off. What a dead VM held comes back a lease later. A VM that hears no home falls back
//! to an equal part among the VMs that it knows; a new home begins with an empty ledger. In both
//! cases the sum can reach twice the limit, for one lease.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use foldlock_base::id;
use foldlock_connection::wire::{Demand, Quota};

/// How long a quota holds without a new one.
pub const LEASE: Duration = Duration::from_secs(3);

/// How much longer than a lease the home counts it, for messages on their way.
const LEASE_MARGIN: Duration = Duration::from_secs(1);

/// The demand that each known VM is counted with at least, as a part of the mean, so that a VM
/// without demand can let a first request in.
const MIN_DEMAND_SHARE: f64 = 0.1;

/// The limits that are split.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Requests at a time; 0 for no limit.
    pub concurrency: u32,
}

/// Splits among the VMs that demand.
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

/// What the home of a limit told each VM of late.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    leases: BTreeMap<id::Vm, Lease>,
}

impl Ledger {
    /// Takes a VM's demand and gives its part: its share, as far as no other VM holds it.
    pub fn renew(&mut self, limits: Limits, vm: &id::Vm, demand: Demand, now: Instant) -> Quota {
        self.leases.retain(|_, l| now < l.at + LEASE + LEASE_MARGIN);
        let mut demands: BTreeMap<id::Vm, Demand> =
            self.leases.iter().map(|(vm, l)| (vm.clone(), l.demand)).collect();
        demands.insert(vm.clone(), demand);
        let ideal = allocate(limits, &demands).remove(vm).expect("the asker demands");
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

/// Shares that sum to 1, in proportion to demand above the floor.
fn shares(demands: &BTreeMap<id::Vm, Demand>, of: impl Fn(&Demand) -> f64) -> Vec<f64> {
    let total: f64 = demands.values().map(&of).sum();
    let floor = if total > 0.0 { MIN_DEMAND_SHARE * total / demands.len() as f64 } else { 1.0 };
    let raised: Vec<f64> = demands.values().map(|d| of(d).max(0.0) + floor).collect();
    let sum: f64 = raised.iter().sum();
    raised.iter().map(|r| r / sum).collect()
}

/// Whole slots that sum to the limit: the largest remainders get what rounding down leaves.
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

/// The equal part of a VM that has no quota.
pub fn equal_share(limits: Limits, vms: usize) -> Quota {
    let vms = vms.max(1);
    Quota {
        concurrency: (limits.concurrency / vms as u32).max(u32::from(limits.concurrency > 0)),
        requests: 1.0 / vms as f32,
        prompt_tokens: 1.0 / vms as f32,
    }
}
