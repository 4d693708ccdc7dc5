//! The order in which the queued requests of a service are granted placements.
//!
//! Answers load patterns A, capacity that is scarce at times, and B, uneven demand. Without an order across kinds of
//! requests, short prompts take each slot that becomes free, requests that are late anyway delay those that could be in
//! time, and urgent requests wait behind others. See `docs/design/queue-order.md`.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::binary_heap::PeekMut;
use std::fmt;
use std::time::{Duration, Instant};

use foldlock_base::size::Tokens;
use foldlock_version::routes::Engine;
use serde::{Deserialize, Serialize};

use super::shares::{self, Clock};
use crate::caller::Priority;
use crate::forecast;
use crate::placement::MAX_PREDICTED_SHARE;
use crate::tag::Tag;

/// One grant in this many goes to the request that has waited longest among those that cannot be in time. A late
/// response is worth 0.1 to 0.38 of one in time, so late requests get little of the capacity, but a known rate: their
/// forecast is based on it.
pub const AGEING_INTERVAL: u8 = 8;

/// Maximum number of priorities with state: 0 to 9 for organisations and for routes.
const MAX_CLASSES: usize = 100;

/// A queued request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Item {
    /// The organisation that sent it; none for requests without an API key.
    pub organisation: Option<Tag>,
    /// Its priority.
    pub priority: Priority,
    /// When it arrived.
    pub arrived: Instant,
    /// When its first event is due.
    pub deadline: Instant,
    /// Whether its first event can be in time ([`can_be_in_time`]).
    pub in_time: bool,
    /// Its engine time, milliseconds ([`cost_ms`]).
    pub cost_ms: f64,
    /// Whether its caller returned at a promised time.
    pub returned: bool,
}

/// Whether the first event of a request can be in time, from the time that it has waited and the predicted time from
/// grant to first event of recent requests of its kind. Without a prediction, it can until its objective has passed.
pub fn can_be_in_time(waited: Duration, predicted: Option<Duration>, objective: Duration) -> bool {
    match predicted {
        Some(predicted) => {
            waited.saturating_add(predicted) <= objective.mul_f64(MAX_PREDICTED_SHARE)
        }
        None => waited <= objective,
    }
}

/// The engine time of a request, milliseconds: its prefill, and its part of the decode steps of an answer of mean
/// length while all slots are in use.
pub fn cost_ms(engine: &Engine, prompt: Tokens) -> f64 {
    let answer = engine.mean_answer.0 as f64;
    let mean_context = prompt.0 as f64 + answer / 2.0;
    let step_ms = engine.step_ms / f64::from(engine.slots.max(1))
        + engine.per_request_ms
        + engine.per_context_ms * mean_context / 1e3;
    forecast::prefill_ms(engine, prompt.0) + answer * step_ms
}

/// Why a request was granted before the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Basis {
    /// Its caller returned at a promised time.
    Returned,
    /// It had waited longest among those that cannot be in time.
    Aged,
    /// It was next by share and deadline.
    Turn,
}

impl fmt::Display for Basis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Basis::Returned => "returned",
            Basis::Aged => "aged",
            Basis::Turn => "turn",
        })
    }
}

/// The grant of a queued request, for the record of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reason {
    /// The forecast wait with which it was queued, milliseconds; an hour at most.
    pub wait_ms: u32,
    /// Why it was granted before the others.
    pub basis: Basis,
}

/// A grant that was charged, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Grant {
    /// Why the request was granted before the others.
    pub basis: Basis,
    /// How far its organisation is ahead of the virtual time after the grant, in engine time.
    pub lead: Duration,
}

/// The number of grants since one by age, at most one less than the interval.
#[derive(Debug, Clone, Copy, Default)]
struct Ageing(u8);

impl Ageing {
    /// Whether the next grant goes to a late request.
    fn is_due(self) -> bool {
        self.0 >= AGEING_INTERVAL - 1
    }

    /// Counts a grant. The turn of a late request is kept until one takes it.
    fn count(&mut self, basis: Basis) {
        self.0 = if basis == Basis::Aged { 0 } else { (self.0 + 1).min(AGEING_INTERVAL - 1) };
    }
}

/// The state of one priority.
#[derive(Debug, Clone)]
struct Class {
    priority: Priority,
    clock: Clock,
    ageing: Ageing,
    granted: Instant,
}

