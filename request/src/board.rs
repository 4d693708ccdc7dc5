//! The board: every upstream that is known, and every attempt that is under way at one, of this VM
//! and of the others as they tell it.
//!
//! What peers tell is the whole of their attempts each time, so a lost message costs accuracy for
//! one interval and nothing else.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_version::routes::Engine;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::forecast;
use crate::line::{self, Waiting};
use crate::report::{self, Observed};
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
    /// Whether its prompt is a long one.
    pub long: bool,
}

/// How long a report counts: an engine that is asked no more is taken for sound again.
const REPORT_LASTS: Duration = Duration::from_millis(2_500);

impl Upstream {
    /// How many times longer its work takes than its figures say, as far as is known.
    pub fn pace(&self, now: Instant) -> f64 {
        let fresh = |o: &Observed| now.saturating_duration_since(o.at) < REPORT_LASTS;
        let report = self.observed.filter(fresh).and_then(|o| o.report);
        report.map_or(1.0, |report| report.pace.max(1.0))
    }

    /// Whether it did not answer when it was last asked for a report.
    pub fn silent(&self, now: Instant) -> bool {
        let fresh = |o: &Observed| now.saturating_duration_since(o.at) < REPORT_LASTS;
        self.observed.is_some_and(|o| o.report.is_none() && fresh(&o))
    }
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
    long: bool,
    age_ms: u32,
}

/// The tag of an upstream's id. Two ids with one tag would count one's load as the other's: at
/// 10,000 upstreams, one chance in 90 that any two of them have it.
fn tag(id: &id::Upstream) -> u32 {
    xxh3_64(id.as_str().as_bytes()) as u32
}

