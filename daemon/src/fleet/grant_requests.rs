//! Requests a placement from the scheduler or, if it does not reply, from the next standby
//! scheduler. If none replies, the request is placed locally, from this VM's own cluster state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_request::budget::Charge;
use foldlock_request::cluster::Cluster;
use foldlock_request::dialect::Dialect;
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::flight::{Flight, Helper};
use foldlock_request::message::{self, GrantReply, GrantRequest, Message, Number};
use foldlock_request::placement::{Placement, Rejection, Requirements};
use foldlock_request::promise;
use foldlock_request::rate_limit::Entry;
use foldlock_request::scheduler::Reply;
use foldlock_request::tag::Tag;
use foldlock_version::routes::Service;
use tokio::sync::mpsc;

use crate::fleet::metrics::Step;
use crate::fleet::notices::{self, Exclusion};
use crate::fleet::peers::Scheduler;
use crate::fleet::process::Process;
use crate::fleet::{affiliation, announce, rate_limits, scheduler};
use crate::log;

/// Time after which an unanswered grant request is sent again: a round trip between data halls takes
/// 3 ms, the rest allows for a busy VM.
const REPLY_TIMEOUT: Duration = Duration::from_millis(25);

/// Unanswered grant requests after which the next scheduler is tried.
const MAX_UNANSWERED_REQUESTS: u32 = 2;

/// Interval at which a queued request is sent again, to detect a scheduler that has failed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(150);

/// Interval at which a VM with a queued request checks whether it uses another scheduler by now. In the time until then, both
/// place requests.
const SCHEDULER_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Time for which a VM that has just started waits for the reply of a VM that precedes the others in
/// the order: as long as for a grant reply of a scheduler that turns out to be down.
const FIRST_REPLY_TIMEOUT: Duration =
    REPLY_TIMEOUT.checked_mul(MAX_UNANSWERED_REQUESTS).expect("a short time");

/// Interval at which a VM that has just started checks for what its requests wait for.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Delay before a request that could not be placed locally is tried again.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// A granted placement, with the addresses of its upstreams.
#[derive(Debug)]
pub struct Grant {
    /// The placement.
    pub placement: Placement,
    /// Address of the upstream.
    pub address: String,
    /// Addresses of the flight's helpers, in their order.
    pub helpers: Vec<String>,
    /// Number that identifies the flight among those of this VM.
    pub number: u64,
    /// The VM that granted the placement; none if this VM placed the request locally.
    pub by: Option<id::Vm>,
}

/// Handles a reply of a peer.
pub fn on_reply<D: Dialect>(process: &Process<D>, received: GrantReply, from: SocketAddr) {
    let Number { incarnation, number } = received.request;
    if incarnation != process.member.incarnation {
        return;
    }
    let Some(peer) = process.peers.by_address(from) else { return };
    process.peers.on_grant_reply(&peer.vm);
    if let message::Reply::Granted(grant) = &received.reply {
        process.peers.on_grant(&peer.vm, grant.number);
    }
    if let message::Reply::Granted(grant) = &received.reply
        && let Some(limit) = grant.limit
    {
        rate_limits::merge(process, Entry { upstream: grant.upstream, limit }, &peer.vm);
    }
    let reply = decode(&process.cluster.lock().unwrap(), received.reply);
    // A placement at an upstream that is not listed here can't be used. It is dropped, and the
    // request times out and goes to the next scheduler.
    if let Some(reply) = reply {
        process.pending_grants.deliver(number, reply);
    }
}

/// Logs when grant requests go to another scheduler than before.
fn log_scheduler_change<D: Dialect>(process: &Process<D>, scheduler: Option<&Scheduler>) {
    if process.pending_grants.set_scheduler(scheduler) {
        let what = scheduler.map_or_else(|| "none is up".to_owned(), Scheduler::to_string);
        log::event(&process.log, Event::SchedulerChanged, what);
    }
}

