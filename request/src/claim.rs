//! The log of idempotency key claims, stored in the key-value service.
//!
//! Claims are stored in a ring of slots, each under one key of the store. A batch is written by one
//! compare-and-swap of the newest slot, which acts as the fence: a writer that was paused finds the
//! slot's revision changed, reads the new entries and decides its batch again, so no lease is
//! needed. When a slot is full, the next one is used; its old claims are overwritten only after
//! their retention time. This module does no I/O; the process calls the store.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::time::Duration;

use foldlock_base::id;
use foldlock_connection::wire::{Action, Claim, Verdict};
use sha2::{Digest, Sha256};

/// Number of slots in a ring.
pub const SLOTS: usize = 256;

/// Size in bytes from which a slot counts as full.
pub const SLOT_FULL_BYTES: usize = 64 << 10;

/// Minimum time for which a claim is kept.
pub const RETENTION: Duration = Duration::from_secs(3600);

/// Hash of an organisation's idempotency key, under which the key is claimed.
pub fn hash(organisation: &id::Organisation, key: &str) -> u128 {
    let mut hasher = Sha256::new();
    hasher.update(organisation.as_str());
    hasher.update([0]);
    hasher.update(key);
    let hash = hasher.finalize();
    u128::from_be_bytes(hash[..16].try_into().expect("a hash has 32 bytes"))
}

/// Key of a slot in the key-value service.
pub fn slot_key(shard: u32, slot: usize) -> String {
    format!("once/{shard}/{slot}")
}

/// A slot's text could not be parsed; holds the reason or the offending line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unreadable(pub String);

#[derive(Debug, Clone, Default)]
struct Slot {
    revision: u64,
    seq: u64,
    newest_ms: u64,
    keys: Vec<u128>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Owner {
    nonce: u128,
    ran: bool,
    seq: u64,
}

/// A shard's log as read by one VM.
#[derive(Debug)]
pub struct Log {
    shard: u32,
    slots: Vec<Slot>,
    current: usize,
    text: String,
    owners: HashMap<u128, Option<Owner>>,
}

/// A batch whose verdicts are decided, to be written if it has entries.
#[derive(Debug)]
pub struct Batch {
    /// The slot to write.
    pub slot: usize,
    /// The revision at which the compare-and-swap expects the slot.
    pub expected_revision: u64,
    /// The slot's new text; `None` if there is nothing to write.
    pub text: Option<String>,
    /// The verdict on each claim, valid once the text is written.
    pub verdicts: Vec<Verdict>,
    seq: u64,
    changes: Vec<(u128, Option<Owner>)>,
    at_ms: u64,
}

/// The next slot of the ring still has claims within their retention time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

impl Log {
    /// An empty log, before any slot is read.
    pub fn new(shard: u32) -> Log {
        Log {
            shard,
            slots: vec![Slot::default(); SLOTS],
            current: 0,
            text: String::new(),
            owners: HashMap::new(),
        }
    }

    /// The shard of this log.
    pub fn shard(&self) -> u32 {
        self.shard
    }

    /// The newest slot, from which new entries are read.
    pub fn current(&self) -> usize {
        self.current
    }

    /// Number of keys with an entry, released keys included.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Whether no key has an entry.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Applies a slot as read from the store. Returns whether the next slot has to be read too.
    pub fn load(&mut self, slot: usize, entry: Option<(&str, u64)>) -> Result<bool, Unreadable> {
        let Some((text, revision)) = entry else { return Ok(false) };
        let mut lines = text.lines();
        let seq = lines.next().and_then(|l| l.strip_prefix("seq ")).and_then(|n| n.parse().ok());
        let seq: u64 = seq.ok_or_else(|| Unreadable(format!("slot {slot} has no sequence")))?;
        if seq < self.slots[self.current].seq {
            return Ok(false);
        }
        let applied = if self.slots[slot].seq == seq { self.slots[slot].keys.len() } else { 0 };
        if applied == 0 {
            self.clear_slot(slot);
        }
        self.slots[slot].seq = seq;
        self.slots[slot].revision = revision;
        for line in lines.skip(applied) {
            let (claim, at_ms) = parse(line).ok_or_else(|| Unreadable(line.to_owned()))?;
            let read = &mut self.slots[slot];
            read.newest_ms = read.newest_ms.max(at_ms);
            read.keys.push(claim.key);
            self.apply(&claim, seq);
        }
        self.current = slot;
        self.text = text.to_owned();
        Ok(true)
    }

    /// Applies all slots of a ring, given in any order.
    pub fn restore(&mut self, mut entries: Vec<(usize, String, u64)>) -> Result<(), Unreadable> {
        let seq = |text: &str| {
            let line = text.lines().next().and_then(|l| l.strip_prefix("seq "));
            line.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0)
        };
        entries.sort_by_key(|(_, text, _)| seq(text));
        for (slot, text, revision) in &entries {
            self.load(*slot, Some((text, *revision)))?;
        }
        Ok(())
    }

