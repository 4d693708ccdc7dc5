//! Writing to the directory beside a request's way: that this VM takes part, where its entry was taken away,
//! and which requests are held, so all VMs hear of it, those that start later know it, and an operator sees
//! it and can let a request go.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::{self, Directory};

use crate::fleet::metrics::Call;
use crate::fleet::peers::Scheduler;
use crate::fleet::process::Process;
use crate::fleet::register::Order;
use crate::log;

/// Entries in the directory at most: some 300 KB in one listing, at 300 bytes each.
const MOST_LISTED: usize = 1_024;

/// The pause after a call that failed; it doubles with each failure.
const RETRY: Duration = Duration::from_millis(200);

/// The longest such pause.
const MOST_RETRY: Duration = Duration::from_millis(1_600);

/// How often entries are looked through for those that are over.
const SWEEP: Duration = Duration::from_secs(30);

/// How long an entry stays after its request was held: it says how often that was needed.
const KEPT: Duration = Duration::from_secs(3_600);

/// Carries out orders, and ends entries that are over while this VM places, until the process stops.
pub async fn run<D: Dialect, R: Directory>(process: Arc<Process<D>>, directory: R) {
    let Some(mut orders) = process.register.take() else { return };
    while !process.stopping.is_cancelled() {
        tokio::select! {
            order = orders.recv() => match order {
                Some(order) => write(&process, &directory, &order).await,
                None => return,
            },
            () = tokio::time::sleep(SWEEP) => sweep(&process),
            () = process.stopping.cancelled() => return,
        }
    }
}

async fn write<D: Dialect, R: Directory>(process: &Process<D>, directory: &R, order: &Order) {
    let mut pause = RETRY;
    while !process.stopping.is_cancelled() && !is_moot(process, order) {
        process.metrics.count_directory_call(Call::Write);
        match carry_out(process, directory, order).await {
            Ok(()) => return,
            Err(fault) => {
                process.metrics.directory_failures.inc();
                log::event(&process.log, Event::WriteFailed, format!("{order:?}: {fault}"));
            }
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MOST_RETRY);
    }
}

async fn carry_out<D: Dialect, R: Directory>(
    process: &Process<D>,
    directory: &R,
    order: &Order,
) -> Result<(), directory::Failure> {
    match order {
        Order::Hold(entry) => directory.quarantine(entry).await,
        Order::Release(fingerprint) | Order::Remove(fingerprint) => {
            directory.release(*fingerprint).await
        }
        Order::Announce => directory.register(&process.member).await,
    }
}

/// Whether an order needs no writing any more.
fn is_moot<D: Dialect>(process: &Process<D>, order: &Order) -> bool {
    let cluster = process.cluster.lock().unwrap();
    match order {
        Order::Hold(entry) => {
            let listed = cluster.quarantined().count();
            let known = cluster.quarantined().any(|held| held.fingerprint == entry.fingerprint);
            entry.until_ms <= process.clock.wall_millis() || listed >= MOST_LISTED && !known
        }
        Order::Release(fingerprint) => {
            !cluster.quarantined().any(|held| held.fingerprint == *fingerprint)
        }
        Order::Remove(fingerprint) => !cluster.is_released(*fingerprint),
        Order::Announce => false,
    }
}

fn sweep<D: Dialect>(process: &Process<D>) {
    let places = process.peers.scheduler(false, process.now()) == Some(Scheduler::Own);
    if !places || !process.watching.load(Ordering::Relaxed) {
        return;
    }
    let now_ms = process.clock.wall_millis();
    let kept_ms = KEPT.as_millis() as u64;
    let cluster = process.cluster.lock().unwrap();
    let over = cluster.quarantined().filter(|entry| entry.until_ms + kept_ms <= now_ms);
    over.for_each(|entry| process.register.order(Order::Release(entry.fingerprint)));
}
