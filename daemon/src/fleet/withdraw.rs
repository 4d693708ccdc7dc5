//! VMs that stop, withdrawn from the directory for them, many with one call.
//!
//! All of a fleet stop within a moment where it is taken down or moved: a call of each would be as many calls as there
//! are VMs. So in a large fleet the first VM in the order writes for those that tell it. Who is not told
//! in time that this was done, withdraws itself.

use std::sync::Arc;
use std::time::Duration;

use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::Directory;

use crate::fleet::metrics::Call;
use crate::fleet::process::Process;
use crate::log;

/// How long withdrawals gather: with a call and a beat, well under the time for which one that stops lives on.
const BATCH_INTERVAL: Duration = Duration::from_millis(300);

/// How long a VM that stops waits for others to withdraw it: some gatherings, and under the time for which it
/// still accepts connections.
const DELEGATION_TIMEOUT: Duration = Duration::from_millis(2_000);

/// How long the directory may take; peers notice the silence of one that ends anyway.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(500);

/// Withdraws others until the process ends.
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

/// Tells all that this VM stops, and withdraws it, or lets another do that.
pub async fn leave<D: Dialect, R: Directory>(process: &Process<D>, directory: &R) {
    let delegated = process.peers.is_large() && !withdraws_others(process);
    process.withdrawals.set_delegated(delegated);
    process.tell_all();
    let withdrawn = process.withdrawals.wait_withdrawn();
    if !delegated || tokio::time::timeout(DELEGATION_TIMEOUT, withdrawn).await.is_err() {
        withdraw(process, directory, std::slice::from_ref(&process.member.vm)).await;
    }
}

/// Whether this VM is the one that withdraws others: the first of those that are heard and stay. Where all stop, each
/// would be that once it has heard the others; so who asks to be withdrawn itself is not.
pub fn withdraws_others<D: Dialect>(process: &Process<D>) -> bool {
    !process.withdrawals.is_delegated() && process.peers.position(process.now()) == 0
}

async fn withdraw<D: Dialect, R: Directory>(process: &Process<D>, directory: &R, vms: &[id::Vm]) {
    process.metrics.called(Call::Write);
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
                format!("withdrawal of {vms:?}: no answer"),
            );
        }
    }
}
