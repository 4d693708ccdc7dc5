//! Which VM is the scheduler of this one when grant replies arrive, arrive late, or do not arrive.

use std::time::{Duration, Instant};

use foldlock_base::clock::{Clock, System};
use foldlock_request::directory::Member;
use foldlock_request::message::{Heartbeat, State};
use foldlockd::fleet::peers::{Peers, Scheduler};

fn member(vm: &str, millicores: u32) -> Member {
    Member {
        vm: vm.parse().unwrap(),
        hall: "a".to_owned(),
        address: format!("127.0.0.1:{}", 4_000 + millicores).parse().unwrap(),
        incarnation: 1,
        millicores,
    }
}

fn heartbeat(vm: &Member, subscribes: bool) -> Heartbeat {
    let state = State {
        stamp: 9,
        version: 1,
        age_ms: Some(10),
        revision: 5.into(),
        digest: 7,
        watching: true,
        synced: true,
        ..State::new(vm.vm.clone(), vm.incarnation)
    };
    Heartbeat {
        echo: None,
        echo_of: 0,
        last_grant: 0,
        requests_heartbeats: subscribes,
        state,
        is_client: false,
    }
}

/// The peers of a VM with 120 millicores that has just received a heartbeat of a stronger one.
fn peers(strong: &Member, now: Instant) -> Peers {
    let peers = Peers::new(member("vm-weak", 120), now, System.moment());
    peers.list(strong.clone());
    peers.on_heartbeat(&heartbeat(strong, false), now);
    peers
}

/// A small VM runs for only a tenth of each 100 ms, so a grant reply may wait in its socket buffer when the
/// grant request times out. The VM must not stay its own scheduler until the next heartbeat.
#[test]
fn a_late_grant_reply_makes_its_vm_the_scheduler_again() {
    let now = System.now();
    let strong = member("vm-strong", 1_000);
    let peers = peers(&strong, now);
    let other = Some(Scheduler::Peer(strong.vm.clone(), strong.address));
    assert_eq!(peers.scheduler(false, now), other);
    peers.on_grant_timeout(&strong.vm, now);
    assert_eq!(peers.scheduler(false, now), Some(Scheduler::Own));
    peers.on_grant_reply(&strong.vm);
    assert_eq!(peers.scheduler(false, now), other);
}

/// The withdrawal of the previous incarnation may be applied late: the VM lists itself again and continues as
/// before.
#[test]
fn a_vm_that_lists_itself_again_after_a_late_withdrawal_is_scheduler_again() {
    let now = System.now();
    let strong = member("vm-strong", 1_000);
    let peers = peers(&strong, now);
    peers.withdraw(&strong.vm, now);
    assert_eq!(peers.listed_count(), 1);
    assert!(peers.list(strong.clone()).is_some());
    assert_eq!(peers.listed_count(), 2);
    assert_eq!(
        peers.scheduler(false, now),
        Some(Scheduler::Peer(strong.vm.clone(), strong.address))
    );
    assert!(peers.list(strong).is_none(), "listing it again changes nothing");
}

/// Guards against shares of the fleet's limits that grow when VMs withdraw that still serve.
#[test]
fn a_withdrawn_vm_counts_as_running_while_its_heartbeats_arrive() {
    let now = System.now();
    let strong = member("vm-strong", 1_000);
    let peers = peers(&strong, now);
    assert_eq!(peers.running_count(), 2);
    peers.withdraw(&strong.vm, now);
    assert_eq!((peers.listed_count(), peers.running_count()), (1, 2));
    peers.mark_down(now + Duration::from_secs(30));
    assert_eq!(peers.running_count(), 1);
}

/// In a fleet of 1,000 VMs that all subscribe to heartbeats, a VM considers only a few to find the scheduler.
#[test]
fn the_scheduler_is_found_without_checking_subscribers() {
    let now = System.now();
    let peers = Peers::new(member("vm-own", 500), now, System.moment());
    for number in 0..1_000 {
        let subscriber = member(&format!("vm-{number}"), 120);
        peers.list(subscriber.clone());
        peers.on_heartbeat(&heartbeat(&subscriber, true), now);
    }
    assert_eq!(peers.subscribers(now).len() + peers.schedulers(now).len(), 1_000);
    assert!(peers.schedulers(now).len() <= 6);
    let later = now + Duration::from_secs(30);
    assert!(peers.subscribers(later).is_empty(), "no recent subscription");
}

/// All VMs start at once. Guards against a VM that uses a later VM of the order as scheduler because its
/// heartbeat arrives first, while the first one is up and about to reply.
#[test]
fn a_starting_vm_waits_for_the_reply_of_the_first_vm_in_the_order() {
    const TIMEOUT: Duration = Duration::from_millis(50);
    let now = System.now();
    let (first, second) = (member("vm-first", 2_000), member("vm-second", 1_000));
    let peers = peers(&second, now);
    assert!(!peers.awaits_scheduler(TIMEOUT, now), "the first known VM is up");
    peers.list(first.clone());
    assert!(peers.awaits_scheduler(TIMEOUT, now), "it is about to be sent a heartbeat");
    peers.schedulers(now);
    assert!(peers.awaits_scheduler(TIMEOUT, now + TIMEOUT / 2));
    assert!(!peers.awaits_scheduler(TIMEOUT, now + TIMEOUT), "it did not reply in time");
    peers.on_heartbeat(&heartbeat(&first, false), now);
    assert!(!peers.awaits_scheduler(TIMEOUT, now), "it is up");
    let silent = member("vm-silent", 4_000);
    peers.list(silent.clone());
    peers.on_grant_timeout(&silent.vm, now);
    assert!(!peers.awaits_scheduler(TIMEOUT, now), "grant requests to it timed out");
    let strong = Peers::new(member("vm-own", 9_000), now, System.moment());
    strong.list(first);
    assert!(!strong.awaits_scheduler(TIMEOUT, now), "this VM precedes it");
}

/// Guards against newer settings that come into force late: two VMs that announced them and lost power were asked again and
/// again, 800 ms each time, while another VM had them.
#[test]
fn settings_are_not_read_again_from_a_peer_that_did_not_respond() {
    let now = System.now();
    let (dead, alive) = (member("vm-dead", 1_000), member("vm-alive", 900));
    let peers = peers(&dead, now);
    assert_eq!(peers.newer_settings(0, now), Some(dead.address));
    peers.on_read_failed(dead.address);
    assert_eq!(peers.newer_settings(0, now), None);
    peers.list(alive.clone());
    peers.on_heartbeat(&heartbeat(&alive, false), now);
    assert_eq!(peers.newer_settings(0, now), Some(alive.address));
    let mut next = heartbeat(&dead, false);
    next.state.stamp += 1;
    peers.on_heartbeat(&next, now);
    peers.on_read_failed(alive.address);
    assert_eq!(peers.newer_settings(0, now), Some(dead.address), "it sent a heartbeat since");
}

/// A peer counts as up for 2 s after its last heartbeat, which is long for settings that have to be in force.
#[test]
fn settings_are_read_from_peers_with_recent_heartbeats_first() {
    let began = System.now();
    let (late, recent) = (member("vm-late", 1_000), member("vm-recent", 900));
    let peers = peers(&late, began);
    let now = began + peers.timing().scheduler_timeout();
    assert_eq!(peers.newer_settings(0, now), Some(late.address), "there is no other");
    peers.list(recent.clone());
    peers.on_heartbeat(&heartbeat(&recent, false), now);
    for _ in 0..20 {
        assert_eq!(peers.newer_settings(0, now), Some(recent.address));
    }
}
