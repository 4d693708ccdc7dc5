//! A simulated fleet without network: VMs that schedule, send requests and exchange announcements, and upstreams that
//! state rate limits.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use foldlock_base::id;
use foldlock_base::size::{Rate, Tokens};
use foldlock_request::budget::Charge;
use foldlock_request::caller::Caller;
use foldlock_request::cluster::{Cluster, Holder, Listed};
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::flight::Flight;
use foldlock_request::placement::{Placement, Rejection, Requirements};
use foldlock_request::rate_limit::Entry;
use foldlock_request::scheduler::{Key, Reply, Scheduler};
use foldlock_request::tag::Tag;
use foldlock_version::routes::{Bounds, Service, Table};

/// Time step of the simulation.
pub(crate) const STEP: Duration = Duration::from_millis(10);

/// Heartbeat interval of a VM.
const HEARTBEAT: Duration = Duration::from_millis(200);

/// Period over which the requests of an upstream are counted.
pub(crate) const SPAN: Duration = Duration::from_secs(4);

/// Time after which a VM has to comply with a limit that it received.
pub(crate) const NOTICE_DELAY: Duration = Duration::from_millis(500);

/// Time after an incident for which the requests of a VM are not counted.
const EXEMPT_AFTER_INCIDENT: Duration = Duration::from_secs(3);

/// Number of VMs that may become the scheduler, and to which all others announce their dispatches.
pub(crate) const SCHEDULERS: usize = 3;

/// Number of upstreams of the service.
pub(crate) const UPSTREAMS: usize = 2;

pub(crate) fn upstream(index: usize) -> id::Upstream {
    format!("i-{index}").parse().unwrap()
}

pub(crate) fn vm_name(index: usize) -> id::Vm {
    format!("vm-{index}").parse().unwrap()
}

pub(crate) fn rate(per_s: f64) -> Rate {
    Rate::per_second(per_s).unwrap()
}

fn service() -> Service {
    Service { name: "plain".to_owned(), max_connections: 99, engine: None, cold_per_s: None }
}

pub(crate) fn table() -> Table {
    let time = Duration::from_secs(9);
    let bounds =
        Bounds { max_header_bytes: 9, max_body_bytes: 9, header_timeout: time, idle_timeout: time };
    Table::builder(1, bounds).service(service()).build()
}

