//! The key-value service: compare-and-swap, leases and watches under rate limits that count every
//! call, with injected outages, latency and responses lost after the write.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foldlock_connection::kv::{EXPECT, REVISION};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::server::{self, Body, Handle, header, json, query, text};

/// Maximum size of a value in bytes.
const MAX_VALUE_LEN: usize = 1 << 20;

/// Settings of the service; they can be changed while it runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Rate limit of writes per second; 0 for no limit.
    pub writes_per_s: f64,
    /// Rate limit of reads and watches per second; 0 for no limit.
    pub reads_per_s: f64,
    /// Latency of each call in milliseconds.
    pub delay_ms: u64,
    /// Whether the service is down: calls hang until the client times out.
    pub down: bool,
    /// Number of next writes that take effect without a response.
    pub lose_answers: u32,
    /// Every n-th write takes effect without a response; 0 for none.
    pub lose_each: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            writes_per_s: 100.0,
            reads_per_s: 2000.0,
            delay_ms: 0,
            down: false,
            lose_answers: 0,
            lose_each: 0,
        }
    }
}

/// Counters of the calls so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Number of reads and watches.
    pub reads: u64,
    /// Number of writes.
    pub writes: u64,
    /// Number of calls refused by a rate limit.
    pub limited: u64,
    /// Number of keys.
    pub keys: u64,
}

struct Value {
    bytes: Vec<u8>,
    revision: u64,
    lease: Option<u64>,
}

