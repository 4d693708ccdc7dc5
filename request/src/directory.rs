//! The directory: where the settings, the list of upstreams and the list of VMs are kept, whatever
//! store that is. An adapter implements [`Directory`]; foldlock follows it.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use foldlock_base::prelude::*;
use foldlock_version::routes::Table;
use serde::{Deserialize, Serialize};

use crate::cluster::{Hall, Halls, Listed};
use crate::fingerprint::Fingerprint;
pub use crate::quarantine_entry::QuarantineEntry;
use crate::revision::Revision;

/// A VM that takes part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub vm: id::Vm,
    /// The data hall that it is in.
    pub hall: String,
    /// Where it hears its peers, by UDP, and operators, by TCP.
    pub address: SocketAddr,
    /// The start of its process; a later start has a higher number.
    pub incarnation: u64,
    /// Its share of a processor, thousandths of a core; 0 where it is not known.
    #[serde(default)]
    pub millicores: u32,
}

/// The settings, with the text that they were decoded from.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The decoded table.
    pub table: Table,
    /// The text, to be handed to peers.
    pub text: Bytes,
}

/// What a VM knows of the directory, as it hands it to a peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Listing {
    /// The revision up to which this is known.
    pub at: Revision,
    /// The upstreams.
    pub upstreams: Vec<Listed>,
    /// The VMs.
    pub members: Vec<Member>,
    /// The requests that are held.
    #[serde(default)]
    pub held: Vec<QuarantineEntry>,
    /// The data halls that are drained or were taken back.
    #[serde(default)]
    pub halls: Halls,
}

/// Something that the directory says.
#[derive(Debug)]
pub enum Change {
    /// A settings version.
    Settings(Box<Settings>),
    /// An upstream is listed.
    Upstream(Listed),
    /// An upstream's listing has ended, at this revision.
    UpstreamGone(id::Upstream, Revision),
    /// The entry of an upstream cannot be used, as written at this revision, and why: it is another
    /// writer's. It names no upstream from then on.
    UpstreamUnreadable(id::Upstream, Revision, String),
    /// A VM is listed.
    Member(Member),
    /// A VM has withdrawn.
    MemberGone(id::Vm),
    /// A data hall is drained, or taken back.
    Hall(Hall),
    /// A request is held.
    Quarantined(QuarantineEntry),
    /// A request is let go.
    Released(Fingerprint),
    /// Settings that cannot be decoded, and why.
    SettingsUnreadable(String),
    /// An entry that cannot be decoded.
    Unreadable {
        /// Its key.
        key: String,
        /// The revision at which it was written.
        revision: Revision,
        /// Why.
        why: String,
    },
}

/// What a read or a watch brought.
#[derive(Debug)]
pub struct Changes {
    /// The revision up to which this is known.
    pub at: Revision,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// Why the directory gave nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The changes since that revision are no longer known: read anew.
    Compacted,
    /// It has come back from an older copy of itself: what was read before is another history's, read anew.
    Restored,
    /// It did not answer, or answered that it cannot serve.
    Unavailable(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Compacted => write!(f, "the changes asked for are no longer known"),
            Fault::Restored => write!(f, "it has come back from an older copy"),
            Fault::Unavailable(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for Fault {}

/// VMs that are withdrawn with one call.
pub const TOGETHER: usize = 32;

/// The directory, as foldlock uses it.
pub trait Directory: Clone + Send + Sync + 'static {
    /// All that is listed now.
    fn read(&self) -> impl Future<Output = Result<Changes, Fault>> + Send;

    /// The VMs that were listed a moment ago and whose names begin with `prefix`: cheap, and it may be seconds old.
    fn members(&self, prefix: &str) -> impl Future<Output = Result<Changes, Fault>> + Send;

    /// The changes after a revision, as soon as there are some, or none after `wait`.
    fn watch(
        &self,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, Fault>> + Send;

    /// Lists this VM.
    fn announce(&self, member: &Member) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Withdraws VMs, with one call for each [`TOGETHER`] of them.
    fn withdraw(&self, vms: &[id::Vm]) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Lists a request as held.
    fn hold(&self, entry: &QuarantineEntry) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Lets a request go.
    fn release(&self, fingerprint: Fingerprint) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Decodes settings that a peer handed over.
    fn decode(&self, text: Bytes) -> Result<Settings, String>;
}
