//! Polls the reports of engines. The scheduler distributes the polls over the VMs that are up, so that slow and
//! unresponsive engines are detected early and no VM polls many engines.
//!
//! With `admission = "forecast"` only the engines are polled about which [`foldlock_request::evidence`] decides so; without
//! it, all of them every 600 ms.

use std::sync::Arc;

use foldlock_base::prelude::*;
use foldlock_request::cluster::{Due, Listed};
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::Member;
use foldlock_request::evidence::{self, POLL_INTERVAL};
use foldlock_request::message::Message;
use foldlock_request::notice::Annotated;
use foldlock_request::report::{self, Fetched, Observed, Report, Reports};
use foldlock_request::tag::Tag;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::calls::Calls;
use crate::fleet::notices::{self, Exclusion};
use crate::fleet::peers::Scheduler;
use crate::fleet::process::Process;
use crate::fleet::{announce, dial, rate_limits};
use crate::log;

/// Minimum change of the slowdown that is logged.
const MIN_LOGGED_CHANGE: f64 = 0.1;

/// Polls the engines while this VM is the scheduler, until the process stops. By forecast, the evidence decides which
/// ones; otherwise all of them at each poll interval.
pub async fn run<D: Dialect>(process: Arc<Process<D>>) {
    while !process.stopping.is_cancelled() {
        let by_evidence = process.scheduler.lock().unwrap().policy().is_forecast();
        tokio::time::sleep(if by_evidence { evidence::TICK } else { POLL_INTERVAL }).await;
        if process.peers.scheduler(false, process.now()) != Some(Scheduler::Own) {
            continue;
        }
        let engines = if by_evidence { due(&process) } else { engines(&process) };
        if !engines.is_empty() {
            poll(&process, engines);
        }
    }
}

/// Distributes the engines over the VMs that are up by rendezvous hashing, so that the same VM polls an engine each
/// time, on an open connection.
fn poll<D: Dialect>(process: &Arc<Process<D>>, engines: Vec<Listed>) {
    let mut vms = process.peers.up(process.now());
    vms.push(process.member.clone());
    for listed in engines {
        let weight = |vm: &&Member| xxh3_64(format!("{} {}", vm.vm, listed.id).as_bytes());
        match vms.iter().max_by_key(weight) {
            Some(vm) if vm.vm != process.member.vm => {
                let message = Message::Poll(listed.tag());
                announce::send(process, &message, vm.address);
            }
            _ => {
                tokio::spawn(fetch(process.clone(), listed));
            }
        }
    }
}

/// The engines that have to be asked now by what is known of them.
fn due<D: Dialect>(process: &Process<D>) -> Vec<Listed> {
    let Some(settings) = process.settings() else { return Vec::new() };
    let now = process.now();
    let scheduler = process.scheduler.lock().unwrap();
    let mut cluster = process.cluster.lock().unwrap();
    let round = scheduler.due_reports(&mut cluster, &settings.table, now);
    drop((scheduler, cluster));
    for doubted in &round.doubted {
        process.metrics.count_doubt(doubted.doubt);
        if process.problem_lines.admit(now).is_some() {
            log::event(&process.log, Event::EngineDoubted, doubted.describe(now));
        }
    }
    let count = |due: Due| {
        process.metrics.count_report_request(due.reason);
        due.listed
    };
    round.due.into_iter().map(count).collect()
}

/// Handles a message of the scheduler that requests the report of an engine.
pub fn on_poll<D: Dialect>(process: &Arc<Process<D>>, upstream: Tag) {
    let cluster = process.cluster.lock().unwrap();
    // An upstream that is not listed here is polled by another VM next time, or was removed.
    let Some(listed) = cluster.by_tag(upstream).map(|upstream| upstream.listed.clone()) else {
        return;
    };
    drop(cluster);
    tokio::spawn(fetch(process.clone(), listed));
}

fn engines<D: Dialect>(process: &Process<D>) -> Vec<Listed> {
    let Some(settings) = process.settings() else { return Vec::new() };
    let is_engine =
        |l: &&Listed| settings.table.service(&l.service).is_some_and(|s| s.engine.is_some());
    let cluster = process.cluster.lock().unwrap();
    // Polls may count towards the rate limit.
    let is_limited = |l: &&Listed| cluster.get(&l.id).is_some_and(|engine| engine.is_limited());
    cluster.listings().filter(is_engine).filter(|l| !is_limited(l)).cloned().collect()
}

