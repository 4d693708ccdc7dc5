//! Output as text or JSON.

use std::io::{IsTerminal, Write, stdout};

use serde::Serialize;

use crate::app::Color;

/// Writes to standard output.
#[derive(Debug, Clone, Copy)]
pub struct Output {
    /// Whether to write JSON instead of text.
    pub json: bool,
    color: bool,
}

/// The meaning of a coloured text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mark {
    /// A good state, in green.
    Good,
    /// A bad state, in red.
    Bad,
    /// Less important text, dimmed.
    Dim,
}

impl Output {
    /// Creates an output, with colours if requested or supported.
    pub fn new(json: bool, color: Color) -> Output {
        let plain = std::env::var_os("NO_COLOR").is_some_and(|v| !v.is_empty());
        let color = match color {
            Color::Always => true,
            Color::Never => false,
            Color::Auto => stdout().is_terminal() && !plain,
        };
        Output { json, color }
    }

    /// The text in the colour of `mark`, or unchanged if colours are off.
    pub fn mark(&self, mark: Mark, text: &str) -> String {
        if !self.color {
            return text.to_owned();
        }
        let code = match mark {
            Mark::Good => 32,
            Mark::Bad => 31,
            Mark::Dim => 2,
        };
        format!("\x1b[{code}m{text}\x1b[0m")
    }

    /// Writes a line. Write errors are ignored, as the reader of a pipe may have closed it.
    pub fn line(&self, text: &str) {
        let _ = writeln!(stdout(), "{text}");
    }

    /// Writes a value as JSON on one line.
    pub fn value<T: Serialize>(&self, value: &T) {
        self.line(&serde_json::to_string(value).expect("plain data"));
    }
}
