//! How long requests are queued while all upstreams of their service are rate-limited.
//!
//! The load pattern is that of callers that repeat a rejected request at once, three times as many as can be served in
//! time.

use std::time::{Duration, Instant};

use foldlock_base::id;
use foldlock_request::cluster::{Cluster, Dispatch, Holder};
use foldlock_request::placement::{Rejection, Requirements};
use foldlock_request::scheduler::{Key, Reply, Scheduler};
use foldlock_request::tag::Tag;
use foldlock_version::routes::Table;

use crate::fleet::{UPSTREAMS, cluster, rate, requirements, table, upstream, vm_name};

/// Time from a request to the start of its response that its caller needs.
const OBJECTIVE: Duration = Duration::from_secs(1);

/// Intervals between rounds of placement: those of the daemon while requests are queued, and of a busy VM.
const ROUNDS: [Duration; 2] = [Duration::from_millis(23), Duration::from_millis(40)];

/// The end of a request: how long it was queued, and whether it was granted.
struct Ended {
    at: Instant,
    queued: Duration,
    granted: bool,
}

struct Load {
    table: Table,
    cluster: Cluster,
    scheduler: Scheduler,
    now: Instant,
    /// The number and arrival of the queued request of each caller.
    callers: Vec<Option<(u64, Instant)>>,
    number: u64,
    ended: Vec<Ended>,
}

impl Load {
    /// Upstreams that together allow `per_s` requests per second.
    fn new(per_s: f64) -> Load {
        let (mut cluster, now) = (cluster(), Instant::now());
        for index in 0..UPSTREAMS {
            let (tag, rate) = (Tag::of(upstream(index).as_str()), rate(per_s / UPSTREAMS as f64));
            cluster.observe_limit(tag, Some(rate), now, &vm_name(0), now).unwrap();
        }
        let callers = vec![None; 3 * (per_s * OBJECTIVE.as_secs_f64()).ceil() as usize];
        let (table, scheduler) = (table(), Scheduler::default());
        Load { table, cluster, scheduler, now, callers, number: 0, ended: Vec::new() }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        for round in ROUNDS.into_iter().cycle() {
            if self.now >= end {
                return;
            }
            self.now += round;
            for (key, reply) in
                self.scheduler.place_queued(&mut self.cluster, &self.table, self.now)
            {
                let is_of = |of: &Option<(u64, Instant)>| of.is_some_and(|of| of.0 == key.number);
                let caller = self.callers.iter_mut().find(|of| is_of(of)).unwrap();
                let (_, arrived) = caller.take().unwrap();
                self.end(arrived, &reply);
            }
            for caller in 0..self.callers.len() {
                if self.callers[caller].is_none() {
                    self.callers[caller] = self.request();
                }
            }
        }
    }

    /// Sends a request. Returns its number and arrival if it is queued.
    fn request(&mut self) -> Option<(u64, Instant)> {
        self.number += 1;
        let reply = self.send(self.number, self.now);
        if matches!(reply, Reply::Queued) {
            return Some((self.number, self.now));
        }
        self.end(self.now, &reply);
        None
    }

    fn send(&mut self, number: u64, arrived: Instant) -> Reply {
        let key = Key { holder: Holder::Own, incarnation: 1, number };
        let requirements = Requirements { objective: OBJECTIVE, ..requirements(arrived, number) };
        let (cluster, plain) = (&mut self.cluster, Tag::of("plain"));
        self.scheduler.request(cluster, &self.table, key, plain, requirements, self.now)
    }

    fn end(&mut self, arrived: Instant, reply: &Reply) {
        let granted = match reply {
            Reply::Granted(..) => true,
            Reply::Rejected(Rejection::RateLimited { .. }) => false,
            other => panic!("{other:?}"),
        };
        self.ended.push(Ended { at: self.now, queued: self.now - arrived, granted });
    }

