//! In-flight attempts of this VM in the cluster state.

use std::sync::Arc;
use std::time::Instant;

use foldlock_request::dialect::Dialect;
use foldlock_request::flight::Flight;

use super::Process;

/// Keeps an attempt in the cluster state and removes it when dropped, so that it is removed however the
/// attempt ends.
pub struct Guard<D: Dialect> {
    process: Arc<Process<D>>,
    number: u64,
}

impl<D: Dialect> Process<D> {
    /// Adds an attempt to the cluster state. The scheduler that granted its placement has recorded it already;
    /// the other VMs receive it with the next heartbeat.
    pub fn begin_attempt(self: &Arc<Self>, number: u64, flight: Flight) -> Guard<D> {
        self.cluster.lock().unwrap().begin_attempt(number, flight, self.now());
        self.announce.notify_one();
        Guard { process: self.clone(), number }
    }

    /// Notifies the scheduler and the heartbeat task that an attempt of this VM has progressed or ended.
    fn notify_change(&self) {
        self.cluster_changed.notify_one();
        self.announce.notify_one();
    }
}

impl<D: Dialect> Guard<D> {
    /// Records that the first event of the response has arrived.
    pub fn record_first_event(&self) {
        self.process.cluster.lock().unwrap().record_first_event(self.number, self.process.now());
        self.process.notify_change();
    }

    /// Records until when events show that the engine was not slow. It is announced with the next heartbeat.
    pub fn record_pace(&self, sound_until: Instant) {
        self.process.cluster.lock().unwrap().record_pace(self.number, sound_until);
    }
}

impl<D: Dialect> Drop for Guard<D> {
    fn drop(&mut self) {
        self.process.cluster.lock().unwrap().end_attempt(self.number, self.process.now());
        self.process.notify_change();
    }
}
