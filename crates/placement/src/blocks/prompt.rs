//! Block hashes and levels of a prompt, computed in reusable buffers.

use super::BlockHash;
use super::ChainRoot;
use super::Level;
use super::levels;

/// Tokens in a block.
pub const BLOCK_TOKENS: u32 = 64;

/// The assumed number of bytes of prompt text per token.
pub const TOKEN_BYTES: usize = 4;

/// Bytes of prompt text in a block.
pub const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * TOKEN_BYTES;

/// A reusable context that hashes one prompt at a time.
///
/// Call `begin`, then `push_message` for each message in order, then `finish`. The results are
/// valid until the next `begin`.
#[derive(Clone, Debug, Default)]
pub struct PromptBlocks {
    last: Option<BlockHash>,
    hashes: Vec<BlockHash>,
    message_ends: Vec<u32>,
    levels: Vec<Level>,
    partial: Vec<u8>,
    text_bytes: u64,
}

impl PromptBlocks {
    /// Creates an empty context.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a prompt and clears the previous one.
    pub fn begin(&mut self, root: ChainRoot) {
        self.last = Some(root.empty_prefix());
        self.hashes.clear();
        self.message_ends.clear();
        self.levels.clear();
        self.partial.clear();
        self.text_bytes = 0;
    }

    /// Adds a message as an engine's chat template renders it: the role and the content, each
    /// followed by a newline.
    pub fn push_message(&mut self, role: &str, content: &str) {
        self.push_pieces(role, [content]);
    }

    /// Adds a message whose content is split into pieces.
    pub fn push_pieces<'a>(&mut self, role: &str, content: impl IntoIterator<Item = &'a str>) {
        self.push_text(role.as_bytes());
        self.push_text(b"\n");
        content.into_iter().for_each(|piece| self.push_text(piece.as_bytes()));
        self.push_text(b"\n");
        self.message_ends.push(self.block_count());
    }

    /// Ends the prompt and computes its levels.
    pub fn finish(&mut self) {
        levels::compute_levels(&self.hashes, &self.message_ends, &mut self.levels);
    }

    /// Returns the hashes of the complete blocks.
    pub fn hashes(&self) -> &[BlockHash] {
        &self.hashes
    }

    /// Returns the levels from the shortest to the longest.
    pub fn levels(&self) -> &[Level] {
        &self.levels
    }

    /// Returns the number of tokens of the prompt, rounded up.
    pub fn tokens(&self) -> u64 {
        self.text_bytes.div_ceil(TOKEN_BYTES as u64)
    }

    fn block_count(&self) -> u32 {
        // A prompt with 2^32 blocks exceeds any body size limit.
        u32::try_from(self.hashes.len()).expect("block count fits in 32 bits")
    }

    fn push_text(&mut self, mut text: &[u8]) {
        self.text_bytes += text.len() as u64;
        if !self.partial.is_empty() {
            let taken = text.len().min(BLOCK_BYTES - self.partial.len());
            self.partial.extend_from_slice(&text[..taken]);
            text = &text[taken..];
            if self.partial.len() < BLOCK_BYTES {
                return;
            }
            let block = std::mem::take(&mut self.partial);
            self.push_block(&block);
            self.partial = block;
            self.partial.clear();
        }
        let mut blocks = text.chunks_exact(BLOCK_BYTES);
        for block in &mut blocks {
            self.push_block(block);
        }
        self.partial.extend_from_slice(blocks.remainder());
    }

    fn push_block(&mut self, block: &[u8]) {
        let last = self.last.expect("begin was called");
        let hash = last.extend(block);
        self.hashes.push(hash);
        self.last = Some(hash);
    }
}
