//! `show`: the effective settings of a branch and where each value is set.

use foldlock_base::id;
use foldlock_version::check::nearest;
use foldlock_version::tree::{Effective, Tree};
use serde_json::{Map, Value};

use crate::app::Show;
use crate::error::Error;
use crate::files;
use crate::output::{Mark, Output};

/// Shows the effective settings of a branch.
pub fn run(args: &Show, output: Output) -> Result<(), Error> {
    let (_, tree) = files::tree(&args.dir)?;
    let effective = find(&tree, &args.branch)?;
    let values = match serde_json::to_value(&*effective.policy) {
        Ok(Value::Object(values)) => values,
        _ => Map::new(),
    };
    if output.json {
        output.value(&as_json(&values, effective, args.origin));
        return Ok(());
    }
    let width = values.keys().map(String::len).max().unwrap_or(0);
    for (name, value) in &values {
        let mut line = format!("{name:width$}  {value}");
        if args.origin {
            let origin = effective.origins.get(name).map(ToString::to_string).unwrap_or_default();
            line = format!("{line:<w$}  {}", output.mark(Mark::Dim, &origin), w = width + 18);
        }
        output.line(&line);
    }
    Ok(())
}

fn as_json(values: &Map<String, Value>, effective: &Effective, origin: bool) -> Value {
    if !origin {
        return Value::Object(values.clone());
    }
    let with_origin = |(name, value): (&String, &Value)| {
        let origin = effective.origins.get(name).map(ToString::to_string);
        (name.clone(), serde_json::json!({ "value": value, "origin": origin }))
    };
    Value::Object(values.iter().map(with_origin).collect())
}

fn find<'a>(tree: &'a Tree, branch: &str) -> Result<&'a Effective, Error> {
    let branch = branch.strip_prefix("organisation/").unwrap_or(branch);
    let (name, kind) = match branch.split_once('/') {
        Some((name, kind)) => (name, Some(kind)),
        None => (branch, None),
    };
    let organisation = name.parse::<id::Organisation>().ok();
    let Some(found) = organisation.and_then(|o| tree.organisations.get(&o)) else {
        return Err(not_found("organisation", name, tree.organisations.keys().map(AsRef::as_ref)));
    };
    let Some(kind) = kind else { return Ok(&found.base) };
    let effective = kind.parse::<id::Kind>().ok().and_then(|k| found.kinds.get(&k));
    effective.ok_or_else(|| not_found("kind", kind, found.kinds.keys().map(AsRef::as_ref)))
}

fn not_found<'a>(what: &str, name: &str, names: impl Iterator<Item = &'a str>) -> Error {
    let hint = nearest(name, names).map(|n| format!("; did you mean `{n}`?")).unwrap_or_default();
    Error::NotFound(format!("there is no {what} `{name}`{hint}"))
}
