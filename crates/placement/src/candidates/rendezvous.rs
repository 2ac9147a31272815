//! The rendezvous score of an engine for a prefix.

use crate::blocks::BlockHash;

/// Returns the rendezvous hashing score of an engine for a prefix. The highest score wins.
pub fn score(prefix: BlockHash, engine_key: u64) -> u64 {
    // The SplitMix64 finalizer: each input bit flips each output bit with probability one half.
    let mut mixed = prefix.0 ^ engine_key;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
