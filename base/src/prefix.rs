//! Hashes of a prompt's prefixes, in the way in which engines name the blocks of their caches:
//! the FNV-1a state over the prompt's bytes, at the end of each block.

/// Bytes of a block: 256 tokens of 4 bytes.
pub const BLOCK: usize = 1024;

/// The state before the first byte.
pub const START: u64 = 0xcbf2_9ce4_8422_2325;

const PRIME: u64 = 0x0000_0100_0000_01b3;

/// The state after `bytes`, from `state`.
pub fn state(state: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(state, |h, b| (h ^ u64::from(*b)).wrapping_mul(PRIME))
}

/// The states at the ends of the first `most` whole blocks.
pub fn blocks(prompt: &[u8], most: usize) -> Vec<u64> {
    let mut at = START;
    prompt
        .chunks_exact(BLOCK)
        .take(most)
        .map(|block| {
            at = state(at, block);
            at
        })
        .collect()
}
