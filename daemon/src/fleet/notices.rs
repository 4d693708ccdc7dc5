//! Applies the notices that upstreams send in response headers: leaving, backoff and rate limit.
//!
//! The headers of all responses are evaluated, also of those to reports and orders: the directory may be down when an
//! upstream begins to leave, and backoffs are not in the directory at all.

use std::fmt;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::notice::{Notice, RateLimit};
use foldlock_request::tag::Tag;

use crate::fleet::process::Process;
use crate::fleet::rate_limits;
use crate::log;

/// Returns the current incarnation of an upstream. To be called before a message is sent: the notice in its response
/// applies to this incarnation only.
pub fn incarnation<D: Dialect>(process: &Process<D>, upstream: &id::Upstream) -> Tag {
    process.cluster.lock().unwrap().tag_of(upstream)
}

/// Applies the notice in an upstream's response to a message sent at `sent`.
pub fn apply<D: Dialect>(
    process: &Process<D>,
    upstream: &id::Upstream,
    incarnation: Tag,
    sent: Instant,
    notice: Notice,
) {
    if notice.is_empty() {
        return;
    }
    process.metrics.upstream_notices.inc();
    if notice.leaving {
        mark_leaving(process, incarnation, &process.member.vm);
    }
    if let Some(duration) = notice.backoff {
        begin_backoff(process, upstream, incarnation, duration);
    }
    match notice.rate_limit {
        RateLimit::Limited(rate) => rate_limits::observe(process, incarnation, Some(rate), sent),
        RateLimit::Unreadable if process.problem_lines.admit(process.now()).is_some() => {
            log::event(&process.log, Event::UpstreamRateLimited, format!("{upstream} {notice}"));
        }
        _ => {}
    }
}

/// Marks an incarnation of an upstream as leaving, as it stated in a response to this VM or to a peer, and announces
/// that to all VMs at once, so that none sends it new requests.
///
/// Until the directory lists it as leaving, only this keeps requests away from it. Without it, while the directory was
/// down for 12 s, six VMs sent 36 requests to an upstream after its first such response, as counted by the upstream.
pub fn mark_leaving<D: Dialect>(process: &Process<D>, incarnation: Tag, received_by: &id::Vm) {
    // Not listed here, or already marked.
    let Some(upstream) = process.cluster.lock().unwrap().mark_leaving(incarnation) else { return };
    process.close_idle(&upstream);
    let what = format!("{upstream}, as stated in a response to {received_by}");
    log::event(&process.log, Event::UpstreamLeaving, what);
    process.announce_to_all();
    process.cluster_changed.notify_one();
}

/// Starts a backoff that an upstream requests from this VM.
fn begin_backoff<D: Dialect>(
    process: &Process<D>,
    upstream: &id::Upstream,
    incarnation: Tag,
    duration: Duration,
) {
    let is_new = process.backoffs.lock().unwrap().begin(incarnation, duration, process.moment());
    if is_new && process.problem_lines.admit(process.now()).is_some() {
        let what = format!("{upstream} for {} ms", duration.as_millis());
        log::event(&process.log, Event::UpstreamBackoff, what);
    }
}

/// Returns why this VM must not send new requests to an upstream; none if it may.
pub fn exclusion<D: Dialect>(process: &Process<D>, upstream: &id::Upstream) -> Option<Exclusion> {
    let cluster = process.cluster.lock().unwrap();
    match cluster.get(upstream) {
        Some(entry) if entry.is_leaving() => return Some(Exclusion::Leaving),
        Some(entry) if entry.drained => return Some(Exclusion::Drained),
        Some(_) => {}
        None => return Some(Exclusion::Leaving),
    }
    let incarnation = cluster.tag_of(upstream);
    drop(cluster);
    let remaining = process.backoffs.lock().unwrap().remaining(incarnation, process.moment());
    remaining.map(|remaining| Exclusion::Backoff { remaining })
}

/// Why an upstream must not be sent new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exclusion {
    /// It is leaving or no longer listed.
    Leaving,
    /// An operator drained its data hall.
    Drained,
    /// It requested a backoff from this VM.
    Backoff {
        /// Remaining time of the backoff.
        remaining: Duration,
    },
    /// Its rate limit has changed since the placement was granted.
    RateLimited,
}

impl fmt::Display for Exclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Exclusion::Leaving => f.write_str("it is leaving or no longer listed"),
            Exclusion::Drained => f.write_str("its data hall is drained"),
            Exclusion::Backoff { remaining } => {
                write!(f, "its backoff lasts {} ms more", remaining.as_millis())
            }
            Exclusion::RateLimited => f.write_str("its rate limit has changed"),
        }
    }
}

/// Returns the incarnations of upstreams with an active backoff for this VM.
pub fn active_backoffs<D: Dialect>(process: &Process<D>) -> Vec<Tag> {
    process.backoffs.lock().unwrap().active(process.moment())
}

/// Returns the shortest remaining backoff if all open upstreams of a service have one; none otherwise.
pub fn shortest_backoff<D: Dialect>(process: &Process<D>, service: &str) -> Option<Duration> {
    let moment = process.moment();
    let cluster = process.cluster.lock().unwrap();
    let backoffs = process.backoffs.lock().unwrap();
    backoffs.shortest_remaining(cluster.open(service).map(|upstream| upstream.tag), moment)
}
