//! Revisions of the directory, ordered across restores.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A revision of the directory. A directory that is restored from a copy reuses revision numbers,
/// so numbers are comparable only within an era: of two revisions, the one of the later era is
/// newer, and within an era the one with the higher number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// How often the directory was restored from a copy; 0 if the directory does not report it.
    pub era: u64,
    /// The revision number within the era; 0 before the first change.
    pub number: u64,
}

impl Revision {
    /// Whether this is the default revision, before anything was read from the directory.
    pub fn is_none(&self) -> bool {
        *self == Revision::default()
    }
}

impl From<u64> for Revision {
    /// The revision with this number of a directory that reports no era.
    fn from(number: u64) -> Revision {
        Revision { era: 0, number }
    }
}

/// The text is not a revision of the form `ERA.NUMBER`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Invalid;

impl FromStr for Revision {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Revision, Invalid> {
        let (era, number) = text.split_once('.').ok_or(Invalid)?;
        let parse = |part: &str| part.parse().map_err(|_| Invalid);
        Ok(Revision { era: parse(era)?, number: parse(number)? })
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
