//! Accepting a change: the branches' texts under their hashes, then one compare-and-swap of the
//! head. A race is told to the loser; a lost answer is settled by the change's own id.

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

/// How often a swap is tried again after an unrelated change or a lost answer.
const MAX_ATTEMPTS: usize = 16;

/// How long a write that was over the store's rate is waited after, and how often at most.
const RATE_LIMIT_WAIT: Duration = Duration::from_millis(100);
const MAX_RATE_LIMIT_WAITS: usize = 100;

/// The version that an operator's edit began from.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Base {
    /// The version.
    pub version: u64,
    /// The texts it had.
    pub branches: BTreeMap<Name, Hash>,
}

impl From<&Head> for Base {
    fn from(head: &Head) -> Base {
        Base { version: head.version, branches: head.branches.clone() }
    }
}

/// What came of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It was accepted and made this head.
    Accepted(Head),
    /// There was nothing to change.
    Unchanged(Head),
}

/// Why a change was not accepted. Nothing of it is in force.
#[derive(Debug)]
pub enum Rejection {
    /// The settings have faults.
    Invalid(Vec<Fault>),
    /// Another change to the same branches came first.
    Conflict(Vec<Change>),
    /// The store does not answer; the change was not begun.
    Store(Failure),
    /// The store stopped answering before it was known whether the change is accepted.
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
                write!(f, "{e}; whether the change was accepted is not known: see `status`")
            }
        }
    }
}

impl std::error::Error for Rejection {}

/// Reads the head with its revision; an empty head at revision 0 where there is none.
pub async fn read_head<S: Store>(store: &S) -> Result<(Head, u64), Failure> {
    let Some(entry) = store.get(head::KEY).await? else { return Ok((Head::default(), 0)) };
    let head = serde_json::from_slice(&entry.value)
        .map_err(|e| Failure::Unavailable(format!("the head cannot be read: {e}")))?;
    Ok((head, entry.revision))
}

/// Reads the texts of a head, taking those that are known already from `known`.
pub async fn read_texts<S: Store>(
    store: &S,
    head: &Head,
    known: &BTreeMap<Hash, Arc<str>>,
) -> Result<Texts, Failure> {
    let mut texts = Texts::new();
    for (name, hash) in &head.branches {
        let text = match known.get(hash) {
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
        .map_err(|_| Failure::Unavailable(format!("{} is not text", hash.key())))?;
    if Hash::of(&text) != *hash {
        return Err(Failure::Unavailable(format!("{} does not match its hash", hash.key())));
    }
    Ok(text.into())
}

/// A change on its way.
pub struct Publish<'a, S> {
    /// The store.
    pub store: &'a S,
    /// Unique to this attempt.
    pub id: String,
    /// Who makes the change.
    pub author: String,
}

impl<S: Store> Publish<'_, S> {
    /// Leads from `base` to `texts`. Branches that others changed meanwhile and this change does
    /// not touch are kept; the whole is checked before it is accepted.
    pub async fn run(&self, base: &Base, texts: &Texts) -> Result<Outcome, Rejection> {
        let wanted: BTreeMap<Name, Hash> =
            texts.iter().map(|(n, t)| (n.clone(), Hash::of(t))).collect();
        let touched = head::changed_branches(&base.branches, &wanted);
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
            let merged = merge(base, &head, &wanted, &touched)?;
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

    /// Checks the merged whole.
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

    /// Writes one text, as fast as the store's rate allows.
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

    /// Writes the texts that the store lacks. A text that is there already is the same text.
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

/// The branches after this change: those it touches as wanted, the others as the head has them.
fn merge(
    base: &Base,
    head: &Head,
    wanted: &BTreeMap<Name, Hash>,
    touched: &[Name],
) -> Result<BTreeMap<Name, Hash>, Rejection> {
    let mut merged = head.branches.clone();
    let mut conflicts: Vec<Change> = Vec::new();
    for name in touched {
        let current = head.branches.get(name);
        if current != base.branches.get(name) && current != wanted.get(name) {
            conflicts.extend(head.since(base.version, name).cloned());
            if conflicts.is_empty() {
                conflicts.push(unlisted_change(head, name));
            }
        }
        match wanted.get(name) {
            Some(hash) => merged.insert(name.clone(), hash.clone()),
            None => merged.remove(name),
        };
    }
    conflicts.dedup();
    if conflicts.is_empty() { Ok(merged) } else { Err(Rejection::Conflict(conflicts)) }
}

/// Stands for a change that is older than the head's tail.
fn unlisted_change(head: &Head, name: &Name) -> Change {
    Change {
        version: head.version,
        id: String::new(),
        author: "an operator (older than the head's tail)".to_owned(),
        branches: vec![name.clone()],
    }
}
