//! VMs that join the fleet and leave it, taken into what this VM believes.

use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::Member;

use crate::fleet::peers::{Update, Withdrawal};
use crate::fleet::process::Process;
use crate::fleet::withdraw;
use crate::log;

/// A VM is listed. Answers whether that is news.
pub fn on_listed<D: Dialect>(process: &Process<D>, member: Member) -> bool {
    let vm = member.vm.clone();
    let Some(update) = process.peers.list(member) else { return false };
    if update == Update::Restarted {
        process.cluster.lock().unwrap().remove_peer(&vm, process.now());
    }
    process.tell.notify_one();
    true
}

/// A VM says that it stops. The one that withdraws others does so if it asks for that.
pub fn on_leaving<D: Dialect>(process: &Process<D>, vm: &id::Vm, requests_withdrawal: bool) {
    if on_withdrawn(process, vm) && requests_withdrawal && withdraw::is_first(process) {
        process.withdrawals.note(vm.clone());
    }
}

/// A VM has withdrawn. What it has under way counts until it is no longer heard. Answers whether that is news.
pub fn on_withdrawn<D: Dialect>(process: &Process<D>, vm: &id::Vm) -> bool {
    let now = process.now();
    let Some(withdrawal) = process.peers.withdraw(vm, now) else { return false };
    if withdrawal == Withdrawal::Ended {
        process.cluster.lock().unwrap().remove_peer(vm, now);
    }
    log::event(&process.log, Event::MemberLeaving, vm);
    true
}
