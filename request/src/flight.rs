//! An in-flight attempt at an upstream, and its announcement to other VMs.

use std::time::{Duration, Instant};

use foldlock_base::id;
use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::tag::Tag;

/// An upstream that reads a prefill part of a prompt for another upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helping {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Tokens of its memory that are reserved for the prompt; 0 if it only reads.
    pub held: u64,
}

/// An in-flight attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Flight {
    /// The upstream that responds.
    pub upstream: id::Upstream,
    /// The upstreams that read a prefill part each.
    pub helpers: Vec<Helping>,
    /// Prefill time of each part, milliseconds.
    pub part_ms: f32,
    /// Memory that prompt and answer take on the upstream that responds, tokens.
    pub memory: u64,
    /// The longest pause between events that its caller allows, milliseconds.
    pub pause_ms: u32,
    /// Whether its first event was received.
    pub writing: bool,
    /// The request, if it runs isolated: no other request is placed on that upstream, and no second copy of it on
    /// any.
    pub alone: Option<Fingerprint>,
}

impl Flight {
    /// The upstream to exclude from the next attempt, after a refusal that names `suspect`. A helper without room
    /// fails every split prompt that it takes part in, so the helper is excluded and not the upstream that
    /// responds. Excluding the latter let five such helpers fail 60 attempts of 17 engines within half a second.
    pub fn left_out<'a>(&'a self, suspect: &'a id::Upstream) -> &'a id::Upstream {
        let helps = self.helpers.iter().any(|helping| helping.upstream == *suspect);
        if helps { suspect } else { &self.upstream }
    }

    /// Whether other upstreams have reserved memory for it.
    pub fn holds_memory(&self) -> bool {
        self.helpers.iter().any(|helping| helping.held > 0)
    }
}

/// A flight with the time at which it was sent, by the clock of this process.
#[derive(Debug, Clone, PartialEq)]
pub struct Tracked {
    /// The flight.
    pub flight: Flight,
    /// The incarnation of the upstream that it was sent to.
    pub tag: Tag,
    /// The incarnations of the helpers, in their order.
    pub helper_tags: Vec<Tag>,
    /// When it was sent.
    pub sent: Instant,
}

/// A flight as announced to peers: with tags for ids, and without helpers that have read their parts and reserve no
/// memory.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// Its number at the VM that announces it.
    pub number: u64,
    pub(crate) upstream: Tag,
    pub(crate) helpers: Vec<(Tag, u64)>,
    pub(crate) part_ms: f32,
    pub(crate) memory: u64,
    pub(crate) pause_ms: u32,
    pub(crate) writing: bool,
    pub(crate) alone: Option<Fingerprint>,
    pub(crate) age_ms: u32,
}

impl Tracked {
    /// The announcement of this flight to peers.
    pub fn told(&self, number: u64, now: Instant) -> Told {
        let flight = &self.flight;
        let counts = |(h, _): &(&Helping, &Tag)| !flight.writing || h.held > 0;
        let helpers = flight.helpers.iter().zip(&self.helper_tags).filter(counts);
        Told {
            number,
            upstream: self.tag,
            helpers: helpers.map(|(helping, tag)| (*tag, helping.held)).collect(),
            part_ms: flight.part_ms,
            memory: flight.memory,
            pause_ms: flight.pause_ms,
            writing: flight.writing,
            alone: flight.alone,
            age_ms: now.saturating_duration_since(self.sent).as_millis() as u32,
        }
    }

    /// The flight that a peer announced; none if its upstream is unknown here. Unknown helpers are omitted.
    pub fn heard(
        told: &Told,
        known: impl Fn(Tag) -> Option<id::Upstream>,
        now: Instant,
    ) -> Option<Tracked> {
        let helping = |(tag, held): &(Tag, u64)| {
            let upstream = known(*tag)?;
            Some((Helping { upstream, held: *held }, *tag))
        };
        let (helpers, helper_tags) = told.helpers.iter().filter_map(helping).unzip();
        let flight = Flight {
            upstream: known(told.upstream)?,
            helpers,
            part_ms: told.part_ms,
            memory: told.memory,
            pause_ms: told.pause_ms,
            writing: told.writing,
            alone: told.alone,
        };
        let age = Duration::from_millis(u64::from(told.age_ms));
        let sent = now.checked_sub(age).unwrap_or(now);
        Some(Tracked { flight, tag: told.upstream, helper_tags, sent })
    }
}
