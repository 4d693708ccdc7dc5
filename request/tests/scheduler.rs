//! One VM that places the requests of all: what waits, what is asked again, what is given up.

use std::time::{Duration, Instant};

use foldlock_base::id;
use foldlock_base::size::Tokens;
use foldlock_request::budget::Charge;
use foldlock_request::cluster::{Cluster, Holder, Listed};
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::placement::{Placement, Rejection, Requirements};
use foldlock_request::quarantine::Crash;
use foldlock_request::scheduler::{Answer, Key, Scheduler};
use foldlock_request::tag::Tag;
use foldlock_version::routes::{Bounds, Engine, Service, Table};
use proptest::prelude::*;

const SLOTS: u32 = 10;

const ENGINE: Engine = Engine {
    slots: SLOTS,
    memory: Tokens(232_000),
    step_ms: 1.02,
    per_request_ms: 0.00226,
    per_context_ms: 0.00431,
    read_per_ms: 206.0,
    pairs_ms: 0.138,
    stride: 68,
    chunk: 2_048,
    usual_answer: Tokens(1_500),
};

fn table() -> Table {
    let bounds = Bounds {
        header_bytes: 16_384,
        body_bytes: 4_096,
        header_time: Duration::from_secs(3),
        idle_time: Duration::from_secs(15),
    };
    let service = |name: &str, engine| Service {
        name: name.to_owned(),
        connections: 9,
        engine,
        cold_per_s: None,
    };
    Table::builder(1, bounds)
        .service(service("model", Some(ENGINE)))
        .service(service("plain", None))
        .build()
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
            slots: SLOTS,
            leaving: false,
            cold_ms: 0,
        });
    }
    cluster
}

fn vm(i: usize) -> id::Vm {
    format!("vm-{i}").parse().unwrap()
}

fn key(vm_index: usize, number: u64) -> Key {
    Key { holder: Holder::Peer(vm(vm_index)), incarnation: 1, number }
}

fn short(arrived: Instant) -> Requirements {
    Requirements {
        prompt: Tokens(5_000),
        memory: Tokens(6_500),
        objective: Duration::from_millis(400),
        pause: Some(Duration::from_millis(250)),
        arrived,
        limit: Duration::from_secs(10),
        avoid: Vec::new(),
        connected: Vec::new(),
        hall: "a".to_owned(),
        hold_limit: Duration::from_millis(2_400),
        fingerprint: Fingerprint::of("", "", "", b""),
        offset: 0,
        schedulers: 1,
        charge: Charge::Free,
    }
}

fn long(tokens: u64, arrived: Instant) -> Requirements {
    Requirements {
        prompt: Tokens(tokens),
        memory: Tokens(tokens + 800),
        objective: Duration::from_millis(3_000),
        pause: Some(Duration::from_millis(1_000)),
        limit: Duration::from_secs(15),
        ..short(arrived)
    }
}

struct Fleet {
    cluster: Cluster,
    table: Table,
    scheduler: Scheduler,
    now: Instant,
}

impl Fleet {
    fn new(engines: usize) -> Fleet {
        let scheduler = Scheduler::default();
        Fleet { cluster: cluster(engines), table: table(), scheduler, now: Instant::now() }
    }

    fn ask(&mut self, key: Key, requirements: Requirements) -> Answer {
        let model = Tag::of("model");
        self.scheduler.ask(&mut self.cluster, &self.table, key, model, requirements, self.now)
    }

    fn look(&mut self) -> Vec<(Key, Placement)> {
        let answers = self.scheduler.look(&mut self.cluster, &self.table, self.now);
        let placement = |(key, answer)| match answer {
            Answer::Placed(placement, _) => (key, *placement),
            answer => panic!("{key:?}: {answer:?}"),
        };
        answers.into_iter().map(placement).collect()
    }

    fn cancel(&mut self, key: &Key) {
        self.scheduler.cancel(&mut self.cluster, key, self.now);
    }