/// Requests the report of an engine and records it. Returns the result; none if the engine must not be sent report requests
/// now, or if the report is of an earlier incarnation.
pub async fn fetch<D: Dialect>(
    process: Arc<Process<D>>,
    listed: Listed,
) -> Option<Result<Fetched, report::Failure>> {
    match notices::exclusion(&process, &listed.id) {
        // It must receive nothing from this VM, polls included.
        Some(Exclusion::Backoff { .. }) => return None,
        // Attempts that run there finish, and those that are silent are judged by its reports.
        Some(Exclusion::Drained) if !has_attempt(&process, &listed.id) => return None,
        _ => {}
    }
    if rate_limits::is_limited(&process, &listed.id) {
        return None;
    }
    let at = process.now();
    let incarnation = notices::incarnation(&process, &listed.id);
    process.metrics.engine_reports.inc();
    let Annotated { notice, value: result } =
        process.reports.report(&Calls(&process), &listed.id, &listed.address).await;
    notices::apply(&process, &listed.id, incarnation, at, notice);
    if let Err(report::Failure::Unreadable(why)) = &result {
        if process.problem_lines.admit(process.now()).is_some() {
            log::event(&process.log, Event::ReportUnreadable, format!("{}: {why}", listed.id));
        }
        return Some(result);
    }
    if matches!(result, Err(report::Failure::Unresponsive(_)))
        && !dial::is_own_silence(&process, &listed.id, at).await
    {
        // The path of this VM has failed, which says nothing about the engine.
        return None;
    }
    let report = result.as_ref().map(|fetched| fetched.report);
    let born = report.ok().and_then(|report| report.born);
    if let Some(born) = born {
        on_restart(&process, &listed.id, born, &process.member.vm);
        let cluster = process.cluster.lock().unwrap();
        if cluster.get(&listed.id).is_some_and(|upstream| upstream.listed.born > Some(born)) {
            // A late report of an earlier incarnation.
            return None;
        }
    }
    let observed = Observed { report: report.ok(), at };
    let before = process.cluster.lock().unwrap().record_report(&listed.id, observed);
    log_change(&process, &listed.id, before, &report);
    process.announce.notify_one();
    Some(result)
}

/// Whether an attempt of this VM runs at an engine, or has reserved memory there.
fn has_attempt<D: Dialect>(process: &Process<D>, engine: &id::Upstream) -> bool {
    let cluster = process.cluster.lock().unwrap();
    cluster.own_attempts().any(|attempt| {
        let flight = &attempt.flight;
        flight.upstream == *engine || flight.helpers.iter().any(|helper| helper.upstream == *engine)
    })
}

/// Handles a start time that an upstream reported to this VM or to a peer. If it is a new incarnation, drops the
/// connections to the old one and announces the restart.
pub fn on_restart<D: Dialect>(
    process: &Process<D>,
    upstream: &id::Upstream,
    born: u64,
    from: &id::Vm,
) {
    if !process.cluster.lock().unwrap().observe_restart(upstream, born, process.now()) {
        return;
    }
    process.close_idle(upstream);
    let what = format!("{upstream} at {born}, reported by {from}");
    log::event(&process.log, Event::UpstreamRestarted, what);
    process.announce_to_all();
    process.cluster_changed.notify_one();
}

/// Logs what changed with a report: the engine became unresponsive, responds again, or its slowdown changed.
fn log_change<D: Dialect>(
    process: &Process<D>,
    id: &id::Upstream,
    before: Option<Observed>,
    result: &Result<Report, &report::Failure>,
) {
    let previous = before.map(|observed| observed.report);
    match result {
        Err(report::Failure::Unresponsive(why)) if previous != Some(None) => {
            log::event(&process.log, Event::UpstreamDown, format!("{id}: {why}"));
        }
        Err(_) => {}
        Ok(report) => {
            if previous == Some(None) {
                log::event(&process.log, Event::UpstreamUp, id);
            }
            let slowdown = previous.flatten().map_or(1.0, |report| report.slowdown);
            if (report.slowdown - slowdown).abs() > MIN_LOGGED_CHANGE {
                let what =
                    format!("{id}: slowdown {:.2}, previously {slowdown:.2}", report.slowdown);
                log::event(&process.log, Event::UpstreamSlowdown, what);
            }
        }
    }
}
