//! The board: every upstream that is known, and every attempt that is under way at one, of this VM
//! and of the others as they tell it.
//!
//! What peers tell is the whole of their attempts each time, so a lost message costs accuracy for
//! one interval and nothing else.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::suspicion::Suspicion;

/// Ended upstreams that are remembered: each start of an upstream has an id of its own, and no
/// message is on its way for as long as this many upstreams take to end.
const ENDED: usize = 1_024;

/// An upstream as the directory lists it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Listed {
    /// The instance; each start of the program is a new one.
    pub id: id::Upstream,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens, `IP:port`.
    pub address: String,
    /// The data hall that it is in.
    pub hall: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is about to leave and takes no new work.
    pub leaving: bool,
}

/// An upstream that reads a part of the prompt for another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Helping {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Tokens of its memory that are set aside for the prompt; 0 where it only reads.
    pub held: u64,
}

/// An attempt under way.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Flight {
    /// The upstream that answers.
    pub upstream: id::Upstream,
    /// The upstreams that read a part of the prompt each.
    pub helpers: Vec<Helping>,
    /// Milliseconds that each of them reads.
    pub part_ms: f32,
    /// Tokens of prompt and answer that the upstream that answers holds itself.
    pub memory: u64,
    /// The longest pause between events that its caller takes for in time, milliseconds.
    pub pause_ms: u32,
    /// Whether its first event has come.
    pub writing: bool,
}

impl Flight {
    /// Whether other upstreams hold memory for it.
    pub fn holds_memory(&self) -> bool {
        self.helpers.iter().any(|helping| helping.held > 0)
    }
}

/// A flight as peers are told of it: ids as short tags, and no helpers once they have read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Told {
    upstream: u32,
    helpers: Vec<(u32, u64)>,
    part_ms: f32,
    memory: u64,
    pause_ms: u32,
    writing: bool,
    age_ms: u32,
}

/// The tag of an upstream's id. Two ids with one tag would count one's load as the other's: at
/// 10,000 upstreams, one chance in 90 that any two of them have it.
fn tag(id: &id::Upstream) -> u32 {
    xxh3_64(id.as_str().as_bytes()) as u32
}

/// A flight with the time at which it was sent, by this process's clock.
#[derive(Debug, Clone, PartialEq)]
pub struct Tracked {
    /// The flight.
    pub flight: Flight,
    /// When it was sent.
    pub sent: Instant,
}

/// An upstream, as the board knows it.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// How it is listed.
    pub listed: Listed,
    /// It said itself, by an answer, that it is leaving.
    pub told_leaving: bool,
    /// Failures of late.
    pub suspicion: Suspicion,
    /// When its listing ended while the directory was away; it may still live.
    pub unlisted: Option<Instant>,
}

/// What is under way at one upstream, summed up.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Load {
    /// Requests that it answers.
    pub requests: u32,
    /// Those of them that write.
    pub writers: u32,
    /// The shortest pause that one of them may have, milliseconds; none where there are none.
    pub pause_ms: Option<u32>,
    /// Parts of other upstreams' prompts that it reads.
    pub helping: u32,
    /// Tokens of memory.
    pub memory: u64,
    /// Milliseconds of reading still ahead.
    pub backlog_ms: f64,
    /// The longest single read among them, milliseconds.
    pub longest_ms: f64,
}

/// The board.
#[derive(Debug, Default)]
pub struct Board {
    upstreams: BTreeMap<id::Upstream, Upstream>,
    ended: VecDeque<id::Upstream>,
    tags: HashMap<u32, id::Upstream>,
    own: HashMap<u64, Tracked>,
    peers: HashMap<id::Vm, Vec<Tracked>>,
    next: u64,
}

impl Board {
    /// Takes a listing. Answers whether it is new or says something new.
    pub fn list(&mut self, listed: Listed) -> bool {
        match self.upstreams.get_mut(&listed.id) {
            Some(known) => {
                known.unlisted = None;
                let changed = known.listed != listed;
                known.listed = listed;
                changed
            }
            None => {
                let id = listed.id.clone();
                self.tags.insert(tag(&id), id.clone());
                let upstream = Upstream {
                    listed,
                    told_leaving: false,
                    suspicion: Suspicion::default(),
                    unlisted: None,
                };
                self.upstreams.insert(id, upstream);
                true
            }
        }
    }

