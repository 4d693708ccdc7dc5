//! Queues requests until they can be placed, and rejects those that cannot be placed in time.

use std::sync::Arc;
use std::time::Duration;

use foldlock_base::clock::System;
use foldlock_base::clock::millis;
use foldlock_base::prelude::*;
use foldlock_connection::wire::{self, Grant};
use foldlock_request::decision::{Cause, Decision};
use foldlock_request::fair::Entry;
use foldlock_version::policy::{Class, Route};
use tarpc::context::Context;

use crate::engines::{Chosen, EngineQuery, Flight};
use crate::group::{self, Group};
use crate::home;
use crate::serve::{Job, Progress};

/// Share of the time from arrival to deadline after which a long prompt has the priority of short
/// ones.
const AGING_SHARE: f64 = 0.75;

/// The lowest engine priority. Lower numbers go first.
const LOWEST_PRIORITY: u8 = 9;

/// How often a queued request checks for an engine if no change is notified.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Timeout of a grant request to a home.
const GRANT_TIMEOUT: Duration = Duration::from_millis(300);

/// Minimum retry-after time of a rejection.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Where a request runs.
pub enum Placement {
    /// On one engine.
    Engine(Box<Flight<System>>),
    /// On a group of engines with memory reserved for it.
    Group(Group),
}

impl Placement {
    /// The in-flight attempt on the engine that generates the answer.
    pub fn flight(&self) -> &Flight<System> {
        match self {
            Placement::Engine(flight) => flight,
            Placement::Group(group) => group.last_flight(),
        }
    }

    /// The engine that generates the answer.
    pub fn engine(&self) -> &id::Upstream {
        &self.flight().engine
    }

    /// Handles the first token.
    pub fn on_first_token(&mut self, cached: Tokens) {
        match self {
            Placement::Engine(flight) => flight.on_first_token(cached),
            Placement::Group(group) => group.on_first_token(),
        }
    }
}

/// Why a request is rejected.
pub struct Rejection {
    /// The kind of the error.
    pub kind: Kind,
    /// The error message.
    pub why: String,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
}

/// The engine priority of a prompt of this length class that has used this share of the time from
/// its arrival to its deadline. Longer classes start with lower priority; all reach that of short
/// prompts once `AGING_SHARE` is used, so that none starves.
pub fn aged_priority(base: u8, class: Class, used: f64) -> u8 {
    let below = class.index() as u8;
    let risen = (used.clamp(0.0, 1.0) / AGING_SHARE * f64::from(below)).floor() as u8;
    let below = below.saturating_sub(risen);
    base.saturating_add(below).min(LOWEST_PRIORITY.max(base))
}

/// Places a request, waiting until its deadline at most.
pub async fn place(job: &Job, progress: &Progress) -> Result<Placement, Rejection> {
    let waiting = wait_for_placement(job, progress);
    match tokio::time::timeout_at(job.deadline.instant().into(), waiting).await {
        Ok(placement) => placement,
        Err(_) => Err(Rejection {
            kind: Kind::DeadlineExceeded,
            why: "the deadline passed while the request waited".to_owned(),
            retry_after: None,
        }),
    }
}

async fn wait_for_placement(job: &Job, progress: &Progress) -> Result<Placement, Rejection> {
    let requirements = job.requirements(progress);
    let (largest, all) = job.process.engines.memory(&job.prompt.model);
    if requirements.memory > all {
        return Err(too_long(requirements.memory, all));
    }
    let started = job.process.clock.now();
    if requirements.memory > largest {
        // Requests for groups wait at the home of a shard, in order, and do not block this queue.
        let placement = group::place(job, &requirements, progress).await?;
        record_routed(job, &placement);
        return Ok(placement);
    }
    let queue = job.process.queue(&job.prompt.model, requirements.class);
    let entry = queue.enqueue(&job.organisation, job.policy.weight, requirements.prompt.0);
    if !entry.is_next() {
        check_queue_time(job, queue.tokens(), progress)?;
        entry.wait_until_next().await;
    }
    let (placement, cause) = wait_for_engine(job, progress, &entry).await?;
    let waited_ms = millis(job.process.clock.now() - started);
    if let Some(cause) = cause {
        job.record(Decision::Waited { cause, waited_ms });
    }
    record_routed(job, &placement);
    Ok(placement)
}

fn too_long(memory: Tokens, all: Tokens) -> Rejection {
    Rejection {
        kind: Kind::PromptTooLong,
        why: format!("{memory} tokens of prompt and answer; all engines together hold {all}"),
        retry_after: None,
    }
}

fn record_routed(job: &Job, placement: &Placement) {
    let flight = placement.flight();
    job.record(Decision::Routed {
        upstream: flight.engine.clone(),
        route: Some(job.policy.route),
        predicted_ms: flight.predicted * 1e3,
        engines: 1,
        part_ms: 0.0,
        candidates: flight.compared.clone(),
        by: None,
        limited: 0,
        placement_ms: 0.0,
        grant_request: None,
        reason: None,
    });
}

