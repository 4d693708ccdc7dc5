//! The list of live and leaving VMs, whose changes become visible after a delay.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foldlock_connection::vms::Listing;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};

use crate::server::{self, Body, Handle, json, text};

/// The list and its earlier versions.
pub struct List {
    lag: Mutex<Duration>,
    versions: Mutex<Vec<(Instant, Listing)>>,
}

/// A list and its HTTP server.
pub struct Serving {
    /// The list.
    pub list: Arc<List>,
    /// The HTTP server.
    pub server: Handle,
}

/// Serves an empty list on `address` whose changes become visible after `lag`.
pub async fn serve(address: SocketAddr, lag: Duration) -> std::io::Result<Serving> {
    let versions = Mutex::new(vec![(Instant::now(), Listing::default())]);
    let list = Arc::new(List { lag: Mutex::new(lag), versions });
    let handler = {
        let list = list.clone();
        move |request| handle(list.clone(), request)
    };
    Ok(Serving { list, server: server::serve(address, handler).await? })
}

impl List {
    /// Replaces the list; clients see the change after the lag.
    pub fn set(&self, listing: Listing) {
        self.versions.lock().unwrap().push((Instant::now(), listing));
    }

    /// Changes the lag.
    pub fn set_lag(&self, lag: Duration) {
        *self.lag.lock().unwrap() = lag;
    }

    fn visible(&self) -> Listing {
        let lag = *self.lag.lock().unwrap();
        let versions = self.versions.lock().unwrap();
        let version =
            versions.iter().rev().find(|(at, _)| at.elapsed() >= lag).or(versions.first());
        version.map(|(_, listing)| listing.clone()).unwrap_or_default()
    }
}

async fn handle(list: Arc<List>, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/vms") => json(&list.visible()),
        (&Method::PUT, "/vms") => match serde_json::from_slice(&server::read_body(request).await) {
            Ok(listing) => {
                list.set(listing);
                text(200, "")
            }
            Err(e) => text(400, e.to_string()),
        },
        _ => text(404, "no such path"),
    }
}
