//! Prompt blocks and their hash chain.
//!
//! The root binds the cache salt, the model and the weights version, so that an entry of another
//! client account or of older weights never matches.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::engine::Message;

/// Bytes of prompt text that make a token.
pub const TOKEN_BYTES: usize = 4;
/// Tokens of a cache block.
pub const BLOCK_TOKENS: usize = 64;

/// The hash of a block and of all blocks before it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct BlockHash(pub u64);

impl fmt::Display for BlockHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Returns the prompt text of a conversation.
pub fn render(messages: &[Message]) -> String {
    let mut text = String::new();
    for message in messages {
        text.push_str(&message.role);
        text.push('\n');
        text.push_str(&message.content.text());
        text.push('\n');
    }
    text
}

/// Returns the number of tokens of a prompt text.
pub fn prompt_tokens(text: &str) -> u32 {
    u32::try_from(text.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX)
}

/// Returns the hashes of the full blocks of a prompt text.
pub fn block_hashes(
    cache_salt: &str,
    model: &str,
    weights_version: &str,
    text: &str,
) -> Vec<BlockHash> {
    let root = format!("{cache_salt}\0{model}\0{weights_version}");
    let mut hash = xxh3_64_with_seed(root.as_bytes(), 0);
    let full_blocks = text.as_bytes().chunks_exact(BLOCK_TOKENS * TOKEN_BYTES);
    full_blocks
        .map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            BlockHash(hash)
        })
        .collect()
}