fn decode(cluster: &Cluster, reply: message::Reply) -> Option<Reply> {
    let grant = match reply {
        message::Reply::Granted(grant) => grant,
        message::Reply::Queued => return Some(Reply::Queued),
        message::Reply::Rejected(rejection) => return Some(Reply::Rejected(rejection)),
    };
    let id = |tag: Tag| cluster.by_tag(tag).map(|upstream| upstream.listed.id.clone());
    let helper =
        |(tag, reserved): &(Tag, u64)| Some(Helper { upstream: id(*tag)?, reserved: *reserved });
    let busiest_helpers =
        grant.busiest_helpers.into_iter().filter_map(|(tag, load)| Some((id(tag)?, load)));
    let placement = Placement {
        flight: Flight {
            upstream: id(grant.upstream)?,
            helpers: grant.helpers.iter().map(helper).collect::<Option<_>>()?,
            part_ms: grant.part_ms,
            memory: grant.memory,
            pause_ms: grant.pause_ms,
            decoding: false,
            isolated: grant.isolated,
        },
        predicted_ms: grant.predicted_ms,
        load: grant.load,
        busiest_helpers: busiest_helpers.collect(),
        candidates: grant.candidates,
        limited: grant.limited,
        limit: grant.limit,
        reason: grant.reason,
    };
    Some(Reply::Granted(Box::new(placement), grant.number))
}

/// Addresses of a flight's upstream and helpers, or why one of them must not be used.
fn addresses<D: Dialect>(
    process: &Process<D>,
    flight: &Flight,
) -> Result<(String, Vec<String>), Outcome> {
    let address = |id: &id::Upstream| match notices::exclusion(process, id) {
        Some(Exclusion::Leaving | Exclusion::Drained) => {
            Err(Outcome::Unavailable(notices::incarnation(process, id)))
        }
        Some(Exclusion::Backoff { .. }) => Err(Outcome::Backoff),
        Some(Exclusion::RateLimited) => Err(Outcome::RateLimited),
        None => {
            let cluster = process.cluster.lock().unwrap();
            let address = cluster.get(id).map(|upstream| upstream.listed.address.clone());
            address.ok_or_else(|| Outcome::Unavailable(cluster.tag_of(id)))
        }
    };
    let helpers = flight.helpers.iter().map(|helper| address(&helper.upstream));
    Ok((address(&flight.upstream)?, helpers.collect::<Result<_, _>>()?))
}

/// When a VM stops requesting a placement for a request.
#[derive(Debug, Clone, Copy)]
pub struct Expiry {
    /// Latest time.
    pub at: Instant,
    /// Whether events of the response have been delivered. Only this VM can resume such a stream, so
    /// it still requests a placement while the VM shuts down; other requests can be sent to another
    /// VM by their callers.
    pub stream_begun: bool,
}

impl Expiry {
    fn is_over<D: Dialect>(self, process: &Process<D>) -> bool {
        process.now() >= self.at || !self.stream_begun && process.rejects_new_requests()
    }
}

/// A rejected grant request.
#[derive(Debug, Clone)]
pub struct Rejected {
    /// Why it was rejected.
    pub rejection: Rejection,
    /// The scheduler that rejected it, and the number of the grant request; none if this VM rejected it without one.
    pub origin: Option<Origin>,
}

/// The scheduler that decided on a grant request, and the number that the request has in its log lines.
#[derive(Debug, Clone)]
pub struct Origin {
    /// The scheduler.
    pub by: id::Vm,
    /// The number of the grant request.
    pub number: u64,
}

impl From<Rejection> for Rejected {
    fn from(rejection: Rejection) -> Rejected {
        Rejected { rejection, origin: None }
    }
}

