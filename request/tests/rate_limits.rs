//! Upstreams that name how many requests a second they take from all VMs together, while VMs are killed, frozen and cut
//! off, and follow each other as schedulers.
//!
//! Guards against an upstream that gets more in four seconds than one and a half times its limit and five requests beside,
//! summed over the VMs that it told half a second before or earlier, and against a limit that is not used.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use foldlock_base::id;
use foldlock_base::size::{Rate, Tokens};
use foldlock_request::board::{Board, Holder, Listed};
use foldlock_request::budget::Charge;
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::flight::Flight;
use foldlock_request::placement::{Ask, Place, Rejection};
use foldlock_request::rate_limit::{Limit, Told};
use foldlock_request::scheduler::{Answer, Key, Scheduler};
use foldlock_request::tag::Tag;
use foldlock_version::routes::{Bounds, Service, Table};
use proptest::prelude::*;

/// The time between two looks at the fleet.
const STEP: Duration = Duration::from_millis(10);

/// The time between the heartbeats of a VM.
const HEARTBEAT: Duration = Duration::from_millis(200);

/// The time over which an upstream counts.
const SPAN: Duration = Duration::from_secs(4);

/// The time after which a VM is bound by what it was told.
const TOLD: Duration = Duration::from_millis(500);

/// The time for which a disturbance excuses a VM.
const EXCUSED: Duration = Duration::from_secs(3);

/// The VMs that may schedule, and that all others tell what they sent.
const SCHEDULERS: usize = 3;

/// The upstreams of the service.
const UPSTREAMS: usize = 2;

fn upstream(index: usize) -> id::Upstream {
    format!("i-{index}").parse().unwrap()
}

fn vm_name(index: usize) -> id::Vm {
    format!("vm-{index}").parse().unwrap()
}

fn rate(per_s: f64) -> Rate {
    Rate::per_second(per_s).unwrap()
}

fn service() -> Service {
    Service { name: "plain".to_owned(), connections: 99, engine: None, cold_per_s: None }
}

fn table() -> Table {
    let time = Duration::from_secs(9);
    let bounds = Bounds { header_bytes: 9, body_bytes: 9, header_time: time, idle_time: time };
    Table::builder(1, bounds).service(service()).build()
}

fn board() -> Board {
    let mut board = Board::default();
    for index in 0..UPSTREAMS {
        board.list(Listed {
            id: upstream(index),
            born: None,
            revision: 0.into(),
            service: "plain".to_owned(),
            address: format!("10.0.0.{index}:80"),
            hall: "a".to_owned(),
            slots: 600,
            leaving: false,
            cold_ms: 0,
        });
    }
    board
}

fn ask(now: Instant, number: u64) -> Ask {
    Ask {
        prompt: Tokens(0),
        memory: Tokens(0),
        objective: Duration::from_millis(300),
        pause: None,
        arrived: now,
        limit: Duration::from_secs(4),
        avoid: Vec::new(),
        connected: Vec::new(),
        hall: "a".to_owned(),
        hold_limit: Duration::from_secs(2),
        fingerprint: Fingerprint::of("", "", &number.to_string(), b""),
        offset: 0,
        placers: 1,
        charge: Charge::Free,
    }
}

struct Vm {
    board: Board,
    scheduler: Scheduler,
    incarnation: u64,
    /// Requests of this process.
    numbers: u64,
    /// Until when it does nothing.
    frozen: Option<Instant>,
    /// Whether it reaches no other VM.
    cut: bool,
    /// The scheduler that it asks in place of the fleet's.
    asks: Option<usize>,
    disturbed: Option<Instant>,
    /// When each upstream first told this VM of a limit.
    told: [Option<Instant>; UPSTREAMS],
}

/// A request that an upstream works on.
struct Running {
    vm: usize,
    incarnation: u64,
    number: u64,
    upstream: usize,
    sent: Instant,
    /// When its answer begins, and what that says.
    ends: Instant,
    limit: Option<Rate>,
}

struct Arrival {
    at: Instant,
    /// Whether it counts: its VM was told in time, and nothing disturbed it.
    counts: bool,
}

#[derive(Debug, Clone)]
enum Incident {
    /// So much time passes while each of some VMs sends a request every step or so.
    Load {
        ms: u64,
        each_s: usize,
    },
    /// An upstream names a limit, in quarters of a request a second, or none.
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
    /// Some VMs ask another scheduler than the rest.
    Split {
        from: usize,
        scheduler: usize,
    },
    Heal,
    Elect {
        vm: usize,
    },
}

