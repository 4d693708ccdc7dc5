//! The directory: the store of the settings, the upstreams and the VMs. foldlock watches it through
//! an adapter that implements [`Directory`].

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
use crate::quarantine_entry;
use crate::revision::Revision;

/// A VM of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its id.
    pub vm: id::Vm,
    /// The data hall that it is in.
    pub hall: String,
    /// Its address: UDP for peers, TCP for operators.
    pub address: SocketAddr,
    /// The incarnation of its process; higher after each restart.
    pub incarnation: u64,
    /// Its CPU share in thousandths of a core; 0 if not known.
    #[serde(default)]
    pub millicores: u32,
}

/// The settings, with the text from which they were decoded.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The decoded table.
    pub table: Table,
    /// The text, for peers that request it.
    pub text: Bytes,
}

/// All listings of the directory, as one VM sends them to another.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Listing {
    /// The revision of the listings.
    #[serde(rename = "at")]
    pub revision: Revision,
    /// The upstreams.
    pub upstreams: Vec<Listed>,
    /// The VMs.
    pub members: Vec<Member>,
    /// The quarantined requests.
    #[serde(default, rename = "held")]
    pub quarantined: Vec<quarantine_entry::Entry>,
    /// The data halls that are drained or were undrained.
    #[serde(default)]
    pub halls: Halls,
    /// The upstreams among them whose entries are gone after an outage of the directory. They may
    /// still run and register again.
    #[serde(default)]
    pub unlisted: Vec<id::Upstream>,
}

/// A change in the directory.
#[derive(Debug)]
pub enum Change {
    /// A settings version was published.
    Settings(Box<Settings>),
    /// An upstream was listed.
    Upstream(Listed),
    /// An upstream was removed, at this revision.
    UpstreamRemoved(id::Upstream, Revision),
    /// The entry of an upstream cannot be decoded, with the revision at which it was written and
    /// the reason. Another writer wrote it. From then on it lists no upstream.
    UpstreamUnreadable(id::Upstream, Revision, String),
    /// A VM was listed.
    Member(Member),
    /// A VM has withdrawn.
    MemberWithdrawn(id::Vm),
    /// A data hall was drained or undrained.
    Hall(Hall),
    /// A request was quarantined.
    Quarantined(quarantine_entry::Entry),
    /// A request was released from quarantine.
    Released(Fingerprint),
    /// Settings that cannot be decoded, and the reason.
    SettingsUnreadable(String),
    /// An entry that cannot be decoded.
    Unreadable {
        /// The key of the entry.
        key: String,
        /// The revision at which it was written.
        revision: Revision,
        /// Why it cannot be decoded.
        why: String,
    },
}

/// The result of a read or a watch.
#[derive(Debug)]
pub struct Changes {
    /// The revision of the listings after the changes.
    pub revision: Revision,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// Why a call to the directory failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The changes since the requested revision are compacted; a full sync is needed.
    Compacted,
    /// The directory was restored from an older copy, and revisions read before belong to another
    /// history; a full sync is needed.
    Restored,
    /// It did not respond, or responded that it is unavailable.
    Unavailable(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Compacted => write!(f, "the requested changes are compacted"),
            Failure::Restored => write!(f, "the directory was restored from an older copy"),
            Failure::Unavailable(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for Failure {}

/// Maximum number of VMs withdrawn with one call.
pub const WITHDRAW_BATCH_SIZE: usize = 32;

/// The operations on the directory that foldlock uses.
pub trait Directory: Clone + Send + Sync + 'static {
    /// Reads all current listings.
    fn read(&self) -> impl Future<Output = Result<Changes, Failure>> + Send;

    /// Reads the current settings. The revision is that of the directory.
    fn settings(&self) -> impl Future<Output = Result<Changes, Failure>> + Send;

    /// Reads the VMs whose ids begin with `prefix`. Cheap for the directory; the result may be
    /// seconds old.
    fn members(&self, prefix: &str) -> impl Future<Output = Result<Changes, Failure>> + Send;

    /// Waits for changes after revision `since`, and returns them at once when there are some, or
    /// none after `wait`.
    fn watch(
        &self,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, Failure>> + Send;

    /// Lists this VM.
    fn register(&self, member: &Member) -> impl Future<Output = Result<(), Failure>> + Send;

    /// Withdraws VMs, with one call for each [`WITHDRAW_BATCH_SIZE`] of them.
    fn withdraw(&self, vms: &[id::Vm]) -> impl Future<Output = Result<(), Failure>> + Send;

    /// Lists a request as quarantined.
    fn quarantine(
        &self,
        entry: &quarantine_entry::Entry,
    ) -> impl Future<Output = Result<(), Failure>> + Send;

    /// Releases a request from quarantine.
    fn release(&self, fingerprint: Fingerprint)
    -> impl Future<Output = Result<(), Failure>> + Send;

    /// Decodes settings that were received from a peer.
    fn decode(&self, text: Bytes) -> Result<Settings, String>;
}
