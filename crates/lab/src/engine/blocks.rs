//! Prompts as the engine sees them, by the names that the router uses too.

use crate::engine::Message;
use redwingrill_placement::blocks::ChainRoot;
use redwingrill_placement::blocks::PromptBlocks;

pub use redwingrill_placement::blocks::BLOCK_TOKENS;
pub use redwingrill_placement::blocks::BlockHash;

/// A prompt cut into blocks.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Prompt {
    /// The tokens of the whole prompt.
    pub tokens: u32,
    /// The hashes of its full blocks.
    pub blocks: Vec<BlockHash>,
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

/// Cuts a conversation into blocks that are bound to a cache salt, a model and its weights.
pub fn cut_prompt(
    cache_salt: &str,
    model: &str,
    weights_version: &str,
    messages: &[Message],
) -> Prompt {
    let mut blocks = PromptBlocks::new();
    blocks.begin(ChainRoot::new(cache_salt, model, weights_version));
    for message in messages {
        blocks.push_message(&message.role, &message.content.text());
    }
    blocks.finish();
    let tokens = u32::try_from(blocks.tokens()).unwrap_or(u32::MAX);
    Prompt { tokens, blocks: blocks.hashes().to_vec() }
}