/// The tag of a service, by which VMs name it to each other.
pub fn service_tag(service: &str) -> u32 {
    xxh3_64(service.as_bytes()) as u32
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
    /// The newest report, of this VM or a peer.
    pub observed: Option<Observed>,
    /// Whether this VM asked for it.
    pub asked: bool,
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

/// How long a peer's word of what waits there counts: two of its idle beats and some. A VM that is
/// frozen or cut off holds up the line of the others no longer.
const WAITING_LASTS: Duration = Duration::from_millis(900);

/// The long prompts that wait at a peer, and when it told of them.
#[derive(Debug)]
struct Heard {
    at: Instant,
    waiting: Vec<Waiting>,
}

/// The board.
#[derive(Debug, Default)]
pub struct Board {
    upstreams: BTreeMap<id::Upstream, Upstream>,
    ended: VecDeque<id::Upstream>,
    tags: HashMap<u32, id::Upstream>,
    own: HashMap<u64, Tracked>,
    peers: HashMap<id::Vm, Vec<Tracked>>,
    waiting: HashMap<u64, Waiting>,
    peers_waiting: HashMap<id::Vm, Heard>,
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
                    observed: None,
                    asked: false,
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
            long: told.long,
        };
        let age = Duration::from_millis(u64::from(told.age_ms));
        Some(Tracked { flight, sent: now.checked_sub(age).unwrap_or(now) })
    }

    /// Takes all attempts of a peer.
    pub fn peer(&mut self, vm: id::Vm, flights: Vec<Tracked>) {
        self.peers.insert(vm, flights);
    }

    /// This VM asked an engine for its report. Answers what was known before.
    pub fn observe(&mut self, id: &id::Upstream, observed: Observed) -> Option<Observed> {
        let upstream = self.upstreams.get_mut(id)?;
        upstream.asked = true;
        upstream.observed.replace(observed)
    }

    /// The reports that this VM asked for, as peers are told of them.
    pub fn told_reports(&self, now: Instant) -> Vec<report::Told> {
        let asked = self.upstreams.values().filter(|u| u.asked);
        asked.filter_map(|u| u.observed.map(|o| o.told(tag(&u.listed.id), now))).collect()
    }

    /// Takes the reports that a peer has, where they are newer.
    pub fn hear_reports(&mut self, told: &[report::Told], now: Instant) {
        for told in told {
            let Some(id) = self.tags.get(&told.upstream) else { continue };
            let Some(upstream) = self.upstreams.get_mut(id) else { continue };
            let observed = Observed::heard(told, now);
            if upstream.observed.is_none_or(|known| known.at < observed.at) {
                upstream.observed = Some(observed);
                upstream.asked = false;
            }
        }
    }

    /// A long prompt begins to wait here. Answers the number by which it is known.
    pub fn wait(&mut self, waiting: Waiting) -> u64 {
        self.next += 1;
        self.waiting.insert(self.next, Waiting { own: Some(self.next), ..waiting });
        self.next
    }

    /// A long prompt waits no longer.
    pub fn waited(&mut self, number: u64) {
        self.waiting.remove(&number);
    }

    /// The long prompts that wait here, as peers are told of them.
    pub fn told_waiting(&self, now: Instant) -> Vec<line::Told> {
        self.waiting.values().map(|waiting| waiting.told(now)).collect()
    }

    /// Takes all long prompts that wait at a peer.
    pub fn hear_waiting(&mut self, vm: id::Vm, told: &[line::Told], now: Instant) {
        let waiting = told.iter().map(|told| Waiting::heard(told, now)).collect();
        self.peers_waiting.insert(vm, Heard { at: now, waiting });
    }

    /// All long prompts that wait for a service, in no order.
    pub fn line(&self, service: &str, now: Instant) -> Vec<Waiting> {
        let tag = service_tag(service);
        self.all_waiting(now).filter(|waiting| waiting.service == tag).cloned().collect()
    }

    /// All long prompts that wait, of this VM and of the peers that were heard just now.
    pub fn all_waiting(&self, now: Instant) -> impl Iterator<Item = &Waiting> {
        let lasts = move |h: &&Heard| now.saturating_duration_since(h.at) < WAITING_LASTS;
        let heard = self.peers_waiting.values().filter(lasts);
        self.waiting.values().chain(heard.flat_map(|h| &h.waiting))
    }

    /// A peer is no longer heard: what it had under way ends with it.
    pub fn peer_lost(&mut self, vm: &id::Vm) {
        self.peers.remove(vm);
        self.peers_waiting.remove(vm);
    }

    /// The long prompts that were sent in the last `window` or wait, as the engines that their
    /// reading keeps busy in the mean. What ended meanwhile is left out.
    pub fn demand(&self, service: &str, engine: &Engine, window: Duration, now: Instant) -> f64 {
        let of = |t: &&Tracked| {
            let upstream = self.upstreams.get(&t.flight.upstream);
            upstream.is_some_and(|u| u.listed.service == service)
                && now.saturating_duration_since(t.sent) < window
        };
        let read = |t: &Tracked| {
            let held: u64 = t.flight.helpers.iter().map(|h| h.held).sum();
            forecast::read_ms(engine, t.flight.memory + held)
        };
        let tracked = self.own.values().chain(self.peers.values().flatten());
        let sent: f64 = tracked.filter(|t| t.flight.long).filter(of).map(read).sum();
        let waiting: f64 = self.line(service, now).iter().map(|w| w.read_ms).sum();
        (sent + waiting) / (window.as_secs_f64() * 1e3)
    }

    /// The load of each upstream with any.
    pub fn loads(&self, engine: Option<&Engine>, now: Instant) -> HashMap<&id::Upstream, Load> {
        let mut loads: HashMap<&id::Upstream, Load> = HashMap::new();
        let mut reads: Vec<Read<'_>> = Vec::new();
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
            let (sent, shared) = (tracked.sent, !flight.helpers.is_empty());
            reads.push(Read { sent, upstream: &flight.upstream, ms: part, shared });
            for helper in &flight.helpers {
                loads.entry(&helper.upstream).or_default().helping += 1;
                reads.push(Read { sent, upstream: &helper.upstream, ms: part, shared });
            }
        }
        for read in &mut reads {
            let load = &loads[read.upstream];
            if read.shared && load.writers > 0 {
                read.ms += engine.map_or(0.0, |e| forecast::pass_ms(e, load.writers, load.memory));
            }
            read.ms *= self.upstreams.get(read.upstream).map_or(1.0, |u| u.pace(now));
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
        long: flight.long,
        age_ms: now.saturating_duration_since(tracked.sent).as_millis() as u32,
    }
}

/// A read that is under way at one upstream.
struct Read<'a> {
    sent: Instant,
    upstream: &'a id::Upstream,
    ms: f64,
    /// Whether several upstreams read the prompt.
    shared: bool,
}

/// Plays the reads of each upstream one after the other in the order in which they were sent.
fn add_reads<'a>(
    loads: &mut HashMap<&'a id::Upstream, Load>,
    mut reads: Vec<Read<'a>>,
    now: Instant,
) {
    reads.sort_by_key(|read| read.sent);
    let mut free_at: HashMap<&id::Upstream, Instant> = HashMap::new();
    for Read { sent, upstream, ms, .. } in reads {
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