/// Requests a placement until it is granted, rejected or `expiry` is over.
pub async fn request<D: Dialect>(
    process: &Arc<Process<D>>,
    service: &Arc<Service>,
    mut requirements: Requirements,
    expiry: Expiry,
) -> Result<Grant, Rejected> {
    loop {
        let needs_listings = || !can_use_grant(process, service);
        wait_during_startup(process, expiry, Step::Listings, needs_listings).await;
        if needs_listings() {
            return Err(Rejection::NoUpstream.into());
        }
        wait_during_startup(process, expiry, Step::Scheduler, || awaits_scheduler(process)).await;
        let mut pending = Pending::new(process, service, &requirements, expiry);
        let scheduler = process.peers.scheduler(process.stopping.is_cancelled(), process.now());
        log_scheduler_change(process, scheduler.as_ref());
        let outcome = match scheduler {
            Some(scheduler) => pending.request_from(scheduler).await,
            None => pending.place_locally().await,
        };
        let origin = pending.origin();
        drop(pending);
        match outcome {
            Outcome::Granted(grant) => return Ok(*grant),
            Outcome::Rejected(rejection) => {
                record_quarantine(process, requirements.fingerprint, rejection);
                record_promise(process, service, &requirements, rejection);
                return Err(Rejected { rejection, origin });
            }
            Outcome::NoReply(vm) => {
                log::event(&process.log, Event::SchedulerTimeout, &vm);
                process.peers.on_grant_timeout(&vm, process.now());
            }
            Outcome::Unavailable(upstream) => {
                requirements.excluded.push(upstream);
                requirements.charge = Charge::Free;
            }
            // The next grant request excludes the upstream, or the scheduler has received the rate
            // limit by then.
            Outcome::Backoff | Outcome::RateLimited => requirements.charge = Charge::Free,
            Outcome::Queued => {}
        }
        // The scheduler may have counted the deposit already.
        if requirements.charge == Charge::Deposit {
            requirements.charge = Charge::Free;
        }
        if expiry.is_over(process) {
            return Err(Rejection::Full.into());
        }
    }
}

/// Whether any upstream of the service is listed here. Before its first listings, it would drop each
/// grant and take the scheduler that sent it for unresponsive.
fn can_use_grant<D: Dialect>(process: &Process<D>, service: &Service) -> bool {
    if !process.revision().is_none() {
        return true;
    }
    process.cluster.lock().unwrap().listings().any(|listed| listed.service == service.name)
}

/// Whether a VM that this one would prefer as scheduler may still reply to its first heartbeat. If
/// requests did not wait for that, each VM of a fleet that starts would use the first VM from which it
/// receives a heartbeat, and several VMs would place requests on the same engines concurrently.
fn awaits_scheduler<D: Dialect>(process: &Process<D>) -> bool {
    process.peers.awaits_scheduler(FIRST_REPLY_TIMEOUT, process.now())
}

/// Waits, on a VM that has just started, while `is_missing` holds.
async fn wait_during_startup<D: Dialect>(
    process: &Process<D>,
    expiry: Expiry,
    step: Step,
    is_missing: impl Fn() -> bool,
) {
    let waits = || process.is_starting() && is_missing() && !expiry.is_over(process);
    if waits() {
        process.metrics.count_startup_wait(step);
    }
    while waits() {
        tokio::time::sleep(STARTUP_POLL_INTERVAL).await;
    }
}

/// Records a quarantine that the scheduler reports: copies of the request are then rejected without
/// a grant request.
fn record_quarantine<D: Dialect>(
    process: &Process<D>,
    fingerprint: Fingerprint,
    rejection: Rejection,
) {
    if let Rejection::Quarantined { left_ms } = rejection {
        let remaining = Duration::from_millis(left_ms);
        process.cluster.lock().unwrap().quarantine.merge_entry(
            fingerprint,
            1,
            remaining,
            process.now(),
        );
    }
}

