//! Simulates placement for a given load: requests arrive, one scheduler places them, and engines
//! prefill and decode in passes, at the speeds that their operators state. Only the arrivals and
//! prompt lengths are random.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use foldlock_base::id;
use foldlock_base::size::Tokens;
use foldlock_request::budget::Charge;
use foldlock_request::caller::{Caller, Priority};
use foldlock_request::cluster::{Cluster, Holder, Listed};
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::forecast;
use foldlock_request::placement::{Placement, Rejection, Requirements};
use foldlock_request::report::Observed;
use foldlock_request::scheduler::{Key, Policy, Reply, Scheduler};
use foldlock_request::tag::Tag;
use foldlock_version::routes::{Bounds, Engine as Figures, Service, Table};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    /// The mean prompt length; lengths range from a third of it to twice that.
    pub(crate) tokens: u64,
    /// The number of events in a response.
    pub(crate) events: u32,
    pub(crate) objective_ms: u64,
    pub(crate) pause_ms: u64,
    pub(crate) time_ms: u64,
    pub(crate) priority: u8,
}

/// Requests of one kind that arrive at a constant rate for some time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadPhase {
    pub(crate) kind: Kind,
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
    pub(crate) per_s: f64,
}

/// A request and what has become of it.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) kind: Kind,
    pub(crate) arrival: Instant,
    tokens: u64,
    /// Time from its arrival after which its caller no longer waits.
    pub(crate) time: Duration,
    number: u64,
    fingerprint: Fingerprint,
    /// Whether its caller returned at a promised time.
    pub(crate) returned: bool,
    /// When and why it was rejected.
    pub(crate) rejected: Option<(Instant, Rejection)>,
    /// When its caller gave up in the queue.
    pub(crate) cancelled: Option<Instant>,
    /// When it was granted a placement.
    pub(crate) granted: Option<Instant>,
    /// The prompt parts that are not prefilled yet.
    parts_left: usize,
    pub(crate) placement: Option<Placement>,
    pub(crate) first_event: Option<Instant>,
    last_event: Option<Instant>,
    max_pause: Duration,
    pub(crate) events_left: u32,
}

#[derive(Debug, Default)]
struct Engine {
    queued: Vec<(usize, f64)>,
    prefilling: Vec<usize>,
    decoding: Vec<usize>,
    pass_ends: Option<Instant>,
    stalled: bool,
}

/// Results for the requests of one kind.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Score {
    pub(crate) total: usize,
    /// Complete responses whose first event and pauses were all within their targets.
    pub(crate) in_time: usize,
    /// Other complete responses.
    pub(crate) late: usize,
}

impl Score {
    pub(crate) fn in_time_share(self) -> f64 {
        self.in_time as f64 / self.total.max(1) as f64
    }
}

/// A simulation.
pub(crate) struct Simulation {
    figures: Figures,
    service: Tag,
    table: Table,
    cluster: Cluster,
    scheduler: Scheduler,
    engines: BTreeMap<id::Upstream, Engine>,
    requests: Vec<Request>,
    by_number: HashMap<u64, usize>,
    /// The requests without a placement, by number.
    unplaced: BTreeMap<u64, usize>,
    start: Instant,
    /// The requests that have not arrived, by index.
    arrivals: BinaryHeap<Reverse<(Instant, usize)>>,
    /// The shortest time between two rounds of placing queued requests.
    pub(crate) round_interval: Duration,
    /// Whether callers have priorities and time limits.
    are_callers_known: bool,
    /// The replies to first grant requests and to queued requests, as text.
    pub(crate) replies: Vec<String>,
    /// The largest number of engines that decoded at the same time.
    pub(crate) max_decoding: usize,
}

