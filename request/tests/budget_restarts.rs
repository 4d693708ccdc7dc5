//! The fleet's retry budget while VMs start, stop, are killed or partitioned, while the scheduler changes and the
//! parameters are reloaded.

use std::ops::Range;
use std::time::{Duration, Instant};

use foldlock_base::id;
use foldlock_request::budget::{Affiliation, Budget, Charge, Parameters, Process};
use foldlock_request::cluster::Holder;
use foldlock_request::rank::MAX_SCHEDULERS;
use foldlock_request::tag::Tag;
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);

/// Time for which a VM continues to serve after it has withdrawn.
const STOP: Duration = Duration::from_secs(8);

/// Heartbeat interval of a VM.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Time for which a VM that has stopped is down, until it is restarted.
const DOWN: Duration = Duration::from_secs(1);

fn parameters(vms: usize) -> Parameters {
    Parameters { ratio: 0.2, slack: (vms * 3) as f64, window: WINDOW }
}

/// The scheduler of a VM.
#[derive(Debug, Clone, Copy)]
enum Side {
    /// The scheduler of the fleet.
    Fleet,
    /// The scheduler of a partition, which had `known` VMs listed when it was cut off.
    Partition { scheduler: usize, known: usize },
}

struct Vm {
    name: id::Vm,
    incarnation: u64,
    budget: Budget,
    affiliation: Affiliation,
    side: Side,
    /// When its process ends, if it has withdrawn.
    ends: Option<Instant>,
    /// When it is restarted, if it is down.
    back: Option<Instant>,
}

/// An event of the fleet, or of a range of its VMs, given in percent.
#[derive(Debug, Clone)]
enum Incident {
    Traffic {
        each: usize,
    },
    Failures {
        each: usize,
    },
    Kill {
        from: usize,
        share: usize,
    },
    Stop {
        from: usize,
        share: usize,
    },
    /// Partitions VMs from the others, into one partition each or all into one.
    Partition {
        from: usize,
        share: usize,
        together: bool,
    },
    Heal,
    /// Another VM becomes the scheduler.
    Elect {
        vm: usize,
    },
    Reload,
}

/// The running VMs, as listed at each of them.
struct Running {
    count: usize,
    schedulers: Vec<Process>,
}

