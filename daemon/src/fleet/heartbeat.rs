//! Sends heartbeats to the peers and handles messages from them.
//!
//! A VM announces its in-flight attempts to the scheduler and its standbys shortly after a change.
//! These send back heartbeats with the age of their settings and listings. The number of messages
//! therefore grows linearly with the requests and the VMs, not with the square of the VMs.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_request::cluster::Restart;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::Directory;
use foldlock_request::message::{self, Heartbeat, Message, State};
use foldlock_request::step;

use crate::fleet::announce::{self, Audience};
use crate::fleet::peers::{Timing, Update};
use crate::fleet::process::Process;
use crate::fleet::{
    compression, crash_sync, grant_requests, members, notices, peer_sync, rate_limits, reports,
    resync, scheduler,
};
use crate::log;

/// The minimum time between two heartbeats to the scheduler. Attempts that begin and end within it
/// are announced together, so a VM sends at most 200 datagrams per second.
const SCHEDULER_MIN_INTERVAL: Duration = Duration::from_millis(5);

/// The minimum time between two heartbeats to the standby schedulers.
const STANDBY_MIN_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum number of datagrams that are read before the resulting changes are announced.
const MAX_DATAGRAMS_PER_WAKE: usize = 64;

/// When the last heartbeat was sent, by audience.
struct LastSent {
    scheduler: Instant,
    standby: Instant,
    all: Instant,
}

/// Exchanges heartbeats with the peers until the process ends.
pub async fn run<D: Dialect, R: Directory>(process: Arc<Process<D>>, directory: R) {
    let mut buffer = vec![0; message::MAX_BYTES];
    let now = process.now();
    let mut last_sent = LastSent { scheduler: now, standby: now, all: now };
    let mut due = true;
    loop {
        let timing = process.peers.timing();
        let next = last_sent.next(due, process.announce_to_all.load(Ordering::Relaxed), timing);
        tokio::select! {
            received = process.socket.recv_from(&mut buffer) => {
                if let Ok((length, from)) = received {
                    receive(&process, &buffer[..length], from, &directory);
                    receive_pending(&process, &mut buffer, &directory);
                }
                // An error means that a peer's port is closed; its timeout is handled below.
            }
            () = process.announce.notified(), if !due => due = true,
            () = tokio::time::sleep_until(next.into()) => {
                let now = process.now();
                mark_down(&process, now);
                scheduler::record_size(&process, now);
                let audience =
                    last_sent.audience(process.announce_to_all.load(Ordering::Relaxed), timing, now);
                if audience == Audience::All {
                    process.announce_to_all.store(false, Ordering::Relaxed);
                }
                // The standby schedulers receive what they missed with the next heartbeat.
                due = false;
                let mut remainder = announce::start(&process, audience, now);
                while let Some(batch) = remainder {
                    remainder = batch.send_batch(&process);
                    receive_pending(&process, &mut buffer, &directory);
                }
            }
        }
    }
}

impl LastSent {
    /// When the next heartbeat is due.
    fn next(&self, due: bool, all: bool, timing: Timing) -> Instant {
        let mut next = self.all + timing.heartbeat_interval();
        if due {
            next = next.min(self.scheduler + SCHEDULER_MIN_INTERVAL);
        }
        if all {
            next = next.min(
                (self.all + timing.broadcast_interval())
                    .max(self.scheduler + SCHEDULER_MIN_INTERVAL),
            );
        }
        next
    }

    /// Returns the recipients of the heartbeat that is due now, and records it as sent.
    fn audience(&mut self, all: bool, timing: Timing, now: Instant) -> Audience {
        self.scheduler = now;
        let since_broadcast = now.saturating_duration_since(self.all);
        if since_broadcast >= timing.heartbeat_interval()
            || all && since_broadcast >= timing.broadcast_interval()
        {
            (self.standby, self.all) = (now, now);
            return Audience::All;
        }
        if now.saturating_duration_since(self.standby) >= STANDBY_MIN_INTERVAL {
            self.standby = now;
            return Audience::Standby;
        }
        Audience::Scheduler
    }
}

fn receive_pending<D: Dialect, R: Directory>(
    process: &Arc<Process<D>>,
    buffer: &mut [u8],
    directory: &R,
) {
    for _ in 0..MAX_DATAGRAMS_PER_WAKE {
        let Ok((length, from)) = process.socket.try_recv_from(buffer) else { return };
        receive(process, &buffer[..length], from, directory);
    }
}

