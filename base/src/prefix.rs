//! Hashes of a prompt's prefixes, computed as engines identify the blocks of their prefix caches:
//! the FNV-1a state over the prompt's bytes at the end of each block.

/// Size of a block in bytes: 256 tokens of 4 bytes.
pub const BLOCK: usize = 1024;

/// The FNV offset basis: the state before the first byte.
pub const START: u64 = 0xcbf2_9ce4_8422_2325;

const PRIME: u64 = 0x0000_0100_0000_01b3;

/// The state after hashing `bytes`, starting from `state`.
pub fn state(state: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(state, |h, b| (h ^ u64::from(*b)).wrapping_mul(PRIME))
}

/// The states at the ends of at most the first `max` full blocks.
pub fn blocks(prompt: &[u8], max: usize) -> Vec<u64> {
    let mut hash = START;
    prompt
        .chunks_exact(BLOCK)
        .take(max)
        .map(|block| {
            hash = state(hash, block);
            hash
        })
        .collect()
}