struct Fleet {
    parameters: Parameters,
    vms: Vec<Vm>,
    scheduler: usize,
    incarnations: u64,
    now: Instant,
    requests: Vec<Instant>,
    retries: Vec<Instant>,
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let mut fleet = Fleet {
            parameters: parameters(count),
            vms: Vec::new(),
            scheduler: 0,
            incarnations: 0,
            now: Instant::now(),
            requests: Vec::new(),
            retries: Vec::new(),
        };
        for index in 0..count {
            let name = format!("vm-{index}").parse().unwrap();
            let vm = fleet.start(name);
            fleet.vms.push(vm);
        }
        fleet.advance(WINDOW + HEARTBEAT);
        fleet
    }

    fn start(&mut self, name: id::Vm) -> Vm {
        self.incarnations += 1;
        Vm {
            name,
            incarnation: self.incarnations,
            budget: Budget::new(self.parameters),
            affiliation: Affiliation::default(),
            side: Side::Fleet,
            ends: None,
            back: None,
        }
    }

    fn restart(&mut self, index: usize) {
        let name = self.vms[index].name.clone();
        self.vms[index] = self.start(name);
    }

    fn running(&self) -> usize {
        self.vms.iter().filter(|vm| vm.back.is_none()).count()
    }

    /// Advances the time. Each VM sends its heartbeats to its scheduler.
    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = (self.now + HEARTBEAT).min(end);
            self.stop_and_restart();
            self.attempts(0, Charge::Free);
        }
    }

    fn stop_and_restart(&mut self) {
        for index in 0..self.vms.len() {
            let vm = &mut self.vms[index];
            if vm.ends.is_some_and(|ends| ends <= self.now) {
                vm.back = Some(vm.ends.take().unwrap() + DOWN);
            }
            if vm.back.is_some_and(|back| back <= self.now) {
                self.restart(index);
            }
        }
        self.elect_running();
    }

    /// Makes the next VM the scheduler if the current one is down.
    fn elect_running(&mut self) {
        let of = MAX_SCHEDULERS.min(self.vms.len());
        let next = (0..of).map(|step| (self.scheduler + step) % of);
        let running = next.clone().find(|index| self.vms[*index].back.is_none());
        self.scheduler = running.unwrap_or(self.scheduler);
    }

    fn range(&self, from: usize, share: usize) -> Range<usize> {
        let count = self.vms.len();
        from * count / 100..((from + share) * count / 100).min(count)
    }

    fn process(&self, index: usize) -> Process {
        let vm = &self.vms[index];
        Process { vm: vm.name.clone(), incarnation: vm.incarnation }
    }

    /// The processes that may become the scheduler.
    fn schedulers(&self) -> Vec<Process> {
        (0..MAX_SCHEDULERS.min(self.vms.len())).map(|index| self.process(index)).collect()
    }

    /// Makes `each` attempts at a VM. Returns how many the budget allows.
    fn attempt(&mut self, index: usize, each: usize, charge: Charge, fleet: &Running) -> usize {
        let (scheduler, known) = match self.vms[index].side {
            Side::Fleet => (self.scheduler, fleet.count),
            Side::Partition { scheduler, known } => (scheduler, known),
        };
        let (target, now) = (self.process(scheduler), self.now);
        let has_ended = |former: &Process| {
            let now = fleet.schedulers.iter().find(|process| process.vm == former.vm);
            now.is_some_and(|process| process != former)
        };
        let peer = || Holder::Peer(self.vms[index].name.clone());
        let vm = if index == scheduler { Holder::Own } else { peer() };
        let affiliation = &mut self.vms[index].affiliation;
        let is_client = affiliation.contact(&target, WINDOW, self.now, has_ended);
        let budget = &mut self.vms[scheduler].budget;
        budget.record_contact(&vm, is_client, known, self.now);
        (0..each).filter(|_| budget.charge(Tag::of("model"), charge, now).is_ok()).count()
    }

    fn attempts(&mut self, each: usize, charge: Charge) {
        let fleet = Running { count: self.running(), schedulers: self.schedulers() };
        for index in 0..self.vms.len() {
            if self.vms[index].back.is_some() {
                continue;
            }
            let allowed = self.attempt(index, each, charge, &fleet);
            let times = match charge {
                Charge::Deposit => &mut self.requests,
                _ => &mut self.retries,
            };
            times.extend(std::iter::repeat_n(self.now, allowed));
        }
    }

    fn partition(&mut self, range: Range<usize>, together: bool) {
        let known = self.running();
        let first = range.clone().find(|index| self.vms[*index].back.is_none());
        let Some(first) = first.filter(|_| !range.contains(&self.scheduler)) else { return };
        for index in range {
            let scheduler = if together { first } else { index };
            self.vms[index].side = Side::Partition { scheduler, known };
        }
    }

    /// Splits partitions whose scheduler is gone into one partition for each VM.
    fn split_partitions(&mut self, gone: &Range<usize>) {
        for index in 0..self.vms.len() {
            let Side::Partition { scheduler, known } = self.vms[index].side else { continue };
            if gone.contains(&scheduler) {
                self.vms[index].side = Side::Partition { scheduler: index, known };
            }
        }
    }

    fn apply(&mut self, incident: &Incident) {
        match *incident {
            Incident::Traffic { each } => self.attempts(each, Charge::Deposit),
            Incident::Failures { each } => self.attempts(each, Charge::Withdraw),
            Incident::Kill { from, share } => {
                let range = self.range(from, share);
                self.split_partitions(&range);
                for index in range {
                    self.restart(index);
                }
            }
            Incident::Stop { from, share } => {
                for index in self.range(from, share) {
                    let vm = &mut self.vms[index];
                    if vm.back.is_none() {
                        vm.ends.get_or_insert(self.now + STOP);
                    }
                }
            }
            Incident::Partition { from, share, together } => {
                let range = self.range(from, share);
                self.split_partitions(&range);
                self.partition(range, together);
            }
            Incident::Heal => self.vms.iter_mut().for_each(|vm| vm.side = Side::Fleet),
            Incident::Elect { vm } => {
                self.scheduler = vm % MAX_SCHEDULERS.min(self.vms.len());
                self.elect_running();
            }
            Incident::Reload => self.vms.iter_mut().for_each(|vm| vm.budget.set(self.parameters)),
        }
    }

    /// Returns the retries in the window that ends now, and how many are allowed in it.
    fn spent(&self) -> (usize, f64) {
        let within = |times: &[Instant]| {
            times.iter().filter(|at| self.now.duration_since(**at) <= WINDOW).count()
        };
        let allowed = self.parameters.ratio * within(&self.requests) as f64 + self.parameters.slack;
        (within(&self.retries), allowed)
    }

    /// Removes a range of VMs for good.
    fn remove(&mut self, range: Range<usize>) {
        for index in range {
            self.vms[index].back = Some(self.now + Duration::from_secs(3_600));
        }
        self.elect_running();
    }

    /// Spends all of the slack, and returns the retries of the window that ends now.
    fn spend(&mut self) -> usize {
        self.apply(&Incident::Failures { each: 200 });
        self.spent().0
    }

    fn assert_within(&self) {
        let (spent, allowed) = self.spent();
        assert!(spent as f64 <= allowed, "{spent} repeats where {allowed:.1} are allowed");
    }
}

