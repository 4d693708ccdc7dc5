//! Memory held at several engines for one attempt: all of it or none, renewed while the attempt
//! lasts, given back however it ends.

use std::sync::Arc;
use std::time::Duration;

use foldlock_base::clock::millis;
use foldlock_base::prelude::*;
use foldlock_request::decision::Decision;
use foldlock_request::dialect::Dialect;
use foldlock_request::memory::{self, Memory, Reservation};
use foldlock_request::notice::Annotated;
use foldlock_request::tag::Tag;
use foldlock_request::terms::Helper;
use futures::future::join_all;

use crate::fleet::grant_requests::Grant;
use crate::fleet::job::Job;
use crate::fleet::metrics::Sent;
use crate::fleet::notices;
use crate::fleet::process::Process;
use crate::log;

/// The pause after an order without an answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// How often giving back is tried; after that the memory lapses by itself.
const MAX_RELEASES: u32 = 6;

/// Memory that an upstream did not set aside.
pub struct ReservationLost {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Why.
    pub fault: memory::Failure,
}

/// The memory of one attempt. It is given back when this is dropped.
pub struct Hold<D: Dialect> {
    process: Arc<Process<D>>,
    reservations: Arc<Vec<Reservation>>,
    renewal: Option<tokio::task::JoinHandle<()>>,
}

impl<D: Dialect> Hold<D> {
    /// Sets aside the memory that a placement counts on at its helpers.
    pub async fn take(job: &Arc<Job<D>>, grant: &Grant) -> Result<Hold<D>, ReservationLost> {
        let reservations = Arc::new(reservations(job, grant));
        let mut hold = Hold {
            process: job.process.clone(),
            reservations: reservations.clone(),
            renewal: None,
        };
        if reservations.is_empty() {
            return Ok(hold);
        }
        let started = job.process.now();
        let start = |r: &Reservation| notices::incarnation(&job.process, &r.upstream);
        let starts: Vec<Tag> = reservations.iter().map(start).collect();
        let memory = &job.process.memory;
        let time = job.process.config.fleet.reservation_time();
        reservations.iter().for_each(|reservation| note_order(&job.process, reservation));
        let sent = job.process.now();
        let answers = join_all(reservations.iter().map(|r| memory.reserve(r, time))).await;
        for ((reservation, start), Annotated { notice, value: answer }) in
            reservations.iter().zip(starts).zip(answers)
        {
            notices::apply(&job.process, &reservation.upstream, start, sent, notice);
            // What was set aside is given back as `hold` is dropped.
            let upstream = reservation.upstream.clone();
            answer.map_err(|fault| ReservationLost { upstream, fault })?;
        }
        let engines = reservations.iter().map(|r| r.upstream.clone()).collect();
        let waited_ms = millis(job.process.now().saturating_duration_since(started));
        job.record(Decision::Reserved { engines, waited_ms });
        hold.renewal = Some(tokio::spawn(renew(job.process.clone(), reservations)));
        Ok(hold)
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty()
    }

    /// The helpers of a placement with their tickets.
    pub fn helpers(&self, grant: &Grant) -> Vec<Helper> {
        let ticket = |upstream: &id::Upstream| {
            let reservation = self.reservations.iter().find(|r| r.upstream == *upstream)?;
            Some(reservation.reservation_id.clone())
        };
        let helpers = grant.placement.flight.helpers.iter().zip(&grant.helpers);
        helpers
            .map(|(helping, address)| Helper {
                address: address.clone(),
                reservation_id: ticket(&helping.upstream),
            })
            .collect()
    }
}

impl<D: Dialect> Drop for Hold<D> {
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
    let held = helpers.filter(|(helping, _)| helping.reserved > 0);
    held.map(|(helping, address)| Reservation {
        upstream: helping.upstream.clone(),
        address: address.clone(),
        reservation_id: job.process.reservation_id(),
        tokens: Tokens(helping.reserved),
    })
    .collect()
}

async fn renew<D: Dialect>(process: Arc<Process<D>>, reservations: Arc<Vec<Reservation>>) {
    loop {
        tokio::time::sleep(process.config.fleet.renewal_interval()).await;
        join_all(reservations.iter().map(|r| renew_one(&process, r))).await;
    }
}

async fn renew_one<D: Dialect>(process: &Process<D>, reservation: &Reservation) {
    if let Err(fault) = reserve(process, reservation).await {
        let what = format!("{} at {}: {fault}", reservation.reservation_id, reservation.upstream);
        log::event(&process.log, Event::RenewalFailed, what);
        tokio::time::sleep(RETRY_INTERVAL).await;
        // The last try within the hold; without it the engine cuts the request, which is seen.
        let _ = reserve(process, reservation).await;
    }
}

async fn reserve<D: Dialect>(
    process: &Process<D>,
    reservation: &Reservation,
) -> Result<(), memory::Failure> {
    let time = process.config.fleet.reservation_time();
    let start = notices::incarnation(process, &reservation.upstream);
    note_order(process, reservation);
    let sent = process.now();
    let Annotated { notice, value: answer } = process.memory.reserve(reservation, time).await;
    notices::apply(process, &reservation.upstream, start, sent, notice);
    answer
}

/// Counts an order that is about to be sent.
fn note_order<D: Dialect>(process: &Process<D>, reservation: &Reservation) {
    process.metrics.count_upstream_messages(Sent::Order, 1);
    process.cluster.lock().unwrap().record_unscheduled(&reservation.upstream, process.now());
}

async fn release_all<D: Dialect>(process: Arc<Process<D>>, reservations: Arc<Vec<Reservation>>) {
    join_all(reservations.iter().map(|r| release(&process, r))).await;
}

async fn release<D: Dialect>(process: &Process<D>, reservation: &Reservation) {
    let mut last = None;
    for _ in 0..MAX_RELEASES {
        let start = notices::incarnation(process, &reservation.upstream);
        note_order(process, reservation);
        let sent = process.now();
        let Annotated { notice, value: answer } = process.memory.release(reservation).await;
        notices::apply(process, &reservation.upstream, start, sent, notice);
        match answer {
            Ok(()) => return,
            Err(fault) => last = Some(fault),
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    let why = last.map_or_else(String::new, |fault| fault.to_string());
    let what = format!("{} at {}: {why}", reservation.reservation_id, reservation.upstream);
    log::event(&process.log, Event::ReleaseFailed, what);
}
