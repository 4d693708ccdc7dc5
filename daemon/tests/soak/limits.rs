//! Rate limits that servers name: what reaches them from the VMs that know.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use foldlock_platform_standin::server::Arrival;

use crate::world::World;

/// The time over which a server counts.
const SPAN: Duration = Duration::from_secs(4);

/// The time after which a VM is bound by what it was told.
const TOLD: Duration = Duration::from_millis(500);

/// What may reach a server in a span.
fn most(rate: f64) -> usize {
    (1.5 * rate * SPAN.as_secs_f64() + 5.0) as usize
}

/// No server gets more than its rate limit allows in a span, summed over the VMs that it had told.
pub(crate) fn are_kept(world: &World) {
    let mut by_server: BTreeMap<String, Vec<Arrival>> = BTreeMap::new();
    for arrival in world.journal.arrivals() {
        by_server.entry(arrival.server.clone()).or_default().push(arrival);
    }
    let mut limited = 0;
    for (server, arrivals) in &by_server {
        for of_one in arrivals.chunk_by(|a, b| a.notice.rate_limit == b.notice.rate_limit) {
            let Some(rate) = of_one[0].notice.rate_limit else { continue };
            limited += 1;
            let counted = counted(world, of_one);
            if let Some((at, came)) = busiest(&counted).filter(|(_, came)| *came > most(rate)) {
                let after = at - of_one[0].at;
                world.record_violation(format!(
                    "{server} takes {rate} a second and got {came} in 4 s, {after:?} after it had said so; {} are \
                     allowed",
                    most(rate)
                ));
            }
        }
    }
    println!("rate limits were named {limited} times");
}

/// The arrivals from VMs that were told before, and that nothing disturbed. Reports and orders count if no VM was
/// disturbed, since they do not say who sent them.
fn counted(world: &World, arrivals: &[Arrival]) -> Vec<Instant> {
    let mut told: BTreeMap<usize, Instant> = BTreeMap::new();
    let mut counted = Vec::new();
    for arrival in arrivals {
        let at = arrival.at;
        let knew = match arrival.vm {
            Some(vm) => told.get(&vm).copied(),
            None => told.values().min().copied(),
        };
        let vms = arrival.vm.map_or(0..world.vms.len(), |vm| vm..vm + 1);
        let is_late = |since: &Instant| *since + TOLD <= at;
        if knew.filter(is_late).is_some()
            && vms.into_iter().all(|vm| world.vm_is_settled(vm, at, at))
        {
            counted.push(at);
        }
        if let Some(vm) = arrival.vm {
            told.entry(vm).or_insert(at);
        }
    }
    counted
}

/// The span with the most arrivals: when it ends, and how many they are.
fn busiest(arrivals: &[Instant]) -> Option<(Instant, usize)> {
    let within =
        |last: &Instant| arrivals.iter().filter(|at| **at <= *last && *last - **at < SPAN).count();
    arrivals.iter().map(|last| (*last, within(last))).max_by_key(|(_, came)| *came)
}
