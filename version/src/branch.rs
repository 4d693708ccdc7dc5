//! Names of branches of the settings. Each branch has its own source file.

use std::fmt;
use std::str::FromStr;

use foldlock_base::id;
use serde::{Deserialize, Serialize};

/// File extension of the source of a branch.
pub const EXTENSION: &str = "jsonc";

const ORGANISATION: &str = "organisation/";

/// Name of a branch. The kinds of requests of an organisation are part of its branch.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Name {
    /// The root branch, which applies to the whole fleet.
    Fleet,
    /// The branch of an organisation, with its kinds of requests.
    Organisation(id::Organisation),
}

impl Name {
    /// Path of the source, relative to the settings directory.
    pub fn path(&self) -> String {
        format!("{self}.{EXTENSION}")
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Name::Fleet => f.write_str("fleet"),
            Name::Organisation(id) => write!(f, "{ORGANISATION}{id}"),
        }
    }
}

impl FromStr for Name {
    type Err = String;
    fn from_str(text: &str) -> Result<Name, String> {
        if text == "fleet" {
            return Ok(Name::Fleet);
        }
        match text.strip_prefix(ORGANISATION) {
            Some(id) => id.parse().map(Name::Organisation).map_err(|e: id::Invalid| e.to_string()),
            None => Err(format!("{text:?} is neither `fleet` nor `{ORGANISATION}NAME`")),
        }
    }
}

impl TryFrom<String> for Name {
    type Error = String;
    fn try_from(text: String) -> Result<Name, String> {
        text.parse()
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.to_string()
    }
}
