//! Fingerprints of requests, by which a repeated request is recognized across callers and request
//! ids, and of parts that prompts share.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::part::Part;
use crate::tag::Tag;

/// A digest of what an upstream receives: the organisation, the method, the path with its query,
/// and the body. Request ids are not part of it, since each arrival and each attempt has its own.
///
/// With 64 bits and a million requests a day, a collision of two different requests is expected
/// once in 37 million days.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// The fingerprint of a request; `organisation` is empty if the request has no key.
    pub fn of(organisation: &str, method: &str, target: &str, body: &[u8]) -> Fingerprint {
        let mut hasher = Xxh3::new();
        for part in [organisation, method, target] {
            hasher.update(part.as_bytes());
            // Terminates each field, so that moving bytes from one field to the next changes the
            // digest.
            hasher.update(&[0]);
        }
        hasher.update(body);
        Fingerprint(hasher.digest())
    }

    /// The fingerprint of a part that prompts to a service share.
    pub fn of_part(service: Tag, part: Part) -> Fingerprint {
        let mut hasher = Xxh3::new();
        hasher.update(b"part\0");
        hasher.update(&u32::from(service).to_be_bytes());
        hasher.update(&u64::from(part).to_be_bytes());
        Fingerprint(hasher.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Fingerprint, ParseIntError> {
        u64::from_str_radix(text, 16).map(Fingerprint)
    }
}

impl TryFrom<String> for Fingerprint {
    type Error = ParseIntError;

    fn try_from(text: String) -> Result<Fingerprint, ParseIntError> {
        text.parse()
    }
}

impl From<Fingerprint> for String {
    fn from(fingerprint: Fingerprint) -> String {
        fingerprint.to_string()
    }
}
