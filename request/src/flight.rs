//! An in-flight attempt at an upstream, and its announcement to other VMs.

use std::time::{Duration, Instant};

use foldlock_base::id;
use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::tag::Tag;

/// An upstream that reads a prefill part of a prompt for another upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Tokens of its memory that are reserved for the prompt; 0 if it only reads.
    pub reserved: u64,
}

/// An in-flight attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Flight {
    /// The upstream that responds.
    pub upstream: id::Upstream,
    /// The upstreams that read a prefill part each.
    pub helpers: Vec<Helper>,
    /// Prefill time of each part, milliseconds.
    pub part_ms: f32,
    /// Memory that prompt and answer take on the upstream that responds, tokens.
    pub memory: u64,
    /// The longest pause between events that its caller allows, milliseconds.
    pub pause_ms: u32,
    /// Whether its first event was received.
    pub decoding: bool,
    /// The request, if it runs isolated: no other request is placed on that upstream, and no second copy of it on
    /// any.
    pub isolated: Option<Fingerprint>,
}

impl Flight {
    /// The upstream to exclude from the next attempt, after a refusal that names `suspect`. A helper without room
    /// fails every split prompt that it takes part in, so the helper is excluded and not the upstream that
    /// responds. Excluding the latter let five such helpers fail 60 attempts of 17 engines within half a second.
    pub fn excluded_after<'a>(&'a self, suspect: &'a id::Upstream) -> &'a id::Upstream {
        let helps = self.helpers.iter().any(|helper| helper.upstream == *suspect);
        if helps { suspect } else { &self.upstream }
    }

    /// Whether other upstreams have reserved memory for it.
    pub fn has_reservations(&self) -> bool {
        self.helpers.iter().any(|helper| helper.reserved > 0)
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
pub struct Announcement {
    /// Its number at the VM that announces it.
    pub number: u64,
    pub(crate) upstream: Tag,
    pub(crate) helpers: Vec<(Tag, u64)>,
    pub(crate) part_ms: f32,
    pub(crate) memory: u64,
    pub(crate) pause_ms: u32,
    pub(crate) decoding: bool,
    pub(crate) isolated: Option<Fingerprint>,
    pub(crate) age_ms: u32,
    /// Age of the last moment at which its events show that its engine was not slow, rounded up. Omitted if there is none,
    /// as VMs of the previous release cannot decode further fields; the fields are identified by position, so no field
    /// may follow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) sound_age_ms: Option<u32>,
}

impl Tracked {
    /// The announcement of this flight to peers.
    pub fn announcement(&self, number: u64, now: Instant) -> Announcement {
        let flight = &self.flight;
        let counts = |(h, _): &(&Helper, &Tag)| !flight.decoding || h.reserved > 0;
        let helpers = flight.helpers.iter().zip(&self.helper_tags).filter(counts);
        Announcement {
            number,
            upstream: self.tag,
            helpers: helpers.map(|(helper, tag)| (*tag, helper.reserved)).collect(),
            part_ms: flight.part_ms,
            memory: flight.memory,
            pause_ms: flight.pause_ms,
            decoding: flight.decoding,
            isolated: flight.isolated,
            age_ms: now.saturating_duration_since(self.sent).as_millis() as u32,
            sound_age_ms: None,
        }
    }

    /// The flight that a peer announced; none if its upstream is unknown here. Unknown helpers are omitted.
    pub fn from_announcement(
        announced: &Announcement,
        resolve: impl Fn(Tag) -> Option<id::Upstream>,
        now: Instant,
    ) -> Option<Tracked> {
        let helper = |(tag, reserved): &(Tag, u64)| {
            let upstream = resolve(*tag)?;
            Some((Helper { upstream, reserved: *reserved }, *tag))
        };
        let (helpers, helper_tags) = announced.helpers.iter().filter_map(helper).unzip();
        let flight = Flight {
            upstream: resolve(announced.upstream)?,
            helpers,
            part_ms: announced.part_ms,
            memory: announced.memory,
            pause_ms: announced.pause_ms,
            decoding: announced.decoding,
            isolated: announced.isolated,
        };
        let age = Duration::from_millis(u64::from(announced.age_ms));
        let sent = now.checked_sub(age).unwrap_or(now);
        Some(Tracked { flight, tag: announced.upstream, helper_tags, sent })
    }
}
