//! Resumes a stream for a caller whose connection was lost. The cursor is enough, so that any VM can
//! do it.

use foldlock_base::error::{Error, Unsent};
use foldlock_base::prelude::*;
use foldlock_connection::engine::{Engine as _, Failure, HttpEngine, HttpStream, Stream as _};
use foldlock_connection::events::{Checker, Event as Part};
use foldlock_request::cursor::Cursor;
use foldlock_request::decision::Decision;
use foldlock_request::prompt::Style;
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::sync::mpsc;

use crate::answer::{self, Body};
use crate::complete::{Caller, LAST_EVENT, reject};
use crate::drain;
use crate::sink::{self, Encoder};

/// A stream that is being resumed.
struct Resumed {
    caller: Caller,
    cursor: Cursor,
    stream: HttpStream,
    encoder: Encoder,
}

/// Handles a request with a cursor and returns the rest of the stream.
pub async fn answer(
    caller: Caller,
    request: &Request<Incoming>,
    guard: drain::RequestGuard,
) -> Result<Response<Body>, Error> {
    let text = request.headers().get(LAST_EVENT).and_then(|v| v.to_str().ok()).unwrap_or_default();
    let cursor = Cursor::verify(&caller.version.key, text)
        .map_err(|e| reject(Kind::BadRequest, format!("`{LAST_EVENT}`: {e}")))?;
    if cursor.organisation != caller.organisation {
        return Err(reject(Kind::Unauthorized, "the stream belongs to another organisation"));
    }
    let engine = caller.process.engines.client(&cursor.engine).ok_or_else(stream_gone)?;
    let stream = open(&caller, &engine, &cursor).await?;
    let entry = caller.record(&format!("stream of {}", cursor.request), Tokens(0));
    let resumed = Decision::Resumed { index: cursor.index + 1, upstream: cursor.engine.clone() };
    caller.step(&entry, resumed);
    let style = if request.uri().path().contains("chat") { Style::Chat } else { Style::Completion };
    let encoder = Encoder::new(&cursor.request, "", style, &caller.version.key, &cursor);
    let (parts, receiver) = mpsc::channel(sink::MAX_QUEUED_BATCHES);
    let resumed = Resumed { caller, cursor, stream, encoder };
    tokio::spawn(async move {
        let _guard = guard;
        resumed.copy(parts).await;
    });
    Ok(answer::stream("text/event-stream", receiver))
}

fn stream_gone() -> Error {
    let sent = Unsent::arrived().send();
    Error::sent(Kind::StreamGone, "the stream no longer exists; send the request again", sent, true)
}

async fn open(caller: &Caller, engine: &HttpEngine, cursor: &Cursor) -> Result<HttpStream, Error> {
    let left = caller.deadline.remaining(&caller.process.clock);
    let opened = engine.resume(&cursor.stream, cursor.index + 1);
    match tokio::time::timeout(left, opened).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(Failure::Gone)) => Err(stream_gone()),
        Ok(Err(e)) => Err(sent_error(Kind::UpstreamFailed, &format!("{}: {e}", cursor.engine))),
        Err(_) => Err(sent_error(Kind::DeadlineExceeded, "the deadline passed")),
    }
}

fn sent_error(kind: Kind, why: &str) -> Error {
    Error::sent(kind, why, Unsent::arrived().send(), true)
}

impl Resumed {
    /// Copies the rest of the stream to the caller.
    async fn copy(mut self, parts: mpsc::Sender<bytes::Bytes>) {
        let until = self.caller.deadline.instant().into();
        let result = match tokio::time::timeout_at(until, self.copy_parts(&parts)).await {
            Ok(result) => result,
            Err(_) => Err(sent_error(Kind::DeadlineExceeded, "the deadline passed")),
        };
        if let Err(error) = result {
            let _ = parts.try_send(sink::error_event(&error, &self.cursor.request));
        }
    }

    async fn copy_parts(&mut self, out: &mpsc::Sender<bytes::Bytes>) -> Result<(), Error> {
        let mut checker = Checker::new(self.cursor.request.as_str(), self.cursor.index + 1);
        let mut parts = Vec::new();
        loop {
            let bytes = self.stream.next().await;
            let bytes = bytes.map_err(|e| sent_error(Kind::UpstreamFailed, &e.to_string()))?;
            let Some(bytes) = bytes else {
                return Err(sent_error(
                    Kind::UpstreamFailed,
                    "the upstream closed the stream before its end",
                ));
            };
            let pushed = checker.push(bytes, |part| parts.push(part));
            pushed.map_err(|e| sent_error(Kind::UpstreamFailed, &e.to_string()))?;
            let ended = parts.iter().any(|p| matches!(p, Part::End { .. }));
            let text = self.encoder.encode(&parts);
            if out.send(text.into()).await.is_err() || ended {
                return Ok(());
            }
            parts.clear();
        }
    }
}
