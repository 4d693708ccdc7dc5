//! What a VM tells, and asks for, as the fleet grows: counts at 6 to 2,000 VMs, against what a VM may take.

use std::time::Duration;

use foldlock_request::message::{self, Activity, Heartbeat, Message, State};
use foldlockd::fleet::join;
use foldlockd::fleet::peers::Timing;

const FLEETS: [usize; 7] = [6, 30, 195, 400, 985, 1_500, 2_000];

/// What control may take of each VM, bytes a second.
const MAX_CONTROL_BYTES_PER_S: f64 = 16_384.0;

/// VMs that each VM tells that it lives.
const RECIPIENTS: f64 = 3.0;

/// The beat of a VM that has no request.
fn idle_heartbeat_bytes() -> usize {
    let state = State {
        stamp: 86_400_000_000,
        version: 4_711,
        age_ms: Some(1_100),
        revision: 50_000.into(),
        digest: u64::MAX,
        synced: true,
        activity: Some(Activity::default()),
        ..State::new("front-el-ghazala-204".parse().unwrap(), 1_780_012_754_015)
    };
    let echo = Some(86_400_000_000);
    let heartbeat = Heartbeat {
        echo,
        echo_of: 1_780_012_754_015,
        last_grant: 100,
        requests_heartbeats: true,
        state,
        is_client: false,
    };
    message::encode(&Message::Heartbeat(heartbeat)).len()
}

/// A fleet in which nothing happens: each VM tells three, and these tell all.
#[test]
fn the_heartbeat_rate_of_a_scheduler_does_not_grow_with_the_fleet() {
    for vms in FLEETS {
        let heartbeats_per_s = vms as f64 / Timing::of(vms).heartbeat_interval().as_secs_f64();
        assert!(heartbeats_per_s <= 2_001.0, "{heartbeats_per_s} a second at {vms} VMs");
    }
}

#[test]
fn an_idle_vm_stays_within_the_bandwidth_for_control_traffic() {
    for vms in FLEETS {
        let heartbeats_per_s =
            2.0 * RECIPIENTS / Timing::of(vms).heartbeat_interval().as_secs_f64();
        let bytes_per_s = heartbeats_per_s * idle_heartbeat_bytes() as f64;
        assert!(bytes_per_s < MAX_CONTROL_BYTES_PER_S, "{bytes_per_s} bytes a second at {vms} VMs");
    }
}

/// Up to some hundreds of VMs the times are those of a small fleet.
#[test]
fn intervals_are_constant_up_to_400_vms() {
    for vms in [1, 6, 100, 400] {
        let timing = Timing::of(vms);
        let ms = |time: Duration| time.as_millis();
        assert_eq!(ms(timing.heartbeat_interval()), 200);
        assert_eq!(ms(timing.scheduler_timeout()), 650);
        assert_eq!(ms(timing.subscription_timeout()), 1_000);
        assert_eq!(ms(timing.down_timeout()), 2_000);
        assert_eq!(ms(timing.sync_time()), 1_000);
    }
}

/// Settings are in force in 4 s at 1,500 VMs: a watch, its gathering, and a round to all that is lost once.
#[test]
fn settings_reach_all_vms_within_4_s() {
    let timing = Timing::of(1_500);
    let watch_timeout = Duration::from_millis(1_100);
    assert!(
        watch_timeout + timing.broadcast_interval() + timing.heartbeat_interval()
            < Duration::from_secs(4)
    );
}

/// All are killed at once, and none of the first in the order comes back: nobody is heard, and each reads the
/// directory for itself.
#[test]
fn vms_without_live_peers_read_the_directory_in_turn() {
    // The smallest directory takes 2,000 reading calls a second, of which one start makes up to eight pages.
    let max_reads_per_s = 250;
    let times: Vec<Duration> = (0..2_000).map(join::patience).collect();
    for from in &times {
        let within = |at: &&Duration| *at >= from && **at < *from + Duration::from_secs(1);
        let reads = times.iter().filter(within).count();
        assert!(reads <= max_reads_per_s + 3, "{reads} reads in the second after {from:?}");
    }
}
