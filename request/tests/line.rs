//! The line of long prompts: its order, and how prompts are placed by it.

use std::time::{Duration, Instant};

use foldlock_base::id;
use foldlock_base::size::Tokens;
use foldlock_request::board::{Board, Listed, service_tag};
use foldlock_request::line::{Capacity, Waiting, order};
use foldlock_request::placement::{Ask, Nowhere, Place, place};
use foldlock_request::report::{Observed, Report};
use foldlock_version::routes::{Engine, Repeat, Route, Shape, Target};
use proptest::prelude::*;

const ENGINE: Engine = Engine {
    slots: 16,
    memory: Tokens(405_000),
    step_ms: 1.31,
    per_request_ms: 0.000_917,
    per_context_ms: 0.002_13,
    read_per_ms: 154.0,
    pairs_ms: 0.162,
    stride: 34,
    chunk: 2_048,
    usual_answer: Tokens(1_266),
};

const TEN: Capacity = Capacity { engines: 10.0, most: 10.0, busy_ms: 0.0 };

/// A prompt that arrived `age_ms` ago, numbered by `own`.
fn waiting(own: u64, age_ms: u64, read_ms: f64, objective_ms: u64) -> (Instant, Waiting) {
    let now = Instant::now();
    let waiting = Waiting {
        service: service_tag("model"),
        arrived: now.checked_sub(Duration::from_millis(age_ms)).unwrap(),
        read_ms,
        objective: Duration::from_millis(objective_ms),
        limit: Duration::from_secs(12),
        own: Some(own),
    };
    (now, waiting)
}

fn numbers(line: Vec<Waiting>, capacity: Capacity, now: Instant) -> Vec<u64> {
    order(line, capacity, now).into_iter().filter_map(|w| w.own).collect()
}

#[test]
fn the_most_pressing_goes_first() {
    let (now, calm) = waiting(1, 500, 2_000.0, 3_000);
    let (_, pressing) = waiting(2, 100, 400.0, 1_500);
    assert_eq!(numbers(vec![calm, pressing], TEN, now), [2, 1]);
}

#[test]
fn the_longest_is_put_back_where_not_all_can_be_in_time() {
    let (now, long) = waiting(1, 1_000, 18_000.0, 3_000);
    let (_, second) = waiting(2, 900, 9_000.0, 3_000);
    let (_, third) = waiting(3, 800, 8_000.0, 3_000);
    assert_eq!(numbers(vec![long, second, third], TEN, now), [2, 3, 1]);
}

#[test]
fn a_prompt_about_to_run_out_of_time_goes_before_all() {
    let (now, last) = waiting(1, 11_600, 20_000.0, 3_000);
    let (_, fresh) = waiting(2, 0, 400.0, 1_500);
    assert_eq!(numbers(vec![fresh, last], TEN, now), [1, 2]);
}

fn route() -> Route {
    Route {
        name: "r".to_owned(),
        host: "a".to_owned(),
        prefix: "/".to_owned(),
        repeat: Repeat::Resume,
        shape: Shape::Events { pause: Duration::from_millis(1_000) },
        timeout: Duration::from_secs(15),
        objective: Duration::from_millis(3_000),
        priority: 1,
        targets: vec![Target { service: "model".to_owned(), weight: 1 }],
        attempts: 2,
        public: false,
    }
}

fn upstream(i: usize) -> id::Upstream {
    format!("i-{i:02}").parse().unwrap()
}

fn board(engines: usize) -> Board {
    let mut board = Board::default();
    for i in 0..engines {
        board.list(Listed {
            id: upstream(i),
            service: "model".to_owned(),
            address: format!("10.0.0.{i}:80"),
            hall: "hall".to_owned(),
            slots: 16,
            leaving: false,
        });
    }
    board
}

