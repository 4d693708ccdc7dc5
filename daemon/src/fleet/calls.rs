//! Orders and report requests to upstreams, on pooled connections of their own.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use foldlock_base::prelude::*;
use foldlock_connection::channel::{Channel, Failure as ChannelFailure};
use foldlock_connection::framing::BodyEnd;
use foldlock_request::dialect::Dialect;
use foldlock_request::transport::{Failure, Transport};
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response};

use crate::fleet::dial;
use crate::fleet::headers::idle_timeout;
use crate::fleet::process::Process;

/// Maximum size of a response, bytes. Reports and responses to orders are far shorter; one of an upstream in trouble may
/// have no end.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Sends calls from this VM.
pub struct Calls<'a, D: Dialect>(pub &'a Arc<Process<D>>);

impl<D: Dialect> Transport for Calls<'_, D> {
    async fn call(
        &self,
        upstream: &id::Upstream,
        address: &str,
        mut request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Failure> {
        let host = HeaderValue::try_from(address).map_err(|e| Failure(e.to_string()))?;
        request.headers_mut().insert(HOST, host);
        let called = tokio::time::timeout(timeout, call(self.0, upstream, address, request)).await;
        called.unwrap_or_else(|_| {
            Err(Failure(format!("no response within {} ms", timeout.as_millis())))
        })
    }
}

async fn call<D: Dialect>(
    process: &Arc<Process<D>>,
    upstream: &id::Upstream,
    address: &str,
    request: Request<Bytes>,
) -> Result<Response<Bytes>, Failure> {
    let request = request.map(Full::new);
    let pooled = process.call_pool.take(upstream, dial::max_idle(process, upstream), process.now());
    let (channel, response) = match pooled {
        Some(channel) => match send(channel, request.clone()).await {
            // The upstream had closed the connection.
            Err(ChannelFailure::Unsent(_)) => {
                send_on_new(process, upstream, address, request).await?
            }
            sent => sent.map_err(|failure| Failure(dial::reason(failure)))?,
        },
        None => send_on_new(process, upstream, address, request).await?,
    };
    let (head, body) = response.into_parts();
    let body = channel.collect(body, MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|failure| Failure(dial::reason(failure)))?;
    let body_end = BodyEnd::of(&head);
    body_end.check(&body).map_err(|fault| Failure(fault.to_string()))?;
    if channel.via().is_none() {
        dial::record_response(process, upstream);
    }
    let idle_timeout = idle_timeout(&head.headers);
    if !body_end.is_close() && !idle_timeout.is_zero() {
        process.call_pool.put(upstream, channel, idle_timeout, process.now());
    }
    Ok(Response::from_parts(head, body))
}

async fn send_on_new<D: Dialect>(
    process: &Arc<Process<D>>,
    upstream: &id::Upstream,
    address: &str,
    request: Request<Full<Bytes>>,
) -> Result<(Channel, Response<hyper::body::Incoming>), Failure> {
    let channel = dial::connect(process, upstream, address).await.map_err(|e| Failure(e.why))?;
    send(channel, request).await.map_err(|failure| Failure(dial::reason(failure)))
}

async fn send(
    mut channel: Channel,
    request: Request<Full<Bytes>>,
) -> Result<(Channel, Response<hyper::body::Incoming>), ChannelFailure> {
    let response = channel.send(request).await?;
    Ok((channel, response))
}
