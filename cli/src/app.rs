//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use foldlock_base::id;
use foldlock_request::fingerprint::Fingerprint;

/// Operates foldlock: manages the settings and inspects the VMs.
#[derive(Debug, Parser)]
#[command(
    name = "foldlock",
    version,
    after_help = "Examples:\n  foldlock check settings/\n  foldlock apply settings/ --kv \
                  10.0.9.1:2379\n  foldlock show settings/ acme/audit --origin\n  foldlock why \
                  vm-1-18f0-2a --vm 10.0.0.1:8081 --vm 10.0.0.2:8081\n\nExit codes: 0 success, 1 \
                  failure, 2 invalid command line, 3 invalid settings, 4 conflict with another \
                  change, 5 not found."
)]
pub struct App {
    /// When to use colours.
    #[arg(long, global = true, value_enum, default_value_t = Color::Auto)]
    pub color: Color,
    /// Print JSON, for scripts.
    #[arg(long, global = true)]
    pub json: bool,
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// When to use colours.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Color {
    /// On a terminal, unless NO_COLOR is set.
    Auto,
    /// Always.
    Always,
    /// Never.
    Never,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a directory of settings and report errors.
    Check(Tree),
    /// Download the accepted settings to a directory, for editing.
    Fetch(Fetch),
    /// Check a directory of settings and publish it as the accepted version.
    ///
    /// The directory's `.base.json`, which `fetch` and `apply` write, names the version that the
    /// directory is based on. Branches that others changed since then are kept; if they changed the
    /// same branches, nothing is applied.
    Apply(Apply),
    /// Show the effective settings of a branch: ORGANISATION or ORGANISATION/KIND.
    Show(Show),
    /// Show the decisions that placed a request.
    Why(Why),
    /// Follow the decisions of VMs as they are made.
    Watch(Watch),
    /// Show the state of VMs: readiness, settings version, number of requests.
    Status(Status),
    /// Show the requests that are quarantined or isolated because upstreams crashed while running them.
    Held(Status),
    /// Release a request from quarantine or isolation, so that it may share upstreams again.
    Release(Release),
    /// Show the whole state of a VM.
    Dump(OneVm),
    /// Read a bearer key from standard input and print its hash, for use in the settings.
    HashKey,
    /// Print the JSON schema of a branch of the settings.
    Schema(SchemaOf),
    /// Print shell completions.
    Completions(Completions),
}

/// A directory of settings.
#[derive(Debug, Args)]
pub struct Tree {
    /// The directory, with `fleet.jsonc` and `organisation/NAME.jsonc`.
    pub dir: PathBuf,
}

/// Arguments of `fetch`.
#[derive(Debug, Args)]
pub struct Fetch {
    /// The directory, which must be empty or fetched without later edits.
    pub dir: PathBuf,
    /// Address of the key-value service, IP:port.
    #[arg(long, env = "FOLDLOCK_KV")]
    pub kv: SocketAddr,
}

/// Arguments of `apply`.
#[derive(Debug, Args)]
pub struct Apply {
    /// The directory of settings.
    pub dir: PathBuf,
    /// Address of the key-value service, IP:port.
    #[arg(long, env = "FOLDLOCK_KV")]
    pub kv: SocketAddr,
    /// Author of the change.
    #[arg(long, env = "USER", default_value = "unknown")]
    pub author: String,
    /// Wait until the change is in force on these VMs: control addresses, IP:port.
    #[arg(long = "vm", env = "FOLDLOCK_VMS", value_delimiter = ',')]
    pub vms: Vec<SocketAddr>,
}

/// Arguments of `show`.
#[derive(Debug, Args)]
pub struct Show {
    /// The directory of settings.
    pub dir: PathBuf,
    /// ORGANISATION or ORGANISATION/KIND.
    pub branch: String,
    /// Show where each value is set.
    #[arg(long)]
    pub origin: bool,
}

/// Control addresses of VMs.
#[derive(Debug, Args)]
pub struct Vms {
    /// Control address of a VM, IP:port; may be repeated.
    #[arg(long = "vm", env = "FOLDLOCK_VMS", value_delimiter = ',', required = true)]
    pub vms: Vec<SocketAddr>,
}

/// Arguments of `why`.
#[derive(Debug, Args)]
pub struct Why {
    /// The request's id, from the response header `x-request-id`.
    pub request: id::Request,
    #[command(flatten)]
    vms: Vms,
}

impl Why {
    /// The VMs to query.
    pub fn vms(&self) -> &[SocketAddr] {
        &self.vms.vms
    }
}

/// Arguments of `watch`.
#[derive(Debug, Args)]
pub struct Watch {
    #[command(flatten)]
    vms: Vms,
    /// Show only requests of this organisation.
    #[arg(long)]
    pub organisation: Option<id::Organisation>,
    /// Stop after this number of decisions.
    #[arg(long)]
    pub count: Option<u64>,
}

impl Watch {
    /// The VMs to watch.
    pub fn vms(&self) -> &[SocketAddr] {
        &self.vms.vms
    }
}

/// Arguments of `status` and `held`.
#[derive(Debug, Args)]
pub struct Status {
    #[command(flatten)]
    vms: Vms,
}

impl Status {
    /// The VMs to query.
    pub fn vms(&self) -> &[SocketAddr] {
        &self.vms.vms
    }
}

/// Arguments of `release`.
#[derive(Debug, Args)]
pub struct Release {
    /// The request's fingerprint, from `held` or the log.
    pub fingerprint: Fingerprint,
    #[command(flatten)]
    vms: Vms,
}

impl Release {
    /// The VMs to send the release to; the others receive it through the directory.
    pub fn vms(&self) -> &[SocketAddr] {
        &self.vms.vms
    }
}

/// Arguments of `dump`.
#[derive(Debug, Args)]
pub struct OneVm {
    /// Control address of the VM, IP:port.
    pub vm: SocketAddr,
}

/// Arguments of `schema`.
#[derive(Debug, Args)]
pub struct SchemaOf {
    /// The branch: `fleet`, or `organisation/NAME` with any name.
    #[arg(default_value = "fleet")]
    pub branch: String,
}

/// Arguments of `completions`.
#[derive(Debug, Args)]
pub struct Completions {
    /// The shell.
    pub shell: Shell,
}