    fn after(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }
}

fn placed(answer: Answer) -> (Placement, u64) {
    match answer {
        Answer::Placed(placement, grant) => (*placement, grant),
        answer => panic!("{answer:?}"),
    }
}

#[test]
fn who_asks_again_gets_the_same_place() {
    let mut fleet = Fleet::new(3);
    let requirements = short(fleet.now);
    let (placement, grant) = placed(fleet.ask(key(1, 1), requirements.clone()));
    fleet.after(25);
    let (again, grant_again) = placed(fleet.ask(key(1, 1), requirements.clone()));
    assert_eq!((placement.flight, grant), (again.flight, grant_again));
    assert_eq!(fleet.cluster.under_way(), 1);
    let (_, next) = placed(fleet.ask(key(1, 2), requirements));
    assert!(next > grant, "each place has a higher number");
}

#[test]
fn many_vms_that_ask_at_one_moment_do_not_meet_at_one_engine() {
    let mut fleet = Fleet::new(12);
    let requirements = short(fleet.now);
    let mut reading = std::collections::HashMap::new();
    for i in 0..24 {
        let (placement, _) = placed(fleet.ask(key(i, 1), requirements.clone()));
        *reading.entry(placement.flight.upstream).or_insert(0_u32) += 1;
        assert!(placement.predicted_ms <= 0.85 * 400.0, "{}", placement.predicted_ms);
    }
    // One is read at once, and five fit into the pass after it without a pause of over 250 ms.
    assert!(reading.values().all(|reads| *reads <= 6), "{reading:?}");
}

/// The number of the VM of a key.
fn vm_of(key: &Key) -> usize {
    let Holder::Peer(found) = &key.holder else { panic!("{key:?}") };
    (0..10).find(|i| vm(*i) == *found).unwrap()
}

#[test]
fn a_long_prompt_waits_its_turn_whichever_vm_it_came_to() {
    let mut fleet = Fleet::new(6);
    let (first, second) = (long(190_000, fleet.now), long(190_000, fleet.now));
    assert!(matches!(fleet.ask(key(1, 1), first), Answer::Waits));
    assert!(matches!(fleet.ask(key(2, 1), second), Answer::Waits));
    let placed = fleet.look();
    let [(first, _)] = placed.as_slice() else { panic!("{placed:?}") };
    assert!(fleet.look().is_empty(), "the engines read that one");
    fleet.after(400);
    let again = long(190_000, fleet.now);
    assert!(matches!(fleet.ask(key(3 - vm_of(first), 1), again), Answer::Waits));
    fleet.after(400);
    let placed = fleet.look();
    let [(second, _)] = placed.as_slice() else { panic!("{placed:?}") };
    assert_ne!(first, second);
}

#[test]
fn who_waits_is_not_placed_where_it_may_not_be_sent_by_now() {
    let mut fleet = Fleet::new(2);
    let engines: Vec<Tag> = fleet.cluster.ids().map(|id| fleet.cluster.tag_of(id)).collect();
    let requirements = long(60_000, fleet.now);
    for barred in engines {
        assert!(matches!(fleet.ask(key(1, 1), requirements.clone()), Answer::Waits));
        let asked_again = Requirements { avoid: vec![barred], ..requirements.clone() };
        assert!(matches!(fleet.ask(key(1, 1), asked_again), Answer::Waits));
        let placed = fleet.look();
        let [(_, placement)] = placed.as_slice() else { panic!("{placed:?}") };
        let used = std::iter::once(&placement.flight.upstream)
            .chain(placement.flight.helpers.iter().map(|helping| &helping.upstream));
        assert!(used.map(|id| fleet.cluster.tag_of(id)).all(|tag| tag != barred));
        fleet.cancel(&key(1, 1));
    }
}

