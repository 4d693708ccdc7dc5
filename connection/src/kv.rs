//! HTTP client of the platform's key-value service.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use foldlock_version::store::{Entry, Failure, Store};
use hyper::{Method, Request, Response};

use crate::http::{Client, body};

/// Response header with the revision of a key.
pub const REVISION: &str = "x-revision";

/// Request header with the revision that a write expects the key to be at.
pub const EXPECT: &str = "x-expect";

/// Timeout of a call, apart from the wait time of a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Counters of calls, for metrics and for tests that bound the number of calls.
#[derive(Debug, Default)]
pub struct Calls {
    /// Reads, including watches.
    pub reads: AtomicU64,
    /// Writes and deletions.
    pub writes: AtomicU64,
    /// Calls that failed or were rate limited; revision conflicts are not counted.
    pub failures: AtomicU64,
}

/// The key-value service over HTTP.
#[derive(Clone)]
pub struct HttpStore {
    client: Client,
    address: Arc<str>,
    calls: Arc<Calls>,
}

impl HttpStore {
    /// Creates a client of the service at `address` (`IP:port`).
    pub fn new(client: Client, address: &str) -> HttpStore {
        HttpStore { client, address: address.into(), calls: Arc::default() }
    }

    /// Counters of the calls made so far.
    pub fn calls(&self) -> &Calls {
        &self.calls
    }

    async fn call(
        &self,
        method: Method,
        key: &str,
        query: &str,
        expect: Option<u64>,
        value: Vec<u8>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        let count = if method == Method::GET { &self.calls.reads } else { &self.calls.writes };
        count.fetch_add(1, Ordering::Relaxed);
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}/kv/{key}{query}", self.address));
        if let Some(expect) = expect {
            request = request.header(EXPECT, expect);
        }
        let request = request
            .body(body(value))
            .map_err(|e| Failure::Unavailable(format!("bad key {key:?}: {e}")))?;
        let response = self.client.call(request, timeout).await;
        let response = response.map_err(|e| Failure::Unavailable(e.to_string()));
        let result = response.and_then(|response| match response.status().as_u16() {
            200 | 304 | 404 => Ok(response),
            409 => Err(Failure::Conflict),
            429 => Err(Failure::RateLimited),
            status => Err(Failure::Unavailable(format!("status {status}"))),
        });
        if matches!(result, Err(Failure::Unavailable(_) | Failure::RateLimited)) {
            self.calls.failures.fetch_add(1, Ordering::Relaxed);
        }
        result
    }
}

fn revision(response: &Response<Bytes>) -> Result<u64, Failure> {
    response
        .headers()
        .get(REVISION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.parse().ok())
        .ok_or_else(|| Failure::Unavailable("the response has no revision header".to_owned()))
}

fn entry(response: Response<Bytes>) -> Result<Option<Entry>, Failure> {
    if response.status().as_u16() != 200 {
        return Ok(None);
    }
    let revision = revision(&response)?;
    Ok(Some(Entry { value: response.into_body().to_vec(), revision }))
}

impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Failure> {
        entry(self.call(Method::GET, key, "", None, Vec::new(), CALL_TIMEOUT).await?)
    }

    async fn swap(&self, key: &str, expected: u64, value: Vec<u8>) -> Result<u64, Failure> {
        let response = self.call(Method::PUT, key, "", Some(expected), value, CALL_TIMEOUT).await?;
        revision(&response)
    }

    async fn delete(&self, key: &str, expected: u64) -> Result<(), Failure> {
        self.call(Method::DELETE, key, "", Some(expected), Vec::new(), CALL_TIMEOUT).await?;
        Ok(())
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<Entry>, Failure> {
        let query = format!("?after={after}&wait_ms={}", wait.as_millis());
        let timeout = wait + CALL_TIMEOUT;
        entry(self.call(Method::GET, key, &query, None, Vec::new(), timeout).await?)
    }
}
