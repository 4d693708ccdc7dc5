//! What upstreams say of themselves in their answers, taken into what this VM believes.
//!
//! The head of every answer is read for it, whatever was asked: the directory may be away just when an
//! upstream leaves, and no directory tells who is to rest.

use std::fmt;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::notice::{Notice, RateLimit};
use foldlock_request::tag::Tag;

use crate::fleet::process::Process;
use crate::fleet::rate_limits;
use crate::log;

/// The start of an upstream that something is sent to now: what the answer says concerns this one alone.
pub fn start<D: Dialect>(process: &Process<D>, upstream: &id::Upstream) -> Tag {
    process.cluster.lock().unwrap().tag_of(upstream)
}

/// Applies what an upstream said of itself in an answer to a message sent at `sent`.
pub fn heard<D: Dialect>(
    process: &Process<D>,
    upstream: &id::Upstream,
    start: Tag,
    sent: Instant,
    notice: Notice,
) {
    if notice.is_empty() {
        return;
    }
    process.metrics.notices.inc();
    if notice.leaving {
        leaves(process, start, &process.member.vm);
    }
    if let Some(rest) = notice.backoff {
        rests(process, upstream, start, rest);
    }
    match notice.rate_limit {
        RateLimit::Limited(rate) => rate_limits::observe(process, start, Some(rate), sent),
        RateLimit::Unreadable if process.trouble_lines.admit(process.now()).is_some() => {
            log::event(&process.log, Event::UpstreamLimited, format!("{upstream} {notice}"));
        }
        _ => {}
    }
}

/// A start of an upstream leaves, by an answer to this VM or to a peer: all VMs are told at once, and none
/// sends it new work from then on.
///
/// Until the directory tells the same, this is all that keeps a fleet from an upstream that ends: with the
/// directory away for 12 s, six VMs sent it 36 requests after its first word, by the upstream's own count.
pub fn leaves<D: Dialect>(process: &Process<D>, start: Tag, heard_by: &id::Vm) {
    // Unknown here, or known to leave.
    let Some(upstream) = process.cluster.lock().unwrap().mark_leaving(start) else { return };
    process.pool.remove(&upstream);
    let what = format!("{upstream}, by its answer to {heard_by}");
    log::event(&process.log, Event::UpstreamLeaving, what);
    process.tell_all();
    process.room.notify_one();
}

/// An upstream asks this VM for a rest.
fn rests<D: Dialect>(process: &Process<D>, upstream: &id::Upstream, start: Tag, rest: Duration) {
    let news = process.backoffs.lock().unwrap().begin(start, rest, process.moment());
    if news && process.trouble_lines.admit(process.now()).is_some() {
        let what = format!("{upstream} for {} ms", rest.as_millis());
        log::event(&process.log, Event::UpstreamRests, what);
    }
}

/// Why this VM may send an upstream nothing new, by what that said itself.
pub fn exclusion<D: Dialect>(process: &Process<D>, upstream: &id::Upstream) -> Option<Exclusion> {
    let cluster = process.cluster.lock().unwrap();
    match cluster.get(upstream) {
        Some(known) if known.is_leaving() => return Some(Exclusion::Closed),
        Some(known) if known.drained => return Some(Exclusion::Drained),
        Some(_) => {}
        None => return Some(Exclusion::Closed),
    }
    let start = cluster.tag_of(upstream);
    drop(cluster);
    let left = process.backoffs.lock().unwrap().remaining(start, process.moment());
    left.map(|left| Exclusion::Resting { left })
}

/// What keeps new work from an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exclusion {
    /// It leaves, or is gone.
    Closed,
    /// An operator has drained its data hall.
    Drained,
    /// It asked this VM for a rest.
    Resting {
        /// What is left of it.
        left: Duration,
    },
    /// Its rate limit has changed since the placement was granted.
    RateLimited,
}

impl fmt::Display for Exclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Exclusion::Closed => f.write_str("it leaves or is gone"),
            Exclusion::Drained => f.write_str("its data hall is drained"),
            Exclusion::Resting { left } => {
                write!(f, "it rests for {} ms more", left.as_millis())
            }
            Exclusion::RateLimited => f.write_str("its rate limit has changed"),
        }
    }
}

/// The upstreams that rest for this VM.
pub fn resting<D: Dialect>(process: &Process<D>) -> Vec<Tag> {
    process.backoffs.lock().unwrap().active(process.moment())
}

/// How long it is until the first of a service's upstreams may be sent work, where all of them rest.
pub fn all_rest<D: Dialect>(process: &Process<D>, service: &str) -> Option<Duration> {
    let moment = process.moment();
    let cluster = process.cluster.lock().unwrap();
    let backoffs = process.backoffs.lock().unwrap();
    backoffs.shortest_remaining(cluster.open(service).map(|upstream| upstream.tag), moment)
}
