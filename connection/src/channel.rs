//! Connections to upstreams, pooled by upstream id: a connection to one upstream is never used for
//! another that has taken over its address.
//!
//! Requests are never retried here. Each failure says whether the request may have been sent.

use std::collections::HashMap;
use std::future::poll_fn;
use std::io::ErrorKind;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use foldlock_base::prelude::*;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::framing::{self, BodyEnd};
use crate::http::chain;
use crate::keepalive;
use crate::progress_limit::{Budget, Limited};
use crate::tunnel::Tunnel;

/// Maximum number of idle connections to one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 8;

/// Size limit of a connection's read buffer, and so of a response head, bytes.
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;

/// Bytes that may be received until the head of a response is complete, or the next part of its body. The HTTP client reads
/// ahead of what it returns, by a buffer or two.
const MAX_RECEIVED_WITHOUT_PROGRESS: usize = 4 * MAX_READ_BUFFER_BYTES;

/// How a response begins, so that bytes behind another response may be one.
const RESPONSE_START: &[u8] = b"HTTP/1.";

/// Why an attempt got no response.
#[derive(Debug)]
pub enum Failure {
    /// Connection refused: the process that listened at the address has ended.
    Refused(String),
    /// No byte of the request was sent, so it can be retried safely.
    Unsent(String),
    /// The connection failed after the request may have been sent.
    Broken(String),
}

/// A connection to an upstream, for one request at a time.
///
/// Closed when dropped. Without this, hyper would keep the connection and the rest of a request's body until the
/// upstream has read it.
pub struct Channel {
    sender: SendRequest<Full<Bytes>>,
    connection: AbortHandle,
    /// What may be received before the response makes progress.
    budget: Budget,
    /// Whether bytes were received behind a response that begin no other one.
    has_surplus: Arc<AtomicBool>,
    /// The peer that carries it, if it is a tunnel.
    via: Option<id::Vm>,
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

struct Idle {
    channel: Channel,
    since: Instant,
    /// As the upstream states it, of any length: it is compared with the time elapsed and never added to a point in time.
    timeout: Duration,
}

impl Idle {
    fn time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    fn is_expired(&self, now: Instant) -> bool {
        self.time(now) >= self.timeout
    }
}

/// A pool of idle connections.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<id::Upstream, Vec<Idle>>>,
}

/// Opens a TCP connection to `address` within `timeout`.
pub async fn connect(address: &str, timeout: Duration) -> Result<TcpStream, Failure> {
    let connect = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        keepalive::enable(&stream)?;
        Ok::<_, std::io::Error>(stream)
    };
    match tokio::time::timeout(timeout, connect).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => {
            Err(Failure::Refused(e.to_string()))
        }
        Ok(Err(e)) => Err(Failure::Unsent(e.to_string())),
        Err(_) => {
            let ms = timeout.as_millis();
            Err(Failure::Unsent(format!("connection timed out after {ms} ms")))
        }
    }
}

impl Channel {
    /// Connects to `address` within `timeout`.
    pub async fn open(address: &str, timeout: Duration) -> Result<Channel, Failure> {
        Channel::new(connect(address, timeout).await?).await
    }

    /// Uses a connection that has been established.
    pub async fn new(stream: TcpStream) -> Result<Channel, Failure> {
        Channel::over(stream, None).await
    }

    /// Uses a tunnel through a peer.
    pub async fn through(tunnel: Tunnel, via: id::Vm) -> Result<Channel, Failure> {
        Channel::over(tunnel, Some(via)).await
    }

