//! Requests that ask for a placement: at the scheduler, at the next one where it does not answer,
//! and by what this VM knows itself where none does.

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
use foldlock_request::rate_limit::Entry;
use foldlock_request::scheduler::Reply;
use foldlock_request::tag::Tag;
use foldlock_version::routes::Service;
use tokio::sync::mpsc;

use crate::fleet::notices::{self, Exclusion};
use crate::fleet::peers::Scheduler;
use crate::fleet::process::Process;
use crate::fleet::{affiliation, announce, rate_limits, scheduler};
use crate::log;

/// How long an answer may take before the same is asked again: the way there and back takes 3 ms
/// between halls, the rest is for a VM that is busy.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(25);

/// Questions without an answer after which the next VM is asked.
const MAX_UNANSWERED: u32 = 2;

/// How often a request that waits asks again, so that it is seen when the scheduler is gone.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(150);

/// How often a VM that places its own requests looks again.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// An assignment of a request to upstreams, with their addresses.
#[derive(Debug)]
pub struct Grant {
    /// The placement.
    pub placement: Placement,
    /// Where the upstream listens.
    pub address: String,
    /// Where the helpers of the flight listen, in the same order.
    pub helpers: Vec<String>,
    /// The number by which the flight is known.
    pub number: u64,
    /// The VM that placed the request; none where this one did by what it knows alone.
    pub by: Option<id::Vm>,
}

/// A peer has answered.
pub fn answered<D: Dialect>(process: &Process<D>, answered: GrantReply, from: SocketAddr) {
    let Number { incarnation, number } = answered.request;
    if incarnation != process.member.incarnation {
        return;
    }
    let Some(peer) = process.peers.by_address(from) else { return };
    process.peers.on_grant_reply(&peer.vm);
    if let message::Reply::Granted(placed) = &answered.reply {
        process.peers.on_grant(&peer.vm, placed.number);
    }
    if let message::Reply::Granted(placed) = &answered.reply
        && let Some(limit) = placed.limit
    {
        rate_limits::merge(process, Entry { upstream: placed.upstream, limit }, &peer.vm);
    }
    let answer = decode(&process.cluster.lock().unwrap(), answered.reply);
    // A placement at an upstream that is not known here is of no use: another VM is asked.
    if let Some(answer) = answer {
        process.questions.deliver(number, answer);
    }
}

/// Logs that another VM than before is asked.
fn note<D: Dialect>(process: &Process<D>, scheduler: Option<&Scheduler>) {
    if process.questions.asked(scheduler) {
        let what = scheduler.map_or_else(|| "none is heard".to_owned(), Scheduler::to_string);
        log::event(&process.log, Event::SchedulerChanged, what);
    }
}

fn decode(cluster: &Cluster, answer: message::Reply) -> Option<Reply> {
    let placed = match answer {
        message::Reply::Granted(placed) => placed,
        message::Reply::Queued => return Some(Reply::Queued),
        message::Reply::Rejected(rejection) => return Some(Reply::Rejected(rejection)),
    };
    let id = |tag: Tag| cluster.by_tag(tag).map(|upstream| upstream.listed.id.clone());
    let helping = |(tag, held): &(Tag, u64)| Some(Helper { upstream: id(*tag)?, reserved: *held });
    let slowest =
        placed.busiest_helpers.into_iter().filter_map(|(tag, load)| Some((id(tag)?, load)));
    let placement = Placement {
        flight: Flight {
            upstream: id(placed.upstream)?,
            helpers: placed.helpers.iter().map(helping).collect::<Option<_>>()?,
            part_ms: placed.part_ms,
            memory: placed.memory,
            pause_ms: placed.pause_ms,
            decoding: false,
            isolated: placed.isolated,
        },
        predicted_ms: placed.predicted_ms,
        load: placed.load,
        busiest_helpers: slowest.collect(),
        candidates: placed.candidates,
        limited: placed.limited,
        limit: placed.limit,
    };
    Some(Reply::Granted(Box::new(placement), placed.number))
}

