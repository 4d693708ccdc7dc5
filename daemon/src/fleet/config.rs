//! What one VM of a fleet is.

use std::net::SocketAddr;
use std::time::Duration;

use foldlock_base::id;
use foldlock_request::budget::Parameters;
use serde::{Deserialize, Serialize};

/// The `fleet` section of the configuration file.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Where the platform asks whether this VM is ready.
    pub ready: SocketAddr,
    /// Where peers and operators reach this VM, by UDP and TCP.
    pub peers: SocketAddr,
    /// Where metrics are read, if not only at `peers`.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The directory, `IP:port`.
    pub directory: String,
    /// The share of a processor that this VM has, cores: those with the most place for all.
    #[serde(default)]
    pub processor: f64,
    /// The memory that this VM has, MB.
    #[serde(default = "usual_memory_mb")]
    pub memory_mb: usize,
    /// How long a caller may take nothing of its answer until its connection is closed, milliseconds.
    #[serde(default = "usual_write_timeout_ms")]
    pub write_timeout_ms: u64,
    /// How old the settings may be while requests with a key are served, milliseconds: the
    /// operator's bound on the use of a key that was taken away. Absent: any age.
    #[serde(default)]
    pub settings_age_ms: Option<u64>,
    /// How long memory may stay set aside after the request that used it has ended, milliseconds.
    #[serde(default = "usual_memory_release_ms")]
    pub memory_release_ms: u64,
    /// The time between the signal to stop and the kill, milliseconds.
    pub stop_ms: u64,
    /// Repeated attempts that the fleet may send for each request to a service.
    pub repeat_ratio: f64,
    /// Repeated attempts that the fleet may send to a service beside, in each window.
    pub repeat_slack: f64,
    /// The window over which these are counted, milliseconds.
    pub repeat_window_ms: u64,
}

/// Where the configuration does not say: a small VM.
fn usual_memory_mb() -> usize {
    128
}

/// Where the configuration does not say: as long as callers wait for an answer.
fn usual_write_timeout_ms() -> u64 {
    15_000
}

/// Where the configuration does not say: what both of the users' sites state.
fn usual_memory_release_ms() -> u64 {
    4_000
}

/// The part of the time for memory to be given back for which it is set aside at a time: a VM that
/// dies leaves it behind no longer.
const HOLD: f64 = 0.85;

/// The part of it after which it is renewed: twice before it would lapse.
const RENEW: f64 = 0.35;

/// The part of it for which an upstream may be silent while others hold memory for it: it may have
/// died when the silence began, and the memory has to be given back within the rest.
const HELD_SILENCE: f64 = 0.6;

impl Fleet {
    /// The share of a processor, thousandths of a core.
    pub fn millicores(&self) -> u32 {
        (self.processor * 1e3) as u32
    }

    /// The memory of this VM, bytes.
    pub fn memory(&self) -> usize {
        self.memory_mb * 1_000_000
    }

    /// How long a caller may take nothing of its answer.
    pub fn write_timeout(&self) -> Duration {
        Duration::from_millis(self.write_timeout_ms)
    }

    /// For how long memory is set aside at a time.
    pub fn hold(&self) -> Duration {
        Duration::from_millis(self.memory_release_ms).mul_f64(HOLD)
    }

    /// How often memory that is set aside is renewed.
    pub fn renewal(&self) -> Duration {
        Duration::from_millis(self.memory_release_ms).mul_f64(RENEW)
    }

    /// How long an upstream may be silent for which others hold memory.
    pub fn held_silence(&self) -> Duration {
        Duration::from_millis(self.memory_release_ms).mul_f64(HELD_SILENCE)
    }

    /// The budget of repeated attempts.
    pub fn budget(&self) -> Parameters {
        Parameters {
            ratio: self.repeat_ratio,
            slack: self.repeat_slack,
            window: Duration::from_millis(self.repeat_window_ms),
        }
    }

    /// The greatest age of the settings.
    pub fn settings_age(&self) -> Option<Duration> {
        self.settings_age_ms.map(Duration::from_millis)
    }

    /// The time to stop in.
    pub fn stop(&self) -> Duration {
        Duration::from_millis(self.stop_ms)
    }
}

/// The configuration of a VM of a fleet.
#[derive(Debug, Clone, Serialize)]
pub struct Config {
    /// The name of this VM.
    pub vm: id::Vm,
    /// Its data hall.
    pub hall: id::Hall,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// The lowest level that is logged.
    pub log_level: String,
    /// The file that this was read from, read again on SIGHUP.
    pub file: Option<std::path::PathBuf>,
    /// The rest.
    pub fleet: Fleet,
}
