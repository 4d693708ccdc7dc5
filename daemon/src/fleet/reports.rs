//! Reports of engines: the scheduler has each engine asked by one of those that it hears, so that
//! it knows of a slow or silent engine soon and no VM asks many.

use std::sync::Arc;
use std::time::Duration;

use foldlock_base::prelude::*;
use foldlock_request::cluster::Listed;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::Member;
use foldlock_request::message::Message;
use foldlock_request::notice::Annotated;
use foldlock_request::report::{Observed, Report, ReportError, Reports};
use foldlock_request::tag::Tag;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::notices::{self, Exclusion};
use crate::fleet::peers::Scheduler;
use crate::fleet::process::Process;
use crate::fleet::{rate_limits, tell};
use crate::log;

/// How often each engine is asked: a slow or silent one holds up most prompts that several engines
/// read, and these come several times a second.
const EVERY: Duration = Duration::from_millis(600);

/// A change of pace that is logged.
const NEWS: f64 = 0.1;

/// Has the engines asked while this VM places, until the process stops.
pub async fn run<D: Dialect>(process: Arc<Process<D>>) {
    while !process.stopping.is_cancelled() {
        tokio::time::sleep(EVERY).await;
        if process.peers.scheduler(false, process.now()) == Some(Scheduler::Own) {
            poll(&process);
        }
    }
}

/// Divides the engines among the VMs that are heard, each by a hash, so that the same VM asks the
/// same engine on its connection.
fn poll<D: Dialect>(process: &Arc<Process<D>>) {
    let mut vms = process.peers.heard(process.now());
    vms.push(process.member.clone());
    for listed in engines(process) {
        let weight = |vm: &&Member| xxh3_64(format!("{} {}", vm.vm, listed.id).as_bytes());
        match vms.iter().max_by_key(weight) {
            Some(vm) if vm.vm != process.member.vm => {
                let message = Message::Poll(listed.tag());
                tell::send(process, &message, vm.address);
            }
            _ => {
                tokio::spawn(ask(process.clone(), listed));
            }
        }
    }
}

/// The scheduler wants the report of an engine.
pub fn polled<D: Dialect>(process: &Arc<Process<D>>, upstream: Tag) {
    let cluster = process.cluster.lock().unwrap();
    // An upstream that is not known here is asked by another VM next time, or has ended.
    let Some(listed) = cluster.by_tag(upstream).map(|upstream| upstream.listed.clone()) else {
        return;
    };
    drop(cluster);
    tokio::spawn(ask(process.clone(), listed));
}

fn engines<D: Dialect>(process: &Process<D>) -> Vec<Listed> {
    let Some(settings) = process.settings() else { return Vec::new() };
    let is_engine =
        |l: &&Listed| settings.table.service(&l.service).is_some_and(|s| s.engine.is_some());
    let cluster = process.cluster.lock().unwrap();
    // Reports may count against the rate limit.
    let is_limited = |l: &&Listed| cluster.get(&l.id).is_some_and(|engine| engine.is_limited());
    cluster.listings().filter(is_engine).filter(|l| !is_limited(l)).cloned().collect()
}

async fn ask<D: Dialect>(process: Arc<Process<D>>, listed: Listed) {
    if let Some(Exclusion::Resting { .. } | Exclusion::Drained) =
        notices::exclusion(&process, &listed.id)
    {
        // It is to get nothing of this VM, a question how it fares included.
        return;
    }
    if rate_limits::is_limited(&process, &listed.id) {
        return;
    }
    let at = process.now();
    let start = notices::start(&process, &listed.id);
    process.metrics.reports.inc();
    let Annotated { notice, value: answer } =
        process.reports.report(&listed.id, &listed.address).await;
    notices::heard(&process, &listed.id, start, at, notice);
    if let Err(ReportError::Unreadable(why)) = &answer {
        if process.trouble_lines.admit(process.now()).is_some() {
            log::event(&process.log, Event::ReportUnreadable, format!("{}: {why}", listed.id));
        }
        return;
    }
    let born = answer.as_ref().ok().and_then(|report| report.born);
    if let Some(born) = born {
        renewed(&process, &listed.id, born, &process.member.vm);
        let cluster = process.cluster.lock().unwrap();
        if cluster.get(&listed.id).is_some_and(|known| known.listed.born > Some(born)) {
            // An answer of the start before, which came late.
            return;
        }
    }
    let observed = Observed { report: answer.as_ref().ok().copied(), at };
    let before = process.cluster.lock().unwrap().record_report(&listed.id, observed);
    log_change(&process, &listed.id, before, &answer);
    process.tell.notify_one();
}

/// An upstream said itself, to this VM or to a peer, that it has started at this moment.
pub fn renewed<D: Dialect>(
    process: &Process<D>,
    upstream: &id::Upstream,
    born: u64,
    from: &id::Vm,
) {
    if !process.cluster.lock().unwrap().observe_restart(upstream, born, process.now()) {
        return;
    }
    process.pool.remove(upstream);
    let what = format!("{upstream} at {born}, heard by {from}");
    log::event(&process.log, Event::UpstreamRestarted, what);
    process.tell_all();
    process.room.notify_one();
}

/// Logs what is news in an answer: silence, an answer after it, another pace.
fn log_change<D: Dialect>(
    process: &Process<D>,
    id: &id::Upstream,
    before: Option<Observed>,
    answer: &Result<Report, ReportError>,
) {
    let known = before.map(|observed| observed.report);
    match answer {
        Err(ReportError::Unresponsive(why)) if known != Some(None) => {
            log::event(&process.log, Event::UpstreamSilent, format!("{id}: {why}"));
        }
        Err(_) => {}
        Ok(report) => {
            if known == Some(None) {
                log::event(&process.log, Event::UpstreamBack, id);
            }
            let pace = known.flatten().map_or(1.0, |report| report.slowdown);
            if (report.slowdown - pace).abs() > NEWS {
                let what =
                    format!("{id}: {:.2} times its figures, {pace:.2} before", report.slowdown);
                log::event(&process.log, Event::UpstreamPace, what);
            }
        }
    }
}
