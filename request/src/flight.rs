//! An attempt under way at an upstream, and how VMs tell each other of it.

use std::time::{Duration, Instant};

use foldlock_base::id;
use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::tag::Tag;

/// An upstream that reads a part of the prompt for another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helping {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Tokens of its memory that are set aside for the prompt; 0 where it only reads.
    pub held: u64,
}

/// An attempt under way.
#[derive(Debug, Clone, PartialEq)]
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
    /// The request, if it runs alone: nothing is placed beside it, and no second copy.
    pub isolated: Option<Fingerprint>,
}

impl Flight {
    /// The upstream that the next attempt leaves out, after a refusal that names `suspect`: a helper
    /// without a place fails each group that it is in, so it is left out and not the one that answers.
    /// Where the latter was, five such helpers failed 60 attempts of 17 engines within half a second.
    pub fn left_out<'a>(&'a self, suspect: &'a id::Upstream) -> &'a id::Upstream {
        let helps = self.helpers.iter().any(|helping| helping.upstream == *suspect);
        if helps { suspect } else { &self.upstream }
    }

    /// Whether other upstreams hold memory for it.
    pub fn holds_memory(&self) -> bool {
        self.helpers.iter().any(|helping| helping.held > 0)
    }
}

/// A flight with the time at which it was sent, by this process's clock.
#[derive(Debug, Clone, PartialEq)]
pub struct Tracked {
    /// The flight.
    pub flight: Flight,
    /// The start of the upstream that it was sent to.
    pub tag: Tag,
    /// The starts of the helpers, in their order.
    pub helper_tags: Vec<Tag>,
    /// When it was sent.
    pub sent: Instant,
}

/// A flight as peers are told of it: ids as tags, and no helpers once they have read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// Its number at the VM that tells of it.
    pub number: u64,
    pub(crate) upstream: Tag,
    pub(crate) helpers: Vec<(Tag, u64)>,
    pub(crate) part_ms: f32,
    pub(crate) memory: u64,
    pub(crate) pause_ms: u32,
    pub(crate) writing: bool,
    pub(crate) isolated: Option<Fingerprint>,
    pub(crate) age_ms: u32,
}

impl Tracked {
    /// What peers are told.
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
            isolated: flight.isolated,
            age_ms: now.saturating_duration_since(self.sent).as_millis() as u32,
        }
    }

    /// What a peer told, if its upstream is `known` here; helpers that are not are left out.
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
            isolated: told.isolated,
        };
        let age = Duration::from_millis(u64::from(told.age_ms));
        let sent = now.checked_sub(age).unwrap_or(now);
        Some(Tracked { flight, tag: told.upstream, helper_tags, sent })
    }
}
