//! What is known of one peer: when it was heard, what it told, and how far it is to be asked.

use std::time::{Duration, Instant};

use foldlock_request::directory::Member;
use foldlock_request::message::State;
use foldlock_request::rank::Liveness;
use foldlock_request::revision::Revision;

use crate::fleet::peers::{Target, Timing};

/// How long after that it is tried again.
const RETRIED: Duration = Duration::from_millis(2_500);

/// The age of its settings up to which a peer that says that the directory answers it is believed:
/// a watch and some beats.
const WATCH_AGE: Duration = Duration::from_millis(2_000);

/// What is known of a peer.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) member: Member,
    /// It has withdrawn from the fleet and finishes what it has under way, which still counts.
    pub(super) leaving: bool,
    pub(super) heard: Option<Instant>,
    /// The newest stamp that it told.
    pub(super) stamp: Option<u64>,
    pub(super) version: u64,
    pub(super) at: Revision,
    pub(super) digest: u64,
    pub(super) settled: bool,
    /// When it last said that the directory answers it and its settings were fresh.
    pub(super) watching: Option<Instant>,
    /// When it last asked to hear from this VM.
    pub(super) wants: Option<Instant>,
    /// Since when it is told all without being heard.
    pub(super) tried: Option<Instant>,
    /// When it left questions unanswered, if it was not heard since.
    pub(super) missed: Option<Instant>,
    /// The newest placement that it gave.
    pub(super) granted: u64,
}

impl Peer {
    /// A peer that was not heard yet.
    pub(super) fn new(member: Member) -> Peer {
        Peer {
            member,
            leaving: false,
            heard: None,
            stamp: None,
            version: 0,
            at: Revision::default(),
            digest: 0,
            settled: false,
            watching: None,
            wants: None,
            tried: None,
            missed: None,
            granted: 0,
        }
    }

    /// What a beat to it needs.
    pub(super) fn target(&self, may_schedule: bool) -> Target {
        Target {
            vm: self.member.vm.clone(),
            address: self.member.address,
            echo: self.stamp,
            echo_of: self.member.incarnation,
            last_grant: self.granted,
            may_schedule,
        }
    }

    /// It was heard, and told this.
    pub(super) fn hear(&mut self, state: &State, now: Instant) {
        self.heard = Some(now);
        self.stamp = Some(state.stamp);
        self.version = state.version;
        self.at = state.revision;
        self.digest = state.digest;
        self.settled = state.synced;
        self.tried = None;
        self.missed = None;
        let fresh = state.age_ms.is_some_and(|ms| Duration::from_millis(ms) < WATCH_AGE);
        if state.watching && fresh {
            self.watching = Some(now);
        }
    }

    /// Whether it is taken to be up.
    pub(super) fn is_heard(&self, timing: Timing, now: Instant) -> bool {
        self.heard.is_some_and(|at| now.saturating_duration_since(at) < timing.down_timeout())
    }

    /// Whether it asked of late to hear from this VM.
    pub(super) fn wants(&self, timing: Timing, now: Instant) -> bool {
        self.wants
            .is_some_and(|at| now.saturating_duration_since(at) < timing.subscription_timeout())
    }

    /// Whether it may be asked to place requests.
    pub(super) fn liveness(&self, timing: Timing, now: Instant) -> Liveness {
        let since = |at: Instant| now.saturating_duration_since(at);
        // Where all schedulers die at once, the next ones are told at once, and not only when the
        // dead are no longer taken for heard. Until then each VM would place by its own requests alone,
        // on engines that it takes for empty.
        if self.missed.is_some_and(|at| since(at) < timing.scheduler_timeout()) {
            return Liveness::Unknown;
        }
        if self.heard.is_some_and(|at| since(at) < timing.scheduler_timeout()) {
            return Liveness::Up;
        }
        // How long a VM that is not heard is told all, to find out whether it lives.
        let tried = timing.scheduler_timeout();
        match self.tried {
            Some(at) if since(at) >= tried && since(at) < tried + RETRIED => Liveness::Down,
            _ => Liveness::Unknown,
        }
    }

    /// It is told all now, whether it is heard or not.
    pub(super) fn tried(&mut self, timing: Timing, now: Instant) {
        let again =
            |at: Instant| now.saturating_duration_since(at) >= timing.scheduler_timeout() + RETRIED;
        if self.liveness(timing, now) != Liveness::Up && self.tried.is_none_or(again) {
            self.tried = Some(now);
        }
    }

    /// How little it is to be asked, 0 the most.
    pub(super) fn placing_rank(&self, timing: Timing, now: Instant) -> u8 {
        match self.liveness(timing, now) {
            Liveness::Up if self.settled => 0,
            Liveness::Up => 1,
            Liveness::Unknown | Liveness::Down => 2,
        }
    }
}
