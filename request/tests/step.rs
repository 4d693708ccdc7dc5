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

fn one(from: u64) -> Step {
    step(from, from + 1, vec![Change::Upstream(listed(from as usize))])
}

#[test]
fn steps_come_out_as_they_went_in() {
    let changes = vec![
        Change::Upstream(Listed { born: None, cold_ms: 300, ..listed(1) }),
        Change::UpstreamGone("i-2".parse().unwrap(), 7.into()),
        Change::Member(member(3)),
        Change::MemberGone("vm-4".parse().unwrap()),
    ];
    let steps = vec![step(1, 9, changes), step(9, 12, Vec::new())];
    assert_eq!(decode(&encode(&steps)).unwrap(), steps);
    assert!(decode(b"nonsense").is_err());
}

/// An upstream leaves in a fleet of 1,000 VMs and 3,000 upstreams: checks the size of what each VM
/// receives.
#[test]
fn a_change_is_told_in_bytes_that_do_not_grow_with_the_fleet() {
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
    assert!(whole > 100 * large, "the whole takes {whole} bytes");
}

#[test]
fn each_step_is_told_in_two_rounds_and_no_more() {
    let mut steps = Steps::default();
    steps.note(one(1));
    assert_eq!(steps.told(Revision::default()).len(), 1);
    steps.note(one(2));
    assert_eq!(steps.told(Revision::default()).len(), 2);
    assert_eq!(steps.told(Revision::default()), [one(2)]);
    assert!(steps.told(Revision::default()).is_empty());
}

#[test]
fn what_another_vm_tells_is_left_to_it() {
    let mut steps = Steps::default();
    (1..5).for_each(|from| steps.note(one(from)));
    assert_eq!(steps.told(3.into()), [one(3), one(4)]);
}

/// 3,000 upstreams are listed at once: the announced steps fit a datagram.
#[test]
fn a_flood_of_changes_fits_a_datagram() {
    let mut steps = Steps::default();
    (0..3_000).for_each(|from| steps.note(one(from)));
    let told = encode(&steps.told(Revision::default()));
    assert!(told.len() < foldlock_request::message::MAX_BYTES, "{}", told.len());
}

#[test]
fn a_step_of_another_era_or_beyond_what_is_known_is_not_taken() {
    let at = |era, number| Revision { era, number };
    let step = Step { from: at(1, 5), to: at(1, 9), changes: Vec::new() };
    assert!(step.follows(at(1, 5)) && step.follows(at(1, 8)));
    assert!(!step.follows(at(1, 4)), "what came in between is missing");
    assert!(!step.follows(at(1, 9)), "it is known");
    assert!(!step.follows(at(0, 5)) && !step.follows(at(2, 5)));
}

/// An upstream that does not renew its listing in time is removed without a change in the
/// directory.
#[test]
fn what_is_known_without_a_change_in_the_directory_is_told_as_well() {
    let gone = step(9, 9, vec![Change::UpstreamGone("i-1".parse().unwrap(), 9.into())]);
    assert!(gone.follows(9.into()) && !gone.follows(8.into()) && !gone.follows(10.into()));
    let mut steps = Steps::default();
    steps.note(gone.clone());
    assert_eq!(steps.told(9.into()), [gone]);
}

proptest! {
    /// Steps of two watchers with arbitrary bounds, some of them lost: a VM that applies those that
    /// follow has all changes up to its revision.
    #[test]
    fn whoever_takes_steps_that_follow_misses_nothing(
        cuts in prop::collection::vec((1..5_u64, 1..5_u64, any::<bool>(), any::<bool>()), 1..20),
    ) {
        let (mut at, mut known, mut ends) = (0_u64, Vec::new(), [0_u64, 0]);
        for (one, other, one_lost, other_lost) in cuts {
            for (end, (length, lost)) in ends.iter_mut().zip([(one, one_lost), (other, other_lost)]) {
                let changes: Vec<u64> = (*end + 1..=*end + length).collect();
                let step = step(*end, *end + length, Vec::new());
                *end += length;
                if !lost && step.follows(at.into()) {
                    known.extend(changes);
                    at = step.to.number;
                }
            }
        }
        known.sort_unstable();
        known.dedup();
        prop_assert_eq!(known, (1..=at).collect::<Vec<_>>());
    }
}
