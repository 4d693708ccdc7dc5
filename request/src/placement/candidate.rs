//! The upstreams that may take a request, with predictions of its latency there.

use std::time::{Duration, Instant};

use foldlock_version::routes::{Engine, Service};

use super::{Rejection, Requirements};
use crate::cluster::{Cluster, INTERACTIVE_PAUSE_MS, Load, Upstream};
use crate::forecast;
use crate::sliding_window::Bound;

/// Reserved from each pause, milliseconds, for one more short prompt that arrives.
const PAUSE_MARGIN_MS: f64 = 30.0;

/// Longest time without a request to a rate-limited upstream while there is traffic.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of interactive responses on an engine that still reads parts of any length. With
/// zero, a single such response would keep its engine from long prompts for as long as it lasts.
const MAX_INTERACTIVE_BESIDE_PARTS: u32 = 1;

/// An upstream with its current load.
#[derive(Clone)]
pub(super) struct Candidate<'a> {
    pub(super) upstream: &'a Upstream,
    pub(super) load: Load,
    /// Measured over expected time of its work.
    pub(super) slowdown: f64,
    /// Whether it is rate-limited and due for a probe, since only a response shows whether the
    /// limit has ended.
    pub(super) probe_due: bool,
}

impl<'a> Candidate<'a> {
    pub(super) fn new(
        cluster: &Cluster,
        upstream: &'a Upstream,
        engine: Option<&Engine>,
        now: Instant,
    ) -> Candidate<'a> {
        let load = cluster.load(upstream, engine, now);
        Candidate {
            upstream,
            load,
            slowdown: upstream.slowdown(now),
            probe_due: probe_due(cluster, upstream, now),
        }
    }

    /// The predicted time to the first event of a prompt that is sent now. The event comes at the
    /// end of the pass that reads the prompt, which begins when the running pass has ended.
    pub(super) fn predicted_ms(&self, engine: &Engine, part_ms: f64) -> f64 {
        let decoding = self.load.decoding + 1;
        let pass = forecast::pass_ms(engine, decoding, self.load.memory);
        self.load.pass_ms + (self.load.next_ms + part_ms + pass) * self.slowdown
    }

    /// The delay before a new prefill begins: earlier prefills and, if the engine is decoding, the
    /// rest of the running pass.
    pub(super) fn queueing_delay_ms(&self, engine: &Engine) -> f64 {
        let load = &self.load;
        let pass = forecast::pass_ms(engine, load.decoding, load.memory);
        let running = if load.decoding > 0 { pass / 2.0 } else { 0.0 };
        running * self.slowdown + load.backlog_ms
    }

    /// Prefill milliseconds that fit into one pass without too long a pause for any response on
    /// this engine, including a new one with `pause_ms`.
    pub(super) fn prefill_budget_ms(&self, engine: &Engine, pause_ms: u32) -> f64 {
        self.pass_budget_ms(engine, self.load.pause_ms.map_or(pause_ms, |ms| ms.min(pause_ms)))
    }

    /// The longest part of a long prompt that may be read on this engine.
    pub(super) fn max_part_ms(&self, engine: &Engine) -> f64 {
        let pause_ms =
            if self.is_crowded() { self.load.pause_ms } else { self.load.noninteractive_pause_ms };
        self.pass_budget_ms(engine, pause_ms.unwrap_or(u32::MAX))
    }

    pub(super) fn pass_budget_ms(&self, engine: &Engine, pause_ms: u32) -> f64 {
        let pass = forecast::pass_ms(engine, self.load.decoding + 1, self.load.memory);
        (f64::from(pause_ms) - PAUSE_MARGIN_MS) / self.slowdown - pass
    }

    /// Whether the engine has too many interactive responses for parts of any length.
    pub(super) fn is_crowded(&self) -> bool {
        self.load.interactive > MAX_INTERACTIVE_BESIDE_PARTS
    }

    /// Whether the engine has an interactive response in flight.
    pub(super) fn is_interactive(&self) -> bool {
        self.load.pause_ms.is_some_and(|ms| ms <= INTERACTIVE_PAUSE_MS)
    }

    pub(super) fn has_room(&self, memory: u64, engine: &Engine) -> bool {
        self.load.requests < self.upstream.listed.slots
            && self.load.memory + memory <= engine.memory.0
    }
}

/// The reason why no upstream is a candidate.
pub(super) fn rejection(
    cluster: &Cluster,
    service: &Service,
    requirements: &Requirements,
    now: Instant,
) -> Rejection {
    if cluster.is_drained(&service.name) {
        return Rejection::Drained;
    }
    let takes_few = |u: &Upstream| u.is_cold(now) || u.is_limited();
    let left = |u: &Upstream| takes_few(u) && !requirements.excluded.contains(&u.tag);
    if cluster.open(&service.name).any(left) { Rejection::Full } else { Rejection::NoUpstream }
}