    /// Forgets an upstream that is gone. Answers whether it was known.
    pub fn remove(&mut self, id: &id::Upstream) -> bool {
        let known = self.upstreams.remove(id).is_some();
        if known {
            self.tags.remove(&tag(id));
            self.end(id.clone());
        }
        known
    }

    /// Whether a peer's word of a listing may be taken: it brings back nothing that ended, and
    /// nothing that is leaving stays.
    pub fn accepts(&self, listed: &Listed) -> bool {
        let leaving = self.upstreams.get(&listed.id).is_some_and(|u| u.listed.leaving);
        !self.ended.contains(&listed.id) && (listed.leaving || !leaving)
    }

    fn end(&mut self, id: id::Upstream) {
        if self.ended.len() >= ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(id);
    }

    /// The listing of an upstream ended while the directory was away: it may still live, and is
    /// kept until [`Board::expire`].
    pub fn unlist(&mut self, id: &id::Upstream, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.unlisted.get_or_insert(now);
        }
    }

    /// Forgets upstreams that have been without a listing for `grace`, and names them.
    pub fn expire(&mut self, grace: Duration, now: Instant) -> Vec<id::Upstream> {
        let over = |u: &Upstream| {
            u.unlisted.is_some_and(|since| now.saturating_duration_since(since) >= grace)
        };
        let gone: Vec<id::Upstream> =
            self.upstreams.iter().filter(|(_, u)| over(u)).map(|(id, _)| id.clone()).collect();
        gone.iter().for_each(|id| {
            self.remove(id);
        });
        gone
    }

    /// An upstream said itself that it is leaving. Answers whether that is news.
    pub fn told_leaving(&mut self, id: &id::Upstream) -> bool {
        let Some(upstream) = self.upstreams.get_mut(id) else { return false };
        !std::mem::replace(&mut upstream.told_leaving, true)
    }

    /// An upstream by id.
    pub fn get(&self, id: &id::Upstream) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// An upstream by id, to note what it did.
    pub fn get_mut(&mut self, id: &id::Upstream) -> Option<&mut Upstream> {
        self.upstreams.get_mut(id)
    }

    /// All listings, in the order of their ids.
    pub fn listings(&self) -> impl Iterator<Item = &Listed> {
        self.upstreams.values().map(|u| &u.listed)
    }

    /// The upstream with this id, or at this address.
    pub fn find(&self, name: &str) -> Option<id::Upstream> {
        let mut upstreams = self.upstreams.values().map(|u| &u.listed);
        let found = upstreams.find(|l| l.id.as_str() == name || l.address == name);
        found.map(|listed| listed.id.clone())
    }

    /// The ids of all upstreams.
    pub fn ids(&self) -> impl Iterator<Item = &id::Upstream> {
        self.upstreams.keys()
    }

    /// The upstreams of a service that take new work, in the order of their ids, which is the same
    /// on all VMs.
    pub fn open<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams
            .values()
            .filter(move |u| u.listed.service == service && !u.listed.leaving && !u.told_leaving)
    }

    /// Enters an attempt of this VM. Answers the number by which it is known.
    pub fn enter(&mut self, flight: Flight, now: Instant) -> u64 {
        self.next += 1;
        self.own.insert(self.next, Tracked { flight, sent: now });
        self.next
    }

    /// The first event of an attempt has come.
    pub fn began(&mut self, number: u64) {
        if let Some(tracked) = self.own.get_mut(&number) {
            tracked.flight.writing = true;
        }
    }

    /// An attempt has ended.
    pub fn leave(&mut self, number: u64) {
        self.own.remove(&number);
    }

    /// This VM's attempts.
    pub fn own(&self) -> impl Iterator<Item = &Tracked> {
        self.own.values()
    }

    /// This VM's attempts, as peers are told of them.
    pub fn told(&self, now: Instant) -> Vec<Told> {
        self.own.values().map(|tracked| told(tracked, now)).collect()
    }

    /// Takes all attempts that a peer told of. Those at upstreams that are not known here are left.
    pub fn hear(&mut self, vm: id::Vm, told: Vec<Told>, now: Instant) {
        let flights = told.into_iter().filter_map(|told| self.tracked(told, now)).collect();
        self.peer(vm, flights);
    }

    fn tracked(&self, told: Told, now: Instant) -> Option<Tracked> {
        let helping = |(tag, held): (u32, u64)| {
            let upstream = self.tags.get(&tag)?.clone();
            Some(Helping { upstream, held })
        };
        let flight = Flight {
            upstream: self.tags.get(&told.upstream)?.clone(),
            helpers: told.helpers.into_iter().filter_map(helping).collect(),
            part_ms: told.part_ms,
            memory: told.memory,
            pause_ms: told.pause_ms,
            writing: told.writing,
        };
        let age = Duration::from_millis(u64::from(told.age_ms));
        Some(Tracked { flight, sent: now.checked_sub(age).unwrap_or(now) })
    }

    /// Takes all attempts of a peer.
    pub fn peer(&mut self, vm: id::Vm, flights: Vec<Tracked>) {
        self.peers.insert(vm, flights);
    }

    /// A peer is no longer heard: what it had under way ends with it.
    pub fn peer_lost(&mut self, vm: &id::Vm) {
        self.peers.remove(vm);
    }

    /// The load of each upstream with any.
    pub fn loads(&self, now: Instant) -> HashMap<&id::Upstream, Load> {
        let mut loads: HashMap<&id::Upstream, Load> = HashMap::new();
        let mut reads: Vec<(Instant, &id::Upstream, f64)> = Vec::new();
        for tracked in self.own.values().chain(self.peers.values().flatten()) {
            let flight = &tracked.flight;
            let part = f64::from(flight.part_ms);
            let load = loads.entry(&flight.upstream).or_default();
            load.requests += 1;
            load.memory += flight.memory;
            load.writers += u32::from(flight.writing);
            let pause_ms = load.pause_ms.map_or(flight.pause_ms, |ms| ms.min(flight.pause_ms));
            load.pause_ms = Some(pause_ms);
            for helper in flight.helpers.iter().filter(|h| h.held > 0) {
                loads.entry(&helper.upstream).or_default().memory += helper.held;
            }
            if flight.writing {
                continue;
            }
            reads.push((tracked.sent, &flight.upstream, part));
            for helper in &flight.helpers {
                loads.entry(&helper.upstream).or_default().helping += 1;
                reads.push((tracked.sent, &helper.upstream, part));
            }
        }
        add_reads(&mut loads, reads, now);
        loads
    }
}