impl Class {
    fn basis(&self, item: &Item) -> Basis {
        match item {
            Item { returned: true, .. } => Basis::Returned,
            Item { in_time: false, .. } if self.ageing.is_due() => Basis::Aged,
            _ => Basis::Turn,
        }
    }
}

/// The queueing discipline of a service: what earlier grants mean for the next ones.
#[derive(Debug, Clone, Default)]
pub struct Discipline {
    /// Sorted by priority.
    classes: Vec<Class>,
}

impl Discipline {
    /// The order in which the items would be granted one by one, as their indices, next one first. Takes O(n log n).
    ///
    /// Times are compared in microseconds. Only the first 1,048,576 items are ordered; others follow as they are.
    pub fn order(&self, items: &[Item], fair_shares: bool) -> Vec<usize> {
        let Some(epoch) = items.iter().map(|item| item.arrived).min() else { return Vec::new() };
        let ordered = &items[..items.len().min(INDEX_MASK + 1)];
        let mut slots = Vec::with_capacity(ordered.len());
        let mut classes: Vec<(Priority, Vec<Key>)> = Vec::new();
        for (index, item) in ordered.iter().enumerate() {
            slots.push(Slot::new(item));
            let key = Key::new(item, index, epoch);
            match classes.binary_search_by_key(&item.priority, |(priority, _)| *priority) {
                Ok(class) => classes[class].1.push(key),
                Err(class) => classes.insert(class, (item.priority, vec![key])),
            }
        }
        let mut order = Vec::with_capacity(items.len());
        for (priority, keys) in classes {
            let class = self.classes.binary_search_by_key(&priority, |class| class.priority);
            let class = class.ok().map(|index| &self.classes[index]);
            let ageing = class.map_or_else(Ageing::default, |class| class.ageing);
            let mut simulation = Simulation::new(&mut slots, keys.len(), ageing);
            if fair_shares {
                simulation.add_organisations(&keys, class.map_or(&UNUSED, |class| &class.clock));
            } else {
                simulation.add_flow(0, keys.into_iter());
            }
            simulation.run(&mut order);
        }
        order.extend(ordered.len()..items.len());
        order
    }

    /// Charges a granted request to its organisation, and counts it for ageing.
    pub fn on_granted(&mut self, item: &Item, now: Instant) -> Grant {
        let Some(class) = self.class_mut(item.priority, now) else {
            let basis = if item.returned { Basis::Returned } else { Basis::Turn };
            return Grant { basis, lead: Duration::ZERO };
        };
        let basis = class.basis(item);
        class.ageing.count(basis);
        class.clock.charge(item.organisation, item.cost_ms, basis == Basis::Turn, now);
        class.granted = now;
        Grant { basis, lead: class.clock.lead(item.organisation) }
    }

    /// Why a request is granted before the others, if it is granted now.
    pub fn basis(&self, item: &Item) -> Basis {
        match self.classes.binary_search_by_key(&item.priority, |class| class.priority) {
            Ok(index) => self.classes[index].basis(item),
            Err(_) if item.returned => Basis::Returned,
            Err(_) => Basis::Turn,
        }
    }

    /// Drops the accounts of organisations without effect on the order and without recent grants.
    pub fn expire(&mut self, now: Instant) {
        for class in &mut self.classes {
            class.clock.expire(now);
        }
        self.classes.retain(|class| {
            !class.clock.is_empty()
                || now.saturating_duration_since(class.granted) < shares::RETENTION
        });
    }

    /// The number of organisations with an account, summed over priorities.
    pub fn account_count(&self) -> usize {
        self.classes.iter().map(|class| class.clock.len()).sum()
    }

    /// The state of a priority; none if there are too many priorities.
    fn class_mut(&mut self, priority: Priority, now: Instant) -> Option<&mut Class> {
        match self.classes.binary_search_by_key(&priority, |class| class.priority) {
            Ok(index) => Some(&mut self.classes[index]),
            Err(_) if self.classes.len() >= MAX_CLASSES => None,
            Err(index) => {
                let class = Class {
                    priority,
                    clock: Clock::default(),
                    ageing: Ageing::default(),
                    granted: now,
                };
                self.classes.insert(index, class);
                Some(&mut self.classes[index])
            }
        }
    }
}

/// The clock of a priority without grants.
static UNUSED: Clock = Clock::new();

/// Bits of a key for the index of its item.
const INDEX_BITS: u32 = 20;

const INDEX_MASK: usize = (1 << INDEX_BITS) - 1;

