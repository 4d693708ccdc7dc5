//! Applies VMs that join or leave the fleet to the peers and the cluster state.

use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::Member;

use crate::fleet::peers::{Update, Withdrawal};
use crate::fleet::process::Process;
use crate::fleet::withdraw;
use crate::log;

/// Applies the listing of a VM. Returns whether it changes anything.
pub fn on_listed<D: Dialect>(process: &Process<D>, member: Member) -> bool {
    let vm = member.vm.clone();
    let Some(update) = process.peers.list(member) else { return false };
    if update == Update::Restarted {
        process.cluster.lock().unwrap().remove_peer(&vm, process.now());
    }
    process.announce.notify_one();
    true
}

/// Applies the announcement of a VM that it stops. The VM that withdraws others removes its entry
/// from the directory if the leaving VM requests that.
pub fn on_leaving<D: Dialect>(process: &Process<D>, vm: &id::Vm, requests_withdrawal: bool) {
    if on_withdrawn(process, vm) && requests_withdrawal && withdraw::withdraws_others(process) {
        process.withdrawals.push(vm.clone());
    }
}

/// Applies the withdrawal of a VM. Its in-flight attempts count until it is down. Returns whether
/// it had not withdrawn before.
pub fn on_withdrawn<D: Dialect>(process: &Process<D>, vm: &id::Vm) -> bool {
    let now = process.now();
    let Some(withdrawal) = process.peers.withdraw(vm, now) else { return false };
    if withdrawal == Withdrawal::Ended {
        process.cluster.lock().unwrap().remove_peer(vm, now);
    }
    log::event(&process.log, Event::PeerLeaving, vm);
    true
}
