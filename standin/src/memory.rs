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
    by_age: BTreeMap<u64, u64>,
    stamp: u64,
}

impl Memory {
    /// Creates an empty memory of `total` tokens.
    pub fn new(total: u64) -> Memory {
        Memory { total, used: 0, blocks: HashMap::new(), by_age: BTreeMap::new(), stamp: 0 }
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
    pub fn take(&mut self, tokens: u64) -> bool {
        if self.used + tokens > self.total {
            return false;
        }
        self.used += tokens;
        self.shrink();
        true
    }

    /// Releases tokens.
    pub fn give(&mut self, tokens: u64) {
        assert!(tokens <= self.used, "memory is given back once only");
        self.used -= tokens;
    }

    /// Length of the cached prefix of `blocks`, in tokens.
    pub fn cached(&mut self, blocks: &[u64]) -> u64 {
        let hits = blocks.iter().take_while(|b| self.blocks.contains_key(b)).count();
        for block in &blocks[..hits] {
            self.touch(*block);
        }
        hits as u64 * BLOCK_TOKENS
    }

    /// Adds blocks to the cache and evicts the least recently used ones beyond the free memory.
    pub fn cache(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.touch(*block);
        }
        self.shrink();
    }

    fn touch(&mut self, block: u64) {
        self.stamp += 1;
        if let Some(old) = self.blocks.insert(block, self.stamp) {
            self.by_age.remove(&old);
        }
        self.by_age.insert(self.stamp, block);
    }

    fn shrink(&mut self) {
        let room = (self.total - self.used) / BLOCK_TOKENS;
        while self.blocks.len() as u64 > room {
            let Some((_, block)) = self.by_age.pop_first() else { return };
            self.blocks.remove(&block);
        }
    }
}
