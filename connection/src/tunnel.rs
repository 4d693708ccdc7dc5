//! Tunnels: connections to upstreams through a peer VM, for a VM that cannot reach them itself.
//!
//! A VM opens a tunnel by an HTTP upgrade at the peer's control address. The peer connects to the upstream directly, never
//! through another tunnel, and then forwards bytes in both directions without interpreting them. They are sent in frames
//! with a length; an empty frame marks the end of the upstream's data. A tunnel without that frame was cut, so that a
//! response that ends with its connection is not taken for complete when the peer has crashed.
//!
//! Memory of both VMs is bounded by one frame in each direction: a reader that stops reading blocks the writer.

use std::fmt;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use foldlock_base::prelude::*;
use futures::stream::{SplitSink, SplitStream};
use futures::{SinkExt, Stream, StreamExt};
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue, UPGRADE};
use hyper::upgrade::Upgraded;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Join};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::io::{CopyToBytes, SinkWriter, StreamReader};

use crate::http::chain;
use crate::keepalive;

/// Protocol name in the HTTP upgrade.
pub const PROTOCOL: &str = "foldlock-tunnel/1";

/// Path prefix of the upgrade request; the id of the upstream follows.
pub const PATH: &str = "/tunnel/";

/// Maximum size of a frame, bytes.
const MAX_FRAME_BYTES: usize = 64 << 10;

/// Size of the buffer that is read from the upstream at once, bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Maximum memory of one tunnel at the VM that carries it, bytes: a frame in each direction, and the buffers of the codec.
pub const MAX_MEMORY_BYTES: usize = 2 * MAX_FRAME_BYTES + 2 * READ_BUFFER_BYTES;

/// Timeout of the connection to the peer itself.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Why a tunnel could not be opened. Nothing was sent to the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The peer did not respond, or carries no tunnels now: this says nothing about the upstream.
    Unavailable(String),
    /// The peer does not reach the upstream, and cannot tell whether its own path has failed.
    Unknown,
    /// The peer reaches other upstreams, but this one refuses its connections.
    Refused,
    /// The peer reaches other upstreams, but this one does not respond to it.
    Unreachable,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Unavailable(why) => f.write_str(why),
            Failure::Unknown => f.write_str("the peer may have lost its path to the upstream"),
            Failure::Refused => f.write_str("the upstream refuses connections of the peer"),
            Failure::Unreachable => f.write_str("the upstream does not respond to the peer"),
        }
    }
}

impl std::error::Error for Failure {}

type Transport = Framed<TokioIo<Upgraded>, LengthDelimitedCodec>;

/// The end of a tunnel at the VM that opened it.
pub type Tunnel =
    Join<StreamReader<Frames, Bytes>, SinkWriter<CopyToBytes<SplitSink<Transport, Bytes>>>>;

/// The upstream's data, up to the frame that marks its end.
pub struct Frames {
    frames: SplitStream<Transport>,
    has_ended: bool,
}

impl Stream for Frames {
    type Item = io::Result<Bytes>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Bytes>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        let frame = ready!(self.frames.poll_next_unpin(context));
        Poll::Ready(match frame {
            Some(Ok(bytes)) if bytes.is_empty() => {
                self.has_ended = true;
                None
            }
            Some(Ok(bytes)) => Some(Ok(bytes.freeze())),
            Some(Err(e)) => Some(Err(e)),
            None => Some(Err(io::Error::new(ErrorKind::ConnectionReset, "the tunnel was cut"))),
        })
    }
}

/// Opens a tunnel to an upstream through the peer at this control address. To be called with a timeout.
pub async fn open(peer: &str, upstream: &id::Upstream) -> Result<Tunnel, Failure> {
    let unavailable = |why: String| Failure::Unavailable(why);
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer));
    let stream = connecting
        .await
        .map_err(|_| unavailable("the peer did not respond".to_owned()))?
        .map_err(|e| unavailable(e.to_string()))?;
    stream.set_nodelay(true).map_err(|e| unavailable(e.to_string()))?;
    keepalive::enable(&stream).map_err(|e| unavailable(e.to_string()))?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| unavailable(chain(&e)))?;
    // The task ends with the connection, or when the upgrade hands it over; errors reach the request.
    tokio::spawn(connection.with_upgrades());
    let request = Request::get(format!("{PATH}{upstream}"))
        .header(HOST, peer)
        .header(CONNECTION, "upgrade")
        .header(UPGRADE, PROTOCOL)
        .body(Empty::<Bytes>::new())
        .map_err(|e| unavailable(e.to_string()))?;
    let response = sender.send_request(request).await.map_err(|e| unavailable(chain(&e)))?;
    match response.status() {
        StatusCode::SWITCHING_PROTOCOLS => {}
        StatusCode::FAILED_DEPENDENCY => return Err(Failure::Unknown),
        StatusCode::BAD_GATEWAY => return Err(Failure::Refused),
        StatusCode::GATEWAY_TIMEOUT => return Err(Failure::Unreachable),
        status => return Err(unavailable(format!("the peer responded {status}"))),
    }
    let upgraded = hyper::upgrade::on(response).await.map_err(|e| unavailable(chain(&e)))?;
    let (sink, frames) = framed(upgraded).split();
    let reader = StreamReader::new(Frames { frames, has_ended: false });
    Ok(tokio::io::join(reader, SinkWriter::new(CopyToBytes::new(sink))))
}

fn framed(upgraded: Upgraded) -> Transport {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(TokioIo::new(upgraded))
}

/// The upstream that a request asks for a tunnel to; none if it is another request.
pub fn requested(request: &Request<Incoming>) -> Option<id::Upstream> {
    let is_tunnel =
        request.headers().get(UPGRADE).is_some_and(|v| v.as_bytes() == PROTOCOL.as_bytes());
    let upstream = request.uri().path().strip_prefix(PATH)?;
    upstream.parse().ok().filter(|_| is_tunnel)
}

/// The response that accepts a tunnel; [`carry`] then forwards its bytes.
pub fn accepted<B>(body: B) -> Response<B> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("upgrade"));
    response.headers_mut().insert(UPGRADE, HeaderValue::from_static(PROTOCOL));
    response
}

/// Forwards bytes between the VM that opened a tunnel and the upstream, until either closes its connection. Both
/// connections are closed when it returns, so an upstream notices at once that the VM has left.
pub async fn carry(request: Request<Incoming>, upstream: TcpStream) -> io::Result<()> {
    let upgraded = hyper::upgrade::on(request).await.map_err(io::Error::other)?;
    let (mut sink, mut frames) = framed(upgraded).split();
    let (mut reader, mut writer) = upstream.into_split();
    let to_upstream = async {
        while let Some(frame) = frames.next().await {
            writer.write_all(&frame?).await?;
        }
        Ok(())
    };
    let to_vm = async {
        loop {
            let mut buffer = BytesMut::with_capacity(READ_BUFFER_BYTES);
            let length = reader.read_buf(&mut buffer).await?;
            sink.send(buffer.freeze()).await?;
            if length == 0 {
                return sink.close().await;
            }
        }
    };
    tokio::select! {
        ended = to_upstream => ended,
        ended = to_vm => ended,
    }
}
