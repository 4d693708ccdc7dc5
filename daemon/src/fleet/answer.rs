//! HTTP responses to callers and operators.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use foldlock_base::error::Error;
use foldlock_base::id;
use hyper::body::{Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;
use tokio::sync::mpsc;

use crate::fleet::unread::{Reader, Truncated};

/// The body of a response.
pub enum Body {
    /// The complete body.
    Whole(Option<Bytes>),
    /// Lines for an operator, sent as they are produced.
    Lines(mpsc::Receiver<Result<Bytes, Truncated>>),
    /// The buffered response of an upstream.
    Buffered(Reader),
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Body::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Body::Lines(lines) => lines.poll_recv(context).map(|p| p.map(|r| r.map(Frame::data))),
            Body::Buffered(reader) => {
                reader.poll_next(context).map(|p| p.map(|r| r.map(Frame::data)))
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Body::Lines(_) => SizeHint::default(),
            Body::Buffered(reader) => {
                reader.length().map_or_else(SizeHint::default, SizeHint::with_exact)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Whole(None))
    }
}

/// Returns a complete body.
pub fn whole(bytes: Bytes) -> Body {
    Body::Whole((!bytes.is_empty()).then_some(bytes))
}

/// Returns a response with a text or JSON body of this content type.
pub fn text(status: StatusCode, kind: &'static str, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(whole(text.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

/// Returns an error of foldlock itself as JSON, with a `retry-after` header if the caller may retry.
pub fn error(error: &Error, request: &id::Request) -> Response<Body> {
    let retry = error.retry();
    let body = json!({"error": {
        "kind": error.kind().as_str(),
        "ran": error.ran().to_string(),
        "message": error.message(),
        "retry_after_ms": retry.map(|d| d.as_millis() as u64),
        "request": request.as_str(),
    }});
    let status = StatusCode::from_u16(error.kind().status()).expect("the table has valid statuses");
    let mut response = text(status, "application/json", body.to_string());
    if let Some(after) = retry {
        response.headers_mut().insert(RETRY_AFTER, seconds(after));
    }
    response
}

/// Formats seconds with two decimals, rounded up.
fn seconds(after: Duration) -> HeaderValue {
    let hundredths = (after.as_secs_f64() * 100.0).ceil() / 100.0;
    HeaderValue::try_from(format!("{hundredths:.2}")).expect("digits fit a header")
}