/// Where the upstream of a flight and its helpers listen, or the first of them that may be sent nothing.
fn addresses<D: Dialect>(
    process: &Process<D>,
    flight: &Flight,
) -> Result<(String, Vec<String>), Ended> {
    let address = |id: &id::Upstream| match notices::exclusion(process, id) {
        Some(Exclusion::Closed | Exclusion::Drained) => {
            Err(Ended::Gone(notices::start(process, id)))
        }
        Some(Exclusion::Resting { .. }) => Err(Ended::Resting),
        Some(Exclusion::RateLimited) => Err(Ended::Superseded),
        None => {
            let cluster = process.cluster.lock().unwrap();
            let known = cluster.get(id).map(|upstream| upstream.listed.address.clone());
            known.ok_or_else(|| Ended::Gone(cluster.tag_of(id)))
        }
    };
    let helpers = flight.helpers.iter().map(|helping| address(&helping.upstream));
    Ok((address(&flight.upstream)?, helpers.collect::<Result<_, _>>()?))
}

/// How long a request asks for a placement.
#[derive(Debug, Clone, Copy)]
pub struct Until {
    /// At most until then.
    pub limit: Instant,
    /// Whether its answer has begun. Then nobody else can give it: it asks on while its VM stops, where a
    /// new one is sent to another VM.
    pub begun: bool,
}

impl Until {
    fn is_over<D: Dialect>(self, process: &Process<D>) -> bool {
        process.now() >= self.limit || !self.begun && process.closing()
    }
}

/// Asks for a placement until then.
pub async fn place<D: Dialect>(
    process: &Arc<Process<D>>,
    service: &Arc<Service>,
    mut requirements: Requirements,
    until: Until,
) -> Result<Grant, Rejection> {
    loop {
        let mut open = Open::new(process, service, &requirements, until);
        let scheduler = process.peers.scheduler(process.stopping.is_cancelled(), process.now());
        note(process, scheduler.as_ref());
        let ended = match scheduler {
            Some(scheduler) => open.ask(scheduler).await,
            None => open.alone().await,
        };
        drop(open);
        match ended {
            Ended::Placed(grant) => return Ok(*grant),
            Ended::Rejected(rejection) => {
                note_held(process, requirements.fingerprint, rejection);
                return Err(rejection);
            }
            Ended::Silent(vm) => {
                log::event(&process.log, Event::SchedulerSilent, &vm);
                process.peers.on_grant_timeout(&vm, process.now());
            }
            Ended::Gone(upstream) => {
                requirements.excluded.push(upstream);
                requirements.charge = Charge::Free;
            }
            // The next request names it, or the scheduler has received the limit by then.
            Ended::Resting | Ended::Superseded => requirements.charge = Charge::Free,
            Ended::Later => {}
        }
        // It may count already where it was asked for.
        if requirements.charge == Charge::Deposit {
            requirements.charge = Charge::Free;
        }
        if until.is_over(process) {
            return Err(Rejection::Full);
        }
    }
}

/// A request that is held elsewhere is refused here from now on without asking.
fn note_held<D: Dialect>(process: &Process<D>, fingerprint: Fingerprint, rejection: Rejection) {
    if let Rejection::Quarantined { left_ms } = rejection {
        let left = Duration::from_millis(left_ms);
        process.cluster.lock().unwrap().quarantine.merge_entry(fingerprint, 1, left, process.now());
    }
}

/// How it ended to ask one VM.
enum Ended {
    Placed(Box<Grant>),
    Rejected(Rejection),
    /// The VM does not answer.
    Silent(id::Vm),
    /// The placement is at an upstream that takes no more work, which the VM does not know yet.
    Gone(Tag),
    /// The placement is at an upstream that has asked this VM for a rest since the question was sent.
    Resting,
    /// The scheduler did not know the latest rate limit of the upstream.
    Superseded,
    /// There is no placement yet.
    Later,
}

/// A request that asks one VM, which hears of it when it asks no more.
struct Open<'a, D: Dialect> {
    process: &'a Arc<Process<D>>,
    service: &'a Service,
    requirements: &'a Requirements,
    until: Until,
    number: u64,
    answers: mpsc::UnboundedReceiver<Reply>,
    asked: Option<Scheduler>,
}

