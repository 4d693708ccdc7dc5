//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Parser;
use foldlock_base::id;

/// Serves language-model prompts: routes callers' requests to engines and plain services.
///
/// Each entry VM runs one. What it serves comes from the settings in the key-value service; what it
/// is itself comes from the configuration file, which flags and environment override.
#[derive(Debug, Clone, Parser)]
#[command(
    name = "foldlockd",
    version,
    after_help = "Examples:\n  foldlockd --config /etc/foldlock/vm.jsonc\n  foldlockd --vm vm-1 \
                  --hall charguia --listen 10.0.0.1:8080 --control 10.0.0.1:8081 --kv \
                  10.0.9.1:2379 --vms 10.0.9.2:80\n\nExit codes: 0 stopped as asked, 1 failed, 2 \
                  bad command line or configuration."
)]
pub struct App {
    /// A file of JSON with comments, whose names are those of the flags below.
    #[arg(long, env = "FOLDLOCK_CONFIG")]
    pub config: Option<PathBuf>,
    /// The name of this VM in the VM list.
    #[arg(long, env = "FOLDLOCK_VM")]
    pub vm: Option<id::Vm>,
    /// The data hall that this VM is in.
    #[arg(long, env = "FOLDLOCK_HALL")]
    pub hall: Option<id::Hall>,
    /// Where callers connect, IP:port; port 0 takes any free one.
    #[arg(long, env = "FOLDLOCK_LISTEN")]
    pub listen: Option<SocketAddr>,
    /// Where other VMs and operators connect, IP:port.
    #[arg(long, env = "FOLDLOCK_CONTROL")]
    pub control: Option<SocketAddr>,
    /// The key-value service, IP:port.
    #[arg(long, env = "FOLDLOCK_KV")]
    pub kv: Option<SocketAddr>,
    /// The list of VMs, IP:port.
    #[arg(long, env = "FOLDLOCK_VMS")]
    pub vms: Option<SocketAddr>,
    /// How long callers are still served after the signal to stop, milliseconds.
    #[arg(long)]
    pub drain_ms: Option<u64>,
    /// Threads that serve; by default one for each core.
    #[arg(long)]
    pub threads: Option<usize>,
    /// The lowest level that is logged: debug, info, warning or error.
    #[arg(long)]
    pub log_level: Option<String>,
    /// Check the configuration, print it and stop.
    #[arg(long)]
    pub check: bool,
}
