//! The tokens of an answer, which depend only on model version and prompt.

use persimmon_core::ids::ModelVersion;
use xxhash_rust::xxh3::Xxh3;

/// Generates the token at each offset of one answer.
#[derive(Clone)]
pub struct TokenSource {
    prefix: Xxh3,
}

impl TokenSource {
    /// Creates the source of the answer of `model` to `prompt`.
    pub fn new(model: &ModelVersion, prompt: &str) -> Self {
        let mut prefix = Xxh3::new();
        prefix.update(model.as_str().as_bytes());
        prefix.update(b"\n");
        prefix.update(prompt.as_bytes());
        prefix.update(b"\n");
        Self { prefix }
    }

    /// Returns the token at `offset`.
    pub fn token(&self, offset: u64) -> String {
        let mut hasher = self.prefix.clone();
        hasher.update(offset.to_string().as_bytes());
        format!("t{:08x}", hasher.digest() >> 32)
    }
}
