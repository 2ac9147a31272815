//! The part of a prompt that placement keeps for the lifetime of the request.

use super::BLOCK_TOKENS;
use super::Level;
use super::MAX_LEVELS;
use super::PromptBlocks;

/// The levels and the length of one prompt.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct PromptSummary {
    levels: [Option<Level>; MAX_LEVELS],
    /// The number of tokens of the prompt.
    pub tokens: u64,
}

impl PromptSummary {
    /// Creates the summary of the prompt in a finished context.
    pub fn from_blocks(blocks: &PromptBlocks) -> Self {
        Self::from_levels(blocks.levels(), blocks.tokens())
    }

    /// Creates a summary from levels in ascending order. Levels beyond [`MAX_LEVELS`] are dropped.
    pub fn from_levels(levels: &[Level], tokens: u64) -> Self {
        let mut kept = [None; MAX_LEVELS];
        for (slot, &level) in kept.iter_mut().zip(levels) {
            *slot = Some(level);
        }
        Self { levels: kept, tokens }
    }

    /// Iterates over the levels from the shortest to the longest.
    pub fn levels(&self) -> impl DoubleEndedIterator<Item = &Level> {
        self.levels.iter().flatten()
    }

    /// Returns the number of levels.
    pub fn level_count(&self) -> usize {
        self.levels().count()
    }
}

impl Level {
    /// Returns the length of the prefix in tokens.
    pub fn tokens(&self) -> u64 {
        u64::from(self.blocks) * u64::from(BLOCK_TOKENS)
    }
}
