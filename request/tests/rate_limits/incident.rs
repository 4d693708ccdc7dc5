//! The incidents of the simulated fleet.

use std::time::Duration;

use proptest::prelude::*;

use crate::fleet::{Fleet, SCHEDULERS, UPSTREAMS, rate, vm_name};

#[derive(Debug, Clone)]
pub(crate) enum Incident {
    /// The fleet receives `each_s` requests per second for `ms` milliseconds.
    Load {
        ms: u64,
        each_s: usize,
    },
    /// An upstream states a limit, in quarters of a request per second, or none.
    Name {
        upstream: usize,
        quarters: Option<u32>,
    },
    Kill {
        vm: usize,
    },
    Freeze {
        vm: usize,
        ms: u64,
    },
    Cut {
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
            Incident::Load { ms, each_s } => self.load(Duration::from_millis(ms), each_s),
            Incident::Name { upstream, quarters } => {
                self.name(upstream, quarters.map(|quarters| rate(f64::from(quarters) / 4.0)));
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
            Incident::Freeze { vm, ms } => {
                let until = self.now + Duration::from_millis(ms);
                self.vms[vm % count].frozen = Some(until);
                self.vms[vm % count].disturbed = Some(until);
            }
            Incident::Cut { vm } => self.vms[vm % count].cut = true,
            Incident::Split { from, scheduler } => {
                let scheduler = scheduler % SCHEDULERS.min(count);
                let range = from * count / 100..count;
                self.vms[range].iter_mut().for_each(|vm| vm.own_scheduler = Some(scheduler));
            }
            Incident::Heal => {
                for vm in &mut self.vms {
                    if std::mem::take(&mut vm.cut) {
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
        6 => load.prop_map(|(ms, each_s)| Incident::Load { ms, each_s }),
        3 => (0..UPSTREAMS, proptest::option::weighted(0.8, 0..40_u32))
            .prop_map(|(upstream, quarters)| Incident::Name { upstream, quarters }),
        2 => (0..SCHEDULERS + 3).prop_map(|vm| Incident::Kill { vm }),
        2 => (0..SCHEDULERS + 3, 100..3_000_u64).prop_map(|(vm, ms)| Incident::Freeze { vm, ms }),
        1 => (0..SCHEDULERS + 3).prop_map(|vm| Incident::Cut { vm }),
        2 => (0..100_usize, 0..SCHEDULERS)
            .prop_map(|(from, scheduler)| Incident::Split { from, scheduler }),
        1 => Just(Incident::Heal),
        2 => (0..SCHEDULERS).prop_map(|vm| Incident::Elect { vm }),
    ]
}
