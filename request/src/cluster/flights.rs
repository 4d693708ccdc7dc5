//! What is under way, by the VM that has it, and summed up by upstream.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use foldlock_base::id;
use foldlock_version::routes::Engine;

use super::load::{Load, Serial, Work};
use super::{Cluster, Upstream};
use crate::fingerprint::Fingerprint;
use crate::flight::{Flight, Told, Tracked};
use crate::sliding_window::SlidingWindow;

/// How long a placement that was given counts before its VM tells of the attempt: several beats, of
/// which some may be lost.
const GRANT_LASTS: Duration = Duration::from_millis(1_000);

/// The VM that has a flight under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Holder {
    /// This one.
    Own,
    /// A peer.
    Peer(id::Vm),
}

#[derive(Debug)]
struct Entry {
    serial: Serial,
    tracked: Tracked,
    /// The number of the message by which the placement was given, while its VM has not told of it.
    grant: Option<u64>,
}

/// All flights.
#[derive(Debug, Default)]
pub(super) struct Flights {
    by_holder: HashMap<Holder, HashMap<u64, Entry>>,
    works: HashMap<id::Upstream, Work>,
    /// Those that run alone; hardly ever any.
    isolated: Vec<(Serial, Fingerprint, id::Upstream)>,
    /// What was sent to each upstream of late.
    windows: HashMap<id::Upstream, SlidingWindow>,
    serial: Serial,
}

impl Flights {
    fn begin(&mut self, holder: Holder, number: u64, tracked: Tracked, grant: Option<u64>) {
        if !self.knows(&holder, number) {
            self.record_dispatch(&tracked.flight.upstream, &holder, number, tracked.sent);
        }
        self.end(&holder, number, tracked.sent);
        self.serial += 1;
        let serial = self.serial;
        let flight = &tracked.flight;
        if let Some(fingerprint) = flight.isolated {
            self.isolated.push((serial, fingerprint, flight.upstream.clone()));
        }
        self.work(&flight.upstream).answer(serial, &tracked);
        for helping in &flight.helpers {
            self.work(&helping.upstream).help(serial, &tracked, helping.held);
        }
        let entry = Entry { serial, tracked, grant };
        self.by_holder.entry(holder).or_default().insert(number, entry);
    }

    pub(super) fn record_dispatch(
        &mut self,
        upstream: &id::Upstream,
        holder: &Holder,
        number: u64,
        at: Instant,
    ) {
        self.window_mut(upstream).record(holder, number, at);
    }

    pub(super) fn set_limited(&mut self, upstream: &id::Upstream, is_limited: bool) {
        if is_limited || self.windows.contains_key(upstream) {
            self.window_mut(upstream).set_limited(is_limited);
        }
    }

    fn window_mut(&mut self, upstream: &id::Upstream) -> &mut SlidingWindow {
        if !self.windows.contains_key(upstream) {
            self.windows.insert(upstream.clone(), SlidingWindow::default());
        }
        self.windows.get_mut(upstream).expect("just inserted")
    }

    pub(super) fn window(&self, upstream: &id::Upstream) -> Option<&SlidingWindow> {
        self.windows.get(upstream)
    }

    fn work(&mut self, upstream: &id::Upstream) -> &mut Work {
        if !self.works.contains_key(upstream) {
            self.works.insert(upstream.clone(), Work::default());
        }
        self.works.get_mut(upstream).expect("just inserted")
    }

    /// Applies a change to the work of each upstream of a flight.
    fn change(
        works: &mut HashMap<id::Upstream, Work>,
        flight: &Flight,
        change: impl Fn(&mut Work),
    ) {
        let helpers = flight.helpers.iter().map(|helping| &helping.upstream);
        for upstream in std::iter::once(&flight.upstream).chain(helpers) {
            let Some(work) = works.get_mut(upstream) else { continue };
            change(work);
            if work.is_empty() {
                works.remove(upstream);
            }
        }
    }

    /// The first event of a flight has come. Answers whether that is news.
    fn began(&mut self, holder: &Holder, number: u64, now: Instant) -> bool {
        let entry = self.by_holder.get_mut(holder).and_then(|flights| flights.get_mut(&number));
        let Some(entry) = entry.filter(|entry| !entry.tracked.flight.writing) else { return false };
        entry.tracked.flight.writing = true;
        let serial = entry.serial;
        Self::change(&mut self.works, &entry.tracked.flight, |work| work.began(serial, now));
        true
    }

