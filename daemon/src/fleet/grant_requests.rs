//! Requests a placement from the scheduler or, if it does not reply, from the next standby
//! scheduler. If none replies, the request is placed locally, from this VM's own cluster state.

mod pending;
mod reply;

use std::sync::Arc;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_request::budget::Charge;
use foldlock_request::dialect::Dialect;
use foldlock_request::fingerprint::Fingerprint;
use foldlock_request::placement::{Placement, Rejection, Requirements};
use foldlock_request::promise;
use foldlock_version::routes::Service;

use crate::fleet::metrics::Step;
use crate::fleet::peers::Scheduler;
use crate::fleet::process::Process;
use crate::log;
use pending::{MAX_UNANSWERED_REQUESTS, Outcome, Pending, REPLY_TIMEOUT};
pub use reply::on_reply;

/// Time for which a VM that has just started waits for the reply of a VM that precedes the others in
/// the order: as long as for a grant reply of a scheduler that turns out to be down.
const FIRST_REPLY_TIMEOUT: Duration =
    REPLY_TIMEOUT.checked_mul(MAX_UNANSWERED_REQUESTS).expect("a short time");

/// Interval at which a VM that has just started checks for what its requests wait for.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(5);

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

/// Logs when grant requests go to another scheduler than before.
fn log_scheduler_change<D: Dialect>(process: &Process<D>, scheduler: Option<&Scheduler>) {
    if process.pending_grants.set_scheduler(scheduler) {
        let what = scheduler.map_or_else(|| "none is up".to_owned(), Scheduler::to_string);
        log::event(&process.log, Event::SchedulerChanged, what);
    }
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
    let mut unresponsive = Vec::new();
    loop {
        let needs_listings = || !can_use_grant(process, service);
        wait_during_startup(process, expiry, Step::Listings, needs_listings).await;
        if needs_listings() {
            return Err(Rejection::NoUpstream.into());
        }
        wait_during_startup(process, expiry, Step::Scheduler, || awaits_scheduler(process)).await;
        let mut pending = Pending::new(process, service, &requirements, &unresponsive, expiry);
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
                unresponsive.push(vm);
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
