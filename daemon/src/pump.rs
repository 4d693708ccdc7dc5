//! Writing an answer to its caller: as events while it comes, or whole.

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

/// Batches of events that may wait for a slow caller.
pub const BACKLOG: usize = 32;

/// The usual length of an event, bytes.
const EVENT: usize = 320;

/// Collects an answer.
#[derive(Default)]
pub struct Whole {
    /// The text so far.
    pub text: String,
    /// Why it ended.
    pub reason: Option<String>,
}

impl Sink for Whole {
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
        // A caller who leaves drops the whole request.
        std::future::pending().await
    }
}

/// Writes parts of an answer as server-sent events.
pub struct Lines {
    cursor: Option<cursor::Writer>,
    head: String,
    style: Style,
}

/// Sends an answer to its caller as server-sent events.
pub struct Events {
    parts: mpsc::Sender<Bytes>,
    started: Option<oneshot::Sender<Result<(), Error>>>,
    lines: Lines,
}

/// What a caller waits for: the beginning of the answer, then its parts.
pub struct Waiting {
    /// The beginning, or the error in its place.
    pub started: oneshot::Receiver<Result<(), Error>>,
    /// The parts.
    pub parts: mpsc::Receiver<Bytes>,
}

impl Events {
    /// A sink for the answer to a request, and what its caller waits for.
    pub fn new(request: &id::Request, model: &id::Model, style: Style) -> (Events, Waiting) {
        let (parts, receiver) = mpsc::channel(BACKLOG);
        let (started, start) = oneshot::channel();
        let lines = Lines { cursor: None, head: head(request, model.as_str(), style), style };
        let events = Events { parts, started: Some(started), lines };
        (events, Waiting { started: start, parts: receiver })
    }

    /// Writes an error in place of the rest of the answer.
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

/// An error in place of the rest of an answer.
pub fn error_event(error: &Error, request: &id::Request) -> Bytes {
    let shape = serde_json::to_string(&answer::error_body(error, request)).expect("plain data");
    format!("event: error\ndata: {shape}\n\n").into()
}

/// What each event of an answer begins with.
fn head(request: &id::Request, model: &str, style: Style) -> String {
    let object = match style {
        Style::Completion => "text_completion",
        Style::Chat => "chat.completion.chunk",
    };
    format!(
        "{{\"id\":\"{request}\",\"object\":\"{object}\",\"model\":\"{model}\",\
         \"choices\":[{{\"index\":0,"
    )
}

impl Lines {
    /// A writer for a stream that is gone on with.
    pub fn new(request: &id::Request, model: &str, style: Style, key: &Key, at: &Cursor) -> Lines {
        Lines {
            cursor: Some(cursor::Writer::new(key, at)),
            head: head(request, model, style),
            style,
        }
    }

    /// Writes parts.
    pub fn write_all(&self, parts: &[Part]) -> String {
        let mut out = String::with_capacity(parts.len() * EVENT);
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
                out.push_str(&self.head);
                out.push_str(match self.style {
                    Style::Completion => "\"text\":\"\"",
                    Style::Chat => "\"delta\":{}",
                });
                let _ = write!(out, ",\"finish_reason\":{}}}]}}\n\n", Quoted(reason));
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
        out.push_str(&self.head);
        let text = Quoted(text);
        let _ = match self.style {
            Style::Completion => write!(out, "\"text\":{text}"),
            Style::Chat => write!(out, "\"delta\":{{\"content\":{text}}}"),
        };
        out.push_str(",\"finish_reason\":null}]}\n\n");
    }
}

/// A text as a JSON string.
struct Quoted<'a>(&'a str);

impl std::fmt::Display for Quoted<'_> {
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
        self.lines.cursor = Some(cursor::Writer::new(&job.version.key, &at));
    }

    async fn send(&mut self, parts: &[Part]) -> bool {
        if let Some(started) = self.started.take() {
            let _ = started.send(Ok(()));
        }
        let out = self.lines.write_all(parts);
        out.is_empty() || self.parts.send(out.into()).await.is_ok()
    }

    async fn caller_gone(&self) {
        self.parts.closed().await;
    }
}

/// The whole answer, in the style that the caller expects.
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

/// Makes the whole answer.
pub fn completion<'a>(job: &'a Job, whole: &'a Whole, tokens: u64) -> Completion<'a> {
    let (object, content) = match job.prompt.style {
        Style::Completion => ("text_completion", Content::Text(&whole.text)),
        Style::Chat => {
            ("chat.completion", Content::Message { role: "assistant", content: &whole.text })
        }
    };
    let finish_reason = whole.reason.as_deref().unwrap_or("stop");
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
