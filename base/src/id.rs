//! Identifiers as newtypes over shared strings.
//!
//! An identifier is 1 to 64 characters of `A-Z a-z 0-9 . _ : -`, so that it can stand in a path,
//! a header, a metric label and a key of the key-value service without quoting.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The longest identifier, in bytes.
pub const MAX_LEN: usize = 64;

/// A text that cannot be an identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Invalid {
    /// The text is empty.
    Empty,
    /// The text is longer than [`MAX_LEN`] bytes.
    TooLong(usize),
    /// The text holds a character that is not allowed.
    Character(char),
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Invalid::Empty => write!(f, "an identifier cannot be empty"),
            Invalid::TooLong(len) => {
                write!(f, "an identifier has at most {MAX_LEN} bytes, this one has {len}")
            }
            Invalid::Character(c) => {
                write!(f, "an identifier is made of A-Z a-z 0-9 . _ : -, not {c:?}")
            }
        }
    }
}

impl std::error::Error for Invalid {}

/// Checks that `text` can be an identifier.
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
            /// The identifier as text.
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
    /// One entry VM, named in the VM list.
    Vm
);
id!(
    /// A data hall.
    Hall
);
id!(
    /// An organisation whose callers share keys, limits and a branch of settings.
    Organisation
);
id!(
    /// A kind of request, the leaf of the settings tree.
    Kind
);
id!(
    /// A model engine or a server of a plain service.
    Upstream
);
id!(
    /// A model that engines serve.
    Model
);
id!(
    /// A plain service.
    Service
);
id!(
    /// One request, unique over all VMs and restarts.
    Request
);
id!(
    /// A hold of engine memory.
    Hold
);
