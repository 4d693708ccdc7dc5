//! The incidents of the simulated fleet.

use std::time::Duration;

use proptest::prelude::*;

use crate::fleet::{Fleet, SCHEDULERS, UPSTREAMS, rate, vm_name};

#[derive(Debug, Clone)]
pub(crate) enum Incident {
    /// The fleet receives `per_s` requests per second for `ms` milliseconds.
    Load {
        ms: u64,
        per_s: usize,
    },
    /// An upstream states a limit, in quarters of a request per second, or none.
    SetLimit {
        upstream: usize,
        quarters: Option<u32>,
    },
    Kill {
        vm: usize,
    },
    Suspend {
        vm: usize,
        ms: u64,
    },
    Partition {
        vm: usize,
    },
    /// The VMs from `from` percent on use another scheduler than the rest.
    Split {
        from: usize,
        scheduler: usize,
    },
    Heal,
    Elect {
        vm: usize,
    },
}

impl Fleet {
    pub(crate) fn apply(&mut self, incident: &Incident) {
        let count = self.vms.len();
        match *incident {
            Incident::Load { ms, per_s } => self.load(Duration::from_millis(ms), per_s),
            Incident::SetLimit { upstream, quarters } => {
                self.set_limit(upstream, quarters.map(|quarters| rate(f64::from(quarters) / 4.0)));
            }
            Incident::Kill { vm } => {
                let limited_since = self.vms[vm % count].limited_since;
                self.vms[vm % count] = self.start();
                self.vms[vm % count].limited_since = limited_since;
                self.vms[vm % count].disturbed = Some(self.now);
                for other in 0..count {
                    let now = self.now;
                    self.vms[other].cluster.remove_peer(&vm_name(vm % count), now);
                }
            }
            Incident::Suspend { vm, ms } => {
                let until = self.now + Duration::from_millis(ms);
                self.vms[vm % count].suspended = Some(until);
                self.vms[vm % count].disturbed = Some(until);
            }
            Incident::Partition { vm } => self.vms[vm % count].partitioned = true,
            Incident::Split { from, scheduler } => {
                let scheduler = scheduler % SCHEDULERS.min(count);
                let range = from * count / 100..count;
                self.vms[range].iter_mut().for_each(|vm| vm.own_scheduler = Some(scheduler));
            }
            Incident::Heal => {
                for vm in &mut self.vms {
                    if std::mem::take(&mut vm.partitioned) {
                        vm.disturbed = Some(self.now);
                    }
                    vm.own_scheduler = None;
                }
            }
            Incident::Elect { vm } => self.scheduler = vm % SCHEDULERS.min(count),
        }
    }
}

/// Any incident; load is the most frequent one.
pub(crate) fn incident() -> impl Strategy<Value = Incident> {
    let load = (50..1_500_u64, 5..120_usize);
    prop_oneof![
        6 => load.prop_map(|(ms, per_s)| Incident::Load { ms, per_s }),
        3 => (0..UPSTREAMS, proptest::option::weighted(0.8, 0..40_u32))
            .prop_map(|(upstream, quarters)| Incident::SetLimit { upstream, quarters }),
        2 => (0..SCHEDULERS + 3).prop_map(|vm| Incident::Kill { vm }),
        2 => (0..SCHEDULERS + 3, 100..3_000_u64).prop_map(|(vm, ms)| Incident::Suspend { vm, ms }),
        1 => (0..SCHEDULERS + 3).prop_map(|vm| Incident::Partition { vm }),
        2 => (0..100_usize, 0..SCHEDULERS)
            .prop_map(|(from, scheduler)| Incident::Split { from, scheduler }),
        1 => Just(Incident::Heal),
        2 => (0..SCHEDULERS).prop_map(|vm| Incident::Elect { vm }),
    ]
}
