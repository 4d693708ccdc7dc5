//! Chooses the upstreams on which a request runs.
//!
//! Short prompts fill engines one after the other. Long prompts are split into equal parts and read
//! by the engines at the other end of that order. The boundary between the two thus moves with the
//! demand, and few long prefills run on engines with short responses.
//!
//! A short prompt opens another engine only if it would be late on those that are already decoding:
//! an engine with a single short response is lost to long prompts for as long as that response
//! lasts.

mod candidate;
mod group;
mod share;

use std::f64::consts::LN_2;
use std::fmt;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_version::routes::{Delivery, Engine, Route, Service};
use serde::{Deserialize, Serialize};

use crate::budget::{Charge, Exhausted};
use crate::caller::Caller;
use crate::cluster::{Cluster, INTERACTIVE_PAUSE_MS, Load};
use crate::fingerprint::Fingerprint;
use crate::flight::{Flight, Helper};
use crate::forecast;
use crate::quarantine::Verdict;
use crate::rate_limit::Limit;
use crate::scheduler::order::Reason;
use crate::tag::Tag;

use candidate::{Candidate, candidates, rejection, returned};
pub use group::{DEMAND_WINDOW, Deadline, Kept, LongPrompt, LongQueue, is_too_long, place_long};

/// Share of the objective within which a short prompt's first event must be predicted for an engine
/// to be filled further before other engines are compared.
const FILL_SHARE: f64 = 0.6;

/// Share of the objective beyond which a short prompt goes to an engine without short responses
/// instead of sharing one: one prediction in ten is a third too low.
pub(crate) const MAX_PREDICTED_SHARE: f64 = 0.85;

/// Share of the objective within which the first event must come of the prompt that waits longest
/// for the pass that would read the new one too: each added prefill delays those before it. Without
/// this limit, one in ten was late where many short prompts arrive at once.
const OLDEST_WAIT_SHARE: f64 = 0.9;

/// A prompt whose prefill takes at most this share of its objective is not split.
const UNSPLIT_SHARE: f64 = 0.55;

/// What a request needs of a placement.
#[derive(Debug, Clone, PartialEq)]
pub struct Requirements {
    /// The length of the prompt.
    pub prompt: Tokens,
    /// Engine memory for prompt and response.
    pub memory: Tokens,
    /// Latency target for the first event, from arrival.
    pub objective: Duration,
    /// The longest acceptable pause between events of a stream; none for responses that are sent
    /// whole.
    pub pause: Option<Duration>,
    /// When the request arrived.
    pub arrived: Instant,
    /// Time from arrival after which the request is no longer placed.
    pub queue_timeout: Duration,
    /// Upstreams that failed this request, and those whose backoff for its VM has not ended.
    pub excluded: Vec<Tag>,
    /// Upstreams to which its VM has a connection; preferred among equals.
    pub connected: Vec<Tag>,
    /// The data hall whose upstreams are preferred.
    pub hall: String,
    /// The longest acceptable time to the first event while several engines reserve memory for it.
    pub reservation_timeout: Duration,
    /// Identifies copies of the same request.
    pub fingerprint: Fingerprint,
    /// Where to begin in the order of upstreams. VMs that place their own requests begin at
    /// different offsets, so that they do not all choose the first upstream.
    pub offset: usize,
    /// The number of VMs that may place requests concurrently without knowing each other's
    /// placements. The capacity of a cold upstream is divided among them. One where a scheduler
    /// places all requests.
    pub schedulers: usize,
    /// Its charge to the fleet's retry budget.
    pub charge: Charge,
    /// Its caller.
    pub caller: Caller,
}

impl Requirements {
    /// The longest acceptable pause, milliseconds.
    fn pause_ms(&self) -> u32 {
        self.pause.map_or(u32::MAX, |pause| pause.as_millis() as u32)
    }

    /// Whether its response is interactive.
    fn is_interactive(&self) -> bool {
        self.pause_ms() <= INTERACTIVE_PAUSE_MS
    }

    /// Milliseconds until the deadline of the first event; negative once it has passed.
    fn left_ms(&self, now: Instant) -> f64 {
        let waited = now.saturating_duration_since(self.arrived);
        (self.objective.as_secs_f64() - waited.as_secs_f64()) * 1e3
    }

    /// Prefill time in milliseconds if this is a long prompt, which goes through the long queue;
    /// none for others.
    pub fn long_prefill_ms(&self, engine: &Engine) -> Option<f64> {
        let prefill_ms = forecast::prefill_ms(engine, self.prompt.0);
        let objective = self.objective.as_secs_f64() * 1e3;
        let short = prefill_ms <= objective * UNSPLIT_SHARE
            && self.is_interactive()
            && self.memory <= engine.memory;
        (!short).then_some(prefill_ms)
    }

