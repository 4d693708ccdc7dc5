//! Going on with a stream for a caller who was cut off: from the cursor alone, through any VM.

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
use crate::pump::{self, Lines};

/// A stream that is gone on with.
struct Resumed {
    caller: Caller,
    cursor: Cursor,
    stream: HttpStream,
    lines: Lines,
}

/// Answers a caller who has a cursor.
pub async fn answer(
    caller: Caller,
    request: &Request<Incoming>,
    busy: drain::Busy,
) -> Result<Response<Body>, Error> {
    let text = request.headers().get(LAST_EVENT).and_then(|v| v.to_str().ok()).unwrap_or_default();
    let cursor = Cursor::verify(&caller.version.key, text)
        .map_err(|e| reject(Kind::BadRequest, format!("`{LAST_EVENT}`: {e}")))?;
    if cursor.organisation != caller.organisation {
        return Err(reject(Kind::Unauthorized, "the stream is another organisation's"));
    }
    let engine = caller.process.engines.client(&cursor.engine).ok_or_else(gone)?;
    let stream = open(&caller, &engine, &cursor).await?;
    let entry = caller.record(&format!("stream of {}", cursor.request), Tokens(0));
    let resumed = Decision::Resumed { index: cursor.index + 1, upstream: cursor.engine.clone() };
    caller.step(&entry, resumed);
    let style = if request.uri().path().contains("chat") { Style::Chat } else { Style::Completion };
    let lines = Lines::new(&cursor.request, "", style, &caller.version.key, &cursor);
    let (parts, receiver) = mpsc::channel(pump::BACKLOG);
    let resumed = Resumed { caller, cursor, stream, lines };
    tokio::spawn(async move {
        let _busy = busy;
        resumed.copy(parts).await;
    });
    Ok(answer::stream("text/event-stream", receiver))
}

fn gone() -> Error {
    let sent = Unsent::arrived().send();
    Error::sent(Kind::StreamGone, "the stream is gone; ask again", sent, true)
}

async fn open(caller: &Caller, engine: &HttpEngine, cursor: &Cursor) -> Result<HttpStream, Error> {
    let left = caller.deadline.remaining(&caller.process.clock);
    let opened = engine.resume(&cursor.stream, cursor.index + 1);
    match tokio::time::timeout(left, opened).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(Failure::Gone)) => Err(gone()),
        Ok(Err(e)) => Err(broken(Kind::UpstreamFailed, &format!("{}: {e}", cursor.engine))),
        Err(_) => Err(broken(Kind::DeadlineExceeded, "the deadline passed")),
    }
}

fn broken(kind: Kind, why: &str) -> Error {
    Error::sent(kind, why, Unsent::arrived().send(), true)
}

impl Resumed {
    /// Copies the rest of the stream to the caller.
    async fn copy(mut self, parts: mpsc::Sender<bytes::Bytes>) {
        let until = self.caller.deadline.instant().into();
        let result = match tokio::time::timeout_at(until, self.rest(&parts)).await {
            Ok(result) => result,
            Err(_) => Err(broken(Kind::DeadlineExceeded, "the deadline passed")),
        };
        if let Err(error) = result {
            let _ = parts.try_send(pump::error_event(&error, &self.cursor.request));
        }
    }

    async fn rest(&mut self, out: &mpsc::Sender<bytes::Bytes>) -> Result<(), Error> {
        let mut checker = Checker::new(self.cursor.request.as_str(), self.cursor.index + 1);
        let mut parts = Vec::new();
        loop {
            let bytes = self.stream.next().await;
            let bytes = bytes.map_err(|e| broken(Kind::UpstreamFailed, &e.to_string()))?;
            let Some(bytes) = bytes else {
                return Err(broken(Kind::UpstreamFailed, "the answer ended early"));
            };
            let pushed = checker.push(bytes, |part| parts.push(part));
            pushed.map_err(|e| broken(Kind::UpstreamFailed, &e.to_string()))?;
            let ended = parts.iter().any(|p| matches!(p, Part::End { .. }));
            let text = self.lines.write_all(&parts);
            if out.send(text.into()).await.is_err() || ended {
                return Ok(());
            }
            parts.clear();
        }
    }
}
