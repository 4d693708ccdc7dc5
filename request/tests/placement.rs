//! Placement of requests of different lengths.

use std::time::{Duration, Instant};

use foldlock_base::id;
use foldlock_base::size::{Rate, Tokens};
use foldlock_request::budget::Charge;
use foldlock_request::caller::Caller;
use foldlock_request::cluster::{Cluster, Listed};
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::flight::Flight;
use foldlock_request::forecast;
use foldlock_request::placement::{
    self, Deadline, Kept, LongPrompt, LongQueue, Placement, Rejection, Requirements,
};
use foldlock_request::report::{Observed, Report};
use foldlock_request::suspicion::{Failure, Outcome};
use foldlock_request::tag::Tag;
use foldlock_version::routes::{Engine, Service};
use proptest::prelude::*;

const ENGINE: Engine = Engine {
    slots: 16,
    memory: Tokens(232_000),
    step_ms: 1.02,
    per_request_ms: 0.00226,
    per_context_ms: 0.00431,
    prefill_tokens_per_ms: 206.0,
    ms_per_million_pairs: 0.138,
    stride: 43,
    chunk: 2_048,
    mean_answer: Tokens(1_303),
};

/// Latency targets of a kind of request, milliseconds.
#[derive(Clone, Copy)]
struct Route {
    objective: u64,
    pause: u64,
}

const SHORT: Route = Route { objective: 300, pause: 250 };

const LONG: Route = Route { objective: 2_500, pause: 1_000 };

fn service(engine: Option<Engine>) -> Service {
    Service { name: "model".to_owned(), max_connections: 100, engine, cold_per_s: None }
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
            hall: if i % 2 == 0 { "even" } else { "odd" }.to_owned(),
            slots: 16,
            leaving: false,
            cold_ms: 0,
        });
    }
    cluster
}

