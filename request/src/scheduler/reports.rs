//! The engines that the scheduler asks for reports.

use std::time::Instant;

use foldlock_version::routes::Table;

use crate::cluster::{Cluster, Round};
use crate::scheduler::Scheduler;
use crate::tag::Tag;

impl Scheduler {
    /// The engines to ask for their reports where admission is by forecast, which is based on them.
    pub fn due_reports(&self, cluster: &mut Cluster, table: &Table, now: Instant) -> Round {
        for service in table.services() {
            let tag = Tag::of(&service.name);
            if self.queue.iter().any(|queued| queued.service == tag && queued.is_long(service)) {
                cluster.rely_on_service(&service.name, now);
            }
        }
        let is_engine = |service: &str| table.service(service).is_some_and(|s| s.engine.is_some());
        cluster.due_reports(|listed| is_engine(&listed.service), now)
    }
}