/// A prompt that waits in the line of its VM.
fn ask(route: &Route, tokens: u64, turn: u64) -> Ask<'_> {
    Ask {
        service: "model",
        engine: Some(&ENGINE),
        route,
        prompt: Tokens(tokens),
        memory: Tokens(tokens + 1_000),
        hall: None,
        avoid: &[],
        waited: Duration::ZERO,
        turn: Some(turn),
        hold_limit: Duration::from_millis(2_400),
    }
}

fn enter(board: &mut Board, ask: &Ask<'_>, now: Instant) -> Result<Place, Nowhere> {
    let place = place(board, ask, now)?;
    board.enter(place.flight.clone(), now);
    Ok(place)
}

/// Lets a prompt wait on `board`, and tells `peer` of it as its VM would.
fn wait(board: &mut Board, peer: &mut Board, prompt: Waiting, now: Instant) -> u64 {
    let number = board.wait(prompt);
    peer.hear_waiting("vm-1".parse().unwrap(), &board.told_waiting(now), now);
    number
}

#[test]
fn a_prompt_leaves_the_engines_to_one_that_waits_longer_at_a_peer() {
    let (mut here, mut there, route) = (board(6), board(6), route());
    let (now, first) = waiting(0, 900, 4_000.0, 3_000);
    let (_, second) = waiting(0, 100, 4_000.0, 3_000);
    wait(&mut here, &mut there, first, now);
    let number = there.wait(second);
    let second = ask(&route, 182_000, number);
    assert_eq!(place(&there, &second, now).unwrap_err(), Nowhere::Full);
    there.hear_waiting("vm-1".parse().unwrap(), &[], now);
    assert!(place(&there, &second, now).is_ok(), "the first has its place by now");
}

#[test]
fn what_waits_at_a_peer_that_is_lost_holds_up_nobody() {
    let (mut here, mut there, route) = (board(6), board(6), route());
    let (now, first) = waiting(0, 900, 4_000.0, 3_000);
    let (_, second) = waiting(0, 100, 4_000.0, 3_000);
    wait(&mut here, &mut there, first, now);
    let number = there.wait(second);
    there.peer_lost(&"vm-1".parse().unwrap());
    assert!(place(&there, &ask(&route, 182_000, number), now).is_ok());
}

#[test]
fn a_peer_that_falls_silent_holds_up_the_line_for_a_moment_only() {
    let (mut here, mut there, route) = (board(6), board(6), route());
    let (now, first) = waiting(0, 900, 4_000.0, 3_000);
    let (_, second) = waiting(0, 100, 4_000.0, 3_000);
    wait(&mut here, &mut there, first, now);
    let number = there.wait(second);
    let second = ask(&route, 182_000, number);
    assert!(place(&there, &second, now + Duration::from_millis(800)).is_err());
    assert!(place(&there, &second, now + Duration::from_millis(1_000)).is_ok());
}

fn observe(board: &mut Board, i: usize, report: Option<Report>, at: Instant) {
    board.observe(&upstream(i), Observed { report, at });
}

#[test]
fn a_slow_engine_is_left_out_of_a_group() {
    let (mut board, now, route) = (board(6), Instant::now(), route());
    let slow = Report { pace: 5.0, running: 0, waiting: 0, memory: Tokens(0) };
    observe(&mut board, 4, Some(slow), now);
    let placed = enter(&mut board, &ask(&route, 182_000, 1), now).unwrap();
    assert!(placed.flight.helpers.iter().all(|h| h.upstream != upstream(4)), "{placed:?}");
    let later = now + Duration::from_secs(5);
    let placed = place(&board, &ask(&route, 182_000, 2), later).unwrap();
    let all = placed.flight.helpers.iter().map(|h| &h.upstream).chain([&placed.flight.upstream]);
    assert!(all.into_iter().any(|id| *id == upstream(4)), "an old report counts no more");
}

