//! What upstreams say of themselves in their answers, taken into what this VM believes.
//!
//! The head of every answer is read for it, whatever was asked: the directory may be away just when an
//! upstream leaves.

use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::notice::Notice;
use foldlock_request::tag::Tag;

use crate::fleet::process::Process;
use crate::log;

/// The start of an upstream that something is sent to now: what the answer says concerns this one alone.
pub fn start<D: Dialect>(process: &Process<D>, upstream: &id::Upstream) -> Tag {
    process.board.lock().unwrap().tag_of(upstream)
}

/// An upstream said this of itself in an answer to this VM.
pub fn heard<D: Dialect>(
    process: &Process<D>,
    upstream: &id::Upstream,
    start: Tag,
    notice: Notice,
) {
    if notice.is_empty() {
        return;
    }
    process.metrics.notices.inc();
    if notice.leaving {
        leaves(process, start, &process.member.vm);
    }
    if notice.rest.is_some() && process.trouble_lines.admit(process.now()).is_some() {
        log::event(&process.log, Event::UpstreamSaid, format!("{upstream} {notice}"));
    }
}

/// A start of an upstream leaves, by an answer to this VM or to a peer: all VMs are told at once, and none
/// sends it new work from then on.
///
/// Until the directory tells the same this is all that keeps a fleet from an upstream that ends: with the
/// directory away for 12 s it was sent 28 requests, the last of them 12 s after its first word.
pub fn leaves<D: Dialect>(process: &Process<D>, start: Tag, heard_by: &id::Vm) {
    // Unknown here, or known to leave.
    let Some(upstream) = process.board.lock().unwrap().depart(start) else { return };
    process.pool.forget(&upstream);
    let what = format!("{upstream}, by its answer to {heard_by}");
    log::event(&process.log, Event::UpstreamLeaving, what);
    process.tell_all();
    process.room.notify_one();
}
