//! Connections to upstreams, kept by instance: a connection to one instance is never used for
//! another that has taken over its address.
//!
//! Nothing is sent again by itself here, and each failure says whether the request can have left.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use bytes::Bytes;
use foldlock_base::prelude::*;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::http::chain;

/// Idle connections that are kept to one upstream.
const MOST_IDLE: usize = 8;

/// The largest head of an answer, and so the read buffer of a connection, bytes.
const READ_BUFFER: usize = 64 << 10;

/// Why an attempt brought no answer.
#[derive(Debug)]
pub enum Failure {
    /// Nothing listens at the address: the process that did has ended.
    Refused(String),
    /// No byte of the request was sent.
    Unsent(String),
    /// The request may have arrived.
    Broken(String),
}

/// A connection to an upstream, for one request at a time.
pub struct Channel {
    sender: SendRequest<Full<Bytes>>,
}

struct Idle {
    channel: Channel,
    since: Instant,
    until: Instant,
}

/// The idle connections.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<id::Upstream, Vec<Idle>>>,
}

impl Channel {
    /// Connects to `address` within `timeout`.
    pub async fn open(address: &str, timeout: Duration) -> Result<Channel, Failure> {
        let connected = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            Ok::<_, std::io::Error>(stream)
        };
        let stream = match tokio::time::timeout(timeout, connected).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => {
                return Err(Failure::Refused(e.to_string()));
            }
            Ok(Err(e)) => return Err(Failure::Unsent(e.to_string())),
            Err(_) => {
                let ms = timeout.as_millis();
                return Err(Failure::Unsent(format!("no connection in {ms} ms")));
            }
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| Failure::Unsent(chain(&e)))?;
        // Ends with the connection; what went wrong reaches the request that uses it.
        tokio::spawn(connection);
        Ok(Channel { sender })
    }

    /// Sends a request and gives the answer once its head is there.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Failure> {
        self.sender.try_send_request(request).await.map_err(|mut e| {
            let unsent = e.take_message().is_some();
            let why = chain(e.error());
            if unsent { Failure::Unsent(why) } else { Failure::Broken(why) }
        })
    }

    fn usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }
}

impl Pool {
    /// An idle connection that has rested for less than `rest`; the one that rested least.
    pub fn take(&self, upstream: &id::Upstream, rest: Duration, now: Instant) -> Option<Channel> {
        let mut idle = self.idle.lock().unwrap();
        let kept = idle.get_mut(upstream)?;
        kept.retain(|i| i.until > now && i.channel.usable());
        let last = kept.pop_if(|i| now.saturating_duration_since(i.since) < rest);
        if kept.is_empty() {
            idle.remove(upstream);
        }
        last.map(|i| i.channel)
    }

    /// The upstreams to which a connection is kept that rested for less than `rest`.
    pub fn kept(&self, rest: Duration, now: Instant) -> Vec<id::Upstream> {
        let idle = self.idle.lock().unwrap();
        let serves = |i: &Idle| {
            i.until > now && now.saturating_duration_since(i.since) < rest && i.channel.usable()
        };
        idle.iter().filter(|(_, kept)| kept.iter().any(serves)).map(|(id, _)| id.clone()).collect()
    }

    /// Keeps a connection whose answer was read to its end, for `keep` at most.
    pub fn keep(&self, upstream: &id::Upstream, channel: Channel, keep: Duration, now: Instant) {
        let mut idle = self.idle.lock().unwrap();
        let kept = idle.entry(upstream.clone()).or_default();
        kept.retain(|i| i.until > now && !i.channel.sender.is_closed());
        if kept.len() < MOST_IDLE && !channel.sender.is_closed() {
            kept.push(Idle { channel, since: now, until: now + keep });
        }
    }

    /// Closes the idle connections to an upstream.
    pub fn forget(&self, upstream: &id::Upstream) {
        self.idle.lock().unwrap().remove(upstream);
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.lock().unwrap().clear();
    }

    /// Closes what has rested too long.
    pub fn sweep(&self, now: Instant) {
        self.idle.lock().unwrap().retain(|_, kept| {
            kept.retain(|i| i.until > now && !i.channel.sender.is_closed());
            !kept.is_empty()
        });
    }

    /// The number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.lock().unwrap().values().map(Vec::len).sum()
    }

    /// Whether there is no idle connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
