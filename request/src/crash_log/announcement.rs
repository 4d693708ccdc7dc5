//! Announcements of crashes, and of parts that are cleared of them, between VMs.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use foldlock_base::id;
use serde::{Deserialize, Serialize};

use super::{Interrupted, Log, RETENTION};
use crate::fingerprint::Fingerprint;
use crate::part::Part;
use crate::tag::Tag;

/// Number of times that each crash is announced, since datagrams may be lost.
const REPEATS: u32 = 3;

/// Number of VMs after which no further one announces that a part is cleared of a crash.
const CONFIRMATIONS: u32 = 3;

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
        /// The key of the part.
        part: Fingerprint,
        /// Time since then, milliseconds.
        age_ms: u32,
    },
}

/// A crash that is still to be announced.
#[derive(Debug)]
struct Pending {
    upstream: Tag,
    request: Interrupted,
    at: Instant,
    repeats_left: u32,
}

/// The VMs that announced that a part is cleared of the crashes up to a time.
#[derive(Debug)]
struct Clearing {
    crash: Instant,
    confirmations: u32,
    /// Whether this VM is one of them.
    announced: bool,
}

/// What this VM has yet to announce.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    crashes: Vec<Pending>,
    clearings: HashMap<Fingerprint, Clearing>,
}

impl Outbox {
    pub(super) fn add(&mut self, upstream: Tag, request: Interrupted, at: Instant) {
        if self.crashes.len() < MAX_ANNOUNCED {
            self.crashes.push(Pending { upstream, request, at, repeats_left: REPEATS });
        }
    }

    /// The announcements that clear a part of the crashes up to `crash`.
    fn clearing(&mut self, part: Fingerprint, crash: Instant) -> &mut Clearing {
        let new = || Clearing { crash, confirmations: 0, announced: false };
        let clearing = self.clearings.entry(part).or_insert_with(new);
        if clearing.crash < crash {
            *clearing = new();
        }
        clearing
    }
}

impl Log {
    /// What to announce to all VMs now. Each crash is announced several times, so this is called repeatedly for a while
    /// after a crash.
    pub fn announced(&mut self, now: Instant) -> Vec<Announcement> {
        let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u32;
        let mut announced: Vec<Announcement> = Vec::new();
        for pending in &mut self.outbox.crashes {
            pending.repeats_left -= 1;
            let Interrupted { request, service, parts, sent } = pending.request.clone();
            announced.push(Announcement::Crashed {
                upstream: pending.upstream,
                request,
                service,
                parts,
                sent_age_ms: age(sent),
                age_ms: age(pending.at),
            });
        }
        self.outbox.crashes.retain(|pending| pending.repeats_left > 0);
        let cleared = self.cleared_parts();
        announced.extend(
            cleared.into_iter().map(|(part, at)| Announcement::Begun { part, age_ms: age(at) }),
        );
        announced
    }

    /// The parts with which requests of this VM have begun after a crash, unless enough VMs have announced that.
    fn cleared_parts(&mut self) -> Vec<(Fingerprint, Instant)> {
        let crashes = self.crashes_by_part();
        self.outbox.clearings.retain(|part, _| crashes.contains_key(part));
        let mut cleared = Vec::new();
        for (part, crashes) in crashes {
            let Some(begun) = self.begun.own_at(part) else { continue };
            let Some(crash) = crashes.into_iter().rev().find(|crash| *crash <= begun) else {
                continue;
            };
            let clearing = self.outbox.clearing(part, crash);
            let is_due = !clearing.announced && clearing.confirmations < CONFIRMATIONS;
            if is_due && cleared.len() < MAX_ANNOUNCED {
                clearing.announced = true;
                cleared.push((part, begun));
            }
        }
        cleared
    }

    /// The times of the crashes that interrupted requests with each part, in order.
    fn crashes_by_part(&self) -> HashMap<Fingerprint, Vec<Instant>> {
        let mut by_part: HashMap<Fingerprint, Vec<Instant>> = HashMap::new();
        for crash in &self.crashes {
            for (part, _) in crash.requests.iter().flat_map(Interrupted::positions) {
                by_part.entry(part).or_default().push(crash.at);
            }
        }
        by_part
    }

    /// Records that a peer announced a request with this part that began to respond at a time.
    fn merge_begun(&mut self, part: Fingerprint, at: Instant) {
        self.begun.record(part, at);
        let crash = self.crashes.iter().rev().find(|crash| crash.at <= at && crash.has_part(part));
        if let Some(at) = crash.map(|crash| crash.at) {
            self.outbox.clearing(part, at).confirmations += 1;
        }
    }

    /// Merges what a peer announced. Merging is idempotent. Returns whether it contains a crash that is new here.
    pub fn merge(&mut self, announcements: Vec<Announcement>, now: Instant) -> bool {
        let at = |age_ms: u32| {
            let age = Duration::from_millis(u64::from(age_ms)).min(RETENTION);
            now.checked_sub(age).unwrap_or(now)
        };
        let mut is_new = false;
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
                    is_new |= self.insert(upstream, request, at(age_ms), now);
                }
                Announcement::Begun { part, age_ms } => {
                    self.merge_begun(part, at(age_ms));
                }
            }
        }
        is_new
    }
}
