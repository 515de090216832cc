//! Block hashes of prompt prefixes, and the token count of a prompt.

use crate::{
    ids::{BlockHash, WorkspaceId},
    units::Tokens,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Length of one prefix block, in tokens.
pub const BLOCK_TOKENS: Tokens = Tokens::new(256);

/// Counts a prompt's tokens, taken as its whitespace-separated words.
pub fn count_tokens(prompt: &str) -> Tokens {
    Tokens::new(prompt.split_ascii_whitespace().count() as u64)
}

/// Chained hashes of a prompt's complete blocks, shortest prefix first. A trailing partial block is
/// left out. The hashes are salted by workspace, so that equal prompts of two workspaces differ.
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
