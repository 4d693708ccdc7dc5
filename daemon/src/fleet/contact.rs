//! The state of the connection to the directory: the revision to watch from, and whether responses
//! can be stale.

use std::time::{Duration, Instant};

use foldlock_request::directory::Change;
use foldlock_request::revision::Revision;

use crate::fleet::changes::Provenance;

/// How long after an outage of the directory a missing listing may be due to the outage.
const OUTAGE_WINDOW: Duration = Duration::from_secs(3);

/// The state of the connection to the directory.
#[derive(Debug, Default)]
pub struct Contact {
    /// The revision from which this VM's own watch resumes.
    watch_revision: Option<Revision>,
    /// Whether all listings have to be read again.
    needs_full_read: bool,
    failures: u32,
    last_outage: Option<Instant>,
    /// When the directory was restored from an older copy, until its listings are complete again.
    restored: Option<Instant>,
    /// Whether the directory's settings are older than those in force on this VM.
    has_older_settings: bool,
}

impl Contact {
    /// The revision from which to watch; none if all listings have to be read. A VM that did not
    /// watch resumes from the revision that peers `announced`, whenever that was.
    pub fn watch_from(&self, announced: Revision) -> Option<Revision> {
        let announced = Some(announced).filter(|revision| !revision.is_none());
        if self.needs_full_read { None } else { self.watch_revision.or(announced) }
    }

    /// Sets the revision from which the next watch resumes.
    pub fn resume_at(&mut self, revision: Revision) {
        self.watch_revision = Some(revision);
        self.needs_full_read = false;
    }

    /// Discards the revision: no watch can resume from it, so all listings have to be read again.
    pub fn reset(&mut self) {
        self.watch_revision = None;
        self.needs_full_read = true;
    }

    /// Resets the state for a VM that no longer watches, as peers announce the directory's changes.
    pub fn follow_peers(&mut self) {
        self.watch_revision = None;
        self.needs_full_read = false;
        self.failures = 0;
        self.has_older_settings = false;
    }

    /// Records a failed call. Returns the number of failures since the last response. Listings may
    /// have expired and returned meanwhile without a watch event, so all are read again.
    pub fn on_failure(&mut self, now: Instant) -> u32 {
        self.reset();
        self.last_outage = Some(now);
        self.failures += 1;
        self.failures
    }

    /// Records a response. Returns the number of calls that failed before it, if any.
    pub fn on_success(&mut self, now: Instant) -> Option<u32> {
        let failures = std::mem::take(&mut self.failures);
        if failures == 0 {
            return None;
        }
        self.last_outage = Some(now);
        Some(failures)
    }

    /// Records when the directory was restored from a copy, also if a peer announced it first.
    pub fn note_restored(&mut self, at: Option<Instant>) {
        self.restored = self.restored.or(at);
    }

    /// Requests another full read once the listings are complete again after a restore, that is,
    /// when `restored` is none.
    pub fn on_restore_end(&mut self, restored: Option<Instant>) {
        if self.restored.is_some() && restored.is_none() {
            self.restored = None;
            self.reset();
        }
    }

    /// How reliable a response is: of a watch that resumed at `from`, or of a full read if that is
    /// none.
    pub fn provenance(&self, from: Option<Revision>, now: Instant) -> Provenance {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < OUTAGE_WINDOW;
        match self.restored {
            Some(_) if from.is_none() => Provenance::AfterRestore,
            _ if self.last_outage.is_some_and(is_recent) => Provenance::AfterOutage,
            _ => Provenance::Current,
        }
    }

    /// Whether the directory's settings are older than those in force on this VM.
    pub fn has_older_settings(&self) -> bool {
        self.has_older_settings
    }

    /// Compares the directory's settings with those in force. Settings in force are never replaced
    /// by older ones, and a restored copy that lacks them does not confirm them: a key revoked in a
    /// version that was lost as well would otherwise remain valid.
    pub fn note_settings(&mut self, in_force: u64, provenance: Provenance, changes: &[Change]) {
        let listed = changes.iter().rev().find_map(|change| match change {
            Change::Settings(settings) => Some(settings.table.number()),
            _ => None,
        });
        match listed {
            Some(number) if number >= in_force => self.has_older_settings = false,
            _ if provenance == Provenance::AfterRestore => self.has_older_settings = in_force > 0,
            _ => {}
        }
    }
}