impl Simulation {
    pub(crate) fn new(engines: usize, figures: Figures) -> Simulation {
        let service = Service {
            name: "model".to_owned(),
            max_connections: 9,
            engine: Some(figures),
            cold_per_s: None,
        };
        let time = Duration::from_secs(9);
        let bounds = Bounds {
            max_header_bytes: 9,
            max_body_bytes: 9,
            header_timeout: time,
            idle_timeout: time,
        };
        let mut cluster = Cluster::default();
        let id = |i: usize| -> id::Upstream { format!("i-{i:03}").parse().unwrap() };
        for i in 0..engines {
            cluster.list(Listed {
                born: None,
                revision: 0.into(),
                id: id(i),
                service: service.name.clone(),
                address: format!("10.0.0.1:{i}"),
                hall: "a".to_owned(),
                slots: figures.slots,
                leaving: false,
                cold_ms: 0,
            });
        }
        Simulation {
            figures,
            service: Tag::of(&service.name),
            table: Table::builder(1, bounds).service(service).build(),
            cluster,
            scheduler: Scheduler::default(),
            engines: (0..engines).map(|i| (id(i), Engine::default())).collect(),
            requests: Vec::new(),
            by_number: HashMap::new(),
            unplaced: BTreeMap::new(),
            start: Instant::now(),
            arrivals: BinaryHeap::new(),
            round_interval: Duration::ZERO,
            are_callers_known: false,
            replies: Vec::new(),
            max_decoding: 0,
        }
    }

    /// Requests state the priorities and time limits of their callers, to a scheduler with this policy.
    pub(crate) fn with_callers(mut self, policy: Policy) -> Simulation {
        self.scheduler.set_policy(policy);
        self.are_callers_known = true;
        self
    }

    /// The requests, including those of callers that returned.
    pub(crate) fn requests(&self) -> &[Request] {
        &self.requests
    }

    /// The last engines become unresponsive for good, which their reports state from the start.
    pub(crate) fn stall(&mut self, engines: usize) {
        let stalled: Vec<id::Upstream> = self.engines.keys().rev().take(engines).cloned().collect();
        for id in stalled {
            self.engines.get_mut(&id).unwrap().stalled = true;
            self.cluster.record_report(&id, Observed { report: None, at: self.start });
        }
    }