struct Fleet {
    table: Table,
    vms: Vec<Vm>,
    scheduler: usize,
    starts: u64,
    now: Instant,
    next_heartbeat: Instant,
    limits: [Option<Rate>; UPSTREAMS],
    /// When each upstream named which limit.
    named: [Vec<(Instant, Option<Rate>)>; UPSTREAMS],
    running: VecDeque<Running>,
    arrivals: [Vec<Arrival>; UPSTREAMS],
    refused: usize,
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let now = Instant::now();
        let mut fleet = Fleet {
            table: table(),
            vms: Vec::new(),
            scheduler: 0,
            starts: 0,
            now,
            next_heartbeat: now,
            limits: [None; UPSTREAMS],
            named: Default::default(),
            running: VecDeque::new(),
            arrivals: Default::default(),
            refused: 0,
        };
        (0..count).for_each(|_| {
            let vm = fleet.start();
            fleet.vms.push(vm);
        });
        fleet
    }

    fn start(&mut self) -> Vm {
        self.starts += 1;
        Vm {
            board: board(),
            scheduler: Scheduler::default(),
            incarnation: self.starts,
            numbers: 0,
            frozen: None,
            cut: false,
            asks: None,
            disturbed: None,
            told: [None; UPSTREAMS],
        }
    }

    fn name(&mut self, upstream: usize, limit: Option<Rate>) {
        self.limits[upstream] = limit;
        self.named[upstream].push((self.now, limit));
    }

    fn is_frozen(&self, vm: usize) -> bool {
        self.vms[vm].frozen.is_some_and(|until| until > self.now)
    }

    /// Whether a message gets from one VM to another.
    fn reaches(&self, from: usize, to: usize) -> bool {
        let cut = self.vms[from].cut || self.vms[to].cut;
        (!cut || from == to) && !self.is_frozen(to)
    }

    /// The scheduler that a VM asks: the next one where that does not answer.
    fn scheduler_of(&self, vm: usize) -> Option<usize> {
        let first = self.vms[vm].asks.unwrap_or(self.scheduler);
        let of = SCHEDULERS.min(self.vms.len());
        let order = (0..of).map(|step| (first + step) % of);
        order.into_iter().find(|scheduler| self.reaches(vm, *scheduler))
    }

    fn play(&mut self, incident: &Incident) {
        let count = self.vms.len();
        match *incident {
            Incident::Load { ms, each_s } => self.load(Duration::from_millis(ms), each_s),
            Incident::Name { upstream, quarters } => {
                self.name(upstream, quarters.map(|quarters| rate(f64::from(quarters) / 4.0)));
            }
            Incident::Kill { vm } => {
                let told = self.vms[vm % count].told;
                self.vms[vm % count] = self.start();
                self.vms[vm % count].told = told;
                self.vms[vm % count].disturbed = Some(self.now);
                for other in 0..count {
                    let now = self.now;
                    self.vms[other].board.peer_lost(&vm_name(vm % count), now);
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
                self.vms[range].iter_mut().for_each(|vm| vm.asks = Some(scheduler));
            }
            Incident::Heal => {
                for vm in &mut self.vms {
                    if std::mem::take(&mut vm.cut) {
                        vm.disturbed = Some(self.now);
                    }
                    vm.asks = None;
                }
            }
            Incident::Elect { vm } => self.scheduler = vm % SCHEDULERS.min(count),
        }
    }

    /// Requests come, so many a second in all, at one VM after the other.
    fn load(&mut self, time: Duration, each_s: usize) {
        let end = self.now + time;
        let mut due = 0.0;
        while self.now < end {
            self.now += STEP;
            self.answer();
            if self.now >= self.next_heartbeat {
                self.next_heartbeat = self.now + HEARTBEAT;
                self.heartbeats();
            }
            self.look();
            due += each_s as f64 * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.request();
            }
        }
    }

    fn request(&mut self) {
        let vm = (self.starts as usize * 7
            + self.arrivals.iter().map(Vec::len).sum::<usize>()
            + self.refused)
            % self.vms.len();
        if self.is_frozen(vm) {
            self.refused += 1;
            return;
        }
        self.vms[vm].numbers += 1;
        let number = self.vms[vm].numbers;
        let ask = ask(self.now, number);
        // A grant without knowledge of the limit is given back once, with the limit.
        for _ in 0..2 {
            let Some(scheduler) = self.scheduler_of(vm) else { break };
            let key = self.key(vm, scheduler, number);
            let Vm { board, scheduler: of, .. } = &mut self.vms[scheduler];
            let answer =
                of.ask(board, &self.table, key.clone(), Tag::of("plain"), ask.clone(), self.now);
            match answer {
                Answer::Placed(place, _) if self.send(vm, scheduler, number, &place) => return,
                Answer::Placed(..) => {
                    let now = self.now;
                    let Vm { board, scheduler: of, .. } = &mut self.vms[scheduler];
                    of.cancel(board, &key, now);
                }
                Answer::Waits => return,
                Answer::Rejected(rejection) => {
                    assert!(matches!(rejection, Rejection::Limited { .. } | Rejection::Full));
                    break;
                }
            }
        }
        self.refused += 1;
    }

    fn key(&self, vm: usize, scheduler: usize, number: u64) -> Key {
        let holder = if vm == scheduler { Holder::Own } else { Holder::Peer(vm_name(vm)) };
        Key { holder, incarnation: self.vms[vm].incarnation, number }
    }

    /// Sends on a grant, unless its scheduler knew less of the limit, which it is told then.
    fn send(&mut self, vm: usize, scheduler: usize, number: u64, place: &Place) -> bool {
        let id = &place.flight.upstream;
        if !self.vms[vm].board.may_send(id, place.limit) {
            self.tell_limit(vm, scheduler, id);
            return false;
        }
        if let Some(limit) = place.limit {
            self.hear_limit(vm, scheduler, Told { upstream: Tag::of(id.as_str()), limit });
        }
        let upstream = (0..UPSTREAMS).find(|index| upstream(*index) == *id).unwrap();
        let now = self.now;
        let of = &mut self.vms[vm];
        of.board.enter(number, flight(id), now);
        let was_told = of.told[upstream].is_some_and(|told| told + TOLD <= now);
        let is_calm = !of.cut && of.disturbed.is_none_or(|at| at + EXCUSED < now);
        self.arrivals[upstream].push(Arrival { at: now, counts: was_told && is_calm });
        let sends = self.arrivals[upstream].len() as u64;
        self.running.push_back(Running {
            vm,
            incarnation: of.incarnation,
            number,
            upstream,
            sent: now,
            // Some answers take less time than a heartbeat, and some overtake others.
            ends: now + Duration::from_millis([10, 30, 400][sends as usize % 3]),
            limit: self.limits[upstream],
        });
        true
    }

    fn tell_limit(&mut self, vm: usize, scheduler: usize, id: &id::Upstream) {
        let limit = self.vms[vm].board.limit_of(id).unwrap().limit;
        self.hear_limit(scheduler, vm, Told { upstream: Tag::of(id.as_str()), limit });
    }

    fn hear_limit(&mut self, vm: usize, from: usize, told: Told) {
        let now = self.now;
        self.vms[vm].board.hear_limit(told, &vm_name(from), now);
    }

    /// Answers that begin now. Half of them say what held when they were asked for, as if another had overtaken them.
    fn answer(&mut self) {
        let now = self.now;
        let (over, left): (Vec<Running>, Vec<Running>) =
            std::mem::take(&mut self.running).into_iter().partition(|running| running.ends <= now);
        self.running = left.into();
        for running in over {
            let Running { vm, incarnation, number, upstream: index, sent, limit, .. } = running;
            if self.vms[vm].incarnation != incarnation || self.is_frozen(vm) {
                continue;
            }
            let limit = if number.is_multiple_of(2) { limit } else { self.limits[index] };
            let of = &mut self.vms[vm];
            of.board.leave(number, now);
            let tag = Tag::of(upstream(index).as_str());
            let news = of.board.state_limit(tag, limit, sent, &vm_name(vm), now);
            if limit.is_some() {
                of.told[index].get_or_insert(now);
            }
            if let Some(id) = news
                && let Some(scheduler) = self.scheduler_of(vm)
            {
                self.tell_limit(vm, scheduler, &id);
            }
        }
    }

    fn heartbeats(&mut self) {
        for vm in 0..self.vms.len() {
            if self.is_frozen(vm) {
                continue;
            }
            let now = self.now;
            let of = &mut self.vms[vm].board;
            let (limits, sent, flights) = (of.told_limits(now), of.told_sent(now), of.told(now));
            for scheduler in (0..SCHEDULERS.min(self.vms.len())).filter(|index| *index != vm) {
                if !self.reaches(vm, scheduler) {
                    continue;
                }
                let board = &mut self.vms[scheduler].board;
                limits.iter().for_each(|told| {
                    board.hear_limit(*told, &vm_name(vm), now);
                });
                board.hear_sent(&vm_name(vm), &sent, now);
                board.hear(&vm_name(vm), &flights, u64::MAX, now);
            }
        }
        // Schedulers tell all others what limits they know.
        for scheduler in 0..SCHEDULERS.min(self.vms.len()) {
            let limits = self.vms[scheduler].board.told_limits(self.now);
            for vm in (0..self.vms.len()).filter(|vm| *vm != scheduler) {
                if !self.is_frozen(scheduler) && self.reaches(scheduler, vm) {
                    limits.iter().for_each(|told| self.hear_limit(vm, scheduler, *told));
                }
            }
        }
    }

    /// What waits at a scheduler is placed.
    fn look(&mut self) {
        for scheduler in 0..SCHEDULERS.min(self.vms.len()) {
            if self.is_frozen(scheduler) {
                continue;
            }
            let Vm { board, scheduler: of, .. } = &mut self.vms[scheduler];
            for (key, answer) in of.look(board, &self.table, self.now) {
                let vm = match &key.holder {
                    Holder::Own => scheduler,
                    Holder::Peer(vm) => vm.as_str()[3..].parse().unwrap(),
                };
                let lives = self.vms[vm].incarnation == key.incarnation && !self.is_frozen(vm);
                match answer {
                    Answer::Placed(place, _) if lives && self.reaches(scheduler, vm) => {
                        self.send(vm, scheduler, key.number, &place);
                    }
                    Answer::Rejected(_) => self.refused += 1,
                    _ => {}
                }
            }
        }
    }

    /// Each span of each upstream, by the highest limit that it named within it.
    fn check(&self) -> Result<(), TestCaseError> {
        for index in 0..UPSTREAMS {
            let counted: Vec<Instant> =
                self.arrivals[index].iter().filter(|a| a.counts).map(|a| a.at).collect();
            for last in &counted {
                let from = *last - SPAN;
                let Some(limit) = self.highest(index, from - TOLD, *last) else { continue };
                let came = counted.iter().filter(|at| **at > from && *at <= last).count();
                let most = (1.5 * limit.over(SPAN) + 5.0) as usize;
                prop_assert!(came <= most, "{came} of {most} at {limit}, upstream {index}");
            }
        }
        Ok(())
    }

    /// The highest limit that an upstream named in this time; none if it had none for a part of it.
    fn highest(&self, upstream: usize, from: Instant, to: Instant) -> Option<Rate> {
        let named = &self.named[upstream];
        let before = named.iter().rev().find(|(at, _)| *at <= from)?;
        let within = named.iter().filter(|(at, _)| *at > from && *at <= to);
        let mut highest = before.1?;
        for (_, limit) in within {
            highest = if (*limit)? > highest { (*limit)? } else { highest };
        }
        Some(highest)
    }
}

