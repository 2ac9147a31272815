//! Nested prefix levels: the positions at which prompts are likely to diverge.
//!
//! Prompts typically share a large document, then a part per customer, then nothing. Callers put
//! such parts into separate messages, so message ends become levels first. In a prompt with few
//! messages one message may contain several parts, so the remaining levels are at doubling block
//! positions, which cover at least half of any shared part. The levels depend on the prompt alone,
//! so all nodes compute the same ones.

use super::BlockHash;

/// The maximum number of levels of a prompt.
pub const MAX_LEVELS: usize = 8;

/// The number of message ends that become levels at the end of a long conversation.
const LAST_MESSAGE_LEVELS: usize = 3;

/// The first doubling block position.
const FIRST_POSITION_BLOCKS: u32 = 8;

/// A prefix after which prompts may diverge.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Level {
    /// The hash of the prefix.
    pub hash: BlockHash,
    /// Its length in blocks; at least one.
    pub blocks: u32,
    /// Whether it ends within the first message or at its end.
    pub in_first_message: bool,
}

/// Computes `levels` from the block hashes and the block counts at message ends.
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

/// Returns the message ends that may become levels, from the start and from the end.
fn select_message_ends(message_ends: &[u32]) -> (&[u32], &[u32]) {
    if message_ends.len() <= MAX_LEVELS {
        return (message_ends, &[]);
    }
    let first = &message_ends[..MAX_LEVELS - LAST_MESSAGE_LEVELS];
    (first, &message_ends[message_ends.len() - LAST_MESSAGE_LEVELS..])
}
