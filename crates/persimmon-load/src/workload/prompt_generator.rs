//! Prompts, built from slices of one random text.

use super::{Arrival, RequestKind};
use persimmon_core::units::Tokens;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64;

/// Number of words in the source text.
const SOURCE_WORDS: usize = 1 << 20;

/// Bytes of a word with the space after it.
const WORD_BYTES: usize = 4;

/// Alphabet of the words.
const LETTERS: &[u8] = b"abcdefghijklmnopqrstuvwxyz";

/// Generates prompts of any length by copying slices of one text, which avoids work per word.
#[derive(Clone, Debug)]
pub struct PromptGenerator {
    text: String,
    prefix_tokens: Tokens,
}

impl PromptGenerator {
    /// Generates the source text.
    pub fn new(seed: u64, prefix_tokens: Tokens) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut text = String::with_capacity(SOURCE_WORDS * WORD_BYTES);
        for _ in 0..SOURCE_WORDS {
            for _ in 1..WORD_BYTES {
                text.push(LETTERS[rng.random_range(0..LETTERS.len())].into());
            }
            text.push(' ');
        }
        Self {
            text,
            prefix_tokens,
        }
    }

    /// The prompt of an arrival: the shared prefix of its workspace if it has one, a word unique to
    /// the request, then filler text. Empty for a call of a plain service.
    pub fn generate(&self, arrival: &Arrival) -> String {
        let RequestKind::Model {
            prompt_tokens,
            shares_prefix,
            ..
        } = arrival.kind
        else {
            return String::new();
        };
        let words = prompt_tokens.get() as usize;
        let mut prompt = String::with_capacity((words + 8) * WORD_BYTES);
        let prefix_words = match shares_prefix {
            true => (self.prefix_tokens.get() as usize).min(words - 1),
            false => 0,
        };
        let start = xxh3_64(arrival.workspace.as_str().as_bytes());
        self.copy_words(&mut prompt, start, prefix_words);
        prompt.push_str(&format!("q{} ", arrival.number_index));
        let start = xxh3_64(&arrival.number_index.to_le_bytes());
        self.copy_words(&mut prompt, start, words - 1 - prefix_words);
        prompt.truncate(prompt.trim_end().len());
        prompt
    }

    fn copy_words(&self, prompt: &mut String, start: u64, words: usize) {
        let start = (start % SOURCE_WORDS as u64) as usize;
        let until_wrap = words.min(SOURCE_WORDS - start);
        let slice =
            |from: usize, words: usize| &self.text[from * WORD_BYTES..(from + words) * WORD_BYTES];
        prompt.push_str(slice(start, until_wrap));
        prompt.push_str(slice(0, words - until_wrap));
    }
}
