//! Withdraws stopping VMs from the directory, many with one call.
//!
//! When a fleet is shut down or moved, all its VMs stop at about the same time. If each withdrew
//! itself, there would be as many calls as VMs. So in a large fleet the first VM in the order
//! withdraws the others that ask for it. A VM that is not withdrawn in time withdraws itself.

use std::sync::Arc;
use std::time::Duration;

use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::Directory;

use crate::fleet::metrics::Call;
use crate::fleet::process::Process;
use crate::log;

/// Time for which withdrawals are collected into a batch. Together with a call and a heartbeat it stays
/// well under the time for which a stopping VM keeps running.
const BATCH_INTERVAL: Duration = Duration::from_millis(300);

/// Time for which a stopping VM waits until another one has withdrawn it: a few batch intervals,
/// and less than the time for which it still accepts connections.
const DELEGATION_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Timeout of a call. If it fails, peers detect the VM as down by its missing heartbeats.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(500);

/// Withdraws other VMs until the process ends.
pub async fn run<D: Dialect, R: Directory>(process: Arc<Process<D>>, directory: R) {
    loop {
        process.withdrawals.wait_pending().await;
        tokio::time::sleep(BATCH_INTERVAL).await;
        loop {
            let batch = process.withdrawals.next_batch();
            if batch.is_empty() {
                break;
            }
            withdraw(&process, &directory, &batch).await;
        }
    }
}

/// Announces to all peers that this VM stops, and withdraws it or waits until another VM has done
/// so.
pub async fn leave<D: Dialect, R: Directory>(process: &Process<D>, directory: &R) {
    let delegated = process.peers.is_large() && !withdraws_others(process);
    process.withdrawals.set_delegated(delegated);
    process.announce_to_all();
    let withdrawn = process.withdrawals.wait_withdrawn();
    if !delegated || tokio::time::timeout(DELEGATION_TIMEOUT, withdrawn).await.is_err() {
        withdraw(process, directory, std::slice::from_ref(&process.member.vm)).await;
    }
}

/// Whether this VM withdraws others: it is the first of those that are up and not leaving. If all
/// VMs stop, each would become the first as the others announce that they leave; so a VM that asked
/// to be withdrawn is excluded.
pub fn withdraws_others<D: Dialect>(process: &Process<D>) -> bool {
    !process.withdrawals.is_delegated() && process.peers.position(process.now()) == 0
}

async fn withdraw<D: Dialect, R: Directory>(process: &Process<D>, directory: &R, vms: &[id::Vm]) {
    process.metrics.count_directory_call(Call::Write);
    match tokio::time::timeout(WITHDRAW_TIMEOUT, directory.withdraw(vms)).await {
        Ok(Ok(())) => {}
        Ok(Err(fault)) => {
            process.metrics.directory_failures.inc();
            log::event(&process.log, Event::WriteFailed, format!("withdrawal of {vms:?}: {fault}"));
        }
        Err(_) => {
            process.metrics.directory_failures.inc();
            log::event(
                &process.log,
                Event::WriteFailed,
                format!("withdrawal of {vms:?}: no response from the directory"),
            );
        }
    }
}
