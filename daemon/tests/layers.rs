//! The modules of `src/fleet` have no import cycles: those that handle requests import those that they
//! use, and the module of the process state imports none that uses it.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::Path;

/// The modules of `src/fleet`, each with the modules of the folder that it or one of its submodules imports.
fn modules() -> BTreeMap<String, BTreeSet<String>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src/fleet");
    let files = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let sources = files.filter(|path| path.extension().is_some_and(|e| e == "rs"));
    let entries = sources.map(|path| {
        let name = path.file_stem().unwrap().to_str().unwrap().to_owned();
        (name, imports(&source(&path)))
    });
    let mut modules: BTreeMap<String, BTreeSet<String>> = entries.collect();
    let names: BTreeSet<String> = modules.keys().cloned().collect();
    modules.iter_mut().for_each(|(name, of)| of.retain(|m| m != name && names.contains(m)));
    modules
}

/// The source of a module, followed by that of its submodules.
fn source(path: &Path) -> String {
    let mut text = fs::read_to_string(path).unwrap();
    let submodules = fs::read_dir(path.with_extension("")).into_iter().flatten();
    for submodule in submodules.map(|entry| entry.unwrap().path()) {
        if submodule.extension().is_some_and(|e| e == "rs") {
            text.push('\n');
            text.push_str(&source(&submodule));
        }
    }
    text
}

/// The first path segments after `crate::fleet::`, including those in braces.
fn imports(source: &str) -> BTreeSet<String> {
    let code: String = source.lines().filter(|line| !line.trim_start().starts_with("//")).collect();
    let mut found = BTreeSet::new();
    for rest in code.split("crate::fleet::").skip(1) {
        let list = match rest.strip_prefix('{') {
            Some(inner) => inner.split('}').next().unwrap_or_default(),
            None => rest.split([';', '<', '(']).next().unwrap_or_default(),
        };
        let word = |c: char| !c.is_alphanumeric() && c != '_';
        found
            .extend(list.split(',').filter_map(|n| n.trim().split(word).next().map(str::to_owned)));
    }
    found
}

#[test]
fn imports_have_no_cycles() {
    let mut modules = modules();
    assert!(modules.len() > 30, "{modules:?}");
    assert!(modules["serve"].contains("queue") && modules["grant_requests"].contains("announce"));
    // Topological sort: removes a module without remaining imports until none is left.
    while let Some(leaf) =
        modules.iter().find(|(_, of)| of.is_empty()).map(|(name, _)| name.clone())
    {
        modules.remove(&leaf);
        modules.values_mut().for_each(|of| {
            of.remove(&leaf);
        });
    }
    assert!(modules.is_empty(), "import cycle between: {modules:#?}");
}
