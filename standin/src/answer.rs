//! The answer to a prompt: a pure function of the text so far, so that anyone can tell whether an
//! answer is whole and belongs to its prompt, and so that an answer goes on from prompt + tokens
//! as it would have gone on by itself.

use foldlock_base::prefix;

/// The length of each token's text.
pub const TOKEN_LEN: usize = 4;

/// The token that follows text with this state.
pub fn token(state: u64) -> String {
    let mixed = state.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let letter = |shift: u32| char::from(b'a' + ((mixed >> shift) % 26) as u8);
    [letter(20), letter(34), letter(48), ' '].iter().collect()
}

/// The whole answer of `tokens` tokens to a prompt.
pub fn whole(prompt: &[u8], tokens: u64) -> String {
    let mut state = prefix::state(prefix::START, prompt);
    (0..tokens)
        .map(|_| {
            let text = token(state);
            state = prefix::state(state, text.as_bytes());
            text
        })
        .collect()
}
