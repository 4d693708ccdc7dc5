//! Prefix cache affinity: which prompt prefixes an engine probably has in its cache. A bounded
//! table of block hashes records what this VM routed to the engine, and is corrected by the hits in
//! the engine's responses.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use foldlock_base::prefix::BLOCK;
use foldlock_base::size::Tokens;

/// Maximum number of blocks in an engine's table.
const MAX_BLOCKS: usize = 16_384;

/// Maximum number of leading blocks of a prompt that are recorded.
pub const MAX_PROMPT_BLOCKS: usize = 64;

/// Time after which an unused block is considered evicted from the engine's cache.
const TTL: Duration = Duration::from_secs(300);

/// Hashes of the blocks that one engine probably has cached.
#[derive(Debug, Default)]
pub struct Table {
    blocks: HashMap<u64, Instant>,
}

impl Table {
    /// Number of leading prompt tokens that are probably cached.
    pub fn cached(&self, blocks: &[u64], now: Instant, bytes_per_token: u32) -> Tokens {
        let fresh = |b: &&u64| self.blocks.get(*b).is_some_and(|at| now < *at + TTL);
        let hits = blocks.iter().take_while(fresh).count();
        Tokens((hits * BLOCK) as u64 / u64::from(bytes_per_token.max(1)))
    }

    /// Records blocks that the engine computed.
    pub fn insert(&mut self, blocks: &[u64], now: Instant) {
        if self.blocks.len() + blocks.len() > MAX_BLOCKS {
            self.evict_older_half();
        }
        self.blocks.extend(blocks.iter().map(|b| (*b, now)));
    }

    /// Removes the blocks after the first `hits`: the engine reported that it had only those
    /// cached.
    pub fn remove_misses(&mut self, blocks: &[u64], hits: usize) {
        for block in blocks.iter().skip(hits) {
            self.blocks.remove(block);
        }
    }

    /// Removes all blocks, such as after a restart of the engine.
    pub fn clear(&mut self) {
        self.blocks.clear();
    }

    fn evict_older_half(&mut self) {
        let mut times: Vec<Instant> = self.blocks.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.blocks.retain(|_, at| *at > median);
    }
}