    /// The longest time in the queue of the requests that were granted, or rejected, since then.
    fn longest(&self, granted: bool, since: Instant) -> Duration {
        let of = self.ended.iter().filter(|ended| ended.granted == granted && ended.at > since);
        of.map(|ended| ended.queued).max().unwrap_or_default()
    }

    /// Announces requests to each upstream that another VM has placed, the first of them `within` this time.
    fn announce(&mut self, per_upstream: u64, within: Duration) {
        let other: id::Vm = vm_name(9);
        let sent = (0..UPSTREAMS).flat_map(|index| (0..per_upstream).map(move |n| (index, n)));
        let dispatches: Vec<Dispatch> = sent
            .map(|(index, n)| Dispatch {
                upstream: Tag::of(upstream(index).as_str()),
                number: index as u64 * per_upstream + n,
                age_ms: within.as_millis() as u32 * n as u32 / per_upstream as u32,
            })
            .collect();
        self.cluster.merge_dispatches(&other, &dispatches, self.now);
    }
}

/// Guards against requests that are queued by a rate that is not reached, and rejected shortly before their objective.
#[test]
fn no_queued_request_is_rejected_while_the_rate_is_as_stated() {
    for per_s in [1.0, 2.6, 10.0, 40.0] {
        let mut load = Load::new(per_s);
        load.run(Duration::from_secs(12));
        let rejected = load.longest(false, load.now - Duration::from_secs(12));
        assert!(rejected.is_zero(), "queued for {rejected:?} at {per_s}/s");
        let granted = load.ended.iter().filter(|ended| ended.granted).count();
        assert!(granted as f64 >= 0.8 * per_s * 12.0, "{granted} at {per_s}/s");
    }
}

/// Guards against requests that wait beyond their objective for a rate that another scheduler has used up, as two VMs
/// that don't reach each other both did. A queued request may be late by a quarter of its objective.
#[test]
fn requests_that_a_used_up_rate_cannot_serve_are_rejected_at_once() {
    let mut load = Load::new(10.0);
    load.run(Duration::from_secs(5));
    load.announce(10, Duration::from_secs(1));
    let announced = load.now;
    load.run(ROUNDS[0]);
    let learned = load.now;
    load.run(Duration::from_secs(5));
    let granted = load.longest(true, announced);
    assert!(granted <= OBJECTIVE.mul_f64(1.25), "granted after {granted:?}");
    let rejected = load.longest(false, learned);
    assert!(rejected.is_zero(), "rejected after {rejected:?}");
}

/// Guards against requests that wait for the average over four seconds: requests that were sent before the limit was known
/// count in it, so that after some seconds none is allowed for up to as long as these took from it.
#[test]
fn requests_that_the_average_does_not_allow_in_time_are_rejected_at_once() {
    let mut load = Load::new(10.0);
    load.announce(8, Duration::ZERO);
    let start = load.now;
    load.run(Duration::from_secs(8));
    let mut granted: Vec<Instant> =
        load.ended.iter().filter(|ended| ended.granted).map(|ended| ended.at).collect();
    granted.dedup();
    let pause = granted.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap();
    assert!(pause > OBJECTIVE, "the average allows none for {pause:?}");
    let rejected = load.longest(false, start);
    assert!(rejected.is_zero(), "rejected after {rejected:?}");
}

/// Guards against a scheduler that takes over and rejects requests that have been queued for more than a quarter of their
/// objective, since they arrive there after others, or since it treats them as new.
#[test]
fn queued_requests_keep_their_order_at_the_next_scheduler() {
    let mut load = Load::new(10.0);
    load.run(Duration::from_secs(5));
    load.scheduler = Scheduler::default();
    let mut queued: Vec<(u64, Instant)> = load.callers.iter().copied().flatten().collect();
    queued.sort();
    for (number, arrived) in queued.into_iter().rev() {
        let reply = load.send(number, arrived);
        let is_old = load.now - arrived > OBJECTIVE / 4;
        assert!(!is_old || matches!(reply, Reply::Queued), "{reply:?} for {arrived:?}");
    }
}
