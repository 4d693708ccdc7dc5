//! Rate limits that servers name: what reaches them from the VMs that know.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use foldlock_platform_standin::server::Arrival;

use crate::world::World;

/// The time over which a server counts.
const WINDOW: Duration = Duration::from_secs(4);

/// The time after which a VM is bound by what it was told.
const NOTICE_DELAY: Duration = Duration::from_millis(500);

/// What may reach a server in a span.
fn max_arrivals(rate: f64) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64() + 5.0) as usize
}

/// No server gets more than its rate limit allows in a span, summed over the VMs that it had told.
pub(crate) fn check(world: &World) {
    let mut by_server: BTreeMap<String, Vec<Arrival>> = BTreeMap::new();
    for arrival in world.journal.arrivals() {
        by_server.entry(arrival.server.clone()).or_default().push(arrival);
    }
    let mut limit_count = 0;
    for (server, arrivals) in &by_server {
        for same_limit in arrivals.chunk_by(|a, b| a.notice.rate_limit == b.notice.rate_limit) {
            let Some(rate) = same_limit[0].notice.rate_limit else { continue };
            limit_count += 1;
            let bound = bound_arrivals(world, same_limit);
            if let Some((at, count)) =
                busiest_window(&bound).filter(|(_, count)| *count > max_arrivals(rate))
            {
                let after = at - same_limit[0].at;
                world.record_violation(format!(
                    "{server} takes {rate} a second and got {count} in 4 s, {after:?} after it had said so; {} are \
                     allowed",
                    max_arrivals(rate)
                ));
            }
        }
    }
    println!("rate limits were named {limit_count} times");
}

/// The arrivals from VMs that were told before, and that nothing disturbed. Reports and orders count if no VM was
/// disturbed, since they do not say who sent them.
fn bound_arrivals(world: &World, arrivals: &[Arrival]) -> Vec<Instant> {
    let mut notified: BTreeMap<usize, Instant> = BTreeMap::new();
    let mut bound = Vec::new();
    for arrival in arrivals {
        let at = arrival.at;
        let notified_at = match arrival.vm {
            Some(vm) => notified.get(&vm).copied(),
            None => notified.values().min().copied(),
        };
        let vms = arrival.vm.map_or(0..world.vms.len(), |vm| vm..vm + 1);
        let is_bound = |since: &Instant| *since + NOTICE_DELAY <= at;
        if notified_at.filter(is_bound).is_some()
            && vms.into_iter().all(|vm| world.vm_is_settled(vm, at, at))
        {
            bound.push(at);
        }
        if let Some(vm) = arrival.vm {
            notified.entry(vm).or_insert(at);
        }
    }
    bound
}

/// The span with the most arrivals: when it ends, and how many they are.
fn busiest_window(arrivals: &[Instant]) -> Option<(Instant, usize)> {
    let within = |last: &Instant| {
        arrivals.iter().filter(|at| **at <= *last && *last - **at < WINDOW).count()
    };
    arrivals.iter().map(|last| (*last, within(last))).max_by_key(|(_, count)| *count)
}
