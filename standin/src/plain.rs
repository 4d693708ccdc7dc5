//! A plain service with calls that must not be repeated; it counts how often each one ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};
use serde::{Deserialize, Serialize};

use crate::server::{self, Body, Handle, header, json, query, refusal, text};

/// The header that identifies a call, so that its runs can be counted.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Counters for tests.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Number of calls that ran.
    pub runs: u64,
    /// Number of calls that ran, by idempotency key.
    pub by_key: BTreeMap<String, u32>,
}

/// Settings of the service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Latency of a call in milliseconds.
    pub delay_ms: u64,
    /// Whether the service is leaving and refuses new calls.
    pub leaving: bool,
    /// Number of next calls that run without a response.
    pub lose_answers: u32,
}

/// The plain service.
#[derive(Default)]
pub struct Plain {
    stats: Mutex<Stats>,
    settings: Mutex<Settings>,
}

/// A plain service and its HTTP server.
pub struct Serving {
    /// The plain service.
    pub plain: Arc<Plain>,
    /// The HTTP server.
    pub server: Handle,
}

/// Serves a plain service on `address`.
pub async fn serve(address: SocketAddr, settings: Settings) -> std::io::Result<Serving> {
    let plain = Arc::new(Plain { settings: Mutex::new(settings), ..Plain::default() });
    let handler = {
        let plain = plain.clone();
        move |request| handle(plain.clone(), request)
    };
    Ok(Serving { plain, server: server::serve(address, handler).await? })
}

impl Plain {
    /// Counters for tests.
    pub fn stats(&self) -> Stats {
        self.stats.lock().unwrap().clone()
    }

    /// Changes the settings.
    pub fn adjust(&self, f: impl FnOnce(&mut Settings)) {
        f(&mut self.settings.lock().unwrap());
    }

    fn record_run(&self, key: Option<String>) -> u64 {
        let mut stats = self.stats.lock().unwrap();
        stats.runs += 1;
        if let Some(key) = key {
            *stats.by_key.entry(key).or_default() += 1;
        }
        stats.runs
    }

    fn drops_response(&self) -> bool {
        let mut settings = self.settings.lock().unwrap();
        let drops = settings.lose_answers > 0;
        settings.lose_answers = settings.lose_answers.saturating_sub(1);
        drops
    }
}

async fn handle(plain: Arc<Plain>, request: Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        "/admin/stats" => return json(&plain.stats()),
        "/admin/leave" => {
            let leaving = query(&request, "leaving").unwrap_or(true);
            plain.adjust(|s| s.leaving = leaving);
            return text(200, "");
        }
        _ => {}
    }
    let settings = plain.settings.lock().unwrap().clone();
    if settings.leaving {
        return refusal(503, server::LEAVING);
    }
    let key = header(&request, IDEMPOTENCY_KEY);
    let path = request.uri().path().to_owned();
    let _body = server::read_body(request).await;
    if settings.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(settings.delay_ms)).await;
    }
    let run = plain.record_run(key);
    if plain.drops_response() {
        std::future::pending::<()>().await;
    }
    text(200, format!("{path} run {run}\n"))
}
