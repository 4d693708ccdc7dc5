//! Limits that are allocated to VMs, fair queues, retry budgets and upstream health.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_base::clock::{Clock, Manual};
use foldlock_base::id;
use foldlock_base::size::Tokens;
use foldlock_connection::wire::Demand;
use foldlock_request::fair::Queue;
use foldlock_request::health::Health;
use foldlock_request::limit::Limit;
use foldlock_request::quota::{self, LEASE, Ledger, Limits};
use foldlock_request::retry::Budget;
use foldlock_version::policy::Policy;
use proptest::prelude::*;

fn demand() -> impl Strategy<Value = Demand> {
    (0u32..50, 0f32..100.0, 0f32..1e6).prop_map(|(concurrency, requests_per_s, tokens)| Demand {
        concurrency,
        requests_per_s,
        prompt_tokens_per_s: tokens,
    })
}

fn vm(i: usize) -> id::Vm {
    format!("vm-{i}").parse().unwrap()
}

proptest! {
    /// The valid quotas that one home granted never sum to more than the limit, in whatever order
    /// VMs join, stop renewing their leases or return.
    #[test]
    fn quotas_never_sum_to_more_than_the_limit(
        concurrency in 1u32..200,
        exchanges in prop::collection::vec((0usize..12, demand(), 0u64..1500), 1..80),
    ) {
        let limits = Limits { concurrency };
        let mut ledger = Ledger::default();
        let mut leases: BTreeMap<usize, (Limits, u32, f32, Instant)> = BTreeMap::new();
        let mut now = Instant::now();
        for (i, demand, passed_ms) in exchanges {
            now += Duration::from_millis(passed_ms);
            let quota = ledger.renew(limits, &vm(i), demand, now);
            leases.insert(i, (limits, quota.concurrency, quota.requests, now));
            leases.retain(|_, (_, _, _, at)| now < *at + LEASE);
            let slots: u32 = leases.values().map(|l| l.1).sum();
            let shares: f32 = leases.values().map(|l| l.2).sum();
            prop_assert!(slots <= concurrency, "{slots} slots of {concurrency}");
            prop_assert!(shares <= 1.0 + 1e-3, "{shares}");
        }
    }

    /// After a few renewals by each VM with constant demand, the whole limit is allocated.
    #[test]
    fn the_whole_limit_is_allocated(concurrency in 1u32..200, demands in prop::collection::vec(demand(), 1..10)) {
        let limits = Limits { concurrency };
        let mut ledger = Ledger::default();
        let now = Instant::now();
        let mut slots = 0;
        for _ in 0..2 + demands.len() {
            slots = 0;
            for (i, demand) in demands.iter().enumerate() {
                slots += ledger.renew(limits, &vm(i), *demand, now).concurrency;
            }
        }
        prop_assert_eq!(slots, concurrency);
    }

    /// A VM with higher demand gets no smaller quota, up to one slot of rounding.
    #[test]
    fn quotas_follow_demand(concurrency in 1u32..200, demands in prop::collection::vec(demand(), 2..10)) {
        let by_vm: BTreeMap<id::Vm, Demand> =
            demands.iter().enumerate().map(|(i, d)| (vm(i), *d)).collect();
        let quotas = quota::allocate(Limits { concurrency }, &by_vm);
        prop_assert_eq!(quotas.values().map(|q| q.concurrency).sum::<u32>(), concurrency);
        for (a, da) in &by_vm {
            for (b, db) in &by_vm {
                if da.concurrency > db.concurrency {
                    prop_assert!(quotas[a].concurrency + 1 >= quotas[b].concurrency);
                }
            }
        }
    }

    /// One VM never exceeds its concurrency quota, nor its request rate over any period.
    #[test]
    fn a_vm_stays_within_its_quota(
        concurrency in 1u32..10,
        rate in 1u32..50,
        steps in prop::collection::vec((0u64..200, any::<bool>()), 1..200),
    ) {
        let clock = Manual::default();
        let policy = Policy { concurrency, requests_per_s: rate, ..Policy::default() };
        let limit = Arc::new(Limit::new(clock.clone()));
        let mut permits = Vec::new();
        let mut admitted = 0;
        let start = clock.now();
        for (passed_ms, end_one) in steps {
            clock.advance(Duration::from_millis(passed_ms));
            if end_one {
                permits.pop();
            }
            if let Ok(permit) = limit.admit(&policy, 1, Tokens(10)) {
                permits.push(permit);
                admitted += 1;
            }
            prop_assert!(permits.len() as u32 <= concurrency);
            let seconds = (clock.now() - start).as_secs_f64();
            prop_assert!(f64::from(admitted) <= f64::from(rate) * (seconds + 1.0) + 1.0);
        }
    }

    /// Two organisations that always have queued requests are served in proportion to their
    /// weights.
    #[test]
    fn weights_are_respected(heavy in 1u32..10, tokens in 100u64..10_000) {
        let queue = Arc::new(Queue::default());
        let (a, b): (id::Organisation, id::Organisation) = ("a".parse().unwrap(), "b".parse().unwrap());
        let mut waiting = Vec::new();
        for _ in 0..200 {
            waiting.push(("a", queue.enqueue(&a, heavy, tokens)));
            waiting.push(("b", queue.enqueue(&b, 1, tokens)));
        }
        let mut served = (0u32, 0u32);
        while served.0 + served.1 < 110 {
            let next = waiting.iter().position(|(_, t)| t.is_next()).unwrap();
            let (who, _entry) = waiting.swap_remove(next);
            if who == "a" { served.0 += 1 } else { served.1 += 1 }
        }
        let share = f64::from(served.0) / 110.0;
        let expected = f64::from(heavy) / f64::from(heavy + 1);
        prop_assert!((share - expected).abs() < 0.05, "{share} {expected}");
    }

    /// A flood of queued requests from one organisation delays another's next request by at most
    /// one request.
    #[test]
    fn a_flood_does_not_delay_others(flood in 1usize..300, tokens in 1u64..100_000) {
        let queue = Arc::new(Queue::default());
        let (a, b): (id::Organisation, id::Organisation) = ("a".parse().unwrap(), "b".parse().unwrap());
        let mut waiting: Vec<_> = (0..flood).map(|_| queue.enqueue(&a, 1, tokens)).collect();
        let other = queue.enqueue(&b, 1, tokens);
        let mut before = 0;
        while !other.is_next() {
            let next = waiting.iter().position(|t| t.is_next()).unwrap();
            waiting.swap_remove(next);
            before += 1;
        }
        prop_assert!(before <= 1);
    }

    /// Retries never exceed their share of the requests plus a fixed minimum.
    #[test]
    fn retries_stay_within_budget(percent in 1u8..100, requests in 0u32..500) {
        let budget = Budget::new(Manual::default());
        for _ in 0..requests {
            budget.request();
        }
        let allowed = (0..10_000).take_while(|_| budget.retry(percent)).count() as f64;
        prop_assert!(allowed <= f64::from(requests) * f64::from(percent) / 100.0 + 3.0);
    }

    /// A failing upstream is excluded for a growing time, then probed with a single request.
    #[test]
    fn a_failing_upstream_is_tried_by_one_request(failures in 1u32..40) {
        let clock = Manual::default();
        let mut health = Health::default();
        for _ in 0..failures {
            prop_assert!(health.is_usable(clock.now()));
            health.on_sent();
            health.on_failure(clock.now());
            prop_assert!(!health.is_usable(clock.now()));
            clock.advance(Duration::from_secs(8));
        }
        prop_assert!(health.is_usable(clock.now()));
        health.on_sent();
        prop_assert!(!health.is_usable(clock.now()), "the probe is in flight");
        health.on_success();
        prop_assert!(health.is_usable(clock.now()));
    }
}
