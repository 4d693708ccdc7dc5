//! Whether an upstream ended under a request, found out when its connection breaks, and what follows
//! for the request.

use std::sync::Arc;
use std::time::Duration;

use foldlock_base::prelude::*;
use foldlock_connection::channel::{Channel, Failure};
use foldlock_request::decision::Decision;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::QuarantineEntry;
use foldlock_request::flight::Flight;
use foldlock_request::quarantine::{Crash, Status};
use foldlock_request::suspicion::{Failure as Cause, Outcome};
use foldlock_request::tag::Tag;

use crate::fleet::job::Job;
use crate::fleet::register::Order;
use crate::fleet::tell;

/// How long an upstream is asked whether it listens: a dead port says so within a way there and back, a
/// few milliseconds. One that says nothing may be cut off, which is not the request's doing.
const ASKED: Duration = Duration::from_millis(100);

/// How long the connection by which a living upstream was asked is kept for the next request.
const KEPT: Duration = Duration::from_secs(2);

/// The connection to the upstream of an attempt broke: finds out whether the upstream has ended, and notes
/// it against the request if so. The attempt has to be in the cluster state still: so no second copy is placed
/// before this one's end is known.
pub async fn examine<D: Dialect>(job: &Job<D>, flight: &Flight, start: Tag) {
    let upstream = &flight.upstream;
    let known = {
        let cluster = job.process.cluster.lock().unwrap();
        // One that leaves ends by itself.
        let known = cluster.get(upstream).filter(|u| u.is_open() && u.unlisted.is_none());
        known.map(|known| (known.listed.address.clone(), known.tag))
    };
    let Some((address, tag)) = known else { return };
    if tag != start {
        // It has started again already.
        ended(job, flight, start);
        return;
    }
    match Channel::open(&address, ASKED).await {
        Err(Failure::Refused(_)) => ended(job, flight, start),
        // Silent or out of descriptors: it is not known whether it ended.
        Err(Failure::Unsent(_) | Failure::Broken(_)) => {}
        Ok(channel) => {
            job.process.metrics.connections.inc();
            job.process.pool.put(upstream, channel, KEPT, job.process.now());
        }
    }
}

fn ended<D: Dialect>(job: &Job<D>, flight: &Flight, start: Tag) {
    let now = job.process.now();
    let upstream = flight.upstream.clone();
    let alone = flight.isolated.is_some();
    let ending = Crash { upstream: start, isolated: alone };
    let mut cluster = job.process.cluster.lock().unwrap();
    if cluster.tag_of(&upstream) == start {
        cluster.record_outcome(&upstream, Outcome::Failed(Cause::Unresponsive), now);
    }
    let held = cluster.quarantine.record_crash(job.fingerprint, ending, now);
    let known = cluster.quarantine.crash_count(job.fingerprint) as u32;
    drop(cluster);
    tell::tell_scheduler(&job.process);
    job.process.pool.remove(&upstream);
    job.process.metrics.ended_under.inc();
    job.record(Decision::Crashed { upstream, crashes: known, isolated: alone });
    if let Some(held) = held {
        hold(job, held);
    }
    job.process.tell.notify_one();
    job.process.room.notify_one();
}

/// The request is held from now on: the directory is to tell all VMs, and those that start later.
fn hold<D: Dialect>(job: &Job<D>, status: Status) {
    let Status { solo_crashes: proofs, remaining, crashes } = status;
    let held_ms = remaining.as_millis() as u64;
    job.process.metrics.held.inc();
    job.record(Decision::Quarantined { quarantine_ms: held_ms, solo_crashes: proofs });
    job.process.register.order(Order::Hold(QuarantineEntry {
        fingerprint: job.fingerprint,
        organisation: job.organisation.as_ref().map_or_else(String::new, |o| o.name.clone()),
        path: job.head.uri.path().to_owned(),
        service: job.service.name.clone(),
        request: job.id.clone(),
        vm: job.process.member.vm.clone(),
        ended: crashes as u32,
        proofs,
        until_ms: job.process.clock.wall_millis() + held_ms,
    }));
}

/// The request was answered whole: it is not the cause of what ended under it.
pub fn answered<D: Dialect>(job: &Arc<Job<D>>) {
    let fingerprint = job.fingerprint;
    let mut cluster = job.process.cluster.lock().unwrap();
    if !cluster.quarantine.record_completion(fingerprint, job.process.now()) {
        return;
    }
    let listed = cluster.quarantined().any(|entry| entry.fingerprint == fingerprint);
    drop(cluster);
    job.record(Decision::Cleared);
    if listed {
        job.process.register.order(Order::Release(fingerprint));
    }
    job.process.tell.notify_one();
    job.process.room.notify_one();
}
