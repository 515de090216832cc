//! Prompt prefixes in blocks, and the count of a prompt's tokens.

use crate::{
    ids::{BlockHash, WorkspaceId},
    units::Tokens,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Tokens of one block of a prompt's prefix.
pub const BLOCK_TOKENS: Tokens = Tokens::new(256);

/// Counts the whitespace-separated words of a prompt.
pub fn count_tokens(prompt: &str) -> Tokens {
    Tokens::new(prompt.split_ascii_whitespace().count() as u64)
}

/// The chained hashes of a prompt's whole blocks, salted by workspace.
pub fn prefix_blocks(
    workspace: &WorkspaceId,
    prompt: &str,
    block_tokens: Tokens,
) -> Vec<BlockHash> {
    let size = block_tokens.get().max(1);
    let mut blocks = Vec::new();
    let mut hash = xxh3_64_with_seed(workspace.as_str().as_bytes(), 0);
    for (index, word) in (1..).zip(prompt.split_ascii_whitespace()) {
        hash = xxh3_64_with_seed(word.as_bytes(), hash);
        if index % size == 0 {
            blocks.push(BlockHash::new(hash));
        }
    }
    blocks
}
