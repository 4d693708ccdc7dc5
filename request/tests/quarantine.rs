//! The quarantine: which requests are isolated, which are quarantined and which stay shared after crashes.

use std::time::{Duration, Instant};

use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::quarantine::{Crash, Quarantine, Verdict};
use foldlock_request::tag::Tag;
use proptest::prelude::*;

/// Longer than any event is announced.
const ALL: Duration = Duration::from_secs(60);

fn request(number: u32) -> Fingerprint {
    Fingerprint::of("registry", "POST", "/audit/", &number.to_be_bytes())
}

fn shared(upstream: u32) -> Crash {
    Crash { upstream: Tag::of(&format!("i-{upstream}")), isolated: false }
}

fn isolated(upstream: u32) -> Crash {
    Crash { isolated: true, ..shared(upstream) }
}

fn later(now: Instant, seconds: u64) -> Instant {
    now + Duration::from_secs(seconds)
}

#[test]
fn a_request_stays_shared_after_one_crash() {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    assert_eq!(quarantine.record_crash(request(1), shared(1), now), None);
    assert_eq!(quarantine.verdict(request(1), now), Verdict::Shared);
}

#[test]
fn it_is_isolated_after_two_crashes_and_quarantined_only_after_a_solo_crash() {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    for upstream in 1..=6 {
        assert_eq!(quarantine.record_crash(request(1), shared(upstream), now), None);
    }
    assert_eq!(quarantine.verdict(request(1), now), Verdict::Isolated, "six copies ran at once");
    let status = quarantine.record_crash(request(1), isolated(7), now).unwrap();
    assert_eq!((status.solo_crashes, status.remaining), (1, Duration::from_secs(15)));
    assert_eq!(quarantine.verdict(request(1), now), Verdict::Quarantined(status.remaining));
    assert_eq!(quarantine.verdict(request(2), now), Verdict::Shared);
}

#[test]
fn a_completion_clears_all_earlier_crashes() {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    (1..=2).for_each(|upstream| {
        quarantine.record_crash(request(1), shared(upstream), now);
    });
    assert!(quarantine.record_completion(request(1), later(now, 1)));
    assert_eq!(quarantine.verdict(request(1), later(now, 1)), Verdict::Shared);
    assert!(!quarantine.record_completion(request(1), later(now, 2)), "no crash was recorded");
    assert!(!quarantine.record_completion(request(2), later(now, 2)));
}

#[test]
fn each_solo_crash_lengthens_the_quarantine_so_that_a_request_crashes_at_most_five_upstreams_a_day()
{
    let (mut quarantine, mut now) = (Quarantine::default(), Instant::now());
    let mut crashes = 0;
    let day = later(now, 23 * 3_600);
    while now < day {
        match quarantine.verdict(request(1), now) {
            Verdict::Shared => {
                quarantine.record_crash(request(1), shared(crashes), now);
                crashes += 1;
            }
            Verdict::Isolated => {
                quarantine.record_crash(request(1), isolated(crashes), now);
                crashes += 1;
            }
            Verdict::Quarantined(_) => {}
        }
        now += Duration::from_millis(700);
    }
    assert_eq!(crashes, 5);
}

#[test]
fn crashes_expire_after_two_minutes() {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    (1..=2).for_each(|upstream| {
        quarantine.record_crash(request(1), shared(upstream), now);
    });
    assert_eq!(quarantine.verdict(request(1), later(now, 119)), Verdict::Isolated);
    assert_eq!(quarantine.verdict(request(1), later(now, 121)), Verdict::Shared);
    quarantine.record_crash(request(1), shared(3), later(now, 121));
    assert_eq!(
        quarantine.verdict(request(1), later(now, 121)),
        Verdict::Shared,
        "only one crash is left"
    );
}

#[test]
fn a_quarantine_entry_of_another_vm_applies_and_can_be_released() {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    quarantine.merge_entry(request(1), 2, Duration::from_secs(9), now);
    assert_eq!(quarantine.verdict(request(1), now), Verdict::Quarantined(Duration::from_secs(9)));
    assert_eq!(quarantine.verdict(request(1), later(now, 9)), Verdict::Isolated);
    let status = quarantine.record_crash(request(1), isolated(1), later(now, 9)).unwrap();
    assert_eq!(status.solo_crashes, 3, "the two of the other VM count");
    assert!(quarantine.release(request(1), later(now, 10)));
    assert_eq!(quarantine.verdict(request(1), later(now, 10)), Verdict::Shared);
}

#[test]
fn a_clock_a_day_behind_does_not_lengthen_a_quarantine() {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    quarantine.merge_entry(request(1), 1, Duration::from_secs(24 * 3_600), now);
    assert_eq!(quarantine.verdict(request(1), now), Verdict::Quarantined(Duration::from_secs(15)));
}

/// A million distinct requests without crashes leave no record. 20,000 that were interrupted by crashes stay within the
/// bound, and quarantined ones are evicted last.
#[test]
fn a_flood_of_requests_stays_within_the_bound_and_evicts_no_quarantined_request() {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    for number in 0..1_000_000 {
        quarantine.record_completion(request(number), now);
    }
    assert!(quarantine.is_empty());
    for number in 0..1_000 {
        quarantine.record_crash(request(number), isolated(number), now);
    }
    for number in 1_000..20_000 {
        quarantine.record_crash(request(number), shared(number), now);
    }
    assert_eq!(quarantine.len(), 4_096);
    let is_quarantined =
        |number: &u32| matches!(quarantine.verdict(request(*number), now), Verdict::Quarantined(_));
    assert_eq!((0..1_000).filter(is_quarantined).count(), 1_000);
}

