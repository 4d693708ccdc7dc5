//! What is known of one peer: when it was heard, what it told, and how far it is to be asked.

use std::time::{Duration, Instant};

use foldlock_request::directory::Member;
use foldlock_request::message::State;
use foldlock_request::rank::Liveness;
use foldlock_request::revision::Revision;

use crate::fleet::peers::{Target, Timing};

/// How long after that it is tried again.
const PROBE_PAUSE: Duration = Duration::from_millis(2_500);

/// The age of its settings up to which a peer that says that the directory answers it is believed:
/// a watch and some beats.
const MAX_WATCHER_AGE: Duration = Duration::from_millis(2_000);

/// What is known of a peer.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) member: Member,
    /// It has withdrawn from the fleet and finishes what it has under way, which still counts.
    pub(super) leaving: bool,
    pub(super) last_seen: Option<Instant>,
    /// The newest stamp that it told.
    pub(super) stamp: Option<u64>,
    pub(super) version: u64,
    pub(super) revision: Revision,
    pub(super) digest: u64,
    pub(super) synced: bool,
    /// When it last said that the directory answers it and its settings were fresh.
    pub(super) last_watching: Option<Instant>,
    /// When it last asked to hear from this VM.
    pub(super) last_subscribed: Option<Instant>,
    /// Since when it is told all without being heard.
    pub(super) probed_since: Option<Instant>,
    /// When it left questions unanswered, if it was not heard since.
    pub(super) grant_timeout_at: Option<Instant>,
    /// The newest placement that it gave.
    pub(super) last_grant: u64,
}

impl Peer {
    /// A peer that was not heard yet.
    pub(super) fn new(member: Member) -> Peer {
        Peer {
            member,
            leaving: false,
            last_seen: None,
            stamp: None,
            version: 0,
            revision: Revision::default(),
            digest: 0,
            synced: false,
            last_watching: None,
            last_subscribed: None,
            probed_since: None,
            grant_timeout_at: None,
            last_grant: 0,
        }
    }

    /// What a beat to it needs.
    pub(super) fn target(&self, may_schedule: bool) -> Target {
        Target {
            vm: self.member.vm.clone(),
            address: self.member.address,
            echo: self.stamp,
            echo_of: self.member.incarnation,
            last_grant: self.last_grant,
            may_schedule,
        }
    }

    /// It was heard, and told this.
    pub(super) fn on_heartbeat(&mut self, state: &State, now: Instant) {
        self.last_seen = Some(now);
        self.stamp = Some(state.stamp);
        self.version = state.version;
        self.revision = state.revision;
        self.digest = state.digest;
        self.synced = state.synced;
        self.probed_since = None;
        self.grant_timeout_at = None;
        let is_fresh = state.age_ms.is_some_and(|ms| Duration::from_millis(ms) < MAX_WATCHER_AGE);
        if state.watching && is_fresh {
            self.last_watching = Some(now);
        }
    }

    /// Whether it is taken to be up.
    pub(super) fn is_up(&self, timing: Timing, now: Instant) -> bool {
        self.last_seen.is_some_and(|at| now.saturating_duration_since(at) < timing.down_timeout())
    }

    /// Whether it asked of late to hear from this VM.
    pub(super) fn is_subscribed(&self, timing: Timing, now: Instant) -> bool {
        self.last_subscribed
            .is_some_and(|at| now.saturating_duration_since(at) < timing.subscription_timeout())
    }

    /// Whether it may be asked to place requests.
    pub(super) fn liveness(&self, timing: Timing, now: Instant) -> Liveness {
        let since = |at: Instant| now.saturating_duration_since(at);
        // Where all schedulers die at once, the next ones are told at once, and not only when the
        // dead are no longer taken for heard. Until then each VM would place by its own requests alone,
        // on engines that it takes for empty.
        if self.grant_timeout_at.is_some_and(|at| since(at) < timing.scheduler_timeout()) {
            return Liveness::Unknown;
        }
        if self.last_seen.is_some_and(|at| since(at) < timing.scheduler_timeout()) {
            return Liveness::Up;
        }
        // How long a VM that is not heard is told all, to find out whether it lives.
        let probe_time = timing.scheduler_timeout();
        match self.probed_since {
            Some(at) if since(at) >= probe_time && since(at) < probe_time + PROBE_PAUSE => {
                Liveness::Down
            }
            _ => Liveness::Unknown,
        }
    }

    /// It is told all now, whether it is heard or not.
    pub(super) fn start_probe(&mut self, timing: Timing, now: Instant) {
        let may_restart = |at: Instant| {
            now.saturating_duration_since(at) >= timing.scheduler_timeout() + PROBE_PAUSE
        };
        if self.liveness(timing, now) != Liveness::Up && self.probed_since.is_none_or(may_restart) {
            self.probed_since = Some(now);
        }
    }

    /// How little it is to be asked, 0 the most.
    pub(super) fn scheduler_rank(&self, timing: Timing, now: Instant) -> u8 {
        match self.liveness(timing, now) {
            Liveness::Up if self.synced => 0,
            Liveness::Up => 1,
            Liveness::Unknown | Liveness::Down => 2,
        }
    }
}