fn flight(upstream: &id::Upstream) -> Flight {
    Flight {
        upstream: upstream.clone(),
        helpers: Vec::new(),
        part_ms: 0.0,
        memory: 0,
        pause_ms: u32::MAX,
        writing: false,
        alone: None,
    }
}

fn incident() -> impl Strategy<Value = Incident> {
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

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn the_fleet_keeps_to_rate_limits_through_any_incidents(
        count in prop_oneof![3 => Just(6_usize), 1 => Just(72), 1 => Just(195)],
        incidents in proptest::collection::vec(incident(), 1..40),
    ) {
        let mut fleet = Fleet::new(count);
        fleet.name(0, Some(rate(2.5)));
        fleet.load(Duration::from_secs(2), 60);
        incidents.iter().for_each(|incident| fleet.play(incident));
        fleet.load(SPAN, 60);
        fleet.check()?;
    }
}

/// The largest fleet, with two schedulers at once, each of which is killed.
#[test]
fn two_schedulers_at_once_do_not_each_spend_the_rate() {
    for count in [6, 72, 195, 985] {
        for per_s in [0.5, 1.0, 2.6, 10.0] {
            let mut fleet = Fleet::new(count);
            (0..UPSTREAMS).for_each(|index| fleet.name(index, Some(rate(per_s))));
            fleet.load(Duration::from_secs(2), 80);
            fleet.play(&Incident::Split { from: 50, scheduler: 1 });
            fleet.load(SPAN + SPAN, 80);
            for vm in [0, 1, 0] {
                fleet.play(&Incident::Kill { vm });
                fleet.load(Duration::from_secs(1), 80);
            }
            fleet.load(SPAN, 80);
            fleet.check().unwrap();
        }
    }
}

