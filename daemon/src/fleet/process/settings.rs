//! The settings in force, when they were confirmed, and requests that wait for them after the start.

use std::sync::Arc;
use std::time::Duration;

use foldlock_base::clock::Moment;
use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::Settings;

use super::Process;
use crate::fleet::metrics::Step;
use crate::log;

/// Time after the start in which requests wait for settings. VMs that start together have received
/// theirs by then.
const STARTUP_WINDOW: Duration = Duration::from_millis(500);

impl<D: Dialect> Process<D> {
    /// The settings in force, if any.
    pub fn settings(&self) -> Option<Arc<Settings>> {
        self.settings.read().unwrap().clone()
    }

    /// Waits during startup for the first settings. They arrive shortly, whereas a rejected request would
    /// miss its objective by the time the caller retries it.
    pub async fn wait_for_settings(&self) {
        self.wait_during_startup(Step::Settings, || self.version() > 0).await;
    }

    /// Waits during startup until the settings are confirmed: settings read from a peer arrive before the
    /// heartbeat that confirms them. Returns whether they are confirmed.
    pub async fn wait_for_confirmation(&self) -> bool {
        let is_confirmed = || self.version() > 0 && self.freshness.is_fresh(self.moment());
        self.wait_during_startup(Step::Confirmed, is_confirmed).await;
        is_confirmed()
    }

    /// Whether this VM has just started, so that it may still receive its first messages from peers.
    pub fn is_starting(&self) -> bool {
        self.peers.age(self.now()) < STARTUP_WINDOW
    }

    /// Waits for a condition on the settings until startup is over.
    async fn wait_during_startup(&self, step: Step, is_met: impl Fn() -> bool) {
        if self.is_starting() && !is_met() {
            self.metrics.count_startup_wait(step);
        }
        let remaining = STARTUP_WINDOW.saturating_sub(self.peers.age(self.now()));
        let met = async {
            loop {
                let changed = self.settings_changed.notified();
                if is_met() {
                    return;
                }
                changed.await;
            }
        };
        // The result is ignored: the caller checks the condition again.
        let _ = tokio::time::timeout(remaining, met).await;
    }

    /// Records that the settings in force were the newest ones at this moment. Requests here and peers
    /// that start as well may wait for the first confirmation, or for one that makes the settings fresh
    /// after an outage of the directory, so these are announced at once.
    pub fn confirm(&self, at: Moment) {
        let is_first = self.freshness.age(at).is_none();
        let was_fresh = self.freshness.is_fresh(self.moment());
        self.freshness.confirm(at);
        let becomes_fresh = !was_fresh && self.freshness.is_fresh(self.moment());
        if is_first {
            self.observe_startup(Step::Confirmed);
            let age_ms = self.moment().since(at).as_millis();
            let what = format!("version {}, confirmed as of {age_ms} ms ago", self.version());
            log::event(&self.log, Event::SettingsConfirmed, what);
        }
        if is_first || becomes_fresh {
            self.settings_changed.notify_waiters();
            self.announce_to_all();
        }
    }

    /// Observes the time from the start of the process to the first completion of a step.
    pub(super) fn observe_startup(&self, step: Step) {
        self.metrics.observe_startup(step, self.peers.age(self.now()));
    }

    /// The number of the settings version in force; 0 before there is one.
    pub fn version(&self) -> u64 {
        self.settings.read().unwrap().as_ref().map_or(0, |s| s.table.number())
    }

    /// Puts settings in force if they are newer than the current ones, and ignores them otherwise.
    pub fn apply_settings(&self, settings: Settings, from: &str) {
        let number = settings.table.number();
        let mut current = self.settings.write().unwrap();
        if current.as_ref().is_some_and(|c| c.table.number() >= number) {
            return;
        }
        let previous = current.replace(Arc::new(settings));
        drop(current);
        self.settings_changed.notify_waiters();
        self.metrics.settings_version.set(number as i64);
        log::event(&self.log, Event::VersionInForce, format!("version {number} from {from}"));
        if previous.is_none() {
            self.observe_startup(Step::Settings);
        }
        // A peer may have confirmed this version before it came into force here.
        if let Some(at) = self.peers.confirmation(number) {
            self.confirm(at);
        }
        self.announce_to_all();
    }

    /// Reads the configuration file again and applies the parameters of the retry budget and the scheduling policy; other values
    /// take effect only at a start of the process.
    pub fn reload(&self) {
        let read = self.config.file.as_deref().map(crate::config::read_fleet);
        let what = match read {
            Some(Ok(fleet)) => {
                let mut scheduler = self.scheduler.lock().unwrap();
                scheduler.budget.set(fleet.budget());
                scheduler.set_policy(fleet.scheduling);
                "retry budget parameters and scheduling policy reloaded".to_owned()
            }
            Some(Err(e)) => {
                format!("configuration file not reloaded, keeping the previous configuration: {e}")
            }
            None => "no configuration file to reload".to_owned(),
        };
        log::event(&self.log, Event::Reloaded, what);
    }

    /// Whether the policy in force admits and orders requests by forecasts. It may change with a reload.
    pub fn is_forecast(&self) -> bool {
        self.scheduler.lock().unwrap().policy().is_forecast()
    }
}
