//! Reservations of memory at the helper engines of an attempt: all of them or none, renewed during
//! the attempt and released when it ends, for whatever reason.

use std::sync::Arc;
use std::time::Duration;

use foldlock_base::clock::millis;
use foldlock_base::prelude::*;
use foldlock_request::decision::Decision;
use foldlock_request::dialect::Dialect;
use foldlock_request::memory::{self, Memory, Reservation};
use foldlock_request::notice::Annotated;
use foldlock_request::renewal::{Outcome, Renewal};
use foldlock_request::tag::Tag;
use foldlock_request::terms::Helper;
use futures::future::join_all;

use crate::fleet::calls::Calls;
use crate::fleet::grant_requests::Grant;
use crate::fleet::job::Job;
use crate::fleet::liveness::Evidence;
use crate::fleet::metrics::Sent;
use crate::fleet::notices;
use crate::fleet::process::Process;
use crate::log;

/// Delay after a release order that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of release orders for a reservation; after that it expires by itself.
const MAX_RELEASES: u32 = 6;

/// A failed reservation.
pub struct Failure {
    /// The upstream that did not reserve the memory.
    pub upstream: id::Upstream,
    /// Cause of the failure.
    pub cause: memory::Failure,
}

/// The reservations of an attempt, released on drop.
pub struct Reservations<D: Dialect> {
    process: Arc<Process<D>>,
    reservations: Arc<Vec<Reservation>>,
    renewal: Option<tokio::task::JoinHandle<()>>,
}

impl<D: Dialect> Reservations<D> {
    /// Reserves the memory that a placement requires at its helpers. It is renewed while there is
    /// evidence that the main engine is alive.
    pub async fn reserve(
        job: &Arc<Job<D>>,
        grant: &Grant,
        evidence: Option<Evidence>,
    ) -> Result<Reservations<D>, Failure> {
        let reservations = Arc::new(reservations(job, grant));
        let mut reserved = Reservations {
            process: job.process.clone(),
            reservations: reservations.clone(),
            renewal: None,
        };
        if reservations.is_empty() {
            return Ok(reserved);
        }
        let started = job.process.now();
        let incarnation = |r: &Reservation| notices::incarnation(&job.process, &r.upstream);
        let incarnations: Vec<Tag> = reservations.iter().map(incarnation).collect();
        let memory = &job.process.memory;
        let ttl = job.process.config.fleet.reservation_time();
        reservations.iter().for_each(|reservation| count_order(&job.process, reservation));
        let sent = job.process.now();
        let calls = Calls(&job.process);
        let results = join_all(reservations.iter().map(|r| memory.reserve(&calls, r, ttl))).await;
        for ((reservation, incarnation), Annotated { notice, value: result }) in
            reservations.iter().zip(incarnations).zip(results)
        {
            notices::apply(&job.process, &reservation.upstream, incarnation, sent, notice);
            // Dropping `reserved` releases the reservations that succeeded.
            let upstream = reservation.upstream.clone();
            result.map_err(|cause| Failure { upstream, cause })?;
        }
        let engines = reservations.iter().map(|r| r.upstream.clone()).collect();
        let waited_ms = millis(job.process.now().saturating_duration_since(started));
        job.record(Decision::Reserved { engines, waited_ms });
        reserved.renewal = evidence.map(|evidence| {
            evidence.record_reserved(reservations.clone());
            tokio::spawn(renew(job.process.clone(), reservations, evidence))
        });
        Ok(reserved)
    }

    /// Whether there are no reservations.
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty()
    }

    /// The helpers of a placement with their reservation ids.
    pub fn helpers(&self, grant: &Grant) -> Vec<Helper> {
        let reservation_id = |upstream: &id::Upstream| {
            let reservation = self.reservations.iter().find(|r| r.upstream == *upstream)?;
            Some(reservation.reservation_id.clone())
        };
        let helpers = grant.placement.flight.helpers.iter().zip(&grant.helpers);
        helpers
            .map(|(helper, address)| Helper {
                address: address.clone(),
                reservation_id: reservation_id(&helper.upstream),
            })
            .collect()
    }
}

impl<D: Dialect> Drop for Reservations<D> {
    fn drop(&mut self) {
        if let Some(renewal) = self.renewal.take() {
            renewal.abort();
        }
        if !self.reservations.is_empty() {
            let tasks = self.process.tasks.clone();
            tasks.spawn(release_all(self.process.clone(), self.reservations.clone()));
        }
    }
}

