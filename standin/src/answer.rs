//! Deterministic generation: each token is a pure function of the text before it. A test can thus
//! check that an answer is complete and belongs to its prompt, and an answer that is continued
//! from prompt and tokens equals the uninterrupted one.

use foldlock_base::prefix;

/// Bytes of each token's text.
pub const TOKEN_LEN: usize = 4;

/// The token that follows text with this prefix state.
pub fn token(state: u64) -> String {
    let mixed = state.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let letter = |shift: u32| char::from(b'a' + ((mixed >> shift) % 26) as u8);
    [letter(20), letter(34), letter(48), ' '].iter().collect()
}

/// The complete answer of `tokens` tokens to a prompt.
pub fn generate(prompt: &[u8], tokens: u64) -> String {
    let mut state = prefix::state(prefix::START, prompt);
    (0..tokens)
        .map(|_| {
            let text = token(state);
            state = prefix::state(state, text.as_bytes());
            text
        })
        .collect()
}
