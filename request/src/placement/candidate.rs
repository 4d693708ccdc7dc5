//! The upstreams that may take a request, and what would become of it there.

use std::time::{Duration, Instant};

use foldlock_version::routes::{Engine, Service};

use super::{Rejection, Requirements};
use crate::cluster::{BRISK_MS, Cluster, Load, Upstream};
use crate::forecast;
use crate::sliding_window::Bound;

/// Kept from a pause, milliseconds, for one more short prompt that comes in.
const PAUSE_MARGIN_MS: f64 = 30.0;

/// Longest time without a request to a rate-limited upstream while there is traffic.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Answers with short pauses beside which parts of any length are read: a single one would keep its
/// engine from long prompts for as long as it lasts.
const LONE: u32 = 1;

/// An upstream, and what is under way there.
#[derive(Clone)]
pub(super) struct Candidate<'a> {
    pub(super) upstream: &'a Upstream,
    pub(super) load: Load,
    /// How many times longer its work takes than its figures say.
    pub(super) pace: f64,
    /// Whether it is rate-limited and due for a probe, since only an answer shows whether the limit has ended.
    pub(super) is_due: bool,
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
            pace: upstream.pace(now),
            is_due: is_due(cluster, upstream, now),
        }
    }

    /// When the first event of a prompt comes that is sent now: at the end of the pass that reads it,
    /// which begins when the one that runs is over.
    pub(super) fn predicted_ms(&self, engine: &Engine, part_ms: f64) -> f64 {
        let writers = self.load.writers + 1;
        let pass = forecast::pass_ms(engine, writers, self.load.memory);
        self.load.pass_ms + (self.load.next_ms + part_ms + pass) * self.pace
    }

    /// What a new read waits for: reads that came before it and, where some request writes, the
    /// rest of the pass that runs.
    pub(super) fn ahead_ms(&self, engine: &Engine) -> f64 {
        let load = &self.load;
        let pass = forecast::pass_ms(engine, load.writers, load.memory);
        let running = if load.writers > 0 { pass / 2.0 } else { 0.0 };
        running * self.pace + load.backlog_ms
    }

    /// The milliseconds of reading that one pass may hold so that no answer here pauses for too
    /// long, with one more whose pause is `pause_ms`.
    pub(super) fn allowance_ms(&self, engine: &Engine, pause_ms: u32) -> f64 {
        self.allowed_ms(engine, self.load.pause_ms.map_or(pause_ms, |ms| ms.min(pause_ms)))
    }

    /// The longest part of a long prompt that may be read here.
    pub(super) fn part_allowance_ms(&self, engine: &Engine) -> f64 {
        let pause_ms = if self.is_crowded() { self.load.pause_ms } else { self.load.calm_ms };
        self.allowed_ms(engine, pause_ms.unwrap_or(u32::MAX))
    }

    pub(super) fn allowed_ms(&self, engine: &Engine, pause_ms: u32) -> f64 {
        let pass = forecast::pass_ms(engine, self.load.writers + 1, self.load.memory);
        (f64::from(pause_ms) - PAUSE_MARGIN_MS) / self.pace - pass
    }

    /// Whether too many answers with short pauses are under way here for parts of any length.
    pub(super) fn is_crowded(&self) -> bool {
        self.load.brisk > LONE
    }

    /// Whether an answer with short pauses is under way here.
    pub(super) fn is_brisk(&self) -> bool {
        self.load.pause_ms.is_some_and(|ms| ms <= BRISK_MS)
    }

    pub(super) fn has_room(&self, memory: u64, engine: &Engine) -> bool {
        self.load.requests < self.upstream.listed.slots
            && self.load.memory + memory <= engine.memory.0
    }
}

/// Why no upstream is a candidate.
pub(super) fn rejection(
    cluster: &Cluster,
    service: &Service,
    requirements: &Requirements,
    now: Instant,
) -> Rejection {
    if cluster.is_drained(&service.name) {
        return Rejection::Drained;
    }
    let is_paced = |u: &Upstream| u.is_cold(now) || u.is_limited();
    let left = |u: &Upstream| is_paced(u) && !requirements.avoid.contains(&u.tag);
    if cluster.open(&service.name).any(left) { Rejection::Full } else { Rejection::Closed }
}

/// The upstreams that take new work, those that are to be trusted alone if there are any, the asker's
/// hall first; and the number of those at their rate limits.
pub(super) fn candidates<'a>(
    cluster: &'a Cluster,
    service: &'a Service,
    requirements: &Requirements,
    now: Instant,
) -> (Vec<Candidate<'a>>, usize) {
    let open = cluster.open(&service.name).filter(|u| !requirements.avoid.contains(&u.tag));
    let (open, spent): (Vec<&Upstream>, Vec<&Upstream>) =
        open.partition(|u| bears_more(cluster, service, u, requirements.schedulers, now));
    let limited = spent.into_iter().filter(|u| u.is_limited()).count();
    let mut candidates = trusted(cluster, open, now);
    if !candidates.is_empty() {
        let offset = requirements.offset % candidates.len();
        candidates.rotate_left(offset);
    }
    candidates.sort_by_key(|u| (rank(u, now), u.listed.hall != requirements.hall));
    let engine = service.engine.as_ref();
    let candidate = |upstream| Candidate::new(cluster, upstream, engine, now);
    (candidates.into_iter().map(candidate).collect(), limited)
}

/// Order in which upstreams are filled: limited and cold ones last.
fn rank(upstream: &Upstream, now: Instant) -> (bool, bool) {
    (upstream.is_limited(), upstream.is_cold(now))
}

fn is_due(cluster: &Cluster, upstream: &Upstream, now: Instant) -> bool {
    upstream.is_limited() && cluster.sent_within(&upstream.listed.id, PROBE_INTERVAL, now) == 0
}

/// Whether an upstream takes one more request, by its rate limit or while it is cold. Without a scheduler the requests
/// of other VMs are unknown, so a limited upstream takes none.
pub(super) fn bears_more(
    cluster: &Cluster,
    service: &Service,
    upstream: &Upstream,
    schedulers: usize,
    now: Instant,
) -> bool {
    if upstream.is_limited() && schedulers > 1 {
        return false;
    }
    let cold = service.cold_per_s.map(|per_s| Bound::cold(per_s, schedulers));
    cluster.takes_more(upstream, cold, now)
}

/// Those that did not fail of late and are not left to a request that runs alone, or all where there are
/// no others.
pub(super) fn trusted<'a>(
    cluster: &Cluster,
    open: Vec<&'a Upstream>,
    now: Instant,
) -> Vec<&'a Upstream> {
    let sound = |u: &&Upstream| {
        u.unlisted.is_none()
            && !u.suspicion.is_avoided(now)
            && !u.silent(now)
            && !cluster.is_left_alone(&u.listed.id)
    };
    let trusted: Vec<&Upstream> = open.iter().copied().filter(sound).collect();
    if trusted.is_empty() { open } else { trusted }
}
