//! Parsing of callers' completion and chat requests.

use std::fmt;

use bytes::Bytes;
use foldlock_base::id;
use foldlock_base::size::Tokens;
use serde::Deserialize;

/// The API style of a request and of its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Style {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

/// A parsed request.
#[derive(Debug, Clone)]
pub struct Prompt {
    /// The API style of the response.
    pub style: Style,
    /// The requested model.
    pub model: id::Model,
    /// The prompt text that is sent to the engine.
    pub text: Bytes,
    /// Maximum number of tokens to generate, if the caller set one.
    pub max_tokens: Option<u64>,
    /// Whether the response is streamed.
    pub stream: bool,
}

impl Prompt {
    /// Estimated number of tokens of the text.
    pub fn tokens(&self, bytes_per_token: u32) -> Tokens {
        Tokens::of_bytes(self.text.len(), bytes_per_token)
    }
}

/// Why a request body is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Malformed {
    /// It is not JSON, or does not have the expected fields.
    Json(String),
    /// The prompt is empty.
    EmptyPrompt,
    /// `max_tokens` is 0.
    ZeroMaxTokens,
    /// The model name is invalid.
    Model(id::Invalid),
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Malformed::Json(why) => write!(f, "the body cannot be read: {why}"),
            Malformed::EmptyPrompt => write!(f, "the prompt is empty"),
            Malformed::ZeroMaxTokens => write!(f, "`max_tokens` must be at least 1"),
            Malformed::Model(why) => write!(f, "`model`: {why}"),
        }
    }
}

impl std::error::Error for Malformed {}

#[derive(Deserialize)]
struct Completion {
    model: String,
    prompt: String,
    #[serde(flatten)]
    common: Common,
}

#[derive(Deserialize)]
struct Chat {
    model: String,
    messages: Vec<Message>,
    #[serde(flatten)]
    common: Common,
}

#[derive(Deserialize)]
struct Common {
    #[serde(default, alias = "max_completion_tokens")]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

/// Parses a request body.
pub fn parse(style: Style, body: &[u8]) -> Result<Prompt, Malformed> {
    let json = |e: serde_json::Error| Malformed::Json(e.to_string());
    let (model, text, common) = match style {
        Style::Completion => {
            let body: Completion = serde_json::from_slice(body).map_err(json)?;
            (body.model, body.prompt, body.common)
        }
        Style::Chat => {
            let body: Chat = serde_json::from_slice(body).map_err(json)?;
            (body.model, transcript(&body.messages), body.common)
        }
    };
    if text.is_empty() {
        return Err(Malformed::EmptyPrompt);
    }
    if common.max_tokens == Some(0) {
        return Err(Malformed::ZeroMaxTokens);
    }
    Ok(Prompt {
        style,
        model: model.parse().map_err(Malformed::Model)?,
        text: text.into(),
        max_tokens: common.max_tokens,
        stream: common.stream,
    })
}

/// Joins the messages into one text, each prefixed with its role.
fn transcript(messages: &[Message]) -> String {
    let mut text = String::new();
    for message in messages {
        text.push_str(&message.role);
        text.push_str(": ");
        text.push_str(&message.content);
        text.push('\n');
    }
    text
}
