//! What is known of the directory itself: up to where it was heard, and how far it can be trusted.

use std::time::{Duration, Instant};

use foldlock_request::directory::Change;
use foldlock_request::revision::Revision;

use crate::fleet::changes::Provenance;

/// How long a trouble of the directory may lie back for an ended listing to be put down to it.
const OUTAGE_WINDOW: Duration = Duration::from_secs(3);

/// What is known of the directory.
#[derive(Debug, Default)]
pub struct Contact {
    /// The revision from which this VM's own watch goes on.
    watch_revision: Option<Revision>,
    /// Whether all is to be read anew.
    needs_full_read: bool,
    failures: u32,
    last_outage: Option<Instant>,
    /// When it came back from a copy, until what it lists is sound again.
    restored: Option<Instant>,
    /// Whether the settings that it holds are older than those in force here.
    has_older_settings: bool,
}

impl Contact {
    /// The revision from which a watch goes on; none where all is to be read. A VM that did not watch goes on from
    /// what it was told, at whatever moment it was.
    pub fn watch_from(&self, announced: Revision) -> Option<Revision> {
        let announced = Some(announced).filter(|revision| !revision.is_none());
        if self.needs_full_read { None } else { self.watch_revision.or(announced) }
    }

    /// The next watch goes on from here.
    pub fn resume_at(&mut self, revision: Revision) {
        self.watch_revision = Some(revision);
        self.needs_full_read = false;
    }

    /// What was heard is no base for a watch: all is to be read anew.
    pub fn reset(&mut self) {
        self.watch_revision = None;
        self.needs_full_read = true;
    }

    /// Peers tell what it says.
    pub fn follow_peers(&mut self) {
        self.watch_revision = None;
        self.needs_full_read = false;
        self.failures = 0;
        self.has_older_settings = false;
    }

    /// A call failed. Answers how many did since the last answer. What a watch would have told may have lapsed
    /// and come back meanwhile, so all is read anew.
    pub fn on_failure(&mut self, now: Instant) -> u32 {
        self.reset();
        self.last_outage = Some(now);
        self.failures += 1;
        self.failures
    }

    /// It answers. Answers how many calls had failed, if any.
    pub fn on_success(&mut self, now: Instant) -> Option<u32> {
        let failures = std::mem::take(&mut self.failures);
        if failures == 0 {
            return None;
        }
        self.last_outage = Some(now);
        Some(failures)
    }

    /// It came back from a copy of itself at this moment, if it did; also where a peer told of it first.
    pub fn note_restored(&mut self, at: Option<Instant>) {
        self.restored = self.restored.or(at);
    }

    /// Once what it lists since then is sound, which `restored` no longer names, all is read once more.
    pub fn on_restore_end(&mut self, restored: Option<Instant>) {
        if self.restored.is_some() && restored.is_none() {
            self.restored = None;
            self.reset();
        }
    }

    /// How an answer is to be taken that goes on from there, or is a whole read.
    pub fn provenance(&self, from: Option<Revision>, now: Instant) -> Provenance {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < OUTAGE_WINDOW;
        match self.restored {
            Some(_) if from.is_none() => Provenance::Copy,
            _ if self.last_outage.is_some_and(is_recent) => Provenance::Lapsed,
            _ => Provenance::Sound,
        }
    }

    /// Whether the settings that it holds are older than those in force here.
    pub fn has_older_settings(&self) -> bool {
        self.has_older_settings
    }

    /// Settings in force are never given up for older ones, and a copy that lacks them does not confirm them:
    /// a key that was taken away in a version which is lost as well would be served on.
    pub fn note_settings(&mut self, in_force: u64, provenance: Provenance, changes: &[Change]) {
        let listed = changes.iter().rev().find_map(|change| match change {
            Change::Settings(settings) => Some(settings.table.number()),
            _ => None,
        });
        match listed {
            Some(number) if number >= in_force => self.has_older_settings = false,
            _ if provenance == Provenance::Copy => self.has_older_settings = in_force > 0,
            _ => {}
        }
    }
}