    fn apply(&mut self, claim: &Claim, seq: u64) {
        let current = self.owners.get(&claim.key).copied().flatten();
        let change = match (claim.action, current) {
            // The entry of the claim itself was in a slot that has been overwritten.
            (Action::Done, None) => Some(Some(Owner { nonce: claim.nonce, ran: true, seq })),
            _ => decide(current, claim, seq).1,
        };
        if let Some(next) = change {
            self.owners.insert(claim.key, next);
        }
    }

    /// Clears a slot before reuse, and removes the keys whose last entry was in it.
    fn clear_slot(&mut self, slot: usize) {
        let old = std::mem::take(&mut self.slots[slot]);
        for key in old.keys {
            let last = match self.owners.get(&key) {
                Some(Some(owner)) => owner.seq == old.seq,
                Some(None) => true,
                None => false,
            };
            if last {
                self.owners.remove(&key);
            }
        }
    }

    /// Decides a batch. It takes effect only with [`Log::commit`].
    pub fn prepare(&self, claims: &[Claim], now_ms: u64) -> Result<Batch, Full> {
        let (slot, seq, mut text) = self.next_slot(now_ms)?;
        let mut overlay: HashMap<u128, Option<Owner>> = HashMap::new();
        let mut changes = Vec::new();
        let mut verdicts = Vec::with_capacity(claims.len());
        for claim in claims {
            let current = overlay.get(&claim.key).or_else(|| self.owners.get(&claim.key));
            let (verdict, change) = decide(current.copied().flatten(), claim, seq);
            if let Some(next) = change {
                overlay.insert(claim.key, next);
                changes.push((claim.key, next));
                write(&mut text, claim, now_ms);
            }
            verdicts.push(verdict);
        }
        let expected_revision = self.slots[slot].revision;
        let text = (!changes.is_empty()).then_some(text);
        Ok(Batch { slot, expected_revision, text, verdicts, seq, changes, at_ms: now_ms })
    }

    /// The slot for the next entries, its sequence number and its text so far.
    fn next_slot(&self, now_ms: u64) -> Result<(usize, u64, String), Full> {
        let current = &self.slots[self.current];
        if current.revision != 0 && self.text.len() < SLOT_FULL_BYTES {
            return Ok((self.current, current.seq, self.text.clone()));
        }
        let seq = current.seq + 1;
        let slot = if current.revision == 0 { 0 } else { (self.current + 1) % SLOTS };
        let kept_until = self.slots[slot].newest_ms + RETENTION.as_millis() as u64;
        if self.slots[slot].revision != 0 && now_ms < kept_until {
            return Err(Full);
        }
        Ok((slot, seq, format!("seq {seq}\n")))
    }

    /// Applies a batch that was written, with the new revision of its slot.
    pub fn commit(&mut self, batch: &Batch, revision: u64) {
        let Some(text) = &batch.text else { return };
        if self.slots[batch.slot].seq != batch.seq {
            self.clear_slot(batch.slot);
        }
        let slot = &mut self.slots[batch.slot];
        slot.seq = batch.seq;
        slot.revision = revision;
        slot.newest_ms = slot.newest_ms.max(batch.at_ms);
        for (key, owner) in &batch.changes {
            slot.keys.push(*key);
            self.owners.insert(*key, *owner);
        }
        self.current = batch.slot;
        self.text = text.clone();
    }
}

type Change = Option<Option<Owner>>;

/// The verdict on a claim entry, and the change that it makes to the owner of its key, if any.
fn decide(current: Option<Owner>, claim: &Claim, seq: u64) -> (Verdict, Change) {
    let own = current.is_some_and(|h| h.nonce == claim.nonce);
    match (claim.action, current) {
        (Action::Claim, None) => {
            (Verdict::Won, Some(Some(Owner { nonce: claim.nonce, ran: false, seq })))
        }
        (Action::Claim, Some(owner)) if own && !owner.ran => (Verdict::Won, None),
        (Action::Claim, Some(owner)) if owner.ran => (Verdict::Ran, None),
        (Action::Claim, Some(_)) => (Verdict::Taken, None),
        (Action::Release, Some(owner)) if own && !owner.ran => (Verdict::Won, Some(None)),
        (Action::Done, Some(owner)) if own && !owner.ran => {
            (Verdict::Won, Some(Some(Owner { ran: true, seq, ..owner })))
        }
        (Action::Release | Action::Done, _) => (Verdict::Won, None),
    }
}

fn write(text: &mut String, claim: &Claim, at_ms: u64) {
    let action = match claim.action {
        Action::Claim => 'c',
        Action::Release => 'r',
        Action::Done => 'd',
    };
    let _ = writeln!(text, "{action} {:032x} {:032x} {at_ms}", claim.key, claim.nonce);
}

fn parse(line: &str) -> Option<(Claim, u64)> {
    let mut fields = line.split(' ');
    let action = match fields.next()? {
        "c" => Action::Claim,
        "r" => Action::Release,
        "d" => Action::Done,
        _ => return None,
    };
    let key = u128::from_str_radix(fields.next()?, 16).ok()?;
    let nonce = u128::from_str_radix(fields.next()?, 16).ok()?;
    let at_ms = fields.next()?.parse().ok()?;
    Some((Claim { key, nonce, action }, at_ms))
}
