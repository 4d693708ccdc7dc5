//! Publishes a change of the settings: writes the texts of the branches under their hashes, then
//! replaces the head by compare-and-swap. Of two concurrent changes to a branch the later is
//! rejected, with an error that names the other. If the response to a write is lost, the id of the
//! change in the head's tail shows whether it was accepted.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::branch::Name;
use crate::check::Fault;
use crate::head::{self, Change, Hash, Head};
use crate::store::{Failure, Store};
use crate::tree::{Texts, Tree};

/// Maximum number of attempts to replace the head; an attempt is repeated after an unrelated change
/// and after a lost response.
const MAX_ATTEMPTS: usize = 16;

/// Wait after a write that the store rejected because of its rate limit, and the maximum number of
/// such waits.
const RATE_LIMIT_WAIT: Duration = Duration::from_millis(100);
const MAX_RATE_LIMIT_WAITS: usize = 100;

/// Version on which the edit of an operator is based.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    /// Number of the version.
    pub version: u64,
    /// Hashes of the texts in that version.
    pub branches: BTreeMap<Name, Hash>,
}

impl From<&Head> for Base {
    fn from(head: &Head) -> Base {
        Base { version: head.version, branches: head.branches.clone() }
    }
}

/// Outcome of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change was accepted; this is the new head.
    Accepted(Head),
    /// There was nothing to change; this is the current head.
    Unchanged(Head),
}

/// Why a change was not accepted. Unless it is `Unconfirmed`, no part of it is in force.
#[derive(Debug)]
pub enum Rejection {
    /// The settings are invalid.
    Invalid(Vec<Fault>),
    /// The same branches were changed by these other changes in the meantime.
    Conflict(Vec<Change>),
    /// The store is unavailable; the change was not made.
    Store(Failure),
    /// The store became unavailable before the outcome was known; the change may have been
    /// accepted.
    Unconfirmed(Failure),
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::Invalid(faults) => {
                for fault in faults {
                    writeln!(f, "{fault}")?;
                }
                write!(f, "{} fault(s); nothing was changed", faults.len())
            }
            Rejection::Conflict(changes) => {
                for c in changes {
                    let names: Vec<String> = c.branches.iter().map(Name::to_string).collect();
                    writeln!(f, "version {} by {}: {}", c.version, c.author, names.join(", "))?;
                }
                write!(f, "the branches above changed since your version; fetch, then apply again")
            }
            Rejection::Store(e) => write!(f, "{e}; nothing was changed"),
            Rejection::Unconfirmed(e) => {
                write!(f, "{e}; it is unknown whether the change was accepted: see `status`")
            }
        }
    }
}

impl std::error::Error for Rejection {}

/// Reads the head and its revision; returns an empty head at revision 0 if there is none.
pub async fn read_head<S: Store>(store: &S) -> Result<(Head, u64), Failure> {
    let Some(entry) = store.get(head::KEY).await? else { return Ok((Head::default(), 0)) };
    let head = serde_json::from_slice(&entry.value).map_err(|e| {
        Failure::Unavailable(format!("cannot decode the head of the settings: {e}"))
    })?;
    Ok((head, entry.revision))
}

/// Reads the texts of a head, except those that are in `local`.
pub async fn read_texts<S: Store>(
    store: &S,
    head: &Head,
    local: &BTreeMap<Hash, Arc<str>>,
) -> Result<Texts, Failure> {
    let mut texts = Texts::new();
    for (name, hash) in &head.branches {
        let text = match local.get(hash) {
            Some(text) => text.clone(),
            None => read_text(store, hash).await?,
        };
        texts.insert(name.clone(), text);
    }
    Ok(texts)
}

async fn read_text<S: Store>(store: &S, hash: &Hash) -> Result<Arc<str>, Failure> {
    let entry = store.get(&hash.key()).await?;
    let entry = entry.ok_or_else(|| Failure::Unavailable(format!("{} is missing", hash.key())))?;
    let text = String::from_utf8(entry.value)
        .map_err(|_| Failure::Unavailable(format!("{} is not valid UTF-8", hash.key())))?;
    if Hash::of(&text) != *hash {
        return Err(Failure::Unavailable(format!("{} does not match its hash", hash.key())));
    }
    Ok(text.into())
}

/// A change to be published.
pub struct Publish<'a, S> {
    /// Store that holds the settings.
    pub store: &'a S,
    /// Id, unique to this attempt to publish.
    pub id: String,
    /// Operator that makes the change.
    pub author: String,
}

