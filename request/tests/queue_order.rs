//! The order of queued requests: priorities, shares, deadlines and ageing.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use foldlock_base::size::Tokens;
use foldlock_request::caller::Priority;
use foldlock_request::scheduler::order::{
    AGEING_INTERVAL, Basis, Discipline, Item, can_be_in_time, cost_ms,
};
use foldlock_request::tag::Tag;
use foldlock_version::routes::Engine;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;

/// The highest cost of a request in these tests, milliseconds: a prompt of 220,000 tokens.
const MAX_COST_MS: f64 = 5_700.0;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn organisation(i: usize) -> Option<Tag> {
    Some(Tag::of(&format!("organisation-{i}")))
}

/// A request that can be in time, of 26 ms, due 300 ms after its arrival.
fn item(sender: usize, arrived: Instant) -> Item {
    Item {
        organisation: organisation(sender),
        priority: Priority::default(),
        arrived,
        deadline: arrived + ms(300),
        in_time: true,
        cost_ms: 26.0,
        returned: false,
    }
}

/// Any requests that arrived within 10 s of `start`.
fn items(start: Instant, count: usize) -> impl Strategy<Value = Vec<Item>> {
    let priority =
        (0..2u8, 0..2u8).prop_map(|(organisation, route)| Priority { organisation, route });
    let item = (
        option::of(0..5usize),
        priority,
        0..10_000u64,
        1..5u64,
        any::<[bool; 3]>(),
        1.0..MAX_COST_MS,
    )
        .prop_map(
            move |(sender, priority, age, objective, [in_time, once, twice], cost_ms)| Item {
                organisation: sender.and_then(organisation),
                priority,
                arrived: start + ms(age),
                deadline: start + ms(age + objective * 300),
                in_time,
                cost_ms,
                returned: once && twice,
            },
        );
    vec(item, 0..count)
}

fn next(discipline: &Discipline, queue: &[Item]) -> usize {
    discipline.order(queue, true)[0]
}

