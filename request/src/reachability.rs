//! Which upstreams this VM reaches itself, from the outcomes of its own connections.
//!
//! A failed connection alone does not tell a partition of this VM from a failed upstream. It is a partition if a peer
//! reaches the same upstream at the same time: then the connection goes through the peer, and the failure says nothing about
//! the upstream. Upstreams of one service in one data hall usually share a path, so evidence is kept for each such
//! group.

use std::time::{Duration, Instant};

/// How long a direct connection may take before a peer is asked as well. Connections are established within a few
/// milliseconds.
pub const TUNNEL_DELAY: Duration = Duration::from_millis(100);

/// Failed connections in a row that peers could open, from which a group counts as partitioned.
const MIN_FAILURES: u32 = 2;

/// Connections in a row that failed here and at all peers, without a witness, from which a service counts as lost.
const MIN_LOST: u32 = 3;

/// Age of a connection up to which its outcome says something about the paths of this VM now.
const EVIDENCE_MAX_AGE: Duration = Duration::from_secs(1);

/// Upstreams of one service in one data hall.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// The service.
    pub service: String,
    /// The data hall.
    pub hall: String,
}

/// A partition between this VM and a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Partition {
    /// The group.
    pub group: Group,
    /// When the first of its connections failed.
    pub since: Instant,
    /// When the last one failed.
    pub last_failure: Instant,
}

/// A change to be logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A service has been lost: neither this VM nor a peer that was asked reaches any of its upstreams.
    Lost,
    /// A lost service is reached again, directly or through a peer.
    Found,
    /// A partition was detected.
    Began(Partition),
    /// A direct connection succeeded again.
    Ended(Partition),
}

#[derive(Debug, Clone)]
struct Path {
    group: Group,
    /// When a direct connection to an upstream of the group was last established.
    last_connected: Option<Instant>,
    /// When an upstream of the group last responded on a direct connection.
    last_response: Option<Instant>,
    /// Failed connections since the last one that peers disproved, with the time of the first and the last.
    disproved: u32,
    first: Instant,
    last: Instant,
}

impl Path {
    fn is_partitioned(&self) -> bool {
        self.disproved >= MIN_FAILURES
    }

    fn partition(&self) -> Partition {
        Partition { group: self.group.clone(), since: self.first, last_failure: self.last }
    }
}

/// The reachability of all groups.
#[derive(Debug, Default)]
pub struct Reachability {
    paths: Vec<Path>,
    /// Services, each with the connections to its upstreams in a row that failed without a witness.
    lost: Vec<(String, u32)>,
}

impl Reachability {
    /// Records that an upstream could not be reached, and that no peer could tell why. Returns whether its service is lost with
    /// that.
    pub fn on_unknown(&mut self, service: &str) -> Option<Change> {
        let index = self.lost.iter().position(|(lost, _)| lost == service).unwrap_or_else(|| {
            self.lost.push((service.to_owned(), 0));
            self.lost.len() - 1
        });
        let failures = &mut self.lost[index].1;
        *failures += 1;
        (*failures == MIN_LOST).then_some(Change::Lost)
    }

    /// Records that an upstream of a service was reached by any path. Returns whether the service was lost before.
    pub fn on_found(&mut self, service: &str) -> Option<Change> {
        let entry = self.lost.iter_mut().find(|(lost, _)| lost == service)?;
        let failures = std::mem::take(&mut entry.1);
        (failures >= MIN_LOST).then_some(Change::Found)
    }

    /// Whether a service is lost.
    pub fn is_lost(&self, service: &str) -> bool {
        self.lost.iter().any(|(lost, failures)| lost == service && *failures >= MIN_LOST)
    }

    /// The lost services.
    pub fn lost(&self) -> impl Iterator<Item = &str> {
        let lost = self.lost.iter().filter(|(_, failures)| *failures >= MIN_LOST);
        lost.map(|(service, _)| service.as_str())
    }

    /// Records that an upstream of a group responded on a direct connection. Open connections may work while new ones fail, so
    /// this does not end a partition.
    pub fn on_response(&mut self, service: &str, hall: &str, now: Instant) {
        self.path(service, hall, now).last_response = Some(now);
    }

    /// Records that a direct connection to an upstream of a group was established.
    pub fn on_connected(&mut self, service: &str, hall: &str, now: Instant) -> Option<Change> {
        let path = self.path(service, hall, now);
        let ended = path.is_partitioned().then(|| Change::Ended(path.partition()));
        path.last_connected = Some(now);
        path.disproved = 0;
        ended
    }

    /// Records that an upstream could not be reached directly, while a peer reached it.
    pub fn on_disproved(&mut self, service: &str, hall: &str, now: Instant) -> Option<Change> {
        let path = self.path(service, hall, now);
        if path.disproved == 0 {
            path.first = now;
        }
        path.last = now;
        path.disproved += 1;
        (path.disproved == MIN_FAILURES).then(|| Change::Began(path.partition()))
    }

