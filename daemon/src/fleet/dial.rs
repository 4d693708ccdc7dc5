//! Connects to upstreams: directly, and through a peer while this VM cannot reach them.
//!
//! A direct connection is always tried, so its first success ends the use of peers. A peer is asked as soon as it fails or
//! takes too long, or at once while the path of this VM is known to have failed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_connection::channel::{self, Channel};
use foldlock_connection::tunnel::Tunnel;
use foldlock_request::cluster::Listed;
use foldlock_request::dialect::Dialect;
use foldlock_request::reachability::{self, Change, Testimony, Verdict};
use futures::stream::{FuturesUnordered, StreamExt};
use rand::seq::IndexedRandom;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::fleet::process::Process;
use crate::fleet::tunnel_client::{self, Target};
use crate::log;

/// Timeout of a direct connection. It is established within a few milliseconds, and an unreachable upstream does not
/// respond at all.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The longest idle time with which a connection is used again while direct connections are likely to fail: open ones may
/// keep working.
const SUSPECTED_MAX_IDLE: Duration = Duration::from_millis(500);

/// Interval between connections that look for a lost service.
const FIND_INTERVAL: Duration = Duration::from_millis(200);

/// Connections to other upstreams by which this VM checks its own path before it testifies.
const CONTROL_CONNECTIONS: usize = 2;

/// Why there is no connection. Nothing was sent.
#[derive(Debug, Clone)]
pub struct Failure {
    /// What it says about the upstream.
    pub verdict: Verdict,
    /// The failure of the direct connection, and of the peers.
    pub why: String,
}

/// Opens a connection to an upstream at `address`, `IP:port`.
pub async fn connect<D: Dialect>(
    process: &Arc<Process<D>>,
    upstream: &id::Upstream,
    address: &str,
) -> Result<Channel, Failure> {
    let Some(target) = target(process, upstream) else {
        // It is no longer listed, so that no peer can be asked.
        let direct = channel::connect(address, CONNECT_TIMEOUT).await.map_err(unlisted)?;
        return Channel::new(direct).await.map_err(unconfirmed);
    };
    let mut direct =
        tokio::spawn(connect_directly(process.clone(), target.clone(), address.to_owned()));
    let delay = {
        let reachability = process.reachability.lock().unwrap();
        reachability.tunnel_delay(&target.service, &target.hall)
    };
    let failed = match tokio::time::timeout(delay, &mut direct).await {
        Ok(Ok(Ok(stream))) => return Channel::new(stream).await.map_err(unconfirmed),
        Ok(Ok(Err(failure))) => Some(failure),
        Ok(Err(_)) => Some(channel::Failure::Unsent("the connection task ended".to_owned())),
        Err(_) => None,
    };
    match failed {
        Some(failure) => {
            let tunnel = tunnel_client::open(process, &target).await;
            conclude(process, &target, failure, tunnel).await
        }
        None => race(process, target, direct).await,
    }
}

type Direct = JoinHandle<Result<TcpStream, channel::Failure>>;
type Tunnelled = Result<(Tunnel, id::Vm), Vec<Testimony>>;

/// Takes the direct connection or a tunnel, whichever is established first.
async fn race<D: Dialect>(
    process: &Arc<Process<D>>,
    target: Target,
    mut direct: Direct,
) -> Result<Channel, Failure> {
    let tunnel_target = target.clone();
    let tunnel = tunnel_client::open(process, &tunnel_target);
    tokio::pin!(tunnel);
    let ended = |direct: Result<_, tokio::task::JoinError>| {
        direct.unwrap_or_else(|e| Err(channel::Failure::Unsent(e.to_string())))
    };
    let tunnelled: Tunnelled = tokio::select! {
        biased;
        direct = &mut direct => match ended(direct) {
            Ok(stream) => return Channel::new(stream).await.map_err(unconfirmed),
            Err(failure) => {
                let tunnel = tunnel.await;
                return conclude(process, &target, failure, tunnel).await;
            }
        },
        tunnel = &mut tunnel => tunnel,
    };
    match tunnelled {
        Ok((tunnel, via)) => {
            record_found(process, &target.service);
            let process = process.clone();
            tokio::spawn(async move {
                if ended(direct.await).is_err() {
                    record_disproved(&process, &target);
                }
            });
            Channel::through(tunnel, via).await.map_err(unconfirmed)
        }
        Err(testimonies) => match ended(direct.await) {
            Ok(stream) => Channel::new(stream).await.map_err(unconfirmed),
            Err(failure) => conclude(process, &target, failure, Err(testimonies)).await,
        },
    }
}

