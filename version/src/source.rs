//! A branch's source: JSON with comments, with the place of each value.

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions};
use serde_json::Value;

/// A place in a source, counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

impl Place {
    /// The place of a byte offset.
    pub fn of(text: &str, offset: usize) -> Place {
        let before = text.get(..offset).unwrap_or(text);
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Place { line, column: before[start..].chars().count() + 1 }
    }
}

/// A text that is not JSON with comments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    /// Where it breaks.
    pub place: Place,
    /// Why.
    pub why: String,
}

/// Strict JSON, but for comments and trailing commas.
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
    /// Parses a text.
    pub fn parse(text: &'a str) -> Result<Source<'a>, Broken> {
        let parsed =
            jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &OPTIONS).map_err(
                |e| Broken { place: Place::of(text, e.range().start), why: e.kind().to_string() },
            )?;
        let root = parsed.value.ok_or(Broken {
            place: Place { line: 1, column: 1 },
            why: "the source is empty".to_owned(),
        })?;
        if let Some((offset, name)) = duplicate(&root) {
            let why = format!("{name:?} stands twice in the same object");
            return Err(Broken { place: Place::of(text, offset), why });
        }
        Ok(Source { text, root })
    }

    /// The value as plain JSON.
    pub fn value(&self) -> Value {
        self.root.clone().into()
    }

    /// The place of the value at a path of names and indexes, or of the nearest one around it.
    pub fn place(&self, path: &[String]) -> Place {
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
        Place::of(self.text, offset)
    }
}

/// The first name that stands twice in one object, with its offset.
fn duplicate(value: &ast::Value<'_>) -> Option<(usize, String)> {
    match value {
        ast::Value::Object(object) => {
            let mut seen = std::collections::HashSet::new();
            object.properties.iter().find_map(|p| {
                if !seen.insert(p.name.as_str()) {
                    return Some((p.range.start, p.name.as_str().to_owned()));
                }
                duplicate(&p.value)
            })
        }
        ast::Value::Array(array) => array.elements.iter().find_map(duplicate),
        _ => None,
    }
}
