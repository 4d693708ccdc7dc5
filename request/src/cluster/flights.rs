//! In-flight attempts by the VM that sent them, and the load that they put on each upstream.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use foldlock_base::id;
use foldlock_version::routes::Engine;

use super::load::{Load, Serial, Work};
use super::{Cluster, Upstream};
use crate::evidence::Expectation;
use crate::fingerprint::Fingerprint;
use crate::flight::{Announcement, Flight, Tracked};
use crate::sliding_window::SlidingWindow;

/// How long a granted placement counts before its VM announces the attempt: several heartbeats, since some may
/// be lost.
const GRANT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The VM that sent a flight, or that was granted its placement.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Holder {
    /// This VM.
    Own,
    /// A peer.
    Peer(id::Vm),
}

#[derive(Debug)]
pub(super) struct Entry {
    serial: Serial,
    pub(super) tracked: Tracked,
    /// The number of the grant, until the VM has announced the flight.
    pub(super) grant: Option<u64>,
    /// Its first event as predicted with the grant; none if it is not judged.
    pub(super) expected: Option<Expectation>,
    /// Until when its events show that its engine was not slow, for attempts of this VM.
    pub(super) sound_until: Option<Instant>,
}

/// All in-flight attempts.
#[derive(Debug, Default)]
pub(super) struct Flights {
    by_holder: HashMap<Holder, HashMap<u64, Entry>>,
    pub(super) works: HashMap<id::Upstream, Work>,
    /// Isolated flights; rarely any, so they are searched linearly.
    isolated: Vec<(Serial, Fingerprint, id::Upstream)>,
    /// Recent dispatches to each upstream.
    dispatches: HashMap<id::Upstream, SlidingWindow>,
    serial: Serial,
}

impl Flights {
    fn begin(&mut self, holder: Holder, number: u64, tracked: Tracked, grant: Option<u64>) {
        if !self.contains(&holder, number) {
            self.record_dispatch(&tracked.flight.upstream, &holder, number, tracked.sent);
        }
        let expected = self.entry(&holder, number).and_then(|entry| entry.expected);
        self.end(&holder, number, tracked.sent);
        self.serial += 1;
        let serial = self.serial;
        let flight = &tracked.flight;
        if let Some(fingerprint) = flight.isolated {
            self.isolated.push((serial, fingerprint, flight.upstream.clone()));
        }
        self.work(&flight.upstream).add_main(serial, &tracked);
        for helper in &flight.helpers {
            self.work(&helper.upstream).add_helper(serial, &tracked, helper.reserved);
        }
        let entry = Entry { serial, tracked, grant, expected, sound_until: None };
        self.by_holder.entry(holder).or_default().insert(number, entry);
    }

    pub(super) fn record_dispatch(
        &mut self,
        upstream: &id::Upstream,
        holder: &Holder,
        number: u64,
        at: Instant,
    ) {
        self.dispatches_mut(upstream).record(holder, number, at);
    }

    pub(super) fn set_limited(&mut self, upstream: &id::Upstream, is_limited: bool) {
        if is_limited || self.dispatches.contains_key(upstream) {
            self.dispatches_mut(upstream).set_limited(is_limited);
        }
    }

    fn dispatches_mut(&mut self, upstream: &id::Upstream) -> &mut SlidingWindow {
        if !self.dispatches.contains_key(upstream) {
            self.dispatches.insert(upstream.clone(), SlidingWindow::default());
        }
        self.dispatches.get_mut(upstream).expect("just inserted")
    }

    pub(super) fn dispatches(&self, upstream: &id::Upstream) -> Option<&SlidingWindow> {
        self.dispatches.get(upstream)
    }

    fn work(&mut self, upstream: &id::Upstream) -> &mut Work {
        if !self.works.contains_key(upstream) {
            self.works.insert(upstream.clone(), Work::default());
        }
        self.works.get_mut(upstream).expect("just inserted")
    }

    /// Applies a change to the load of each upstream of a flight.
    fn change(
        works: &mut HashMap<id::Upstream, Work>,
        flight: &Flight,
        change: impl Fn(&mut Work),
    ) {
        let helpers = flight.helpers.iter().map(|helper| &helper.upstream);
        for upstream in std::iter::once(&flight.upstream).chain(helpers) {
            let Some(work) = works.get_mut(upstream) else { continue };
            change(work);
            if work.is_empty() {
                works.remove(upstream);
            }
        }
    }

    /// Records the first event of a flight. Returns whether it was not recorded before.
    fn record_first_event(&mut self, holder: &Holder, number: u64, now: Instant) -> bool {
        let entry = self.by_holder.get_mut(holder).and_then(|flights| flights.get_mut(&number));
        let Some(entry) = entry.filter(|entry| !entry.tracked.flight.decoding) else {
            return false;
        };
        entry.tracked.flight.decoding = true;
        let serial = entry.serial;
        Self::change(&mut self.works, &entry.tracked.flight, |work| {
            work.record_first_event(serial, now)
        });
        true
    }

