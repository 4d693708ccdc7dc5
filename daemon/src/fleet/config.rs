//! What one VM of a fleet is.

use std::net::SocketAddr;
use std::time::Duration;

use foldlock_base::id;
use foldlock_request::budget::Figures;
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
    /// How old the settings may be while requests with a key are served, milliseconds: the
    /// operator's bound on the use of a key that was taken away. Absent: any age.
    #[serde(default)]
    pub settings_age_ms: Option<u64>,
    /// The time between the signal to stop and the kill, milliseconds.
    pub stop_ms: u64,
    /// Repeated attempts that the fleet may send for each request to a service.
    pub repeat_ratio: f64,
    /// Repeated attempts that the fleet may send to a service beside, in each window.
    pub repeat_slack: f64,
    /// The window over which these are counted, milliseconds.
    pub repeat_window_ms: u64,
}

impl Fleet {
    /// The budget of repeated attempts.
    pub fn budget(&self) -> Figures {
        Figures {
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