/// The result after the direct connection has failed.
async fn conclude<D: Dialect>(
    process: &Arc<Process<D>>,
    target: &Target,
    failure: channel::Failure,
    tunnelled: Tunnelled,
) -> Result<Channel, Failure> {
    let is_refused = matches!(failure, channel::Failure::Refused(_));
    let why = reason(failure);
    match tunnelled {
        Ok((tunnel, via)) => {
            record_found(process, &target.service);
            record_disproved(process, target);
            Channel::through(tunnel, via).await.map_err(unconfirmed)
        }
        Err(testimonies) => {
            let verdict = reachability::judge(is_refused, &testimonies);
            if verdict == Verdict::Unknown {
                record_unknown(process, target);
            }
            let why = match testimonies.len() {
                0 => why,
                asked => format!("{why}; not reached through {asked} peers"),
            };
            Err(Failure { verdict, why })
        }
    }
}

/// Connects directly, and records a success for the path of this VM.
async fn connect_directly<D: Dialect>(
    process: Arc<Process<D>>,
    target: Target,
    address: String,
) -> Result<TcpStream, channel::Failure> {
    process.metrics.connections.inc();
    let stream = channel::connect(&address, CONNECT_TIMEOUT).await?;
    record_connected(&process, &target);
    Ok(stream)
}

/// Connects directly for a peer. Fails with the testimony of this VM.
pub async fn connect_for_peer<D: Dialect>(
    process: &Arc<Process<D>>,
    upstream: &id::Upstream,
) -> Result<TcpStream, Testimony> {
    let Some((target, address)) = listed(process, upstream) else { return Err(Testimony::Unknown) };
    let has_just_failed = {
        let reachability = process.reachability.lock().unwrap();
        reachability.has_just_failed(&target.service, &target.hall, process.now())
    };
    if has_just_failed {
        // The peer should not have to wait for one more failure.
        return Err(Testimony::Unknown);
    }
    let service = target.service.clone();
    match connect_directly(process.clone(), target, address).await {
        Ok(stream) => Ok(stream),
        Err(_) if !reaches_others(process, &service, upstream).await => Err(Testimony::Unknown),
        Err(channel::Failure::Refused(_)) => Err(Testimony::Refused),
        Err(channel::Failure::Unsent(_) | channel::Failure::Broken(_)) => {
            Err(Testimony::Unreachable)
        }
    }
}

/// Whether this VM can connect to other upstreams of a service: it has connected to one just now, or does so here.
async fn reaches_others<D: Dialect>(
    process: &Arc<Process<D>>,
    service: &str,
    except: &id::Upstream,
) -> bool {
    let now = process.now();
    if process.reachability.lock().unwrap().reaches_service(service, now) {
        return true;
    }
    let others = upstreams_of(process, service, Some(except));
    let chosen = others.choose_multiple(&mut rand::rng(), CONTROL_CONNECTIONS);
    let mut connecting: FuturesUnordered<_> = chosen
        .filter_map(|other| listed(process, other))
        .map(|(target, address)| connect_directly(process.clone(), target, address))
        .collect();
    while let Some(connected) = connecting.next().await {
        if connected.is_ok() {
            return true;
        }
    }
    false
}

/// The longest idle time with which a connection to an upstream may be used again: shorter if the path of this VM to it may
/// have failed.
pub fn max_idle<D: Dialect>(process: &Process<D>, upstream: &id::Upstream) -> Duration {
    let Some(target) = target(process, upstream) else { return Duration::MAX };
    let reachability = process.reachability.lock().unwrap();
    let is_suspected = reachability.is_suspected(&target.service, &target.hall);
    if is_suspected { SUSPECTED_MAX_IDLE } else { Duration::MAX }
}

/// Records that an upstream responded on a direct connection.
pub fn record_response<D: Dialect>(process: &Process<D>, upstream: &id::Upstream) {
    let Some(target) = target(process, upstream) else { return };
    let now = process.now();
    process.reachability.lock().unwrap().on_response(&target.service, &target.hall, now);
    record_found(process, &target.service);
}

fn record_connected<D: Dialect>(process: &Process<D>, target: &Target) {
    let now = process.now();
    let change = {
        let mut reachability = process.reachability.lock().unwrap();
        reachability.on_connected(&target.service, &target.hall, now)
    };
    log_change(process, &target.service, change);
    record_found(process, &target.service);
}

fn record_disproved<D: Dialect>(process: &Process<D>, target: &Target) {
    let now = process.now();
    let change = {
        let mut reachability = process.reachability.lock().unwrap();
        reachability.on_disproved(&target.service, &target.hall, now)
    };
    log_change(process, &target.service, change);
}

