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

use crate::board::Listed;

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
    pub at: u64,
    /// The upstreams.
    pub upstreams: Vec<Listed>,
    /// The VMs.
    pub members: Vec<Member>,
}

/// Something that the directory says.
#[derive(Debug)]
pub enum Change {
    /// A settings version.
    Settings(Box<Settings>),
    /// An upstream is listed.
    Upstream(Listed),
    /// An upstream's listing has ended.
    UpstreamGone(id::Upstream),
    /// A VM is listed.
    Member(Member),
    /// A VM has withdrawn.
    MemberGone(id::Vm),
    /// An item that cannot be decoded, and why.
    Unreadable(String),
}

/// What a read or a watch brought.
#[derive(Debug)]
pub struct Changes {
    /// The revision up to which this is known.
    pub at: u64,
    /// The changes, in order.
    pub changes: Vec<Change>,
}

/// Why the directory gave nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The changes since that revision are no longer known: read anew.
    Compacted,
    /// It did not answer, or answered that it cannot serve.
    Unavailable(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Compacted => write!(f, "the changes asked for are no longer known"),
            Fault::Unavailable(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for Fault {}

/// The directory, as foldlock uses it.
pub trait Directory: Clone + Send + Sync + 'static {
    /// All that is listed now.
    fn read(&self) -> impl Future<Output = Result<Changes, Fault>> + Send;

    /// The changes after a revision, as soon as there are some, or none after `wait`.
    fn watch(
        &self,
        since: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, Fault>> + Send;

    /// Lists this VM.
    fn announce(&self, member: &Member) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Withdraws this VM.
    fn withdraw(&self, vm: &id::Vm) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Decodes settings that a peer handed over.
    fn decode(&self, text: Bytes) -> Result<Settings, String>;
}
