//! The directory's revisions: which of two of its words is the newer one.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A revision of the directory. A directory that comes back from a copy of itself gives out numbers again,
/// so a number says nothing without its era: of two revisions the one of the later era is the newer, and
/// within an era that with the higher number.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// How often the directory has come back from a copy; 0 where it does not say.
    pub era: u64,
    /// The number within the era; 0 before the first change.
    pub number: u64,
}

impl Revision {
    /// Whether it names nothing: no word of the directory is known.
    pub fn is_none(&self) -> bool {
        *self == Revision::default()
    }
}

impl From<u64> for Revision {
    /// A revision of a directory that says no era.
    fn from(number: u64) -> Revision {
        Revision { era: 0, number }
    }
}

/// A text that is no revision.
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
