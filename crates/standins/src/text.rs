//! The text a stand-in engine generates, as a function of the request alone.
//!
//! Each token depends on the one before, as in a real model, so that an answer spliced from two
//! different generations is seen at once.

use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens of an answer when the request does not say.
pub const DEFAULT_MAX_TOKENS: u64 = 16;

/// The prompt of a completion or chat request, as one text.
pub fn prompt_of(body: &Value) -> String {
    match body["prompt"].as_str() {
        Some(prompt) => prompt.to_owned(),
        None => body["messages"].to_string(),
    }
}

/// Number of tokens that the request asks for.
pub fn max_tokens_of(body: &Value) -> u64 {
    body["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS)
}

/// The token after `previous`.
pub fn next_token(model: &str, prompt: &str, previous: &str) -> String {
    let seed = xxh3_64_with_seed(prompt.as_bytes(), xxh3_64_with_seed(model.as_bytes(), 0));
    format!(
        " {:04x}",
        xxh3_64_with_seed(previous.as_bytes(), seed) & 0xffff
    )
}

/// The whole answer to a request.
pub fn answer(model: &str, prompt: &str, max_tokens: u64) -> String {
    let mut previous = String::new();
    let mut text = String::new();
    for _ in 0..max_tokens {
        previous = next_token(model, prompt, &previous);
        text.push_str(&previous);
    }
    text
}
