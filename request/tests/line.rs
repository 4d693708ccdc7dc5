//! The queue of long prompts: its order, and the placement of queued prompts.

use std::time::{Duration, Instant};

use foldlock_base::id;
use foldlock_base::size::Tokens;
use foldlock_request::budget::Charge;
use foldlock_request::caller::Caller;
use foldlock_request::cluster::{Cluster, Listed};
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::long_queue::{Capacity, Entry, order};
use foldlock_request::placement::{
    self, Deadline, Kept, LongPrompt, LongQueue, Placement, Requirements,
};
use foldlock_request::report::{Observed, Report};
use foldlock_request::tag::Tag;
use foldlock_version::routes::{Engine, Service};
use proptest::prelude::*;

const ENGINE: Engine = Engine {
    slots: 16,
    memory: Tokens(405_000),
    step_ms: 1.31,
    per_request_ms: 0.000_917,
    per_context_ms: 0.002_13,
    prefill_tokens_per_ms: 154.0,
    ms_per_million_pairs: 0.162,
    stride: 34,
    chunk: 2_048,
    mean_answer: Tokens(1_266),
};

const TEN: Capacity = Capacity { engines: 10.0, max_per_prompt: 10.0, busy_ms: 0.0 };

/// A prompt that arrived `age_ms` ago.
fn entry(index: usize, age_ms: u64, prefill_ms: f64, objective_ms: u64) -> (Instant, Entry) {
    let now = Instant::now();
    let entry = Entry {
        arrived: now.checked_sub(Duration::from_millis(age_ms)).unwrap(),
        prefill_ms,
        objective: Duration::from_millis(objective_ms),
        queue_timeout: Duration::from_secs(12),
        class: 0,
        index,
    };
    (now, entry)
}

fn indices(queue: Vec<Entry>, capacity: Capacity, now: Instant) -> Vec<usize> {
    order(queue, capacity, now).into_iter().map(|w| w.index).collect()
}

#[test]
fn the_earliest_deadline_goes_first() {
    let (now, calm) = entry(1, 500, 2_000.0, 3_000);
    let (_, urgent) = entry(2, 100, 400.0, 1_500);
    assert_eq!(indices(vec![calm, urgent], TEN, now), [2, 1]);
}

#[test]
fn the_longest_is_deprioritized_where_not_all_can_be_in_time() {
    let (now, long) = entry(1, 1_000, 18_000.0, 3_000);
    let (_, second) = entry(2, 900, 9_000.0, 3_000);
    let (_, third) = entry(3, 800, 8_000.0, 3_000);
    assert_eq!(indices(vec![long, second, third], TEN, now), [2, 3, 1]);
}

#[test]
fn a_prompt_about_to_time_out_goes_before_all() {
    let (now, last) = entry(1, 11_600, 20_000.0, 3_000);
    let (_, fresh) = entry(2, 0, 400.0, 1_500);
    assert_eq!(indices(vec![fresh, last], TEN, now), [1, 2]);
}

fn service() -> Service {
    Service {
        name: "model".to_owned(),
        max_connections: 100,
        engine: Some(ENGINE),
        cold_per_s: None,
    }
}

fn upstream(i: usize) -> id::Upstream {
    format!("i-{i:02}").parse().unwrap()
}

fn cluster(engines: usize) -> Cluster {
    let mut cluster = Cluster::default();
    for i in 0..engines {
        cluster.list(Listed {
            id: upstream(i),
            born: None,
            revision: 0.into(),
            service: "model".to_owned(),
            address: format!("10.0.0.{i}:80"),
            hall: "hall".to_owned(),
            slots: 16,
            leaving: false,
            cold_ms: 0,
        });
    }
    cluster
}

/// A prompt that arrived at that moment.
fn requirements(tokens: u64, arrived: Instant) -> Requirements {
    Requirements {
        prompt: Tokens(tokens),
        memory: Tokens(tokens + 1_000),
        objective: Duration::from_millis(3_000),
        pause: Some(Duration::from_millis(1_000)),
        arrived,
        queue_timeout: Duration::from_secs(12),
        excluded: Vec::new(),
        connected: Vec::new(),
        hall: String::new(),
        reservation_timeout: Duration::from_millis(2_400),
        fingerprint: Fingerprint::of("", "", "", b""),
        offset: 0,
        schedulers: 1,
        charge: Charge::Free,
        caller: Caller::default(),
    }
}

