//! Steps of the directory's listings: their size in a large fleet, and which VMs may apply them.

use foldlock_request::cluster::{Cluster, Listed};
use foldlock_request::directory::Member;
use foldlock_request::revision::Revision;
use foldlock_request::step::{Change, Step, Steps, decode, encode};
use proptest::prelude::*;

fn listed(i: usize) -> Listed {
    Listed {
        id: format!("i-{i:010x}").parse().unwrap(),
        born: Some(1_780_012_754_015),
        revision: (i as u64).into(),
        service: "model".to_owned(),
        address: format!("10.2.{}.{}:8080", i / 250, i % 250),
        hall: "charguia".to_owned(),
        slots: 10,
        leaving: false,
        cold_ms: 0,
    }
}

fn member(i: usize) -> Member {
    Member {
        vm: format!("front-charguia-{i}").parse().unwrap(),
        hall: "charguia".to_owned(),
        address: format!("10.1.{}.{}:7000", i / 250, i % 250).parse().unwrap(),
        incarnation: 1_780_012_754_015,
        millicores: 120,
    }
}

fn step(from: u64, to: u64, changes: Vec<Change>) -> Step {
    Step { from: from.into(), to: to.into(), changes }
}

fn single_change(from: u64) -> Step {
    step(from, from + 1, vec![Change::Upstream(listed(from as usize))])
}

#[test]
fn steps_round_trip() {
    let changes = vec![
        Change::Upstream(Listed { born: None, cold_ms: 300, ..listed(1) }),
        Change::UpstreamRemoved("i-2".parse().unwrap(), 7.into()),
        Change::UpstreamUnlisted("i-5".parse().unwrap(), 8.into()),
        Change::Member(member(3)),
        Change::MemberWithdrawn("vm-4".parse().unwrap()),
    ];
    let steps = vec![step(1, 9, changes), step(9, 12, Vec::new())];
    assert_eq!(decode(&encode(&steps)).unwrap(), steps);
    assert!(decode(b"nonsense").is_err());
}

/// An upstream leaves in a fleet of 1,000 VMs and 3,000 upstreams: checks the size of what each VM
/// receives.
#[test]
fn the_size_of_a_change_does_not_grow_with_the_fleet() {
    let sizes = [(10, 30), (1_000, 3_000)].map(|(vms, upstreams)| {
        let mut cluster = Cluster::default();
        (0..upstreams).for_each(|i| {
            cluster.list(listed(i));
        });
        let all: Vec<Listed> = cluster.listings().cloned().collect();
        let members: Vec<Member> = (0..vms).map(member).collect();
        let whole = serde_json::to_vec(&(all, members)).unwrap().len();
        let leaving = Listed { leaving: true, ..listed(upstreams / 2) };
        (encode(&[step(5_000, 5_001, vec![Change::Upstream(leaving)])]).len(), whole)
    });
    let [(small, _), (large, whole)] = sizes;
    assert!(large <= small + 8, "{small} and {large} bytes");
    // 40 changes a second take at most 16 kB, an eighth of what a VM may receive for control.
    assert!(large * 40 <= 16_000, "{large} bytes");
    assert!(whole > 100 * large, "all listings take {whole} bytes");
}

#[test]
fn each_step_is_announced_in_exactly_two_heartbeats() {
    let mut steps = Steps::default();
    steps.push(single_change(1));
    assert_eq!(steps.announced(Revision::default()).len(), 1);
    steps.push(single_change(2));
    assert_eq!(steps.announced(Revision::default()).len(), 2);
    assert_eq!(steps.announced(Revision::default()), [single_change(2)]);
    assert!(steps.announced(Revision::default()).is_empty());
}

#[test]
fn steps_that_another_vm_announces_are_skipped() {
    let mut steps = Steps::default();
    (1..5).for_each(|from| steps.push(single_change(from)));
    assert_eq!(steps.announced(3.into()), [single_change(3), single_change(4)]);
}

/// 3,000 upstreams are listed at once: the announced steps fit a datagram.
#[test]
fn many_changes_at_once_fit_a_datagram() {
    let mut steps = Steps::default();
    (0..3_000).for_each(|from| steps.push(single_change(from)));
    let announced = encode(&steps.announced(Revision::default()));
    assert!(announced.len() < foldlock_request::message::MAX_BYTES, "{}", announced.len());
}

#[test]
fn a_step_follows_only_revisions_in_its_range_and_era() {
    let at = |era, number| Revision { era, number };
    let step = Step { from: at(1, 5), to: at(1, 9), changes: Vec::new() };
    assert!(step.follows(at(1, 5)) && step.follows(at(1, 8)));
    assert!(!step.follows(at(1, 4)), "the changes in between are missing");
    assert!(!step.follows(at(1, 9)), "it is applied already");
    assert!(!step.follows(at(0, 5)) && !step.follows(at(2, 5)));
}

/// An upstream that does not renew its listing in time is removed without a change in the
/// directory.
#[test]
fn a_step_without_a_new_revision_is_announced() {
    let gone = step(9, 9, vec![Change::UpstreamRemoved("i-1".parse().unwrap(), 9.into())]);
    assert!(gone.follows(9.into()) && !gone.follows(8.into()) && !gone.follows(10.into()));
    let mut steps = Steps::default();
    steps.push(gone.clone());
    assert_eq!(steps.announced(9.into()), [gone]);
}

proptest! {
    /// Steps of two watchers with arbitrary bounds, some of them lost: a VM that applies those that
    /// follow has all changes up to its revision.
    #[test]
    fn applying_steps_that_follow_misses_no_change(
        cuts in prop::collection::vec((1..5_u64, 1..5_u64, any::<bool>(), any::<bool>()), 1..20),
    ) {
        let (mut at, mut applied, mut ends) = (0_u64, Vec::new(), [0_u64, 0]);
        for (one, other, one_lost, other_lost) in cuts {
            for (end, (length, lost)) in ends.iter_mut().zip([(one, one_lost), (other, other_lost)]) {
                let changes: Vec<u64> = (*end + 1..=*end + length).collect();
                let step = step(*end, *end + length, Vec::new());
                *end += length;
                if !lost && step.follows(at.into()) {
                    applied.extend(changes);
                    at = step.to.number;
                }
            }
        }
        applied.sort_unstable();
        applied.dedup();
        prop_assert_eq!(applied, (1..=at).collect::<Vec<_>>());
    }
}
