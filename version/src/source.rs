//! Parser of branch sources (JSON with comments) that keeps the position of each value.

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions};
use serde_json::Value;

/// Position in a source, counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Line number.
    pub line: usize,
    /// Column number, in characters.
    pub column: usize,
}

impl Position {
    /// Position of a byte offset.
    pub fn of(text: &str, offset: usize) -> Position {
        let before = text.get(..offset).unwrap_or(text);
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Position { line, column: before[start..].chars().count() + 1 }
    }
}

/// A syntax error, or a duplicate name in an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// Position of the error.
    pub position: Position,
    /// Description of the error.
    pub reason: String,
}

/// Strict JSON, except that comments and trailing commas are allowed.
const OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
};

/// A parsed source.
pub struct Source<'a> {
    text: &'a str,
    root: ast::Value<'a>,
}

impl<'a> Source<'a> {
    /// Parses a text and rejects duplicate names.
    pub fn parse(text: &'a str) -> Result<Source<'a>, Failure> {
        let parsed = jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &OPTIONS)
            .map_err(|e| Failure {
                position: Position::of(text, e.range().start),
                reason: e.kind().to_string(),
            })?;
        let root = parsed.value.ok_or(Failure {
            position: Position { line: 1, column: 1 },
            reason: "the source is empty".to_owned(),
        })?;
        if let Some((offset, name)) = find_duplicate_name(&root) {
            let reason = format!("duplicate name {name:?} in the same object");
            return Err(Failure { position: Position::of(text, offset), reason });
        }
        Ok(Source { text, root })
    }

    /// The parsed value, without comments.
    pub fn value(&self) -> Value {
        self.root.clone().into()
    }

    /// Position of the value at a path of names and indexes, or of the innermost value on that path
    /// that exists.
    pub fn position(&self, path: &[String]) -> Position {
        let mut value = &self.root;
        let mut offset = value.range().start;
        for step in path {
            let next = match value {
                ast::Value::Object(object) => object
                    .properties
                    .iter()
                    .find(|p| p.name.as_str() == step)
                    .map(|p| (p.range.start, &p.value)),
                ast::Value::Array(array) => step
                    .parse::<usize>()
                    .ok()
                    .and_then(|i| array.elements.get(i))
                    .map(|e| (e.range().start, e)),
                _ => None,
            };
            let Some((start, inner)) = next else { break };
            offset = start;
            value = inner;
        }
        Position::of(self.text, offset)
    }
}

/// Finds the first duplicate name in an object, with its byte offset.
fn find_duplicate_name(value: &ast::Value<'_>) -> Option<(usize, String)> {
    match value {
        ast::Value::Object(object) => {
            let mut seen = std::collections::HashSet::new();
            object.properties.iter().find_map(|p| {
                if !seen.insert(p.name.as_str()) {
                    return Some((p.range.start, p.name.as_str().to_owned()));
                }
                find_duplicate_name(&p.value)
            })
        }
        ast::Value::Array(array) => array.elements.iter().find_map(find_duplicate_name),
        _ => None,
    }
}