#[test]
fn what_asks_no_more_holds_up_nobody() {
    let mut fleet = Fleet::new(6);
    let requirements = long(190_000, fleet.now);
    fleet.ask(key(1, 1), requirements.clone());
    fleet.ask(key(2, 1), requirements.clone());
    fleet.cancel(&key(1, 1));
    let placed = fleet.look();
    assert_eq!(placed.iter().map(|(key, _)| key.clone()).collect::<Vec<_>>(), [key(2, 1)]);
    fleet.cancel(&key(2, 1));
    assert_eq!(fleet.cluster.under_way(), 0, "its engines are free again");
}

#[test]
fn a_vm_that_falls_silent_waits_for_nothing() {
    let mut fleet = Fleet::new(6);
    let requirements = long(190_000, fleet.now);
    fleet.ask(key(1, 1), requirements.clone());
    fleet.ask(key(2, 1), requirements.clone());
    fleet.look();
    fleet.after(400);
    fleet.ask(key(2, 1), requirements.clone());
    fleet.ask(key(1, 1), requirements);
    fleet.after(700);
    fleet.look();
    assert_eq!(fleet.scheduler.waiting(), 0);
}

#[test]
fn a_start_anew_is_another_request() {
    let mut fleet = Fleet::new(3);
    let (_, first) = placed(fleet.ask(key(1, 1), short(fleet.now)));
    let renewed = Key { incarnation: 2, ..key(1, 1) };
    let (_, second) = placed(fleet.ask(renewed, short(fleet.now)));
    assert!(second > first);
}

/// Several engines have to hold this prompt, and would be silent for longer than they may be trusted with it: it is
/// told so at once, and not after most of its caller's time.
#[test]
fn a_prompt_beyond_all_engines_together_is_refused_at_once() {
    let now = Instant::now();
    let long = |tokens| Requirements {
        prompt: Tokens(tokens),
        memory: Tokens(tokens + 1_000),
        objective: Duration::from_secs(4),
        pause: Some(Duration::from_secs(1)),
        ..short(now)
    };
    let (mut cluster, mut scheduler) = (cluster(40), Scheduler::default());
    let mut ask = |number, tokens| {
        scheduler.ask(&mut cluster, &table(), key(1, number), Tag::of("model"), long(tokens), now)
    };
    assert!(matches!(ask(1, 600_000), Answer::Waits), "its parts take 1.6 s");
    assert!(matches!(ask(2, 800_000), Answer::Rejected(Rejection::TooLarge)), "and these 2.8 s");
}

#[test]
fn a_service_that_is_not_known_has_no_place() {
    let mut fleet = Fleet::new(1);
    let requirements = short(fleet.now);
    let Fleet { scheduler, cluster, table, now } = &mut fleet;
    let answer =
        scheduler.ask(cluster, table, key(1, 1), Tag::of("other"), requirements.clone(), *now);
    assert!(matches!(answer, Answer::Rejected(Rejection::Closed)), "{answer:?}");
    let answer = scheduler.ask(cluster, table, key(1, 2), Tag::of("plain"), requirements, *now);
    assert!(matches!(answer, Answer::Rejected(Rejection::Closed)), "no upstream of it is listed");
}

proptest! {
    /// Whoever asks, cancels or falls silent, in whichever order: no engine gets more requests or
    /// memory than it has, and what ended leaves nothing behind.
    #[test]
    fn no_engine_is_overfilled_and_nothing_stays(
        steps in prop::collection::vec((0_usize..6, 0_u64..30, 1_000_u64..400_000, 0_u64..200, 0_u8..4), 1..80),
    ) {
        let mut fleet = Fleet::new(8);
        for (vm, number, tokens, after_ms, step) in steps {
            fleet.after(after_ms);
            let requirements = if tokens < 20_000 { short(fleet.now) } else { long(tokens, fleet.now) };
            match step {
                0 | 1 => {
                    fleet.ask(key(vm, number), requirements);
                }
                2 => fleet.cancel(&key(vm, number)),
                _ => {
                    fleet.look();
                }
            }
            for (id, load) in fleet.cluster.loads(Some(&ENGINE), fleet.now) {
                prop_assert!(load.requests <= SLOTS, "{} has {:?}", id, load);
                prop_assert!(load.memory <= ENGINE.memory.0, "{} has {:?}", id, load);
            }
        }
        fleet.after(2_000);
        fleet.look();
        fleet.after(2_000);
        fleet.look();
        prop_assert_eq!(fleet.scheduler.waiting(), 0);
        prop_assert_eq!(fleet.cluster.under_way(), 0);
    }
}

