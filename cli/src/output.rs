//! Writing for people and for scripts.

use std::io::{IsTerminal, Write, stdout};

use serde::Serialize;

use crate::app::Color;

/// How to write.
#[derive(Debug, Clone, Copy)]
pub struct Output {
    /// JSON in place of text.
    pub json: bool,
    color: bool,
}

/// What a word is coloured for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mark {
    /// Good.
    Good,
    /// Bad.
    Bad,
    /// Less important.
    Dim,
}

impl Output {
    /// Decides on colour.
    pub fn new(json: bool, color: Color) -> Output {
        let plain = std::env::var_os("NO_COLOR").is_some_and(|v| !v.is_empty());
        let color = match color {
            Color::Always => true,
            Color::Never => false,
            Color::Auto => stdout().is_terminal() && !plain,
        };
        Output { json, color }
    }

    /// A word in colour, where there is colour.
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

    /// Writes a line. A reader who has gone away is no error.
    pub fn line(&self, text: &str) {
        let _ = writeln!(stdout(), "{text}");
    }

    /// Writes a value as JSON on one line.
    pub fn value<T: Serialize>(&self, value: &T) {
        self.line(&serde_json::to_string(value).expect("plain data"));
    }
}
