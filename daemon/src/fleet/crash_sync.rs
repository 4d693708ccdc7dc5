//! Announces crashes to the peers, and quarantines the parts of prompts that cause them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_request::crash_log::{self, Announcement, Culprit, Interrupted};
use foldlock_request::dialect::Dialect;
use foldlock_request::message::Message;
use foldlock_request::part::Part;
use foldlock_request::placement::Rejection;
use foldlock_request::quarantine::{Status, Verdict};
use foldlock_request::quarantine_entry;
use foldlock_request::tag::Tag;

use crate::fleet::announce;
use crate::fleet::job::Job;
use crate::fleet::peers::Scheduler;
use crate::fleet::process::Process;
use crate::fleet::write_queue::Write;
use crate::log;

/// Interval between announcements, and between decisions, while crashes are recent.
const INTERVAL: Duration = Duration::from_millis(50);

/// The number of datagrams that are sent before other tasks run.
const BATCH_SIZE: usize = 64;

/// Time after a crash for which it is announced and decided upon.
const ACTIVE_TIME: Duration = crash_log::SETTLE_TIME.saturating_add(Duration::from_millis(250));

/// Announces crashes and quarantines their causes until the process ends.
pub async fn run<D: Dialect>(process: Arc<Process<D>>) {
    loop {
        process.crash_logged.notified().await;
        let mut until = process.now() + ACTIVE_TIME;
        while process.now() < until {
            announce(&process).await;
            quarantine_culprits(&process);
            tokio::select! {
                () = tokio::time::sleep(INTERVAL) => {}
                () = process.crash_logged.notified() => until = process.now() + ACTIVE_TIME,
            }
        }
    }
}

/// Records a request of this VM that a crash interrupted before it began to respond.
pub fn record<D: Dialect>(job: &Job<D>, upstream: Tag, sent: Instant) {
    let request = Interrupted {
        request: job.id.clone(),
        service: Tag::of(&job.service.name),
        parts: job.terms.parts.clone(),
        sent,
    };
    job.process.cluster.lock().unwrap().crash_log.record_crash(
        upstream,
        request,
        job.process.now(),
    );
    job.process.crash_logged.notify_one();
}

/// Merges crashes that a peer announced.
pub fn merge<D: Dialect>(process: &Process<D>, announcements: Vec<Announcement>) {
    let now = process.now();
    let merged = process.cluster.lock().unwrap().crash_log.merge(announcements, now);
    if merged.new_crash {
        process.crash_logged.notify_one();
    }
    if !merged.culprits.is_empty() {
        impose(process, merged.culprits);
    }
}

async fn announce<D: Dialect>(process: &Process<D>) {
    let announced = process.cluster.lock().unwrap().crash_log.announced(process.now());
    if announced.is_empty() {
        return;
    }
    let message = Message::Crashes(announced);
    for batch in process.peers.members().chunks(BATCH_SIZE) {
        batch.iter().for_each(|member| announce::send(process, &message, member.address));
        tokio::task::yield_now().await;
    }
}

fn quarantine_culprits<D: Dialect>(process: &Process<D>) {
    let culprits = process.cluster.lock().unwrap().crash_log.culprits(process.now());
    for culprit in impose(process, culprits) {
        process.cluster.lock().unwrap().crash_log.announce(culprit);
    }
}

/// Quarantines these parts. Returns those that were not quarantined for their last crash before.
fn impose<D: Dialect>(process: &Process<D>, culprits: Vec<Culprit>) -> Vec<Culprit> {
    let now = process.now();
    let mut imposed = Vec::new();
    for culprit in culprits {
        let mut cluster = process.cluster.lock().unwrap();
        let fingerprint = culprit.fingerprint();
        cluster.crash_log.record_culprit(fingerprint);
        let status = cluster.quarantine.impose(fingerprint, &culprit.upstreams, now);
        drop(cluster);
        if let Some(status) = status {
            on_quarantined(process, &culprit, status);
            imposed.push(culprit);
        }
    }
    if !imposed.is_empty() {
        process.quarantine_changed.notify_waiters();
        process.cluster_changed.notify_one();
    }
    imposed
}

/// Logs a quarantine. The scheduler, and a VM that observed a crash itself, list it in the directory.
fn on_quarantined<D: Dialect>(process: &Process<D>, culprit: &Culprit, status: Status) {
    let Culprit { service, part, request, .. } = culprit;
    let quarantine_ms = status.remaining.as_millis() as u64;
    process.metrics.quarantined.inc();
    let settings = process.settings();
    let service = settings.as_ref().and_then(|settings| {
        settings.table.services().find(|found| Tag::of(&found.name) == *service).cloned()
    });
    let Some(service) = service else { return };
    let what = format!(
        "part {part} of prompts to {}, for {quarantine_ms} ms: {} upstreams crashed during requests with it, the last \
         during {request}; key {}",
        service.name,
        status.crashes,
        culprit.fingerprint()
    );
    log::event(&process.log, Event::Quarantined, what);
    let is_scheduler = process.peers.scheduler(false, process.now()) == Some(Scheduler::Own);
    let is_observer = process.cluster.lock().unwrap().crash_log.has_observed(culprit);
    if is_scheduler || is_observer {
        list(process, &service.name, culprit, status);
    }
}

/// Lists a quarantined part in the directory, so that VMs that start later have it.
fn list<D: Dialect>(process: &Process<D>, service: &str, culprit: &Culprit, status: Status) {
    let quarantine_ms = status.remaining.as_millis() as u64;
    process.directory_writes.push(Write::Quarantine(quarantine_entry::Entry {
        fingerprint: culprit.fingerprint(),
        organisation: String::new(),
        path: String::new(),
        service: service.to_owned(),
        request: culprit.request.clone(),
        vm: process.member.vm.clone(),
        ended: status.crashes as u32,
        proofs: status.solo_crashes,
        until_ms: process.clock.wall_millis() + quarantine_ms,
        part: Some(culprit.part),
    }));
}

/// The quarantined part of a request's prompt, with the remaining time.
pub fn quarantined_part<D: Dialect>(job: &Job<D>) -> Option<(Part, Duration)> {
    let service = Tag::of(&job.service.name);
    let cluster = job.process.cluster.lock().unwrap();
    match cluster.part_verdict(service, &job.terms.parts, job.process.now())? {
        (part, Verdict::Quarantined(left)) => Some((part, left)),
        _ => None,
    }
}

/// Rejects a request with a quarantined part.
pub fn check<D: Dialect>(job: &Job<D>) -> Result<(), Rejection> {
    quarantined_part(job).map_or(Ok(()), |(_, left)| {
        Err(Rejection::Quarantined { left_ms: left.as_millis() as u64 })
    })
}

/// Waits until a part of the request's prompt is quarantined.
pub async fn quarantined<D: Dialect>(job: &Job<D>) -> Rejection {
    loop {
        let changed = job.process.quarantine_changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if let Some((_, left)) = quarantined_part(job) {
            return Rejection::Quarantined { left_ms: left.as_millis() as u64 };
        }
        changed.await;
    }
}
