//! A whole hall comes back cold: its upstreams are slow for some seconds, and end under more than some requests
//! a second. The load of the fleet must not fall on them at once.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use foldlock_base::id;
use foldlock_base::size::Tokens;
use foldlock_request::budget::Charge;
use foldlock_request::cluster::{Cluster, Holder, Listed};
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::placement::{self, Rejection, Requirements};
use foldlock_request::scheduler::{Key, Reply, Scheduler};
use foldlock_request::tag::Tag;
use foldlock_version::routes::{Bounds, Service, Table};

/// What a cold upstream bears a second.
const PER_S: f64 = 14.0;

/// What ends it, with some to spare.
const MOST: usize = 26;

const COLD: Duration = Duration::from_secs(3);

fn service() -> Service {
    Service { name: "plain".to_owned(), connections: 99, engine: None, cold_per_s: Some(PER_S) }
}

fn table() -> Table {
    let time = Duration::from_secs(9);
    let bounds = Bounds { header_bytes: 9, body_bytes: 9, header_time: time, idle_time: time };
    Table::builder(1, bounds).service(service()).build()
}

fn upstream(i: usize) -> id::Upstream {
    format!("i-{i:02}").parse().unwrap()
}

/// A cluster state of upstreams, of which the first ones are cold.
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
    (0..cold).for_each(|i| cluster.note_cold(&upstream(i), COLD, now));
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
    }
}

/// Asks for placements at this pace for two seconds; each answer takes 50 ms. Gives when each upstream was sent
/// requests.
fn played(
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

/// The most of these moments within a second.
fn most_in_a_second(times: &[Instant]) -> usize {
    let within = |from: &Instant| {
        times.iter().filter(|at| *at >= from && **at < *from + Duration::from_secs(1)).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

#[test]
fn a_cold_upstream_gets_no_more_than_it_bears_however_many_ask() {
    let now = Instant::now();
    let mut cluster = cluster(4, 4, now);
    let sent = played(&mut cluster, now, Duration::from_millis(2));
    for i in 0..4 {
        let most = most_in_a_second(&sent[&upstream(i)]);
        assert!(most <= PER_S as usize && most > PER_S as usize / 2, "{most}");
    }
}

#[test]
fn those_that_are_warm_take_the_load_while_they_have_room() {
    let now = Instant::now();
    let mut cluster = cluster(4, 2, now);
    let sent = played(&mut cluster, now, Duration::from_millis(10));
    assert_eq!(sent.values().map(Vec::len).sum::<usize>(), 200, "none waits");
    let cold: usize = (0..2).filter_map(|i| sent.get(&upstream(i))).map(Vec::len).sum();
    assert!(cold <= 2 * 2 * PER_S as usize, "{cold}");
}

#[test]
fn it_is_used_like_any_other_once_it_is_warm() {
    let now = Instant::now();
    let mut cluster = cluster(1, 1, now);
    let sent = played(&mut cluster, now + COLD, Duration::from_millis(2));
    assert_eq!(sent[&upstream(0)].len(), 1_000);
}

#[test]
fn a_request_waits_where_all_bear_no_more() {
    let now = Instant::now();
    let mut cluster = cluster(1, 1, now);
    played(&mut cluster, now, Duration::from_millis(2));
    let later = now + Duration::from_millis(1_999);
    let placed = placement::place(&cluster, &service(), &requirements(later, 1), later);
    assert!(matches!(placed, Err(Rejection::Full)), "{placed:?}");
}

/// The scheduler is not heard: 91 VMs place for themselves, and none hears of the others in time.
#[test]
fn vms_that_each_place_for_themselves_divide_what_a_cold_upstream_bears() {
    let now = Instant::now();
    let vms = 91;
    let mut sent: HashMap<id::Upstream, Vec<Instant>> = HashMap::new();
    for vm in 0..vms {
        let mut cluster = cluster(60, 20, now);
        for number in 0..4_u64 {
            // Some 200 requests a second of all, each at the VM that its caller found.
            let at = now + Duration::from_millis(250 * number + vm as u64);
            let requirements =
                Requirements { offset: vm * 7 + number as usize, ..requirements(at, vms) };
            let placement = placement::place(&cluster, &service(), &requirements, at).unwrap();
            cluster.enter(number, placement.flight.clone(), at);
            sent.entry(placement.flight.upstream).or_default().push(at);
        }
    }
    for i in 0..20 {
        let most = sent.get(&upstream(i)).map_or(0, |times| most_in_a_second(times));
        assert!(most <= MOST, "{most} at {i}");
    }
}

/// A peer's requests that this VM did not place count as well.
#[test]
fn requests_that_a_peer_tells_of_count() {
    let now = Instant::now();
    let mut there = cluster(1, 1, now);
    let mut here = cluster(1, 1, now);
    for number in 0..14 {
        let placement = placement::place(&there, &service(), &requirements(now, 1), now).unwrap();
        there.enter(number, placement.flight.clone(), now);
    }
    here.hear(&"vm-2".parse().unwrap(), &there.told(now), 0, now);
    assert_eq!(here.begun(&upstream(0), now), 14);
    assert!(placement::place(&here, &service(), &requirements(now, 1), now).is_err());
}
