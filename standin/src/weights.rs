//! The weight store: gives the size of a model's weights at a limited rate.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::server::{self, Body, Served, text};

/// The store: one fetch at a time, each for a fixed time; beyond a queue it refuses.
pub struct Store {
    fetch: Duration,
    queue: usize,
    free_at: Mutex<Instant>,
}

/// Serves a weight store on `address` whose fetches take `fetch` each; at most `queue` wait.
pub async fn serve(address: SocketAddr, fetch: Duration, queue: usize) -> std::io::Result<Served> {
    let store = Arc::new(Store { fetch, queue, free_at: Mutex::new(Instant::now()) });
    server::serve(address, move |request| answer(store.clone(), request)).await
}

impl Store {
    /// When a fetch that comes now is done; none where too many wait.
    fn book(&self) -> Option<Instant> {
        let mut free_at = self.free_at.lock().unwrap();
        let now = Instant::now();
        let start = (*free_at).max(now);
        if start - now > self.fetch * self.queue as u32 {
            return None;
        }
        *free_at = start + self.fetch;
        Some(*free_at)
    }
}

async fn answer(store: Arc<Store>, request: Request<Incoming>) -> Response<Body> {
    match store.book() {
        Some(done) => {
            tokio::time::sleep_until(done.into()).await;
            text(200, format!("weights of {}\n", request.uri().path()))
        }
        None => text(429, "too many fetches wait"),
    }
}