fn receive<D: Dialect, R: Directory>(
    process: &Arc<Process<D>>,
    bytes: &[u8],
    from: std::net::SocketAddr,
    directory: &R,
) {
    match message::decode(bytes) {
        Ok(Message::Heartbeat(heartbeat)) => on_heartbeat(process, &heartbeat, directory),
        Ok(Message::GrantRequest(request)) => scheduler::on_grant_request(process, &request, from),
        Ok(Message::Cancelled(number)) => scheduler::on_cancel(process, number, from),
        Ok(Message::GrantReply(reply)) => grant_requests::on_reply(process, reply, from),
        Ok(Message::Poll(upstream)) => reports::on_poll(process, upstream),
        Ok(Message::RateLimits(limits)) => {
            if let Some(peer) = process.peers.by_address(from) {
                rate_limits::on_announcement(process, &limits, &peer.vm, from);
            }
        }
        Ok(Message::Crashes(crashes)) => {
            if process.peers.by_address(from).is_some() {
                crash_sync::merge(process, crashes);
            }
        }
        Err(e) => log::event(&process.log, Event::MessageUnreadable, e),
    }
}

fn on_heartbeat<D: Dialect, R: Directory>(
    process: &Arc<Process<D>>,
    heartbeat: &Heartbeat,
    directory: &R,
) {
    let now = process.now();
    let state = &heartbeat.state;
    // A restarted VM is a new subscriber although its previous incarnation was one.
    let was_new = process.peers.is_new_subscriber(&state.vm, now);
    let Some(update) = process.peers.on_heartbeat(heartbeat, now) else { return };
    // An echo of an earlier incarnation of this process confirms nothing for this one.
    let echoes_own_incarnation = heartbeat.echo_of == process.member.incarnation;
    if echoes_own_incarnation {
        confirm(process, heartbeat);
    }
    if state.leaving {
        members::on_leaving(process, &state.vm, state.withdraw);
    }
    // It uses another scheduler until it has received a heartbeat of this VM, and cannot accept keys
    // without settings.
    let is_new = was_new || update == Update::Restarted;
    if heartbeat.requests_heartbeats && (is_new || state.version == 0) {
        announce::to_new_peer(process, &state.vm);
    }
    if heartbeat.is_client {
        scheduler::on_client_heartbeat(process, &state.vm, now);
    }
    merge_steps(process, state);
    resync::start(process, directory);
    for Restart { upstream, born } in &state.restarts {
        reports::on_restart(process, upstream, *born, &state.vm);
    }
    for incarnation in &state.leaving_upstreams {
        notices::mark_leaving(process, *incarnation, &state.vm);
    }
    for limit in &state.rate_limits {
        rate_limits::merge(process, *limit, &state.vm);
    }
    if let Some(activity) = &state.activity
        && !activity.promises.is_empty()
    {
        process.scheduler.lock().unwrap().promises.merge(&activity.promises, now);
    }
    let mut cluster = process.cluster.lock().unwrap();
    if update == Update::Restarted {
        cluster.remove_peer(&state.vm, now);
    }
    let Some(activity) = &state.activity else { return };
    cluster.merge_outcomes(&state.vm, &activity.outcomes, now);
    cluster.merge_reports(&activity.reports, now);
    cluster.quarantine.merge(&activity.suspects, now);
    cluster.merge_dispatches(&state.vm, &activity.dispatches, now);
    let granted = if echoes_own_incarnation { heartbeat.last_grant } else { 0 };
    let room = cluster.merge_flights(&state.vm, &activity.flights, granted, now);
    drop(cluster);
    if room || !activity.suspects.is_empty() {
        process.cluster_changed.notify_one();
    }
}

/// Merges directory changes from a peer that watches the directory, if they continue from the own
/// revision. A VM that missed some reads the whole listing from a peer.
fn merge_steps<D: Dialect>(process: &Arc<Process<D>>, state: &State) {
    if state.steps.is_empty() {
        return;
    }
    let steps = compression::decompress(&state.steps)
        .and_then(|bytes| step::decode(&bytes).map_err(|e| e.to_string()));
    match steps {
        Ok(steps) => {
            steps.into_iter().for_each(|step| peer_sync::merge_step(process, step, &state.vm))
        }
        Err(why) => log::event(&process.log, Event::MessageUnreadable, why),
    }
}

/// Confirms the own settings: the peer had last confirmed the same version `age_ms` before it sent
/// this heartbeat, and it sent the heartbeat after this VM had sent the stamp that it echoes. If
/// this VM does not have that version yet, the confirmation counts once it does.
fn confirm<D: Dialect>(process: &Process<D>, heartbeat: &Heartbeat) {
    let (Some(echo), Some(age_ms)) = (heartbeat.echo, heartbeat.state.age_ms) else { return };
    let State { vm, version, .. } = &heartbeat.state;
    if *version == 0 {
        return;
    }
    let sent = process.peers.stamped(echo);
    let Some(at) = sent.before(Duration::from_millis(age_ms)) else { return };
    // Recorded before the comparison: settings that come into force meanwhile find it.
    process.peers.record_confirmation(vm, *version, at);
    if *version == process.version() {
        process.confirm(at);
    }
}

fn mark_down<D: Dialect>(process: &Process<D>, now: Instant) {
    for vm in process.peers.mark_down(now) {
        process.cluster.lock().unwrap().remove_peer(&vm, now);
        log::event(&process.log, Event::PeerDown, vm);
    }
}
