//! What holds while requests come that crash their servers by one part of their prompts.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use foldlock_platform_standin::server::Run;

use crate::caller::Outcome;
use crate::world::World;
use crate::{CONTACT_TIME, CRASHING_PART_ID_PREFIX};

/// Crashed servers after which few more requests with the part may reach servers.
const FREE_CRASHES: usize = 5;

/// Requests with the part that may reach servers later, sent by undisturbed VMs.
const MAX_LATE: usize = 3;

/// Time after that crash from which sound requests are served as before.
const RECOVERY_TIME: Duration = CONTACT_TIME.saturating_mul(2);

/// Minimum number of sound requests, and of those that they are compared with.
const MIN_REQUESTS: usize = 20;

/// Checks how many requests with the part reach servers, and how many sound requests with the same first part are served
/// meanwhile.
pub(crate) fn check(world: &World, outcomes: &[Outcome]) {
    let all = world.journal.all_runs().into_iter();
    let mut runs: Vec<Run> =
        all.filter(|(id, _)| id.starts_with(CRASHING_PART_ID_PREFIX)).map(|(_, run)| run).collect();
    runs.sort_by_key(|run| run.at);
    let mut crashed = BTreeSet::new();
    let mut is_last_free =
        |run: &&Run| crashed.insert(run.server.clone()) && crashed.len() == FREE_CRASHES;
    let fifth = runs.iter().find(|run| is_last_free(run)).map(|run| run.at);
    let is_late = |run: &&Run| {
        let in_time = fifth.is_none_or(|fifth| run.at <= fifth + CONTACT_TIME);
        !in_time && run.vm.is_some_and(|vm| world.vm_is_settled(vm, run.at, run.at))
    };
    let late = runs.iter().filter(is_late).count();
    if late > MAX_LATE {
        world.record_violation(format!(
            "requests with a part that crashes servers reached {late} after the fifth crash"
        ));
    }
    let from = fifth.or_else(|| runs.last().map(|run| run.at)).map(|at| at + RECOVERY_TIME);
    let served = from.map(|from| check_sound(world, outcomes, from)).unwrap_or_default();
    println!("a part crashed servers {} times, {late} of them late{served}", runs.len());
}

/// Compares the sound streams with the plain requests of the same time, which no part affects.
fn check_sound(world: &World, outcomes: &[Outcome], from: Instant) -> String {
    let share = |with_part: bool| {
        let counted: Vec<&Outcome> = outcomes
            .iter()
            .filter(|outcome| outcome.counts && outcome.sent > from)
            .filter(|outcome| outcome.kind.is_stream() == with_part)
            .collect();
        let served = counted.iter().filter(|outcome| outcome.succeeded).count();
        (served, counted.len())
    };
    let ((streams, all_streams), (plain, all_plain)) = (share(true), share(false));
    let enough = all_streams >= MIN_REQUESTS && all_plain >= MIN_REQUESTS;
    if enough && streams * all_plain * 2 < plain * all_streams {
        world.record_violation(format!(
            "{streams} of {all_streams} sound streams were served beside those with the part, and {plain} of \
             {all_plain} plain requests"
        ));
    }
    format!(
        "; then {streams} of {all_streams} sound streams served, {plain} of {all_plain} plain requests"
    )
}
