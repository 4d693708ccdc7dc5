//! Accepts callers' connections and serves each of them in a task of its own.

use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::Mutex;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use foldlock_base::prelude::*;
use foldlock_request::dialect::Dialect;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_io_timeout::TimeoutStream;

use crate::fleet::answer::Body;
use crate::fleet::process::Process;
use crate::fleet::serve;
use crate::fleet::unread::Truncated;
use crate::log;

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Idle timeout of connections that are accepted before the first settings arrive.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Minimum read buffer of a connection; hyper requires at least 8 KiB.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Read buffer of connections that are accepted before the first settings arrive.
const DEFAULT_BUFFER_BYTES: usize = 64 << 10;

/// Number of requests in progress on a connection, and when it last changed.
struct Activity {
    requests: u32,
    last_change: Instant,
}

/// A request in progress on a connection: until its response has been sent, or the connection ends.
struct InProgress<D: Dialect> {
    process: Arc<Process<D>>,
    activity: Arc<Mutex<Activity>>,
}

impl<D: Dialect> InProgress<D> {
    fn begin(process: Arc<Process<D>>, activity: Arc<Mutex<Activity>>) -> InProgress<D> {
        let now = process.now();
        let mut state = activity.lock().unwrap();
        state.requests += 1;
        state.last_change = now;
        drop(state);
        InProgress { process, activity }
    }
}

impl<D: Dialect> Drop for InProgress<D> {
    fn drop(&mut self) {
        let now = self.process.now();
        let mut state = self.activity.lock().unwrap();
        state.requests -= 1;
        state.last_change = now;
    }
}

/// The body of a response, with the request that is in progress while it is sent.
struct Sending<D: Dialect> {
    body: Body,
    _request: InProgress<D>,
}

impl<D: Dialect> HttpBody for Sending<D> {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}

/// Accepts connections until the process ends.
pub async fn run<D: Dialect>(process: Arc<Process<D>>, listener: Arc<TcpListener>) {
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
    // With Nagle's algorithm each event would wait for the acknowledgement of the one before. If
    // the option can't be set, the socket is closed already, and the first read fails.
    let _ = stream.set_nodelay(true);
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(process.config.fleet.write_timeout()));
    let activity = Arc::new(Mutex::new(Activity { requests: 0, last_change: process.now() }));
    let request_begun = Notify::new();
    let service = service_fn(|request| {
        let process = process.clone();
        let (activity, request_begun) = (activity.clone(), &request_begun);
        async move {
            let in_progress = InProgress::begin(process.clone(), activity);
            request_begun.notify_one();
            let response = serve::respond(process, request).await?;
            Ok::<_, Infallible>(response.map(|body| Sending { body, _request: in_progress }))
        }
    });
    let bounds = process.settings().map(|s| *s.table.bounds());
    let buffer =
        bounds.map_or(DEFAULT_BUFFER_BYTES, |b| b.max_header_bytes * 2).max(MIN_BUFFER_BYTES);
    let idle_timeout = bounds.map_or(DEFAULT_IDLE_TIMEOUT, |b| b.idle_timeout);
    let connection = http1::Builder::new()
        .max_buf_size(buffer)
        .serve_connection(TokioIo::new(Box::pin(stream)), service);
    let mut connection = pin!(connection);
    let (mut stopping, mut has_request) = (false, false);
    loop {
        let idle_deadline = idle_deadline(&activity, idle_timeout, process.now());
        tokio::select! {
            // The requests handle errors of the connection themselves.
            _ = connection.as_mut() => return,
            // On shutdown, a new connection is closed only after the response to its first request.
            () = request_begun.notified(), if !has_request => has_request = true,
            () = process.stopping.cancelled(), if !stopping && has_request => {
                stopping = true;
                connection.as_mut().graceful_shutdown();
            }
            () = tokio::time::sleep_until(idle_deadline.into()), if !stopping => {
                if is_idle(&activity, idle_timeout, process.now()) {
                    stopping = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}

/// When the idle timeout expires, unless a request begins or ends before.
fn idle_deadline(activity: &Mutex<Activity>, idle_timeout: Duration, now: Instant) -> Instant {
    let activity = activity.lock().unwrap();
    if activity.requests > 0 {
        now + idle_timeout
    } else {
        (activity.last_change + idle_timeout).max(now)
    }
}

fn is_idle(activity: &Mutex<Activity>, idle_timeout: Duration, now: Instant) -> bool {
    let activity = activity.lock().unwrap();
    activity.requests == 0 && now.saturating_duration_since(activity.last_change) >= idle_timeout
}
