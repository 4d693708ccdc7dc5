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
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
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

/// A grant that was charged, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Grant {
    /// Why the request was granted before the others.
    pub basis: Basis,
    /// How far its organisation is ahead of the virtual time after the grant, milliseconds of engine time.
    pub lead_ms: f64,
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

/// The queueing discipline of a service: what earlier grants mean for the next ones.
#[derive(Debug, Clone, Default)]
pub struct Discipline {
    /// Sorted by priority.
    classes: Vec<Class>,
}

impl Discipline {
    /// The order in which the items would be granted one by one, as their indices, next one first. Takes O(n log n).
    pub fn order(&self, items: &[Item], fair_shares: bool) -> Vec<usize> {
        let mut entries: Vec<Entry> = items
            .iter()
            .enumerate()
            .map(|(index, item)| Entry {
                priority: item.priority,
                flow: item.organisation.filter(|_| fair_shares),
                is_newcomer: !item.returned,
                is_late: !item.in_time,
                deadline: item.deadline,
                arrived: item.arrived,
                index,
            })
            .collect();
        entries.sort_unstable();
        let mut order = Vec::with_capacity(items.len());
        for entries in entries.chunk_by(|a, b| a.priority == b.priority) {
            let priority = entries[0].priority;
            let class = self.classes.binary_search_by_key(&priority, |class| class.priority);
            let (ageing, clock) = class.map_or_else(
                |_| (Ageing::default(), &UNUSED),
                |index| (self.classes[index].ageing, &self.classes[index].clock),
            );
            Simulation::new(items, entries, clock, ageing).run(&mut order);
        }
        order
    }

    /// Charges a granted request to its organisation, and counts it for ageing.
    pub fn on_granted(&mut self, item: &Item, now: Instant) -> Grant {
        let Some(class) = self.class_mut(item.priority, now) else {
            let basis = if item.returned { Basis::Returned } else { Basis::Turn };
            return Grant { basis, lead_ms: 0.0 };
        };
        let basis = match item {
            Item { returned: true, .. } => Basis::Returned,
            Item { in_time: false, .. } if class.ageing.is_due() => Basis::Aged,
            _ => Basis::Turn,
        };
        class.ageing.count(basis);
        class.clock.charge(item.organisation, item.cost_ms, basis == Basis::Turn, now);
        class.granted = now;
        Grant { basis, lead_ms: class.clock.lead_ms(item.organisation) }
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

/// An item with what it is sorted by: priority, flow, then the order within a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    priority: Priority,
    /// The organisation with shares; none without.
    flow: Option<Tag>,
    is_newcomer: bool,
    is_late: bool,
    deadline: Instant,
    arrived: Instant,
    index: usize,
}

/// The clock of a priority without grants.
static UNUSED: Clock = Clock::new();

/// The queued items of an organisation, a range of the entries.
#[derive(Debug)]
struct Flow {
    start_ms: f64,
    next: usize,
    end: usize,
}

/// The next item of a flow with what flows are compared by: the start time, then the order within a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Head {
    is_newcomer: bool,
    /// The bits of the start time, which compare like the time itself, since it is not negative.
    start_bits: u64,
    is_late: bool,
    deadline: Instant,
    arrived: Instant,
    index: usize,
    flow: usize,
}

/// Grants the entries of one priority one by one.
struct Simulation<'a> {
    items: &'a [Item],
    entries: &'a [Entry],
    is_granted: Vec<bool>,
    flows: Vec<Flow>,
    ageing: Ageing,
}

impl<'a> Simulation<'a> {
    fn new(items: &'a [Item], entries: &'a [Entry], clock: &Clock, ageing: Ageing) -> Self {
        let mut start_ms = clock.start_times();
        let mut next = 0;
        let flows = entries
            .chunk_by(|a, b| a.flow == b.flow)
            .map(|of_flow| {
                let start_ms = start_ms(of_flow[0].flow);
                let flow = Flow { start_ms, next, end: next + of_flow.len() };
                next = flow.end;
                flow
            })
            .collect();
        Simulation { items, entries, is_granted: vec![false; entries.len()], flows, ageing }
    }

    /// Appends the indices of the items in the order of their grants.
    fn run(mut self, order: &mut Vec<usize>) {
        let mut late = self.late_entries().into_iter();
        let mut heads: BinaryHeap<Reverse<Head>> =
            (0..self.flows.len()).filter_map(|flow| self.head(flow)).map(Reverse).collect();
        while let Some(mut top) = heads.peek_mut() {
            // A grant by ageing changes a flow that may be anywhere in the heap. Its head is replaced here, which is
            // soon enough, since a head is only ever replaced by a later one.
            let flow = top.0.flow;
            let Some(head) = self.head(flow) else {
                PeekMut::pop(top);
                continue;
            };
            if head != top.0 {
                top.0 = head;
                continue;
            }
            let aged = if head.is_newcomer && self.ageing.is_due() {
                late.find(|(_, entry, _)| !self.is_granted[*entry])
            } else {
                None
            };
            let (basis, entry, flow) = match aged {
                Some((_, entry, flow)) => (Basis::Aged, entry, flow),
                None => (Basis::Turn, self.flows[flow].next, flow),
            };
            self.ageing.count(basis);
            self.is_granted[entry] = true;
            let index = self.entries[entry].index;
            self.flows[flow].start_ms += shares::charged_ms(self.items[index].cost_ms);
            order.push(index);
        }
    }

    /// The next item of a flow.
    fn head(&mut self, flow: usize) -> Option<Head> {
        let Flow { start_ms, ref mut next, end } = self.flows[flow];
        while *next < end && self.is_granted[*next] {
            *next += 1;
        }
        let entry = self.entries[..end].get(*next)?;
        Some(Head {
            is_newcomer: entry.is_newcomer,
            start_bits: start_ms.to_bits(),
            is_late: entry.is_late,
            deadline: entry.deadline,
            arrived: entry.arrived,
            index: entry.index,
            flow,
        })
    }

    /// The late entries that have not returned, by arrival: arrival and index of each item, its entry and its flow.
    fn late_entries(&self) -> Vec<((Instant, usize), usize, usize)> {
        let mut late: Vec<_> = self
            .flows
            .iter()
            .enumerate()
            .flat_map(|(flow, of_flow)| (of_flow.next..of_flow.end).map(move |entry| (entry, flow)))
            .filter(|(entry, _)| self.entries[*entry].is_newcomer && self.entries[*entry].is_late)
            .map(|(entry, flow)| {
                let Entry { arrived, index, .. } = self.entries[entry];
                ((arrived, index), entry, flow)
            })
            .collect();
        late.sort_unstable();
        late
    }
}