/// Places the prompts that can be placed now, and records them as in flight.
fn place(cluster: &mut Cluster, prompts: &[Requirements], now: Instant) -> Vec<(usize, Placement)> {
    let long: Vec<LongPrompt<'_>> = prompts
        .iter()
        .enumerate()
        .map(|(index, requirements)| LongPrompt { requirements, index, class: 0 })
        .collect();
    let queue = LongQueue {
        prompts: &long,
        demand: 0.0,
        offset: 0,
        kept: Kept::default(),
        deadline: Deadline::Objective,
    };
    let placed = placement::place_long(cluster, &service(), &ENGINE, queue, now);
    for (_, placement) in &placed {
        let number = cluster.next_number();
        cluster.begin_attempt(number, placement.flight.clone(), now);
    }
    placed
}

fn engines(placement: &Placement) -> Vec<id::Upstream> {
    let helpers = placement.flight.helpers.iter().map(|helping| helping.upstream.clone());
    helpers.chain([placement.flight.upstream.clone()]).collect()
}

#[test]
fn a_prompt_does_not_take_the_engines_of_an_earlier_one() {
    let (mut cluster, now) = (cluster(6), Instant::now());
    let first = requirements(182_000, now.checked_sub(Duration::from_millis(900)).unwrap());
    let second = requirements(182_000, now.checked_sub(Duration::from_millis(100)).unwrap());
    let placed = place(&mut cluster, &[second.clone(), first], now);
    assert_eq!(placed.iter().map(|(index, _)| *index).collect::<Vec<_>>(), [1]);
    assert!(
        place(&mut cluster, std::slice::from_ref(&second), now).is_empty(),
        "all engines are busy"
    );
    let read = now + Duration::from_millis(800);
    assert_eq!(place(&mut cluster, &[second], read).len(), 1);
}

#[test]
fn prompts_that_need_different_engines_are_placed_together() {
    let (mut cluster, now) = (cluster(6), Instant::now());
    let small = requirements(12_000, now);
    let placed = place(&mut cluster, &[small.clone(), small], now);
    let [(_, one), (_, two)] = placed.as_slice() else { panic!("{placed:?}") };
    assert!(engines(one).iter().all(|engine| !engines(two).contains(engine)));
}

/// Whether a prompt can be placed on idle engines, of which other long prompts need `demand`.
fn can_be_placed(engines: usize, demand: f64, prompt: &Requirements, now: Instant) -> bool {
    let long = [LongPrompt { requirements: prompt, index: 0, class: 0 }];
    let queue = LongQueue {
        prompts: &long,
        demand,
        offset: 0,
        kept: Kept::default(),
        deadline: Deadline::Objective,
    };
    let placed = placement::place_long(&cluster(engines), &service(), &ENGINE, queue, now);
    placed.iter().all(|(_, placement)| placement.predicted_ms < 4_000.0) && !placed.is_empty()
}

/// Guards against long delays of the longest prompts on an idle fleet. The parts of such a prompt
/// exceed the usual limit even on the maximum number of engines, but it is in time if it is placed
/// at once, and no other prompt waits for it.
#[test]
fn the_longest_prompt_is_placed_at_once_on_an_idle_fleet_where_enough_engines_are_left() {
    let now = Instant::now();
    let objective = Duration::from_millis(4_000);
    let longest =
        Requirements { objective, reservation_timeout: objective, ..requirements(700_000, now) };
    let own = 44_000.0 / 2_000.0;
    assert!(can_be_placed(45, own, &longest, now), "it needs 22 engines itself");
    assert!(can_be_placed(45, own + 11.0, &longest, now));
    assert!(!can_be_placed(45, own + 25.0, &longest, now), "others would wait for its engines");
    assert!(!can_be_placed(20, own + 11.0, &longest, now));
}

/// Guards against retries that never avoid full engines. Many VMs have crashed, and three of 24
/// engines are full of parts that no running VM has recorded. A group of 17 usually includes one of
/// them. Each refusal names the first of them, and a route with one attempt allows three refusals
/// in a row.
#[test]
fn a_group_without_full_engines_is_found_after_at_most_three_refusals() {
    let now = Instant::now();
    let full = [upstream(23), upstream(20), upstream(17)];
    let mut prompt = requirements(182_000, now);
    for refusals in 0..=3 {
        let placed = place(&mut cluster(24), std::slice::from_ref(&prompt), now);
        let flight = &placed[0].1.flight;
        let is_used = |engine: &&id::Upstream| engines(&placed[0].1).contains(engine);
        let Some(suspect) = full.iter().find(is_used) else {
            assert!(refusals > 0, "a group of this size includes one of them");
            return;
        };
        prompt.excluded.push(Tag::of(flight.excluded_after(suspect).as_str()));
    }
    panic!("three refusals named three engines, and the next group still includes one of them");
}

fn observe(cluster: &mut Cluster, i: usize, report: Option<Report>, at: Instant) {
    cluster.record_report(&upstream(i), Observed { report, at });
}

