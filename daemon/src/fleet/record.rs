//! Records and log lines of what is decided for a request.

use foldlock_request::decision::{Decision, Step};
use foldlock_request::dialect::Dialect;

use crate::fleet::job::Job;
use crate::log;
use crate::serve::millis;

impl<D: Dialect> Job<D> {
    /// Records a decision, and logs it with its inputs.
    pub fn record(&self, decision: Decision) {
        let step = Step { at_ms: millis(self.held()), decision };
        log::decision(&self.process.log, &self.id, &self.route.name, &step);
        self.entry.add(step);
    }
}
