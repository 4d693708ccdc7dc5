//! Checks that servers receive no more than the rate limits in their responses allow.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use foldlock_platform_standin::server::Arrival;

use crate::fault::MAX_SILENCE;
use crate::world::{Part, World};

/// The window over which a server's arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after the arrival whose response first carried the limit until the VM has to comply with it.
const NOTICE_DELAY: Duration = Duration::from_millis(500);

/// Maximum arrivals at a server in a window.
fn max_arrivals(rate: f64) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Checks that no server receives more than its rate limit allows in a window, summed over the VMs that had
/// received the limit.
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
            let counted = arrivals_under_limit(world, same_limit);
            if let Some((at, count)) =
                busiest_window(&counted).filter(|(_, count)| *count > max_arrivals(rate))
            {
                let after = at - same_limit[0].at;
                world.record_violation(format!(
                    "{server} with a rate limit of {rate} a second received {count} in 4 s, {after:?} after it set the \
                     limit; {} are allowed",
                    max_arrivals(rate)
                ));
            }
        }
    }
    println!("servers set {limit_count} rate limits");
}

/// The arrivals from undisturbed VMs that had received the limit before. Reports and orders do not name their
/// sender, so they count only if no VM was disturbed.
fn arrivals_under_limit(world: &World, arrivals: &[Arrival]) -> Vec<Instant> {
    let mut notified: BTreeMap<usize, Instant> = BTreeMap::new();
    let mut counted = Vec::new();
    for arrival in arrivals {
        let at = arrival.at;
        let notified_at = match arrival.vm {
            Some(vm) => notified.get(&vm).copied(),
            None => notified.values().min().copied(),
        };
        let vms = arrival.vm.map_or(0..world.vms.len(), |vm| vm..vm + 1);
        let must_comply = |since: &Instant| *since + NOTICE_DELAY <= at;
        if notified_at.filter(must_comply).is_some()
            && vms.into_iter().all(|vm| world.vm_is_settled(vm, at, at))
            && world.is_undisturbed(Part::Silence, at - MAX_SILENCE, at)
        {
            counted.push(at);
        }
        if let Some(vm) = arrival.vm {
            notified.entry(vm).or_insert(at);
        }
    }
    counted
}

/// The end of the window with the most arrivals, and their number.
fn busiest_window(arrivals: &[Instant]) -> Option<(Instant, usize)> {
    let within = |last: &Instant| {
        arrivals.iter().filter(|at| **at <= *last && *last - **at < WINDOW).count()
    };
    arrivals.iter().map(|last| (*last, within(last))).max_by_key(|(_, count)| *count)
}
