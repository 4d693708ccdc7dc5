//! Reports of engines: each engine is asked by one VM of those that are heard, which tells the
//! others, so that all know of a slow or silent engine at once and few questions are asked.

use std::sync::Arc;
use std::time::Duration;

use foldlock_base::prelude::*;
use foldlock_request::board::Listed;
use foldlock_request::dialect::Dialect;
use foldlock_request::report::{Fault, Observed, Report, Reports};
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::process::Process;
use crate::log;

/// How often each engine is asked: a slow or silent one holds up most prompts that several engines
/// read, and these come several times a second. At 18 engines 30 questions a second cost 0.0025 of
/// what is earned and bring 0.025 (mean of twenty days, one in four with slow engines).
const EVERY: Duration = Duration::from_millis(600);

/// A change of pace that is logged.
const NEWS: f64 = 0.1;

/// Asks the engines of this VM until the process stops.
pub async fn run<D: Dialect>(process: Arc<Process<D>>) {
    while !process.stopping.is_cancelled() {
        tokio::time::sleep(EVERY).await;
        for listed in own_engines(&process) {
            tokio::spawn(ask(process.clone(), listed));
        }
    }
}

/// The engines that this VM asks: those for which its name has the highest hash of all that are
/// heard.
fn own_engines<D: Dialect>(process: &Process<D>) -> Vec<Listed> {
    let Some(settings) = process.settings() else { return Vec::new() };
    let peers = process.peers.heard(process.now());
    let own = &process.member.vm;
    let mine = |listed: &&Listed| {
        let weight = |vm: &id::Vm| xxh3_64(format!("{vm} {}", listed.id).as_bytes());
        let own = weight(own);
        peers.iter().all(|peer| weight(peer) < own)
    };
    let is_engine =
        |l: &&Listed| settings.table.service(&l.service).is_some_and(|s| s.engine.is_some());
    let board = process.board.lock().unwrap();
    board.listings().filter(is_engine).filter(mine).cloned().collect()
}

async fn ask<D: Dialect>(process: Arc<Process<D>>, listed: Listed) {
    let at = process.now();
    process.metrics.reports.inc();
    let answer = process.reports.report(&listed.id, &listed.address).await;
    if let Err(Fault::Unreadable(why)) = &answer {
        if process.trouble_lines.admit(process.now()).is_some() {
            log::event(&process.log, Event::ReportUnreadable, format!("{}: {why}", listed.id));
        }
        return;
    }
    let observed = Observed { report: answer.as_ref().ok().copied(), at };
    let before = process.board.lock().unwrap().observe(&listed.id, observed);
    log_change(&process, &listed.id, before, &answer);
    process.tell.notify_one();
}

/// Logs what is news in an answer: silence, an answer after it, another pace.
fn log_change<D: Dialect>(
    process: &Process<D>,
    id: &id::Upstream,
    before: Option<Observed>,
    answer: &Result<Report, Fault>,
) {
    let known = before.map(|observed| observed.report);
    match answer {
        Err(Fault::Silent(why)) if known != Some(None) => {
            log::event(&process.log, Event::UpstreamSilent, format!("{id}: {why}"));
        }
        Err(_) => {}
        Ok(report) => {
            if known == Some(None) {
                log::event(&process.log, Event::UpstreamBack, id);
            }
            let pace = known.flatten().map_or(1.0, |report| report.pace);
            if (report.pace - pace).abs() > NEWS {
                let what = format!("{id}: {:.2} times its figures, {pace:.2} before", report.pace);
                log::event(&process.log, Event::UpstreamPace, what);
            }
        }
    }
}