fn requirements(route: Route, tokens: u64) -> Requirements {
    Requirements {
        prompt: Tokens(tokens),
        memory: Tokens(tokens + 1_000),
        objective: Duration::from_millis(route.objective),
        pause: Some(Duration::from_millis(route.pause)),
        arrived: Instant::now(),
        queue_timeout: Duration::from_secs(10),
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

fn place(
    cluster: &Cluster,
    requirements: &Requirements,
    now: Instant,
) -> Result<Placement, Rejection> {
    placement::place(cluster, &service(Some(ENGINE)), requirements, now)
}

fn begin(cluster: &mut Cluster, flight: Flight, now: Instant) -> u64 {
    let number = cluster.next_number();
    cluster.begin_attempt(number, flight, now);
    number
}

/// Places a request and records it as in flight.
fn enter(
    cluster: &mut Cluster,
    requirements: &Requirements,
    now: Instant,
) -> Result<Placement, Rejection> {
    let placement = place(cluster, requirements, now)?;
    begin(cluster, placement.flight.clone(), now);
    Ok(placement)
}

#[test]
fn prefill_time_grows_with_the_square_of_long_prompts() {
    let ms = |tokens| forecast::prefill_ms(&ENGINE, tokens);
    assert!((ms(5_000) - 26.0).abs() < 1.0, "{}", ms(5_000));
    assert!((ms(133_000) - 1_866.0).abs() < 10.0, "{}", ms(133_000));
    assert!(ms(266_000) > 3.0 * ms(133_000));
}

/// Many VMs that each send a plain request now and then: each uses an upstream to which it has a
/// connection, unless another upstream has fewer requests.
#[test]
fn a_plain_request_goes_to_a_connected_upstream_among_equals() {
    let (mut cluster, now) = (cluster(9), Instant::now());
    let plain = service(None);
    let connected = vec![Tag::of(upstream(5).as_str())];
    let requirements = Requirements { connected, ..requirements(SHORT, 0) };
    let placed = placement::place(&cluster, &plain, &requirements, now).unwrap();
    assert_eq!(placed.flight.upstream, upstream(5));
    begin(&mut cluster, placed.flight, now);
    let placed = placement::place(&cluster, &plain, &requirements, now).unwrap();
    assert_ne!(placed.flight.upstream, upstream(5));
}

/// Guards against requests that are rejected while engines are idle that were silent for a moment: they are avoided for up to
/// 4 s. Only an engine that has responded to a report request since is used, and only if no other has room.
#[test]
fn an_engine_that_reports_after_a_silence_is_used_once_the_others_are_full() {
    let (start, ms) = (Instant::now(), Duration::from_millis);
    let report = Report { slowdown: 1.0, running: 0, waiting: 0, memory: Tokens(0), born: None };
    let (silence, other) = (Failure::Unresponsive, Failure::Malformed);
    let cases = [
        (vec![silence], None, false),
        (vec![silence], Some((None, 300)), false),
        (vec![silence], Some((Some(report), 100)), false),
        (vec![silence], Some((Some(report), 300)), true),
        (vec![silence, silence, other], Some((Some(report), 300)), true),
        (vec![other, other], Some((Some(report), 300)), false),
        (vec![silence, other, other], Some((Some(report), 300)), false),
    ];
    for (failures, observed, is_used) in cases {
        let mut cluster = cluster(2);
        for failure in &failures {
            cluster.record_outcome(&upstream(0), Outcome::Failed(*failure), start + ms(200));
        }
        if let Some((report, at)) = observed {
            cluster.record_report(&upstream(0), Observed { report, at: start + ms(at) });
        }
        let (requirements, now) = (requirements(SHORT, 1_000), start + ms(400));
        for _ in 0..ENGINE.slots {
            let flight = place(&cluster, &requirements, now).unwrap().flight;
            assert_eq!(flight.upstream, upstream(1), "it has room, {failures:?}, {observed:?}");
            begin(&mut cluster, flight, now);
        }
        let placed = place(&cluster, &requirements, now).map(|placed| placed.flight.upstream);
        let expected = if is_used { Ok(upstream(0)) } else { Err(Rejection::Full) };
        assert_eq!(placed, expected, "{failures:?}, {observed:?}");
    }
}

#[test]
fn short_prompts_fill_one_engine_after_the_other() {
    let (mut cluster, now) = (cluster(4), Instant::now());
    let requirements = requirements(SHORT, 1_000);
    for n in 0..32 {
        let number = {
            let placement = place(&cluster, &requirements, now).unwrap();
            let number = begin(&mut cluster, placement.flight.clone(), now);
            assert_eq!(placement.flight.upstream, upstream(n / 16), "request {n}");
            number
        };
        cluster.record_first_event(number, now);
    }
}

#[test]
fn a_long_prompt_is_read_by_several_engines_away_from_short_ones() {
    let (mut cluster, now) = (cluster(6), Instant::now());
    for _ in 0..2 {
        let placed = enter(&mut cluster, &requirements(SHORT, 5_000), now).unwrap();
        assert_eq!(placed.flight.upstream, upstream(0));
        assert!(placed.flight.helpers.is_empty());
    }
    let placed = enter(&mut cluster, &requirements(LONG, 133_000), now).unwrap();
    let read: Vec<_> = placed.flight.helpers.iter().map(|h| &h.upstream).collect();
    assert_eq!(read.len(), 4, "the five engines without a short response");
    assert_ne!(placed.flight.upstream, upstream(0));
    assert!(placed.flight.helpers.iter().all(|h| h.upstream != upstream(0) && h.reserved == 0));
    assert!(placed.predicted_ms < 500.0, "{}", placed.predicted_ms);
}

#[test]
fn engines_with_short_responses_read_only_small_parts() {
    let (mut cluster, now) = (cluster(12), Instant::now());
    for i in 0..12 {
        let flight = Flight {
            upstream: upstream(i),
            helpers: Vec::new(),
            part_ms: 0.0,
            memory: 6_000,
            pause_ms: 250,
            decoding: true,
            isolated: None,
        };
        begin(&mut cluster, flight, now);
    }
    let placed = enter(&mut cluster, &requirements(LONG, 60_000), now).unwrap();
    let pass = forecast::pass_ms(&ENGINE, 2, 6_000);
    assert!(f64::from(placed.flight.part_ms) + pass <= 250.0, "{placed:?}");
    let heavy = place(&cluster, &requirements(LONG, 300_000), now);
    assert_eq!(heavy.unwrap_err(), Rejection::Full);
    assert!(place(&cluster, &requirements(SHORT, 5_000), now).is_ok());
}

#[test]
fn a_prompt_beyond_the_memory_of_one_engine_reserves_memory_on_several() {
    let (mut cluster, now) = (cluster(12), Instant::now());
    let placed = enter(&mut cluster, &requirements(LONG, 300_000), now).unwrap();
    let reserved: u64 = placed.flight.helpers.iter().map(|h| h.reserved).sum();
    assert!(reserved > 0);
    assert_eq!(placed.flight.memory + reserved, 301_000);
    assert!(placed.flight.memory <= ENGINE.memory.0);
    assert!(placed.flight.part_ms <= 700.0);
}

#[test]
fn the_longest_prompts_are_placed_on_an_idle_fleet() {
    let (mut cluster, now) = (cluster(18), Instant::now());
    let placed = enter(&mut cluster, &requirements(LONG, 600_000), now).unwrap();
    assert_eq!(placed.flight.helpers.len(), 16);
    assert!(placed.predicted_ms < 2_500.0, "{}", placed.predicted_ms);
}

#[test]
fn a_heavy_prompt_is_not_placed_while_its_engines_are_busy() {
    let (mut cluster, now) = (cluster(12), Instant::now());
    enter(&mut cluster, &requirements(LONG, 300_000), now).unwrap();
    let second = place(&cluster, &requirements(LONG, 300_000), now);
    assert_eq!(second.unwrap_err(), Rejection::Full);
    let later = now + Duration::from_secs(2);
    assert!(
        place(&cluster, &requirements(LONG, 300_000), later).is_ok(),
        "the first prompt has been read by then"
    );
}

#[test]
fn a_part_is_not_placed_on_engines_with_unread_parts() {
    let (mut cluster, now) = (cluster(4), Instant::now());
    enter(&mut cluster, &requirements(LONG, 133_000), now).unwrap();
    let second = requirements(LONG, 100_000);
    assert_eq!(place(&cluster, &second, now).unwrap_err(), Rejection::Full);
    let aged = Requirements {
        arrived: now.checked_sub(Duration::from_secs(6)).unwrap(),
        ..second.clone()
    };
    assert_eq!(
        place(&cluster, &aged, now).unwrap_err(),
        Rejection::Full,
        "the time in the queue makes no difference"
    );
    assert!(
        place(&cluster, &second, now + Duration::from_millis(600)).is_ok(),
        "the first prompt has been read by then"
    );
}

#[test]
fn a_heavy_prompt_is_read_by_engines_without_short_responses() {
    let (mut cluster, now) = (cluster(12), Instant::now());
    for i in (0..6).chain(0..6) {
        let placed = place(&cluster, &requirements(SHORT, 5_000), now).unwrap();
        begin(&mut cluster, Flight { upstream: upstream(i), decoding: true, ..placed.flight }, now);
    }
    let placed = enter(&mut cluster, &requirements(LONG, 220_000), now).unwrap();
    let read: Vec<_> = placed.flight.helpers.iter().map(|h| h.upstream.clone()).collect();
    assert!(read.iter().chain([&placed.flight.upstream]).all(|id| *id > upstream(5)), "{read:?}");
    assert!(placed.predicted_ms < 1_000.0, "{}", placed.predicted_ms);
    let next = requirements(LONG, 220_000);
    assert_eq!(
        place(&cluster, &next, now).unwrap_err(),
        Rejection::Full,
        "the engines are busy now"
    );
}

#[test]
fn a_prompt_is_read_before_its_reservations_expire() {
    let (mut cluster, now) = (cluster(12), Instant::now());
    for i in (0..6).chain(0..6) {
        let placed = place(&cluster, &requirements(SHORT, 5_000), now).unwrap();
        begin(&mut cluster, Flight { upstream: upstream(i), decoding: true, ..placed.flight }, now);
    }
    let brief = Requirements {
        reservation_timeout: Duration::from_millis(1_500),
        ..requirements(LONG, 300_000)
    };
    assert_eq!(place(&cluster, &brief, now).unwrap_err(), Rejection::Full, "1.3 s on five engines");
    let placed = place(&cluster, &requirements(LONG, 300_000), now).unwrap();
    assert!(placed.flight.has_reservations());
    assert!(placed.predicted_ms < 2_400.0 * 0.85, "{}", placed.predicted_ms);
}

#[test]
fn a_single_short_response_does_not_exclude_long_parts() {
    let (mut cluster, now) = (cluster(6), Instant::now());
    for i in 0..6 {
        let placed = place(&cluster, &requirements(SHORT, 5_000), now).unwrap();
        begin(&mut cluster, Flight { upstream: upstream(i), decoding: true, ..placed.flight }, now);
    }
    let shared = place(&cluster, &requirements(LONG, 220_000), now).unwrap();
    assert!(shared.flight.part_ms > 250.0, "{shared:?}");
    for i in 0..6 {
        let placed = place(&cluster, &requirements(SHORT, 5_000), now).unwrap();
        begin(&mut cluster, Flight { upstream: upstream(i), decoding: true, ..placed.flight }, now);
    }
    assert_eq!(place(&cluster, &requirements(LONG, 220_000), now).unwrap_err(), Rejection::Full);
}

#[test]
fn upstreams_that_failed_are_passed_over_while_there_are_others() {
    let (mut cluster, now) = (cluster(2), Instant::now());
    cluster.record_outcome(&upstream(0), Outcome::Failed(Failure::Unresponsive), now);
    let placed = place(&cluster, &requirements(SHORT, 5_000), now).unwrap();
    assert_eq!(placed.flight.upstream, upstream(1));
    let excluded = vec![Tag::of("i-01")];
    let placed =
        place(&cluster, &Requirements { excluded, ..requirements(SHORT, 5_000) }, now).unwrap();
    assert_eq!(
        placed.flight.upstream,
        upstream(0),
        "an upstream that failed is used if there is no other"
    );
    let excluded = vec![Tag::of("i-00"), Tag::of("i-01")];
    let none = place(&cluster, &Requirements { excluded, ..requirements(SHORT, 5_000) }, now);
    assert_eq!(none.unwrap_err(), Rejection::NoUpstream);
}

#[test]
fn upstreams_of_the_own_hall_are_preferred() {
    let (cluster, now) = (cluster(4), Instant::now());
    let placed = place(
        &cluster,
        &Requirements { hall: "odd".to_owned(), ..requirements(SHORT, 5_000) },
        now,
    )
    .unwrap();
    assert_eq!(placed.flight.upstream, upstream(1));
}

#[test]
fn plain_requests_go_to_the_least_loaded_upstream() {
    let (mut cluster, now) = (cluster(3), Instant::now());
    let mut seen: Vec<String> = (0..3)
        .map(|_| {
            let plain =
                placement::place(&cluster, &service(None), &requirements(SHORT, 0), now).unwrap();
            begin(&mut cluster, plain.flight.clone(), now);
            plain.flight.upstream.to_string()
        })
        .collect();
    seen.sort();
    assert_eq!(seen, ["i-00", "i-01", "i-02"]);
}

proptest! {
    /// For any sequence of requests, no engine gets more memory or requests than it has, no engine
    /// occurs twice in a group, and the memory adds up.
    #[test]
    fn no_engine_is_overcommitted(
        engines in 1usize..20,
        requests in prop::collection::vec((any::<bool>(), 100u64..600_000, 0u64..300), 1..60),
    ) {
        let (mut cluster, mut now) = (cluster(engines), Instant::now());
        for (is_short, tokens, after_ms) in requests {
            now += Duration::from_millis(after_ms);
            let (route, tokens) = if is_short { (SHORT, tokens % 24_000) } else { (LONG, tokens) };
            let requirements = requirements(route, tokens);
            let Ok(placed) = enter(&mut cluster, &requirements, now) else { continue };
            let mut group: Vec<&id::Upstream> =
                placed.flight.helpers.iter().map(|h| &h.upstream).collect();
            group.push(&placed.flight.upstream);
            let size = group.len();
            group.sort();
            group.dedup();
            prop_assert_eq!(group.len(), size);
            prop_assert!(size <= 17);
            let reserved: u64 = placed.flight.helpers.iter().map(|h| h.reserved).sum();
            prop_assert!(placed.flight.memory + reserved >= requirements.memory.0);
            for (upstream, load) in cluster.loads(None, now) {
                prop_assert!(load.requests <= ENGINE.slots, "{} has {:?}", upstream, load);
                prop_assert!(load.memory <= ENGINE.memory.0, "{} has {:?}", upstream, load);
            }
        }
    }
}

/// The first engines announce a limit of so many requests per second.
fn limit(cluster: &mut Cluster, engines: usize, per_s: f64, now: Instant) {
    for i in 0..engines {
        let tag = Tag::of(upstream(i).as_str());
        let vm = "vm-1".parse().unwrap();
        cluster.observe_limit(tag, Rate::per_second(per_s), now, &vm, now).unwrap();
    }
}

/// Guards against parts of split prompts that exceed an engine's rate limit.
#[test]
fn rate_limited_engines_read_no_parts_of_split_prompts() {
    let now = Instant::now();
    let mut cluster = cluster(18);
    limit(&mut cluster, 6, 2.0, now);
    let later = now + Duration::from_secs(1);
    let prompt = Requirements { arrived: later, ..requirements(LONG, 133_000) };
    let placement = place(&cluster, &prompt, later).unwrap();
    assert!(!placement.flight.helpers.is_empty());
    let limited: Vec<id::Upstream> = (0..6).map(upstream).collect();
    let helpers = placement.flight.helpers.iter().map(|helping| &helping.upstream);
    for engine in helpers.chain([&placement.flight.upstream]) {
        assert!(!limited.contains(engine), "{engine}");
    }
}

/// Guards against long prompts that are queued without end where no engine may read parts for
/// another.
#[test]
fn a_long_prompt_is_not_split_where_all_engines_are_rate_limited() {
    let now = Instant::now();
    let mut cluster = cluster(4);
    limit(&mut cluster, 4, 2.0, now);
    let later = now + Duration::from_secs(1);
    let service = service(Some(ENGINE));
    let prompt = Requirements { arrived: later, ..requirements(LONG, 133_000) };
    let too_long = |cluster: &Cluster, prompt: &Requirements| {
        placement::is_too_long(cluster, &service, &ENGINE, prompt, Deadline::Objective, later)
    };
    assert!(!too_long(&cluster, &prompt));
    for _ in 0..4 {
        let placement = placement::place_whole(&cluster, &service, &prompt, later).unwrap();
        assert!(placement.flight.helpers.is_empty());
        begin(&mut cluster, placement.flight, later);
    }
    let fifth = placement::place_whole(&cluster, &service, &prompt, later);
    assert!(matches!(fifth, Err(Rejection::Full)), "each accepts one in half a second: {fifth:?}");
    // A prompt that needs the memory of several engines cannot be served by them.
    assert!(too_long(&cluster, &requirements(LONG, 300_000)));
}

/// Guards against a rate limit that is never probed again because its engine gets no requests while
/// others have room.
#[test]
fn a_rate_limited_engine_is_probed_while_others_have_room() {
    let now = Instant::now();
    let mut cluster = cluster(2);
    limit(&mut cluster, 1, 2.0, now);
    let mut sent = [0, 0];
    for step in 1..50 {
        let at = now + Duration::from_millis(200 * step);
        let requirements = Requirements { arrived: at, ..requirements(SHORT, 5_000) };
        let placement = place(&cluster, &requirements, at).unwrap();
        let engine = usize::from(placement.flight.upstream == upstream(1));
        sent[engine] += 1;
        let number = begin(&mut cluster, placement.flight, at);
        cluster.end_attempt(number, at + Duration::from_millis(100));
    }
    assert!((3..=6).contains(&sent[0]), "{sent:?}");
}

/// Guards against rejections of callers with little time left, most of which can be served: after the
/// loss of all VMs, prompts of 28,000 tokens were rejected with 3.2 s left, and half of the responses
/// take 1.7 s. Response lengths are geometric, as observed.
#[test]
fn half_of_the_responses_end_within_the_service_time() {
    let passes = ENGINE.mean_answer.0 as f64 / f64::from(ENGINE.stride);
    let ends_within = |passes_left: f64| 1.0 - (1.0 - 1.0 / passes).powf(passes_left);
    let of_mean =
        |tokens| Requirements { memory: Tokens(tokens + 4_000), ..requirements(LONG, tokens) };
    for tokens in [60_000, 120_000, 200_000] {
        let prompt = of_mean(tokens);
        let reading_ms = prompt.long_prefill_ms(&ENGINE).unwrap() / 10.0;
        let left_ms = prompt.service_time(&ENGINE).as_secs_f64() * 1e3 - reading_ms;
        let share = ends_within(left_ms / forecast::pass_ms(&ENGINE, 4, ENGINE.memory.0 / 2));
        assert!((0.45..0.55).contains(&share), "{tokens} tokens: {share}");
    }
}

/// Guards against queue timeouts that change where no forecast decides: they leave time for the mean response, slowed down
/// by prefills. And against a panic for an engine whose rates are zero.
#[test]
fn the_mean_service_time_is_that_of_the_mean_response() {
    let service_time = |engine: &Engine, prefill_ms| {
        forecast::mean_long_service_time(engine, prefill_ms, engine.mean_answer)
    };
    // A tenth of the prefill, and 30.3 passes of 65.7 ms for one and a half times as long.
    let expected = Duration::from_millis(3_087)..Duration::from_millis(3_090);
    let mean = service_time(&ENGINE, 1_000.0);
    assert!(expected.contains(&mean), "{mean:?}");
    let stopped = Engine { prefill_tokens_per_ms: 0.0, ..ENGINE };
    let prefill_ms = requirements(LONG, 100_000).long_prefill_ms(&stopped).unwrap();
    assert_eq!(service_time(&stopped, prefill_ms), Duration::MAX);
    assert_eq!(requirements(LONG, 100_000).service_time(&stopped), Duration::MAX);
}

/// Guards against prompts that are rejected as too long although their callers wait long enough for
/// a late response, and against such prompts that are admitted and then never placed.
#[test]
fn a_prompt_is_too_long_by_its_objective_or_by_its_callers_time() {
    let now = Instant::now();
    let (cluster, service) = (cluster(1), service(Some(ENGINE)));
    let caller = Caller { time_limit: Duration::from_secs(15), ..Caller::default() };
    // One engine reads it in 3.7 s. The response takes 2.3 s more, in 23 passes.
    let prompt = Requirements { arrived: now, caller, ..requirements(LONG, 200_000) };
    let too_long = |prompt: &Requirements, deadline, after| {
        placement::is_too_long(&cluster, &service, &ENGINE, prompt, deadline, now + after)
    };
    let place_after = |deadline, after| {
        let prompts = [LongPrompt { requirements: &prompt, index: 0, class: 0 }];
        let queue = LongQueue {
            prompts: &prompts,
            demand: 0.0,
            offset: 0,
            kept: Kept::default(),
            deadline,
        };
        placement::place_long(&cluster, &service, &ENGINE, queue, now + after).len()
    };
    let place = |deadline| place_after(deadline, Duration::ZERO);
    assert!(too_long(&prompt, Deadline::Objective, Duration::ZERO));
    assert_eq!(place(Deadline::Objective), 0);
    assert!(!too_long(&prompt, Deadline::TimeLimit, Duration::ZERO));
    assert_eq!(place(Deadline::TimeLimit), 1);
    // What it has waited counts, and the time for the shortest response, one pass of 81 ms.
    let latest = Duration::from_millis(11_100);
    assert!(!too_long(&prompt, Deadline::TimeLimit, latest));
    assert_eq!(place_after(Deadline::TimeLimit, latest), 1, "placed while it is not too long");
    assert!(too_long(&prompt, Deadline::TimeLimit, Duration::from_millis(11_300)));
    // The memory of several engines stays bounded by the reservation timeout.
    let large = Requirements { caller, ..requirements(LONG, 300_000) };
    for deadline in [Deadline::Objective, Deadline::TimeLimit] {
        assert!(too_long(&large, deadline, Duration::ZERO));
    }
}
