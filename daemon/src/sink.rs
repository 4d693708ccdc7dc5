//! Sinks that send an answer to its caller: as server-sent events while it is generated, or as one
//! response at its end.

use std::fmt::Write as _;

use bytes::Bytes;
use foldlock_base::error::Error;
use foldlock_base::id;
use foldlock_connection::events::Event as Part;
use foldlock_request::cursor::{self, Cursor, Key};
use foldlock_request::prompt::Style;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};

use crate::answer;
use crate::serve::{Job, Sink};

/// Maximum number of batches of events queued for a slow caller.
pub const MAX_QUEUED_BATCHES: usize = 32;

/// Typical length of an encoded event in bytes, for the capacity of buffers.
const EVENT_CAPACITY: usize = 320;

/// Collects an answer for a response without streaming.
#[derive(Default)]
pub struct Buffer {
    /// The text received so far.
    pub text: String,
    /// The finish reason, once the answer has ended.
    pub reason: Option<String>,
}

impl Sink for Buffer {
    fn on_source(&mut self, _job: &Job, _engine: &id::Upstream, _stream: &str) {}

    async fn send(&mut self, parts: &[Part]) -> bool {
        for part in parts {
            match part {
                Part::Token { text, .. } => self.text.push_str(text),
                Part::End { reason } => self.reason = Some(reason.clone()),
            }
        }
        true
    }

    async fn caller_gone(&self) {
        // When the caller disconnects, hyper drops the future of the whole request.
        std::future::pending().await
    }
}

/// Encodes parts of an answer as server-sent events.
pub struct Encoder {
    cursor: Option<cursor::Writer>,
    prefix: String,
    style: Style,
}

/// Streams an answer to its caller as server-sent events.
pub struct Events {
    parts: mpsc::Sender<Bytes>,
    started: Option<oneshot::Sender<Result<(), Error>>>,
    encoder: Encoder,
}

/// The receiving end of [`Events`]: the start of the answer, then its events.
pub struct Receiver {
    /// Receives the start of the answer, or the error in its place.
    pub started: oneshot::Receiver<Result<(), Error>>,
    /// Receives batches of encoded events.
    pub parts: mpsc::Receiver<Bytes>,
}

impl Events {
    /// Creates a sink for the answer to a request, and its receiving end.
    pub fn new(request: &id::Request, model: &id::Model, style: Style) -> (Events, Receiver) {
        let (parts, receiver) = mpsc::channel(MAX_QUEUED_BATCHES);
        let (started, start) = oneshot::channel();
        let encoder =
            Encoder { cursor: None, prefix: event_prefix(request, model.as_str(), style), style };
        let events = Events { parts, started: Some(started), encoder };
        (events, Receiver { started: start, parts: receiver })
    }

    /// Sends an error in place of the rest of the answer.
    pub async fn fail(mut self, error: Error, request: &id::Request) {
        match self.started.take() {
            Some(started) => {
                let _ = started.send(Err(error));
            }
            None => {
                let _ = self.parts.try_send(error_event(&error, request));
            }
        }
    }
}

/// Encodes an error event, which ends a stream.
pub fn error_event(error: &Error, request: &id::Request) -> Bytes {
    let body = serde_json::to_string(&answer::error_body(error, request)).expect("plain data");
    format!("event: error\ndata: {body}\n\n").into()
}

/// The JSON that each event of an answer begins with.
fn event_prefix(request: &id::Request, model: &str, style: Style) -> String {
    let object = match style {
        Style::Completion => "text_completion",
        Style::Chat => "chat.completion.chunk",
    };
    format!(
        "{{\"id\":\"{request}\",\"object\":\"{object}\",\"model\":\"{model}\",\
         \"choices\":[{{\"index\":0,"
    )
}

