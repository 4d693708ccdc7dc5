//! The fleet's budget of repeats while VMs start, stop, are killed, are cut off and read their figures again.

use std::time::{Duration, Instant};

use foldlock_request::budget::{Budget, Figures};
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);

/// The time that a VM serves on after it has withdrawn.
const STOP: Duration = Duration::from_secs(8);

const SERVICE: &str = "model";

fn figures(vms: usize) -> Figures {
    Figures { ratio: 0.2, slack: (vms * 3) as f64, window: WINDOW }
}

struct Vm {
    budget: Budget,
    /// The number of listed VMs as it knows it; `None` where it follows the directory.
    cut_off: Option<usize>,
    /// When it ends, if it has withdrawn.
    ends: Option<Instant>,
}

/// Something that happens to a part of the fleet, given as a range of VMs in percent.
#[derive(Debug, Clone)]
enum Incident {
    Traffic { each: usize },
    Failures { each: usize },
    Kill { from: usize, share: usize },
    Stop { from: usize, share: usize },
    Cut { from: usize, share: usize },
    Heal,
    Reload,
}

struct Fleet {
    figures: Figures,
    vms: Vec<Vm>,
    now: Instant,
    requests: Vec<Instant>,
    repeats: Vec<Instant>,
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let (figures, now) = (figures(count), Instant::now());
        let vms = (0..count).map(|_| Fleet::start(figures, now)).collect();
        Fleet { figures, vms, now, requests: Vec::new(), repeats: Vec::new() }
    }

    fn start(figures: Figures, _now: Instant) -> Vm {
        Vm { budget: Budget::new(figures), cut_off: None, ends: None }
    }

    fn listed(&self) -> usize {
        self.vms.iter().filter(|vm| vm.ends.is_none()).count()
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        for vm in &mut self.vms {
            if vm.ends.is_some_and(|ends| ends <= self.now) {
                *vm = Fleet::start(self.figures, self.now);
            }
        }
    }

    fn range(&self, from: usize, share: usize) -> std::ops::Range<usize> {
        let count = self.vms.len();
        from * count / 100..((from + share) * count / 100).min(count)
    }

    fn traffic(&mut self, each: usize) {
        for vm in &mut self.vms {
            for _ in 0..each {
                vm.budget.request(SERVICE, self.now);
                self.requests.push(self.now);
            }
        }
    }

    fn failures(&mut self, each: usize) {
        let listed = self.listed();
        for vm in &mut self.vms {
            let known = vm.cut_off.unwrap_or(listed);
            let granted = (0..each).filter(|_| vm.budget.repeat(SERVICE, known, self.now)).count();
            self.repeats.extend(std::iter::repeat_n(self.now, granted));
        }
    }

    fn apply(&mut self, incident: &Incident) {
        let listed = self.listed();
        match *incident {
            Incident::Traffic { each } => self.traffic(each),
            Incident::Failures { each } => self.failures(each),
            Incident::Kill { from, share } => {
                for index in self.range(from, share) {
                    self.vms[index] = Fleet::start(self.figures, self.now);
                }
            }
            Incident::Stop { from, share } => {
                for index in self.range(from, share) {
                    self.vms[index].ends.get_or_insert(self.now + STOP);
                }
            }
            Incident::Cut { from, share } => {
                for index in self.range(from, share) {
                    self.vms[index].cut_off.get_or_insert(listed);
                }
            }
            Incident::Heal => self.vms.iter_mut().for_each(|vm| vm.cut_off = None),
            Incident::Reload => self.vms.iter_mut().for_each(|vm| vm.budget.set(self.figures)),
        }
    }

    /// Repeats in the window that ends now, and how many are allowed in it.
    fn spent(&self) -> (usize, f64) {
        let within = |times: &[Instant]| {
            times.iter().filter(|at| self.now.duration_since(**at) <= WINDOW).count()
        };
        let allowed = self.figures.ratio * within(&self.requests) as f64 + self.figures.slack;
        (within(&self.repeats), allowed)
    }

    fn assert_within(&self) {
        let (spent, allowed) = self.spent();
        assert!(spent as f64 <= allowed, "{spent} repeats where {allowed:.1} are allowed");
    }
}

/// Guards against a restarted VM that spends the share which its former process has spent.
#[test]
fn killed_vms_do_not_spend_their_share_again() {
    let mut fleet = Fleet::new(72);
    for _ in 0..4 {
        fleet.traffic(5);
        fleet.failures(20);
        fleet.assert_within();
        fleet.apply(&Incident::Kill { from: 0, share: 60 });
        fleet.pass(Duration::from_secs(3));
    }
}

/// Guards against shares that grow as VMs withdraw which have spent theirs and still serve.
#[test]
fn shares_do_not_grow_as_vms_withdraw() {
    let mut fleet = Fleet::new(72);
    fleet.traffic(5);
    for part in 0..8 {
        fleet.failures(20);
        fleet.assert_within();
        fleet.apply(&Incident::Stop { from: part * 10, share: 10 });
        fleet.pass(Duration::from_millis(900));
    }
}

fn incident() -> impl Strategy<Value = Incident> {
    let part = || (0usize..100, 1usize..100);
    prop_oneof![
        3 => (0usize..8).prop_map(|each| Incident::Traffic { each }),
        4 => (1usize..30).prop_map(|each| Incident::Failures { each }),
        2 => part().prop_map(|(from, share)| Incident::Kill { from, share }),
        2 => part().prop_map(|(from, share)| Incident::Stop { from, share }),
        1 => part().prop_map(|(from, share)| Incident::Cut { from, share }),
        1 => Just(Incident::Heal),
        1 => Just(Incident::Reload),
    ]
}

proptest! {
    /// Guards against any way in which restarts, withdrawals, cuts and reloads add up to more repeats than
    /// the fleet may send in a window.
    #[test]
    fn the_fleet_keeps_its_budget_through_any_incidents(
        count in prop::sample::select(vec![6usize, 72, 195, 985]),
        incidents in prop::collection::vec((incident(), 0u64..3_000), 1..30),
    ) {
        let mut fleet = Fleet::new(count);
        for (incident, then_ms) in &incidents {
            fleet.apply(incident);
            let (spent, allowed) = fleet.spent();
            prop_assert!(spent as f64 <= allowed, "{spent} repeats where {allowed:.1} are allowed");
            fleet.pass(Duration::from_millis(*then_ms));
        }
    }
}
