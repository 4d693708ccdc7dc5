//! Predicts how long an engine takes for a prompt, from the figures that its operator states.
//!
//! An engine works in passes. While requests are decoding, a pass runs `stride` steps, each of
//! which yields one token per request; prompts are read in between. So the pause between two events
//! of a request is one pass, and a long prefill in it makes that pause longer.

use std::f64::consts::LN_2;
use std::time::Duration;

use foldlock_base::size::Tokens;
use foldlock_version::routes::Engine;

/// Pairs in a million, the unit of [`Engine::ms_per_million_pairs`].
const MILLION: f64 = 1e6;

/// Tokens in a thousand, the unit of [`Engine::per_context_ms`].
const THOUSAND: f64 = 1e3;

/// Number of engines among which a long prompt is usually divided, of 18 that serve short prompts
/// as well.
pub const EXPECTED_PREFILL_PARTS: f64 = 10.0;

/// Number of decoding requests on the engine that generates the response to a long prompt.
const EXPECTED_DECODING: u32 = 4;

/// Slowdown of decoding caused by prefill chunks in the same batch.
const PREFILL_SLOWDOWN: f64 = 1.5;

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

/// Decode passes of a response.
fn passes(engine: &Engine, answer: Tokens) -> f64 {
    answer.0 as f64 / f64::from(engine.stride.max(1))
}

/// Milliseconds that the response to a long prompt takes after its prefill.
fn long_response_ms(engine: &Engine, answer: Tokens) -> f64 {
    let pass_ms = pass_ms(engine, EXPECTED_DECODING, engine.memory.0 / 2);
    passes(engine, answer) * pass_ms * PREFILL_SLOWDOWN
}

/// Milliseconds that half of the responses to long prompts take at most after the prefill. Response
/// lengths are distributed geometrically, so their median is ln 2 of the mean that the operator states.
pub fn median_response_ms(engine: &Engine, answer: Tokens) -> f64 {
    let pass_ms = pass_ms(engine, EXPECTED_DECODING, engine.memory.0 / 2);
    passes(engine, answer) * LN_2 * pass_ms
}

/// Milliseconds that the shortest response takes after the prefill: one pass without other requests.
pub fn shortest_response_ms(engine: &Engine, prompt: Tokens) -> f64 {
    pass_ms(engine, 1, prompt.0)
}

/// The mean time from the placement of a long prompt to the end of its response. `prefill_ms` is its
/// prefill on a single engine.
pub fn mean_long_service_time(engine: &Engine, prefill_ms: f64, answer: Tokens) -> Duration {
    let ms = prefill_ms / EXPECTED_PREFILL_PARTS + long_response_ms(engine, answer);
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or(Duration::MAX)
}

/// Milliseconds from the placement of a short prompt to the end of its response, on an engine that is
/// full of such prompts: its decode passes, and the prefills of all of them in between.
pub fn short_service_ms(engine: &Engine, prompt: Tokens, answer: Tokens) -> f64 {
    let requests = fitting(engine, prompt, answer);
    let context = requests * mean_context(prompt, answer);
    let pass_ms = pass_ms(engine, requests as u32, context);
    passes(engine, answer).max(1.0) * pass_ms + prefill_ms(engine, prompt.0) * requests as f64
}

/// The number of such requests that an engine runs at the same time.
pub fn fitting(engine: &Engine, prompt: Tokens, answer: Tokens) -> u64 {
    let by_memory = engine.memory.0 / mean_context(prompt, answer);
    by_memory.min(u64::from(engine.slots)).max(1)
}

/// Tokens that a request holds on average while it is decoding.
fn mean_context(prompt: Tokens, answer: Tokens) -> u64 {
    (prompt.0 + answer.0 / 2).max(1)
}