    /// Removes a flight. Returns whether it existed.
    fn end(&mut self, holder: &Holder, number: u64, now: Instant) -> bool {
        let entry = self.by_holder.get_mut(holder).and_then(|flights| flights.remove(&number));
        let Some(Entry { serial, tracked, .. }) = entry else { return false };
        self.isolated.retain(|(isolated, ..)| *isolated != serial);
        Self::change(&mut self.works, &tracked.flight, |work| work.end(serial, now));
        true
    }

    fn contains(&self, holder: &Holder, number: u64) -> bool {
        self.entry(holder, number).is_some()
    }

    fn entry(&self, holder: &Holder, number: u64) -> Option<&Entry> {
        self.by_holder.get(holder)?.get(&number)
    }

    pub(super) fn entry_mut(&mut self, holder: &Holder, number: u64) -> Option<&mut Entry> {
        self.by_holder.get_mut(holder)?.get_mut(&number)
    }

    fn confirm(&mut self, holder: &Holder, number: u64) {
        let entry = self.by_holder.get_mut(holder).and_then(|flights| flights.get_mut(&number));
        if let Some(entry) = entry {
            entry.grant = None;
        }
    }

    /// The numbers of a holder's flights that have ended, since it no longer announces them. Grants that it has
    /// not received yet are not among them.
    fn unannounced(
        &self,
        holder: &Holder,
        announced: &HashSet<u64>,
        granted: u64,
        now: Instant,
    ) -> Vec<u64> {
        let Some(flights) = self.by_holder.get(holder) else { return Vec::new() };
        let is_pending = |entry: &Entry| {
            let age = now.saturating_duration_since(entry.tracked.sent);
            entry.grant.is_some_and(|grant| grant > granted) && age < GRANT_TIMEOUT
        };
        let ended = flights
            .iter()
            .filter(|(number, entry)| !announced.contains(number) && !is_pending(entry));
        ended.map(|(number, _)| *number).collect()
    }

    /// Drops the load of an upstream that has restarted: its attempts ended with the previous incarnation, even
    /// if the VMs that sent them still announce them.
    pub(super) fn clear_upstream(&mut self, upstream: &id::Upstream) {
        self.works.remove(upstream);
        self.dispatches.remove(upstream);
        self.isolated.retain(|(.., at)| at != upstream);
    }

    /// Removes all flights of a peer.
    pub(super) fn clear_peer(&mut self, vm: &id::Vm, now: Instant) {
        let holder = Holder::Peer(vm.clone());
        self.dispatches.values_mut().for_each(|log| log.forget_numbers(&holder));
        let flights = self.by_holder.remove(&holder).unwrap_or_default();
        for Entry { serial, tracked, .. } in flights.into_values() {
            self.isolated.retain(|(isolated, ..)| *isolated != serial);
            Self::change(&mut self.works, &tracked.flight, |work| work.end(serial, now));
        }
    }
}

impl Cluster {
    /// Adds an attempt of this VM.
    pub fn begin_attempt(&mut self, number: u64, flight: Flight, now: Instant) {
        let tracked = self.tracked(flight, now);
        self.record_own_dispatch(&tracked.flight.upstream, number, now);
        self.flights.begin(Holder::Own, number, tracked, None);
    }

    fn tracked(&self, flight: Flight, sent: Instant) -> Tracked {
        let tag = self.tag_of(&flight.upstream);
        let helpers = flight.helpers.iter().map(|helper| self.tag_of(&helper.upstream));
        Tracked { tag, helper_tags: helpers.collect(), flight, sent }
    }

    /// Records the first event of an attempt of this VM.
    pub fn record_first_event(&mut self, number: u64, now: Instant) {
        self.on_first_event(&Holder::Own, number, now);
    }

    fn on_first_event(&mut self, holder: &Holder, number: u64, now: Instant) -> bool {
        let is_first = self.flights.record_first_event(holder, number, now);
        if is_first {
            self.judge_first_event(holder, number, now);
        }
        is_first
    }

    /// Removes an attempt of this VM that has ended.
    pub fn end_attempt(&mut self, number: u64, now: Instant) {
        self.flights.end(&Holder::Own, number, now);
    }

    /// Adds a placement that this VM grants to `to` with the grant number `grant`. It counts as a flight from now
    /// on, until `to` announces the attempt itself, or confirms the grant without announcing the attempt.
    pub fn grant(&mut self, to: &Holder, number: u64, flight: Flight, grant: u64, now: Instant) {
        let tracked = self.tracked(flight, now);
        self.flights.begin(to.clone(), number, tracked, Some(grant));
    }

    /// Releases a granted placement that was not used.
    pub fn release_grant(&mut self, from: &Holder, number: u64, now: Instant) {
        let entry = self.flights.by_holder.get(from).and_then(|flights| flights.get(&number));
        if entry.is_some_and(|entry| entry.grant.is_some()) {
            self.flights.end(from, number, now);
        }
    }

