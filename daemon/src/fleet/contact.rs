//! What is known of the directory itself: up to where it was heard, and how far it can be trusted.

use std::time::{Duration, Instant};

use foldlock_request::directory::Change;
use foldlock_request::revision::Revision;

use crate::fleet::changes::Provenance;

/// How long a trouble of the directory may lie back for an ended listing to be put down to it.
const RECENT: Duration = Duration::from_secs(3);

/// What is known of the directory.
#[derive(Debug, Default)]
pub struct Contact {
    /// The revision from which this VM's own watch goes on.
    at: Option<Revision>,
    /// Whether all is to be read anew.
    anew: bool,
    failures: u32,
    trouble: Option<Instant>,
    /// When it came back from a copy, until what it lists is sound again.
    restored: Option<Instant>,
    /// Whether the settings that it holds are older than those in force here.
    behind: bool,
}

impl Contact {
    /// The revision from which a watch goes on; none where all is to be read. A VM that did not watch goes on from
    /// what it was told, at whatever moment it was.
    pub fn from(&self, told: Revision) -> Option<Revision> {
        let told = Some(told).filter(|at| !at.is_none());
        if self.anew { None } else { self.at.or(told) }
    }

    /// The next watch goes on from here.
    pub fn goes_on(&mut self, at: Revision) {
        self.at = Some(at);
        self.anew = false;
    }

    /// What was heard is no base for a watch: all is to be read anew.
    pub fn forget(&mut self) {
        self.at = None;
        self.anew = true;
    }

    /// Peers tell what it says.
    pub fn is_told(&mut self) {
        self.at = None;
        self.anew = false;
        self.failures = 0;
        self.behind = false;
    }

    /// A call failed. Answers how many did since the last answer. What a watch would have told may have lapsed
    /// and come back meanwhile, so all is read anew.
    pub fn failed(&mut self, now: Instant) -> u32 {
        self.forget();
        self.trouble = Some(now);
        self.failures += 1;
        self.failures
    }

    /// It answers. Answers how many calls had failed, if any.
    pub fn answered(&mut self, now: Instant) -> Option<u32> {
        let failures = std::mem::take(&mut self.failures);
        if failures == 0 {
            return None;
        }
        self.trouble = Some(now);
        Some(failures)
    }

    /// It came back from a copy of itself at this moment, if it did; also where a peer told of it first.
    pub fn note_restored(&mut self, at: Option<Instant>) {
        self.restored = self.restored.or(at);
    }

    /// Once what it lists since then is sound, which `restored` no longer names, all is read once more.
    pub fn settle(&mut self, restored: Option<Instant>) {
        if self.restored.is_some() && restored.is_none() {
            self.restored = None;
            self.forget();
        }
    }

    /// How an answer is to be taken that goes on from there, or is a whole read.
    pub fn provenance(&self, from: Option<Revision>, now: Instant) -> Provenance {
        let trouble = |at: Instant| now.saturating_duration_since(at) < RECENT;
        match self.restored {
            Some(_) if from.is_none() => Provenance::AfterRestore,
            _ if self.trouble.is_some_and(trouble) => Provenance::AfterOutage,
            _ => Provenance::Current,
        }
    }

    /// Whether the settings that it holds are older than those in force here.
    pub fn is_behind(&self) -> bool {
        self.behind
    }

    /// Settings in force are never given up for older ones, and a copy that lacks them does not confirm them:
    /// a key that was taken away in a version which is lost as well would be served on.
    pub fn note_settings(&mut self, in_force: u64, provenance: Provenance, changes: &[Change]) {
        let held = changes.iter().rev().find_map(|change| match change {
            Change::Settings(settings) => Some(settings.table.number()),
            _ => None,
        });
        match held {
            Some(number) if number >= in_force => self.behind = false,
            _ if provenance == Provenance::AfterRestore => self.behind = in_force > 0,
            _ => {}
        }
    }
}
