//! A grant request to one scheduler, and the local placement of a request where there is none.

use std::sync::Arc;
use std::time::Duration;

use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::flight::Flight;
use foldlock_request::message::{GrantRequest, Message, Number};
use foldlock_request::placement::{Placement, Rejection, Requirements};
use foldlock_request::scheduler::Reply;
use foldlock_request::tag::Tag;
use foldlock_version::routes::Service;
use tokio::sync::mpsc;

use super::{Expiry, Grant, Origin};
use crate::fleet::notices::{self, Exclusion};
use crate::fleet::peers::Scheduler;
use crate::fleet::process::Process;
use crate::fleet::{affiliation, announce, rate_limits, scheduler};

/// Time after which an unanswered grant request is sent again: a round trip between data halls takes
/// 3 ms, the rest allows for a busy VM.
pub(super) const REPLY_TIMEOUT: Duration = Duration::from_millis(25);

/// Unanswered grant requests after which the next scheduler is tried.
pub(super) const MAX_UNANSWERED_REQUESTS: u32 = 2;

/// Interval at which a queued request is sent again, to detect a scheduler that has failed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(150);

/// Interval at which a VM with a queued request checks whether it uses another scheduler by now. In the time until then,
/// both place requests.
const SCHEDULER_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Delay before a request that could not be placed locally is tried again.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// How a grant request to one scheduler ended.
pub(super) enum Outcome {
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
pub(super) struct Pending<'a, D: Dialect> {
    process: &'a Arc<Process<D>>,
    service: &'a Service,
    requirements: &'a Requirements,
    /// The schedulers that did not reply to this request.
    unresponsive: &'a [id::Vm],
    expiry: Expiry,
    number: u64,
    replies: mpsc::UnboundedReceiver<Reply>,
    scheduler: Option<Scheduler>,
}

impl<'a, D: Dialect> Pending<'a, D> {
    pub(super) fn new(
        process: &'a Arc<Process<D>>,
        service: &'a Service,
        requirements: &'a Requirements,
        unresponsive: &'a [id::Vm],
        expiry: Expiry,
    ) -> Pending<'a, D> {
        let number = process.cluster.lock().unwrap().next_number();
        let replies = process.pending_grants.add(number);
        let scheduler = None;
        Pending { process, service, requirements, unresponsive, expiry, number, replies, scheduler }
    }

    /// Sends the grant request until the scheduler has granted or rejected it, or fails to reply.
    pub(super) async fn request_from(&mut self, scheduler: Scheduler) -> Outcome {
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
    pub(super) fn origin(&self) -> Option<Origin> {
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
    /// request that stays with the one that has fewer requests may get none. A scheduler that did not reply to this
    /// request does not count: if only messages to it are lost, its heartbeats make it the current one again.
    fn is_outdated(&self, scheduler: &Scheduler) -> bool {
        let current =
            self.process.peers.scheduler(self.process.stopping.is_cancelled(), self.process.now());
        current.is_some_and(|current| {
            let is_unresponsive =
                matches!(&current, Scheduler::Peer(vm, _) if self.unresponsive.contains(vm));
            current != *scheduler && !is_unresponsive
        })
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
    pub(super) async fn place_locally(&self) -> Outcome {
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
