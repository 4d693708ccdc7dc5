//! The way to an upstream for calls that are no requests of callers: orders and report requests.

use std::fmt;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use foldlock_base::prelude::*;
use http::{Request, Response};

/// Why a call got no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure(pub String);

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Failure {}

/// Sends calls to upstreams.
pub trait Transport: Send + Sync {
    /// Sends a call to the upstream at `address`, `IP:port`, and returns the complete response, all within `timeout`.
    fn call(
        &self,
        upstream: &id::Upstream,
        address: &str,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> impl Future<Output = Result<Response<Bytes>, Failure>> + Send;
}
