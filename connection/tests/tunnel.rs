//! The bytes of a connection through a peer.

use std::time::Duration;

use foldlock_base::id;
use foldlock_connection::tunnel::{self, Failure, Tunnel};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

type Body = Full<bytes::Bytes>;

/// Time within which each step ends.
const LIMIT: Duration = Duration::from_secs(5);

/// The size of a large transfer, bytes: more than all buffers on the way hold.
const LARGE: usize = 64 << 20;

/// An upstream, and a peer that carries tunnels to it until it is cancelled.
struct Setup {
    upstream: TcpListener,
    peer: String,
    peer_alive: CancellationToken,
}

async fn setup() -> Setup {
    let upstream = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (target, peer) = (upstream.local_addr().unwrap(), listener.local_addr().unwrap());
    let peer_alive = CancellationToken::new();
    let alive = peer_alive.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let alive = alive.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let alive = alive.clone();
                async move {
                    assert_eq!(tunnel::requested(&request).unwrap().as_str(), "i-1");
                    let stream = TcpStream::connect(target).await.unwrap();
                    tokio::spawn(async move {
                        tokio::select! {
                            _ = tunnel::carry(request, stream) => {}
                            () = alive.cancelled() => {}
                        }
                    });
                    Ok::<_, std::convert::Infallible>(tunnel::accepted(Body::default()))
                }
            });
            let serving = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            tokio::spawn(serving.with_upgrades());
        }
    });
    Setup { upstream, peer: peer.to_string(), peer_alive }
}

impl Setup {
    async fn open(&self) -> (Tunnel, TcpStream) {
        let upstream: id::Upstream = "i-1".parse().unwrap();
        let (tunnel, accepted) =
            tokio::join!(tunnel::open(&self.peer, &upstream), self.upstream.accept());
        (tunnel.expect("the peer reaches the upstream"), accepted.unwrap().0)
    }
}

async fn within<T>(step: impl Future<Output = T>) -> T {
    tokio::time::timeout(LIMIT, step).await.expect("the step ends in time")
}

#[tokio::test]
async fn bytes_pass_in_both_directions_and_the_end_is_clean() {
    let (mut tunnel, mut upstream) = setup().await.open().await;
    tunnel.write_all(b"ping").await.unwrap();
    tunnel.flush().await.unwrap();
    let mut received = [0; 4];
    within(upstream.read_exact(&mut received)).await.unwrap();
    assert_eq!(&received, b"ping");
    upstream.write_all(b"pong").await.unwrap();
    drop(upstream);
    let mut response = Vec::new();
    within(tunnel.read_to_end(&mut response)).await.unwrap();
    assert_eq!(response, b"pong");
}

/// Guards against a response that ends with its connection and is taken for complete after the peer has crashed.
#[tokio::test]
async fn a_tunnel_that_the_peer_cuts_ends_with_an_error() {
    let setup = setup().await;
    let (mut tunnel, mut upstream) = setup.open().await;
    upstream.write_all(b"half").await.unwrap();
    let mut received = [0; 4];
    within(tunnel.read_exact(&mut received)).await.unwrap();
    setup.peer_alive.cancel();
    assert!(within(tunnel.read_to_end(&mut Vec::new())).await.is_err());
}

/// Guards against an upstream that goes on working for a caller that has left.
#[tokio::test]
async fn the_upstream_notices_at_once_that_the_tunnel_is_dropped() {
    let (tunnel, mut upstream) = setup().await.open().await;
    drop(tunnel);
    let ended = tokio::time::timeout(Duration::from_millis(500), upstream.read(&mut [0; 1])).await;
    assert!(matches!(ended.expect("within half a second"), Ok(0) | Err(_)));
}

/// Guards against a peer that collects in memory what the VM behind the tunnel does not read.
#[tokio::test]
async fn a_reader_that_stops_blocks_the_upstream() {
    let (mut tunnel, mut upstream) = setup().await.open().await;
    let block = vec![7; 1 << 20];
    let mut written = 0;
    while written < LARGE {
        let write = tokio::time::timeout(Duration::from_millis(300), upstream.write(&block)).await;
        match write {
            Ok(length) => written += length.unwrap(),
            Err(_) => break,
        }
    }
    assert!(written < LARGE, "all was taken, though nothing is read");
    let mut received = vec![0; written];
    within(tunnel.read_exact(&mut received)).await.unwrap();
}

/// Guards against two releases side by side: a VM of the previous release does not know the path.
#[tokio::test]
async fn a_peer_without_tunnels_is_unavailable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let service = service_fn(|_: Request<Incoming>| async {
            let mut response = Response::new(Body::default());
            *response.status_mut() = hyper::StatusCode::NOT_FOUND;
            Ok::<_, std::convert::Infallible>(response)
        });
        let _ = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service)
            .await;
    });
    let opened = within(tunnel::open(&peer, &"i-1".parse().unwrap())).await;
    assert!(matches!(opened.err(), Some(Failure::Unavailable(_))));
}