proptest! {
    /// Guards against an order that ignores what earlier entries of the list change for later ones: a round that
    /// grants several placements would then exceed an organisation's share, and skip the turns of late requests.
    #[test]
    fn the_order_is_that_of_single_grants(
        (earlier, mut queue) in Just(Instant::now()).prop_flat_map(|start| (items(start, 30), items(start, 60))),
        fair_shares: bool,
    ) {
        let now = Instant::now();
        let mut discipline = Discipline::default();
        for item in &earlier {
            discipline.on_granted(item, now);
        }
        let order: Vec<Item> =
            discipline.order(&queue, fair_shares).into_iter().map(|index| queue[index]).collect();
        prop_assert_eq!(order.len(), queue.len());
        for expected in order {
            let granted = queue.remove(discipline.order(&queue, fair_shares)[0]);
            prop_assert_eq!(granted, expected);
            discipline.on_granted(&granted, now);
        }
    }

    /// Guards against organisations that fall behind while they have queued requests. Each of them always has some
    /// here. The bound is the page's, the cost of one request; grants by ageing and to returning callers are
    /// in addition to a share.
    #[test]
    fn no_organisation_is_below_its_share(
        requests in vec((1.0..MAX_COST_MS, prop::bool::weighted(0.3), prop::bool::weighted(0.05)), 50..300),
    ) {
        let now = Instant::now();
        let mut discipline = Discipline::default();
        let mut requests = requests.into_iter().map(|(cost_ms, is_late, returned)| {
            Item { cost_ms, in_time: !is_late, returned, ..item(0, now) }
        });
        let mut queue: Vec<Item> = Vec::new();
        let mut granted_ms = HashMap::new();
        let mut by_turn_ms = HashMap::new();
        for organisation in (0..10).map(|i| organisation(i % 5)) {
            queue.push(Item { organisation, ..requests.next().unwrap() });
            granted_ms.insert(organisation, 0.0);
        }
        for request in requests {
            let granted = queue.remove(next(&discipline, &queue));
            let basis = discipline.on_granted(&granted, now).basis;
            *granted_ms.entry(granted.organisation).or_default() += granted.cost_ms;
            if basis == Basis::Turn {
                *by_turn_ms.entry(granted.organisation).or_default() += granted.cost_ms;
            }
            let most = by_turn_ms.values().copied().fold(0.0, f64::max);
            let least = granted_ms.values().copied().fold(f64::INFINITY, f64::min);
            prop_assert!(least >= most - MAX_COST_MS, "{least} ms where another has {most} ms");
            queue.push(Item { organisation: granted.organisation, ..request });
        }
    }

    /// Guards against organisations that gain or lose a share by pauses. Here their queues become empty at times. The
    /// bound is the cost of two requests: the last one before the pause is charged as well.
    #[test]
    fn pauses_change_no_share(steps in vec(option::of((0..4usize, 1.0..MAX_COST_MS)), 50..400)) {
        let now = Instant::now();
        let mut discipline = Discipline::default();
        let mut queue: Vec<Item> = Vec::new();
        // What the second organisation was granted since the first one has had queued requests.
        let mut granted_ms = [[0.0; 4]; 4];
        for step in steps {
            if let Some((sender, cost_ms)) = step {
                queue.push(Item { cost_ms, ..item(sender, now) });
            } else if !queue.is_empty() {
                let granted = queue.remove(next(&discipline, &queue));
                discipline.on_granted(&granted, now);
                let sender = (0..4).find(|i| organisation(*i) == granted.organisation).unwrap();
                for (i, granted_ms) in granted_ms.iter_mut().enumerate() {
                    granted_ms[sender] += granted.cost_ms;
                    let most = granted_ms.iter().copied().fold(0.0, f64::max);
                    prop_assert!(granted_ms[i] >= most - 2.0 * MAX_COST_MS || queue.iter().all(|q| q.organisation != organisation(i)));
                }
            }
            for (i, granted_ms) in granted_ms.iter_mut().enumerate() {
                if queue.iter().all(|queued| queued.organisation != organisation(i)) {
                    *granted_ms = [0.0; 4];
                }
            }
        }
    }

    /// Guards against a grant by share, ageing or return that passes over a more urgent request that could be placed.
    #[test]
    fn no_grant_passes_over_a_more_urgent_request(
        mut queue in Just(Instant::now()).prop_flat_map(|start| items(start, 60)),
        is_placeable in vec(any::<bool>(), 60),
    ) {
        let now = Instant::now();
        let mut discipline = Discipline::default();
        for _ in 0..queue.len() {
            let order = discipline.order(&queue, true);
            let Some(first) = order.into_iter().find(|index| is_placeable[*index]) else { break };
            let granted = queue[first];
            let mut others = queue.iter().zip(&is_placeable);
            prop_assert!(others.all(|(other, placeable)| !placeable || other.priority >= granted.priority));
            discipline.on_granted(&granted, now);
            queue.remove(first);
        }
    }

    /// Guards against starvation: while requests that can be in time keep arriving, the late request behind n others is
    /// granted within 8 (n + 1) grants, whatever its organisation has been granted.
    #[test]
    fn late_requests_have_a_guaranteed_rate(
        late in vec((0..4usize, 0..5_000u64, 1.0..MAX_COST_MS), 1..20),
        newcomers in vec((0..4usize, 1.0..MAX_COST_MS), 170),
        fair_shares: bool,
    ) {
        let now = Instant::now();
        let mut queue: Vec<Item> = late
            .iter()
            .map(|(sender, age, cost_ms)| Item {
                in_time: false,
                cost_ms: *cost_ms,
                ..item(*sender, now + ms(*age))
            })
            .collect();
        queue.sort_by_key(|item| item.arrived);
        let by_age = queue.clone();
        let mut discipline = Discipline::default();
        for (count, (sender, cost_ms)) in newcomers.into_iter().enumerate() {
            queue.push(Item { cost_ms, ..item(sender, now + ms(10_000 + count as u64)) });
            let granted = queue.remove(discipline.order(&queue, fair_shares)[0]);
            discipline.on_granted(&granted, now);
            let due = (count + 1) / usize::from(AGEING_INTERVAL);
            let waiting = by_age.iter().take(due).find(|late| queue.contains(late));
            prop_assert!(waiting.is_none(), "{waiting:?} after {} grants", count + 1);
        }
    }
}

/// Guards against requests without an API key that change the order of a deployment without organisations, and against
/// shares that take effect without the setting.
#[test]
fn without_shares_the_order_is_by_deadline() {
    let now = Instant::now();
    let mut queue = vec![
        Item { in_time: false, ..item(0, now) },
        item(1, now + ms(20)),
        item(1, now + ms(10)),
        Item { returned: true, ..item(1, now + ms(30)) },
        Item { priority: Priority { organisation: 0, route: 1 }, ..item(2, now) },
        Item { deadline: now + ms(310), ..item(2, now) },
    ];
    let mut discipline = Discipline::default();
    discipline.on_granted(&Item { cost_ms: 1e3, ..item(1, now) }, now);
    let by_deadline = [3, 5, 2, 1, 0, 4];
    assert_eq!(discipline.order(&queue, false), by_deadline);
    assert_ne!(discipline.order(&queue, true), by_deadline);
    queue.iter_mut().for_each(|item| item.organisation = None);
    assert_eq!(discipline.order(&queue, true), by_deadline);
}

/// Guards against a burst that delays all others: an organisation whose requests could not be placed for a while has
/// one turn afterwards, not all that it missed.
#[test]
fn missed_turns_are_not_saved() {
    let now = Instant::now();
    let mut discipline = Discipline::default();
    for _ in 0..50 {
        discipline.on_granted(&item(1, now), now);
        discipline.on_granted(&item(2, now), now);
    }
    let queue: Vec<Item> = (0..30).map(|i| item(i % 3, now + ms(i as u64))).collect();
    let first_six = &discipline.order(&queue, true)[..6];
    assert_eq!(first_six.iter().filter(|index| **index % 3 == 0).count(), 2);
}