    /// The expected length of the response: what the caller allows, but at most the usual length,
    /// since callers often allow far more.
    fn answer(&self, engine: &Engine) -> Tokens {
        Tokens(self.memory.0.saturating_sub(self.prompt.0)).min(engine.mean_answer)
    }

    /// The time from its placement to the end of the response that half of such requests take at most. A
    /// request that has less time left than this would probably be served in vain.
    pub fn service_time(&self, engine: &Engine) -> Duration {
        let answer = self.answer(engine);
        let ms = match self.long_prefill_ms(engine) {
            Some(prefill_ms) => {
                prefill_ms / forecast::EXPECTED_PREFILL_PARTS
                    + forecast::median_response_ms(engine, answer)
            }
            None => forecast::short_service_ms(engine, self.prompt, answer) * LN_2,
        };
        Duration::try_from_secs_f64(ms / 1e3).unwrap_or(Duration::MAX)
    }

    /// Time in which a long prompt has to be read so that at least the shortest response ends within the
    /// caller's time.
    fn left_for_prefill(&self, engine: &Engine, now: Instant) -> Duration {
        let waited = now.saturating_duration_since(self.arrived);
        let response_ms = forecast::shortest_response_ms(engine, self.prompt);
        let response = Duration::try_from_secs_f64(response_ms / 1e3).unwrap_or(Duration::MAX);
        self.caller.time_limit.saturating_sub(waited).saturating_sub(response)
    }
}

/// The longest acceptable pause between events of a route's streams; none for responses that are
/// sent whole.
pub fn pause(route: &Route) -> Option<Duration> {
    match route.delivery {
        Delivery::Streaming { max_pause: pause } => Some(pause),
        Delivery::Complete => None,
    }
}

/// The upstreams on which a request runs.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The in-flight attempt to record in the cluster state.
    pub flight: Flight,
    /// The predicted time to the first event, milliseconds; 0 where the service has no engine
    /// model.
    pub predicted_ms: f64,
    /// The load of the upstream at the time of the decision.
    pub load: Load,
    /// The helpers with the largest backlog, and their loads.
    pub busiest_helpers: Vec<(id::Upstream, Load)>,
    /// The number of candidates among which it was chosen.
    pub candidates: usize,
    /// The number of upstreams that were at their rate limits.
    pub limited: usize,
    /// The upstream's rate limit as recorded by the VM that granted the placement.
    pub limit: Option<Limit>,
    /// Why it was granted, if the request was queued by a forecast.
    pub reason: Option<Reason>,
}

/// Why a request was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// No upstream of the service is available.
    #[serde(rename = "Closed")]
    NoUpstream,
    /// All upstreams of the service are in data halls that an operator has drained.
    Drained,
    /// All upstreams are at capacity; this may change soon.
    Full,
    /// The prompt is too long for all engines of the service together to read in time.
    TooLarge,
    /// All upstreams of the service asked the VM for a backoff; the first of them ends after this
    /// time.
    #[serde(rename = "Resting")]
    Backoff {
        /// Remaining time, milliseconds.
        left_ms: u64,
    },
    /// All upstreams of the service are rate-limited, and the request would queue for too long.
    #[serde(rename = "Limited")]
    RateLimited {
        /// Retry-After, milliseconds.
        after_ms: u64,
    },
    /// The request cannot be served within its time, by the forecast of its wait.
    Overloaded {
        /// Retry-After, milliseconds.
        after_ms: u64,
        /// The forecast wait, milliseconds.
        wait_ms: u64,
        /// Whether the scheduler promises to serve the caller if it returns at that time.
        #[serde(default)]
        promised: bool,
    },
    /// The fleet's retry budget for the service is exhausted.
    OverBudget(Exhausted),
    /// The request crashed upstreams and is quarantined for this time.
    Quarantined {
        /// Remaining time, milliseconds.
        left_ms: u64,
    },
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::NoUpstream => f.write_str("no upstream is available"),
            Rejection::Drained => {
                f.write_str("an operator has drained the data halls of all upstreams")
            }
            Rejection::Full => f.write_str("all upstreams are at capacity"),
            Rejection::TooLarge => f.write_str("the prompt is too long for all upstreams together"),
            Rejection::Backoff { left_ms } => {
                write!(f, "all upstreams asked for a backoff, the first ends in {left_ms} ms")
            }
            Rejection::RateLimited { after_ms } => {
                write!(f, "all upstreams are at their rate limits, retry in {after_ms} ms")
            }
            Rejection::Overloaded { wait_ms, .. } => {
                write!(f, "all upstreams are at capacity, the forecast wait is {wait_ms} ms")
            }
            Rejection::OverBudget(_) => f.write_str("the fleet's retry budget is exhausted"),
            Rejection::Quarantined { left_ms } => {
                write!(f, "the request is quarantined for {left_ms} ms more")
            }
        }
    }
}