impl<'a, D: Dialect> Open<'a, D> {
    fn new(
        process: &'a Arc<Process<D>>,
        service: &'a Service,
        requirements: &'a Requirements,
        until: Until,
    ) -> Open<'a, D> {
        let number = process.cluster.lock().unwrap().next_number();
        let answers = process.questions.open(number);
        Open { process, service, requirements, until, number, answers, asked: None }
    }

    /// Asks a VM until it has placed the request, or does not answer.
    async fn ask(&mut self, scheduler: Scheduler) -> Ended {
        self.asked = Some(scheduler.clone());
        let mut unanswered = 0;
        loop {
            self.send(&scheduler);
            match self.answer(ANSWER_TIMEOUT).await {
                None => unanswered += 1,
                Some(Reply::Queued) => {
                    unanswered = 0;
                    if let Some(answer) = self.place_in(RENEWAL_INTERVAL).await {
                        return self.ended(answer);
                    }
                }
                Some(answer) => return self.ended(answer),
            }
            match &scheduler {
                Scheduler::Peer(vm, _) if unanswered == MAX_UNANSWERED => {
                    return Ended::Silent(vm.clone());
                }
                _ if self.is_over() => return Ended::Later,
                _ => {}
            }
        }
    }

    fn send(&self, scheduler: &Scheduler) {
        let requirements = self.without_resting();
        match scheduler {
            Scheduler::Own => {
                scheduler::own(self.process, self.number, self.service, &requirements)
            }
            Scheduler::Peer(vm, address) => {
                let service = Tag::of(&self.service.name);
                let is_client = affiliation::contact_peer(self.process, vm);
                let now = self.process.now();
                let asked =
                    GrantRequest::new(self.request(), service, &requirements, is_client, now);
                announce::send(self.process, &Message::GrantRequest(asked), *address);
            }
        }
    }

    /// What is asked for, the upstreams left out that rest for this VM. They go with the question, so that
    /// the scheduler need not know who was told to leave whom alone.
    fn without_resting(&self) -> Requirements {
        let mut requirements = self.requirements.clone();
        requirements.excluded.extend(notices::resting(self.process));
        requirements
    }

    fn request(&self) -> Number {
        self.process.numbered(self.number)
    }

    fn is_over(&self) -> bool {
        self.until.is_over(self.process)
    }

    /// The next answer, if it comes within `time`.
    async fn answer(&mut self, time: Duration) -> Option<Reply> {
        let until = (self.process.now() + time).min(self.until.limit);
        tokio::time::timeout_at(until.into(), self.answers.recv()).await.ok().flatten()
    }

    /// The placement, if there is one within `time`.
    async fn place_in(&mut self, time: Duration) -> Option<Reply> {
        let until = self.process.now() + time;
        loop {
            let left = until.saturating_duration_since(self.process.now());
            match self.answer(left).await {
                Some(Reply::Queued) => {}
                answer => return answer,
            }
        }
    }

    fn ended(&mut self, answer: Reply) -> Ended {
        match answer {
            Reply::Granted(placement, _) => {
                let by = match self.asked.take() {
                    Some(Scheduler::Peer(vm, address)) => {
                        let limits = rate_limits::unknown_to_scheduler(self.process, &placement);
                        if !limits.is_empty() {
                            rate_limits::send(self.process, limits, address);
                            return Ended::Superseded;
                        }
                        vm
                    }
                    _ => self.process.member.vm.clone(),
                };
                self.grant(*placement, Some(by))
            }
            Reply::Rejected(rejection) => Ended::Rejected(rejection),
            Reply::Queued => Ended::Later,
        }
    }

    /// Places the request by what is known here.
    async fn alone(&self) -> Ended {
        let offset = rand::random_range(0..u16::MAX).into();
        let schedulers = self.process.peers.running_count();
        let requirements = Requirements { offset, schedulers, ..self.without_resting() };
        let now = self.process.now();
        let placed = scheduler::place_alone(self.process, self.service, &requirements, now);
        match placed {
            Ok(placement) => self.grant(placement, None),
            Err(Rejection::Full) => {
                tokio::time::sleep(POLL_INTERVAL).await;
                Ended::Later
            }
            Err(rejection) => Ended::Rejected(rejection),
        }
    }

    /// A placement, unless one of its upstreams takes no more work by what is known here.
    fn grant(&self, placement: Placement, by: Option<id::Vm>) -> Ended {
        match addresses(self.process, &placement.flight) {
            Ok((address, helpers)) => {
                let number = self.number;
                Ended::Placed(Box::new(Grant { placement, address, helpers, number, by }))
            }
            Err(ended) => ended,
        }
    }
}

impl<D: Dialect> Drop for Open<'_, D> {
    fn drop(&mut self) {
        self.process.questions.close(self.number);
        match self.asked.take() {
            Some(Scheduler::Own) => scheduler::cancel_own(self.process, self.number),
            Some(Scheduler::Peer(_, address)) => {
                let message = Message::Cancelled(self.request());
                announce::send(self.process, &message, address);
            }
            None => {}
        }
    }
}
