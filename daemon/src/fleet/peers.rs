//! The other VMs of the fleet: what they have under way, and how fresh their settings are.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_connection::beat::{self, Beat, Datagram};
use foldlock_request::board::Told;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::{Directory, Member};
use foldlock_request::{line, report};
use rand::seq::IndexedRandom;
use serde_json::json;
use tokio::net::UdpSocket;

use crate::fleet::catch_up;
use crate::fleet::process::Process;
use crate::log;

/// The least time between two beats for each peer that is told: placements gather for it. A VM so
/// sends at most 1,000 datagrams a second, about 1% of a core. In a fleet of 8 it is 7 ms, so that
/// two VMs rarely choose by the same picture (15 ms made a tenth more of the short prompts late).
const GATHER_A_PEER: Duration = Duration::from_millis(1);

/// The same in a large fleet, where each beat goes to many: at 75 peers and 300 bytes, 25 beats a
/// second are 4 Mbit/s of the 20 that a small VM has.
const GATHER_IN_CELLS: Duration = Duration::from_millis(40);

/// The longest time between two beats.
const IDLE: Duration = Duration::from_millis(400);

/// The fleet from which on a VM tells the VMs of other halls only as often as when idle: the bytes
/// between halls grow with the square of the fleet, and upstreams of the own hall come first.
const CELLS: usize = 16;

/// A peer that was not heard for this long is taken for down: five idle beats.
const SILENT: Duration = Duration::from_millis(2_000);

/// What is known of a peer.
#[derive(Debug, Clone)]
struct Peer {
    member: Member,
    /// It has withdrawn from the fleet and finishes what it has under way, which still counts.
    leaving: bool,
    heard: Option<Instant>,
    stamp: Option<u64>,
    version: u64,
    at: u64,
    digest: u64,
}

/// The peers.
#[derive(Debug)]
pub struct Peers {
    started: Instant,
    known: Mutex<BTreeMap<id::Vm, Peer>>,
    /// Whether something is being read from a peer.
    pub reading: AtomicBool,
}

impl Peers {
    /// No peers yet; stamps count from `started`.
    pub fn new(started: Instant) -> Peers {
        Peers { started, known: Mutex::default(), reading: AtomicBool::new(false) }
    }

    /// A VM is listed.
    pub fn listed<D: Dialect>(&self, process: &Process<D>, member: Member) {
        if member.vm == process.member.vm {
            return;
        }
        let mut known = self.known.lock().unwrap();
        let same = known.get(&member.vm).is_some_and(|peer| peer.member == member);
        if same {
            return;
        }
        let what = format!("{} at {}", member.vm, member.address);
        let vm = member.vm.clone();
        known.insert(vm, Peer::new(member));
        drop(known);
        log::event(&process.log, Event::MemberUp, what);
        process.tell.notify_one();
    }

    /// A VM has withdrawn. What it has under way counts until it is no longer heard.
    pub fn withdrawn<D: Dialect>(&self, process: &Process<D>, vm: &id::Vm) {
        let mut known = self.known.lock().unwrap();
        let Some(peer) = known.get_mut(vm) else { return };
        if std::mem::replace(&mut peer.leaving, true) {
            return;
        }
        let heard = peer.is_heard(process.now());
        if !heard {
            known.remove(vm);
        }
        drop(known);
        if !heard {
            process.board.lock().unwrap().peer_lost(vm);
        }
        log::event(&process.log, Event::MemberLeaving, vm);
    }

    /// The number of VMs that are listed, this one among them, heard or not: what all share is
    /// divided by it.
    pub fn listed_count(&self) -> usize {
        self.known.lock().unwrap().values().filter(|peer| !peer.leaving).count() + 1
    }

    /// Whether the fleet is so large that VMs of other halls are told little.
    pub fn in_cells(&self) -> bool {
        self.known.lock().unwrap().len() >= CELLS
    }

    /// The least time between two beats.
    fn gather(&self) -> Duration {
        let peers = self.known.lock().unwrap().len();
        if peers >= CELLS { GATHER_IN_CELLS } else { GATHER_A_PEER * peers as u32 }
    }

