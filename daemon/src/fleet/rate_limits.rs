//! Rate limits that upstreams name in their answers: learnt, told to the VMs that schedule, and kept to.
//!
//! The scheduler paces what all VMs send. A VM that knows of a limit sends nothing on a grant of a scheduler that did
//! not know of it, and tells the scheduler.

use std::net::SocketAddr;
use std::time::Instant;

use foldlock_base::prelude::*;
use foldlock_request::board::Board;
use foldlock_request::dialect::Dialect;
use foldlock_request::flight::Flight;
use foldlock_request::message::Message;
use foldlock_request::placement::Place;
use foldlock_request::rate_limit::{Heard, Limit, Told};
use foldlock_request::tag::Tag;

use crate::fleet::process::Process;
use crate::fleet::tell;
use crate::log;

/// An instance of an upstream named a limit, or none, in an answer to what this VM sent at that time.
pub fn stated<D: Dialect>(process: &Process<D>, start: Tag, rate: Option<Rate>, sent: Instant) {
    let now = process.now();
    let own = &process.member.vm;
    let mut board = process.board.lock().unwrap();
    let Some(upstream) = board.state_limit(start, rate, sent, own, now) else { return };
    let told = told(&board, &upstream);
    drop(board);
    log_change(process, &upstream, rate, own);
    let scheduler = process.peers.placer(process.stopping.is_cancelled(), now);
    if let Some(address) = scheduler.and_then(|placer| placer.address()) {
        send(process, told.into_iter().collect(), address);
    }
    spread(process);
}

/// A peer told of limits. One that knows less is told at once.
pub fn heard<D: Dialect>(process: &Process<D>, told: &[Told], from: &id::Vm, address: SocketAddr) {
    let behind: Vec<Told> = told.iter().filter_map(|told| hear(process, *told, from)).collect();
    if !behind.is_empty() {
        send(process, behind, address);
    }
}

/// Takes a limit that a peer told of. Answers what is known here, if the peer knows less.
pub fn hear<D: Dialect>(process: &Process<D>, limit: Told, from: &id::Vm) -> Option<Told> {
    let mut board = process.board.lock().unwrap();
    let (heard, upstream) = board.hear_limit(limit, from, process.now())?;
    let own = told(&board, &upstream);
    drop(board);
    match heard {
        Heard::News => {
            log_change(process, &upstream, limit.limit.rate, from);
            spread(process);
            None
        }
        Heard::Same => None,
        Heard::Behind => own,
    }
}

/// The limits because of which a place must not be used: its scheduler knew less of them than this VM.
pub fn unknown_to_scheduler<D: Dialect>(process: &Process<D>, place: &Place) -> Vec<Told> {
    let board = process.board.lock().unwrap();
    let Flight { upstream, helpers, .. } = &place.flight;
    let helpers = helpers.iter().map(|helping| &helping.upstream);
    let limited = helpers.filter(|id| board.get(id).is_some_and(|helper| helper.is_limited()));
    let own = (!board.may_send(upstream, place.limit)).then_some(upstream);
    own.into_iter().chain(limited).filter_map(|id| told(&board, id)).collect()
}

/// Whether an upstream names a limit.
pub fn is_limited<D: Dialect>(process: &Process<D>, upstream: &id::Upstream) -> bool {
    process.board.lock().unwrap().get(upstream).is_some_and(|known| known.is_limited())
}

/// Tells a VM of limits.
pub fn send<D: Dialect>(process: &Process<D>, limits: Vec<Told>, to: SocketAddr) {
    tell::send(process, &Message::RateLimits(limits), to);
}

fn told(board: &Board, upstream: &id::Upstream) -> Option<Told> {
    let known = board.get(upstream)?;
    let limit: Limit = known.rate_limit.as_ref()?.limit;
    Some(Told { upstream: known.tag, limit })
}

fn spread<D: Dialect>(process: &Process<D>) {
    process.tell_all();
    process.room.notify_one();
}

fn log_change<D: Dialect>(
    process: &Process<D>,
    upstream: &id::Upstream,
    rate: Option<Rate>,
    by: &id::Vm,
) {
    if process.trouble_lines.admit(process.now()).is_none() {
        return;
    }
    let what = match rate {
        Some(rate) => format!("{upstream} takes {rate} from all VMs, by its answer to {by}"),
        None => format!("{upstream} names no rate limit any more, by its answer to {by}"),
    };
    log::event(&process.log, Event::UpstreamLimited, what);
}
