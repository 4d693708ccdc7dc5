//! HTTP responses to callers and operators.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use foldlock_base::error::Error;
use foldlock_base::id;
use hyper::body::{Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use tokio::sync::mpsc;

/// Response header with the request id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Response header with the VM that handled the request.
pub const VM_HEADER: &str = "x-foldlock-vm";

/// Response header with the time after which to retry, in milliseconds.
pub const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";

/// Response header that states whether the request ran.
pub const RAN_HEADER: &str = "x-ran";

/// The body of a response.
pub enum Body {
    /// A complete body.
    Whole(Option<Bytes>),
    /// Parts, sent as they arrive.
    Stream(mpsc::Receiver<Bytes>),
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let frame = |bytes: Bytes| Ok(Frame::data(bytes));
        match self.get_mut() {
            Body::Whole(bytes) => Poll::Ready(bytes.take().map(frame)),
            Body::Stream(parts) => parts.poll_recv(context).map(|part| part.map(frame)),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Body::Stream(_) => SizeHint::default(),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Whole(None))
    }
}

/// The JSON body of all error responses.
#[derive(Debug, Serialize)]
pub struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorFields<'a> {
    kind: &'a str,
    ran: String,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    request: &'a str,
}

/// The JSON body for an error.
pub fn error_body<'a>(error: &'a Error, request: &'a id::Request) -> ErrorBody<'a> {
    ErrorBody {
        error: ErrorFields {
            kind: error.kind().as_str(),
            ran: error.ran().to_string(),
            message: error.message(),
            retry_after_ms: error.retry().map(|d| d.as_millis() as u64),
            request: request.as_str(),
        },
    }
}

/// The response for an error.
pub fn error(error: &Error, request: &id::Request) -> Response<Body> {
    let status = StatusCode::from_u16(error.kind().status());
    let mut answer =
        json(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &error_body(error, request));
    let headers = answer.headers_mut();
    let ran = HeaderValue::try_from(error.ran().to_string());
    headers.insert(RAN_HEADER, ran.expect("plain words"));
    if let Some(after) = error.retry() {
        headers.insert(RETRY_AFTER, (after.as_millis().div_ceil(1000) as u64).into());
        headers.insert(RETRY_AFTER_MS_HEADER, (after.as_millis() as u64).into());
    }
    answer
}

/// A response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("plain data");
    whole(status, "application/json", bytes)
}

/// A response with a plain text body.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    whole(status, "text/plain; charset=utf-8", text)
}

/// A response with a complete body.
pub fn whole(
    status: StatusCode,
    content_type: &'static str,
    bytes: impl Into<Bytes>,
) -> Response<Body> {
    let mut answer = Response::new(Body::Whole(Some(bytes.into())));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    answer
}

/// A response with a streamed body.
pub fn stream(content_type: &'static str, parts: mpsc::Receiver<Bytes>) -> Response<Body> {
    let mut answer = Response::new(Body::Stream(parts));
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    answer
}
