//! Callers' connections: one task for each.

use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_io_timeout::TimeoutStream;

use crate::fleet::process::Process;
use crate::fleet::serve;
use crate::log;

/// The pause after a failed accept, for instance for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a connection may rest before there are settings that say so.
const USUAL_IDLE: Duration = Duration::from_secs(15);

/// The least read buffer of a connection, bytes; hyper asks for 8 KiB at least.
const LEAST_BUFFER: usize = 8 << 10;

/// The read buffer before there are settings, bytes.
const USUAL_BUFFER: usize = 64 << 10;

/// What a connection is doing.
struct Activity {
    requests: u32,
    since: Instant,
}

/// Accepts callers until the process ends.
pub async fn run<D: Dialect>(process: Arc<Process<D>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                process.tasks.spawn(serve_connection(process.clone(), stream));
            }
            Err(e) => {
                log::event(&process.log, Event::AcceptFailed, e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<D: Dialect>(process: Arc<Process<D>>, stream: TcpStream) {
    // Without it each event would wait for the one before it to be acknowledged. A socket that
    // refuses is already closed, and the first read says so.
    let _ = stream.set_nodelay(true);
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(process.config.fleet.write_timeout()));
    let activity = Mutex::new(Activity { requests: 0, since: process.now() });
    let began = Notify::new();
    let service = service_fn(|request| {
        let process = process.clone();
        let (activity, began) = (&activity, &began);
        async move {
            begin(activity, process.now());
            began.notify_one();
            let answer = serve::answer(process.clone(), request).await;
            end(activity, process.now());
            answer
        }
    });
    let bounds = process.settings().map(|s| *s.table.bounds());
    let buffer = bounds.map_or(USUAL_BUFFER, |b| b.max_header_bytes * 2).max(LEAST_BUFFER);
    let idle = bounds.map_or(USUAL_IDLE, |b| b.idle_timeout);
    let connection = http1::Builder::new()
        .max_buf_size(buffer)
        .serve_connection(TokioIo::new(Box::pin(stream)), service);
    let mut connection = pin!(connection);
    let (mut stopping, mut served) = (false, false);
    loop {
        let rested_at = rested_at(&activity, idle, process.now());
        tokio::select! {
            // How a caller's connection ended is seen by its requests.
            _ = connection.as_mut() => return,
            // A connection that was just opened gets its first request answered, and then closed.
            () = began.notified(), if !served => served = true,
            () = process.stopping.cancelled(), if !stopping && served => {
                stopping = true;
                connection.as_mut().graceful_shutdown();
            }
            () = tokio::time::sleep_until(rested_at.into()), if !stopping => {
                if rested(&activity, idle, process.now()) {
                    stopping = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

fn begin(activity: &Mutex<Activity>, now: Instant) {
    let mut activity = activity.lock().unwrap();
    activity.requests += 1;
    activity.since = now;
}

fn end(activity: &Mutex<Activity>, now: Instant) {
    let mut activity = activity.lock().unwrap();
    activity.requests -= 1;
    activity.since = now;
}

/// When the connection will have rested too long, if nothing happens.
fn rested_at(activity: &Mutex<Activity>, idle: Duration, now: Instant) -> Instant {
    let activity = activity.lock().unwrap();
    if activity.requests > 0 { now + idle } else { (activity.since + idle).max(now) }
}

fn rested(activity: &Mutex<Activity>, idle: Duration, now: Instant) -> bool {
    let activity = activity.lock().unwrap();
    activity.requests == 0 && now.saturating_duration_since(activity.since) >= idle
}
