//! The HTTP client shared by the clients of engines and of the platform.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::framing::{self, BodyEnd};
use crate::keepalive;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 256;

/// Maximum size of a response that is collected whole, bytes. The body may have no end.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Why a call got no response.
#[derive(Debug)]
pub enum Failure {
    /// The connection could not be opened; nothing was sent.
    Connect(String),
    /// The connection failed or the call timed out; the call may have run.
    Broken(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Connect(why) => write!(f, "cannot connect: {why}"),
            Failure::Broken(why) => write!(f, "connection broken: {why}"),
        }
    }
}

impl std::error::Error for Failure {}

/// A client with a connection pool. It retries a request only if the pooled connection turns out to
/// be closed before a byte was written. A connection whose response was not read to its end is
/// closed and never reused.
#[derive(Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Client::new(HttpConnector::new())
    }
}

impl Client {
    /// A client for upstreams whose responses may be silent for longer than any timeout: a connection whose other end is gone
    /// is closed by TCP keep-alive, while one to a silent process stays open.
    pub fn with_keepalive() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_keepalive(Some(keepalive::INTERVAL));
        connector.set_keepalive_interval(Some(keepalive::INTERVAL));
        connector.set_keepalive_retries(Some(keepalive::PROBES));
        Client::new(connector)
    }

    fn new(mut connector: HttpConnector) -> Client {
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_PER_ADDRESS)
            .retry_canceled_requests(true)
            .build(connector);
        Client { pool }
    }

    /// Sends a request and returns the response once its headers have been received.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Failure> {
        let response = self.pool.request(request).await.map_err(|e| {
            let why = chain(&e);
            if e.is_connect() { Failure::Connect(why) } else { Failure::Broken(why) }
        })?;
        framing::check(&response).map_err(|fault| Failure::Broken(fault.to_string()))?;
        Ok(response)
    }

    /// Sends a request and returns the complete response, all within `timeout`.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        let whole = async {
            let (head, body) = self.send(request).await?.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|e| Failure::Broken(chain(&*e)))?.to_bytes();
            let body_end = BodyEnd::of(&head);
            body_end.check(&body).map_err(|fault| Failure::Broken(fault.to_string()))?;
            Ok(Response::from_parts(head, body))
        };
        match tokio::time::timeout(timeout, whole).await {
            Ok(response) => response,
            Err(_) => {
                Err(Failure::Broken(format!("no response within {} ms", timeout.as_millis())))
            }
        }
    }
}

/// Formats an error and its causes on one line.
pub fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        source = inner.source();
    }
    text
}

/// Creates a request body.
pub fn body(bytes: impl Into<Bytes>) -> Full<Bytes> {
    Full::new(bytes.into())
}
