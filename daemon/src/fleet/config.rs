//! The configuration of a VM in a fleet.

use std::net::SocketAddr;
use std::time::Duration;

use foldlock_base::id;
use foldlock_request::budget::Parameters;
use foldlock_request::scheduler::Policy;
use serde::{Deserialize, Serialize};

/// The `fleet` section of the configuration file.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Address for the platform's readiness checks.
    pub ready: SocketAddr,
    /// Address for peers and operators, UDP and TCP.
    pub peers: SocketAddr,
    /// Additional address for metrics and the other operator endpoints. Without it they are served at
    /// `peers` only.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Address of the directory, `IP:port`.
    pub directory: String,
    /// Processor share of this VM in cores. The VMs with the largest share become schedulers.
    #[serde(default)]
    pub processor: f64,
    /// Memory of this VM, MB.
    #[serde(default = "usual_memory_mb")]
    pub memory_mb: usize,
    /// Time after which a caller's connection is closed if the caller reads nothing of its response,
    /// milliseconds.
    #[serde(default = "usual_write_timeout_ms")]
    pub write_timeout_ms: u64,
    /// Maximum age of the settings while requests with an API key are served, milliseconds. It bounds
    /// how long a revoked key can be used. Absent: no maximum.
    #[serde(default)]
    pub settings_age_ms: Option<u64>,
    /// Time within which reserved engine memory must be released after its request has ended, milliseconds.
    #[serde(default = "usual_memory_release_ms")]
    pub memory_release_ms: u64,
    /// Time between the signal to stop and the kill, milliseconds.
    pub stop_ms: u64,
    /// Retries that the fleet may send per request to a service.
    pub repeat_ratio: f64,
    /// Additional retries that the fleet may send to a service in each window.
    pub repeat_slack: f64,
    /// Window over which requests and retries are counted, milliseconds.
    pub repeat_window_ms: u64,
    /// How this VM admits and orders requests while it is the scheduler.
    #[serde(default)]
    pub scheduling: Policy,
}

/// Default: the memory of a small VM.
fn usual_memory_mb() -> usize {
    128
}

/// Default: as long as callers wait for a response.
fn usual_write_timeout_ms() -> u64 {
    15_000
}

/// Default: the value that both of the users' sites specify.
fn usual_memory_release_ms() -> u64 {
    4_000
}

/// Lifetime of a reservation, as a share of the release time. If a VM crashes, its reservations lapse
/// within the release time.
const RESERVATION_SHARE: f64 = 0.85;

/// Renewal interval of a reservation, as a share of the release time: two renewals fall into the
/// lifetime.
const RENEWAL_SHARE: f64 = 0.35;

/// Time for which an upstream may send nothing while other upstreams have memory reserved for its
/// request, as a share of the release time. The upstream may have crashed when it fell silent, and the
/// memory must be released within the remaining share.
const RESERVED_SILENCE_SHARE: f64 = 0.6;

impl Fleet {
    /// Processor share of this VM, thousandths of a core.
    pub fn millicores(&self) -> u32 {
        (self.processor * 1e3) as u32
    }

    /// Memory of this VM, bytes.
    pub fn memory(&self) -> usize {
        self.memory_mb * 1_000_000
    }

    /// Time after which a caller that reads nothing of its response is disconnected.
    pub fn write_timeout(&self) -> Duration {
        Duration::from_millis(self.write_timeout_ms)
    }

    /// Lifetime of a reservation of engine memory, counted from each renewal.
    pub fn reservation_time(&self) -> Duration {
        Duration::from_millis(self.memory_release_ms).mul_f64(RESERVATION_SHARE)
    }

    /// Interval between renewals of a reservation.
    pub fn renewal_interval(&self) -> Duration {
        Duration::from_millis(self.memory_release_ms).mul_f64(RENEWAL_SHARE)
    }

    /// Time for which an upstream may send nothing while other upstreams have memory reserved for its
    /// request.
    pub fn reserved_silence_timeout(&self) -> Duration {
        Duration::from_millis(self.memory_release_ms).mul_f64(RESERVED_SILENCE_SHARE)
    }

    /// Parameters of the retry budget.
    pub fn budget(&self) -> Parameters {
        Parameters {
            ratio: self.repeat_ratio,
            slack: self.repeat_slack,
            window: Duration::from_millis(self.repeat_window_ms),
        }
    }

    /// Maximum age of the settings while requests with an API key are served, if there is one.
    pub fn max_settings_age(&self) -> Option<Duration> {
        self.settings_age_ms.map(Duration::from_millis)
    }

    /// Time between the signal to stop and the kill.
    pub fn stop_timeout(&self) -> Duration {
        Duration::from_millis(self.stop_ms)
    }
}

/// The complete configuration of a VM in a fleet.
#[derive(Debug, Clone, Serialize)]
pub struct Config {
    /// Name of this VM.
    pub vm: id::Vm,
    /// Data hall of this VM.
    pub hall: id::Hall,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Minimum level of logged events.
    pub log_level: String,
    /// The configuration file, read again on SIGHUP.
    pub file: Option<std::path::PathBuf>,
    /// The `fleet` section.
    pub fleet: Fleet,
}
