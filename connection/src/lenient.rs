//! Decodes lists of which other programs may have written some elements.

use serde::de::{DeserializeOwned, Deserializer, IgnoredAny};
use serde::{Deserialize, de};

#[derive(Deserialize)]
#[serde(untagged)]
enum Element<T> {
    Valid(T),
    Invalid(IgnoredAny),
}

/// Decodes a list without the elements that are not valid, for `#[serde(deserialize_with)]`. Fails only if it is not a list.
pub fn list<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    D::Error: de::Error,
    T: DeserializeOwned,
{
    let elements: Vec<Element<T>> = Vec::deserialize(deserializer)?;
    let valid = elements.into_iter().filter_map(|element| match element {
        Element::Valid(valid) => Some(valid),
        Element::Invalid(IgnoredAny) => None,
    });
    Ok(valid.collect())
}