/// A token bucket whose capacity is the tokens of one second.
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    fn take(&mut self, rate: f64) -> bool {
        let now = Instant::now();
        self.tokens = (self.tokens + rate * (now - self.refilled_at).as_secs_f64()).min(rate);
        self.refilled_at = now;
        if rate == 0.0 {
            return true;
        }
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

struct State {
    values: BTreeMap<String, Value>,
    leases: BTreeMap<u64, Instant>,
    revision: u64,
    reads: Bucket,
    writes: Bucket,
    stats: Stats,
    settings: Settings,
}

/// The key-value service.
pub struct Kv {
    state: Mutex<State>,
    changed: Notify,
}

/// A key-value service and its HTTP server.
pub struct Serving {
    /// The key-value service.
    pub kv: Arc<Kv>,
    /// The HTTP server.
    pub server: Handle,
}

/// Serves an empty key-value service on `address`.
pub async fn serve(address: SocketAddr, settings: Settings) -> std::io::Result<Serving> {
    let bucket = |rate| Bucket { tokens: rate, refilled_at: Instant::now() };
    let state = State {
        values: BTreeMap::new(),
        leases: BTreeMap::new(),
        revision: 0,
        reads: bucket(settings.reads_per_s),
        writes: bucket(settings.writes_per_s),
        stats: Stats::default(),
        settings,
    };
    let kv = Arc::new(Kv { state: Mutex::new(state), changed: Notify::new() });
    let handler = {
        let kv = kv.clone();
        move |request| handle(kv.clone(), request)
    };
    Ok(Serving { kv, server: server::serve(address, handler).await? })
}

impl Kv {
    /// Changes the settings.
    pub fn adjust(&self, f: impl FnOnce(&mut Settings)) {
        f(&mut self.state.lock().unwrap().settings);
        self.changed.notify_waiters();
    }

    /// The counters.
    pub fn stats(&self) -> Stats {
        let state = self.state.lock().unwrap();
        Stats { keys: state.values.len() as u64, ..state.stats }
    }

    fn admit(&self, write: bool) -> bool {
        let mut state = self.state.lock().unwrap();
        let State { reads, writes, stats, settings, .. } = &mut *state;
        let allowed = if write {
            stats.writes += 1;
            writes.take(settings.writes_per_s)
        } else {
            stats.reads += 1;
            reads.take(settings.reads_per_s)
        };
        stats.limited += u64::from(!allowed);
        allowed
    }

    fn read(&self, key: &str) -> Option<(Vec<u8>, u64)> {
        let mut state = self.state.lock().unwrap();
        remove_expired(&mut state);
        state.values.get(key).map(|v| (v.bytes.clone(), v.revision))
    }

    /// Writes or deletes a key; returns the new revision, or none on a conflict.
    fn write(
        &self,
        key: &str,
        expect: u64,
        new: Option<Vec<u8>>,
        lease: Option<u64>,
    ) -> Option<u64> {
        let mut state = self.state.lock().unwrap();
        remove_expired(&mut state);
        let current = state.values.get(key).map_or(0, |v| v.revision);
        if current != expect || lease.is_some_and(|l| !state.leases.contains_key(&l)) {
            return None;
        }
        state.revision += 1;
        let revision = state.revision;
        match new {
            Some(bytes) => {
                state.values.insert(key.to_owned(), Value { bytes, revision, lease });
            }
            None => {
                state.values.remove(key);
            }
        }
        drop(state);
        self.changed.notify_waiters();
        Some(revision)
    }

    /// Whether the response to this write is lost.
    fn drops_response(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        let writes = state.stats.writes;
        let settings = &mut state.settings;
        if settings.lose_answers > 0 {
            settings.lose_answers -= 1;
            return true;
        }
        settings.lose_each > 0 && writes.is_multiple_of(settings.lose_each)
    }

    async fn simulate_latency(&self) {
        let (delay, down) = {
            let state = self.state.lock().unwrap();
            (Duration::from_millis(state.settings.delay_ms), state.settings.down)
        };
        if down {
            std::future::pending::<()>().await;
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Option<(Vec<u8>, u64)> {
        let watch = async {
            loop {
                let changed = self.changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                self.simulate_latency().await;
                if let Some(found) = self.read(key).filter(|(_, revision)| *revision > after) {
                    return found;
                }
                changed.await;
            }
        };
        tokio::time::timeout(wait, watch).await.ok()
    }
}

fn remove_expired(state: &mut State) {
    let now = Instant::now();
    state.leases.retain(|_, until| *until > now);
    let State { values, leases, .. } = state;
    values.retain(|_, v| v.lease.is_none_or(|l| leases.contains_key(&l)));
}

fn value_or(value: Option<(Vec<u8>, u64)>, status: u16) -> Response<Body> {
    match value {
        Some((bytes, revision)) => with_revision(text(200, bytes), revision),
        None => text(status, ""),
    }
}

fn with_revision(mut response: Response<Body>, revision: u64) -> Response<Body> {
    response.headers_mut().insert(REVISION, revision.into());
    response
}

async fn handle(kv: Arc<Kv>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if let Some(key) = path.strip_prefix("/kv/") {
        return handle_key(&kv, key, request).await;
    }
    match (request.method(), path.as_str()) {
        (&Method::POST, "/lease") => lease(&kv, &request),
        (&Method::GET, "/admin/stats") => json(&kv.stats()),
        (&Method::POST, "/admin/settings") => {
            match serde_json::from_slice(&server::read_body(request).await) {
                Ok(settings) => {
                    kv.adjust(|s| *s = settings);
                    text(200, "")
                }
                Err(e) => text(400, e.to_string()),
            }
        }
        _ => text(404, "no such path"),
    }
}

/// Creates a lease, or renews the one whose id is given.
fn lease(kv: &Kv, request: &Request<Incoming>) -> Response<Body> {
    if !kv.admit(true) {
        return text(429, "");
    }
    let ttl = Duration::from_millis(query(request, "ttl_ms").unwrap_or(10_000));
    let mut state = kv.state.lock().unwrap();
    remove_expired(&mut state);
    let id = match query::<u64>(request, "id") {
        Some(id) if !state.leases.contains_key(&id) => return text(404, "lease expired"),
        Some(id) => id,
        None => {
            state.revision += 1;
            state.revision
        }
    };
    state.leases.insert(id, Instant::now() + ttl);
    text(200, id.to_string())
}

async fn handle_key(kv: &Kv, key: &str, request: Request<Incoming>) -> Response<Body> {
    let write = request.method() != Method::GET;
    if !kv.admit(write) {
        return text(429, "");
    }
    if !write {
        let after: Option<u64> = query(&request, "after");
        let wait = Duration::from_millis(query(&request, "wait_ms").unwrap_or(0));
        return match after {
            Some(after) => value_or(kv.watch(key, after, wait).await, 304),
            None => {
                kv.simulate_latency().await;
                value_or(kv.read(key), 404)
            }
        };
    }
    let expect: u64 = header(&request, EXPECT).unwrap_or(0);
    let lease = header(&request, "x-lease");
    let delete = request.method() == Method::DELETE;
    let bytes = server::read_body(request).await;
    if bytes.len() > MAX_VALUE_LEN {
        return text(413, "value too large");
    }
    kv.simulate_latency().await;
    let written = kv.write(key, expect, (!delete).then(|| bytes.to_vec()), lease);
    if kv.drops_response() {
        std::future::pending::<()>().await;
    }
    match written {
        Some(revision) => with_revision(text(200, ""), revision),
        None => text(409, ""),
    }
}