fn told(tracked: &Tracked, now: Instant) -> Told {
    let flight = &tracked.flight;
    let counts = |h: &&Helping| !flight.writing || h.held > 0;
    Told {
        upstream: tag(&flight.upstream),
        helpers: flight.helpers.iter().filter(counts).map(|h| (tag(&h.upstream), h.held)).collect(),
        part_ms: flight.part_ms,
        memory: flight.memory,
        pause_ms: flight.pause_ms,
        writing: flight.writing,
        age_ms: now.saturating_duration_since(tracked.sent).as_millis() as u32,
    }
}

/// Plays the reads of each upstream one after the other in the order in which they were sent.
fn add_reads<'a>(
    loads: &mut HashMap<&'a id::Upstream, Load>,
    mut reads: Vec<(Instant, &'a id::Upstream, f64)>,
    now: Instant,
) {
    reads.sort_by_key(|(sent, ..)| *sent);
    let mut free_at: HashMap<&id::Upstream, Instant> = HashMap::new();
    for (sent, upstream, ms) in reads {
        let free = free_at.entry(upstream).or_insert(sent);
        *free = (*free).max(sent) + Duration::from_secs_f64(ms / 1e3);
        let Some(load) = loads.get_mut(upstream) else { continue };
        let ahead = free.saturating_duration_since(now).as_secs_f64() * 1e3;
        load.backlog_ms = load.backlog_ms.max(ahead);
        if ahead > 0.0 {
            load.longest_ms = load.longest_ms.max(ms);
        }
    }
}
