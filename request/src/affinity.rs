//! Which prefixes each engine likely has in its cache, from this VM's own routing, corrected by
//! the engine's answers: a bounded table of block hashes.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use foldlock_base::prefix::BLOCK;
use foldlock_base::size::Tokens;

/// Blocks that are remembered for each engine.
const MAX_BLOCKS: usize = 16_384;

/// Leading blocks of a prompt that are remembered.
pub const MAX_PROMPT_BLOCKS: usize = 64;

/// How long an unused block is remembered.
const TTL: Duration = Duration::from_secs(300);

/// One engine's blocks.
#[derive(Debug, Default)]
pub struct Table {
    blocks: HashMap<u64, Instant>,
}

impl Table {
    /// The leading tokens that are likely cached.
    pub fn cached(&self, blocks: &[u64], now: Instant, bytes_per_token: u32) -> Tokens {
        let fresh = |b: &&u64| self.blocks.get(*b).is_some_and(|at| now < *at + TTL);
        let hits = blocks.iter().take_while(fresh).count();
        Tokens((hits * BLOCK) as u64 / u64::from(bytes_per_token.max(1)))
    }

    /// The engine computed these blocks.
    pub fn insert(&mut self, blocks: &[u64], now: Instant) {
        if self.blocks.len() + blocks.len() > MAX_BLOCKS {
            self.evict_older_half();
        }
        self.blocks.extend(blocks.iter().map(|b| (*b, now)));
    }

    /// The engine said that it had only the first `hits` of these blocks.
    pub fn remove_misses(&mut self, blocks: &[u64], hits: usize) {
        for block in blocks.iter().skip(hits) {
            self.blocks.remove(block);
        }
    }

    /// Forgets all, as after a restart of the engine.
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