/// Bits of a key for each of arrival and deadline: 71 min in microseconds, beyond which times compare as equal.
const TIME_BITS: u32 = 32;

const ARRIVED_SHIFT: u32 = INDEX_BITS;
const DEADLINE_SHIFT: u32 = ARRIVED_SHIFT + TIME_BITS;
const LATE_SHIFT: u32 = DEADLINE_SHIFT + TIME_BITS;
const START_SHIFT: u32 = LATE_SHIFT + 1;
const NEWCOMER_SHIFT: u32 = u128::BITS - 1;

/// The highest start time in a key: 50 days of engine time in microseconds.
const MAX_START_US: u64 = (1 << (NEWCOMER_SHIFT - START_SHIFT)) - 1;

/// What an item is sorted by, in one number, which is several times faster to sort than a structure. From the highest
/// bit: whether it is a newcomer, its start time after the virtual time, whether it is late, deadline, arrival, and
/// its index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Key(u128);

impl Key {
    /// The key of an item that starts at the virtual time.
    fn new(item: &Item, index: usize, epoch: Instant) -> Key {
        let micros = |at: Instant| {
            let after = at.saturating_duration_since(epoch);
            let micros =
                after.as_secs().saturating_mul(1_000_000) + u64::from(after.subsec_micros());
            u128::from(micros.min((1 << TIME_BITS) - 1))
        };
        Key(u128::from(!item.returned) << NEWCOMER_SHIFT
            | u128::from(!item.in_time) << LATE_SHIFT
            | micros(item.deadline) << DEADLINE_SHIFT
            | micros(item.arrived) << ARRIVED_SHIFT
            | index as u128)
    }

    fn with_start(self, start_us: u64) -> Key {
        Key(self.0 | u128::from(start_us.min(MAX_START_US)) << START_SHIFT)
    }

    fn index(self) -> usize {
        self.0 as usize & INDEX_MASK
    }

    fn is_newcomer(self) -> bool {
        self.0 >> NEWCOMER_SHIFT == 1
    }

    fn is_late(self) -> bool {
        self.0 >> LATE_SHIFT & 1 == 1
    }

    /// Sorts by arrival, then by index.
    fn arrival(self) -> u64 {
        self.0 as u64 & ((1 << DEADLINE_SHIFT) - 1)
    }
}

/// The queued items of one organisation, a range of the ranks.
#[derive(Debug)]
struct Flow {
    /// The start time of its next item after the virtual time, microseconds.
    start_us: u64,
    next: usize,
    end: usize,
    /// Whether one of its items was granted by age. The start times of the others then differ from those in `turns`.
    is_shifted: bool,
}

/// What a simulation needs of an item, in less memory.
#[derive(Debug, Clone, Copy)]
struct Slot {
    organisation: Option<Tag>,
    cost_us: u32,
    flow: u32,
    is_granted: bool,
}

impl Slot {
    fn new(item: &Item) -> Slot {
        let cost_us = shares::charged_us(item.cost_ms);
        Slot { organisation: item.organisation, cost_us, flow: 0, is_granted: false }
    }
}

/// Simulates the grants of one priority.
struct Simulation<'a> {
    /// By index of the item.
    slots: &'a mut [Slot],
    flows: Vec<Flow>,
    /// Keys without start times, by flow and in the order within each flow.
    ranks: Vec<Key>,
    ageing: Ageing,
}

