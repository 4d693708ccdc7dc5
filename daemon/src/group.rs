//! Prompts larger than one engine's memory run on a group of engines of one shard. The shard's home
//! reserves their memory all or nothing and serves grant requests in order, so that two groups
//! cannot deadlock. Each reservation expires at the engine unless the request renews it, so the
//! memory reserved by a crashed VM is released.

use std::collections::HashMap;
use std::sync::{Arc, LazyLock, Mutex};
use std::time::Duration;

use foldlock_base::clock::millis;
use foldlock_base::clock::{Clock, System};
use foldlock_base::prelude::*;
use foldlock_connection::engine::{
    self, Context, Engine as _, Failure, HttpEngine, HttpStream, Job as Order,
};
use foldlock_connection::wire::{self, Grant, Load, Segment};
use foldlock_request::decision::Decision;
use foldlock_request::route::{Candidate, Requirements, Routes};
use foldlock_version::policy::{Policy, Route};
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use tokio::time::MissedTickBehavior;

use crate::engines::{EngineQuery, Flight};
use crate::gate::{Placement, Rejection, request_grant};
use crate::home::Shard;
use crate::process::Process;
use crate::serve::{Job, Progress};

/// How long an engine keeps a reservation that is not renewed.
const RESERVATION_TTL: Duration = Duration::from_secs(3);

/// How often reservations are renewed.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// How long a home searches for a placement before the requesting VM has to send another grant
/// request.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two searches for a placement.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum size of a segment, except the last one.
const MIN_SEGMENT: Tokens = Tokens(1_024);

/// A group of engines, with the memory reserved on each.
pub struct Group {
    segments: Vec<Segment>,
    flights: Vec<Flight<System>>,
    renewal: tokio::task::JoinHandle<()>,
}

impl Group {
    /// The in-flight attempt on the engine that generates the answer.
    pub fn last_flight(&self) -> &Flight<System> {
        self.flights.last().expect("a group has engines")
    }

    /// Handles the first token: no segment is queued any more.
    pub fn on_first_token(&mut self) {
        for flight in &mut self.flights {
            flight.on_prefill_done();
        }
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.renewal.abort();
        let reserved = reservations(&self.segments, &self.flights);
        tokio::spawn(async move {
            for (engine, reservation) in reserved {
                let _ = engine.release(&reservation).await;
            }
        });
    }
}

fn reservations(
    segments: &[Segment],
    flights: &[Flight<System>],
) -> Vec<(HttpEngine, id::Reservation)> {
    let pair = |(s, f): (&Segment, &Flight<System>)| Some((f.client.clone(), s.hold.clone()?));
    segments.iter().zip(flights).filter_map(pair).collect()
}