fn reservations<D: Dialect>(job: &Job<D>, grant: &Grant) -> Vec<Reservation> {
    let helpers = grant.placement.flight.helpers.iter().zip(&grant.helpers);
    let reserving = helpers.filter(|(helper, _)| helper.reserved > 0);
    reserving
        .map(|(helper, address)| Reservation {
            upstream: helper.upstream.clone(),
            address: address.clone(),
            reservation_id: job.process.reservation_id(),
            tokens: Tokens(helper.reserved),
        })
        .collect()
}

/// Renews the reservations while there is evidence that the main engine is alive, until one has expired. The engines end the
/// request then.
async fn renew<D: Dialect>(
    process: Arc<Process<D>>,
    reservations: Arc<Vec<Reservation>>,
    evidence: Evidence,
) {
    let fleet = &process.config.fleet;
    let (lifetime, interval) = (fleet.reservation_time(), fleet.renewal_interval());
    let mut renewals = vec![Renewal::new(lifetime, interval, process.now()); reservations.len()];
    loop {
        let Some(due) = renewals.iter().map(Renewal::due).min() else { return };
        let Some(limit) = renewals.iter().map(Renewal::limit).min() else { return };
        let ready = async {
            tokio::time::sleep_until(due.into()).await;
            evidence.wait_until_recent(&process).await;
        };
        tokio::select! {
            // Checked first: after a stall of this VM the reservation has expired.
            biased;
            () = tokio::time::sleep_until(limit.into()) => {
                let Some(expires) = renewals.iter().map(Renewal::expires).min() else { return };
                if !evidence.has_events(limit, expires).await {
                    break;
                }
                let now = process.now();
                renewals.iter_mut().for_each(|renewal| renewal.resume(now));
                continue;
            }
            () = ready => {}
        }
        let now = process.now();
        let due = renewals.iter_mut().zip(reservations.iter()).filter(|(r, _)| r.due() <= now);
        join_all(due.map(|(renewal, reservation)| renew_one(&process, renewal, reservation))).await;
    }
    let first = renewals.iter().zip(reservations.iter()).min_by_key(|(r, _)| r.expires());
    if let Some((_, reservation)) = first {
        evidence.record_expired(&process, &reservation.upstream);
    }
}

async fn renew_one<D: Dialect>(
    process: &Arc<Process<D>>,
    renewal: &mut Renewal,
    reservation: &Reservation,
) {
    let sent = process.now();
    let outcome = match reserve(process, reservation).await {
        Ok(()) => Outcome::Renewed,
        Err(failure) => {
            if process.problem_lines.admit(process.now()).is_some() {
                let Reservation { reservation_id, upstream, .. } = reservation;
                let what = format!("{reservation_id} at {upstream}: {failure}");
                log::event(&process.log, Event::RenewalFailed, what);
            }
            match failure {
                memory::Failure::Insufficient => Outcome::Refused,
                memory::Failure::Unconfirmed(_) => Outcome::Unconfirmed,
            }
        }
    };
    renewal.on_order(outcome, sent, process.now());
}

async fn reserve<D: Dialect>(
    process: &Arc<Process<D>>,
    reservation: &Reservation,
) -> Result<(), memory::Failure> {
    let ttl = process.config.fleet.reservation_time();
    let incarnation = notices::incarnation(process, &reservation.upstream);
    count_order(process, reservation);
    let sent = process.now();
    let Annotated { notice, value: result } =
        process.memory.reserve(&Calls(process), reservation, ttl).await;
    notices::apply(process, &reservation.upstream, incarnation, sent, notice);
    result
}

/// Counts a reservation order that is about to be sent, against the upstream's rate limit too.
fn count_order<D: Dialect>(process: &Process<D>, reservation: &Reservation) {
    process.metrics.count_upstream_messages(Sent::Order, 1);
    process.cluster.lock().unwrap().record_unscheduled(&reservation.upstream, process.now());
}

async fn release_all<D: Dialect>(process: Arc<Process<D>>, reservations: Arc<Vec<Reservation>>) {
    join_all(reservations.iter().map(|r| release(&process, r))).await;
}

async fn release<D: Dialect>(process: &Arc<Process<D>>, reservation: &Reservation) {
    let mut last = None;
    for _ in 0..MAX_RELEASES {
        let incarnation = notices::incarnation(process, &reservation.upstream);
        count_order(process, reservation);
        let sent = process.now();
        let Annotated { notice, value: result } =
            process.memory.release(&Calls(process), reservation).await;
        notices::apply(process, &reservation.upstream, incarnation, sent, notice);
        match result {
            Ok(()) => return,
            Err(failure) => last = Some(failure),
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    let why = last.map_or_else(String::new, |failure| failure.to_string());
    let what = format!("{} at {}: {why}", reservation.reservation_id, reservation.upstream);
    log::event(&process.log, Event::ReleaseFailed, what);
}