impl<'a> Simulation<'a> {
    fn new(slots: &'a mut [Slot], len: usize, ageing: Ageing) -> Simulation<'a> {
        Simulation { slots, flows: Vec::new(), ranks: Vec::with_capacity(len), ageing }
    }

    /// Adds the items of one flow, which is ahead of the virtual time by its lead.
    fn add_flow(&mut self, lead_us: u64, keys: impl Iterator<Item = Key>) {
        let next = self.ranks.len();
        self.ranks.extend(keys);
        let end = self.ranks.len();
        self.ranks[next..].sort_unstable();
        self.flows.push(Flow { start_us: lead_us, next, end, is_shifted: false });
    }

    /// Adds the items of each organisation as a flow.
    fn add_organisations(&mut self, keys: &[Key], clock: &Clock) {
        let group = |(position, key): (usize, &Key)| {
            let organisation = self.slots[key.index()].organisation;
            let group = organisation.map_or(0, |tag| u64::from(u32::from(tag)) + 1);
            group << INDEX_BITS | position as u64
        };
        let mut grouped: Vec<u64> = keys.iter().enumerate().map(group).collect();
        grouped.sort_unstable();
        let mut lead_us = clock.leads_us();
        let key = |position: &u64| keys[*position as usize & INDEX_MASK];
        for of_flow in grouped.chunk_by(|a, b| a >> INDEX_BITS == b >> INDEX_BITS) {
            let organisation = self.slots[key(&of_flow[0]).index()].organisation;
            self.add_flow(lead_us(organisation), of_flow.iter().map(key));
        }
    }

    /// Appends the indices of the items in the order of their grants.
    fn run(mut self, order: &mut Vec<usize>) {
        let turns = self.turns();
        let late = self.late();
        if late.is_empty() {
            order.extend(turns.into_iter().map(Key::index));
            return;
        }
        let mut turns = turns.as_slice();
        let mut late = late.into_iter();
        // The next items of the flows with a grant by age, whose start times in `turns` are wrong.
        let mut shifted: BinaryHeap<Reverse<Key>> = BinaryHeap::new();
        while let Some(turn) = self.next_turn(&mut turns, &mut shifted) {
            let aged = if turn.is_newcomer() && self.ageing.is_due() {
                late.find(|index| !self.slots[*index].is_granted)
            } else {
                None
            };
            let index = aged.unwrap_or(turn.index());
            order.push(index);
            self.ageing.count(if aged.is_some() { Basis::Aged } else { Basis::Turn });
            let slot = &mut self.slots[index];
            slot.is_granted = true;
            let flow = &mut self.flows[slot.flow as usize];
            flow.start_us = flow.start_us.saturating_add(u64::from(slot.cost_us));
            // The order within a single flow does not depend on start times.
            if aged.is_some() && self.flows.len() > 1 && !self.flow(index).is_shifted {
                self.flows[self.slots[index].flow as usize].is_shifted = true;
                shifted.extend(self.head(index).map(Reverse));
            }
        }
    }

    /// The next item by turn: the first of those in `turns` whose start times are right, or of the shifted flows.
    fn next_turn(
        &mut self,
        turns: &mut &[Key],
        shifted: &mut BinaryHeap<Reverse<Key>>,
    ) -> Option<Key> {
        while let [first, rest @ ..] = turns
            && (self.slots[first.index()].is_granted || self.flow(first.index()).is_shifted)
        {
            *turns = rest;
        }
        // A key in the heap may be outdated. Keys only ever grow, so once the first one is up to date, it is the least.
        while let Some(mut first) = shifted.peek_mut() {
            match self.head(first.0.index()) {
                Some(key) if key == first.0 => break,
                Some(key) => first.0 = key,
                None => {
                    PeekMut::pop(first);
                }
            }
        }
        match (turns.first(), shifted.peek()) {
            (Some(turn), Some(Reverse(shifted))) => Some(*turn.min(shifted)),
            (turn, shifted) => turn.or(shifted.map(|Reverse(key)| key)).copied(),
        }
    }

    /// The keys with start times, in the order of the grants if none are by age.
    fn turns(&mut self) -> Vec<Key> {
        let mut turns = Vec::with_capacity(self.ranks.len());
        for (number, flow) in self.flows.iter().enumerate() {
            let mut start_us = flow.start_us;
            for key in &self.ranks[flow.next..flow.end] {
                let slot = &mut self.slots[key.index()];
                slot.flow = number as u32;
                turns.push(key.with_start(start_us));
                start_us = start_us.saturating_add(u64::from(slot.cost_us));
            }
        }
        turns.sort_unstable();
        turns
    }

    /// The late items that have not returned, by arrival.
    fn late(&self) -> Vec<usize> {
        let late = self.ranks.iter().filter(|key| key.is_newcomer() && key.is_late());
        let mut arrivals: Vec<u64> = late.map(|key| key.arrival()).collect();
        arrivals.sort_unstable();
        arrivals.into_iter().map(|arrival| arrival as usize & INDEX_MASK).collect()
    }

    fn flow(&self, index: usize) -> &Flow {
        &self.flows[self.slots[index].flow as usize]
    }

    /// The next key of the flow of an item.
    fn head(&mut self, index: usize) -> Option<Key> {
        let flow = &mut self.flows[self.slots[index].flow as usize];
        while flow.next < flow.end && self.slots[self.ranks[flow.next].index()].is_granted {
            flow.next += 1;
        }
        let key = self.ranks[flow.next..flow.end].first()?;
        Some(key.with_start(flow.start_us))
    }
}
