//! Carries tunnels to upstreams for peers.

use std::sync::Arc;

use foldlock_base::prelude::*;
use foldlock_connection::tunnel;
use foldlock_request::dialect::Dialect;
use foldlock_request::reachability::Testimony;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use crate::fleet::answer::{self, Body};
use crate::fleet::dial;
use crate::fleet::process::Process;

/// Handles a peer's request for a tunnel to an upstream: connects directly, then carries the tunnel until it ends.
pub async fn accept<D: Dialect>(
    process: Arc<Process<D>>,
    request: Request<Incoming>,
    upstream: id::Upstream,
) -> Response<Body> {
    let Some(slot) = Slot::take(&process) else {
        return answer::text(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "no tunnels now\n");
    };
    match dial::connect_for_peer(&process, &upstream).await {
        Ok(stream) => {
            let tasks = process.tasks.clone();
            tasks.spawn(async move {
                let _slot = slot;
                // Either end may close it at any time.
                let _ = tunnel::carry(request, stream).await;
            });
            tunnel::accepted(Body::Whole(None))
        }
        Err(testimony) => {
            let status = match testimony {
                Testimony::Refused => StatusCode::BAD_GATEWAY,
                Testimony::Unreachable => StatusCode::GATEWAY_TIMEOUT,
                Testimony::Unknown => StatusCode::FAILED_DEPENDENCY,
            };
            answer::text(status, "text/plain", format!("cannot connect to {upstream}\n"))
        }
    }
}

/// The place of a carried tunnel.
struct Slot<D: Dialect>(Arc<Process<D>>);

impl<D: Dialect> Slot<D> {
    /// Takes a place, unless all are taken or this VM is shutting down.
    fn take(process: &Arc<Process<D>>) -> Option<Slot<D>> {
        let is_free = !process.stopping.is_cancelled() && process.tunnels.take();
        is_free.then(|| Slot(process.clone()))
    }
}

impl<D: Dialect> Drop for Slot<D> {
    fn drop(&mut self) {
        self.0.tunnels.release();
    }
}
