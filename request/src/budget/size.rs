//! The size of the fleet, by which a scheduler divides the slack.
//!
//! Answers the restart of many VMs while some are cut off. A VM that is cut off keeps the list of VMs that it had. If
//! VMs were restarting at that time, the list is too short, and the VM cannot tell them from VMs that were removed. So
//! a scheduler uses the most VMs that it has listed until a shorter list is confirmed: by messages from all VMs on it,
//! or by the directory. If no list was confirmed before it was cut off, it does not know the size until then.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time after which a list is independent of an earlier one, as a share of the budget's window. A VM counts for 0.4 of
/// the window after its last message, and expired ones are removed every 0.02. It is also longer than VMs are absent
/// from the list in a restart.
const DELAY_SHARE: f64 = 0.45;

/// The size of the fleet as known to one scheduler.
#[derive(Debug, Default)]
pub(super) struct Size {
    /// The numbers of VMs that may become the maximum in descending order, and when each was last recorded.
    values: VecDeque<(usize, Instant)>,
    /// When the current series of records began, and its last one.
    recorded: Option<(Instant, Instant)>,
    /// The latest time as of which the list of VMs is confirmed.
    confirmed: Option<Instant>,
    /// When a VM was last served whose former scheduler may still run, if no list had been confirmed by then, nor since.
    unconfirmed: Option<Instant>,
}

impl Size {
    /// Records the current number of listed VMs. Drops larger ones that are older than the window if the list has
    /// been confirmed since.
    pub(super) fn record(&mut self, vms: usize, window: Duration, now: Instant) {
        let delay = window.mul_f64(DELAY_SHARE);
        let is_current = |last: Instant| now.saturating_duration_since(last) < delay;
        let series = self.recorded.filter(|(_, last)| is_current(*last));
        self.recorded = Some((series.map_or(now, |(first, _)| first.min(now)), now));
        while self.values.back().is_some_and(|(last, _)| *last <= vms) {
            self.values.pop_back();
        }
        self.values.push_back((vms, now));
        while self.values.front().is_some_and(|(_, at)| {
            now.saturating_duration_since(*at) > window && self.is_confirmed_since(*at, window)
        }) {
            self.values.pop_front();
        }
    }

    /// Records that a VM is served whose former scheduler may still run. Both may be on different sides of a
    /// partition. The list may be outdated then, and the larger one before it is not among the records unless they
    /// began before a confirmation.
    pub(super) fn record_takeover(&mut self, window: Duration, now: Instant) {
        let is_confirmed =
            self.recorded.is_some_and(|(first, _)| self.is_confirmed_since(first, window));
        if !is_confirmed {
            self.unconfirmed = Some(now);
        }
    }

    /// Records that the list of VMs was complete at a time.
    pub(super) fn confirm(&mut self, window: Duration, at: Instant) {
        self.confirmed = self.confirmed.max(Some(at));
        if self.unconfirmed.is_some_and(|since| self.is_confirmed_since(since, window)) {
            self.unconfirmed = None;
        }
    }

    /// Returns the most VMs that were listed within the window, or before it if the list is not confirmed since.
    /// Returns 0 before the first value.
    pub(super) fn max(&self) -> usize {
        self.values.front().map_or(0, |(vms, _)| *vms)
    }

    /// Whether the size is known. Otherwise, the fleet may be larger than `max`.
    pub(super) fn is_known(&self) -> bool {
        self.unconfirmed.is_none()
    }

    fn is_confirmed_since(&self, at: Instant, window: Duration) -> bool {
        let needed = at + window.mul_f64(DELAY_SHARE);
        self.confirmed.is_some_and(|confirmed| confirmed >= needed)
    }
}