    /// All VMs that are listed but this one.
    pub fn members(&self) -> Vec<Member> {
        let known = self.known.lock().unwrap();
        known.values().filter(|peer| !peer.leaving).map(|peer| peer.member.clone()).collect()
    }

    /// The peers that were heard of late and are not leaving.
    pub fn heard(&self, now: Instant) -> Vec<id::Vm> {
        let known = self.known.lock().unwrap();
        let heard = known.iter().filter(|(_, p)| p.is_heard(now) && !p.leaving);
        heard.map(|(vm, _)| vm.clone()).collect()
    }

    /// A peer that knows something newer of the settings, one of the own hall if possible.
    pub fn newer_settings(&self, hall: &str, version: u64, now: Instant) -> Option<SocketAddr> {
        self.pick(hall, now, |peer| peer.version > version)
    }

    /// A peer that knows other listings, of the same revision or a later one.
    pub fn other_listings(
        &self,
        hall: &str,
        at: u64,
        digest: u64,
        now: Instant,
    ) -> Option<SocketAddr> {
        let other = |peer: &Peer| peer.at > at || peer.at == at && peer.digest != digest;
        self.pick(hall, now, other)
    }

    /// One of the peers that are heard, drawn at random so that they share the work.
    fn pick(&self, hall: &str, now: Instant, of: impl Fn(&Peer) -> bool) -> Option<SocketAddr> {
        let known = self.known.lock().unwrap();
        let of: Vec<&Peer> = known.values().filter(|p| p.is_heard(now) && of(p)).collect();
        let near: Vec<&Peer> = of.iter().copied().filter(|p| p.member.hall == hall).collect();
        let from = if near.is_empty() { of } else { near };
        from.choose(&mut rand::rng()).map(|peer| peer.member.address)
    }

    /// The place of a VM among the live ones of its hall, in the order of their names.
    pub fn place_in_hall(&self, own: &Member, now: Instant) -> u32 {
        let known = self.known.lock().unwrap();
        let before =
            |p: &&Peer| p.is_heard(now) && p.member.hall == own.hall && p.member.vm < own.vm;
        known.values().filter(before).count() as u32
    }

    /// The age of the oldest word among the peers that are heard, milliseconds.
    pub fn oldest_ms(&self, now: Instant) -> Option<u64> {
        let known = self.known.lock().unwrap();
        let heard = known.values().filter(|p| p.is_heard(now)).filter_map(|p| p.heard);
        heard.map(|at| now.saturating_duration_since(at).as_millis() as u64).max()
    }

    /// What is known, for a dump.
    pub fn dump(&self, now: Instant) -> serde_json::Value {
        let known = self.known.lock().unwrap();
        let peers = known.iter().map(|(vm, p)| {
            let heard_ms = p.heard.map(|at| now.saturating_duration_since(at).as_millis() as u64);
            json!({"vm": vm, "address": p.member.address, "heard_ms": heard_ms, "version": p.version})
        });
        peers.collect()
    }

    fn stamp(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started).as_micros() as u64
    }
}

impl Peer {
    /// A peer that was not heard yet.
    fn new(member: Member) -> Peer {
        Peer { member, leaving: false, heard: None, stamp: None, version: 0, at: 0, digest: 0 }
    }

    fn is_heard(&self, now: Instant) -> bool {
        self.heard.is_some_and(|at| now.saturating_duration_since(at) < SILENT)
    }
}

/// Tells and hears the peers until the process ends.
pub async fn run<D: Dialect, R: Directory>(
    process: Arc<Process<D>>,
    socket: UdpSocket,
    directory: R,
) {
    let mut buffer = vec![0; beat::MOST];
    let mut told = process.now();
    let mut told_all = told;
    let mut due = false;
    loop {
        let next = told + if due { process.peers.gather() } else { IDLE };
        tokio::select! {
            heard = socket.recv_from(&mut buffer) => match heard {
                Ok((length, _)) => hear(&process, &buffer[..length], &directory),
                // A peer's port is closed; its silence is noticed below.
                Err(_) => continue,
            },
            () = process.tell.notified(), if !due => due = true,
            () = tokio::time::sleep_until(next.into()) => {
                told = process.now();
                due = false;
                drop_silent(&process, told);
                let due_all = told.saturating_duration_since(told_all) >= IDLE;
                let all = process.tell_all.swap(false, Ordering::Relaxed) || due_all;
                if all {
                    told_all = told;
                }
                tell(&process, &socket, told, all);
            }
        }
    }
}

