//! A request that crashes each engine which starts it, beside requests that do no harm.
//!
//! Guards against repeated crashes. The request arrives four times a second, each arrival is sent
//! to two engines, and the caller repeats it once. Each crash interrupts the responses that the
//! engine was decoding; these are retried and may meet the request again. The load: 18 engines with
//! 16 slots, and 38 short responses of 1.5 s a second; a crashed engine is back after 3 s.

use std::time::{Duration, Instant};

use foldlock_base::id;
use foldlock_base::size::Tokens;
use foldlock_request::budget::Charge;
use foldlock_request::caller::Caller;
use foldlock_request::cluster::{Cluster, Listed};
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::placement::{self, Rejection, Requirements};
use foldlock_request::quarantine::Crash;
use foldlock_version::routes::Service;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::ENGINE;

const ENGINES: usize = 18;
const TICK: Duration = Duration::from_millis(5);
const RESPONSE_TIME: Duration = Duration::from_millis(1_500);
const CRASH_DELAY: Duration = Duration::from_millis(300);
const RESTART_TIME: Duration = Duration::from_secs(3);
const QUEUE_TIMEOUT: Duration = Duration::from_secs(4);
const MAX_ATTEMPTS: u32 = 2;

#[derive(Debug, Clone)]
enum State {
    Queued,
    Running { engine: usize, number: u64, since: Instant, isolated: bool },
}

#[derive(Debug, Clone)]
struct Request {
    fingerprint: Fingerprint,
    crashes_engine: bool,
    arrived: Instant,
    attempts: u32,
    repeated: bool,
    state: State,
}

/// Results of the harmless requests, and the number of crashes.
#[derive(Debug, Default)]
struct Score {
    /// Crashed engines.
    crashed: usize,
    total: usize,
    served: usize,
    /// Interrupted responses, each interruption counted.
    interrupted: usize,
    failed: usize,
    quarantined: usize,
}

struct Fleet {
    cluster: Cluster,
    service: Service,
    incarnations: [usize; ENGINES],
    restarts_at: [Option<Instant>; ENGINES],
    requests: Vec<Request>,
    score: Score,
    now: Instant,
}

impl Fleet {
    fn new() -> Fleet {
        let service = Service {
            name: "model".to_owned(),
            max_connections: 9,
            engine: Some(ENGINE),
            cold_per_s: None,
        };
        let mut fleet = Fleet {
            cluster: Cluster::default(),
            service,
            incarnations: [0; ENGINES],
            restarts_at: [None; ENGINES],
            requests: Vec::new(),
            score: Score::default(),
            now: Instant::now(),
        };
        (0..ENGINES).for_each(|engine| fleet.start(engine));
        fleet
    }

    fn id(&self, engine: usize) -> id::Upstream {
        format!("i-{engine:02}-{}", self.incarnations[engine]).parse().unwrap()
    }

    fn start(&mut self, engine: usize) {
        self.incarnations[engine] += 1;
        self.restarts_at[engine] = None;
        self.cluster.list(Listed {
            id: self.id(engine),
            born: None,
            revision: 0.into(),
            service: self.service.name.clone(),
            address: format!("10.0.0.{engine}:80"),
            hall: "a".to_owned(),
            slots: 16,
            leaving: false,
            cold_ms: 0,
        });
    }

    fn arrive(&mut self, fingerprint: Fingerprint, crashes_engine: bool) {
        self.score.total += usize::from(!crashes_engine);
        self.requests.push(Request {
            fingerprint,
            crashes_engine,
            arrived: self.now,
            attempts: 0,
            repeated: false,
            state: State::Queued,
        });
    }

    fn place(&mut self, request: &mut Request) -> Result<(), Rejection> {
        let requirements = Requirements {
            prompt: Tokens(4_960),
            memory: Tokens(6_300),
            objective: Duration::from_millis(300),
            pause: Some(Duration::from_millis(250)),
            arrived: request.arrived,
            queue_timeout: Duration::from_secs(10),
            excluded: Vec::new(),
            hall: "a".to_owned(),
            connected: Vec::new(),
            reservation_timeout: Duration::from_secs(2),
            fingerprint: request.fingerprint,
            offset: 0,
            schedulers: 1,
            charge: Charge::Free,
            caller: Caller::default(),
        };
        let placement = placement::place(&self.cluster, &self.service, &requirements, self.now)?;
        let number = self.cluster.next_number();
        let name = placement.flight.upstream.as_str();
        let engine = name[2..4].parse().unwrap();
        let isolated = placement.flight.isolated.is_some();
        self.cluster.begin_attempt(number, placement.flight, self.now);
        request.state = State::Running { engine, number, since: self.now, isolated };
        Ok(())
    }