pub(crate) fn cluster() -> Cluster {
    let mut cluster = Cluster::default();
    for index in 0..UPSTREAMS {
        cluster.list(Listed {
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
    cluster
}

pub(crate) fn requirements(now: Instant, number: u64) -> Requirements {
    Requirements {
        prompt: Tokens(0),
        memory: Tokens(0),
        objective: Duration::from_millis(300),
        pause: None,
        arrived: now,
        queue_timeout: Duration::from_secs(4),
        excluded: Vec::new(),
        connected: Vec::new(),
        hall: "a".to_owned(),
        reservation_timeout: Duration::from_secs(2),
        fingerprint: Fingerprint::of("", "", &number.to_string(), b""),
        offset: 0,
        schedulers: 1,
        charge: Charge::Free,
        caller: Caller::default(),
    }
}

pub(crate) struct Vm {
    pub(crate) cluster: Cluster,
    pub(crate) scheduler: Scheduler,
    pub(crate) incarnation: u64,
    /// Number of requests of this process.
    pub(crate) numbers: u64,
    /// Until when its process is suspended.
    pub(crate) suspended: Option<Instant>,
    /// Whether it is partitioned from all other VMs.
    pub(crate) partitioned: bool,
    /// The scheduler that it uses in place of the fleet's.
    pub(crate) own_scheduler: Option<usize>,
    /// When its last incident occurred, or ends.
    pub(crate) disturbed: Option<Instant>,
    /// When this VM first received a limit from each upstream.
    pub(crate) limited_since: [Option<Instant>; UPSTREAMS],
}

/// A request in flight at an upstream.
pub(crate) struct Running {
    vm: usize,
    incarnation: u64,
    number: u64,
    upstream: usize,
    sent: Instant,
    /// When its response begins.
    ends: Instant,
    /// The limit at the time of sending.
    limit: Option<Rate>,
}

pub(crate) struct Arrival {
    pub(crate) at: Instant,
    /// Whether it is counted: its VM had received a limit in time and had no recent incident.
    pub(crate) counts: bool,
}

pub(crate) struct Fleet {
    pub(crate) table: Table,
    pub(crate) vms: Vec<Vm>,
    pub(crate) scheduler: usize,
    pub(crate) incarnations: u64,
    pub(crate) now: Instant,
    pub(crate) next_heartbeat: Instant,
    pub(crate) limits: [Option<Rate>; UPSTREAMS],
    /// The limits that each upstream stated, and when.
    pub(crate) stated: [Vec<(Instant, Option<Rate>)>; UPSTREAMS],
    pub(crate) running: VecDeque<Running>,
    pub(crate) arrivals: [Vec<Arrival>; UPSTREAMS],
    pub(crate) refused: usize,
}

impl Fleet {
    pub(crate) fn new(count: usize) -> Fleet {
        let now = Instant::now();
        let mut fleet = Fleet {
            table: table(),
            vms: Vec::new(),
            scheduler: 0,
            incarnations: 0,
            now,
            next_heartbeat: now,
            limits: [None; UPSTREAMS],
            stated: Default::default(),
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

    pub(crate) fn start(&mut self) -> Vm {
        self.incarnations += 1;
        Vm {
            cluster: cluster(),
            scheduler: Scheduler::default(),
            incarnation: self.incarnations,
            numbers: 0,
            suspended: None,
            partitioned: false,
            own_scheduler: None,
            disturbed: None,
            limited_since: [None; UPSTREAMS],
        }
    }

    pub(crate) fn set_limit(&mut self, upstream: usize, limit: Option<Rate>) {
        self.limits[upstream] = limit;
        self.stated[upstream].push((self.now, limit));
    }

    fn is_suspended(&self, vm: usize) -> bool {
        self.vms[vm].suspended.is_some_and(|until| until > self.now)
    }

    /// Whether a message from one VM reaches another.
    fn reaches(&self, from: usize, to: usize) -> bool {
        let partitioned = self.vms[from].partitioned || self.vms[to].partitioned;
        (!partitioned || from == to) && !self.is_suspended(to)
    }

    /// The scheduler that a VM uses: the first one from its preferred one on that it reaches.
    fn scheduler_of(&self, vm: usize) -> Option<usize> {
        let first = self.vms[vm].own_scheduler.unwrap_or(self.scheduler);
        let of = SCHEDULERS.min(self.vms.len());
        let order = (0..of).map(|step| (first + step) % of);
        order.into_iter().find(|scheduler| self.reaches(vm, *scheduler))
    }

    /// Simulates `per_s` requests per second over the whole fleet.
    pub(crate) fn load(&mut self, time: Duration, per_s: usize) {
        let end = self.now + time;
        let mut due = 0.0;
        while self.now < end {
            self.now += STEP;
            self.respond();
            if self.now >= self.next_heartbeat {
                self.next_heartbeat = self.now + HEARTBEAT;
                self.heartbeats();
            }
            self.place_queued();
            due += per_s as f64 * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.request();
            }
        }
    }

    fn request(&mut self) {
        let vm = (self.incarnations as usize * 7
            + self.arrivals.iter().map(Vec::len).sum::<usize>()
            + self.refused)
            % self.vms.len();
        if self.is_suspended(vm) {
            self.refused += 1;
            return;
        }
        self.vms[vm].numbers += 1;
        let number = self.vms[vm].numbers;
        let requirements = requirements(self.now, number);
        // A grant of a scheduler without the current limit is cancelled once, after the limit has been announced to it.
        for _ in 0..2 {
            let Some(scheduler) = self.scheduler_of(vm) else { break };
            let key = self.key(vm, scheduler, number);
            let Vm { cluster, scheduler: of, .. } = &mut self.vms[scheduler];
            let answer = of.request(
                cluster,
                &self.table,
                key.clone(),
                Tag::of("plain"),
                requirements.clone(),
                self.now,
            );
            match answer {
                Reply::Granted(placement, _) if self.send(vm, scheduler, number, &placement) => {
                    return;
                }
                Reply::Granted(..) => {
                    let now = self.now;
                    let Vm { cluster, scheduler: of, .. } = &mut self.vms[scheduler];
                    of.cancel(cluster, &key, now);
                }
                Reply::Queued => return,
                Reply::Rejected(rejection) => {
                    assert!(matches!(rejection, Rejection::RateLimited { .. } | Rejection::Full));
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

    /// Sends a granted request, unless its scheduler had an older limit. In that case the current one is announced to
    /// it.
    fn send(&mut self, vm: usize, scheduler: usize, number: u64, placement: &Placement) -> bool {
        let id = &placement.flight.upstream;
        if !self.vms[vm].cluster.may_send(id, placement.limit) {
            self.announce_limit(vm, scheduler, id);
            return false;
        }
        if let Some(limit) = placement.limit {
            self.merge_limit(vm, scheduler, Entry { upstream: Tag::of(id.as_str()), limit });
        }
        let upstream = (0..UPSTREAMS).find(|index| upstream(*index) == *id).unwrap();
        let now = self.now;
        let of = &mut self.vms[vm];
        of.cluster.begin_attempt(number, flight(id), now);
        let was_noticed =
            of.limited_since[upstream].is_some_and(|since| since + NOTICE_DELAY <= now);
        let is_undisturbed =
            !of.partitioned && of.disturbed.is_none_or(|at| at + EXEMPT_AFTER_INCIDENT < now);
        self.arrivals[upstream].push(Arrival { at: now, counts: was_noticed && is_undisturbed });
        let sends = self.arrivals[upstream].len() as u64;
        self.running.push_back(Running {
            vm,
            incarnation: of.incarnation,
            number,
            upstream,
            sent: now,
            // Some responses take less time than a heartbeat interval, and some overtake others.
            ends: now + Duration::from_millis([10, 30, 10, 30, 400][sends as usize % 5]),
            limit: self.limits[upstream],
        });
        true
    }

    fn announce_limit(&mut self, vm: usize, scheduler: usize, id: &id::Upstream) {
        let limit = self.vms[vm].cluster.limit_of(id).unwrap().limit;
        self.merge_limit(scheduler, vm, Entry { upstream: Tag::of(id.as_str()), limit });
    }

    fn merge_limit(&mut self, vm: usize, from: usize, entry: Entry) {
        let now = self.now;
        self.vms[vm].cluster.merge_limit(entry, &vm_name(from), now);
    }

    /// Delivers the responses that begin now. Half of them state the limit of the time at which the request was sent,
    /// as if another response had overtaken them.
    fn respond(&mut self) {
        let now = self.now;
        let (over, left): (Vec<Running>, Vec<Running>) =
            std::mem::take(&mut self.running).into_iter().partition(|running| running.ends <= now);
        self.running = left.into();
        for running in over {
            let Running { vm, incarnation, number, upstream: index, sent, limit, .. } = running;
            if self.vms[vm].incarnation != incarnation || self.is_suspended(vm) {
                continue;
            }
            let limit = if number.is_multiple_of(2) { limit } else { self.limits[index] };
            let of = &mut self.vms[vm];
            of.cluster.end_attempt(number, now);
            let tag = Tag::of(upstream(index).as_str());
            let changed = of.cluster.observe_limit(tag, limit, sent, &vm_name(vm), now);
            if limit.is_some() {
                of.limited_since[index].get_or_insert(now);
            }
            if let Some(id) = changed
                && let Some(scheduler) = self.scheduler_of(vm)
            {
                self.announce_limit(vm, scheduler, &id);
            }
        }
    }

    fn heartbeats(&mut self) {
        for vm in 0..self.vms.len() {
            if self.is_suspended(vm) {
                continue;
            }
            let now = self.now;
            let of = &mut self.vms[vm].cluster;
            let (limits, sent, flights) =
                (of.announced_limits(now), of.announced_dispatches(now), of.announced_flights(now));
            for scheduler in (0..SCHEDULERS.min(self.vms.len())).filter(|index| *index != vm) {
                if !self.reaches(vm, scheduler) {
                    continue;
                }
                let cluster = &mut self.vms[scheduler].cluster;
                limits.iter().for_each(|entry| {
                    cluster.merge_limit(*entry, &vm_name(vm), now);
                });
                cluster.merge_dispatches(&vm_name(vm), &sent, now);
                cluster.merge_flights(&vm_name(vm), &flights, u64::MAX, now);
            }
        }
        // Schedulers announce their limits to all other VMs.
        for scheduler in 0..SCHEDULERS.min(self.vms.len()) {
            let limits = self.vms[scheduler].cluster.announced_limits(self.now);
            for vm in (0..self.vms.len()).filter(|vm| *vm != scheduler) {
                if !self.is_suspended(scheduler) && self.reaches(scheduler, vm) {
                    limits.iter().for_each(|entry| self.merge_limit(vm, scheduler, *entry));
                }
            }
        }
    }

    /// Places the requests that are queued at the schedulers.
    fn place_queued(&mut self) {
        for scheduler in 0..SCHEDULERS.min(self.vms.len()) {
            if self.is_suspended(scheduler) {
                continue;
            }
            let Vm { cluster, scheduler: of, .. } = &mut self.vms[scheduler];
            for (key, answer) in of.place_queued(cluster, &self.table, self.now) {
                let vm = match &key.holder {
                    Holder::Own => scheduler,
                    Holder::Peer(vm) => vm.as_str()[3..].parse().unwrap(),
                };
                let is_up = self.vms[vm].incarnation == key.incarnation && !self.is_suspended(vm);
                match answer {
                    Reply::Granted(placement, _) if is_up && self.reaches(scheduler, vm) => {
                        self.send(vm, scheduler, key.number, &placement);
                    }
                    Reply::Rejected(_) => self.refused += 1,
                    _ => {}
                }
            }
        }
    }
}

fn flight(upstream: &id::Upstream) -> Flight {
    Flight {
        upstream: upstream.clone(),
        helpers: Vec::new(),
        part_ms: 0.0,
        memory: 0,
        pause_ms: u32::MAX,
        decoding: false,
        isolated: None,
    }
}
