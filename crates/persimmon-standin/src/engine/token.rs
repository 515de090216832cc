//! The tokens of an answer, which model version and prompt alone decide.

use persimmon_core::ids::ModelVersion;
use xxhash_rust::xxh3::Xxh3;

/// Gives the token at each offset of one answer.
#[derive(Clone)]
pub struct TokenSource {
    prefix: Xxh3,
}

impl TokenSource {
    /// The tokens of the answer of `model` to `prompt`.
    pub fn new(model: &ModelVersion, prompt: &str) -> Self {
        let mut prefix = Xxh3::new();
        prefix.update(model.as_str().as_bytes());
        prefix.update(b"\n");
        prefix.update(prompt.as_bytes());
        prefix.update(b"\n");
        Self { prefix }
    }

    /// The token at `offset`.
    pub fn token(&self, offset: u64) -> String {
        let mut hasher = self.prefix.clone();
        hasher.update(offset.to_string().as_bytes());
        format!("t{:08x}", hasher.digest() >> 32)
    }
}
