//! Cold upstreams are slow for some seconds and crash when they get more than a few requests a second. When a whole
//! data hall restarts, the load of the fleet must not reach its upstreams at once.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use foldlock_base::id;
use foldlock_base::size::Tokens;
use foldlock_request::budget::Charge;
use foldlock_request::caller::Caller;
use foldlock_request::cluster::{Cluster, Holder, Listed};
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::placement::{self, Rejection, Requirements};
use foldlock_request::scheduler::{Key, Reply, Scheduler};
use foldlock_request::tag::Tag;
use foldlock_version::routes::{Bounds, Service, Table};

/// Requests a second that a cold upstream can take.
const PER_S: f64 = 14.0;

/// Requests a second with which a cold upstream crashes, less a margin.
const MAX_PER_S: usize = 26;

const COLD: Duration = Duration::from_secs(3);

fn service() -> Service {
    Service { name: "plain".to_owned(), max_connections: 99, engine: None, cold_per_s: Some(PER_S) }
}

fn table() -> Table {
    let time = Duration::from_secs(9);
    let bounds =
        Bounds { max_header_bytes: 9, max_body_bytes: 9, header_timeout: time, idle_timeout: time };
    Table::builder(1, bounds).service(service()).build()
}

fn upstream(i: usize) -> id::Upstream {
    format!("i-{i:02}").parse().unwrap()
}

/// A cluster state of upstreams, the first `cold` of them cold.
fn cluster(upstreams: usize, cold: usize, now: Instant) -> Cluster {
    let mut cluster = Cluster::default();
    for i in 0..upstreams {
        cluster.list(Listed {
            id: upstream(i),
            born: None,
            revision: 0.into(),
            service: "plain".to_owned(),
            address: format!("10.0.0.{i}:80"),
            hall: "a".to_owned(),
            slots: 600,
            leaving: false,
            cold_ms: 0,
        });
    }
    (0..cold).for_each(|i| cluster.set_cold(&upstream(i), COLD, now));
    cluster
}

fn requirements(now: Instant, schedulers: usize) -> Requirements {
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
        fingerprint: Fingerprint::of("", "", "", b""),
        offset: 0,
        schedulers,
        charge: Charge::Free,
        caller: Caller::default(),
    }
}

/// Requests placements at this interval for two seconds; each request takes 50 ms. Returns when requests were sent,
/// by upstream.
fn simulate(
    cluster: &mut Cluster,
    start: Instant,
    every: Duration,
) -> HashMap<id::Upstream, Vec<Instant>> {
    let (table, mut scheduler) = (table(), Scheduler::default());
    let mut sent: HashMap<id::Upstream, Vec<Instant>> = HashMap::new();
    for number in 0..(2_000 / every.as_millis() as u64) {
        let now = start + every * number as u32;
        let key = |number| Key { holder: Holder::Own, incarnation: 1, number };
        if let Some(ended) = number.checked_sub(50 / every.as_millis() as u64) {
            scheduler.cancel(cluster, &key(ended), now);
        }
        let answer = scheduler.request(
            cluster,
            &table,
            key(number),
            Tag::of("plain"),
            requirements(now, 1),
            now,
        );
        if let Reply::Granted(placement, _) = answer {
            sent.entry(placement.flight.upstream).or_default().push(now);
        }
    }
    sent
}

/// The largest number of these times within a second.
fn max_in_a_second(times: &[Instant]) -> usize {
    let within = |from: &Instant| {
        times.iter().filter(|at| *at >= from && **at < *from + Duration::from_secs(1)).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

#[test]
fn a_cold_upstream_gets_no_more_than_it_can_take_under_overload() {
    let now = Instant::now();
    let mut cluster = cluster(4, 4, now);
    let sent = simulate(&mut cluster, now, Duration::from_millis(2));
    for i in 0..4 {
        let most = max_in_a_second(&sent[&upstream(i)]);
        assert!(most <= PER_S as usize && most > PER_S as usize / 2, "{most}");
    }
}

#[test]
fn warm_upstreams_take_the_load_while_they_have_room() {
    let now = Instant::now();
    let mut cluster = cluster(4, 2, now);
    let sent = simulate(&mut cluster, now, Duration::from_millis(10));
    assert_eq!(sent.values().map(Vec::len).sum::<usize>(), 200, "none is queued");
    let cold: usize = (0..2).filter_map(|i| sent.get(&upstream(i))).map(Vec::len).sum();
    assert!(cold <= 2 * 2 * PER_S as usize, "{cold}");
}

#[test]
fn a_warm_upstream_is_used_without_a_bound() {
    let now = Instant::now();
    let mut cluster = cluster(1, 1, now);
    let sent = simulate(&mut cluster, now + COLD, Duration::from_millis(2));
    assert_eq!(sent[&upstream(0)].len(), 1_000);
}

#[test]
fn placement_is_rejected_as_full_when_all_cold_upstreams_are_at_capacity() {
    let now = Instant::now();
    let mut cluster = cluster(1, 1, now);
    simulate(&mut cluster, now, Duration::from_millis(2));
    let later = now + Duration::from_millis(1_999);
    let placed = placement::place(&cluster, &service(), &requirements(later, 1), later);
    assert!(matches!(placed, Err(Rejection::Full)), "{placed:?}");
}

/// Without a scheduler, 91 VMs place requests independently and receive no announcements of the others in time.
#[test]
fn vms_without_a_scheduler_share_the_capacity_of_a_cold_upstream() {
    let now = Instant::now();
    let vms = 91;
    let mut sent: HashMap<id::Upstream, Vec<Instant>> = HashMap::new();
    for vm in 0..vms {
        let mut cluster = cluster(60, 20, now);
        for number in 0..4_u64 {
            // Some 200 requests a second in total, spread over the VMs by their callers.
            let at = now + Duration::from_millis(250 * number + vm as u64);
            let requirements =
                Requirements { offset: vm * 7 + number as usize, ..requirements(at, vms) };
            let placement = placement::place(&cluster, &service(), &requirements, at).unwrap();
            cluster.begin_attempt(number, placement.flight.clone(), at);
            sent.entry(placement.flight.upstream).or_default().push(at);
        }
    }
    for i in 0..20 {
        let most = sent.get(&upstream(i)).map_or(0, |times| max_in_a_second(times));
        assert!(most <= MAX_PER_S, "{most} at {i}");
    }
}

/// Requests that a peer placed itself count too, once it has announced them.
#[test]
fn requests_announced_by_a_peer_count() {
    let now = Instant::now();
    let mut there = cluster(1, 1, now);
    let mut here = cluster(1, 1, now);
    for number in 0..14 {
        let placement = placement::place(&there, &service(), &requirements(now, 1), now).unwrap();
        there.begin_attempt(number, placement.flight.clone(), now);
    }
    here.merge_flights(&"vm-2".parse().unwrap(), &there.announced_flights(now), 0, now);
    assert_eq!(here.sent_recently(&upstream(0), now), 14);
    assert!(placement::place(&here, &service(), &requirements(now, 1), now).is_err());
}