#[test]
fn an_engine_that_gives_no_report_is_passed_over_by_peers_too() {
    let (mut here, mut there, route) = (board(6), board(6), route());
    let now = Instant::now();
    observe(&mut here, 5, None, now);
    there.hear_reports(&here.told_reports(now), now);
    let placed = place(&there, &ask(&route, 182_000, 1), now).unwrap();
    let all = placed.flight.helpers.iter().map(|h| &h.upstream).chain([&placed.flight.upstream]);
    assert!(all.into_iter().all(|id| *id != upstream(5)), "{placed:?}");
}

#[test]
fn the_newest_report_counts_whoever_has_it() {
    let (mut here, mut there) = (board(2), board(2));
    let now = Instant::now();
    let report = |pace| Some(Report { pace, running: 1, waiting: 0, memory: Tokens(9) });
    observe(&mut here, 0, report(3.0), now);
    observe(&mut there, 0, report(1.0), now + Duration::from_millis(600));
    let later = now + Duration::from_millis(650);
    there.hear_reports(&here.told_reports(later), later);
    assert_eq!(there.get(&upstream(0)).unwrap().pace(later), 1.0);
    here.hear_reports(&there.told_reports(later), later);
    assert_eq!(here.get(&upstream(0)).unwrap().pace(later), 1.0);
    assert!(here.told_reports(later).is_empty(), "who asked last tells");
}

proptest! {
    /// All that waits is in the order once, and the same whichever way it was heard.
    #[test]
    fn all_vms_order_a_line_alike(
        prompts in prop::collection::vec((0_u64..12_000, 100_u32..40_000, 0_usize..3), 1..24),
        turn in any::<prop::sample::Index>(),
        engines in 1_u32..60,
    ) {
        let now = Instant::now();
        let line: Vec<Waiting> = prompts.iter().enumerate().map(|(i, (age, read, class))| {
            let age = age + i as u64;
            let objective = [1_500, 3_000, 4_000][*class];
            let mut prompt = waiting(i as u64, 0, f64::from(*read), objective).1;
            prompt.arrived = now.checked_sub(Duration::from_millis(age)).unwrap();
            prompt
        }).collect();
        let mut turned = line.clone();
        turned.rotate_left(turn.index(line.len()));
        let capacity = Capacity { engines: f64::from(engines), most: 17.0, busy_ms: 30.0 };
        let one = numbers(line.clone(), capacity, now);
        let mut sorted = one.clone();
        sorted.sort_unstable();
        prop_assert_eq!(sorted, (0..line.len() as u64).collect::<Vec<_>>());
        // Two prompts that arrived and end alike may change places; nothing else may.
        let key = |number: &u64| {
            let w = &line[*number as usize];
            (w.arrived, w.read_ms.to_bits(), w.objective)
        };
        let other = numbers(turned, capacity, now);
        prop_assert_eq!(
            one.iter().map(key).collect::<Vec<_>>(),
            other.iter().map(key).collect::<Vec<_>>()
        );
    }

    /// Whatever waits, the first in line is placed on an idle fleet, and nobody is placed on an
    /// engine that has more than a short prompt's reading ahead.
    #[test]
    fn someone_is_always_served_and_no_part_lies_on_another(
        tokens in prop::collection::vec(30_000_u64..300_000, 1..12),
    ) {
        let (mut board, now, route) = (board(12), Instant::now(), route());
        let turns: Vec<(u64, u64)> = tokens.iter().enumerate().map(|(i, tokens)| {
            let read_ms = foldlock_request::forecast::read_ms(&ENGINE, *tokens);
            let prompt = waiting(0, 10 * i as u64, read_ms, 3_000).1;
            (board.wait(prompt), *tokens)
        }).collect();
        let mut placed = 0;
        for (turn, tokens) in turns {
            if let Ok(place) = place(&board, &ask(&route, tokens, turn), now) {
                placed += 1;
                prop_assert!(place.load.backlog_ms <= 20.0);
                for (_, load) in &place.slowest {
                    prop_assert!(load.backlog_ms <= 20.0);
                }
                board.waited(turn);
                board.enter(place.flight, now);
            }
        }
        prop_assert!(placed > 0);
    }
}
