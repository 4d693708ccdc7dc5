//! Announcements of crashes, and of parts that are cleared of them, between VMs.

use std::time::{Duration, Instant};

use foldlock_base::id;
use serde::{Deserialize, Serialize};

use super::{Culprit, Interrupted, Log, Origin, RETENTION, Record};
use crate::part::Part;
use crate::tag::Tag;

/// Number of times that each observation is announced, since datagrams may be lost.
const REPEATS: u32 = 3;

/// Maximum number of crashed requests, and of cleared parts, in one message.
const MAX_ANNOUNCED: usize = 64;

/// What one VM announces to the others. Times are ages, since the clocks of VMs differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Announcement {
    /// A request had not begun to respond when its upstream crashed.
    Crashed {
        /// The incarnation of the upstream.
        upstream: Tag,
        /// The id of the request.
        request: id::Request,
        /// Its service.
        service: Tag,
        /// The shared parts of its prompt.
        parts: Vec<Part>,
        /// Time since it was sent, milliseconds.
        sent_age_ms: u32,
        /// Time since the crash was observed, milliseconds.
        age_ms: u32,
    },
    /// A request with this part began to respond.
    Begun {
        /// Its service.
        service: Tag,
        /// The part.
        part: Part,
        /// Time since then, milliseconds.
        age_ms: u32,
    },
    /// A part is a culprit.
    Culprit(Culprit),
}

/// A crash that is still to be announced.
#[derive(Debug)]
struct Pending {
    upstream: Tag,
    request: Interrupted,
    at: Instant,
    repeats_left: u32,
}

/// A part that is still to be announced as cleared.
#[derive(Debug)]
struct Cleared {
    service: Tag,
    part: Part,
    begun: Instant,
    repeats_left: u32,
}

/// What this VM has yet to announce.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    crashes: Vec<Pending>,
    cleared: Vec<Cleared>,
    culprits: Vec<(Culprit, u32)>,
}

impl Outbox {
    pub(super) fn add_culprit(&mut self, culprit: Culprit) {
        if self.culprits.len() < MAX_ANNOUNCED {
            self.culprits.push((culprit, REPEATS));
        }
    }

    pub(super) fn add_crash(&mut self, upstream: Tag, request: Interrupted, at: Instant) {
        if self.crashes.len() < MAX_ANNOUNCED {
            self.crashes.push(Pending { upstream, request, at, repeats_left: REPEATS });
        }
    }

    pub(super) fn add_cleared(&mut self, service: Tag, part: Part, begun: Instant) {
        let is_same = |cleared: &&mut Cleared| cleared.service == service && cleared.part == part;
        if let Some(cleared) = self.cleared.iter_mut().find(is_same) {
            (cleared.begun, cleared.repeats_left) = (begun, REPEATS);
        } else if self.cleared.len() < MAX_ANNOUNCED {
            self.cleared.push(Cleared { service, part, begun, repeats_left: REPEATS });
        }
    }
}

impl Log {
    /// What to announce to all VMs now. Each observation is announced several times, so this is called repeatedly for a
    /// while after one.
    pub fn announced(&mut self, now: Instant) -> Vec<Announcement> {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u32;
        let crashes = self.outbox.crashes.iter_mut().map(|pending| {
            pending.repeats_left -= 1;
            let Interrupted { request, service, parts, sent } = pending.request.clone();
            let (sent_age_ms, age_ms) = (age(sent), age(pending.at));
            let upstream = pending.upstream;
            Announcement::Crashed { upstream, request, service, parts, sent_age_ms, age_ms }
        });
        let cleared = self.outbox.cleared.iter_mut().map(|cleared| {
            cleared.repeats_left -= 1;
            let Cleared { service, part, begun, .. } = *cleared;
            Announcement::Begun { service, part, age_ms: age(begun) }
        });
        let culprits = self.outbox.culprits.iter_mut().map(|(culprit, repeats_left)| {
            *repeats_left -= 1;
            Announcement::Culprit(culprit.clone())
        });
        let announced = crashes.chain(cleared).chain(culprits).collect();
        self.outbox.crashes.retain(|pending| pending.repeats_left > 0);
        self.outbox.cleared.retain(|cleared| cleared.repeats_left > 0);
        self.outbox.culprits.retain(|(_, repeats_left)| *repeats_left > 0);
        announced
    }

    /// Merges what a peer announced. Merging is idempotent.
    pub fn merge(&mut self, announcements: Vec<Announcement>, now: Instant) -> Merged {
        let at = |age_ms: u32| {
            let age = Duration::from_millis(u64::from(age_ms)).min(RETENTION);
            now.checked_sub(age).unwrap_or(now)
        };
        let mut merged = Merged::default();
        for announcement in announcements {
            match announcement {
                Announcement::Crashed {
                    upstream,
                    request,
                    service,
                    parts,
                    sent_age_ms,
                    age_ms,
                } => {
                    let request = Interrupted { request, service, parts, sent: at(sent_age_ms) };
                    let record = Record::new(request, Origin::Peer);
                    merged.new_crash |= self.insert(upstream, record, at(age_ms), now);
                }
                Announcement::Begun { service, part, age_ms } => {
                    self.begin(service, part, at(age_ms), Origin::Peer);
                }
                Announcement::Culprit(culprit) => merged.culprits.push(culprit),
            }
        }
        merged
    }
}

/// What the announcements of a peer contained.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Merged {
    /// Whether there was a crash that is new here.
    pub new_crash: bool,
    /// The culprits that the peer has found.
    pub culprits: Vec<Culprit>,
}