    /// Draws the arrivals from a seed and simulates until all requests have ended.
    pub(crate) fn run(&mut self, phases: &[LoadPhase], seed: u64) -> HashMap<&'static str, Score> {
        let mut rng = StdRng::seed_from_u64(seed);
        for phase in phases {
            self.draw_arrivals(phase, &mut rng);
        }
        self.requests.sort_by_key(|request| request.arrival);
        let arrivals = self.requests.iter().enumerate();
        self.arrivals =
            arrivals.map(|(index, request)| Reverse((request.arrival, index))).collect();
        let end = self.start + Duration::from_secs(60);
        let (mut next_attempt, mut next_round) = (self.start, self.start);
        loop {
            let arrival = self.arrivals.peek().map(|Reverse((arrival, _))| *arrival);
            let pass_end = self.engines.values().filter_map(|engine| engine.pass_ends).min();
            let retry = (!self.scheduler.is_idle()).then_some(next_attempt);
            let Some(now) = [arrival, pass_end, retry].into_iter().flatten().min() else { break };
            if now > end {
                break;
            }
            if arrival == Some(now) {
                let Reverse((_, next)) = self.arrivals.pop().expect("it was the first");
                self.arrive(next, now);
            }
            self.finish_passes(now);
            self.cancel_expired(now);
            if now >= next_round {
                self.place_queued(now);
                next_round = now + self.round_interval;
                next_attempt = now + Duration::from_millis(20);
            }
            self.begin_passes(now);
        }
        self.scores()
    }

    fn draw_arrivals(&mut self, phase: &LoadPhase, rng: &mut StdRng) {
        let mut at_ms = phase.from_ms as f64;
        loop {
            // Poisson arrivals: the time to the next one is exponentially distributed.
            at_ms -= rng.random_range(f64::EPSILON..1.0).ln() * 1e3 / phase.per_s;
            if at_ms >= phase.to_ms as f64 {
                return;
            }
            let spread = rng.random_range(-1.1..0.7_f64).exp();
            self.requests.push(Request {
                kind: phase.kind,
                arrival: self.start + Duration::from_secs_f64(at_ms / 1e3),
                tokens: (phase.kind.tokens as f64 * spread) as u64,
                time: Duration::from_millis(phase.kind.time_ms),
                number: 0,
                fingerprint: Fingerprint::of("", "", "", &self.requests.len().to_be_bytes()),
                returned: false,
                rejected: None,
                cancelled: None,
                granted: None,
                parts_left: 0,
                placement: None,
                first_event: None,
                last_event: None,
                max_pause: Duration::ZERO,
                events_left: phase.kind.events,
            });
        }
    }

    fn requirements_for(&self, index: usize) -> Requirements {
        let request = &self.requests[index];
        let kind = &request.kind;
        let caller = Caller {
            priority: Priority { organisation: 0, route: kind.priority },
            time_limit: request.time,
            ..Caller::default()
        };
        Requirements {
            prompt: Tokens(request.tokens),
            memory: Tokens(request.tokens + self.figures.mean_answer.0),
            objective: Duration::from_millis(kind.objective_ms),
            pause: Some(Duration::from_millis(kind.pause_ms)),
            arrived: request.arrival,
            queue_timeout: request.time,
            excluded: Vec::new(),
            hall: "a".to_owned(),
            connected: Vec::new(),
            reservation_timeout: Duration::from_millis(2_400),
            fingerprint: request.fingerprint,
            offset: 0,
            schedulers: 1,
            charge: Charge::Free,
            caller: if self.are_callers_known { caller } else { Caller::default() },
        }
    }

    fn key(number: u64) -> Key {
        Key { holder: Holder::Own, incarnation: 1, number }
    }

    fn arrive(&mut self, index: usize, now: Instant) {
        let number = self.cluster.next_number();
        self.by_number.insert(number, index);
        self.unplaced.insert(number, index);
        self.requests[index].number = number;
        self.request_placement(number, index, now);
    }

    fn request_placement(&mut self, number: u64, index: usize, now: Instant) {
        let requirements = self.requirements_for(index);
        let (cluster, table) = (&mut self.cluster, &self.table);
        let answer = self.scheduler.request(
            cluster,
            table,
            Simulation::key(number),
            self.service,
            requirements,
            now,
        );
        self.on_reply(number, answer, now);
    }

    fn on_reply(&mut self, number: u64, reply: Reply, now: Instant) {
        let at = (now - self.start).as_micros();
        match reply {
            Reply::Granted(placement, _) => {
                self.replies.push(format!("{at} {number} {:?}", placement.flight));
                self.on_placed(number, *placement, now);
            }
            Reply::Queued => self.replies.push(format!("{at} {number} queued")),
            Reply::Rejected(rejection) => {
                self.replies.push(format!("{at} {number} {rejection:?}"));
                self.on_rejected(number, rejection, now);
            }
        }
    }

    /// A caller with a promise returns at its time, and has less time left then.
    fn on_rejected(&mut self, number: u64, rejection: Rejection, now: Instant) {
        let index = self.by_number.remove(&number).expect("its request");
        self.unplaced.remove(&number);
        let request = &mut self.requests[index];
        request.rejected = Some((now, rejection));
        let Rejection::Overloaded { after_ms, promised: true, .. } = rejection else { return };
        let arrival = now + Duration::from_millis(after_ms);
        let returning = Request {
            arrival,
            time: request.time.saturating_sub(arrival - request.arrival),
            returned: true,
            rejected: None,
            ..request.clone()
        };
        self.arrivals.push(Reverse((arrival, self.requests.len())));
        self.requests.push(returning);
    }

    /// Cancels requests whose callers have no time left.
    fn cancel_expired(&mut self, now: Instant) {
        let is_expired = |(_, index): &(&u64, &usize)| {
            let request = &self.requests[**index];
            request.placement.is_none() && now >= request.arrival + request.time
        };
        let expired: Vec<u64> =
            self.unplaced.iter().filter(is_expired).map(|(number, _)| *number).collect();
        for number in expired {
            self.scheduler.cancel(&mut self.cluster, &Simulation::key(number), now);
            let index = self.by_number.remove(&number).expect("its request");
            self.unplaced.remove(&number);
            self.requests[index].cancelled = Some(now);
        }
    }

    fn place_queued(&mut self, now: Instant) {
        for (key, answer) in self.scheduler.place_queued(&mut self.cluster, &self.table, now) {
            self.on_reply(key.number, answer, now);
        }
    }

    fn on_placed(&mut self, number: u64, placement: Placement, now: Instant) {
        let index = self.by_number[&number];
        if self.requests[index].placement.is_some() {
            return;
        }
        let flight = placement.flight.clone();
        self.cluster.begin_attempt(number, flight.clone(), now);
        let helpers = flight.helpers.iter().map(|helping| &helping.upstream);
        let all: Vec<&id::Upstream> = helpers.chain([&flight.upstream]).collect();
        self.requests[index].parts_left = all.len();
        for id in all {
            let engine = self.engines.get_mut(id).unwrap();
            engine.queued.push((index, f64::from(flight.part_ms)));
        }
        self.unplaced.remove(&number);
        self.requests[index].placement = Some(placement);
        self.requests[index].granted = Some(now);
    }

    /// Completes the passes that end now: prompt parts are prefilled, and each decoding request
    /// gets an event.
    fn finish_passes(&mut self, now: Instant) {
        let ended: Vec<id::Upstream> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.pass_ends == Some(now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ended {
            let engine = self.engines.get_mut(&id).unwrap();
            engine.pass_ends = None;
            let prefilled = std::mem::take(&mut engine.prefilling);
            let mut events = std::mem::take(&mut engine.decoding);
            for index in prefilled {
                self.requests[index].parts_left -= 1;
                let generates_response = self.generates_response_at(index, &id);
                if generates_response || self.requests[index].parts_left == 0 {
                    events.push(index);
                }
            }
            events.sort_unstable();
            events.dedup();
            let decoding: Vec<usize> =
                events.into_iter().filter(|index| self.add_event(*index, now)).collect();
            // The engine that generates the response starts to decode after all parts are
            // prefilled.
            for index in decoding {
                let at = self.requests[index].placement.as_ref().unwrap().flight.upstream.clone();
                self.engines.get_mut(&at).unwrap().decoding.push(index);
            }
        }
    }

    fn generates_response_at(&self, index: usize, id: &id::Upstream) -> bool {
        self.requests[index]
            .placement
            .as_ref()
            .is_some_and(|placement| placement.flight.upstream == *id)
    }

    /// Adds an event to a response if its prompt is prefilled. Returns whether more events follow.
    fn add_event(&mut self, index: usize, now: Instant) -> bool {
        if self.requests[index].parts_left > 0 {
            return false;
        }
        let number = self.requests[index].number;
        let request = &mut self.requests[index];
        if let Some(last) = request.last_event.replace(now) {
            request.max_pause = request.max_pause.max(now - last);
        }
        if request.first_event.is_none() {
            request.first_event = Some(now);
            self.cluster.record_first_event(number, now);
        }
        request.events_left = request.events_left.saturating_sub(1);
        if request.events_left == 0 {
            self.cluster.end_attempt(number, now);
        }
        request.events_left > 0
    }

    fn begin_passes(&mut self, now: Instant) {
        for engine in self.engines.values_mut().filter(|engine| !engine.stalled) {
            if engine.pass_ends.is_some() || engine.queued.is_empty() && engine.decoding.is_empty()
            {
                continue;
            }
            let prefill_ms: f64 = engine.queued.iter().map(|(_, ms)| ms).sum();
            engine.prefilling = engine.queued.drain(..).map(|(index, _)| index).collect();
            let starting = engine.prefilling.iter().filter(|index| {
                let request = &self.requests[**index];
                request.parts_left <= 1
            });
            let decoders = engine.decoding.len() + starting.count();
            let memory: u64 =
                engine.decoding.iter().map(|index| self.requests[*index].tokens).sum();
            let pass_ms = if decoders > 0 {
                forecast::pass_ms(&self.figures, decoders as u32, memory)
            } else {
                0.0
            };
            engine.pass_ends = Some(now + Duration::from_secs_f64((prefill_ms + pass_ms) / 1e3));
        }
        let decoding = self.engines.values().filter(|engine| !engine.decoding.is_empty()).count();
        self.max_decoding = self.max_decoding.max(decoding);
    }

    fn scores(&self) -> HashMap<&'static str, Score> {
        let mut scores: HashMap<&'static str, Score> = HashMap::new();
        for request in self.requests.iter().filter(|request| !request.returned) {
            let score = scores.entry(request.kind.name).or_default();
            score.total += 1;
            match request.is_in_time() {
                Some(true) => score.in_time += 1,
                Some(false) => score.late += 1,
                None => {}
            }
        }
        scores
    }
}

impl Request {
    /// Whether its response is complete, and its first event and pauses were within their targets.
    pub(crate) fn is_in_time(&self) -> Option<bool> {
        let first = self.first_event.filter(|_| self.events_left == 0)?;
        let objective = Duration::from_millis(self.kind.objective_ms);
        let pause = Duration::from_millis(self.kind.pause_ms);
        Some(first <= self.arrival + objective && self.max_pause <= pause)
    }
}
