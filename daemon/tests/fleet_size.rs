//! The control traffic of a VM as the fleet grows: message counts at 6 to 2,000 VMs against the
//! limits of a VM.

use std::time::Duration;

use foldlock_request::message::{self, Activity, Heartbeat, Message, State};
use foldlockd::fleet::join;
use foldlockd::fleet::peers::Timing;

const FLEETS: [usize; 7] = [6, 30, 195, 400, 985, 1_500, 2_000];

/// The bandwidth that a VM may use for control traffic.
const MAX_CONTROL_BYTES_PER_S: f64 = 16_384.0;

/// The VMs to which each VM sends heartbeats.
const RECIPIENTS: f64 = 3.0;

/// The size of a heartbeat of a VM without requests.
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

/// In an idle fleet each VM sends heartbeats to three schedulers, and these to all VMs.
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

/// Up to some hundreds of VMs the intervals are those of a small fleet.
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

/// Settings have to be in force in 4 s at 1,500 VMs: a watch, the broadcast interval, and one lost
/// heartbeat.
#[test]
fn settings_reach_all_vms_within_4_s() {
    let timing = Timing::of(1_500);
    let watch_timeout = Duration::from_millis(1_100);
    assert!(
        watch_timeout + timing.broadcast_interval() + timing.heartbeat_interval()
            < Duration::from_secs(4)
    );
}

/// All VMs are killed at once and none of the first in the order returns: no VM receives
/// heartbeats, and each reads the directory itself.
#[test]
fn vms_without_live_peers_read_the_directory_in_turn() {
    // The smallest directory serves 2,000 reads per second, and one start reads up to eight pages.
    let max_reads_per_s = 250;
    let times: Vec<Duration> = (0..2_000).map(join::peer_timeout).collect();
    for from in &times {
        let within = |at: &&Duration| *at >= from && **at < *from + Duration::from_secs(1);
        let reads = times.iter().filter(within).count();
        assert!(reads <= max_reads_per_s + 3, "{reads} reads in the second after {from:?}");
    }
}