/// Callers are served at the rate that is named while they wait.
#[test]
fn the_rate_is_used_while_callers_wait() {
    for per_s in [1.0, 2.6, 10.0, 40.0] {
        let mut fleet = Fleet::new(6);
        (0..UPSTREAMS).for_each(|index| fleet.name(index, Some(rate(per_s))));
        fleet.load(Duration::from_secs(2), 200);
        let before: usize = fleet.arrivals.iter().map(Vec::len).sum();
        fleet.load(Duration::from_secs(10), 200);
        let came = fleet.arrivals.iter().map(Vec::len).sum::<usize>() - before;
        let least = 0.8 * per_s * 10.0 * UPSTREAMS as f64;
        assert!(came as f64 >= least, "{came} of {least} at {per_s}/s");
        fleet.check().unwrap();
    }
}

/// All that was learnt before the limit ended is forgotten with the first answer that was asked for afterwards.
#[test]
fn a_limit_that_has_ended_binds_nobody() {
    let mut fleet = Fleet::new(6);
    (0..UPSTREAMS).for_each(|index| fleet.name(index, Some(rate(1.0))));
    fleet.load(Duration::from_secs(4), 100);
    (0..UPSTREAMS).for_each(|index| fleet.name(index, None));
    fleet.load(Duration::from_secs(3), 100);
    let (before, refused) = (fleet.arrivals.iter().map(Vec::len).sum::<usize>(), fleet.refused);
    fleet.load(Duration::from_secs(2), 100);
    let came = fleet.arrivals.iter().map(Vec::len).sum::<usize>() - before;
    assert_eq!((came, fleet.refused - refused), (200, 0));
}