fn tell<D: Dialect>(process: &Process<D>, socket: &UdpSocket, now: Instant, all: bool) {
    let known = process.peers.known.lock().unwrap();
    if known.is_empty() {
        return;
    }
    let digest = process.digest();
    let board = process.board.lock().unwrap();
    let beat = Beat {
        vm: process.member.vm.clone(),
        incarnation: process.member.incarnation,
        stamp: process.peers.stamp(now),
        version: process.version(),
        age_ms: process.fresh.age(now).map(|age| age.as_millis() as u64 + 1),
        leaving: process.stopping.is_cancelled(),
        at: process.at.load(Ordering::Relaxed),
        digest,
        flights: board.told(now),
        waiting: board.told_waiting(now),
        reports: board.told_reports(now),
    };
    drop(board);
    let beat = beat::encode(&beat);
    let cells = known.len() >= CELLS;
    for peer in known.values() {
        if cells && !all && peer.member.hall != process.member.hall {
            continue;
        }
        let (echo, echo_of) = (peer.stamp, peer.member.incarnation);
        let datagram = Datagram { echo, echo_of, beat: beat.clone() };
        // A full or closed way loses this beat; the next one says the same and more.
        let _ = socket.try_send_to(&datagram.encode(), peer.member.address);
    }
    process.metrics.beats.inc_by(known.len() as u64);
}

fn hear<D: Dialect, R: Directory>(process: &Arc<Process<D>>, bytes: &[u8], directory: &R) {
    let (datagram, beat) = match Datagram::read::<Told, line::Told, report::Told>(bytes) {
        Ok(read) => read,
        Err(e) => {
            log::event(&process.log, Event::BeatUnreadable, e);
            return;
        }
    };
    let now = process.now();
    let mut known = process.peers.known.lock().unwrap();
    let Some(peer) = known.get_mut(&beat.vm) else { return };
    let older = peer.stamp.is_some_and(|stamp| stamp >= beat.stamp);
    if peer.member.incarnation != beat.incarnation || older {
        return;
    }
    peer.heard = Some(now);
    peer.stamp = Some(beat.stamp);
    peer.version = beat.version;
    peer.at = beat.at;
    peer.digest = beat.digest;
    drop(known);
    if datagram.echo_of == process.member.incarnation {
        confirm(process, &beat, datagram.echo);
    }
    catch_up::start(process, directory);
    let mut board = process.board.lock().unwrap();
    board.hear_waiting(beat.vm.clone(), &beat.waiting, now);
    board.hear_reports(&beat.reports, now);
    board.hear(beat.vm, beat.flights, now);
    drop(board);
    process.moved.notify_waiters();
}

/// The peer knew our version to be the newest `age` before it sent this beat, which was after we
/// sent the stamp that it echoes.
fn confirm<D: Dialect>(
    process: &Process<D>,
    beat: &Beat<Told, line::Told, report::Told>,
    echo: Option<u64>,
) {
    let (Some(echo), Some(age_ms)) = (echo, beat.age_ms) else { return };
    if beat.version != process.version() || beat.version == 0 {
        return;
    }
    let sent = process.peers.started + Duration::from_micros(echo);
    if let Some(at) = sent.checked_sub(Duration::from_millis(age_ms)) {
        process.fresh.confirm(at);
    }
}

fn drop_silent<D: Dialect>(process: &Process<D>, now: Instant) {
    let mut known = process.peers.known.lock().unwrap();
    let silent: Vec<id::Vm> = known
        .iter_mut()
        .filter(|(_, peer)| peer.heard.is_some() && !peer.is_heard(now))
        .map(|(vm, peer)| {
            peer.heard = None;
            vm.clone()
        })
        .collect();
    known.retain(|_, peer| !peer.leaving || peer.heard.is_some());
    drop(known);
    for vm in silent {
        process.board.lock().unwrap().peer_lost(&vm);
        log::event(&process.log, Event::MemberDown, vm);
    }
}