#[test]
fn a_slow_engine_is_not_used_for_a_group() {
    let (mut cluster, now) = (cluster(6), Instant::now());
    let slow = Report { slowdown: 5.0, running: 0, waiting: 0, memory: Tokens(0), born: None };
    observe(&mut cluster, 4, Some(slow), now);
    let placed = place(&mut cluster, &[requirements(182_000, now)], now);
    assert!(!engines(&placed[0].1).contains(&upstream(4)), "{placed:?}");
    let later = now + Duration::from_secs(5);
    let placed = place(&mut cluster, &[requirements(182_000, later)], later);
    assert!(engines(&placed[0].1).contains(&upstream(4)), "an old report is ignored");
}

#[test]
fn the_scheduler_avoids_an_engine_that_gave_another_vm_no_report() {
    let (mut here, mut there) = (cluster(6), cluster(6));
    let now = Instant::now();
    observe(&mut here, 5, None, now);
    there.merge_reports(&here.announced_reports(now), now);
    let placed = place(&mut there, &[requirements(182_000, now)], now);
    assert!(!engines(&placed[0].1).contains(&upstream(5)), "{placed:?}");
}

#[test]
fn the_newest_report_counts_whichever_vm_received_it() {
    let (mut here, mut there) = (cluster(2), cluster(2));
    let now = Instant::now();
    let report =
        |slowdown| Some(Report { slowdown, running: 1, waiting: 0, memory: Tokens(9), born: None });
    observe(&mut here, 0, report(3.0), now);
    observe(&mut there, 0, report(1.0), now + Duration::from_millis(600));
    let later = now + Duration::from_millis(650);
    there.merge_reports(&here.announced_reports(later), later);
    assert_eq!(there.get(&upstream(0)).unwrap().slowdown(later), 1.0);
    here.merge_reports(&there.announced_reports(later), later);
    assert_eq!(here.get(&upstream(0)).unwrap().slowdown(later), 1.0);
    assert!(
        here.announced_reports(later).is_empty(),
        "only the VM with the newest report announces it"
    );
}

proptest! {
    /// The order contains each queued prompt once, and does not depend on the order of the input.
    #[test]
    fn the_order_of_the_queue_does_not_depend_on_the_input_order(
        prompts in prop::collection::vec((0_u64..12_000, 100_u32..40_000, 0_usize..3), 1..24),
        turn in any::<prop::sample::Index>(),
        engines in 1_u32..60,
    ) {
        let now = Instant::now();
        let queue: Vec<Entry> = prompts.iter().enumerate().map(|(i, (age, read, class))| {
            let age = age + i as u64;
            let objective = [1_500, 3_000, 4_000][*class];
            let mut prompt = entry(i, 0, f64::from(*read), objective).1;
            prompt.arrived = now.checked_sub(Duration::from_millis(age)).unwrap();
            prompt
        }).collect();
        let mut rotated = queue.clone();
        rotated.rotate_left(turn.index(queue.len()));
        let capacity = Capacity { engines: f64::from(engines), max_per_prompt: 17.0, busy_ms: 30.0 };
        let one = indices(queue.clone(), capacity, now);
        let mut sorted = one.clone();
        sorted.sort_unstable();
        prop_assert_eq!(sorted, (0..queue.len()).collect::<Vec<_>>());
        // Only prompts with equal arrival, prefill time and objective may swap.
        let key = |index: &usize| {
            let w = &queue[*index];
            (w.arrived, w.prefill_ms.to_bits(), w.objective)
        };
        let other = indices(rotated, capacity, now);
        prop_assert_eq!(
            one.iter().map(key).collect::<Vec<_>>(),
            other.iter().map(key).collect::<Vec<_>>()
        );
    }

    /// For any queue, at least one prompt is placed on an idle fleet, and no part is placed on an
    /// engine with a larger backlog than a short prompt.
    #[test]
    fn a_prompt_is_always_placed_and_no_engine_reads_parts_of_two(
        tokens in prop::collection::vec(30_000_u64..300_000, 1..12),
    ) {
        let (mut cluster, now) = (cluster(12), Instant::now());
        let prompts: Vec<Requirements> = tokens.iter().enumerate().map(|(i, tokens)| {
            requirements(*tokens, now.checked_sub(Duration::from_millis(10 * i as u64)).unwrap())
        }).collect();
        let placed = place(&mut cluster, &prompts, now);
        prop_assert!(!placed.is_empty());
        let mut used: Vec<id::Upstream> = Vec::new();
        for (_, placement) in &placed {
            prop_assert!(placement.load.backlog_ms <= 20.0);
            for (_, load) in &placement.busiest_helpers {
                prop_assert!(load.backlog_ms <= 20.0);
            }
            for engine in engines(placement) {
                prop_assert!(!used.contains(&engine), "{} reads for two", engine);
                used.push(engine);
            }
        }
    }
}
