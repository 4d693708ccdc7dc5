//! An HTTP client of foldlock: sends requests and parses the responses.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use foldlock_connection::http::{Client, Failure, body};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use serde_json::{Value, json};

/// A completion request.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// The bearer key.
    pub key: String,
    /// The request kind; none to use the default.
    pub kind: Option<String>,
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Whether the response is streamed.
    pub stream: bool,
    /// The timeout sent with the request.
    pub timeout: Option<Duration>,
    /// The idempotency key.
    pub idempotency_key: Option<String>,
}

/// The parsed response.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// The HTTP status; 0 if the connection broke before the response head.
    pub status: u16,
    /// The request's id.
    pub request: String,
    /// The generated text.
    pub text: String,
    /// Number of generated tokens.
    pub tokens: u64,
    /// The cursor of the last event.
    pub cursor: Option<String>,
    /// Whether the response was received completely.
    pub complete: bool,
    /// The error's kind.
    pub kind: Option<String>,
    /// The error's `ran` field: whether the request may have run.
    pub ran: Option<String>,
    /// Time after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// Time from sending the request to the first token.
    pub first_token: Option<Duration>,
    /// Time from sending the request to the end of the response.
    pub total: Duration,
    /// The longest time between two consecutive tokens.
    pub longest_gap: Duration,
}

/// Sends a request and reads the response to its end.
pub async fn send(client: &Client, vm: SocketAddr, request: &Request) -> Answer {
    let body_text = json!({
        "model": request.model,
        "prompt": request.prompt,
        "max_tokens": request.max_tokens,
        "stream": request.stream,
    })
    .to_string();
    let mut message = hyper::Request::post(format!("http://{vm}/v1/completions"))
        .header("authorization", format!("Bearer {}", request.key));
    if let Some(kind) = &request.kind {
        message = message.header("x-request-kind", kind);
    }
    if let Some(timeout) = request.timeout {
        message = message.header("x-request-timeout-ms", timeout.as_millis() as u64);
    }
    if let Some(key) = &request.idempotency_key {
        message = message.header("idempotency-key", key);
    }
    read(client, message.body(body(body_text)).expect("plain headers")).await
}

/// Resumes a stream from a cursor.
pub async fn resume(client: &Client, vm: SocketAddr, key: &str, cursor: &str) -> Answer {
    let request = hyper::Request::get(format!("http://{vm}/v1/streams"))
        .header("authorization", format!("Bearer {key}"))
        .header("last-event-id", cursor);
    read(client, request.body(body("")).expect("plain headers")).await
}

async fn read(
    client: &Client,
    request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
) -> Answer {
    let mut reader = Reader::default();
    let started = Instant::now();
    match client.send(request).await {
        Ok(response) => reader.read_response(response, started).await,
        Err(Failure::Connect(_) | Failure::Broken(_)) => {}
    }
    reader.answer.total = started.elapsed();
    reader.answer
}

#[derive(Default)]
struct Reader {
    answer: Answer,
    buffer: Vec<u8>,
    last_token: Option<Instant>,
}

impl Reader {
    async fn read_response(&mut self, response: Response<Incoming>, started: Instant) {
        let header = |name: &str| {
            response
                .headers()
                .get(name)
                .and_then(|v| v.to_str().ok())
                .unwrap_or_default()
                .to_owned()
        };
        self.answer.status = response.status().as_u16();
        self.answer.request = header("x-request-id");
        self.answer.retry_after = header("retry-after-ms").parse().ok().map(Duration::from_millis);
        let events = header("content-type") == "text/event-stream";
        let mut body = response.into_body();
        while let Some(Ok(frame)) = body.frame().await {
            let Ok(bytes) = frame.into_data() else { continue };
            self.buffer.extend_from_slice(&bytes);
            if events {
                self.parse_events(started);
            }
        }
        if !events {
            self.parse_body();
        }
    }

    fn parse_body(&mut self) {
        let Ok(value) = serde_json::from_slice::<Value>(&self.buffer) else { return };
        if let Some(text) = value["choices"][0]["text"].as_str() {
            self.answer.text = text.to_owned();
            self.answer.tokens = value["usage"]["completion_tokens"].as_u64().unwrap_or(0);
            self.answer.complete = true;
        }
        self.parse_error(&value);
    }

    fn parse_error(&mut self, value: &Value) {
        let field = |name: &str| value["error"][name].as_str().map(str::to_owned);
        self.answer.kind = field("kind");
        self.answer.ran = field("ran");
    }

    fn parse_events(&mut self, started: Instant) {
        while let Some(end) = self.buffer.windows(2).position(|w| w == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            self.parse_event(&String::from_utf8_lossy(&event), started);
        }
    }

    fn parse_event(&mut self, event: &str, started: Instant) {
        let line = |name: &str| event.lines().find_map(|l| l.strip_prefix(name));
        let Some(data) = line("data: ") else { return };
        if data == "[DONE]" {
            self.answer.complete = true;
            return;
        }
        let Ok(value) = serde_json::from_str::<Value>(data) else { return };
        if event.starts_with("event: error") {
            self.parse_error(&value);
            return;
        }
        let text = value["choices"][0]["text"].as_str().unwrap_or_default();
        if let Some(cursor) = line("id: ") {
            self.record_token(text, cursor, started);
        }
    }

    fn record_token(&mut self, text: &str, cursor: &str, started: Instant) {
        let now = Instant::now();
        self.answer.first_token.get_or_insert(now - started);
        if let Some(previous) = self.last_token {
            self.answer.longest_gap = self.answer.longest_gap.max(now - previous);
        }
        self.last_token = Some(now);
        self.answer.text.push_str(text);
        self.answer.tokens += 1;
        self.answer.cursor = Some(cursor.to_owned());
    }
}