/// Guards against requests of unknown cost that use no share: they are counted where no engine model exists.
#[test]
fn requests_of_unknown_cost_are_counted() {
    let now = Instant::now();
    let of = |sender, cost_ms| Item { cost_ms, ..item(sender, now) };
    for cost_ms in [f64::NAN, 0.0, -5.0] {
        let queue = [of(0, cost_ms), of(0, cost_ms), of(1, cost_ms)];
        assert_eq!(Discipline::default().order(&queue, true), [0, 2, 1]);
    }
}

/// Guards against state that grows with the organisations ever seen, and against malformed costs that stop the clock.
#[test]
fn state_is_bounded() {
    let start = Instant::now();
    let mut discipline = Discipline::default();
    for (i, cost_ms) in
        [f64::NAN, f64::INFINITY, -1.0, 26.0].into_iter().cycle().take(3_000).enumerate()
    {
        discipline.on_granted(&Item { cost_ms, returned: true, ..item(i, start) }, start);
    }
    assert_eq!(discipline.account_count(), 1_024);
    // The one with the highest cost keeps its account; an unknown one starts at the virtual time.
    assert_eq!(discipline.order(&[item(1, start), item(3_000, start)], true), [1, 0]);
    discipline.expire(start + ms(29_000));
    assert_eq!(discipline.account_count(), 1_024);
    discipline.expire(start + ms(30_000));
    assert_eq!(discipline.account_count(), 0);
    for route in 0..=u8::MAX {
        let priority = Priority { organisation: 0, route };
        discipline.on_granted(&Item { priority, ..item(0, start) }, start);
    }
    assert_eq!(discipline.account_count(), 100);
}

/// Guards against requests that take a turn in time which the margin of placement would not let them use.
#[test]
fn a_request_can_be_in_time_within_the_margin_of_placement() {
    assert!(can_be_in_time(ms(55), Some(ms(200)), ms(300)));
    assert!(!can_be_in_time(ms(56), Some(ms(200)), ms(300)));
    assert!(can_be_in_time(ms(300), None, ms(300)));
    assert!(!can_be_in_time(ms(301), None, ms(300)));
}

const ENGINE: Engine = Engine {
    slots: 12,
    memory: Tokens(197_200),
    step_ms: 1.0,
    per_request_ms: 0.002,
    per_context_ms: 0.004,
    prefill_tokens_per_ms: 200.0,
    ms_per_million_pairs: 0.15,
    stride: 48,
    chunk: 2_048,
    mean_answer: Tokens(1_200),
};

/// Guards against a cost that counts prompts only: 12 requests that decode at the same time share each step.
#[test]
fn the_cost_is_prefill_and_a_part_of_the_decode_steps() {
    let prefill_ms = 25.0 + 0.15 * 12.5;
    let step_ms = 1.0 / 12.0 + 0.002 + 0.004 * 5.6;
    assert!((cost_ms(&ENGINE, Tokens(5_000)) - (prefill_ms + 1_200.0 * step_ms)).abs() < 1e-6);
}

/// Prints the time to order 1,000 items of 450 organisations.
#[test]
#[ignore = "prints a time; run with --release --ignored --nocapture"]
fn time_of_an_order() {
    let start = Instant::now();
    let mut discipline = Discipline::default();
    for i in 0..900 {
        discipline
            .on_granted(&Item { cost_ms: (i % 7) as f64 * 30.0, ..item(i % 450, start) }, start);
    }
    for late_in_100 in [0, 30, 100] {
        let queue: Vec<Item> = (0..1_000usize)
            .map(|i| {
                let sender = i * 7_919 % 450;
                let objective = [300, 300, 300, 1_500, 4_000][i * 31 % 5];
                let arrived = start + Duration::from_micros(i as u64 * 997);
                Item {
                    deadline: arrived + ms(objective),
                    in_time: i * 37 % 100 >= late_in_100,
                    cost_ms: (i % 5) as f64 * 90.0,
                    ..item(sender, arrived)
                }
            })
            .collect();
        for fair_shares in [false, true] {
            let mut times: Vec<Duration> = (0..2_000)
                .map(|_| {
                    let begun = Instant::now();
                    std::hint::black_box(
                        discipline.order(std::hint::black_box(&queue), fair_shares),
                    );
                    begun.elapsed()
                })
                .collect();
            times.sort();
            println!(
                "{late_in_100} in 100 late, fair_shares {fair_shares}: least {:?}, p50 {:?}, p99 {:?}",
                times[0], times[1_000], times[1_980]
            );
        }
    }
}