/// Guards against a restarted VM that spends the share of the slack that its former process has spent already.
#[test]
fn a_killed_vm_does_not_spend_its_share_again() {
    let mut fleet = Fleet::new(72);
    for _ in 0..4 {
        fleet.apply(&Incident::Traffic { each: 5 });
        fleet.apply(&Incident::Failures { each: 20 });
        fleet.assert_within();
        fleet.apply(&Incident::Kill { from: 0, share: 60 });
        fleet.advance(Duration::from_secs(3));
    }
}

/// Guards against shares that grow when VMs withdraw that have spent theirs and still serve.
#[test]
fn shares_do_not_grow_as_vms_withdraw() {
    let mut fleet = Fleet::new(72);
    fleet.apply(&Incident::Traffic { each: 5 });
    for part in 0..8 {
        fleet.apply(&Incident::Failures { each: 20 });
        fleet.assert_within();
        fleet.apply(&Incident::Stop { from: part * 10, share: 10 });
        fleet.advance(Duration::from_millis(900));
    }
}

/// Guards against two alternating schedulers that each hold the slack of the same VMs.
#[test]
fn alternating_schedulers_do_not_both_hold_the_slack() {
    let mut fleet = Fleet::new(72);
    for turn in 0..20 {
        fleet.apply(&Incident::Traffic { each: 2 });
        fleet.apply(&Incident::Elect { vm: turn % 2 });
        fleet.advance(Duration::from_secs(1));
    }
    fleet.advance(Duration::from_millis(500));
    for vm in 0..2 {
        fleet.apply(&Incident::Failures { each: 20 });
        fleet.apply(&Incident::Elect { vm });
    }
    fleet.apply(&Incident::Failures { each: 20 });
    let (spent, _) = fleet.spent();
    assert!(spent as f64 <= fleet.parameters.slack, "{spent}");
}

/// The part of the slack of 72 VMs that is distributed over the clients.
const CLIENT_SLACK: usize = 162;

/// Time after which a scheduler has the whole slack: its clients are bound to the former one for 0.45 of the window,
/// count after a window, and the last one sends its heartbeat a second later.
const TAKEOVER: Duration = Duration::from_millis(15_500);

/// Guards against an intact fleet whose retries are rejected while its VMs start and are restarted in turn. Only a
/// change of the scheduler costs slack, for no longer than before.
#[test]
fn an_intact_fleet_has_its_whole_slack_as_vms_start_and_restart_in_turn() {
    let mut fleet = Fleet::new(72);
    fleet.advance(HEARTBEAT);
    assert_eq!(fleet.spend(), CLIENT_SLACK);
    for part in (1..10).rev() {
        fleet.apply(&Incident::Stop { from: part * 10, share: 10 });
        fleet.advance(Duration::from_secs(5));
        assert_eq!(fleet.spend(), CLIENT_SLACK, "while part {part} restarts");
    }
    fleet.apply(&Incident::Stop { from: 0, share: 10 });
    fleet.advance(STOP + TAKEOVER);
    assert_eq!(fleet.spend(), CLIENT_SLACK, "with the next scheduler");
    fleet.apply(&Incident::Kill { from: 0, share: 100 });
    fleet.advance(WINDOW + HEARTBEAT * 2);
    assert_eq!(fleet.spend(), CLIENT_SLACK, "after the loss of all VMs");
}