/// Records a return time that the scheduler promises. It is announced to the schedulers, and this VM
/// has it if it becomes the scheduler itself.
fn record_promise<D: Dialect>(
    process: &Process<D>,
    service: &Service,
    requirements: &Requirements,
    rejection: Rejection,
) {
    let Rejection::Overloaded { after_ms, promised: true, .. } = rejection else { return };
    let (after, now) = (Duration::from_millis(after_ms), process.now());
    let capacity = promise::capacity(service, requirements);
    let fingerprint = requirements.fingerprint;
    let added = process.promises.lock().unwrap().add(fingerprint, capacity, after, now);
    if let Some(announcement) = added {
        process.scheduler.lock().unwrap().promises.merge(&[announcement], now);
        process.announce.notify_one();
    }
}

/// How a grant request to one scheduler ended.
enum Outcome {
    Granted(Box<Grant>),
    Rejected(Rejection),
    /// The scheduler does not reply.
    NoReply(id::Vm),
    /// The placement is at an upstream that takes no more requests. The scheduler had not received
    /// that yet.
    Unavailable(Tag),
    /// The placement is at an upstream that went into backoff for this VM after the grant request was
    /// sent.
    Backoff,
    /// The scheduler had not received the latest rate limit of the upstream.
    RateLimited,
    /// No placement was granted yet.
    Queued,
}

/// A grant request to one scheduler, which is cancelled there on drop.
struct Pending<'a, D: Dialect> {
    process: &'a Arc<Process<D>>,
    service: &'a Service,
    requirements: &'a Requirements,
    expiry: Expiry,
    number: u64,
    replies: mpsc::UnboundedReceiver<Reply>,
    scheduler: Option<Scheduler>,
}

