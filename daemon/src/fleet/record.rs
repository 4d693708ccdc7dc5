//! Records and logs the decisions on a request.

use foldlock_base::clock::millis;
use foldlock_request::decision::{self, Decision};
use foldlock_request::dialect::Dialect;
use slog::Level;

use crate::fleet::job::Job;
use crate::log;

impl<D: Dialect> Job<D> {
    /// Records a decision, and logs it with its inputs unless the log is throttled.
    pub fn record(&self, decision: Decision) {
        let entry = decision::Entry { at_ms: millis(self.elapsed()), decision };
        let level = entry.decision.event().level();
        let throttle = if level.is_at_least(Level::Info) {
            &self.process.problem_lines
        } else {
            &self.process.routine_lines
        };
        if let Some(suppressed) = throttle.admit(self.process.now()) {
            log::decision(&self.process.log, &self.id, &self.route.name, &entry, suppressed);
        }
        self.entry.add(entry);
    }
}
