//! The HTTP server that the stand-ins share.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use percent_encoding::percent_decode_str;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// The body of a response.
pub type Body = BoxBody<Bytes, std::io::Error>;

/// Handle of a running server, which stops when this is dropped.
pub struct Handle {
    /// The address on which the server listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Handle {
    /// Waits until the server stops.
    pub async fn wait(&mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves `handler` on `address`.
pub async fn serve<H, R>(address: SocketAddr, handler: H) -> std::io::Result<Handle>
where
    H: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            connections.spawn(async move {
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
            while connections.try_join_next().is_some() {}
        }
    });
    Ok(Handle { address, task })
}

/// A response with a text body.
pub fn text(status: u16, text: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(text.into()).map_err(|never| match never {}).boxed();
    Response::builder().status(status).body(body).expect("a status and a body")
}

/// A response with a JSON body and status 200.
pub fn json<T: Serialize>(value: &T) -> Response<Body> {
    text(200, serde_json::to_vec(value).expect("plain data"))
}

/// The reason with which a leaving upstream refuses new requests.
pub const LEAVING: &str = "leaving";

/// A response that refuses a request and states that it did not run.
pub fn refusal(status: u16, reason: &str) -> Response<Body> {
    let mut response = text(status, reason.to_owned());
    let not_run = hyper::header::HeaderValue::from_static("no");
    response.headers_mut().insert("x-ran", not_run);
    if reason == LEAVING {
        let leaving = hyper::header::HeaderValue::from_static("true");
        response.headers_mut().insert("x-leaving", leaving);
    }
    response
}

/// Parses a parameter of the query string, with percent-encoded characters and `+` for a blank.
pub fn query<T: std::str::FromStr>(request: &Request<Incoming>, name: &str) -> Option<T> {
    let query = request.uri().query()?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(n, _)| *n == name)
        .and_then(|(_, value)| decode_query_value(value).parse().ok())
}

fn decode_query_value(value: &str) -> String {
    let value = value.replace('+', " ");
    percent_decode_str(&value).decode_utf8_lossy().into_owned()
}

/// Parses a header.
pub fn header<T: std::str::FromStr>(request: &Request<Incoming>, name: &str) -> Option<T> {
    request.headers().get(name)?.to_str().ok()?.parse().ok()
}

/// Reads the complete body of a request; empty if the connection breaks.
pub async fn read_body(request: Request<Incoming>) -> Bytes {
    request.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default()
}