#[test]
fn fresh_events_are_in_every_announcement_and_older_ones_in_occasional_full_ones() {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    quarantine.record_crash(request(1), shared(1), now);
    assert_eq!(quarantine.announced(false, now).len(), 1);
    assert_eq!(quarantine.announced(false, later(now, 1)).len(), 0);
    assert_eq!(quarantine.announced(true, later(now, 1)).len(), 1);
    assert_eq!(
        quarantine.announced(true, later(now, 2)).len(),
        0,
        "the last full one was a second ago"
    );
    assert_eq!(quarantine.announced(true, later(now, 3)).len(), 1);
    assert_eq!(quarantine.announced(true, later(now, 21)).len(), 0);
}

/// Two VMs observe a crash of the same upstream, one of them before and one after a completion that the other VM merges
/// later.
#[test]
fn a_completion_clears_only_earlier_crashes() {
    let (mut here, mut there, now) = (Quarantine::default(), Quarantine::default(), Instant::now());
    here.record_crash(request(1), shared(1), now);
    here.record_completion(request(1), later(now, 1));
    there.record_crash(request(1), shared(1), later(now, 2));
    there.merge(&here.announced_within(ALL, later(now, 3)), later(now, 3));
    here.merge(&there.announced_within(ALL, later(now, 3)), later(now, 3));
    assert_eq!((here.crash_count(request(1)), there.crash_count(request(1))), (1, 1));
}

/// Events of a request at the VMs. An incarnation of an upstream crashes once, so a second VM can only observe the
/// crash that the first one observed, and only one isolated copy runs there.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// An upstream crashes, and this VM observes it.
    Crashed {
        vm: usize,
        isolated: bool,
    },
    /// This VM observes the last crash, too, by another copy.
    Observed {
        vm: usize,
    },
    Completed {
        vm: usize,
    },
    Merged {
        from: usize,
        by: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let vm = 0..3_usize;
    prop_oneof![
        (vm.clone(), any::<bool>()).prop_map(|(vm, isolated)| Step::Crashed { vm, isolated }),
        vm.clone().prop_map(|vm| Step::Observed { vm }),
        vm.clone().prop_map(|vm| Step::Completed { vm }),
        (vm.clone(), vm).prop_map(|(from, by)| Step::Merged { from, by }),
    ]
}

proptest! {
    /// Heartbeats are lost, duplicated and reordered. Once each VM has merged the announcements of all others, all
    /// have the same crashes and agree on the quarantine.
    #[test]
    fn vms_agree_once_they_have_merged_all_announcements(steps in prop::collection::vec(step(), 0..40)) {
        let mut vms = [Quarantine::default(), Quarantine::default(), Quarantine::default()];
        let mut now = Instant::now();
        let mut last_completion = None;
        let mut upstream = 0;
        let mut crashes = Vec::new();
        for step in steps {
            now += Duration::from_millis(10);
            match step {
                Step::Crashed { vm, isolated } => {
                    upstream += 1;
                    vms[vm].record_crash(request(1), Crash { isolated, ..shared(upstream) }, now);
                    crashes.push((now, upstream));
                }
                Step::Observed { vm } => {
                    vms[vm].record_crash(request(1), shared(upstream), now);
                    crashes.push((now, upstream));
                }
                Step::Completed { vm } => {
                    if vms[vm].record_completion(request(1), now) {
                        last_completion = Some(now);
                    }
                }
                Step::Merged { from, by } => {
                    let announced = vms[from].announced_within(ALL, now);
                    vms[by].merge(&announced, now);
                }
            }
        }
        now += Duration::from_millis(10);
        // A completion that is merged late clears earlier crashes, so merge twice, in each order.
        for (from, by) in [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)].repeat(2) {
            let announced = vms[from].announced_within(ALL, now);
            vms[by].merge(&announced, now);
        }
        let is_quarantined = |vm: &Quarantine| matches!(vm.verdict(request(1), now), Verdict::Quarantined(_));
        let counts: Vec<usize> = vms.iter().map(|vm| vm.crash_count(request(1))).collect();
        prop_assert!(counts.iter().all(|count| *count == counts[0]), "{counts:?}");
        prop_assert!(vms.iter().all(|vm| is_quarantined(vm) == is_quarantined(&vms[0])));
        let since = |at: &Instant| last_completion.is_none_or(|completion| *at > completion);
        let mut after: Vec<u32> =
            crashes.iter().filter(|(at, _)| since(at)).map(|(_, upstream)| *upstream).collect();
        after.sort_unstable();
        after.dedup();
        prop_assert_eq!(counts[0], after.len().min(16));
    }
}

/// Guards against a quarantine that is extended by the crashes that led to it.
#[test]
fn an_imposed_quarantine_counts_each_crash_once() {
    let (mut quarantine, now) = (Quarantine::default(), Instant::now());
    let upstreams: Vec<Tag> = (1..=3).map(|number| Tag::of(&format!("i-{number}"))).collect();
    let status = quarantine.impose(request(1), &upstreams, now).unwrap();
    assert_eq!((status.solo_crashes, status.crashes), (1, 3));
    assert_eq!(status.remaining, Duration::from_secs(15));
    assert_eq!(quarantine.impose(request(1), &upstreams, later(now, 10)), None);
    assert_eq!(quarantine.verdict(request(1), later(now, 16)), Verdict::Isolated, "a probe");
    // The probe crashes its upstream, at this VM and as announced by another.
    let probed = later(now, 17);
    assert!(quarantine.record_crash(request(1), isolated(4), probed).is_some());
    let all: Vec<Tag> = (1..=4).map(|number| Tag::of(&format!("i-{number}"))).collect();
    assert_eq!(quarantine.impose(request(1), &all, later(probed, 1)), None);
    let expected = Verdict::Quarantined(Duration::from_secs(119));
    assert_eq!(quarantine.verdict(request(1), later(probed, 1)), expected);
}
