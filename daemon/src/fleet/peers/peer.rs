//! The state of one peer: when it was last seen, what it announced, and whether it may be
//! scheduler.

use std::time::{Duration, Instant};

use foldlock_base::clock::Moment;
use foldlock_request::directory::Member;
use foldlock_request::message::State;
use foldlock_request::rank::Liveness;
use foldlock_request::revision::Revision;

use crate::fleet::peers::{Target, Timing};

/// The time after an unsuccessful probe until the peer is probed again.
const PROBE_PAUSE: Duration = Duration::from_millis(2_500);

/// The maximum age of the settings with which a peer counts as watching the directory: the duration
/// of a watch and some heartbeats.
const MAX_WATCHER_AGE: Duration = Duration::from_millis(2_000);

/// The state of a peer.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) member: Member,
    /// It has withdrawn from the fleet; its in-flight attempts still count until they end.
    pub(super) leaving: bool,
    pub(super) last_seen: Option<Instant>,
    /// The newest stamp received from it.
    pub(super) stamp: Option<u64>,
    pub(super) version: u64,
    /// The newest settings version that it confirmed, and the moment as of which it did.
    pub(super) confirmed: Option<(u64, Moment)>,
    pub(super) revision: Revision,
    pub(super) digest: u64,
    pub(super) synced: bool,
    /// When it last announced that it watches the directory, with fresh settings.
    pub(super) last_watching: Option<Instant>,
    /// When it last requested heartbeats from this VM.
    pub(super) last_subscribed: Option<Instant>,
    /// Since when it has been probed: it receives the heartbeats of a scheduler without sending
    /// any.
    pub(super) probed_since: Option<Instant>,
    /// When grant requests to it timed out, if nothing has been received from it since.
    pub(super) grant_timeout_at: Option<Instant>,
    /// Whether a read from it has failed, and nothing has been received from it since.
    pub(super) read_failed: bool,
    /// The newest grant received from it.
    pub(super) last_grant: u64,
}

impl Peer {
    /// Creates the state of a peer from which nothing has been received.
    pub(super) fn new(member: Member) -> Peer {
        Peer {
            member,
            leaving: false,
            last_seen: None,
            stamp: None,
            version: 0,
            confirmed: None,
            revision: Revision::default(),
            digest: 0,
            synced: false,
            last_watching: None,
            last_subscribed: None,
            probed_since: None,
            grant_timeout_at: None,
            read_failed: false,
            last_grant: 0,
        }
    }

    /// The peer as the recipient of a heartbeat.
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

    /// Records the state that it announced.
    pub(super) fn on_heartbeat(&mut self, state: &State, now: Instant) {
        self.last_seen = Some(now);
        self.stamp = Some(state.stamp);
        self.version = state.version;
        self.revision = state.revision;
        self.digest = state.digest;
        self.synced = state.synced;
        self.probed_since = None;
        self.grant_timeout_at = None;
        self.read_failed = false;
        let is_fresh = state.age_ms.is_some_and(|ms| Duration::from_millis(ms) < MAX_WATCHER_AGE);
        if state.watching && is_fresh {
            self.last_watching = Some(now);
        }
    }

    /// Whether it sent a heartbeat within the timeout after which it counts as down.
    pub(super) fn is_up(&self, timing: Timing, now: Instant) -> bool {
        self.last_seen.is_some_and(|at| now.saturating_duration_since(at) < timing.down_timeout())
    }

    /// Whether it recently requested heartbeats from this VM.
    pub(super) fn is_subscribed(&self, timing: Timing, now: Instant) -> bool {
        self.last_subscribed
            .is_some_and(|at| now.saturating_duration_since(at) < timing.subscription_timeout())
    }

    /// Its liveness as a scheduler, for which the timeout is shorter than for `is_up`.
    pub(super) fn liveness(&self, timing: Timing, now: Instant) -> Liveness {
        let since = |at: Instant| now.saturating_duration_since(at);
        // When all schedulers crash at once, the next VMs in the order have to receive heartbeats
        // at once, and not only after the timeout. Until then each VM would place requests by its
        // own attempts alone, on engines that look idle to it.
        if self.grant_timeout_at.is_some_and(|at| since(at) < timing.scheduler_timeout()) {
            return Liveness::Unknown;
        }
        if self.last_seen.is_some_and(|at| since(at) < timing.scheduler_timeout()) {
            return Liveness::Up;
        }
        // How long a VM that sends no heartbeats is probed.
        let probe_time = timing.scheduler_timeout();
        match self.probed_since {
            Some(at) if since(at) >= probe_time && since(at) < probe_time + PROBE_PAUSE => {
                Liveness::Down
            }
            _ => Liveness::Unknown,
        }
    }

    /// Records that it is sent a scheduler's heartbeat; if it is not up, that begins a probe.
    pub(super) fn start_probe(&mut self, timing: Timing, now: Instant) {
        let may_restart = |at: Instant| {
            now.saturating_duration_since(at) >= timing.scheduler_timeout() + PROBE_PAUSE
        };
        if self.liveness(timing, now) != Liveness::Up && self.probed_since.is_none_or(may_restart) {
            self.probed_since = Some(now);
        }
    }

    /// Its rank as a scheduler; the lowest is preferred.
    pub(super) fn scheduler_rank(&self, timing: Timing, now: Instant) -> u8 {
        match self.liveness(timing, now) {
            Liveness::Up if self.synced => 0,
            Liveness::Up => 1,
            Liveness::Unknown | Liveness::Down => 2,
        }
    }
}
