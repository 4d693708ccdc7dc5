//! A VM of a fleet. It serves routes selected by host and path, treats bodies as opaque, and reads
//! settings, upstreams and VMs from a directory.
//!
//! Two traits adapt it to the platform: [`Dialect`] for HTTP headers and [`Directory`] for stored
//! entries. A request passes through [`callers`], [`serve`], [`admit`], [`queue`] (placement),
//! [`race`], with one [`attempt`] or several, and, if its response is a stream, [`events`].

pub mod activity;
pub mod admit;
pub mod affiliation;
pub mod announce;
pub mod answer;
pub mod attempt;
pub mod callers;
pub mod calls;
pub mod changes;
pub mod compression;
pub mod config;
pub mod contact;
pub mod crash;
pub mod crash_sync;
pub mod decisions;
pub mod dial;
pub mod events;
pub mod freshness;
pub mod grant_requests;
pub mod headers;
pub mod heartbeat;
pub mod job;
pub mod join;
pub mod listen;
pub mod liveness;
pub mod log_throttle;
pub mod members;
pub mod metrics;
pub mod notices;
pub mod operators;
pub mod outcome;
pub mod peer_sync;
pub mod peers;
pub mod pending_grants;
pub mod process;
pub mod progress;
pub mod queue;
pub mod race;
pub mod rate_limits;
pub mod read_pace;
pub mod record;
pub mod reports;
pub mod reservations;
pub mod resume;
pub mod resync;
pub mod retry;
pub mod scheduler;
pub mod serve;
pub mod silence;
pub mod stop;
pub mod stream;
pub mod supervisor;
pub mod suspended;
pub mod tunnel_client;
pub mod tunnel_server;
pub mod tunnels;
pub mod unread;
pub mod unreadable;
pub mod unsent;
pub mod watch;
pub mod withdraw;
pub mod withdrawals;
pub mod write_queue;
pub mod writer;

use std::sync::Arc;

use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use foldlock_request::directory::Directory;
use slog::Logger;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::{log, reload};
use config::Config;
use process::Process;

/// Serves until the process receives the signal to stop, then until all requests have ended or the stop
/// timeout expires. Fails if a panic has poisoned the state that all requests share.
pub async fn run<D: Dialect, R: Directory>(
    config: Config,
    directory: R,
    log: Logger,
) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    reload::unblock_signal()?;
    let process = start::<D, R>(config, directory.clone(), log).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => process.reload(),
            () = process.failed.cancelled() => {
                return Err(std::io::Error::other("a panic has poisoned the shared state"));
            }
        }
    }
    stop::run(&process, &directory).await;
    Ok(())
}

/// Binds the listeners and starts all tasks of the process.
pub async fn start<D: Dialect, R: Directory>(
    config: Config,
    directory: R,
    log: Logger,
) -> std::io::Result<Arc<Process<D>>> {
    let fleet = config.fleet.clone();
    let listeners = Listeners {
        callers: listen::tcp(config.listen, &log).await?,
        ready: listen::tcp(fleet.ready, &log).await?,
        control: listen::tcp(fleet.peers, &log).await?,
        metrics: match fleet.metrics {
            Some(address) => Some(listen::tcp(address, &log).await?),
            None => None,
        },
    };
    let socket = listen::udp(fleet.peers, &log).await?;
    let process = Arc::new(Process::<D>::new(config, socket, log));
    start_listeners(&process, listeners);
    start_tasks(&process, &directory);
    let what = format!("incarnation {}, listen {}", process.member.incarnation, fleet.peers);
    log::event(&process.log, Event::Started, what);
    Ok(process)
}

/// The listeners of a VM.
struct Listeners {
    /// For callers.
    callers: TcpListener,
    /// For readiness checks.
    ready: TcpListener,
    /// For operators and peers.
    control: TcpListener,
    /// For the metrics alone, if they have an address of their own.
    metrics: Option<TcpListener>,
}

fn start_listeners<D: Dialect>(process: &Arc<Process<D>>, listeners: Listeners) {
    let Listeners { callers, ready, control, metrics } = listeners;
    supervisor::spawn_with(process, Arc::new(callers), "callers", callers::run);
    supervisor::spawn_with(process, Arc::new(ready), "readiness", operators::ready);
    supervisor::spawn_with(process, Arc::new(control), "operators and peers", operators::run);
    if let Some(metrics) = metrics {
        supervisor::spawn_with(process, Arc::new(metrics), "metrics", operators::run);
    }
}

fn start_tasks<D: Dialect, R: Directory>(process: &Arc<Process<D>>, directory: &R) {
    supervisor::spawn_with(process, directory.clone(), "heartbeats", heartbeat::run);
    supervisor::spawn_with(process, directory.clone(), "watch", watch::run);
    supervisor::spawn_with(process, directory.clone(), "registration", watch::register);
    supervisor::spawn_with(process, directory.clone(), "withdrawals", withdraw::run);
    supervisor::spawn_with(process, directory.clone(), "directory writes", writer::run);
    supervisor::spawn(process, "scheduler", scheduler::run);
    supervisor::spawn(process, "idle connections", process::sweep);
    supervisor::spawn(process, "reports", reports::run);
    supervisor::spawn(process, "crash log", crash_sync::run);
    supervisor::spawn(process, "suspensions", suspended::run);
    supervisor::spawn(process, "poisoned state", supervisor::run);
}
