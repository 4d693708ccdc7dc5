//! Checks of a branch against the schema, with errors that name the place and what is allowed.

use std::fmt;
use std::sync::LazyLock;

use jsonschema::Validator;
use jsonschema::error::ValidationErrorKind;
use schemars::JsonSchema;
use serde_json::Value;

use crate::branch::Name;
use crate::schema;
use crate::source::{Position, Source};

/// A name at most this many edits away is offered as the one that was meant.
const MAX_SUGGESTION_DISTANCE: usize = 3;

/// The longest value that is quoted in a fault, characters.
const MAX_QUOTED_CHARS: usize = 60;

/// One fault of a source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The branch.
    pub branch: Name,
    /// The place in its source.
    pub position: Position,
    /// The path of names to the value.
    pub path: Vec<String>,
    /// The value.
    pub value: String,
    /// What is wrong and what is allowed.
    pub reason: String,
    /// The known name that was perhaps meant.
    pub nearest: Option<String>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.branch.path(), self.position.line, self.position.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path.join("."))?;
        }
        f.write_str(&self.reason)?;
        match &self.nearest {
            Some(name) => write!(f, "; did you mean `{name}`?"),
            None => Ok(()),
        }
    }
}

/// The known name nearest to `name`, if one is near.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<String> {
    known
        .into_iter()
        .map(|k| (strsim::damerau_levenshtein(name, k), k))
        .filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE)
        .min()
        .map(|(_, k)| k.to_owned())
}

/// A value as text, cut to a length that a line can show.
pub fn quote(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_QUOTED_CHARS {
        return text;
    }
    text.chars().take(MAX_QUOTED_CHARS).chain("…".chars()).collect()
}

/// A compiled schema with its source, in which known names are looked up.
struct Schema {
    value: Value,
    validator: Validator,
}

impl Schema {
    fn of<T: JsonSchema>() -> Schema {
        let value = schemars::schema_for!(T).to_value();
        let validator = jsonschema::validator_for(&value).expect("derived schemas compile");
        Schema { value, validator }
    }

    /// The property names that are known at an instance path.
    fn property_names(&self, path: &[String]) -> Vec<&str> {
        let mut at = &self.value;
        for step in path {
            at = self.resolve(at);
            let inner = at["properties"].get(step).or_else(|| at.get("additionalProperties"));
            match inner {
                Some(inner) => at = inner,
                None => return Vec::new(),
            }
        }
        let properties = self.resolve(at)["properties"].as_object();
        properties.map_or(Vec::new(), |p| p.keys().map(String::as_str).collect())
    }

    fn resolve<'a>(&'a self, at: &'a Value) -> &'a Value {
        let Some(reference) = at["$ref"].as_str() else { return at };
        self.value.pointer(reference.trim_start_matches('#')).unwrap_or(at)
    }
}

static FLEET: LazyLock<Schema> = LazyLock::new(Schema::of::<schema::Fleet>);
static ORGANISATION: LazyLock<Schema> = LazyLock::new(Schema::of::<schema::Organisation>);

/// The JSON schema of a branch's source.
pub fn schema(branch: &Name) -> &'static Value {
    &schema_of(branch).value
}

fn schema_of(branch: &Name) -> &'static Schema {
    match branch {
        Name::Fleet => &FLEET,
        Name::Organisation(_) => &ORGANISATION,
    }
}

/// Checks one branch by itself. References to other branches are the tree's to check.
pub fn source(branch: &Name, source: &Source<'_>) -> Vec<Fault> {
    let schema = schema_of(branch);
    let value = source.value();
    let mut faults = Vec::new();
    for error in schema.validator.iter_errors(&value) {
        let path = pointer_segments(&error.instance_path.to_string());
        match &error.kind {
            ValidationErrorKind::AdditionalProperties { unexpected } => {
                for name in unexpected {
                    faults.push(unknown_name(branch, source, schema, &path, name));
                }
            }
            kind => faults.push(Fault {
                branch: branch.clone(),
                position: source.position(&path),
                nearest: match kind {
                    ValidationErrorKind::Enum { options } => {
                        nearest_option(&error.instance, options)
                    }
                    _ => None,
                },
                path,
                value: quote(&error.instance),
                reason: error.to_string(),
            }),
        }
    }
    faults.sort_by_key(|f| f.position);
    faults
}

fn unknown_name(
    branch: &Name,
    source: &Source<'_>,
    schema: &Schema,
    path: &[String],
    name: &str,
) -> Fault {
    let known = schema.property_names(path);
    let mut inner = path.to_vec();
    inner.push(name.to_owned());
    Fault {
        branch: branch.clone(),
        position: source.position(&inner),
        path: inner,
        value: name.to_owned(),
        reason: format!("unknown name `{name}`; known here: {}", known.join(", ")),
        nearest: nearest(name, known),
    }
}

fn nearest_option(value: &Value, options: &Value) -> Option<String> {
    let names = options.as_array()?.iter().filter_map(Value::as_str);
    nearest(value.as_str()?, names)
}

/// The names and indexes of a JSON pointer.
fn pointer_segments(pointer: &str) -> Vec<String> {
    pointer.split('/').skip(1).map(|s| s.replace("~1", "/").replace("~0", "~")).collect()
}
