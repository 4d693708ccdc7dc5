//! Short names, by which VMs tell each other of upstreams and services.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The hash of a name. Two upstreams with one tag would count one's load as the other's: at 10,000
/// upstreams, one chance in 90 that any two of them have it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tag(u32);

impl Tag {
    /// The tag of a name.
    pub fn of(name: &str) -> Tag {
        Tag(xxh3_64(name.as_bytes()) as u32)
    }
}

impl fmt::Display for Tag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for Tag {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Tag, ParseIntError> {
        u32::from_str_radix(text, 16).map(Tag)
    }
}
