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
const RISEN: f64 = 0.75;

/// The lowest engine priority.
const LOWEST: u8 = 9;

/// How often a waiting request looks again, if nothing changes.
const LOOK: Duration = Duration::from_millis(25);

/// How long a home has to answer who asks for a place.
const GRANT_TIMEOUT: Duration = Duration::from_millis(300);

/// The least time after which a refused caller is told to come back.
const LEAST_RETRY: Duration = Duration::from_millis(100);

/// Where a request was placed.
pub enum Place {
    /// At one engine.
    Engine(Box<Flight<System>>),
    /// At a group of engines that hold its memory.
    Group(Group),
}

impl Place {
    /// The load that it counts as at the engine that answers.
    pub fn flight(&self) -> &Flight<System> {
        match self {
            Place::Engine(flight) => flight,
            Place::Group(group) => group.last(),
        }
    }

    /// The engine that answers.
    pub fn engine(&self) -> &id::Upstream {
        &self.flight().engine
    }

    /// The first token came.
    pub fn first_token(&mut self, cached: Tokens) {
        match self {
            Place::Engine(flight) => flight.on_first_token(cached),
            Place::Group(group) => group.first_token(),
        }
    }
}

/// Why there is no place.
pub struct Refused {
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
pub fn aged(base: u8, class: Class, used: f64) -> u8 {
    let below = class.index() as u8;
    let risen = (used.clamp(0.0, 1.0) / RISEN * f64::from(below)).floor() as u8;
    let below = below.saturating_sub(risen);
    base.saturating_add(below).min(LOWEST.max(base))
}

/// Finds a place for a request.
pub async fn place(job: &Job, progress: &Progress) -> Result<Place, Refused> {
    let waiting = wait_for_place(job, progress);
    match tokio::time::timeout_at(job.deadline.instant().into(), waiting).await {
        Ok(place) => place,
        Err(_) => Err(Refused {
            kind: Kind::DeadlineExceeded,
            why: "the deadline passed while the request waited".to_owned(),
            retry_after: None,
        }),
    }
}

async fn wait_for_place(job: &Job, progress: &Progress) -> Result<Place, Refused> {
    let requirements = job.requirements(progress);
    let (largest, all) = job.process.engines.memory(&job.prompt.model);
    if requirements.memory > all {
        return Err(too_long(requirements.memory, all));
    }
    let started = job.process.clock.now();
    if requirements.memory > largest {
        // Groups wait at the home of a shard, in order, and hold up nothing here.
        let place = group::place(job, &requirements).await?;
        routed(job, &place);
        return Ok(place);
    }
    let queue = job.process.queue(&job.prompt.model, requirements.class);
    let entry = queue.enqueue(&job.organisation, job.policy.weight, requirements.prompt.0);
    if !entry.is_next() {
        admit_behind(job, queue.tokens(), progress)?;
        entry.wait_until_next().await;
    }
    let (place, cause) = engine(job, progress, &entry).await?;
    let waited_ms = millis(job.process.clock.now() - started);
    if let Some(cause) = cause {
        job.record(Decision::Waited { cause, waited_ms });
    }
    routed(job, &place);
    Ok(place)
}

fn too_long(memory: Tokens, all: Tokens) -> Refused {
    Refused {
        kind: Kind::PromptTooLong,
        why: format!("{memory} tokens of prompt and answer; all engines together hold {all}"),
        retry_after: None,
    }
}

fn routed(job: &Job, place: &Place) {
    let flight = place.flight();
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
fn admit_behind(job: &Job, queued: u64, progress: &Progress) -> Result<(), Refused> {
    let query = engine_query(job, progress);
    let candidates = job.process.engines.candidates(&query);
    let Some(first) = candidates.first() else { return Ok(()) };
    let vms = job.process.members.live().len().max(1) as f64;
    let rate = first.speed.seconds_per_token() / candidates.len() as f64 * vms;
    in_time(job, queued as f64 * rate)
}

/// Refuses a request that is predicted to end beyond its deadline.
fn in_time(job: &Job, seconds: f64) -> Result<(), Refused> {
    let left = job.left().as_secs_f64();
    if seconds <= left {
        return Ok(());
    }
    Err(Refused {
        kind: Kind::Overloaded,
        why: format!("the first token is predicted in {seconds:.1} s, {left:.1} s are left"),
        retry_after: Some(Duration::from_secs_f64(seconds - left).max(LEAST_RETRY)),
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

type Placed = (Place, Option<Cause>);

/// Waits for an engine. The request is the next one of its queue.
async fn engine(job: &Job, progress: &Progress, entry: &Entry) -> Result<Placed, Refused> {
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
                in_time(job, flight.predicted)?;
                if let Some(flight) = confirm(job, progress, flight).await {
                    return Ok((Place::Engine(flight), waited));
                }
            }
            Chosen::None => return Err(no_upstream(job)),
            Chosen::Wait { cause, predicted } => {
                in_time(job, predicted)?;
                waited = Some(cause);
            }
        }
        let _ = tokio::time::timeout(LOOK, changed).await;
    }
}

fn no_upstream(job: &Job) -> Refused {
    Refused {
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
    let engine = granted(job, progress, &chosen).await.unwrap_or(chosen);
    job.process.engines.assign(&engine_query(job, progress), &engine).map(Box::new)
}

async fn granted(job: &Job, progress: &Progress, chosen: &id::Upstream) -> Option<id::Upstream> {
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
    match ask_home(job, shard, ask, GRANT_TIMEOUT).await {
        Some(Grant::Given(segments)) => segments.first().map(|s| s.engine.clone()),
        _ => None,
    }
}

/// Asks the home of a shard, this VM itself perhaps.
pub async fn ask_home(
    job: &Job,
    shard: &home::Shard,
    ask: wire::Ask,
    timeout: Duration,
) -> Option<Grant> {
    let process: &Arc<_> = &job.process;
    let live = process.members.live();
    let home = home::home(shard, &live)?;
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