    /// How long to wait for a direct connection before a peer is asked: not at all if the group is partitioned, or another
    /// group has been since the last connection to this one.
    pub fn tunnel_delay(&self, service: &str, hall: &str) -> Duration {
        if self.is_suspected(service, hall) { Duration::ZERO } else { TUNNEL_DELAY }
    }

    /// Whether direct connections to a group are likely to fail.
    pub fn is_suspected(&self, service: &str, hall: &str) -> bool {
        self.suspects(service, hall).next().is_some()
    }

    /// The same by failures of the last second. Without requests of its own, this VM does not find out that a partition has
    /// ended.
    pub fn has_just_failed(&self, service: &str, hall: &str, now: Instant) -> bool {
        let is_recent = |path: &Path| now.saturating_duration_since(path.last) < EVIDENCE_MAX_AGE;
        self.suspects(service, hall).any(is_recent)
    }

    /// The partitioned paths by which a group is suspected: its own, and others that failed after the last connection to it.
    fn suspects(&self, service: &str, hall: &str) -> impl Iterator<Item = &Path> {
        let last_connected = self.find(service, hall).and_then(|path| path.last_connected);
        let (service, hall) = (service.to_owned(), hall.to_owned());
        self.paths.iter().filter(|path| path.is_partitioned()).filter(move |path| {
            path.group.service == service && path.group.hall == hall
                || last_connected.is_none_or(|at| at < path.first)
        })
    }

    /// Whether an upstream of a group has been reached directly since `at`, by a new connection or an open one.
    pub fn is_reached_since(&self, service: &str, hall: &str, at: Instant) -> bool {
        let last = self.find(service, hall).and_then(|p| p.last_connected.max(p.last_response));
        last.is_some_and(|last| last >= at)
    }

    /// Whether this VM has connected to an upstream of a service so recently that its failure to connect to another one says
    /// something about that upstream.
    pub fn reaches_service(&self, service: &str, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < EVIDENCE_MAX_AGE;
        self.paths
            .iter()
            .filter(|path| path.group.service == service)
            .any(|path| path.last_connected.is_some_and(is_recent))
    }

    /// The current partitions.
    pub fn partitions(&self) -> impl Iterator<Item = Partition> {
        self.paths.iter().filter(|path| path.is_partitioned()).map(Path::partition)
    }

    fn find(&self, service: &str, hall: &str) -> Option<&Path> {
        self.paths.iter().find(|path| path.group.service == service && path.group.hall == hall)
    }

    fn path(&mut self, service: &str, hall: &str, now: Instant) -> &mut Path {
        let is_group = |path: &Path| path.group.service == service && path.group.hall == hall;
        let index = self.paths.iter().position(is_group).unwrap_or_else(|| {
            let group = Group { service: service.to_owned(), hall: hall.to_owned() };
            let path = Path {
                group,
                last_connected: None,
                last_response: None,
                disproved: 0,
                first: now,
                last: now,
            };
            self.paths.push(path);
            self.paths.len() - 1
        });
        &mut self.paths[index]
    }
}

/// What direct connections and those of peers say about an upstream that could not be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It refuses connections: its process has ended.
    Refused,
    /// It does not respond.
    Unreachable,
    /// No peer that reaches other upstreams could tell: the path of this VM may have failed.
    Unknown,
}

/// A peer's answer on an upstream that this VM could not reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Testimony {
    /// The upstream refused its connection.
    Refused,
    /// The upstream did not respond to it.
    Unreachable,
    /// It could not tell.
    Unknown,
}

/// Peers that have to confirm a failure, if as many were asked.
const MIN_WITNESSES: usize = 2;

/// Judges an upstream that this VM could not reach: whether it `refused` the direct connection, and the testimonies of the
/// peers that were asked. With witnesses, theirs decide: the path of this VM may have failed as well as the upstream. A VM
/// without peers has its own connection alone.
pub fn judge(refused: bool, testimonies: &[Testimony]) -> Verdict {
    let witnesses =
        testimonies.iter().filter(|testimony| **testimony != Testimony::Unknown).count();
    if witnesses < testimonies.len().min(MIN_WITNESSES) {
        return Verdict::Unknown;
    }
    let is_refused = match testimonies {
        [] => refused,
        _ => testimonies.contains(&Testimony::Refused),
    };
    if is_refused { Verdict::Refused } else { Verdict::Unreachable }
}

/// Traffic between data halls on the way from this VM over a peer to an upstream: peers with less are preferred.
pub fn hall_crossings(own: &str, peer: &str, upstream: &str) -> u32 {
    u32::from(own != peer) + u32::from(peer != upstream)
}
