//! The weight store: serves fetches of model weights at a limited rate.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Request, Response};

use crate::server::{self, Body, Handle, text};

/// A store that serves one fetch at a time, each in a fixed time, and refuses those that exceed
/// its queue.
pub struct Store {
    fetch_time: Duration,
    max_queued: usize,
    free_at: Mutex<Instant>,
}

/// Serves a weight store on `address`: each fetch takes `fetch_time`, and at most `max_queued`
/// are queued.
pub async fn serve(
    address: SocketAddr,
    fetch_time: Duration,
    max_queued: usize,
) -> std::io::Result<Handle> {
    let store = Arc::new(Store { fetch_time, max_queued, free_at: Mutex::new(Instant::now()) });
    server::serve(address, move |request| handle(store.clone(), request)).await
}

impl Store {
    /// Queues a fetch and returns the time of its completion; none if the queue is full.
    fn schedule(&self) -> Option<Instant> {
        let mut free_at = self.free_at.lock().unwrap();
        let now = Instant::now();
        let begins_at = (*free_at).max(now);
        if begins_at - now > self.fetch_time * self.max_queued as u32 {
            return None;
        }
        *free_at = begins_at + self.fetch_time;
        Some(*free_at)
    }
}

async fn handle(store: Arc<Store>, request: Request<Incoming>) -> Response<Body> {
    match store.schedule() {
        Some(done) => {
            tokio::time::sleep_until(done.into()).await;
            text(200, format!("weights of {}\n", request.uri().path()))
        }
        None => text(429, "queue is full"),
    }
}
