//! The scheduler that accounts for this VM's share of the fleet's retry budget. This VM is its
//! client.

use foldlock_base::prelude::*;
use foldlock_request::budget;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::Member;

use crate::fleet::process::Process;

/// Records a message to a peer that may schedule for this VM. Returns whether this VM is its client.
pub fn contact_peer<D: Dialect>(process: &Process<D>, scheduler: &id::Vm) -> bool {
    process.peers.member(scheduler).is_some_and(|member| contact(process, &member))
}

/// Records that this VM schedules its own requests. Returns whether it is its own client.
pub fn contact_own<D: Dialect>(process: &Process<D>) -> bool {
    contact(process, &process.member)
}

fn contact<D: Dialect>(process: &Process<D>, scheduler: &Member) -> bool {
    let has_ended = |former: &budget::Process| {
        let is_own = former.vm == process.member.vm;
        let member = process.peers.member(&former.vm);
        !is_own && member.is_none_or(|member| member.incarnation != former.incarnation)
    };
    let contacted =
        budget::Process { vm: scheduler.vm.clone(), incarnation: scheduler.incarnation };
    let window = process.scheduler.lock().unwrap().budget.window();
    let mut affiliation = process.affiliation.lock().unwrap();
    affiliation.contact(&contacted, window, process.now(), has_ended)
}
