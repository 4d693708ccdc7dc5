//! Where a request waits until there is a place for it, and where it is refused if there will be
//! none in time.

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

/// The part of its time after which a long prompt has risen to the priority of short ones.
const AGING_SHARE: f64 = 0.75;

/// The lowest engine priority.
const LOWEST_PRIORITY: u8 = 9;

/// How often a waiting request looks again, if nothing changes.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// How long a home has to answer who asks for a place.
const GRANT_TIMEOUT: Duration = Duration::from_millis(300);

/// The least time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Where a request was placed.
pub enum Placement {
    /// At one engine.
    Engine(Box<Flight<System>>),
    /// At a group of engines that hold its memory.
    Group(Group),
}

impl Placement {
    /// The load that it counts as at the engine that answers.
    pub fn flight(&self) -> &Flight<System> {
        match self {
            Placement::Engine(flight) => flight,
            Placement::Group(group) => group.last_flight(),
        }
    }

    /// The engine that answers.
    pub fn engine(&self) -> &id::Upstream {
        &self.flight().engine
    }

    /// The first token came.
    pub fn on_first_token(&mut self, cached: Tokens) {
        match self {
            Placement::Engine(flight) => flight.on_first_token(cached),
            Placement::Group(group) => group.on_first_token(),
        }
    }
}

/// Why there is no place.
pub struct Rejection {
    /// The answer's kind.
    pub kind: Kind,
    /// Why.
    pub why: String,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

/// The engine priority of a prompt of a class that has used this part of its time: the longer
/// the class, the further below short prompts it begins; all have reached them when three quarters
/// of their time are used, so that none starves.
pub fn aged_priority(base: u8, class: Class, used: f64) -> u8 {
    let below = class.index() as u8;
    let risen = (used.clamp(0.0, 1.0) / AGING_SHARE * f64::from(below)).floor() as u8;
    let below = below.saturating_sub(risen);
    base.saturating_add(below).min(LOWEST_PRIORITY.max(base))
}

/// Finds a place for a request.
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
        // Groups wait at the home of a shard, in order, and hold up nothing here.
        let placement = group::place(job, &requirements).await?;
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
        seen: flight.compared.clone(),
        by: None,
        limited: 0,
        asked_ms: 0.0,
    });
}

/// Refuses a request whose turn would come too late.
fn check_queue_time(job: &Job, queued: u64, progress: &Progress) -> Result<(), Rejection> {
    let query = engine_query(job, progress);
    let candidates = job.process.engines.candidates(&query);
    let Some(first) = candidates.first() else { return Ok(()) };
    let vms = job.process.members.live().len().max(1) as f64;
    let rate = first.speed.seconds_per_token() / candidates.len() as f64 * vms;
    check_deadline(job, queued as f64 * rate)
}

/// Refuses a request that is predicted to end beyond its deadline.
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

/// What is asked of the engines for a request.
pub fn engine_query<'a>(job: &'a Job, progress: &'a Progress) -> EngineQuery<'a> {
    EngineQuery {
        model: &job.prompt.model,
        requirements: job.requirements(progress),
        blocks: &job.blocks,
        policy: &job.policy,
        avoid: &progress.avoid,
    }
}

type Placed = (Placement, Option<Cause>);

/// Waits for an engine. The request is the next one of its queue.
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

/// For a long prompt, asks the home of the chosen engine's shard, which may know better. None
/// where the engine that it names cannot be used here.
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
    // The home may be this VM: it must not count the request that it is asked about.
    drop(flight);
    let engine = granted_engine(job, progress, &chosen).await.unwrap_or(chosen);
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
    let ask = wire::Ask {
        vm: job.process.config.vm.clone(),
        request: job.request.clone(),
        model: job.prompt.model.clone(),
        prompt: requirements.prompt,
        memory: requirements.memory,
        avoid: progress.avoid.clone(),
    };
    match request_grant(job, shard, ask, GRANT_TIMEOUT).await {
        Some(Grant::Given(segments)) => segments.first().map(|s| s.engine.clone()),
        _ => None,
    }
}

/// Asks the home of a shard, this VM itself perhaps.
pub async fn request_grant(
    job: &Job,
    shard: &home::Shard,
    ask: wire::Ask,
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