impl<'a, D: Dialect> Pending<'a, D> {
    fn new(
        process: &'a Arc<Process<D>>,
        service: &'a Service,
        requirements: &'a Requirements,
        expiry: Expiry,
    ) -> Pending<'a, D> {
        let number = process.cluster.lock().unwrap().next_number();
        let replies = process.pending_grants.add(number);
        Pending { process, service, requirements, expiry, number, replies, scheduler: None }
    }

    /// Sends the grant request until the scheduler has granted or rejected it, or fails to reply.
    async fn request_from(&mut self, scheduler: Scheduler) -> Outcome {
        self.scheduler = Some(scheduler.clone());
        let mut timeouts = 0;
        loop {
            self.send(&scheduler);
            match self.next_reply(REPLY_TIMEOUT).await {
                None => timeouts += 1,
                Some(Reply::Queued) if self.is_outdated(&scheduler) => return Outcome::Queued,
                Some(Reply::Queued) => {
                    timeouts = 0;
                    if let Some(reply) = self.placement_within(RENEWAL_INTERVAL, &scheduler).await {
                        return self.outcome(reply);
                    }
                }
                Some(reply) => return self.outcome(reply),
            }
            match &scheduler {
                Scheduler::Peer(vm, _) if timeouts == MAX_UNANSWERED_REQUESTS => {
                    return Outcome::NoReply(vm.clone());
                }
                _ if self.is_over() => return Outcome::Queued,
                _ => {}
            }
        }
    }

    fn send(&self, scheduler: &Scheduler) {
        let requirements = self.excluding_backoffs();
        match scheduler {
            Scheduler::Own => {
                scheduler::request_own(self.process, self.number, self.service, &requirements)
            }
            Scheduler::Peer(vm, address) => {
                let service = Tag::of(&self.service.name);
                let is_client = affiliation::contact_peer(self.process, vm);
                let now = self.process.now();
                let request =
                    GrantRequest::new(self.number(), service, &requirements, is_client, now);
                announce::send(self.process, &Message::GrantRequest(request), *address);
            }
        }
    }

    /// The requirements, with the upstreams excluded that are in backoff for this VM. They are part of
    /// each grant request, so that the scheduler need not track the backoffs of other VMs.
    fn excluding_backoffs(&self) -> Requirements {
        let mut requirements = self.requirements.clone();
        requirements.excluded.extend(notices::active_backoffs(self.process));
        requirements
    }

    /// The scheduler that has the grant request, and its number there.
    fn origin(&self) -> Option<Origin> {
        let by = match self.scheduler.as_ref()? {
            Scheduler::Own => self.process.member.vm.clone(),
            Scheduler::Peer(vm, _) => vm.clone(),
        };
        Some(Origin { by, number: self.number })
    }

    fn number(&self) -> Number {
        self.process.request_number(self.number)
    }

    fn is_over(&self) -> bool {
        self.expiry.is_over(self.process)
    }

    /// Whether this VM uses another scheduler by now. Two schedulers at once each count the grants of the other, so a
    /// request that stays with the one that has fewer requests may get none.
    fn is_outdated(&self, scheduler: &Scheduler) -> bool {
        let current =
            self.process.peers.scheduler(self.process.stopping.is_cancelled(), self.process.now());
        current.is_some_and(|current| current != *scheduler)
    }

    /// The next reply, if it arrives within `time`.
    async fn next_reply(&mut self, time: Duration) -> Option<Reply> {
        let deadline = (self.process.now() + time).min(self.expiry.at);
        tokio::time::timeout_at(deadline.into(), self.replies.recv()).await.ok().flatten()
    }

    /// The next reply other than `Queued`, if it arrives within `time` and before this VM uses another scheduler.
    async fn placement_within(&mut self, time: Duration, scheduler: &Scheduler) -> Option<Reply> {
        let deadline = (self.process.now() + time).min(self.expiry.at);
        loop {
            let remaining = deadline.saturating_duration_since(self.process.now());
            match self.next_reply(remaining.min(SCHEDULER_CHECK_INTERVAL)).await {
                Some(Reply::Queued) => {}
                None if self.process.now() < deadline && !self.is_outdated(scheduler) => {}
                reply => return reply,
            }
        }
    }

    fn outcome(&mut self, reply: Reply) -> Outcome {
        match reply {
            Reply::Granted(placement, _) => {
                let by = match self.scheduler.take() {
                    Some(Scheduler::Peer(vm, address)) => {
                        let limits = rate_limits::missing_at_scheduler(self.process, &placement);
                        if !limits.is_empty() {
                            rate_limits::send(self.process, limits, address);
                            return Outcome::RateLimited;
                        }
                        vm
                    }
                    _ => self.process.member.vm.clone(),
                };
                self.grant(*placement, Some(by))
            }
            Reply::Rejected(rejection) => Outcome::Rejected(rejection),
            Reply::Queued => Outcome::Queued,
        }
    }

    /// Places the request from the cluster state of this VM.
    async fn place_locally(&self) -> Outcome {
        let offset = rand::random_range(0..u16::MAX).into();
        let schedulers = self.process.peers.running_count();
        let requirements = Requirements { offset, schedulers, ..self.excluding_backoffs() };
        let now = self.process.now();
        let placement = scheduler::place_locally(self.process, self.service, &requirements, now);
        match placement {
            Ok(placement) => self.grant(placement, None),
            Err(Rejection::Full) => {
                tokio::time::sleep(POLL_INTERVAL).await;
                Outcome::Queued
            }
            Err(rejection) => Outcome::Rejected(rejection),
        }
    }

    /// Grants a placement, unless this VM must not use one of its upstreams.
    fn grant(&self, placement: Placement, by: Option<id::Vm>) -> Outcome {
        match addresses(self.process, &placement.flight) {
            Ok((address, helpers)) => {
                let number = self.number;
                Outcome::Granted(Box::new(Grant { placement, address, helpers, number, by }))
            }
            Err(outcome) => outcome,
        }
    }
}

impl<D: Dialect> Drop for Pending<'_, D> {
    fn drop(&mut self) {
        self.process.pending_grants.remove(self.number);
        match self.scheduler.take() {
            Some(Scheduler::Own) => scheduler::cancel_own(self.process, self.number),
            Some(Scheduler::Peer(_, address)) => {
                let message = Message::Cancelled(self.number());
                announce::send(self.process, &message, address);
            }
            None => {}
        }
    }
}