    /// Removes granted placements that were not announced in time. Returns whether there were any.
    pub fn expire_grants(&mut self, now: Instant) -> bool {
        let is_expired = |entry: &Entry| {
            let age = now.saturating_duration_since(entry.tracked.sent);
            entry.grant.is_some() && age >= GRANT_TIMEOUT
        };
        let holders = self.flights.by_holder.iter();
        let expired: Vec<(Holder, u64)> = holders
            .flat_map(|(holder, flights)| flights.iter().map(move |(n, e)| (holder, n, e)))
            .filter(|(_, _, entry)| is_expired(entry))
            .map(|(holder, number, _)| (holder.clone(), *number))
            .collect();
        expired.iter().for_each(|(holder, number)| {
            self.flights.end(holder, *number, now);
        });
        !expired.is_empty()
    }

    /// Whether a copy of this request runs isolated on any upstream.
    pub fn has_isolated_copy(&self, fingerprint: Fingerprint) -> bool {
        self.flights.isolated.iter().any(|(_, isolated, _)| *isolated == fingerprint)
    }

    /// Whether a request runs isolated on this upstream.
    pub fn has_isolated_request(&self, upstream: &id::Upstream) -> bool {
        self.flights.isolated.iter().any(|(.., at)| at == upstream)
    }

    /// The in-flight attempts of this VM.
    pub fn own_attempts(&self) -> impl Iterator<Item = &Tracked> {
        let own = self.flights.by_holder.get(&Holder::Own);
        own.into_iter().flat_map(|flights| flights.values()).map(|entry| &entry.tracked)
    }

    /// Requests sent to an upstream within the window for cold upstreams, as far as recorded here.
    pub fn sent_recently(&self, upstream: &id::Upstream, now: Instant) -> usize {
        self.flights.dispatches(upstream).map_or(0, |dispatches| dispatches.cold_count(now))
    }

    /// Number of in-flight attempts of this VM and of the peers that announce theirs, granted placements included.
    pub fn in_flight(&self) -> usize {
        self.flights.by_holder.values().map(HashMap::len).sum()
    }

    /// The attempts of this VM, as announced to peers.
    pub fn announced_flights(&self, now: Instant) -> Vec<Announcement> {
        let own = self.flights.by_holder.get(&Holder::Own);
        let entries = own.into_iter().flatten().filter(|(_, entry)| entry.grant.is_none());
        let announce = |(number, entry): (&u64, &Entry)| {
            let age = |at| now.saturating_duration_since(at).as_millis() as u32 + 1;
            let sound_age_ms = entry.sound_until.map(age);
            Announcement { sound_age_ms, ..entry.tracked.announcement(*number, now) }
        };
        entries.map(announce).collect()
    }

    /// Merges all attempts that a peer announced when it had received this VM's grants up to `granted`. Attempts
    /// at unknown upstreams are ignored. Returns whether an attempt had its first event or ended, so that a
    /// queued request may find a placement.
    pub fn merge_flights(
        &mut self,
        vm: &id::Vm,
        announced: &[Announcement],
        granted: u64,
        now: Instant,
    ) -> bool {
        let holder = Holder::Peer(vm.clone());
        let mut has_capacity = false;
        for flight in announced {
            self.merge_pace(flight, now);
            if !self.flights.contains(&holder, flight.number) {
                let resolve = |tag| self.tags.get(&tag).cloned();
                let Some(tracked) = Tracked::from_announcement(flight, resolve, now) else {
                    continue;
                };
                self.flights.begin(holder.clone(), flight.number, tracked, None);
                continue;
            }
            self.flights.confirm(&holder, flight.number);
            if flight.decoding {
                has_capacity |= self.on_first_event(&holder, flight.number, now);
            }
        }
        let numbers: HashSet<u64> = announced.iter().map(|flight| flight.number).collect();
        for number in self.flights.unannounced(&holder, &numbers, granted, now) {
            has_capacity |= self.flights.end(&holder, number, now);
        }
        has_capacity
    }

    /// The load of an upstream, predicted with the figures of its engine.
    pub fn load(&self, upstream: &Upstream, engine: Option<&Engine>, now: Instant) -> Load {
        let work = self.flights.works.get(&upstream.listed.id);
        work.map_or_else(Load::default, |work| work.load(engine, upstream.slowdown(now), now))
    }

    /// The load of each upstream that has any, listed or not.
    pub fn loads(&self, engine: Option<&Engine>, now: Instant) -> HashMap<&id::Upstream, Load> {
        let slowdown = |id| self.upstreams.get(id).map_or(1.0, |upstream| upstream.slowdown(now));
        let works = self.flights.works.iter();
        works.map(|(id, work)| (id, work.load(engine, slowdown(id), now))).collect()
    }
}
