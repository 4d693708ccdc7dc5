//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Parser;
use foldlock_base::id;

/// Serving layer for language models: routes callers' requests to engines and plain services.
///
/// Each entry VM runs one process. Models, organisations and policies come from the settings in the
/// key-value service; addresses and names of the VM itself come from the configuration file, which
/// flags and environment variables override.
#[derive(Debug, Clone, Parser)]
#[command(
    name = "foldlockd",
    version,
    after_help = "Examples:\n  foldlockd --config /etc/foldlock/vm.jsonc\n  foldlockd --vm vm-1 \
                  --hall charguia --listen 10.0.0.1:8080 --control 10.0.0.1:8081 --kv \
                  10.0.9.1:2379 --vms 10.0.9.2:80\n\nExit codes: 0 stopped by a signal, 1 \
                  failed, 2 bad command line or configuration."
)]
pub struct App {
    /// Configuration file, JSON with comments; its names are those of the flags below.
    #[arg(long, env = "FOLDLOCK_CONFIG")]
    pub config: Option<PathBuf>,
    /// Name of this VM in the VM list.
    #[arg(long, env = "FOLDLOCK_VM")]
    pub vm: Option<id::Vm>,
    /// Data hall of this VM.
    #[arg(long, env = "FOLDLOCK_HALL")]
    pub hall: Option<id::Hall>,
    /// Listen address for callers, IP:port; port 0 takes any free port.
    #[arg(long, env = "FOLDLOCK_LISTEN")]
    pub listen: Option<SocketAddr>,
    /// Listen address for other VMs and operators, IP:port.
    #[arg(long, env = "FOLDLOCK_CONTROL")]
    pub control: Option<SocketAddr>,
    /// Address of the key-value service, IP:port.
    #[arg(long, env = "FOLDLOCK_KV")]
    pub kv: Option<SocketAddr>,
    /// Address of the VM list, IP:port.
    #[arg(long, env = "FOLDLOCK_VMS")]
    pub vms: Option<SocketAddr>,
    /// How long new requests are still served after the signal to stop, in milliseconds.
    #[arg(long)]
    pub drain_ms: Option<u64>,
    /// Number of worker threads; by default one per core.
    #[arg(long)]
    pub threads: Option<usize>,
    /// Lowest level that is logged: debug, info, warning or error.
    #[arg(long)]
    pub log_level: Option<String>,
    /// Check the configuration, print it and exit.
    #[arg(long)]
    pub check: bool,
}