/// Waits until a group of engines is reserved for the request.
pub async fn place(
    job: &Job,
    requirements: &Requirements,
    progress: &Progress,
) -> Result<Placement, Rejection> {
    let started = job.process.clock.now();
    let ask = wire::GrantRequest {
        vm: job.process.config.vm.clone(),
        request: reservation_prefix(job, progress),
        model: job.prompt.model.clone(),
        prompt: requirements.prompt,
        memory: requirements.memory,
        avoid: progress.open.clone(),
    };
    loop {
        let shards = job.process.shards();
        let fitting = |s: &&Shard| shard_memory(job, s) >= requirements.memory;
        let mut candidates: Vec<&Shard> =
            shards.iter().filter(|s| s.model == job.prompt.model).filter(fitting).collect();
        candidates.sort_by_key(|s| foldlock_base::hash::weight(job.request.as_str(), &s.name));
        if candidates.is_empty() {
            return Err(Rejection {
                kind: Kind::PromptTooLong,
                why: format!("no group of engines has memory for {} tokens", requirements.memory),
                retry_after: None,
            });
        }
        for shard in candidates {
            if let Some(group) = try_shard(job, &ask, shard).await {
                let waited_ms = millis(job.process.clock.now() - started);
                let engines = group.segments.iter().map(|s| s.engine.clone()).collect();
                job.record(Decision::Reserved { engines, waited_ms });
                return Ok(Placement::Group(group));
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn shard_memory(job: &Job, shard: &Shard) -> Tokens {
    let fleet = &job.version.tree.fleet;
    shard.engines.iter().filter_map(|e| fleet.engines.get(e)).map(|e| Tokens(e.memory_tokens)).sum()
}

/// What the names of a group's reservations begin with. A second group of a request has names of its own: the first one
/// may still have reservations, also at the same engines.
fn reservation_prefix(job: &Job, progress: &Progress) -> id::Request {
    if progress.attempts == 0 {
        return job.request.clone();
    }
    let name = format!("{}.{:x}", job.request, rand::random::<u32>());
    name.parse().unwrap_or_else(|_| job.request.clone())
}

async fn try_shard(job: &Job, ask: &wire::GrantRequest, shard: &Shard) -> Option<Group> {
    let grant = request_grant(job, shard, ask.clone(), SEARCH_TIMEOUT * 2).await?;
    let Grant::Granted(segments) = grant else { return None };
    let flights: Vec<Flight<System>> = segments.iter().filter_map(|s| flight(job, s)).collect();
    if flights.len() != segments.len() || flights.is_empty() {
        return None;
    }
    let renewal = tokio::spawn(renew(reservations(&segments, &flights)));
    Some(Group { segments, flights, renewal })
}

fn flight(job: &Job, segment: &Segment) -> Option<Flight<System>> {
    let class = job.policy.class(job.tokens);
    let requirements = Requirements { prompt: segment.tokens, memory: segment.tokens, class };
    let query = EngineQuery {
        model: &job.prompt.model,
        requirements,
        blocks: &[],
        policy: &job.policy,
        avoid: &[],
        open: &[],
    };
    job.process.engines.assign(&query, &segment.engine)
}

/// Renews all reservations at an interval. No renewal waits for another one, nor ends before its engine may have answered: a
/// silent engine renews the reservation once it reads the call, and delays no other.
async fn renew(reservations: Vec<(HttpEngine, id::Reservation)>) {
    let mut interval = tokio::time::interval(RENEW_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval.reset();
    // At most one for each interval within the TTL and reservation.
    let mut calls = FuturesUnordered::new();
    loop {
        tokio::select! {
            _ = interval.tick() => calls.extend(reservations.iter().map(|(engine, reservation)| {
                engine.reserve(reservation, Tokens(0), RESERVATION_TTL, RESERVATION_TTL)
            })),
            Some(_) = calls.next(), if !calls.is_empty() => {}
        }
    }
}

/// Runs the prefill of all segments but the last in turn, each with the context exported by the
/// previous ones, and starts the generation on the last.
pub async fn begin(job: &Job, group: &mut Group, order: &Order) -> Result<HttpStream, Failure> {
    let mut context = Context::default();
    let mut at = 0;
    let last = group.segments.len() - 1;
    for (i, segment) in group.segments.iter().enumerate() {
        let reservation = segment.hold.clone().ok_or(Failure::Gone)?;
        let reserved = engine::Segment { reservation, context: context.clone() };
        let bytes = (segment.tokens.0 * u64::from(job.bytes_per_token)) as usize;
        let end = if i == last { order.prompt.len() } else { at + bytes };
        let part = Order {
            prompt: order.prompt.slice(at..end.min(order.prompt.len())),
            deadline: job.left(),
            ..order.clone()
        };
        let flight = &group.flights[i];
        let record_health = |failure: &Failure| {
            if matches!(failure, Failure::NotConnected(_)) {
                flight.on_failure();
            }
        };
        if i == last {
            let order = Order { segment: Some(reserved), ..part };
            return flight.client.generate(&order).await.inspect_err(record_health);
        }
        let prefill = flight.client.prefill(&part, &reserved).await;
        context = prefill.inspect_err(record_health)?;
        group.flights[i].on_prefill_done();
        at = end;
    }
    Err(Failure::Gone)
}

/// One lock per shard whose home is this VM. Grant requests are served in order.
type Locks = Mutex<HashMap<String, Arc<tokio::sync::Mutex<()>>>>;

static LOCKS: LazyLock<Locks> = LazyLock::new(Locks::default);

/// Handles a grant request as the home of a shard: finds one engine for a long prompt, or reserves
/// a group.
pub async fn grant(process: &Arc<Process>, shard: &str, ask: &wire::GrantRequest) -> Grant {
    let shards = process.shards();
    let Some(shard) = shards.iter().find(|s| s.name == shard) else { return Grant::Unknown };
    let lock = LOCKS.lock().unwrap().entry(shard.name.clone()).or_default().clone();
    let search = async {
        let _guard = lock.lock().await;
        loop {
            if let Some(segments) = find(process, shard, ask).await {
                return segments;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    match tokio::time::timeout(SEARCH_TIMEOUT, search).await {
        Ok(segments) => Grant::Granted(segments),
        Err(_) => Grant::Wait(POLL_INTERVAL.as_millis() as u64),
    }
}

async fn find(
    process: &Arc<Process>,
    shard: &Shard,
    ask: &wire::GrantRequest,
) -> Option<Vec<Segment>> {
    let policy = Policy { route: Route::LengthAware, ..Policy::default() };
    let requirements =
        Requirements { prompt: ask.prompt, memory: Tokens(0), class: policy.class(ask.prompt) };
    let query = EngineQuery {
        model: &ask.model,
        requirements,
        blocks: &[],
        policy: &policy,
        avoid: &ask.avoid,
        open: &[],
    };
    process.engines.merge_states(&process.home.states(&shard.engines, &process.config.vm));
    let mut candidates = process.engines.candidates(&query);
    candidates.retain(|c| shard.engines.contains(&c.engine));
    let largest = candidates.iter().map(|c| c.memory).max()?;
    if ask.memory > largest {
        return reserve_group(process, ask, candidates).await;
    }
    let requirements = Requirements { memory: ask.memory, ..requirements };
    let choice = Routes::default().choose(
        Route::LengthAware,
        &requirements,
        &candidates,
        &mut rand::rng(),
    )?;
    let chosen = &candidates[choice.index];
    let load = Load::of(requirements.class, ask.prompt, ask.memory);
    process.home.record_grant(&chosen.engine, &ask.vm, load);
    Some(vec![Segment { engine: chosen.engine.clone(), tokens: ask.prompt, hold: None }])
}

/// Reserves memory on as many engines as needed, those with the most free memory first; all or
/// nothing.
async fn reserve_group(
    process: &Arc<Process>,
    ask: &wire::GrantRequest,
    mut candidates: Vec<Candidate>,
) -> Option<Vec<Segment>> {
    let free = |c: &Candidate| c.memory - used(process, c);
    candidates.sort_by_key(|c| std::cmp::Reverse(free(c)));
    let mut segments = Vec::new();
    let mut left = ask.memory;
    for candidate in &candidates {
        let tokens = free(candidate).min(left);
        if tokens < MIN_SEGMENT.min(left) || left == Tokens(0) {
            break;
        }
        let reservation = format!("{}.{}", ask.request, segments.len()).parse().ok()?;
        segments.push(Segment {
            engine: candidate.engine.clone(),
            tokens,
            hold: Some(reservation),
        });
        left = left - tokens;
    }
    let min_last = ask.memory - ask.prompt + MIN_SEGMENT;
    if left > Tokens(0) || !enlarge_last(&mut segments, min_last, &candidates, free) {
        return None;
    }
    reserve_all(process, &segments).await.then_some(segments)
}

/// Enlarges the last segment to at least `min_last` tokens, the answer and some of the prompt, by
/// moving tokens from the one before. Returns whether it fits on its engine.
fn enlarge_last(
    segments: &mut [Segment],
    min_last: Tokens,
    candidates: &[Candidate],
    free: impl Fn(&Candidate) -> Tokens,
) -> bool {
    let count = segments.len();
    let [.., before, last] = segments else { return false };
    let missing = min_last - last.tokens;
    before.tokens = before.tokens - missing;
    last.tokens = last.tokens + missing;
    last.tokens <= free(&candidates[count - 1])
}

/// The memory in use on an engine: as announced or as reported, whichever is more.
fn used(process: &Process, candidate: &Candidate) -> Tokens {
    let reported = process.home.report(&candidate.engine).map_or(Tokens(0), |r| r.used);
    reported.max(candidate.fleet.memory)
}

async fn reserve_all(process: &Process, segments: &[Segment]) -> bool {
    let mut reserved = Vec::new();
    for segment in segments {
        let (Some(engine), Some(reservation)) =
            (process.engines.client(&segment.engine), &segment.hold)
        else {
            break;
        };
        let call =
            engine.reserve(reservation, segment.tokens, RESERVATION_TTL, engine::CALL_TIMEOUT);
        if call.await.is_err() {
            break;
        }
        reserved.push((engine, reservation.clone()));
    }
    if reserved.len() == segments.len() {
        return true;
    }
    for (engine, reservation) in reserved {
        let _ = engine.release(&reservation).await;
    }
    false
}