/// Two upstreams ended under a request: it may be the cause, or have been beside the one that is.
fn suspect(fleet: &mut Fleet, requirements: &Requirements) {
    for upstream in ["i-900", "i-901"] {
        let ending = Crash { upstream: Tag::of(upstream), isolated: false };
        fleet.cluster.quarantine.record_crash(requirements.fingerprint, ending, fleet.now);
    }
}

fn suspicious(requirements: Requirements) -> Requirements {
    Requirements { fingerprint: Fingerprint::of("", "POST", "/deadly/", b""), ..requirements }
}

#[test]
fn a_suspect_runs_at_an_upstream_that_is_left_to_it() {
    for suspected in [short as fn(Instant) -> Requirements, |now| long(60_000, now)] {
        let mut fleet = Fleet::new(6);
        let beside = placed(fleet.ask(key(0, 1), short(fleet.now))).0;
        let requirements = suspicious(suspected(fleet.now));
        suspect(&mut fleet, &requirements);
        let alone = match fleet.ask(key(0, 2), requirements.clone()) {
            Answer::Placed(placement, _) => *placement,
            _ => fleet.look().pop().expect("there is room").1,
        };
        assert_eq!(alone.flight.isolated, Some(requirements.fingerprint));
        assert_ne!(alone.flight.upstream, beside.flight.upstream);
        for number in 3..20 {
            let other = placed(fleet.ask(key(0, number), short(fleet.now))).0;
            assert_ne!(other.flight.upstream, alone.flight.upstream, "nothing is put beside it");
        }
    }
}

#[test]
fn a_second_copy_of_a_suspect_waits_for_what_becomes_of_the_first() {
    for suspected in [short as fn(Instant) -> Requirements, |now| long(60_000, now)] {
        let mut fleet = Fleet::new(6);
        let requirements = suspicious(suspected(fleet.now));
        suspect(&mut fleet, &requirements);
        fleet.ask(key(0, 1), requirements.clone());
        fleet.ask(key(1, 1), requirements.clone());
        fleet.look();
        assert_eq!(fleet.cluster.under_way(), 1);
        assert!(matches!(fleet.ask(key(1, 1), requirements.clone()), Answer::Waits));
        // The first ends its upstream: the second is told so, and so is the next that comes.
        let ending = Crash { upstream: Tag::of("i-000"), isolated: true };
        fleet.cluster.quarantine.record_crash(requirements.fingerprint, ending, fleet.now);
        let answers = fleet.scheduler.look(&mut fleet.cluster, &fleet.table, fleet.now);
        let held =
            |answer: &Answer| matches!(answer, Answer::Rejected(Rejection::Quarantined { .. }));
        assert!(answers.iter().any(|(waiting, answer)| *waiting == key(1, 1) && held(answer)));
        assert!(held(&fleet.ask(key(2, 1), requirements.clone())));
    }
}

#[test]
fn a_suspect_whose_vm_ends_may_run_again_elsewhere() {
    let mut fleet = Fleet::new(6);
    let requirements = suspicious(short(fleet.now));
    suspect(&mut fleet, &requirements);
    placed(fleet.ask(key(0, 1), requirements.clone()));
    assert!(matches!(fleet.ask(key(1, 1), requirements.clone()), Answer::Waits));
    fleet.cluster.peer_lost(&vm(0), fleet.now);
    let again = fleet.look();
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].0, key(1, 1));
}
