//! Client and server side of the RPC connections between VMs.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Empty, Full};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, UPGRADE};
use hyper::upgrade::Upgraded;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tarpc::server::BaseChannel;
use tokio::net::TcpStream;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::io::{InspectReader, InspectWriter};

use crate::http::{Failure, chain};
use crate::wire::{PATH, PROTOCOL, PeerClient, PeerRequest, PeerResponse};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a message, large enough for the settings of a whole fleet.
const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// A connection to a peer. It is cheap to clone; concurrent calls share it.
pub type Connection = PeerClient;

/// Opens a connection to the control address of a peer.
pub async fn connect(address: &str) -> Result<Connection, Failure> {
    match tokio::time::timeout(CONNECT_TIMEOUT, open(address)).await {
        Ok(connection) => connection,
        Err(_) => Err(Failure::Connect("timed out".to_owned())),
    }
}

async fn open(address: &str) -> Result<Connection, Failure> {
    let stream = TcpStream::connect(address).await.map_err(|e| Failure::Connect(e.to_string()))?;
    stream.set_nodelay(true).map_err(|e| Failure::Connect(e.to_string()))?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| Failure::Connect(chain(&e)))?;
    tokio::spawn(connection.with_upgrades());
    let request = Request::get(PATH)
        .header(HOST, address)
        .header(CONNECTION, "upgrade")
        .header(UPGRADE, PROTOCOL)
        .body(Empty::<Bytes>::new())
        .map_err(|e| Failure::Connect(e.to_string()))?;
    let response = sender.send_request(request).await.map_err(|e| Failure::Connect(chain(&e)))?;
    if response.status() != StatusCode::SWITCHING_PROTOCOLS {
        return Err(Failure::Connect(format!("the peer does not support {PROTOCOL}")));
    }
    let upgraded = hyper::upgrade::on(response).await.map_err(|e| Failure::Connect(chain(&e)))?;
    let transport =
        tarpc::serde_transport::new(framed(upgraded), tokio_serde::formats::MessagePack::default());
    Ok(PeerClient::new(tarpc::client::Config::default(), transport).spawn())
}

fn framed(upgraded: Upgraded) -> tokio_util::codec::Framed<CountedStream, LengthDelimitedCodec> {
    let read = InspectReader::new(TokioIo::new(upgraded), count_received as fn(&[u8]));
    let counted = InspectWriter::new(read, count_sent as fn(&[u8]));
    LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE_BYTES).new_framed(counted)
}

/// Whether an HTTP request is an upgrade to the RPC protocol between VMs.
pub fn is_upgrade(request: &Request<Incoming>) -> bool {
    request.uri().path() == PATH
        && request.headers().get(UPGRADE).is_some_and(|v| v.as_bytes() == PROTOCOL.as_bytes())
}

/// The server side of a connection, which executes the calls of the peer.
pub type Served = BaseChannel<PeerRequest, PeerResponse, Transport>;

type Inbound = tarpc::ClientMessage<PeerRequest>;
type Outbound = tarpc::Response<PeerResponse>;
type Format = tokio_serde::formats::MessagePack<Inbound, Outbound>;
type Transport = tarpc::serde_transport::Transport<CountedStream, Inbound, Outbound, Format>;

/// A stream that counts the bytes received and sent.
type CountedStream = InspectWriter<InspectReader<TokioIo<Upgraded>, fn(&[u8])>, fn(&[u8])>;

static RECEIVED: AtomicU64 = AtomicU64::new(0);
static SENT: AtomicU64 = AtomicU64::new(0);

/// Number of bytes that this process has received from its peers and sent to them.
pub fn transferred_bytes() -> (u64, u64) {
    (RECEIVED.load(Ordering::Relaxed), SENT.load(Ordering::Relaxed))
}

fn count_received(bytes: &[u8]) {
    RECEIVED.fetch_add(bytes.len() as u64, Ordering::Relaxed);
}

fn count_sent(bytes: &[u8]) {
    SENT.fetch_add(bytes.len() as u64, Ordering::Relaxed);
}

/// Accepts an upgrade request; `run` then serves the calls of the peer until the connection ends.
pub fn accept<F, R>(request: Request<Incoming>, run: F) -> Response<Full<Bytes>>
where
    F: FnOnce(Served) -> R + Send + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        if let Ok(upgraded) = hyper::upgrade::on(request).await {
            let format = tokio_serde::formats::MessagePack::default();
            let transport = tarpc::serde_transport::new(framed(upgraded), format);
            run(BaseChannel::with_defaults(transport)).await;
        }
    });
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    response.headers_mut().insert(CONNECTION, hyper::header::HeaderValue::from_static("upgrade"));
    response.headers_mut().insert(UPGRADE, hyper::header::HeaderValue::from_static(PROTOCOL));
    response
}