/// Finds a placement for a request that is not queued with others.
pub fn place(
    cluster: &Cluster,
    service: &Service,
    requirements: &Requirements,
    now: Instant,
) -> Result<Placement, Rejection> {
    let isolated = requires_isolation(cluster, requirements.fingerprint, now)?;
    let (candidates, limited) = candidates(cluster, service, requirements, now);
    if candidates.is_empty() {
        return Err(rejection(cluster, service, requirements, now));
    }
    let engine = service.engine.as_ref();
    let Some(engine) = engine.filter(|engine| requirements.long_prefill_ms(engine).is_some())
    else {
        let placement = match engine {
            _ if isolated => place_on_least_busy(requirements, engine, candidates),
            Some(engine) => place_short(requirements, engine, candidates).or_else(|rejection| {
                place_short(requirements, engine, returned(cluster, service, requirements, now))
                    .map_err(|_| rejection)
            }),
            None => place_without_model(requirements, candidates),
        };
        return placement.map(|placement| Placement { limited, ..placement });
    };
    let prompts = [LongPrompt { requirements, index: 0, class: 0 }];
    let queue = LongQueue {
        prompts: &prompts,
        demand: 0.0,
        offset: requirements.offset,
        kept: Kept::default(),
        deadline: Deadline::Objective,
    };
    let placed = place_long(cluster, service, engine, queue, now).pop();
    let (_, mut placement) = placed.ok_or(Rejection::Full)?;
    placement.flight.isolated = isolated.then_some(requirements.fingerprint);
    Ok(placement)
}

/// Finds a placement for a long prompt on a single rate-limited upstream, if all upstreams are
/// limited or one is due for a probe. Limited upstreams take no parts of a split prompt.
pub fn place_whole(
    cluster: &Cluster,
    service: &Service,
    requirements: &Requirements,
    now: Instant,
) -> Result<Placement, Rejection> {
    let isolated = requires_isolation(cluster, requirements.fingerprint, now)?;
    let all = cluster.limited_rate(&service.name).is_some();
    let (mut candidates, _) = candidates(cluster, service, requirements, now);
    candidates.retain(|c| c.upstream.is_limited() && (all || c.probe_due));
    let mut placement = place_on_least_busy(requirements, service.engine.as_ref(), candidates)?;
    if !all && placement.predicted_ms > requirements.left_ms(now) {
        return Err(Rejection::Full);
    }
    placement.flight.isolated = isolated.then_some(requirements.fingerprint);
    Ok(placement)
}

/// Whether a request has to run isolated. Fails if it may not run now: it is quarantined, or
/// another copy already runs isolated.
pub fn requires_isolation(
    cluster: &Cluster,
    fingerprint: Fingerprint,
    now: Instant,
) -> Result<bool, Rejection> {
    match cluster.quarantine.verdict(fingerprint, now) {
        Verdict::Shared => Ok(false),
        Verdict::Isolated if cluster.has_isolated_copy(fingerprint) => Err(Rejection::Full),
        Verdict::Isolated => Ok(true),
        Verdict::Quarantined(left) => {
            Err(Rejection::Quarantined { left_ms: left.as_millis() as u64 })
        }
    }
}

/// Places a request on the upstream with the fewest attempts and prefill parts in flight. For an
/// isolated request that is usually an idle one.
fn place_on_least_busy(
    requirements: &Requirements,
    engine: Option<&Engine>,
    candidates: Vec<Candidate<'_>>,
) -> Result<Placement, Rejection> {
    let candidate_count = candidates.len();
    let has_room = |c: &Candidate<'_>| engine.is_none_or(|e| c.has_room(requirements.memory.0, e));
    let in_flight = |c: &Candidate<'_>| (c.load.requests + c.load.helper_parts, c.load.memory);
    let best = candidates.into_iter().filter(has_room).min_by_key(in_flight);
    let best = best.ok_or(Rejection::Full)?;
    let prefill_ms =
        engine.map_or(0.0, |engine| forecast::prefill_ms(engine, requirements.prompt.0));
    let predicted_ms = engine.map_or(0.0, |engine| best.predicted_ms(engine, prefill_ms));
    let mut placement =
        build_placement(requirements, &best, &[], prefill_ms, predicted_ms, candidate_count);
    placement.flight.isolated = Some(requirements.fingerprint);
    Ok(placement)
}