impl Encoder {
    /// Creates an encoder for a stream that is resumed at a cursor.
    pub fn new(
        request: &id::Request,
        model: &str,
        style: Style,
        key: &Key,
        at: &Cursor,
    ) -> Encoder {
        Encoder {
            cursor: Some(cursor::Writer::new(key, at)),
            prefix: event_prefix(request, model, style),
            style,
        }
    }

    /// Encodes parts as events.
    pub fn encode(&self, parts: &[Part]) -> String {
        let mut out = String::with_capacity(parts.len() * EVENT_CAPACITY);
        for part in parts {
            self.write(part, &mut out);
        }
        out
    }

    fn write(&self, part: &Part, out: &mut String) {
        match part {
            Part::Token { index, text } => self.token(*index, text, out),
            Part::End { reason } => {
                out.push_str("data: ");
                out.push_str(&self.prefix);
                out.push_str(match self.style {
                    Style::Completion => "\"text\":\"\"",
                    Style::Chat => "\"delta\":{}",
                });
                let _ = write!(out, ",\"finish_reason\":{}}}]}}\n\n", JsonString(reason));
                out.push_str("data: [DONE]\n\n");
            }
        }
    }

    fn token(&self, index: u64, text: &str, out: &mut String) {
        if let Some(cursor) = &self.cursor {
            out.push_str("id: ");
            cursor.write(index, out).expect("strings take all text");
            out.push('\n');
        }
        out.push_str("data: ");
        out.push_str(&self.prefix);
        let text = JsonString(text);
        let _ = match self.style {
            Style::Completion => write!(out, "\"text\":{text}"),
            Style::Chat => write!(out, "\"delta\":{{\"content\":{text}}}"),
        };
        out.push_str(",\"finish_reason\":null}]}\n\n");
    }
}

/// Displays a text as a JSON string, without a serializer if no character needs an escape.
struct JsonString<'a>(&'a str);

impl std::fmt::Display for JsonString<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let plain = |b: u8| (b' '..=b'~').contains(&b) && b != b'"' && b != b'\\';
        if self.0.bytes().all(plain) {
            return write!(f, "\"{}\"", self.0);
        }
        f.write_str(&serde_json::to_string(self.0).map_err(|_| std::fmt::Error)?)
    }
}

impl Sink for Events {
    fn on_source(&mut self, job: &Job, engine: &id::Upstream, stream: &str) {
        let at = Cursor {
            engine: engine.clone(),
            stream: stream.to_owned(),
            request: job.request.clone(),
            organisation: job.organisation.clone(),
            index: 0,
        };
        self.encoder.cursor = Some(cursor::Writer::new(&job.version.key, &at));
    }

    async fn send(&mut self, parts: &[Part]) -> bool {
        if let Some(started) = self.started.take() {
            let _ = started.send(Ok(()));
        }
        let out = self.encoder.encode(parts);
        out.is_empty() || self.parts.send(out.into()).await.is_ok()
    }

    async fn caller_gone(&self) {
        self.parts.closed().await;
    }
}

/// Body of a response without streaming, in the style of the caller's request.
#[derive(Serialize)]
pub struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(flatten)]
    content: Content<'a>,
    finish_reason: &'a str,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum Content<'a> {
    Text(&'a str),
    Message { role: &'static str, content: &'a str },
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

/// Builds the body of a response without streaming.
pub fn completion<'a>(job: &'a Job, buffer: &'a Buffer, tokens: u64) -> Completion<'a> {
    let (object, content) = match job.prompt.style {
        Style::Completion => ("text_completion", Content::Text(&buffer.text)),
        Style::Chat => {
            ("chat.completion", Content::Message { role: "assistant", content: &buffer.text })
        }
    };
    let finish_reason = buffer.reason.as_deref().unwrap_or("stop");
    Completion {
        id: job.request.as_str(),
        object,
        model: job.prompt.model.as_str(),
        choices: [Choice { index: 0, content, finish_reason }],
        usage: Usage {
            prompt_tokens: job.tokens.0,
            completion_tokens: tokens,
            total_tokens: job.tokens.0 + tokens,
        },
    }
}
