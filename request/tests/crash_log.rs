//! The crash log: which parts of prompts are found to crash upstreams.
//!
//! Guards against evidence that is kept for each request by itself, and against holding back parts that sound requests
//! share with the cause.

use std::time::{Duration, Instant};

use foldlock_request::cluster::Cluster;
use foldlock_request::crash_log::{Interrupted, Log, SETTLE_TIME};
use foldlock_request::part::Part;
use foldlock_request::quarantine::Verdict;
use foldlock_request::tag::Tag;
use proptest::prelude::*;

const FIRST: &str = "a0";
const BAD: &str = "bad0";
const OTHER_BAD: &str = "bad1";
const RARE: &str = "c0";

fn part(text: &str) -> Part {
    text.parse().unwrap()
}

fn parts(ids: &[&str]) -> Vec<Part> {
    ids.iter().map(|id| part(id)).collect()
}

fn service() -> Tag {
    Tag::of("model")
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A log with a clock and numbered upstreams.
struct Scene {
    log: Log,
    start: Instant,
    crashes: u32,
}

impl Scene {
    fn new() -> Scene {
        Scene { log: Log::default(), start: Instant::now(), crashes: 0 }
    }

    /// An upstream crashes at `at`, and interrupts requests with these parts that were sent 100 ms before.
    fn crash(&mut self, at: u64, requests: &[&[&str]]) {
        self.crash_sent(at, at.saturating_sub(100), requests);
    }

    fn crash_sent(&mut self, at: u64, sent: u64, requests: &[&[&str]]) {
        self.crashes += 1;
        let upstream = Tag::of(&format!("i-{}", self.crashes));
        for (number, ids) in requests.iter().enumerate() {
            let request = Interrupted {
                request: format!("r-{}-{number}", self.crashes).parse().unwrap(),
                service: service(),
                parts: parts(ids),
                sent: self.start + ms(sent),
            };
            self.log.record_crash(upstream, request, self.start + ms(at));
        }
    }

    fn begin(&mut self, at: u64, ids: &[&str]) {
        self.log.record_begun(service(), &parts(ids), self.start + ms(at));
    }

    /// Requests without any of the parts in question begin, ten a second, until `to`.
    fn begin_others(&mut self, from: u64, to: u64) {
        (from..=to).step_by(100).for_each(|at| self.begin(at, &["f0"]));
    }

    fn culprits(&self, at: u64) -> Vec<String> {
        let culprits = self.log.culprits(self.start + ms(at));
        let mut parts: Vec<String> = culprits.iter().map(|c| c.part.to_string()).collect();
        parts.sort();
        parts
    }
}

fn names(ids: &[&str]) -> Vec<String> {
    ids.iter().map(|id| part(id).to_string()).collect()
}

const SETTLED: u64 = SETTLE_TIME.as_millis() as u64;

#[test]
fn a_part_is_a_culprit_after_three_rounds_and_some_time() {
    let mut scene = Scene::new();
    for round in 1..=3 {
        scene.begin(round * 1_000 - 50, &[FIRST, RARE]);
        scene.crash(round * 1_000, &[&[FIRST, BAD, RARE], &[FIRST, RARE]]);
        if round < 3 {
            assert_eq!(scene.culprits(round * 1_000 + SETTLED), [""; 0]);
        }
        scene.begin(round * 1_000 + 50, &[FIRST, RARE]);
        scene.begin_others(round * 1_000, round * 1_000 + 400);
    }
    scene.begin(3_100, &[FIRST, RARE]);
    assert_eq!(scene.culprits(3_000 + SETTLED - 1), [""; 0], "others may still begin");
    assert_eq!(scene.culprits(3_100 + SETTLED), names(&[BAD]));
}

/// A request with these parts is sent every 3.5 s and crashes an upstream 100 ms later; its retry crashes another one. A sound
/// request begins every 7 s.
fn crash_with_little_traffic(scene: &mut Scene, rounds: u64, ids: &[&str]) {
    for round in 1..=rounds {
        let at = round * 3_500;
        scene.crash(at, &[ids]);
        let retried = Interrupted {
            request: format!("r-{}-0", scene.crashes).parse().unwrap(),
            service: service(),
            parts: parts(ids),
            sent: scene.start + ms(at + 20),
        };
        scene.crashes += 1;
        let upstream = Tag::of(&format!("i-{}", scene.crashes));
        scene.log.record_crash(upstream, retried, scene.start + ms(at + 120));
        if round % 2 == 0 {
            scene.begin(at + 1_000, &[FIRST]);
        }
    }
}

/// Guards against a part that needs eight rounds where nothing but the requests with it comes: few requests say little
/// about how often a sound one is interrupted, but each crash came right after one with the part was sent.
#[test]
fn a_part_is_found_after_three_rounds_while_few_requests_come() {
    let mut scene = Scene::new();
    crash_with_little_traffic(&mut scene, 3, &[FIRST, BAD]);
    assert_eq!(scene.culprits(3 * 3_500 + 120 + SETTLED), names(&[BAD]));
}

/// A sound request that waits from one crash to the next is interrupted by each, whatever causes them.
#[test]
fn a_part_of_requests_that_wait_from_crash_to_crash_is_not_found_by_their_times() {
    for interval in [1_000, 3_500, 10_000] {
        let mut scene = Scene::new();
        for round in 1..=5 {
            let at = round * interval;
            scene.crash_sent(at, at - interval + 50, &[&[FIRST, RARE]]);
        }
        assert_eq!(scene.culprits(5 * interval + SETTLED), [""; 0], "every {interval} ms");
    }
}

/// Upstreams that crash one after the other within a second may all be one failure.
#[test]
fn a_part_is_not_found_by_the_times_of_crashes_in_quick_succession() {
    let mut scene = Scene::new();
    (1..=3).for_each(|round| scene.crash(round * 250, &[&[FIRST, RARE]]));
    for at in [750 + SETTLED, 10_000, 60_000] {
        assert_eq!(scene.culprits(at), [""; 0], "at {at} ms");
    }
}

/// A request that was sent after its upstream had crashed is not the cause.
#[test]
fn a_part_of_requests_that_were_sent_after_the_crashes_is_not_found_by_their_times() {
    let mut scene = Scene::new();
    (1..=4).for_each(|round| scene.crash_sent(round * 3_500, round * 3_500 + 5, &[&[FIRST, RARE]]));
    assert_eq!(scene.culprits(4 * 3_500 + SETTLED), [""; 0]);
}

/// On a route with little traffic no other request may begin between the crashes.
#[test]
fn the_first_part_of_the_prompts_is_not_the_culprit_if_a_later_one_explains_the_crashes() {
    let mut scene = Scene::new();
    (1..=9).for_each(|round| scene.crash(round * 1_000, &[&[FIRST, BAD]]));
    assert_eq!(scene.culprits(9_000 + SETTLED), names(&[BAD]));
}

/// Guards against a decision that each further crash puts off.
#[test]
fn a_part_is_found_while_crashes_go_on() {
    let mut scene = Scene::new();
    for round in 1..=5 {
        scene.crash(round * 200, &[&[FIRST, BAD]]);
        scene.begin(round * 200 + 50, &[FIRST, RARE]);
    }
    scene.begin_others(200, 1_000);
    assert_eq!(scene.culprits(1_000 + SETTLED), names(&[BAD]));
}

#[test]
fn a_first_part_that_crashes_upstreams_alone_is_found() {
    let mut scene = Scene::new();
    // Requests with it were there nearly all the time, so the times of the crashes show nothing.
    (1..=3).for_each(|round| scene.crash_sent(round * 1_000, round * 1_000 - 900, &[&[BAD]]));
    assert_eq!(
        scene.culprits(3_000 + SETTLED),
        [""; 0],
        "no other request shows that it is not chance"
    );
    scene.begin_others(1_000, 3_000);
    assert_eq!(scene.culprits(3_000 + SETTLED), names(&[BAD]));
}

#[test]
fn upstreams_that_crash_together_are_one_round() {
    let mut scene = Scene::new();
    for upstream in 0..17 {
        scene.crash(1_000 + upstream, &[&[FIRST, RARE], &[FIRST, "c1"], &[FIRST, "c2"]]);
    }
    scene.begin_others(1_050, 1_050);
    assert_eq!(scene.culprits(1_017 + SETTLED), [""; 0]);
    let sent_before = |scene: &mut Scene| scene.crash_sent(1_100, 900, &[&[FIRST, RARE]]);
    sent_before(&mut scene);
    assert_eq!(scene.culprits(1_100 + SETTLED), [""; 0]);
}

/// Guards against a rare part being held back because one request with it was retried beside the cause.
#[test]
fn the_attempts_of_one_request_are_one_round() {
    let mut scene = Scene::new();
    let request = |number: u32| Interrupted {
        request: "retried".parse().unwrap(),
        service: service(),
        parts: parts(&[FIRST, RARE]),
        sent: Instant::now() + ms(u64::from(number) * 1_000),
    };
    for number in 1..=4 {
        let at = scene.start + ms(u64::from(number) * 1_000 + 100);
        scene.log.record_crash(Tag::of(&format!("i-{number}")), request(number), at);
    }
    scene.crash(5_000, &[&[FIRST, RARE]]);
    scene.begin_others(1_000, 6_000);
    assert_eq!(scene.culprits(7_000), [""; 0]);
}

/// A sound request is retried on the same upstreams as the cause.
#[test]
fn parts_with_the_same_crashes_are_told_apart_by_the_next_one() {
    for order in [[FIRST, BAD, RARE], [FIRST, RARE, BAD]] {
        let mut scene = Scene::new();
        let beside: [&[&str]; 2] = [&[FIRST, BAD], &[FIRST, RARE]];
        (1..=3).for_each(|round| scene.crash(round * 1_000, &beside));
        scene.begin_others(1_000, 3_000);
        assert_eq!(scene.culprits(3_000 + SETTLED), [""; 0], "{order:?}");
        scene.crash(4_000, &[&[FIRST, BAD]]);
        scene.begin_others(3_100, 4_000);
        assert_eq!(scene.culprits(4_000 + SETTLED), names(&[BAD]), "{order:?}");
    }
}

#[test]
fn a_part_that_comes_only_with_the_culprit_does_not_delay_it_for_long() {
    let mut scene = Scene::new();
    (1..=4).for_each(|round| scene.crash(round * 1_000, &[&[FIRST, BAD, RARE]]));
    scene.begin_others(1_000, 4_000);
    // Either explains the crashes. The later one is held back, and then the other if it goes on.
    assert_eq!(scene.culprits(4_000 + SETTLED), names(&[RARE]));
    (5..=7).for_each(|round| scene.crash(round * 1_000, &[&[FIRST, BAD]]));
    scene.begin_others(5_000, 7_000);
    assert!(scene.culprits(7_000 + SETTLED).contains(&part(BAD).to_string()));
}

#[test]
fn two_culprits_at_once_are_both_found() {
    let mut scene = Scene::new();
    for round in 1..=4 {
        scene.crash(round * 1_000, &[&[FIRST, BAD]]);
        scene.crash(round * 1_000 + 400, &[&[FIRST, OTHER_BAD], &[FIRST, RARE]]);
        scene.begin(round * 1_000 + 600, &[FIRST, RARE]);
    }
    scene.begin_others(1_000, 4_600);
    assert_eq!(scene.culprits(4_600 + SETTLED), names(&[BAD, OTHER_BAD]));
}

#[test]
fn a_request_with_two_culprits_hides_neither() {
    let mut scene = Scene::new();
    scene.crash(500, &[&[FIRST, BAD, OTHER_BAD]]);
    for round in 1..=3 {
        scene.crash(round * 1_000, &[&[FIRST, BAD]]);
        scene.crash(round * 1_000 + 400, &[&[FIRST, OTHER_BAD]]);
    }
    scene.begin_others(500, 3_400);
    assert_eq!(scene.culprits(3_400 + SETTLED), names(&[BAD, OTHER_BAD]));
}

/// A part that was served for long turns bad, for instance with a new version of the weights.
#[test]
fn a_part_that_has_begun_before_is_found_as_well() {
    let mut scene = Scene::new();
    (0..100).for_each(|at| scene.begin(at * 10, &[FIRST, BAD]));
    (2..=4).for_each(|round| scene.crash(round * 1_000, &[&[FIRST, BAD]]));
    scene.begin_others(2_000, 4_000);
    assert_eq!(scene.culprits(4_000 + SETTLED), [""; 0], "that it turned bad takes more evidence");
    scene.begin_others(4_100, 6_000);
    assert_eq!(scene.culprits(6_000 + SETTLED), names(&[BAD]));
}

#[test]
fn a_request_that_begins_clears_its_parts() {
    let mut scene = Scene::new();
    (1..=2).for_each(|round| scene.crash(round * 1_000, &[&[FIRST, RARE]]));
    scene.begin(2_200, &[FIRST, RARE]);
    (3..=4).for_each(|round| scene.crash(round * 1_000, &[&[FIRST, RARE]]));
    scene.begin_others(1_000, 4_000);
    assert_eq!(scene.culprits(4_000 + SETTLED), [""; 0]);
    scene.crash(5_000, &[&[FIRST, RARE]]);
    scene.begin_others(4_100, 7_000);
    assert_eq!(scene.culprits(7_000 + SETTLED), names(&[RARE]));
}

#[test]
fn an_operator_clears_a_part() {
    let mut scene = Scene::new();
    (1..=3).for_each(|round| scene.crash(round * 1_000, &[&[FIRST, BAD]]));
    scene.begin_others(1_000, 3_000);
    assert_eq!(scene.culprits(4_000), names(&[BAD]));
    scene.log.release(part(BAD).fingerprint(service()), scene.start + ms(4_000));
    assert_eq!(scene.culprits(5_000), [""; 0]);
}

#[test]
fn a_part_is_counted_by_service() {
    let mut scene = Scene::new();
    scene.crash(1_000, &[&[FIRST, BAD]]);
    (2..=3).for_each(|round| {
        let request = Interrupted {
            request: format!("other-{round}").parse().unwrap(),
            service: Tag::of("other"),
            parts: parts(&[FIRST, BAD]),
            sent: scene.start + ms(round * 1_000 - 100),
        };
        let upstream = Tag::of(&format!("other-{round}"));
        scene.log.record_crash(upstream, request, scene.start + ms(round * 1_000));
    });
    scene.begin_others(1_000, 3_000);
    assert_eq!(scene.culprits(3_000 + SETTLED), [""; 0]);
}

#[test]
fn requests_without_shared_parts_are_not_recorded() {
    let mut scene = Scene::new();
    (1..=9).for_each(|round| scene.crash(round * 1_000, &[&[]]));
    assert!(scene.log.is_empty());
}

#[test]
fn memory_is_bounded() {
    let mut scene = Scene::new();
    for number in 0..100_000_u64 {
        scene.begin(number, &[&format!("{number:x}")]);
    }
    for number in 0..2_000_u64 {
        scene.crash(100_000 + number, &[&[FIRST, &format!("{number:x}")]]);
    }
    assert!(scene.log.len() <= 256);
    let announced = scene.log.announced(scene.start + ms(102_000));
    assert!(announced.len() <= 128, "{}", announced.len());
}

/// Only one of the VMs observes begins; the others observe the crashes.
#[test]
fn a_peer_clears_parts_with_which_its_requests_begin() {
    let (mut one, mut two) = (Scene::new(), Scene::new());
    two.start = one.start;
    for round in 1..=4 {
        one.crash(round * 1_000, &[&[FIRST, RARE]]);
        two.begin(round * 1_000 + 100, &[FIRST, RARE]);
        let now = one.start + ms(round * 1_000 + 300);
        let announced = one.log.announced(now);
        assert!(two.log.merge(announced, now).new_crash);
        one.log.merge(two.log.announced(now), now);
    }
    assert_eq!(one.culprits(4_400 + SETTLED), [""; 0]);
    assert_eq!(two.culprits(4_400 + SETTLED), [""; 0]);
}

/// Guards against a VM that keeps to itself what its requests begin with once the crash is some time ago.
#[test]
fn a_request_that_begins_late_is_announced_three_times_and_no_more() {
    let (mut one, mut two) = (Scene::new(), Scene::new());
    two.start = one.start;
    one.crash(1_000, &[&[FIRST, RARE]]);
    two.log.merge(one.log.announced(one.start + ms(1_000)), one.start + ms(1_000));
    let begun = |scene: &mut Scene, at| {
        let at = scene.start + ms(at);
        scene.log.record_begun(service(), &parts(&[FIRST, RARE]), at)
    };
    assert!(begun(&mut two, 5_000), "it is to be announced");
    assert!(!begun(&mut two, 5_100), "the crash is cleared");
    for _ in 0..3 {
        assert_eq!(two.log.announced(two.start + ms(5_200)).len(), 2);
    }
    assert_eq!(two.log.announced(two.start + ms(5_300)), []);
}

/// Guards against a common part being held back because all upstreams are down after a few crashes: nothing can begin
/// then, with this part or without.
#[test]
fn a_part_is_no_culprit_while_no_other_request_begins() {
    let mut scene = Scene::new();
    (1..=3).for_each(|round| scene.crash(round * 300, &[&[FIRST, RARE]]));
    assert_eq!(scene.culprits(900 + 10 * SETTLED), [""; 0]);
    // An upstream is back. Others begin first.
    scene.begin_others(6_000, 6_000);
    assert_eq!(scene.culprits(6_000 + SETTLED - 1), [""; 0]);
    scene.begin(6_100, &[FIRST, RARE]);
    assert_eq!(scene.culprits(6_000 + SETTLED), [""; 0]);
}

#[test]
fn crashes_that_go_on_while_nothing_begins_are_evidence_as_well() {
    // Requests with it were there nearly all the time, so the times of the crashes show nothing.
    let mut scene = Scene::new();
    let crash = |scene: &mut Scene, round: u64| {
        scene.crash_sent(round * 1_000, round * 1_000 - 900, &[&[FIRST, BAD]]);
    };
    (1..=7).for_each(|round| crash(&mut scene, round));
    assert_eq!(scene.culprits(7_900), [""; 0]);
    crash(&mut scene, 8);
    assert_eq!(scene.culprits(8_000 + SETTLED), names(&[BAD]));
}

/// Guards against a common part being held back while crashes of another cause take down most upstreams, one after the
/// other: most requests are interrupted, whatever their parts.
#[test]
fn a_common_part_is_no_culprit_while_most_requests_are_interrupted() {
    let mut scene = Scene::new();
    for round in 1..=4 {
        let both: [&[&str]; 4] = [&[FIRST, RARE], &[FIRST, RARE], &[FIRST, "c1"], &[FIRST, "c1"]];
        scene.crash(round * 300, &both);
    }
    scene.begin(1_250, &[FIRST, "c1"]);
    assert_eq!(scene.culprits(1_300 + SETTLED), [""; 0]);
}

/// Guards against the same where the common part is in all crashes, and no other.
#[test]
fn a_part_that_most_requests_have_is_no_culprit_for_being_in_all_crashes() {
    let mut scene = Scene::new();
    for round in 1..=6 {
        let common: [&[&str]; 3] = [&[FIRST, RARE], &[FIRST, RARE], &[FIRST, RARE]];
        scene.crash(round * 200, &common);
        scene.crash(round * 200 + 1, &[&[FIRST, RARE], &[FIRST, BAD, RARE], &[FIRST, "c1"]]);
    }
    assert_eq!(scene.culprits(1_201 + SETTLED), [""; 0]);
}

/// Guards against another part being blamed for the crashes of a culprit that another VM has found.
#[test]
fn a_culprit_that_a_peer_found_explains_its_crashes() {
    let mut scene = Scene::new();
    let bad = part(BAD).fingerprint(service());
    for round in 1..=4 {
        scene.begin(round * 1_000 - 50, &[FIRST]);
        scene.crash(round * 1_000, &[&[FIRST, BAD, RARE]]);
    }
    scene.begin_others(1_000, 4_000);
    assert_eq!(scene.culprits(4_000 + SETTLED), names(&[RARE]), "either explains the crashes");
    scene.log.record_culprit(bad);
    assert_eq!(scene.culprits(4_000 + SETTLED), names(&[BAD]));
    scene.begin(5_000, &[FIRST, BAD]);
    scene.crash(6_000, &[&[FIRST, RARE]]);
    assert_eq!(scene.culprits(6_000 + SETTLED), names(&[RARE]), "it is cleared of them");
}

/// Guards against a common part being held back when an upstream is back and another request begins first.
#[test]
fn a_common_part_is_no_culprit_because_a_rare_one_begins_first() {
    let mut scene = Scene::new();
    for round in 1..=6 {
        let common: [&[&str]; 3] = [&[FIRST, RARE], &[FIRST, RARE], &[FIRST, BAD, RARE]];
        scene.crash(round * 200, &common[usize::from(round % 2 == 0)..]);
    }
    scene.begin(1_300, &[FIRST, "c1"]);
    assert_eq!(scene.culprits(1_300 + SETTLED), [""; 0]);
}

#[test]
fn culprits_are_announced() {
    let (mut one, mut two) = (Scene::new(), Scene::new());
    (1..=8).for_each(|round| one.crash(round * 1_000, &[&[FIRST, BAD]]));
    let culprit = one.log.culprits(one.start + ms(9_000)).remove(0);
    one.log.announce(culprit.clone());
    let now = two.start + ms(9_000);
    assert_eq!(two.log.merge(one.log.announced(now), now).culprits, [culprit]);
}

proptest! {
    /// Datagrams are lost, doubled and reordered; each crash is announced three times.
    #[test]
    fn vms_that_observe_nothing_themselves_reach_the_same_result(
        crashes in proptest::collection::vec((0..4_u64, 0..4_u64), 1..16),
        order in any::<u64>(),
    ) {
        let start = Instant::now();
        let mut observer = Scene { start, ..Scene::new() };
        let mut at = 1_000;
        for (first, second) in &crashes {
            at += 300;
            observer.crash(at, &[&[FIRST, &format!("{first:x}"), &format!("b{second:x}")]]);
        }
        let now = start + ms(at + 2_000);
        let mut messages: Vec<_> = (0..3).flat_map(|_| observer.log.announced(now)).collect();
        let mut receivers: Vec<Scene> = (0..2).map(|_| Scene { start, ..Scene::new() }).collect();
        for receiver in &mut receivers {
            let middle = order as usize % messages.len();
            messages.rotate_left(middle);
            // One message of each crash arrives at least.
            let lost = messages.len() / 3;
            let arrived: Vec<_> = messages.iter().skip(lost).cloned().collect();
            arrived.into_iter().for_each(|message| {
                receiver.log.merge(vec![message], now);
            });
        }
        prop_assert_eq!(receivers[0].culprits(at + 2_000), receivers[1].culprits(at + 2_000));
    }
}

/// Guards against a sound part being quarantined again by a probe that holds the culprit as well.
#[test]
fn a_request_with_two_suspected_parts_is_no_probe() {
    let mut cluster = Cluster::default();
    let now = Instant::now();
    let upstreams = [Tag::of("i-1"), Tag::of("i-2"), Tag::of("i-3")];
    for id in [BAD, RARE] {
        cluster.quarantine.impose(part(id).fingerprint(service()), &upstreams, now);
    }
    let verdict = |ids: &[&str], at| cluster.part_verdict(service(), &parts(ids), now + ms(at));
    assert!(matches!(verdict(&[FIRST, BAD], 1_000), Some((_, Verdict::Quarantined(_)))));
    assert_eq!(verdict(&[FIRST, "c1"], 1_000), None);
    assert_eq!(verdict(&[FIRST, BAD], 16_000), Some((part(BAD), Verdict::Isolated)));
    assert_eq!(verdict(&[FIRST, RARE], 16_000), Some((part(RARE), Verdict::Isolated)));
    let both = verdict(&[FIRST, BAD, RARE], 16_000);
    assert!(matches!(both, Some((_, Verdict::Quarantined(_)))), "{both:?}");
}
