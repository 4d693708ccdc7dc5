//! Compact identifiers of upstreams and services in messages between VMs.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A 32-bit hash of an id. The load of two upstreams with the same tag would be counted as one: at
/// 10,000 upstreams, the probability that any two of them collide is 1 in 90.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tag(u32);

impl Tag {
    /// The tag of an id.
    pub fn of(name: &str) -> Tag {
        Tag(xxh3_64(name.as_bytes()) as u32)
    }
}

impl From<Tag> for u32 {
    fn from(tag: Tag) -> u32 {
        tag.0
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
