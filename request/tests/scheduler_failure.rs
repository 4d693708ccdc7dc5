//! What callers see when the scheduler fails under load: of the queue, the shares, the promises and the forecasts.
//!
//! Load pattern A: all slots are in use and requests are queued when the scheduler is killed, frozen, slow, reachable in
//! one direction only, or not the only one. The bounds are those of `docs/design/scheduler-failure.md`.

use std::time::{Duration, Instant};

use foldlock_base::id;
use foldlock_base::size::Tokens;
use foldlock_request::budget::Charge;
use foldlock_request::caller::Caller;
use foldlock_request::cluster::{Cluster, Holder, Listed};
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::flight::{self, Flight};
use foldlock_request::forecast::short_service_ms;
use foldlock_request::message::{GrantRequest, Number};
use foldlock_request::placement::{Rejection, Requirements};
use foldlock_request::promise::{self, Received};
use foldlock_request::scheduler::{Admission, Key, Policy, Reply, Scheduler};
use foldlock_request::tag::Tag;
use foldlock_version::routes::{Bounds, Engine, Service, Table};

/// Time after which an unanswered grant request is repeated; two in a row lead to the next scheduler.
const REPLY_TIMEOUT: Duration = ms(25);
const FAILOVER: Duration = ms(50);

/// Interval at which a queued request is repeated.
const RENEWAL: Duration = ms(150);

/// Longest time between two rounds of placement, and between two announcements to the standby schedulers.
const ROUND: Duration = ms(20);
const ANNOUNCEMENT: Duration = ms(50);

/// Interval of the heartbeats of a scheduler. A VM that receives one uses that scheduler again.
const HEARTBEAT: Duration = ms(200);

/// Time of a message, and two messages with the ticks in which they are handled.
const TRANSIT: Duration = ms(1);
const ROUND_TRIP: Duration = ms(4);

/// Time from a failure until all queued requests are queued at the next scheduler.
const TAKEOVER: Duration = ms(150 + 50 + 4);