    async fn over<S>(stream: S, via: Option<id::Vm>) -> Result<Channel, Failure>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let budget = Budget::default();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(Limited::new(stream, budget.clone())))
            .await
            .map_err(|e| Failure::Unsent(chain(&e)))?;
        let has_surplus = Arc::new(AtomicBool::new(false));
        let connection = tokio::spawn(drive(connection, has_surplus.clone())).abort_handle();
        Ok(Channel { sender, connection, budget, has_surplus, via })
    }

    /// The peer that carries the connection, if it is a tunnel.
    pub fn via(&self) -> Option<&id::Vm> {
        self.via.as_ref()
    }

    /// Sends a request and returns the response once its head has been received.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        self.record_progress();
        let response = self.sender.try_send_request(request).await.map_err(|mut e| {
            let unsent = e.take_message().is_some();
            let reason = chain(e.error());
            if unsent { Failure::Unsent(reason) } else { Failure::Broken(reason) }
        })?;
        self.record_progress();
        framing::check(&response).map_err(|fault| Failure::Broken(fault.to_string()))?;
        Ok(response)
    }

    /// Records that a part of the response was received. A response of which too much is received without one is broken.
    pub fn record_progress(&self) {
        self.budget.limit(MAX_RECEIVED_WITHOUT_PROGRESS);
    }

    /// Collects the body of a response that was received here, if it has at most `max_bytes`.
    pub async fn collect(&self, body: Incoming, max_bytes: usize) -> Result<Bytes, Failure> {
        let mut body = http_body_util::Limited::new(body, max_bytes);
        let mut collected = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| Failure::Broken(chain(&*e)))?;
            self.record_progress();
            if let Some(bytes) = frame.data_ref() {
                collected.extend_from_slice(bytes);
            }
        }
        Ok(collected.freeze())
    }

    /// Checks, after the body of a response was received, whether more was sent than its length states: the length may be
    /// damaged, and the body a part.
    pub fn check_end(&self, body_end: BodyEnd) -> Result<(), framing::Fault> {
        let has_surplus = self.has_surplus.load(Ordering::Relaxed);
        if body_end == BodyEnd::Length && has_surplus {
            Err(framing::Fault::Surplus)
        } else {
            Ok(())
        }
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    fn is_usable(&self) -> bool {
        self.sender.is_ready() && !self.is_closed()
    }
}

/// Runs a connection until it ends; errors are returned to the request that uses it. The HTTP client ends a connection on
/// which bytes follow a response.
async fn drive<S>(
    mut connection: Connection<TokioIo<Limited<S>>, Full<Bytes>>,
    has_surplus: Arc<AtomicBool>,
) where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let _ = poll_fn(|context| connection.poll_without_shutdown(context)).await;
    let surplus = connection.into_parts().read_buf;
    let length = surplus.len().min(RESPONSE_START.len());
    has_surplus.store(surplus[..length] != RESPONSE_START[..length], Ordering::Relaxed);
}

impl Pool {
    /// Takes the most recently used connection, if it has been idle for less than `max_idle`.
    pub fn take(
        &self,
        upstream: &id::Upstream,
        max_idle: Duration,
        now: Instant,
    ) -> Option<Channel> {
        let mut idle = self.idle.lock().unwrap();
        let connections = idle.get_mut(upstream)?;
        connections.retain(|i| !i.is_expired(now) && i.channel.is_usable());
        let last = connections.pop_if(|i| i.time(now) < max_idle);
        if connections.is_empty() {
            idle.remove(upstream);
        }
        last.map(|i| i.channel)
    }

    /// The upstreams with a connection that has been idle for less than `max_idle`.
    pub fn idle_upstreams(&self, max_idle: Duration, now: Instant) -> Vec<id::Upstream> {
        let idle = self.idle.lock().unwrap();
        let is_candidate =
            |i: &Idle| !i.is_expired(now) && i.time(now) < max_idle && i.channel.is_usable();
        idle.iter()
            .filter(|(_, connections)| connections.iter().any(is_candidate))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns a connection whose response was read to its end; it is kept for at most
    /// `idle_timeout`. A tunnel is not kept: the next request finds out whether the upstream can be
    /// reached directly again.
    pub fn put(
        &self,
        upstream: &id::Upstream,
        channel: Channel,
        idle_timeout: Duration,
        now: Instant,
    ) {
        if channel.via.is_some() {
            return;
        }
        let mut idle = self.idle.lock().unwrap();
        let connections = idle.entry(upstream.clone()).or_default();
        connections.retain(|i| !i.is_expired(now) && !i.channel.sender.is_closed());
        if connections.len() < MAX_IDLE_PER_UPSTREAM && !channel.sender.is_closed() {
            connections.push(Idle { channel, since: now, timeout: idle_timeout });
        }
    }

    /// Closes the idle connections to an upstream.
    pub fn remove(&self, upstream: &id::Upstream) {
        self.idle.lock().unwrap().remove(upstream);
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.lock().unwrap().clear();
    }

    /// Closes the connections whose idle timeout has passed.
    pub fn remove_expired(&self, now: Instant) {
        self.idle.lock().unwrap().retain(|_, connections| {
            connections.retain(|i| !i.is_expired(now) && !i.channel.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Whether a thread has panicked while it held the lock.
    pub fn is_poisoned(&self) -> bool {
        self.idle.is_poisoned()
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.lock().unwrap().values().map(Vec::len).sum()
    }

    /// Whether the pool has no idle connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