/// Guards against an intact fleet that does not have its whole slack a window after VMs were removed, the scheduler
/// among them or not.
#[test]
fn an_intact_fleet_has_its_whole_slack_after_vms_are_removed() {
    for (removed, time) in [(1..66, WINDOW + HEARTBEAT), (0..5, TAKEOVER)] {
        let mut fleet = Fleet::new(72);
        fleet.advance(HEARTBEAT);
        fleet.remove(removed.clone());
        fleet.advance(time);
        assert_eq!(fleet.spend(), CLIENT_SLACK, "without {removed:?}");
    }
}

/// Guards against a partition that forms while VMs restart, and takes the VMs that it knows for the whole fleet. Its
/// scheduler is new, or was the one of the fleet until then. The fleet's scheduler reaches the directory.
#[test]
fn a_partition_formed_in_a_restart_does_not_count_as_a_small_fleet() {
    for (scheduler, share) in [(0, 11), (0, 23), (1, 23)] {
        let mut fleet = Fleet::new(72);
        fleet.apply(&Incident::Elect { vm: scheduler });
        fleet.advance(TAKEOVER);
        fleet.apply(&Incident::Stop { from: 24, share: 76 });
        fleet.advance(STOP);
        fleet.apply(&Incident::Elect { vm: 0 });
        fleet.apply(&Incident::Partition { from: 2, share, together: true });
        assert_eq!(fleet.running(), 17);
        for _ in 0..60 {
            fleet.advance(HEARTBEAT);
            let now = fleet.now;
            fleet.vms[0].budget.confirm_size(now);
            fleet.spend();
            fleet.assert_within();
        }
    }
}

/// Retries that a budget allows 20 s after peers turned to it from another scheduler. It lists 17 VMs.
fn spend_of(peers: usize, mut budget: Budget, start: Instant, confirms: bool) -> usize {
    let mut now = start;
    for second in 0..20 {
        now = start + HEARTBEAT * second;
        for index in 1..=peers {
            let vm = Holder::Peer(format!("vm-{index}").parse().unwrap());
            budget.record_contact(&vm, second > 4, 17, now);
        }
        if confirms {
            budget.confirm_size(now);
        }
    }
    (0..200).filter(|_| budget.charge(Tag::of("model"), Charge::Withdraw, now).is_ok()).count()
}

/// Guards against a scheduler that holds no slack for as long as a listed VM is silent: the directory may confirm the
/// list, or may have confirmed a larger one before.
#[test]
fn a_scheduler_that_does_not_reach_all_vms_has_slack_by_a_confirmed_list() {
    let (start, new) = (Instant::now(), || Budget::new(parameters(72)));
    assert_eq!(spend_of(8, new(), start, false), 0, "17 VMs may be too few");
    assert_eq!(spend_of(8, new(), start, true), CLIENT_SLACK * 8 / 17);
    let mut budget = new();
    for second in 0..6 {
        budget.record_size(72, start + HEARTBEAT * second);
        budget.confirm_size(start + HEARTBEAT * second);
    }
    assert_eq!(spend_of(8, budget, start + HEARTBEAT * 6, false), CLIENT_SLACK * 8 / 72);
}

/// Guards against a scheduler without requests of its own that holds no slack while the directory is unavailable,
/// although all other VMs send heartbeats to it.
#[test]
fn a_scheduler_without_own_requests_confirms_the_list_by_its_peers() {
    let budget = Budget::new(parameters(72));
    assert_eq!(spend_of(16, budget, Instant::now(), false), CLIENT_SLACK * 16 / 17);
}

fn incident() -> impl Strategy<Value = Incident> {
    let range = || (0usize..100, 1usize..100);
    prop_oneof![
        3 => (0usize..8).prop_map(|each| Incident::Traffic { each }),
        4 => (1usize..30).prop_map(|each| Incident::Failures { each }),
        2 => range().prop_map(|(from, share)| Incident::Kill { from, share }),
        2 => range().prop_map(|(from, share)| Incident::Stop { from, share }),
        2 => (range(), any::<bool>())
            .prop_map(|((from, share), together)| Incident::Partition { from, share, together }),
        1 => Just(Incident::Heal),
        2 => (0..MAX_SCHEDULERS).prop_map(|vm| Incident::Elect { vm }),
        1 => Just(Incident::Reload),
    ]
}

proptest! {
    /// Guards against any sequence of restarts, withdrawals, partitions, changes of the scheduler and reloads that
    /// leads to more retries than the fleet may send in a window.
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
            fleet.advance(Duration::from_millis(*then_ms));
        }
    }
}
