//! Records and log lines of what is decided for a request.

use foldlock_base::clock::millis;
use foldlock_request::decision::{self, Decision};
use foldlock_request::dialect::Dialect;
use slog::Level;

use crate::fleet::job::Job;
use crate::log;

impl<D: Dialect> Job<D> {
    /// Records a decision, and logs it with its inputs as far as the volume allows.
    pub fn record(&self, decision: Decision) {
        let step = decision::Entry { at_ms: millis(self.elapsed()), decision };
        let level = step.decision.event().level();
        let volume = if level.is_at_least(Level::Info) {
            &self.process.trouble_lines
        } else {
            &self.process.routine_lines
        };
        if let Some(left_out) = volume.admit(self.process.now()) {
            log::decision(&self.process.log, &self.id, &self.route.name, &step, left_out);
        }
        self.entry.add(step);
    }
}
