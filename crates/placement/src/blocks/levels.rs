//! Nested prefix levels: where prompts are likely to part from each other.
//!
//! Prompts share a book, then a customer, then nothing. Writers of prompts put such parts into
//! messages of their own, so message ends come first. A prompt with few messages may hold several
//! parts in one; free places go to block positions that double, which keep at least half of any
//! shared part. The rule reads the prompt alone, so every node cuts a prompt at the same places.

use super::BlockHash;

/// The most levels a prompt is cut into.
pub const MAX_LEVELS: usize = 8;

/// Message ends that are kept from the end of a long conversation.
const LAST_MESSAGE_LEVELS: usize = 3;

/// The first block position that may become a level of its own.
const FIRST_POSITION_BLOCKS: u32 = 8;

/// A prefix at which prompts may part.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Level {
    /// The name of the prefix.
    pub hash: BlockHash,
    /// Its length in blocks; at least one.
    pub blocks: u32,
    /// Whether it lies within the first message or at its end.
    pub in_first_message: bool,
}

/// Fills `levels` from the block hashes and the block counts at message ends.
pub(super) fn compute_levels(hashes: &[BlockHash], message_ends: &[u32], levels: &mut Vec<Level>) {
    levels.clear();
    let first_message_end = message_ends.first().copied().unwrap_or(0);
    let mut add_level = |blocks: u32| {
        if blocks == 0 || levels.len() == MAX_LEVELS {
            return;
        }
        let Err(position) = levels.binary_search_by_key(&blocks, |level| level.blocks) else {
            return;
        };
        let hash = hashes[blocks as usize - 1];
        levels.insert(
            position,
            Level { hash, blocks, in_first_message: blocks <= first_message_end },
        );
    };
    let (first, last) = select_message_ends(message_ends);
    first.iter().for_each(|&blocks| add_level(blocks));
    last.iter().for_each(|&blocks| add_level(blocks));
    let mut doubling_position = FIRST_POSITION_BLOCKS;
    while (doubling_position as usize) < hashes.len() {
        add_level(doubling_position);
        doubling_position *= 2;
    }
}

/// Returns the message ends kept from the start and from the end.
fn select_message_ends(message_ends: &[u32]) -> (&[u32], &[u32]) {
    if message_ends.len() <= MAX_LEVELS {
        return (message_ends, &[]);
    }
    let first = &message_ends[..MAX_LEVELS - LAST_MESSAGE_LEVELS];
    (first, &message_ends[message_ends.len() - LAST_MESSAGE_LEVELS..])
}
