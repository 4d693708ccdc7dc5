//! A plain service with calls that may not be repeated; it counts the runs of each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};
use serde::{Deserialize, Serialize};

use crate::server::{self, Body, Served, header, json, query, refused, text};

/// The header by which a caller names a call, so that its runs can be counted.
pub const CALL: &str = "idempotency-key";

/// What tests look at.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Calls that ran.
    pub runs: u64,
    /// Calls that ran, by their idempotency key.
    pub by_key: BTreeMap<String, u32>,
}

/// How the service behaves.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// How long a call takes, milliseconds.
    pub delay_ms: u64,
    /// Whether it refuses new work.
    pub leaving: bool,
    /// How many of the next calls run without an answer.
    pub lose_answers: u32,
}

/// The service.
#[derive(Default)]
pub struct Plain {
    stats: Mutex<Stats>,
    settings: Mutex<Settings>,
}

/// A service that is served.
pub struct Serving {
    /// The service.
    pub plain: Arc<Plain>,
    /// Its listener.
    pub served: Served,
}

/// Serves a plain service on `address`.
pub async fn serve(address: SocketAddr, settings: Settings) -> std::io::Result<Serving> {
    let plain = Arc::new(Plain { settings: Mutex::new(settings), ..Plain::default() });
    let handler = {
        let plain = plain.clone();
        move |request| answer(plain.clone(), request)
    };
    Ok(Serving { plain, served: server::serve(address, handler).await? })
}

impl Plain {
    /// What tests look at.
    pub fn stats(&self) -> Stats {
        self.stats.lock().unwrap().clone()
    }

    /// Changes how the service behaves.
    pub fn adjust(&self, f: impl FnOnce(&mut Settings)) {
        f(&mut self.settings.lock().unwrap());
    }

    fn run(&self, key: Option<String>) -> u64 {
        let mut stats = self.stats.lock().unwrap();
        stats.runs += 1;
        if let Some(key) = key {
            *stats.by_key.entry(key).or_default() += 1;
        }
        stats.runs
    }

    fn loses(&self) -> bool {
        let mut settings = self.settings.lock().unwrap();
        let loses = settings.lose_answers > 0;
        settings.lose_answers = settings.lose_answers.saturating_sub(1);
        loses
    }
}

async fn answer(plain: Arc<Plain>, request: Request<Incoming>) -> Response<Body> {
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
        return refused(503, server::LEAVING);
    }
    let key = header(&request, CALL);
    let path = request.uri().path().to_owned();
    let _body = server::whole(request).await;
    if settings.delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(settings.delay_ms)).await;
    }
    let run = plain.run(key);
    if plain.loses() {
        std::future::pending::<()>().await;
    }
    text(200, format!("{path} run {run}\n"))
}
