//! Confirmations of settings that peers have sent, kept until this VM has these settings.
//!
//! The heartbeat that announces a version to a starting VM usually also confirms it, but arrives
//! before the VM has read the version. Without this record, the VM would have to wait for the next
//! periodic heartbeat before it accepts keys.

use std::cmp::max;

use foldlock_base::clock::Moment;
use foldlock_base::prelude::*;

use crate::fleet::peers::Peers;

impl Peers {
    /// Records that a peer confirmed that `version` was the newest one at a moment.
    pub fn record_confirmation(&self, vm: &id::Vm, version: u64, at: Moment) {
        if let Some(peer) = self.membership.lock().unwrap().peers.get_mut(vm) {
            peer.confirmed = max(peer.confirmed, Some((version, at)));
        }
    }

    /// The latest moment as of which a peer confirmed this version; none if no peer did.
    pub fn confirmation(&self, version: u64) -> Option<Moment> {
        let membership = self.membership.lock().unwrap();
        let confirmed = membership.peers.values().filter_map(|peer| peer.confirmed);
        confirmed.filter(|(confirmed, _)| *confirmed == version).map(|(_, at)| at).max()
    }
}