    /// A flight has ended. Answers whether it was known.
    fn end(&mut self, holder: &Holder, number: u64, now: Instant) -> bool {
        let entry = self.by_holder.get_mut(holder).and_then(|flights| flights.remove(&number));
        let Some(Entry { serial, tracked, .. }) = entry else { return false };
        self.isolated.retain(|(isolated, ..)| *isolated != serial);
        Self::change(&mut self.works, &tracked.flight, |work| work.end(serial, now));
        true
    }

    fn knows(&self, holder: &Holder, number: u64) -> bool {
        self.by_holder.get(holder).is_some_and(|flights| flights.contains_key(&number))
    }

    fn told(&mut self, holder: &Holder, number: u64) {
        let entry = self.by_holder.get_mut(holder).and_then(|flights| flights.get_mut(&number));
        if let Some(entry) = entry {
            entry.grant = None;
        }
    }

    /// The numbers of flights of a holder that end because it does not tell of them.
    fn untold(&self, holder: &Holder, told: &HashSet<u64>, granted: u64, now: Instant) -> Vec<u64> {
        let Some(flights) = self.by_holder.get(holder) else { return Vec::new() };
        let waits = |entry: &Entry| {
            let age = now.saturating_duration_since(entry.tracked.sent);
            entry.grant.is_some_and(|grant| grant > granted) && age < GRANT_LASTS
        };
        let over = flights.iter().filter(|(number, entry)| !told.contains(number) && !waits(entry));
        over.map(|(number, _)| *number).collect()
    }

    /// An upstream has started again: what was under way there has ended with the start before, whatever
    /// the VMs that sent it still tell.
    pub(super) fn restarted(&mut self, upstream: &id::Upstream) {
        self.works.remove(upstream);
        self.windows.remove(upstream);
        self.isolated.retain(|(.., at)| at != upstream);
    }

    /// Ends all flights of a peer.
    pub(super) fn lost(&mut self, vm: &id::Vm, now: Instant) {
        let holder = Holder::Peer(vm.clone());
        self.windows.values_mut().for_each(|window| window.forget_numbers(&holder));
        let flights = self.by_holder.remove(&holder).unwrap_or_default();
        for Entry { serial, tracked, .. } in flights.into_values() {
            self.isolated.retain(|(isolated, ..)| *isolated != serial);
            Self::change(&mut self.works, &tracked.flight, |work| work.end(serial, now));
        }
    }
}

impl Cluster {
    /// Enters an attempt of this VM.
    pub fn enter(&mut self, number: u64, flight: Flight, now: Instant) {
        let tracked = self.tracked(flight, now);
        self.record_own_dispatch(&tracked.flight.upstream, number, now);
        self.flights.begin(Holder::Own, number, tracked, None);
    }

    fn tracked(&self, flight: Flight, sent: Instant) -> Tracked {
        let tag = self.tag_of(&flight.upstream);
        let helpers = flight.helpers.iter().map(|helping| self.tag_of(&helping.upstream));
        Tracked { tag, helper_tags: helpers.collect(), flight, sent }
    }

    /// The first event of an attempt of this VM has come.
    pub fn began(&mut self, number: u64, now: Instant) {
        self.flights.began(&Holder::Own, number, now);
    }

    /// An attempt of this VM has ended.
    pub fn leave(&mut self, number: u64, now: Instant) {
        self.flights.end(&Holder::Own, number, now);
    }

    /// Enters a placement that this VM gives, by its message `grant`: it counts from now on, and until
    /// its VM tells of it, or tells that it has that message and not of the attempt.
    pub fn grant(&mut self, to: &Holder, number: u64, flight: Flight, grant: u64, now: Instant) {
        let tracked = self.tracked(flight, now);
        self.flights.begin(to.clone(), number, tracked, Some(grant));
    }

    /// Takes back a placement that was given and not used.
    pub fn take_back(&mut self, from: &Holder, number: u64, now: Instant) {
        let entry = self.flights.by_holder.get(from).and_then(|flights| flights.get(&number));
        if entry.is_some_and(|entry| entry.grant.is_some()) {
            self.flights.end(from, number, now);
        }
    }