fn place_without_model(
    requirements: &Requirements,
    candidates: Vec<Candidate<'_>>,
) -> Result<Placement, Rejection> {
    let candidate_count = candidates.len();
    let utilization =
        |c: &Candidate<'_>| f64::from(c.load.requests) / f64::from(c.upstream.listed.slots.max(1));
    let is_new = |c: &Candidate<'_>| !requirements.connected.contains(&c.upstream.tag);
    let compare = |a: &Candidate<'_>, b: &Candidate<'_>| {
        utilization(a).total_cmp(&utilization(b)).then(is_new(a).cmp(&is_new(b)))
    };
    let best = candidates.into_iter().min_by(compare).ok_or(Rejection::NoUpstream)?;
    Ok(build_placement(requirements, &best, &[], 0.0, 0.0, candidate_count))
}

fn place_short(
    requirements: &Requirements,
    engine: &Engine,
    candidates: Vec<Candidate<'_>>,
) -> Result<Placement, Rejection> {
    let prefill_ms = forecast::prefill_ms(engine, requirements.prompt.0);
    let objective = requirements.objective.as_secs_f64() * 1e3;
    let candidate_count = candidates.len();
    let memory = requirements.memory.0;
    let fits = |c: &Candidate<'_>, share: f64| {
        c.has_room(memory, engine)
            && c.load.next_ms + prefill_ms <= c.prefill_budget_ms(engine, requirements.pause_ms())
            && c.predicted_ms(engine, prefill_ms) <= objective * share
            && c.load.waited_ms + c.predicted_ms(engine, prefill_ms)
                <= objective * OLDEST_WAIT_SHARE
    };
    let index = candidates
        .iter()
        .position(|c| c.probe_due && fits(c, MAX_PREDICTED_SHARE))
        .or_else(|| candidates.iter().position(|c| c.is_interactive() && fits(c, FILL_SHARE)))
        .or_else(|| {
            soonest(&candidates, engine, prefill_ms, |c| {
                c.is_interactive() && fits(c, MAX_PREDICTED_SHARE)
            })
        })
        .or_else(|| candidates.iter().position(|c| fits(c, MAX_PREDICTED_SHARE)))
        .or_else(|| soonest(&candidates, engine, prefill_ms, |c| c.has_room(memory, engine)))
        .ok_or(Rejection::Full)?;
    let best = &candidates[index];
    let predicted = best.predicted_ms(engine, prefill_ms);
    Ok(build_placement(requirements, best, &[], prefill_ms, predicted, candidate_count))
}

/// The eligible engine with the earliest predicted first event.
fn soonest(
    candidates: &[Candidate<'_>],
    engine: &Engine,
    part_ms: f64,
    may: impl Fn(&Candidate<'_>) -> bool,
) -> Option<usize> {
    let predicted = |c: &Candidate<'_>| c.predicted_ms(engine, part_ms);
    candidates
        .iter()
        .enumerate()
        .filter(|(_, c)| may(c))
        .min_by(|(_, a), (_, b)| predicted(a).total_cmp(&predicted(b)))
        .map(|(index, _)| index)
}

/// Maximum number of helpers that are named in the record of a decision.
const MAX_NAMED_HELPERS: usize = 4;

fn busiest_helpers(helpers: &[(&Candidate<'_>, u64)]) -> Vec<(id::Upstream, Load)> {
    let mut order: Vec<&Candidate<'_>> = helpers.iter().map(|(c, _)| *c).collect();
    order.sort_by(|a, b| b.load.backlog_ms.total_cmp(&a.load.backlog_ms));
    order
        .into_iter()
        .take(MAX_NAMED_HELPERS)
        .map(|c| (c.upstream.listed.id.clone(), c.load.clone()))
        .collect()
}

fn build_placement(
    requirements: &Requirements,
    best: &Candidate<'_>,
    helpers: &[(&Candidate<'_>, u64)],
    part_ms: f64,
    predicted_ms: f64,
    candidate_count: usize,
) -> Placement {
    let listed = &best.upstream.listed;
    let reserved: u64 = helpers.iter().map(|(_, reserved)| reserved).sum();
    let helper = |(c, reserved): &(&Candidate<'_>, u64)| Helper {
        upstream: c.upstream.listed.id.clone(),
        reserved: *reserved,
    };
    Placement {
        flight: Flight {
            upstream: listed.id.clone(),
            helpers: helpers.iter().map(helper).collect(),
            part_ms: part_ms as f32,
            memory: requirements.memory.0.saturating_sub(reserved),
            pause_ms: requirements.pause_ms(),
            decoding: false,
            isolated: None,
        },
        predicted_ms,
        load: best.load.clone(),
        busiest_helpers: busiest_helpers(helpers),
        candidates: candidate_count,
        reason: None,
        limited: 0,
        limit: best.upstream.rate_limit.as_ref().map(|state| state.limit),
    }
}
