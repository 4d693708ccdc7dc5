//! Parts of prompts that are shared among requests, such as a system prompt or a document.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::fingerprint::Fingerprint;
use crate::tag::Tag;

/// Maximum number of parts that are kept for one request; further ones are ignored.
pub const MAX_PARTS: usize = 32;

/// Hexadecimal digits that an id holds exactly. Longer ids are hashed.
const MAX_DIGITS: usize = 16;

/// The id of a part, a hexadecimal number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Part(u64);

impl Part {
    /// The key under which crashes by this part are recorded. It includes the service, since its engines have weights of
    /// their own.
    pub fn fingerprint(self, service: Tag) -> Fingerprint {
        Fingerprint::of_part(service, self)
    }
}

impl From<Part> for u64 {
    fn from(part: Part) -> u64 {
        part.0
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl From<Part> for String {
    fn from(part: Part) -> String {
        part.to_string()
    }
}

/// A part id that is not a hexadecimal number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Invalid;

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the id of a part is not a hexadecimal number")
    }
}

impl std::error::Error for Invalid {}

impl FromStr for Part {
    type Err = Invalid;

    fn from_str(text: &str) -> Result<Part, Invalid> {
        if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(Invalid);
        }
        if text.len() <= MAX_DIGITS {
            return u64::from_str_radix(text, 16).map(Part).map_err(|_| Invalid);
        }
        Ok(Part(xxh3_64(text.to_ascii_lowercase().as_bytes())))
    }
}

impl TryFrom<String> for Part {
    type Error = Invalid;

    fn try_from(text: String) -> Result<Part, Invalid> {
        text.parse()
    }
}