    /// Forgets the placements given of which nothing was heard. Answers whether there were any.
    pub fn forget_grants(&mut self, now: Instant) -> bool {
        let old = |entry: &Entry| {
            let age = now.saturating_duration_since(entry.tracked.sent);
            entry.grant.is_some() && age >= GRANT_LASTS
        };
        let holders = self.flights.by_holder.iter();
        let over: Vec<(Holder, u64)> = holders
            .flat_map(|(holder, flights)| flights.iter().map(move |(n, e)| (holder, n, e)))
            .filter(|(_, _, entry)| old(entry))
            .map(|(holder, number, _)| (holder.clone(), *number))
            .collect();
        over.iter().for_each(|(holder, number)| {
            self.flights.end(holder, *number, now);
        });
        !over.is_empty()
    }

    /// Whether a copy of this request runs alone somewhere.
    pub fn has_isolated_copy(&self, fingerprint: Fingerprint) -> bool {
        self.flights.isolated.iter().any(|(_, isolated, _)| *isolated == fingerprint)
    }

    /// Whether a request runs alone at this upstream.
    pub fn is_left_alone(&self, upstream: &id::Upstream) -> bool {
        self.flights.isolated.iter().any(|(.., at)| at == upstream)
    }

    /// This VM's attempts.
    pub fn own(&self) -> impl Iterator<Item = &Tracked> {
        let own = self.flights.by_holder.get(&Holder::Own);
        own.into_iter().flat_map(|flights| flights.values()).map(|entry| &entry.tracked)
    }

    /// The requests that began at an upstream within the last second, as far as is known here.
    pub fn begun(&self, upstream: &id::Upstream, now: Instant) -> usize {
        self.flights.window(upstream).map_or(0, |window| window.cold_count(now))
    }

    /// The attempts of all VMs that tell theirs, and the placements given.
    pub fn under_way(&self) -> usize {
        self.flights.by_holder.values().map(HashMap::len).sum()
    }

    /// This VM's attempts, as peers are told of them.
    pub fn told(&self, now: Instant) -> Vec<Told> {
        let own = self.flights.by_holder.get(&Holder::Own);
        let entries = own.into_iter().flatten().filter(|(_, entry)| entry.grant.is_none());
        entries.map(|(number, entry)| entry.tracked.told(*number, now)).collect()
    }

    /// Takes all attempts that a peer told of, when it had this VM's messages up to `granted`. Those
    /// at upstreams that are not known here are left. Answers whether any of them began to write or
    /// ended: there may be room.
    pub fn hear(&mut self, vm: &id::Vm, told: &[Told], granted: u64, now: Instant) -> bool {
        let holder = Holder::Peer(vm.clone());
        let mut room = false;
        for flight in told {
            if !self.flights.knows(&holder, flight.number) {
                let known = |tag| self.tags.get(&tag).cloned();
                let Some(tracked) = Tracked::heard(flight, known, now) else { continue };
                self.flights.begin(holder.clone(), flight.number, tracked, None);
                continue;
            }
            self.flights.told(&holder, flight.number);
            if flight.writing {
                room |= self.flights.began(&holder, flight.number, now);
            }
        }
        let numbers: HashSet<u64> = told.iter().map(|flight| flight.number).collect();
        for number in self.flights.untold(&holder, &numbers, granted, now) {
            room |= self.flights.end(&holder, number, now);
        }
        room
    }

    /// The load of an upstream whose engine has these figures.
    pub fn load(&self, upstream: &Upstream, engine: Option<&Engine>, now: Instant) -> Load {
        let work = self.flights.works.get(&upstream.listed.id);
        work.map_or_else(Load::default, |work| work.load(engine, upstream.pace(now), now))
    }

    /// The load of each upstream with any, listed or not.
    pub fn loads(&self, engine: Option<&Engine>, now: Instant) -> HashMap<&id::Upstream, Load> {
        let pace = |id| self.upstreams.get(id).map_or(1.0, |upstream| upstream.pace(now));
        let works = self.flights.works.iter();
        works.map(|(id, work)| (id, work.load(engine, pace(id), now))).collect()
    }
}