/// The upstreams that accept new requests, only healthy ones if there are any, those in the
/// caller's data hall first; and the number of upstreams at their rate limits.
pub(super) fn candidates<'a>(
    cluster: &'a Cluster,
    service: &'a Service,
    requirements: &Requirements,
    now: Instant,
) -> (Vec<Candidate<'a>>, usize) {
    let open = cluster.open(&service.name).filter(|u| !requirements.excluded.contains(&u.tag));
    let (open, at_limit): (Vec<&Upstream>, Vec<&Upstream>) =
        open.partition(|u| accepts_more(cluster, service, u, requirements.schedulers, now));
    let limited = at_limit.into_iter().filter(|u| u.is_limited()).count();
    let mut candidates = healthy(cluster, open, now);
    if !candidates.is_empty() {
        let offset = requirements.offset % candidates.len();
        candidates.rotate_left(offset);
    }
    (ordered(cluster, service, requirements, candidates, now), limited)
}

/// The engines that are avoided for a silence and have responded to a request for a report since.
///
/// Load pattern: most engines of a service send nothing for a second, and their streams are resumed at the others. They
/// are avoided for another four, while the others are full and reject what these could serve.
pub(super) fn returned<'a>(
    cluster: &'a Cluster,
    service: &'a Service,
    requirements: &Requirements,
    now: Instant,
) -> Vec<Candidate<'a>> {
    let is_usable = |u: &&Upstream| {
        u.has_returned(now)
            && u.unlisted.is_none()
            && !requirements.excluded.contains(&u.tag)
            && !cluster.has_isolated_request(&u.listed.id)
            && accepts_more(cluster, service, u, requirements.schedulers, now)
    };
    let returned = cluster.open(&service.name).filter(is_usable).collect();
    ordered(cluster, service, requirements, returned, now)
}

fn ordered<'a>(
    cluster: &'a Cluster,
    service: &'a Service,
    requirements: &Requirements,
    upstreams: Vec<&'a Upstream>,
    now: Instant,
) -> Vec<Candidate<'a>> {
    let engine = service.engine.as_ref();
    let candidate = |upstream| Candidate::new(cluster, upstream, engine, now);
    by_rank(upstreams, &requirements.hall, now).into_iter().map(candidate).collect()
}

/// The upstreams in the order in which they are filled: limited and cold ones last, and those in the caller's data hall
/// first among equals. Each upstream is ranked once, whereas a sort would rank it for each comparison.
fn by_rank<'a>(upstreams: Vec<&'a Upstream>, hall: &str, now: Instant) -> Vec<&'a Upstream> {
    let mut by_rank: [Vec<&Upstream>; 8] = Default::default();
    for upstream in upstreams {
        let rank = usize::from(upstream.is_limited()) << 2
            | usize::from(upstream.is_cold(now)) << 1
            | usize::from(upstream.listed.hall != hall);
        by_rank[rank].push(upstream);
    }
    by_rank.concat()
}

fn probe_due(cluster: &Cluster, upstream: &Upstream, now: Instant) -> bool {
    upstream.is_limited() && cluster.sent_within(&upstream.listed.id, PROBE_INTERVAL, now) == 0
}

/// Whether an upstream accepts one more request, by its rate limit or while it is cold. Without a
/// scheduler the requests of other VMs are unknown, so a limited upstream accepts none.
pub(super) fn accepts_more(
    cluster: &Cluster,
    service: &Service,
    upstream: &Upstream,
    schedulers: usize,
    now: Instant,
) -> bool {
    if upstream.is_limited() && schedulers > 1 {
        return false;
    }
    let cold = service.cold_per_s.filter(|_| upstream.is_cold(now));
    if cold.is_none() && !upstream.is_limited() {
        return true;
    }
    let cold = cold.map(|per_s| Bound::cold(per_s, schedulers));
    cluster.allows_request(upstream, cold, now)
}

/// The upstreams that have not failed recently and run no isolated request; all of them if there
/// are no others.
pub(super) fn healthy<'a>(
    cluster: &Cluster,
    open: Vec<&'a Upstream>,
    now: Instant,
) -> Vec<&'a Upstream> {
    let is_healthy = |u: &&Upstream| {
        u.unlisted.is_none()
            && !u.suspicion.is_avoided(now)
            && !u.is_unresponsive(now)
            && !cluster.has_isolated_request(&u.listed.id)
    };
    let healthy: Vec<&Upstream> = open.iter().copied().filter(is_healthy).collect();
    if healthy.is_empty() { open } else { healthy }
}
