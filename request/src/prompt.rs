//! Reading a caller's completion or chat request.

use std::fmt;

use bytes::Bytes;
use foldlock_base::id;
use foldlock_base::size::Tokens;
use serde::Deserialize;

/// Which of the two styles of answer a caller expects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Style {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

/// A request as foldlock routes it.
#[derive(Debug, Clone)]
pub struct Prompt {
    /// The style of the answer.
    pub style: Style,
    /// The model.
    pub model: id::Model,
    /// The text that the engine reads.
    pub text: Bytes,
    /// The most tokens of the answer, if the caller said so.
    pub max_tokens: Option<u64>,
    /// Whether the answer is streamed.
    pub stream: bool,
}

impl Prompt {
    /// The tokens of the text.
    pub fn tokens(&self, bytes_per_token: u32) -> Tokens {
        Tokens::of_bytes(self.text.len(), bytes_per_token)
    }
}

/// A body that is not a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Malformed {
    /// Not JSON of the shape that is expected.
    Json(String),
    /// There is no text.
    EmptyPrompt,
    /// An answer of no tokens is asked for.
    ZeroMaxTokens,
    /// The model's name is not a name.
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

/// Reads a body.
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

/// The messages as one text, each behind its role.
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
