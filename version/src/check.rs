//! Validates branches against their JSON schema. Faults give the position and what is allowed.

use std::fmt;
use std::sync::LazyLock;

use jsonschema::Validator;
use jsonschema::error::ValidationErrorKind;
use schemars::JsonSchema;
use serde_json::Value;

use crate::branch::Name;
use crate::schema;
use crate::source::{Position, Source};

/// Maximum edit distance at which a valid name is suggested for an unknown one.
const MAX_SUGGESTION_DISTANCE: usize = 3;

/// Maximum length of a value quoted in a fault, characters.
const MAX_QUOTED_CHARS: usize = 60;

/// A fault in a source.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Branch that has the fault.
    pub branch: Name,
    /// Position in the source of the branch.
    pub position: Position,
    /// Path to the value, as names and indexes.
    pub path: Vec<String>,
    /// The faulty value, truncated; empty if there is none.
    pub value: String,
    /// Description of what is wrong and what is allowed.
    pub reason: String,
    /// Valid name that was possibly meant.
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

/// The name in `names` that is closest to `name`, if its edit distance is small enough.
pub fn nearest<'a>(name: &str, names: impl IntoIterator<Item = &'a str>) -> Option<String> {
    names
        .into_iter()
        .map(|k| (strsim::damerau_levenshtein(name, k), k))
        .filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE)
        .min()
        .map(|(_, k)| k.to_owned())
}

/// Formats a value as text, truncated to fit on a line.
pub fn quote(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= MAX_QUOTED_CHARS {
        return text;
    }
    text.chars().take(MAX_QUOTED_CHARS).chain("…".chars()).collect()
}

/// A compiled schema, and its JSON form in which valid property names are looked up.
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

    /// Valid property names at an instance path.
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

/// JSON schema for the source of a branch.
pub fn schema(branch: &Name) -> &'static Value {
    &schema_of(branch).value
}

fn schema_of(branch: &Name) -> &'static Schema {
    match branch {
        Name::Fleet => &FLEET,
        Name::Organisation(_) => &ORGANISATION,
    }
}

/// Validates a branch by itself. References between branches are checked by the tree.
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
    let allowed = schema.property_names(path);
    let mut inner = path.to_vec();
    inner.push(name.to_owned());
    Fault {
        branch: branch.clone(),
        position: source.position(&inner),
        path: inner,
        value: name.to_owned(),
        reason: format!("unknown name `{name}`; allowed names: {}", allowed.join(", ")),
        nearest: nearest(name, allowed),
    }
}

fn nearest_option(value: &Value, options: &Value) -> Option<String> {
    let names = options.as_array()?.iter().filter_map(Value::as_str);
    nearest(value.as_str()?, names)
}

/// Splits a JSON pointer into names and indexes.
fn pointer_segments(pointer: &str) -> Vec<String> {
    pointer.split('/').skip(1).map(|s| s.replace("~1", "/").replace("~0", "~")).collect()
}
