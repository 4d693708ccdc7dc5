//! Listeners for callers and for control connections; each connection has its own task.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use foldlock_base::event::Event;
use http_body_util::Either;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};

use crate::process::Process;
use crate::{complete, drain, log, operators};

/// Maximum time to receive the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after a failed accept, so that the loop does not spin when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of concurrent streams of an HTTP/2 connection.
const MAX_STREAMS: u32 = 1024;

/// Accepts connections of callers until shutdown closes the listener.
pub async fn serve_callers(process: Arc<Process>, listener: TcpListener) {
    loop {
        let stream = tokio::select! {
            stream = accept(&process, &listener) => stream,
            () = process.drain.wait_closed() => return,
        };
        tokio::spawn(serve_caller(process.clone(), stream));
    }
}

async fn accept(process: &Process, listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Err(e) => {
                log::event(&process.log, Event::AcceptFailed, e);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one caller's connection.
async fn serve_caller(process: Arc<Process>, stream: TcpStream) {
    let _guard = drain::track_connection(&process);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    builder.http2().timer(TokioTimer::new()).max_concurrent_streams(MAX_STREAMS);
    let service = service_fn(|request| {
        let process = process.clone();
        async move { Ok::<_, Infallible>(complete::answer(process, request).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closed = process.drain.wait_closed();
    tokio::select! {
        _ = connection.as_mut() => return,
        () = closed => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Accepts connections of peers and operators until the process exits.
pub async fn serve_control(process: Arc<Process>, listener: TcpListener) {
    loop {
        let stream = accept(&process, &listener).await;
        tokio::spawn(serve_control_connection(process.clone(), stream));
    }
}

async fn serve_control_connection(process: Arc<Process>, stream: TcpStream) {
    let service = service_fn(|request| {
        let process = process.clone();
        async move {
            if foldlock_connection::peer::is_upgrade(&request) {
                let run = move |channel| crate::peers::serve(process, channel);
                let response = foldlock_connection::peer::accept(request, run);
                return Ok::<_, Infallible>(response.map(Either::Left));
            }
            Ok(operators::answer(process, request).await.map(Either::Right))
        }
    });
    let _ = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .with_upgrades()
        .await;
}
