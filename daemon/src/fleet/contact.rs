//! The state of the connection to the directory: the revision to watch from, and whether responses
//! can be stale.

use std::time::{Duration, Instant};

use foldlock_request::directory::Change;
use foldlock_request::revision::Revision;

use crate::fleet::changes::Provenance;

/// How long after an outage of the directory a missing listing may be due to the outage.
const OUTAGE_WINDOW: Duration = Duration::from_secs(3);

/// What to request from the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Query {
    /// All listings and the settings.
    All,
    /// The settings alone.
    Settings,
    /// The changes after a revision.
    Changes(Revision),
}

/// The settings in the directory, as of its last response to this VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Stored {
    /// They were not read since this VM began to watch.
    #[default]
    Unknown,
    /// The number of their version; 0 if there are none.
    Version(u64),
    /// They cannot be decoded. They may have revoked keys, so they confirm no other version.
    Unreadable,
}

/// The state of the connection to the directory.
///
/// Peers announce changes of the listings as steps between revisions, and the settings apart from
/// these. So the revision of the listings does not imply that this VM has the settings of that
/// revision. A VM that begins to watch therefore reads the settings first, and its watch resumes
/// from the older of the two revisions.
#[derive(Debug, Default)]
pub struct Contact {
    /// The revision from which this VM's own watch resumes.
    watch_revision: Option<Revision>,
    /// The revision at which this VM read the settings before its first watch.
    settings_revision: Option<Revision>,
    /// The settings in the directory.
    stored: Stored,
    /// Whether all listings have to be read again.
    needs_full_read: bool,
    failures: u32,
    last_outage: Option<Instant>,
    /// When the directory was restored from an older copy, until its listings are complete again.
    restored: Option<Instant>,
}

impl Contact {
    /// What to request next, if peers announced the listings up to the revision `announced`.
    pub fn next_query(&self, announced: Revision) -> Query {
        if self.needs_full_read || self.watch_revision.is_none() && announced.is_none() {
            return Query::All;
        }
        match (self.watch_revision, self.settings_revision) {
            (Some(revision), _) => Query::Changes(revision),
            (None, Some(revision)) => Query::Changes(revision.min(announced)),
            (None, None) => Query::Settings,
        }
    }

    /// Sets the revision from which the next watch resumes.
    pub fn resume_at(&mut self, revision: Revision) {
        self.watch_revision = Some(revision);
        self.needs_full_read = false;
    }

    /// Records that the settings were read at a revision.
    pub fn on_settings_read(&mut self, revision: Revision) {
        self.settings_revision = Some(revision);
    }

    /// Discards the revisions: no watch can resume from them, so everything has to be read again.
    pub fn reset(&mut self) {
        self.stop_watch();
        self.needs_full_read = true;
    }

    /// Resets the state for a VM that no longer watches, as peers announce the directory's changes.
    /// A full read that is due stays so: the peers may end before they make theirs.
    pub fn follow_peers(&mut self) {
        self.stop_watch();
        self.failures = 0;
    }

    fn stop_watch(&mut self) {
        self.watch_revision = None;
        self.settings_revision = None;
        self.stored = Stored::Unknown;
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

    /// How reliable a response to a query is.
    pub fn provenance(&self, query: Query, now: Instant) -> Provenance {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < OUTAGE_WINDOW;
        match self.restored {
            Some(_) if query == Query::All => Provenance::AfterRestore,
            _ if self.last_outage.is_some_and(is_recent) => Provenance::AfterOutage,
            _ => Provenance::Current,
        }
    }

    /// Records the settings that a response to a query includes.
    pub fn note_settings(&mut self, query: Query, changes: &[Change]) {
        let included = changes.iter().rev().find_map(|change| match change {
            Change::Settings(settings) => Some(Stored::Version(settings.table.number())),
            Change::SettingsUnreadable(_) => Some(Stored::Unreadable),
            _ => None,
        });
        self.stored = match (included, query) {
            (Some(stored), _) => stored,
            (None, Query::Changes(_)) => self.stored,
            (None, Query::All | Query::Settings) => Stored::Version(0),
        };
    }

    /// Whether the directory's responses confirm the settings in force, given the newest version
    /// that this VM has or a peer has announced.
    ///
    /// A directory that was restored from an older copy may lack that version. It does not confirm
    /// an older one: a key that was revoked in between would remain valid.
    pub fn confirms(&self, newest: u64) -> bool {
        matches!(self.stored, Stored::Version(number) if number >= newest)
    }
}
