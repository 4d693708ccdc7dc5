//! `check` and `schema`.

use foldlock_version::branch::Name;
use foldlock_version::check;
use serde::Serialize;

use crate::app::{SchemaOf, Tree};
use crate::error::Error;
use crate::files;
use crate::output::{Mark, Output};

#[derive(Serialize)]
struct Counts {
    ok: bool,
    organisations: usize,
    kinds: usize,
    engines: usize,
    models: usize,
    services: usize,
}

/// Checks a directory of settings.
pub fn run(args: &Tree, output: Output) -> Result<(), Error> {
    let (_, tree) = files::tree(&args.dir)?;
    let counts = Counts {
        ok: true,
        organisations: tree.organisations.len(),
        kinds: tree.organisations.values().map(|o| o.kinds.len()).sum(),
        engines: tree.fleet.engines.len(),
        models: tree.fleet.models.len(),
        services: tree.fleet.services.len(),
    };
    if output.json {
        output.value(&counts);
        return Ok(());
    }
    output.line(&format!(
        "{}: {} organisations, {} kinds, {} engines, {} models, {} services",
        output.mark(Mark::Good, "ok"),
        counts.organisations,
        counts.kinds,
        counts.engines,
        counts.models,
        counts.services,
    ));
    Ok(())
}

/// Prints the JSON schema of a branch.
pub fn schema(args: &SchemaOf, output: Output) -> Result<(), Error> {
    let branch: Name = args.branch.parse().map_err(Error::Usage)?;
    let text = serde_json::to_string_pretty(check::schema(&branch)).expect("plain data");
    output.line(&text);
    Ok(())
}
