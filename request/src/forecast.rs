//! Predicts how long an engine takes for a prompt, from the figures that its operator states.
//!
//! An engine works in passes. While requests are decoding, a pass runs `stride` steps, each of
//! which yields one token per request; prompts are read in between. So the pause between two events
//! of a request is one pass, and a long prefill in it makes that pause longer.

use foldlock_version::routes::Engine;

/// Pairs in a million, the unit of [`Engine::ms_per_million_pairs`].
const MILLION: f64 = 1e6;

/// Tokens in a thousand, the unit of [`Engine::per_context_ms`].
const THOUSAND: f64 = 1e3;

/// Milliseconds to read a prompt of `tokens` on an idle engine: the tokens themselves and the pairs
/// of each token with those before it.
pub fn prefill_ms(engine: &Engine, tokens: u64) -> f64 {
    let tokens = tokens as f64;
    let pairs = tokens * tokens / 2.0;
    tokens / engine.prefill_tokens_per_ms + pairs / MILLION * engine.ms_per_million_pairs
}

/// Milliseconds of the decode steps of one pass with `decoding` requests that together hold
/// `context` tokens, without the prefills of that pass.
pub fn pass_ms(engine: &Engine, decoding: u32, context: u64) -> f64 {
    let step = engine.step_ms
        + f64::from(decoding) * engine.per_request_ms
        + context as f64 / THOUSAND * engine.per_context_ms;
    step * f64::from(engine.stride)
}