const ENGINE: Engine = Engine {
    slots: 12,
    memory: Tokens(197_200),
    step_ms: 1.02,
    per_request_ms: 0.002_26,
    per_context_ms: 0.004_31,
    prefill_tokens_per_ms: 206.0,
    ms_per_million_pairs: 0.138,
    stride: 57,
    chunk: 2_048,
    mean_answer: Tokens(1_824),
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn model() -> Service {
    Service { name: "model".to_owned(), max_connections: 9, engine: Some(ENGINE), cold_per_s: None }
}

fn table() -> Table {
    let bounds = Bounds {
        max_header_bytes: 16_384,
        max_body_bytes: 4_096,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    Table::builder(1, bounds).service(model()).build()
}

fn cluster(engines: usize) -> Cluster {
    let mut cluster = Cluster::default();
    for i in 0..engines {
        cluster.list(Listed {
            id: format!("i-{i:03}").parse().unwrap(),
            born: None,
            revision: 0.into(),
            service: "model".to_owned(),
            address: format!("10.0.0.1:{i}"),
            hall: "a".to_owned(),
            slots: ENGINE.slots,
            leaving: false,
            cold_ms: 0,
        });
    }
    cluster
}

fn requirements(number: usize, organisation: &str, arrived: Instant) -> Requirements {
    let time_limit = Duration::from_secs(10);
    Requirements {
        prompt: Tokens(5_000),
        memory: Tokens(6_824),
        // All can be in time, so that their order is by arrival.
        objective: Duration::from_secs(8),
        pause: Some(ms(250)),
        arrived,
        queue_timeout: time_limit,
        excluded: Vec::new(),
        connected: Vec::new(),
        hall: "a".to_owned(),
        reservation_timeout: ms(2_400),
        fingerprint: Fingerprint::of(organisation, "POST", "/chat", &number.to_be_bytes()),
        offset: 0,
        schedulers: 1,
        charge: Charge::Free,
        caller: Caller {
            organisation: Some(Tag::of(organisation)),
            time_limit,
            ..Caller::default()
        },
    }
}

/// How a scheduler fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Killed,
    /// It does not run. Its messages wait for it.
    Frozen,
    /// Each of its replies takes this long.
    Slow(Duration),
    /// It receives nothing.
    Deaf,
    /// Nothing that it sends is received.
    Mute,
}

/// A message of a VM to a scheduler.
enum Message {
    Request(GrantRequest),
    Cancelled(u64),
    Heartbeat(Vec<flight::Announcement>, u64, Vec<promise::Announcement>),
}

struct Node {
    scheduler: Scheduler,
    cluster: Cluster,
    fault: Fault,
    inbox: Vec<(Instant, usize, Message)>,
    placed: Instant,
}

/// A VM, with what it received from each scheduler.
struct Vm {
    cluster: Cluster,
    promises: Received,
    last_grant: [u64; 2],
    timed_out: [bool; 2],
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Arriving,
    /// A grant request was sent, and this many in a row before it were not answered.
    Asking(Instant, u32),
    Queued(Instant),
    Granted(Instant),
    Rejected(Rejection),
}

struct Request {
    vm: usize,
    requirements: Requirements,
    state: State,
    node: usize,
    number: u64,
    answered: Option<Instant>,
    grants: usize,
}

/// Two schedulers, of which the VMs prefer the first, and the requests of three VMs.
struct Fleet {
    now: Instant,
    start: Instant,
    table: Table,
    nodes: [Node; 2],
    vms: Vec<Vm>,
    requests: Vec<Request>,
    replies: Vec<(Instant, usize, u64, Reply)>,
    /// The attempts in progress: VM, number, first event and end.
    attempts: Vec<(usize, u64, Instant, Instant)>,
    announced: Instant,
    /// When the schedulers last sent heartbeats.
    heartbeat: Instant,
    /// A VM that receives nothing from the first scheduler.
    isolated: Option<usize>,
}

impl Fleet {
    /// All slots are in use. From `free_from` on they become free one by one within the usual time of a response.
    fn new(engines: usize, free_from: Duration, fair_shares: bool) -> Fleet {
        let start = Instant::now();
        let policy = Policy { admission: Admission::Forecast, fair_shares };
        let node = || {
            let mut scheduler = Scheduler::default();
            scheduler.set_policy(policy);
            let cluster = cluster(engines);
            Node { scheduler, cluster, fault: Fault::None, inbox: Vec::new(), placed: start }
        };
        let vm = |_| Vm {
            cluster: cluster(engines),
            promises: Received::default(),
            last_grant: [0; 2],
            timed_out: [false; 2],
        };
        let mut fleet = Fleet {
            now: start,
            start,
            table: table(),
            nodes: [node(), node()],
            vms: (0..3).map(vm).collect(),
            requests: Vec::new(),
            replies: Vec::new(),
            attempts: Vec::new(),
            announced: start,
            heartbeat: start,
            isolated: None,
        };
        let slots = engines * ENGINE.slots as usize;
        for slot in 0..slots {
            let flight = Flight {
                upstream: format!("i-{:03}", slot % engines).parse().unwrap(),
                helpers: Vec::new(),
                part_ms: 0.0,
                memory: 6_824,
                pause_ms: 250,
                decoding: true,
                isolated: None,
            };
            let end = start + free_from + residence().mul_f64(slot as f64 / slots as f64);
            fleet.begin(slot % 3, flight, end);
        }
        fleet
    }

    fn begin(&mut self, vm: usize, flight: Flight, end: Instant) {
        let cluster = &mut self.vms[vm].cluster;
        let number = cluster.next_number();
        cluster.begin_attempt(number, flight, self.now);
        self.attempts.push((vm, number, self.now + ms(100), end));
        self.announce(vm);
    }

    /// Adds a request that arrives at a VM. Returns its index.
    fn arrive(&mut self, vm: usize, requirements: Requirements) -> usize {
        self.requests.push(Request {
            vm,
            requirements,
            state: State::Arriving,
            node: 0,
            number: 0,
            answered: None,
            grants: 0,
        });
        self.requests.len() - 1
    }

    /// Adds requests of one organisation that arrive at all VMs in turn, 30 ms apart.
    fn arrive_all(&mut self, count: usize, organisation: &str, from: Duration) -> Vec<usize> {
        let arrive = |i: usize| {
            let arrived = self.start + from + ms(30) * i as u32;
            self.arrive(i % 3, requirements(self.requests.len(), organisation, arrived))
        };
        (0..count).map(arrive).collect()
    }

    fn run(&mut self, until: Duration) {
        while self.now < self.start + until {
            self.now += ms(1);
            (0..2).for_each(|node| self.run_node(node));
            self.receive_replies();
            (0..self.requests.len()).for_each(|request| self.run_request(request));
            self.run_attempts();
            if self.now - self.announced >= ANNOUNCEMENT {
                self.announced = self.now;
                (0..3).for_each(|vm| self.announce(vm));
            }
            if self.now - self.heartbeat >= HEARTBEAT {
                self.heartbeat = self.now;
                self.hear_schedulers();
            }
        }
    }

    fn hear_schedulers(&mut self) {
        for (index, vm) in self.vms.iter_mut().enumerate() {
            for (node, timed_out) in vm.timed_out.iter_mut().enumerate() {
                let fault = self.nodes[node].fault;
                let is_heard = !matches!(fault, Fault::Killed | Fault::Frozen | Fault::Mute);
                *timed_out &= !is_heard || node == 0 && self.isolated == Some(index);
            }
        }
    }

    fn send(&mut self, vm: usize, node: usize, message: Message) {
        if !matches!(self.nodes[node].fault, Fault::Killed | Fault::Deaf) {
            self.nodes[node].inbox.push((self.now + TRANSIT, vm, message));
        }
    }

    fn announce(&mut self, vm: usize) {
        for node in 0..2 {
            let Vm { cluster, promises, last_grant, .. } = &mut self.vms[vm];
            let flights = cluster.announced_flights(self.now);
            let promises = promises.announced(self.now);
            let heartbeat = Message::Heartbeat(flights, last_grant[node], promises);
            self.send(vm, node, heartbeat);
        }
    }

    fn run_node(&mut self, index: usize) {
        let (now, node) = (self.now, &mut self.nodes[index]);
        let delay = match node.fault {
            Fault::Killed | Fault::Frozen => return,
            Fault::Slow(delay) => delay,
            _ => TRANSIT,
        };
        let mut replies = Vec::new();
        // A scheduler that wakes places its old queue before it reads what has arrived meanwhile.
        if now - node.placed >= ROUND {
            node.placed = now;
            node.scheduler.promises.expire(now);
            replies = node.scheduler.place_queued(&mut node.cluster, &self.table, now);
        }
        let due = node.inbox.extract_if(.., |(at, ..)| *at <= now).collect::<Vec<_>>();
        for (_, vm, message) in due {
            let (holder, id) = (holder(vm), vm_id(vm));
            match message {
                Message::Request(request) => {
                    let key = Key { holder, incarnation: 1, number: request.request.number };
                    let requirements = request.requirements("a".to_owned(), now);
                    let reply = node.scheduler.request(
                        &mut node.cluster,
                        &self.table,
                        key.clone(),
                        request.service,
                        requirements,
                        now,
                    );
                    replies.push((key, reply));
                }
                Message::Cancelled(number) => {
                    let key = Key { holder, incarnation: 1, number };
                    node.scheduler.cancel(&mut node.cluster, &key, now);
                }
                Message::Heartbeat(flights, granted, promises) => {
                    node.scheduler.promises.merge(&promises, now);
                    node.cluster.merge_flights(&id, &flights, granted, now);
                }
            }
        }
        if node.fault != Fault::Mute {
            let sent =
                replies.into_iter().map(|(key, reply)| (now + delay, index, key.number, reply));
            self.replies.extend(sent);
        }
    }

    fn receive_replies(&mut self) {
        let now = self.now;
        let due = self.replies.extract_if(.., |(at, ..)| *at <= now).collect::<Vec<_>>();
        for (_, node, number, reply) in due {
            let pending = |r: &&mut Request| {
                r.number == number
                    && r.node == node
                    && matches!(r.state, State::Asking(..) | State::Queued(_))
            };
            let Some(request) = self.requests.iter_mut().find(pending) else { continue };
            let vm = request.vm;
            if node == 0 && self.isolated == Some(vm) {
                continue;
            }
            self.vms[vm].timed_out[node] = false;
            request.answered.get_or_insert(now);
            request.state = match reply {
                Reply::Queued => State::Queued(now),
                Reply::Rejected(rejection) => State::Rejected(rejection),
                Reply::Granted(placement, grant) => {
                    request.state = State::Granted(now);
                    request.grants += 1;
                    self.vms[vm].last_grant[node] = grant;
                    // The attempt has the number of its grant request.
                    let cluster = &mut self.vms[vm].cluster;
                    cluster.begin_attempt(number, placement.flight, now);
                    self.attempts.push((vm, number, now + ms(100), now + residence()));
                    self.announce(vm);
                    continue;
                }
            };
            if let State::Rejected(Rejection::Overloaded { after_ms, promised: true, .. }) =
                request.state
            {
                let capacity = promise::capacity(&model(), &request.requirements);
                let fingerprint = request.requirements.fingerprint;
                self.vms[vm].promises.add(fingerprint, capacity, ms(after_ms), now);
            }
        }
    }

    fn run_request(&mut self, index: usize) {
        let (now, request) = (self.now, &mut self.requests[index]);
        let timed_out = &mut self.vms[request.vm].timed_out;
        let (is_new, unanswered) = match request.state {
            State::Arriving if request.requirements.arrived <= now => (true, 0),
            State::Queued(since) if now - since >= RENEWAL => (false, 0),
            State::Asking(sent, 1) if now - sent >= REPLY_TIMEOUT => {
                timed_out[request.node] = true;
                (true, 0)
            }
            State::Asking(sent, _) if now - sent >= REPLY_TIMEOUT => (false, 1),
            _ => return,
        };
        let (vm, previous) = (request.vm, (request.node, request.number));
        if is_new {
            request.node = usize::from(timed_out[0]);
            request.number = self.vms[vm].cluster.next_number() + vm as u64 * 100_000;
        }
        request.state = State::Asking(now, unanswered);
        let number = Number { incarnation: 1, number: request.number };
        let service = Tag::of("model");
        let message = GrantRequest::new(number, service, &request.requirements, false, now);
        let node = request.node;
        if is_new && previous.1 > 0 {
            self.send(vm, previous.0, Message::Cancelled(previous.1));
        }
        self.send(vm, node, Message::Request(message));
    }

    fn run_attempts(&mut self) {
        let now = self.now;
        for (vm, number, first_event, _) in &self.attempts {
            if *first_event == now {
                self.vms[*vm].cluster.record_first_event(*number, now);
            }
        }
        let ended = self.attempts.extract_if(.., |(.., end)| *end <= now).collect::<Vec<_>>();
        for (vm, number, ..) in ended {
            self.vms[vm].cluster.end_attempt(number, now);
            self.announce(vm);
        }
    }

    /// When a request was granted its only placement.
    fn granted(&self, index: usize) -> Duration {
        let request = &self.requests[index];
        let State::Granted(at) = request.state else {
            panic!("request {index}: {:?}", request.state)
        };
        assert_eq!(request.grants, 1);
        at - self.start
    }

    /// Time from the arrival of a request until it was queued, granted or rejected.
    fn answer_time(&self, index: usize) -> Duration {
        let request = &self.requests[index];
        request.answered.expect("an answer") - request.requirements.arrived
    }
}

fn residence() -> Duration {
    let service_ms = short_service_ms(&ENGINE, Tokens(5_000), ENGINE.mean_answer);
    Duration::from_secs_f64(service_ms / 1e3)
}

fn vm_id(vm: usize) -> id::Vm {
    format!("vm-{vm}").parse().unwrap()
}

fn holder(vm: usize) -> Holder {
    Holder::Peer(vm_id(vm))
}

const UNREACHABLE: [Fault; 4] = [Fault::Killed, Fault::Frozen, Fault::Deaf, Fault::Mute];

/// Runs ten queued requests through a failure after 400 ms, and returns when each was granted.
fn grants(fault: Fault, free_from: Duration) -> Vec<Duration> {
    let mut fleet = Fleet::new(2, free_from, false);
    let queued = fleet.arrive_all(10, "one", ms(50));
    fleet.run(ms(400));
    fleet.nodes[0].fault = fault;
    fleet.run(ms(4_000));
    queued.into_iter().map(|request| fleet.granted(request)).collect()
}

/// Guards against requests that lose their place, or are rejected since the next scheduler has measured no capacity.
#[test]
fn the_queue_keeps_its_order_and_no_request_is_rejected() {
    // The first slot becomes free after the takeover.
    let free_from = ms(400) + TAKEOVER;
    let expected = grants(Fault::None, free_from);
    assert!(expected.is_sorted(), "{expected:?}");
    for fault in UNREACHABLE {
        let granted = grants(fault, free_from);
        assert!(granted.is_sorted(), "{fault:?}: {granted:?}");
        for (granted, expected) in granted.into_iter().zip(&expected) {
            assert!(granted <= *expected + ROUND + ROUND_TRIP, "{fault:?}: {granted:?}");
        }
    }
}

/// Slots that become free during the takeover are used after it.
#[test]
fn a_failure_delays_a_queued_request_by_at_most_the_takeover() {
    let expected = grants(Fault::None, ms(250));
    for fault in UNREACHABLE {
        for (granted, expected) in grants(fault, ms(250)).into_iter().zip(&expected) {
            assert!(granted <= *expected + TAKEOVER + ROUND + ROUND_TRIP, "{fault:?}: {granted:?}");
        }
    }
}

/// Guards against requests that wait for an unreachable scheduler for longer than two unanswered grant requests.
#[test]
fn a_new_request_is_answered_after_two_unanswered_grant_requests() {
    for fault in UNREACHABLE.into_iter().chain([Fault::Slow(ms(60)), Fault::Slow(ms(40))]) {
        let mut fleet = Fleet::new(2, ms(250), false);
        fleet.nodes[0].fault = fault;
        let requests = fleet.arrive_all(10, "one", ms(50));
        fleet.run(ms(4_000));
        for request in requests {
            let time = fleet.answer_time(request);
            assert!(time <= FAILOVER + ROUND_TRIP, "{fault:?}: {time:?}");
            fleet.granted(request);
        }
    }
}

/// Guards against grants of an outdated queue, which is dropped if the scheduler was frozen for 600 ms or more. After
/// it wakes, both schedulers have a queue and each keeps its own order, so the bound is for the n-th grant of both.
#[test]
fn a_scheduler_that_wakes_with_its_old_queue_grants_no_request_twice() {
    let without_wake = grants(Fault::Frozen, ms(250));
    for (frozen, later) in [(100, 0), (300, 0), (1_000, 0), (100, 5), (300, 5), (1_000, 5)] {
        let mut fleet = Fleet::new(2, ms(250), false);
        let queued = fleet.arrive_all(10, "one", ms(50));
        fleet.run(ms(400));
        fleet.nodes[0].fault = Fault::Frozen;
        fleet.run(ms(400 + frozen));
        fleet.nodes[0].fault = Fault::None;
        let later = fleet.arrive_all(later, "one", ms(400 + frozen) + HEARTBEAT);
        fleet.run(ms(5_000));
        let mut granted: Vec<Duration> =
            queued.into_iter().chain(later).map(|request| fleet.granted(request)).collect();
        granted.sort();
        for (granted, bound) in granted.iter().zip(&without_wake) {
            assert!(*granted <= *bound + ROUND + ROUND_TRIP, "{frozen}: {granted:?}");
        }
        assert_eq!(fleet.nodes[0].scheduler.queue_len(), 0);
    }
}

/// The virtual time of the next scheduler starts at zero for all. Guards against an organisation that loses its share
/// by that: while both have queued requests, neither gets more than one request ahead of its share.
#[test]
fn shares_are_equal_from_the_takeover_on() {
    for fault in UNREACHABLE {
        let mut fleet = Fleet::new(2, ms(250), true);
        let large = fleet.arrive_all(14, "large", ms(10));
        // They arrive after most of the others.
        let small = fleet.arrive_all(7, "small", ms(255));
        fleet.run(ms(450));
        fleet.nodes[0].fault = fault;
        fleet.run(ms(6_000));
        let after = |requests: &[usize]| -> Vec<Duration> {
            let granted = requests.iter().map(|request| fleet.granted(*request));
            granted.filter(|at| *at > ms(450) + TAKEOVER).collect()
        };
        let (large, small) = (after(&large), after(&small));
        assert!(large.len() > small.len() && small.len() >= 3, "{large:?} {small:?}");
        for (served, at) in small.iter().enumerate() {
            let of_large = large.iter().filter(|other| *other < at).count();
            assert!(of_large.abs_diff(served) <= 1, "{fault:?}: {large:?} {small:?}");
        }
    }
}

/// Sends requests to these VMs in turn, of which some are rejected with a promised time. Returns the rejected ones with these times.
fn rejected(fleet: &mut Fleet, vms: [usize; 4]) -> Vec<(usize, Duration)> {
    for number in 0..300 {
        let arrived = fleet.start + ms(50) + ms(1) * number as u32;
        fleet.arrive(vms[number % 4], requirements(number, "one", arrived));
    }
    fleet.run(ms(400));
    let promised = fleet.requests.iter().enumerate().filter_map(|(index, request)| {
        let State::Rejected(Rejection::Overloaded { after_ms, promised: true, .. }) = request.state
        else {
            return None;
        };
        let answered = request.answered.unwrap();
        Some((index, answered + ms(after_ms) - fleet.start))
    });
    promised.collect()
}

/// Lets the callers return at their times, each at another VM. Returns the new requests.
fn return_all(fleet: &mut Fleet, promised: &[(usize, Duration)]) -> Vec<usize> {
    let mut returned = Vec::new();
    for (index, at) in promised {
        let Request { vm, requirements, .. } = &fleet.requests[*index];
        let (vm, arrived) = ((vm + 1) % 3, fleet.start + *at);
        let requirements = Requirements { arrived, ..requirements.clone() };
        returned.push(fleet.arrive(vm, requirements));
    }
    returned
}

/// Guards against promises that are lost with the scheduler. They are announced within 50 ms; the failure is 50 ms
/// after the last rejection.
#[test]
fn the_next_scheduler_keeps_the_promises_before_new_requests() {
    for fault in UNREACHABLE {
        let mut fleet = Fleet::new(8, ms(250), false);
        let promised = rejected(&mut fleet, [0, 1, 2, 0]);
        assert!(promised.len() >= 3, "{promised:?}");
        fleet.run(ms(450));
        fleet.nodes[0].fault = fault;
        let returned = return_all(&mut fleet, &promised);
        let last = promised.iter().map(|(_, at)| *at).max().unwrap();
        fleet.run(last + ms(2_000));
        for request in returned {
            let time = fleet.answer_time(request);
            assert!(time <= FAILOVER + ROUND_TRIP, "{fault:?}: {time:?}");
            let granted = fleet.granted(request);
            let answered = fleet.requests[request].answered.unwrap() - fleet.start;
            let passed = (0..300).filter(|other| {
                matches!(fleet.requests[*other].state, State::Granted(at)
                    if at - fleet.start > answered + ROUND + ROUND_TRIP
                        && at - fleet.start < granted)
            });
            assert_eq!(passed.count(), 0, "{fault:?}: requests were granted before {request}");
        }
    }
}

/// A VM receives nothing from the first scheduler and uses the second one. Guards against a promise that one of them makes and
/// the other breaks, against grants of both, and against requests without an answer in their time.
#[test]
fn two_schedulers_at_once_keep_each_others_promises() {
    let mut fleet = Fleet::new(2, ms(250), false);
    fleet.isolated = Some(2);
    fleet.vms[2].timed_out[0] = true;
    // Half of the requests go to each scheduler.
    let promised = rejected(&mut fleet, [0, 2, 1, 2]);
    for node in 0..2 {
        let of_node = promised.iter().filter(|(index, _)| fleet.requests[*index].node == node);
        assert!(of_node.count() >= 3, "scheduler {node}: {promised:?}");
    }
    let returned = return_all(&mut fleet, &promised);
    fleet.run(Duration::from_secs(11));
    returned.into_iter().for_each(|request| {
        fleet.granted(request);
    });
    for request in &fleet.requests {
        assert!(matches!(request.state, State::Granted(_) | State::Rejected(_)));
        assert!(request.grants <= 1);
    }
}

/// Guards against a rejection for lack of data: a scheduler that takes over has no measurement, and may have
/// received neither the engines' load nor any listing.
#[test]
fn a_scheduler_without_data_rejects_no_request_for_lack_of_capacity() {
    for engines in [0, 1, 8] {
        let mut fleet = Fleet::new(engines, ms(250), false);
        fleet.nodes[0].fault = Fault::Killed;
        fleet.nodes[1].inbox.clear();
        fleet.arrive_all(5, "one", ms(10));
        fleet.run(ms(400));
        for request in &fleet.requests {
            let is_overloaded =
                matches!(request.state, State::Rejected(Rejection::Overloaded { .. }));
            assert!(!is_overloaded, "{engines} engines: {:?}", request.state);
        }
    }
}
