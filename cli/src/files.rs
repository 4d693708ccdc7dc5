//! Reads and writes a directory of settings.

use std::fs;
use std::path::{Path, PathBuf};

use foldlock_version::branch::{EXTENSION, Name};
use foldlock_version::publish::Base;
use foldlock_version::tree::{Texts, Tree};

use crate::error::Error;

/// The file that names the version that the directory is based on.
pub const BASE: &str = ".base.json";

const ORGANISATIONS: &str = "organisation";

fn file_error(path: &Path) -> impl FnOnce(std::io::Error) -> Error {
    let path = path.display().to_string();
    move |e| Error::File(path, e)
}

/// Reads the texts of all branches.
pub fn read(dir: &Path) -> Result<Texts, Error> {
    let mut texts = Texts::new();
    let fleet = dir.join(Name::Fleet.path());
    texts.insert(Name::Fleet, fs::read_to_string(&fleet).map_err(file_error(&fleet))?.into());
    let organisations = dir.join(ORGANISATIONS);
    if !organisations.exists() {
        return Ok(texts);
    }
    for entry in fs::read_dir(&organisations).map_err(file_error(&organisations))? {
        let path = entry.map_err(file_error(&organisations))?.path();
        if let Some(name) = name_of(&path)? {
            texts.insert(name, fs::read_to_string(&path).map_err(file_error(&path))?.into());
        }
    }
    Ok(texts)
}

/// The branch that a file contains; `None` for files with another extension.
fn name_of(path: &Path) -> Result<Option<Name>, Error> {
    if path.extension().is_none_or(|e| e != EXTENSION) {
        return Ok(None);
    }
    let stem = path.file_stem().and_then(|s| s.to_str()).unwrap_or_default();
    let id = stem.parse().map_err(|e| Error::Usage(format!("{}: {e}", path.display())))?;
    Ok(Some(Name::Organisation(id)))
}

/// Reads and checks the settings in a directory.
pub fn tree(dir: &Path) -> Result<(Texts, Tree), Error> {
    let texts = read(dir)?;
    let tree = Tree::build(&texts).map_err(Error::Faults)?;
    Ok((texts, tree))
}

/// Reads the version that a directory is based on; the default, before the first version, if it
/// names none.
pub fn base(dir: &Path) -> Result<Base, Error> {
    let path = dir.join(BASE);
    if !path.exists() {
        return Ok(Base::default());
    }
    let text = fs::read(&path).map_err(file_error(&path))?;
    serde_json::from_slice(&text).map_err(|e| Error::File(path.display().to_string(), e.into()))
}

/// Writes the version that a directory is based on.
pub fn write_base(dir: &Path, base: &Base) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(base).expect("plain data");
    let path = dir.join(BASE);
    fs::write(&path, text + "\n").map_err(file_error(&path))
}

/// Writes the texts of all branches and removes files of branches that no longer exist.
pub fn write(dir: &Path, texts: &Texts) -> Result<(), Error> {
    let organisations = dir.join(ORGANISATIONS);
    fs::create_dir_all(&organisations).map_err(file_error(&organisations))?;
    for (name, text) in texts {
        let path = dir.join(name.path());
        fs::write(&path, text.as_bytes()).map_err(file_error(&path))?;
    }
    for entry in fs::read_dir(&organisations).map_err(file_error(&organisations))? {
        let path = entry.map_err(file_error(&organisations))?.path();
        if name_of(&path)?.is_some_and(|name| !texts.contains_key(&name)) {
            fs::remove_file(&path).map_err(file_error(&path))?;
        }
    }
    Ok(())
}

/// Whether `fetch` may write to a directory: it is empty, or its files are unchanged since they were
/// fetched.
pub fn can_fetch(dir: &Path) -> Result<bool, Error> {
    if !dir.exists() {
        return Ok(true);
    }
    let entries: Vec<PathBuf> = fs::read_dir(dir)
        .map_err(file_error(dir))?
        .filter_map(|e| e.ok().map(|e| e.path()))
        .collect();
    if entries.is_empty() {
        return Ok(true);
    }
    if !dir.join(BASE).exists() {
        return Ok(false);
    }
    let texts = read(dir)?;
    let hashes = texts.iter().map(|(n, t)| (n.clone(), foldlock_version::head::Hash::of(t)));
    Ok(hashes.collect::<std::collections::BTreeMap<_, _>>() == base(dir)?.branches)
}
