//! An engine's memory: used by requests and reservations; the prefix cache takes the remainder.

use std::collections::{BTreeMap, HashMap};

use foldlock_base::prefix::BLOCK;

/// Tokens in a block of the prefix cache.
pub const BLOCK_TOKENS: u64 = (BLOCK / crate::answer::TOKEN_LEN) as u64;

/// Memory, counted in tokens, with an LRU prefix cache.
#[derive(Debug)]
pub struct Memory {
    total: u64,
    used: u64,
    blocks: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    clock: u64,
}

impl Memory {
    /// Creates an empty memory of `total` tokens.
    pub fn new(total: u64) -> Memory {
        Memory { total, used: 0, blocks: HashMap::new(), by_last_use: BTreeMap::new(), clock: 0 }
    }

    /// The capacity in tokens.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Tokens in use, without the prefix cache.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Reserves tokens, and evicts cached blocks for them; false if they do not fit, with nothing
    /// reserved.
    pub fn reserve(&mut self, tokens: u64) -> bool {
        if self.used + tokens > self.total {
            return false;
        }
        self.used += tokens;
        self.evict();
        true
    }

    /// Releases tokens.
    pub fn release(&mut self, tokens: u64) {
        assert!(tokens <= self.used, "memory released twice: {tokens} of {} tokens", self.used);
        self.used -= tokens;
    }

    /// Length of the cached prefix of `blocks`, in tokens.
    pub fn cached_prefix(&mut self, blocks: &[u64]) -> u64 {
        let hits = blocks.iter().take_while(|b| self.blocks.contains_key(b)).count();
        for block in &blocks[..hits] {
            self.touch(*block);
        }
        hits as u64 * BLOCK_TOKENS
    }

    /// Adds blocks to the cache and evicts the least recently used ones beyond the free memory.
    pub fn insert(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.touch(*block);
        }
        self.evict();
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        if let Some(old) = self.blocks.insert(block, self.clock) {
            self.by_last_use.remove(&old);
        }
        self.by_last_use.insert(self.clock, block);
    }

    fn evict(&mut self) {
        let room = (self.total - self.used) / BLOCK_TOKENS;
        while self.blocks.len() as u64 > room {
            let Some((_, block)) = self.by_last_use.pop_first() else { return };
            self.blocks.remove(&block);
        }
    }
}