/// Records that neither this VM nor a peer could tell about an upstream. If its service is lost with that, looks for it until
/// it is reached again, so that no request has to.
fn record_unknown<D: Dialect>(process: &Arc<Process<D>>, target: &Target) {
    let change = process.reachability.lock().unwrap().on_unknown(&target.service);
    if change.is_some() {
        tokio::spawn(find_service(process.clone(), target.service.clone()));
    }
    log_change(process, &target.service, change);
}

async fn find_service<D: Dialect>(process: Arc<Process<D>>, service: String) {
    loop {
        tokio::time::sleep(FIND_INTERVAL).await;
        let is_lost = process.reachability.lock().unwrap().is_lost(&service);
        if !is_lost || process.stopping.is_cancelled() {
            return;
        }
        let upstreams = upstreams_of(&process, &service, None);
        let chosen = upstreams.choose(&mut rand::rng()).cloned();
        if let Some((target, address)) = chosen.and_then(|upstream| listed(&process, &upstream)) {
            // A success is recorded with the connection, which is not needed any more.
            let _ = connect(&process, &target.upstream, &address).await;
        }
    }
}

/// The listed upstreams of a service, without one of them.
fn upstreams_of<D: Dialect>(
    process: &Process<D>,
    service: &str,
    except: Option<&id::Upstream>,
) -> Vec<id::Upstream> {
    let cluster = process.cluster.lock().unwrap();
    let is_chosen =
        |listed: &&Listed| listed.service == service && except.is_none_or(|id| *id != listed.id);
    cluster.listings().filter(is_chosen).map(|listed| listed.id.clone()).collect()
}

/// Whether requests to a service cannot be served now, by any path.
pub fn is_lost<D: Dialect>(process: &Process<D>, service: &str) -> bool {
    process.reachability.lock().unwrap().is_lost(service)
}

fn record_found<D: Dialect>(process: &Process<D>, service: &str) {
    let change = process.reachability.lock().unwrap().on_found(service);
    log_change(process, service, change);
}

fn log_change<D: Dialect>(process: &Process<D>, service: &str, change: Option<Change>) {
    let Some(change) = change else { return };
    if process.problem_lines.admit(process.now()).is_none() {
        return;
    }
    let (event, partition) = match change {
        Change::Began(partition) => (Event::Partitioned, partition),
        Change::Ended(partition) => (Event::PartitionEnded, partition),
        Change::Lost => return log::event(&process.log, Event::ServiceLost, service),
        Change::Found => return log::event(&process.log, Event::ServiceFound, service),
    };
    let lasted = process.now().saturating_duration_since(partition.since);
    let what = format!(
        "upstreams of {service} in {}, {} ms after the first failed connection",
        partition.group.hall,
        lasted.as_millis()
    );
    log::event(&process.log, event, what);
}

/// Whether an upstream's silence since `at` is its own: its group has been reached since, or it can be connected to
/// directly, or peers cannot connect to it either.
pub async fn is_own_silence<D: Dialect>(
    process: &Arc<Process<D>>,
    upstream: &id::Upstream,
    at: Instant,
) -> bool {
    let Some((target, address)) = listed(process, upstream) else { return true };
    let is_reached = {
        let reachability = process.reachability.lock().unwrap();
        reachability.is_reached_since(&target.service, &target.hall, at)
    };
    if is_reached {
        return true;
    }
    match connect(process, upstream, &address).await {
        Ok(channel) => channel.via().is_none(),
        Err(failure) => failure.verdict != Verdict::Unknown,
    }
}

/// An upstream with its address; none if it is no longer listed.
fn listed<D: Dialect>(process: &Process<D>, upstream: &id::Upstream) -> Option<(Target, String)> {
    let cluster = process.cluster.lock().unwrap();
    let listed = &cluster.get(upstream)?.listed;
    let target = Target {
        upstream: upstream.clone(),
        service: listed.service.clone(),
        hall: listed.hall.clone(),
    };
    Some((target, listed.address.clone()))
}

fn target<D: Dialect>(process: &Process<D>, upstream: &id::Upstream) -> Option<Target> {
    listed(process, upstream).map(|(target, _)| target)
}

fn unlisted(failure: channel::Failure) -> Failure {
    let is_refused = matches!(failure, channel::Failure::Refused(_));
    let verdict = if is_refused { Verdict::Refused } else { Verdict::Unreachable };
    Failure { verdict, why: reason(failure) }
}

fn unconfirmed(failure: channel::Failure) -> Failure {
    Failure { verdict: Verdict::Unreachable, why: reason(failure) }
}

/// Describes the failure of a connection.
pub fn reason(failure: channel::Failure) -> String {
    match failure {
        channel::Failure::Refused(why)
        | channel::Failure::Unsent(why)
        | channel::Failure::Broken(why) => why,
    }
}
