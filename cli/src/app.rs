//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use foldlock_base::id;
use foldlock_request::fingerprint::Fingerprint;

/// Drives foldlock: edits the tree of settings and reads what the VMs show.
#[derive(Debug, Parser)]
#[command(
    name = "foldlock",
    version,
    after_help = "Examples:\n  foldlock check settings/\n  foldlock apply settings/ --kv \
                  10.0.9.1:2379\n  foldlock show settings/ acme/audit --origin\n  foldlock why \
                  vm-1-18f0-2a --vm 10.0.0.1:8081 --vm 10.0.0.2:8081\n\nExit codes: 0 done, 1 \
                  failed, 2 bad command line, 3 the settings have faults, 4 another change came \
                  first, 5 not found."
)]
pub struct App {
    /// When to colour.
    #[arg(long, global = true, value_enum, default_value_t = Color::Auto)]
    pub color: Color,
    /// Write JSON, for scripts.
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// When to colour.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Color {
    /// On a terminal, unless NO_COLOR is set.
    Auto,
    /// Always.
    Always,
    /// Never.
    Never,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a directory of settings, and say what is wrong with them.
    Check(Tree),
    /// Write the accepted settings to a directory, to be edited and applied.
    Fetch(Fetch),
    /// Check a directory of settings and make it the accepted version.
    ///
    /// The directory's `.base.json`, which `fetch` and `apply` write, says which version it was
    /// made from. Branches that others changed since are kept; where they changed the same ones,
    /// nothing is applied.
    Apply(Apply),
    /// Show the effective settings of a branch: ORGANISATION or ORGANISATION/KIND.
    Show(Show),
    /// Show why a request ran where and when it did.
    Why(Why),
    /// Watch decisions live.
    Watch(Watch),
    /// Show the state of VMs: ready, version, requests.
    Status(Status),
    /// Show the requests that are kept from all upstreams, or run alone, for what ended under them.
    Held(Status),
    /// Let such a request go: it may run beside others again.
    Release(Release),
    /// Show all that a VM knows.
    Dump(OneVm),
    /// Print the hash of a bearer key that is read from standard input, for the settings.
    HashKey,
    /// Print the JSON schema of a branch's file.
    Schema(SchemaOf),
    /// Print shell completions.
    Completions(Completions),
}

/// A directory of settings.
#[derive(Debug, Args)]
pub struct Tree {
    /// The directory: `fleet.jsonc` and `organisation/NAME.jsonc`.
    pub dir: PathBuf,
}

/// Where to fetch to.
#[derive(Debug, Args)]
pub struct Fetch {
    /// The directory. It has to be empty, or fetched before.
    pub dir: PathBuf,
    /// The key-value service, IP:port.
    #[arg(long, env = "FOLDLOCK_KV")]
    pub kv: SocketAddr,
}

/// What to apply.
#[derive(Debug, Args)]
pub struct Apply {
    /// The directory.
    pub dir: PathBuf,
    /// The key-value service, IP:port.
    #[arg(long, env = "FOLDLOCK_KV")]
    pub kv: SocketAddr,
    /// Who makes the change.
    #[arg(long, env = "USER", default_value = "unknown")]
    pub author: String,
    /// Wait until each of these VMs has the change in force: control addresses, IP:port.
    #[arg(long = "vm", env = "FOLDLOCK_VMS", value_delimiter = ',')]
    pub vms: Vec<SocketAddr>,
}

/// Which effective settings to show.
#[derive(Debug, Args)]
pub struct Show {
    /// The directory.
    pub dir: PathBuf,
    /// ORGANISATION or ORGANISATION/KIND.
    pub branch: String,
    /// Say where each value comes from.
    #[arg(long)]
    pub origin: bool,
}

/// Control addresses of VMs.
#[derive(Debug, Args)]
pub struct Vms {
    /// A VM's control address, IP:port; may be given several times.
    #[arg(long = "vm", env = "FOLDLOCK_VMS", value_delimiter = ',', required = true)]
    pub vms: Vec<SocketAddr>,
}

/// Which request to explain.
#[derive(Debug, Args)]
pub struct Why {
    /// The request's id, from the answer's `x-request-id`.
    pub request: id::Request,
    #[command(flatten)]
    vms: Vms,
}

impl Why {
    /// The VMs to ask.
    pub fn vms(&self) -> &[SocketAddr] {
        &self.vms.vms
    }
}

/// What to watch.
#[derive(Debug, Args)]
pub struct Watch {
    #[command(flatten)]
    vms: Vms,
    /// Only this organisation's requests.
    #[arg(long)]
    pub organisation: Option<id::Organisation>,
    /// Stop after so many decisions.
    #[arg(long)]
    pub count: Option<u64>,
}

impl Watch {
    /// The VMs to watch.
    pub fn vms(&self) -> &[SocketAddr] {
        &self.vms.vms
    }
}

/// Whose state to show.
#[derive(Debug, Args)]
pub struct Status {
    #[command(flatten)]
    vms: Vms,
}

impl Status {
    /// The VMs to ask.
    pub fn vms(&self) -> &[SocketAddr] {
        &self.vms.vms
    }
}

/// Which request to let go.
#[derive(Debug, Args)]
pub struct Release {
    /// Its fingerprint, from `held` or from the log.
    pub fingerprint: Fingerprint,
    #[command(flatten)]
    vms: Vms,
}

impl Release {
    /// The VMs to tell; the directory tells the others.
    pub fn vms(&self) -> &[SocketAddr] {
        &self.vms.vms
    }
}

/// One VM.
#[derive(Debug, Args)]
pub struct OneVm {
    /// The VM's control address, IP:port.
    pub vm: SocketAddr,
}

/// Which schema to print.
#[derive(Debug, Args)]
pub struct SchemaOf {
    /// `fleet`, or `organisation/NAME` with any name.
    #[arg(default_value = "fleet")]
    pub branch: String,
}

/// Completions for a shell.
#[derive(Debug, Args)]
pub struct Completions {
    /// The shell.
    pub shell: Shell,
}
