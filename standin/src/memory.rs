//! An engine's memory: what streams and holds use, and the prefix cache in what is left.

use std::collections::{BTreeMap, HashMap};

use foldlock_base::prefix::BLOCK;

/// Tokens of a cached block.
pub const BLOCK_TOKENS: u64 = (BLOCK / crate::answer::TOKEN_LEN) as u64;

/// Memory in tokens.
#[derive(Debug)]
pub struct Memory {
    total: u64,
    used: u64,
    blocks: HashMap<u64, u64>,
    by_age: BTreeMap<u64, u64>,
    stamp: u64,
}

impl Memory {
    /// Empty memory for `total` tokens.
    pub fn new(total: u64) -> Memory {
        Memory { total, used: 0, blocks: HashMap::new(), by_age: BTreeMap::new(), stamp: 0 }
    }

    /// Tokens in all.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Tokens in use, the cache aside.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Takes tokens, at the cost of the cache; false, and nothing taken, where they do not fit.
    pub fn take(&mut self, tokens: u64) -> bool {
        if self.used + tokens > self.total {
            return false;
        }
        self.used += tokens;
        self.shrink();
        true
    }

    /// Gives tokens back.
    pub fn give(&mut self, tokens: u64) {
        assert!(tokens <= self.used, "memory is given back once only");
        self.used -= tokens;
    }

    /// How many of the leading blocks are cached, in tokens.
    pub fn cached(&mut self, blocks: &[u64]) -> u64 {
        let hits = blocks.iter().take_while(|b| self.blocks.contains_key(b)).count();
        for block in &blocks[..hits] {
            self.touch(*block);
        }
        hits as u64 * BLOCK_TOKENS
    }

    /// Caches blocks, as far as there is room.
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