/// Rejects a request that would have to wait in the queue beyond its deadline.
fn check_queue_time(job: &Job, queued: u64, progress: &Progress) -> Result<(), Rejection> {
    let query = engine_query(job, progress);
    let candidates = job.process.engines.candidates(&query);
    let Some(first) = candidates.first() else { return Ok(()) };
    let vms = job.process.members.live().len().max(1) as f64;
    let seconds_per_token = first.speed.seconds_per_token() / candidates.len() as f64 * vms;
    check_deadline(job, queued as f64 * seconds_per_token)
}

/// Rejects a request whose first token is predicted after its deadline.
fn check_deadline(job: &Job, seconds: f64) -> Result<(), Rejection> {
    let left = job.left().as_secs_f64();
    if seconds <= left {
        return Ok(());
    }
    Err(Rejection {
        kind: Kind::Overloaded,
        why: format!("the first token is predicted in {seconds:.1} s, {left:.1} s are left"),
        retry_after: Some(Duration::from_secs_f64(seconds - left).max(MIN_RETRY_AFTER)),
    })
}

/// The parameters of the choice of an engine for a request.
pub fn engine_query<'a>(job: &'a Job, progress: &'a Progress) -> EngineQuery<'a> {
    EngineQuery {
        model: &job.prompt.model,
        requirements: job.requirements(progress),
        blocks: &job.blocks,
        policy: &job.policy,
        avoid: &progress.avoid,
        open: &progress.open,
    }
}

type Placed = (Placement, Option<Cause>);

/// Waits for an engine for the request that is next in its queue.
async fn wait_for_engine(
    job: &Job,
    progress: &Progress,
    entry: &Entry,
) -> Result<Placed, Rejection> {
    let mut waited = None;
    let engines = &job.process.engines;
    loop {
        let changed = engines.changed();
        if !entry.is_next() {
            entry.wait_until_next().await;
            waited.get_or_insert(Cause::Queue);
        }
        match engines.choose(&engine_query(job, progress)) {
            Chosen::Engine(flight) => {
                check_deadline(job, flight.predicted)?;
                if let Some(flight) = confirm(job, progress, flight).await {
                    return Ok((Placement::Engine(flight), waited));
                }
            }
            Chosen::None => return Err(no_upstream(job)),
            Chosen::Wait { cause, predicted } => {
                check_deadline(job, predicted)?;
                waited = Some(cause);
            }
        }
        let _ = tokio::time::timeout(POLL_INTERVAL, changed).await;
    }
}

fn no_upstream(job: &Job) -> Rejection {
    Rejection {
        kind: Kind::NoUpstream,
        why: format!("no engine can take a request for {} now", job.prompt.model),
        retry_after: Some(Duration::from_secs(1)),
    }
}

/// For a long prompt, requests a grant from the home of the chosen engine's shard, which has more
/// recent data and may choose another engine. `None` if that engine cannot be used here.
async fn confirm(
    job: &Job,
    progress: &Progress,
    flight: Box<Flight<System>>,
) -> Option<Box<Flight<System>>> {
    let requirements = job.requirements(progress);
    if !requirements.class.is_long() || job.policy.route != Route::LengthAware {
        return Some(flight);
    }
    let chosen = flight.engine.clone();
    // The home may be this VM. It must not count this flight as load when it decides on the grant.
    drop(flight);
    let granted = granted_engine(job, progress, &chosen).await;
    let engine = granted.filter(|e| !progress.open.contains(e)).unwrap_or(chosen);
    job.process.engines.assign(&engine_query(job, progress), &engine).map(Box::new)
}

async fn granted_engine(
    job: &Job,
    progress: &Progress,
    chosen: &id::Upstream,
) -> Option<id::Upstream> {
    let requirements = job.requirements(progress);
    let shards = job.process.shards();
    let shard = shards.iter().find(|s| s.engines.contains(chosen))?;
    let ask = wire::GrantRequest {
        vm: job.process.config.vm.clone(),
        request: job.request.clone(),
        model: job.prompt.model.clone(),
        prompt: requirements.prompt,
        memory: requirements.memory,
        avoid: progress.avoid.iter().chain(&progress.open).cloned().collect(),
    };
    match request_grant(job, shard, ask, GRANT_TIMEOUT).await {
        Some(Grant::Granted(segments)) => segments.first().map(|s| s.engine.clone()),
        _ => None,
    }
}

/// Requests a grant from the home of a shard, which may be this VM.
pub async fn request_grant(
    job: &Job,
    shard: &home::Shard,
    ask: wire::GrantRequest,
    timeout: Duration,
) -> Option<Grant> {
    let process: &Arc<_> = &job.process;
    let live = process.members.live();
    let home = home::home_of(shard, &live)?;
    if home.vm == process.config.vm {
        let granted = group::grant(process, &shard.name, &ask);
        return tokio::time::timeout(timeout, granted).await.ok();
    }
    let connection = process.peers.get(&home.vm)?;
    let mut context = Context::current();
    context.deadline = std::time::Instant::now() + timeout;
    process.metrics.peer_calls.inc();
    connection.grant(context, shard.name.clone(), ask).await.ok()
}