impl<S: Store> Publish<'_, S> {
    /// Publishes the differences between `base` and `texts`. Concurrent changes by others to other
    /// branches are kept. All branches are validated together before the change is accepted.
    pub async fn run(&self, base: &Base, texts: &Texts) -> Result<Outcome, Rejection> {
        let edited: BTreeMap<Name, Hash> =
            texts.iter().map(|(n, t)| (n.clone(), Hash::of(t))).collect();
        let touched = head::changed_branches(&base.branches, &edited);
        let mut unconfirmed = None;
        for _ in 0..MAX_ATTEMPTS {
            let (head, revision) = match read_head(self.store).await {
                Ok(read) => read,
                Err(e) if unconfirmed.is_some() => return Err(Rejection::Unconfirmed(e)),
                Err(e) => return Err(Rejection::Store(e)),
            };
            if head.change(&self.id).is_some() {
                return Ok(Outcome::Accepted(head));
            }
            let merged = merge(base, &head, &edited, &touched)?;
            if merged == head.branches {
                return Ok(Outcome::Unchanged(head));
            }
            self.check(&head, &merged, texts).await?;
            self.write_texts(&head, &merged, texts).await?;
            let next = head.next(&self.id, &self.author, merged);
            let value = serde_json::to_vec(&next).expect("heads are plain data");
            match self.store.swap(head::KEY, revision, value).await {
                Ok(_) => return Ok(Outcome::Accepted(next)),
                Err(Failure::Conflict) => {}
                Err(e) => unconfirmed = Some(e),
            }
        }
        let last = unconfirmed.unwrap_or(Failure::Conflict);
        Err(Rejection::Unconfirmed(last))
    }

    /// Validates all branches after the merge.
    async fn check(
        &self,
        head: &Head,
        merged: &BTreeMap<Name, Hash>,
        texts: &Texts,
    ) -> Result<(), Rejection> {
        let own = texts.values().map(|t| (Hash::of(t), t.clone())).collect();
        let whole = Head { branches: merged.clone(), ..head.clone() };
        let whole = read_texts(self.store, &whole, &own).await.map_err(Rejection::Store)?;
        Tree::build(&whole).map(|_| ()).map_err(Rejection::Invalid)
    }

    /// Writes a text, and waits if the store's rate limit is exceeded.
    async fn write_text(&self, hash: &Hash, text: &str) -> Result<u64, Failure> {
        let mut result = Err(Failure::RateLimited);
        for _ in 0..MAX_RATE_LIMIT_WAITS {
            result = self.store.swap(&hash.key(), 0, text.as_bytes().to_vec()).await;
            if result != Err(Failure::RateLimited) {
                break;
            }
            tokio::time::sleep(RATE_LIMIT_WAIT).await;
        }
        result
    }

    /// Writes the texts that the store lacks. Keys are content hashes, so a text that exists
    /// already is the same.
    async fn write_texts(
        &self,
        head: &Head,
        merged: &BTreeMap<Name, Hash>,
        texts: &Texts,
    ) -> Result<(), Rejection> {
        for name in head::changed_branches(&head.branches, merged) {
            let (Some(hash), Some(text)) = (merged.get(&name), texts.get(&name)) else { continue };
            match self.write_text(hash, text).await {
                Ok(_) | Err(Failure::Conflict) => {}
                Err(Failure::Unavailable(_)) => {
                    read_text(self.store, hash).await.map_err(Rejection::Store)?;
                }
                Err(e) => return Err(Rejection::Store(e)),
            }
        }
        Ok(())
    }
}

/// Merges the branches that this change touches into those of the head.
fn merge(
    base: &Base,
    head: &Head,
    edited: &BTreeMap<Name, Hash>,
    touched: &[Name],
) -> Result<BTreeMap<Name, Hash>, Rejection> {
    let mut merged = head.branches.clone();
    let mut conflicts: Vec<Change> = Vec::new();
    for name in touched {
        let current = head.branches.get(name);
        if current != base.branches.get(name) && current != edited.get(name) {
            conflicts.extend(head.since(base.version, name).cloned());
            if conflicts.is_empty() {
                conflicts.push(unlisted_change(head, name));
            }
        }
        match edited.get(name) {
            Some(hash) => merged.insert(name.clone(), hash.clone()),
            None => merged.remove(name),
        };
    }
    conflicts.dedup();
    if conflicts.is_empty() { Ok(merged) } else { Err(Rejection::Conflict(conflicts)) }
}

/// Placeholder for a change that is too old to be in the tail of the head.
fn unlisted_change(head: &Head, name: &Name) -> Change {
    Change {
        version: head.version,
        id: String::new(),
        author: "unknown (older than the tail of the head)".to_owned(),
        branches: vec![name.clone()],
    }
}