    /// Advances a request to the current time. Returns whether it continues.
    fn step(&mut self, request: &mut Request) -> bool {
        match request.state {
            State::Queued => match self.place(request) {
                Ok(()) => true,
                Err(Rejection::Quarantined { .. }) => {
                    self.score.quarantined += usize::from(!request.crashes_engine);
                    false
                }
                Err(_) if self.now - request.arrived > QUEUE_TIMEOUT => {
                    self.score.failed += usize::from(!request.crashes_engine);
                    false
                }
                Err(_) => true,
            },
            State::Running { number, since, .. }
                if !request.crashes_engine && self.now - since >= RESPONSE_TIME =>
            {
                self.cluster.end_attempt(number, self.now);
                self.cluster.quarantine.record_completion(request.fingerprint, self.now);
                self.score.served += 1;
                false
            }
            State::Running { .. } => true,
        }
    }

    /// An engine crashes, which interrupts all requests on it.
    fn crash(&mut self, crashed: usize, requests: &mut Vec<Request>) {
        self.score.crashed += 1;
        let upstream = self.cluster.tag_of(&self.id(crashed));
        let (cluster, score, now) = (&mut self.cluster, &mut self.score, self.now);
        requests.retain_mut(|request| {
            let State::Running { engine, number, isolated, .. } = request.state else {
                return true;
            };
            if engine != crashed {
                return true;
            }
            cluster.end_attempt(number, now);
            cluster.quarantine.record_crash(request.fingerprint, Crash { upstream, isolated }, now);
            score.interrupted += usize::from(!request.crashes_engine);
            request.attempts += 1;
            request.state = State::Queued;
            if request.attempts < MAX_ATTEMPTS {
                return true;
            }
            request.attempts = 0;
            let gives_up = std::mem::replace(&mut request.repeated, true);
            score.failed += usize::from(gives_up && !request.crashes_engine);
            !gives_up
        });
        let id = self.id(crashed);
        self.cluster.remove(&id, 0.into());
        self.restarts_at[crashed] = Some(self.now + RESTART_TIME);
    }

    fn tick(&mut self) {
        self.now += TICK;
        for engine in 0..ENGINES {
            if self.restarts_at[engine].is_some_and(|at| at <= self.now) {
                self.start(engine);
            }
        }
        let mut requests = std::mem::take(&mut self.requests);
        requests.retain_mut(|request| self.step(request));
        let crash_due = |request: &Request| match request.state {
            State::Running { engine, since, .. } if request.crashes_engine => {
                (self.now - since >= CRASH_DELAY).then_some(engine)
            }
            _ => None,
        };
        let mut crashing: Vec<usize> = requests.iter().filter_map(crash_due).collect();
        crashing.sort_unstable();
        crashing.dedup();
        crashing.into_iter().for_each(|engine| self.crash(engine, &mut requests));
        requests.append(&mut self.requests);
        self.requests = requests;
    }
}

fn simulate(seed: u64, seconds: u64) -> Score {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new();
    let crashing = Fingerprint::of("one", "POST", "/audit/", b"deadly");
    for tick in 0..seconds * 200 {
        if rng.random_bool(38.0 / 200.0) {
            let other = Fingerprint::of("one", "POST", "/audit/", &tick.to_be_bytes());
            fleet.arrive(other, false);
        }
        if tick >= 400 && tick % 50 == 0 {
            fleet.arrive(crashing, true);
        }
        fleet.tick();
    }
    fleet.score
}

/// Without quarantine the request crashes 100 engines in these 20 seconds, and 458 of 763 other
/// requests fail (mean of 20 seeds). The bound allows for the crashes before the quarantine starts,
/// and one solo crash each time that the request is released.
#[test]
fn a_crashing_request_crashes_few_engines_and_no_other_is_quarantined() {
    for seed in [1, 2, 3] {
        let score = simulate(seed, 20);
        assert!(score.crashed <= 8, "seed {seed}: {score:?}");
        assert_eq!(score.quarantined, 0, "seed {seed}: {score:?}");
        assert!(score.failed * 100 <= score.total, "seed {seed}: {score:?}");
    }
}
