//! Identifiers, each a newtype over a shared string.
//!
//! An identifier is 1 to 64 characters of `A-Z a-z 0-9 . _ : -`, so that it needs no
//! quoting in paths, headers, metric labels and keys of the key-value service.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Maximum length of an identifier in bytes.
pub const MAX_LEN: usize = 64;

/// Why a text is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Invalid {
    /// The text is empty.
    Empty,
    /// The text is longer than [`MAX_LEN`] bytes.
    TooLong(usize),
    /// The text contains a character that is not allowed.
    Character(char),
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Invalid::Empty => write!(f, "the identifier is empty"),
            Invalid::TooLong(len) => {
                write!(f, "the identifier has {len} bytes, at most {MAX_LEN} are allowed")
            }
            Invalid::Character(c) => {
                write!(f, "the identifier contains {c:?}, only A-Z a-z 0-9 . _ : - are allowed")
            }
        }
    }
}

impl std::error::Error for Invalid {}

/// Checks that `text` is a valid identifier.
pub fn check(text: &str) -> Result<(), Invalid> {
    if text.is_empty() {
        return Err(Invalid::Empty);
    }
    if text.len() > MAX_LEN {
        return Err(Invalid::TooLong(text.len()));
    }
    match text.chars().find(|c| !(c.is_ascii_alphanumeric() || "._:-".contains(*c))) {
        Some(c) => Err(Invalid::Character(c)),
        None => Ok(()),
    }
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
        #[serde(try_from = "String", into = "String")]
        #[schemars(with = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = Invalid;
            fn from_str(text: &str) -> Result<Self, Invalid> {
                check(text)?;
                Ok($name(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Invalid;
            fn try_from(text: String) -> Result<Self, Invalid> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.to_string()
            }
        }
    };
}

id!(
    /// A VM that runs foldlock.
    Vm
);
id!(
    /// A data hall.
    Hall
);
id!(
    /// An organisation: a tenant with its own keys, limits and branch of the settings.
    Organisation
);
id!(
    /// A kind of request, a leaf of the settings tree.
    Kind
);
id!(
    /// An upstream: an inference engine or a server of a plain service.
    Upstream
);
id!(
    /// A model served by engines.
    Model
);
id!(
    /// A plain service.
    Service
);
id!(
    /// A request, unique across all VMs and their incarnations.
    Request
);
id!(
    /// A reservation of engine memory.
    Reservation
);