/// An upstream that takes nothing at all is asked now and then whether that still holds.
#[test]
fn an_upstream_that_takes_nothing_is_noticed_when_it_takes_requests_again() {
    let mut fleet = Fleet::new(6);
    fleet.name(0, Some(rate(0.0)));
    fleet.load(Duration::from_secs(30), 20);
    let of_first = fleet.arrivals[0].len();
    assert!(of_first <= 20, "{of_first}");
    fleet.name(0, None);
    fleet.load(Duration::from_secs(15), 20);
    let before = fleet.arrivals[0].len();
    fleet.load(Duration::from_secs(5), 20);
    assert!(fleet.arrivals[0].len() > before + 20, "{}", fleet.arrivals[0].len() - before);
}

/// A limit is ordered by who knew of it, not by when it was heard.
#[test]
fn vms_come_to_the_same_limit_in_whatever_order_they_hear() {
    let mut boards = [board(), board(), board()];
    let tag = Tag::of("i-0");
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let vm = vm_name(0);
    boards[0].state_limit(tag, Some(rate(5.0)), now, &vm, now).unwrap();
    // Sent before the limit was known: the stricter holds, and no limit at all says nothing.
    assert!(boards[0].state_limit(tag, None, now - STEP, &vm, now + STEP).is_none());
    assert!(boards[0].state_limit(tag, Some(rate(8.0)), now - STEP, &vm, now + STEP).is_none());
    let first = boards[0].told_limits(now + STEP)[0];
    boards[0].state_limit(tag, Some(rate(3.0)), now - STEP, &vm, now + STEP).unwrap();
    let second = boards[0].told_limits(now + STEP)[0];
    // Sent after it.
    boards[0].state_limit(tag, None, later, &vm, later).unwrap();
    let third = boards[0].told_limits(later)[0];
    assert_eq!(third.limit, Limit { version: 2, rate: None });
    for (board, order) in
        boards[1..].iter_mut().zip([[second, first, third], [third, first, second]])
    {
        order.iter().for_each(|told| {
            board.hear_limit(*told, &vm, later);
        });
    }
    for board in &boards {
        assert_eq!(board.limit_of(&upstream(0)).unwrap().limit, third.limit);
    }
}
